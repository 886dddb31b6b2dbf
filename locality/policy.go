// Package locality decides to which localities the flows of a balancer may go: by preference, with bounded spillover, and
// gradually when a locality recovers. It uses only what its own balancer observes. It does no I/O and has no clock:
// SetTime sets the time.
package locality

import (
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

const (
	tierCost          = 4.0 // for each tier, in units of placement cost: above what grouping and load usually add
	maxFailbackTokens = 2.0 // burst of migrations to a nearer tier
	minWarmUp         = time.Second
	randomStream      = 0x68616c6c // makes the random numbers differ from those of other sources with the same seed
)

// Rules are the settings that may change while a balancer runs.
type Rules struct {
	// Tiers are the localities in order of preference, the nearest first. Localities that are not named come last.
	Tiers [][]decide.Zone
	// Spill limits the flows that spill over into a locality, as a share of its usual flows.
	Spill float64
	// Surge limits how far the flows of the nearest tier may exceed the usual flows, as a share of them; 0: no limit.
	Surge float64
	// FailbackPerMinute is how many flows all balancers together may migrate to a nearer tier in a minute.
	FailbackPerMinute float64
	// Balancers is how many balancers share FailbackPerMinute.
	Balancers int
	// RetryAfter is the mean time after which clients of rejected flows may retry, subject to jitter; 0: the preset.
	RetryAfter time.Duration
}

// Config configures a Policy.
type Config struct {
	Rules
	Seed          uint64
	Zone          decide.Zone   // of the balancer
	SetupTarget   time.Duration // a set-up that takes longer is slow
	MessageTarget time.Duration // a message that takes longer is late
	WarmUp        time.Duration // from a server's start to its full capacity, at least a second
}

// Policy is the locality policy of one balancer. It implements constraints.Constraint.
type Policy struct {
	constraints.Unconstrained
	config     Config
	now        time.Duration
	random     *rand.Rand
	localities map[decide.Zone]*locality
	ordered    []*locality // by name
	servers    map[decide.ServerID]*server
	flows      map[decide.FlowID]*flow
	hasList    bool // whether an update of the endpoint list has ended

	failbackTokens float64 // level of a token bucket: how many migrations to a nearer tier may begin now
	failbacks      int     // migrations to a nearer tier so far

	usualPerSize float64       // the usual load: all own flows, in any locality, per unit of size of the nearest tier
	updatedAt    time.Duration // time of the last SetTime
	learnedFor   time.Duration // how long the usual load has been learned
}

type server struct {
	id        decide.ServerID
	locality  *locality
	size      float64
	readiness decide.Readiness
	startedAt time.Duration
	lateAt    time.Duration // when a message was last late; 0: never
}

// isWarmingUp reports whether the server started within the warm-up time.
func (s *server) isWarmingUp(now, warmUp time.Duration) bool {
	return s.startedAt != decide.LongAgo && now-s.startedAt < warmUp
}

type flow struct {
	server        *server // of its attempt or connection; nil: it has none now
	group         decide.GroupKey
	isEstablished bool
	establishedAt time.Duration
}

// New returns a Policy that knows no servers yet.
func New(config Config) *Policy {
	config.WarmUp = max(config.WarmUp, minWarmUp)
	return &Policy{
		config:     config,
		random:     rand.New(rand.NewPCG(config.Seed, randomStream)),
		localities: map[decide.Zone]*locality{},
		servers:    map[decide.ServerID]*server{},
		flows:      map[decide.FlowID]*flow{},
	}
}

// Reconfigure replaces the rules.
func (p *Policy) Reconfigure(rules Rules) {
	p.config.Rules = rules
	for _, l := range p.ordered {
		l.tier = p.tierOf(l.name)
	}
}

// Name returns the name under which interventions are explained and counted.
func (p *Policy) Name() string { return "halls" }

// tierOf returns the tier of a locality; 0 is the nearest.
func (p *Policy) tierOf(zone decide.Zone) int {
	tiers := p.config.Tiers
	for i, tier := range tiers {
		if slices.Contains(tier, zone) {
			return i
		}
	}
	if len(tiers) == 0 && zone == p.config.Zone {
		return 0
	}
	return max(len(tiers), 1)
}

// failbackRate returns how many flows this balancer may migrate to a nearer tier in a second.
func (p *Policy) failbackRate() float64 {
	return p.config.FailbackPerMinute / 60 / float64(max(p.config.Balancers, 1))
}

// SetTime sets the time of the calls that follow. It refills the failback tokens, learns the usual load and advances
// recoveries.
func (p *Policy) SetTime(now time.Duration) {
	p.now = now
	if p.hasList {
		elapsed := now - p.updatedAt
		p.failbackTokens = min(maxFailbackTokens, p.failbackTokens+p.failbackRate()*elapsed.Seconds())
		p.updateUsualLoad(elapsed)
	}
	p.updatedAt = now
	for _, l := range p.ordered {
		if l.state == Recovering {
			p.advanceRecovery(l)
		}
	}
}

// jitter returns a random duration from 0.5 to 1.5 times d, so that balancers that react to the same event do not act at
// the same time.
func (p *Policy) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.random.Float64()))
}
