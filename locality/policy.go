// Package locality decides to which localities a balancer's flows may go: by preference, within bounded spillover, and
// gradually when a locality recovers. It sees what its own balancer sees and nothing else. It does no input or output,
// and time comes with the events.
package locality

import (
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

const (
	tierCost          = 4.0 // for each tier, in units of placement cost: more than grouping and load are usually worth
	maxFailbackTokens = 2.0 // migrations to a nearer tier that may be saved up
	minWarmUp         = time.Second
	randomStream      = 0x68616c6c // keeps the draws apart from others of the same seed
)

// Rules may change while a balancer runs.
type Rules struct {
	// Tiers are the localities in order of preference, the nearest first. Localities that are not named come last.
	Tiers [][]decide.Zone
	// Spill is the share of a locality's usual flows that other localities may bring there.
	Spill float64
	// Surge is the share by which the flows of the nearest tier may grow at once beyond the usual ones; 0: any.
	Surge float64
	// FailbackPerMinute is how many migrations to a nearer tier all balancers may make together.
	FailbackPerMinute float64
	// Balancers is how many balancers share FailbackPerMinute.
	Balancers int
	// RetryAfter is when clients of rejected flows may retry, spread by chance; 0: the preset holds.
	RetryAfter time.Duration
}

// Config is what a Policy is made of.
type Config struct {
	Rules
	Seed          uint64
	Zone          decide.Zone   // of the balancer
	SetupTarget   time.Duration // for set-ups
	MessageTarget time.Duration // a message that takes longer is late
	WarmUp        time.Duration // from a server's start to its full capacity, at least a second
}

// Policy is the constraint of one balancer.
type Policy struct {
	constraints.Unconstrained
	config     Config
	now        time.Duration
	random     *rand.Rand
	localities map[decide.Zone]*locality
	ordered    []*locality // by name
	servers    map[decide.ServerID]*server
	flows      map[decide.FlowID]*flow
	hasList    bool // an update of the endpoint list has ended

	failbackTokens float64 // migrations to a nearer tier that may begin now
	failbacks      int     // migrations to a nearer tier so far

	usualPerSize float64       // own flows per unit of size in the nearest tier
	updatedAt    time.Duration // the last SetTime
	learnedFor   time.Duration // how long usualPerSize has followed the own flows
}

type server struct {
	id        decide.ServerID
	locality  *locality
	size      float64
	readiness decide.Readiness
	startedAt time.Duration
	lateAt    time.Duration // when a message was last late
}

// isWarmingUp reports whether the server started within the warm-up time.
func (s *server) isWarmingUp(now, warmUp time.Duration) bool {
	return s.startedAt != decide.LongAgo && now-s.startedAt < warmUp
}

type flow struct {
	server        *server // nil: none now
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

// Name is the name under which interventions are explained and counted.
func (p *Policy) Name() string { return "halls" }

// tierOf is the tier of a locality, 0 being the nearest.
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

// failbackRate is how many migrations to a nearer tier this balancer may make in a second.
func (p *Policy) failbackRate() float64 {
	return p.config.FailbackPerMinute / 60 / float64(max(p.config.Balancers, 1))
}

// SetTime sets the time of the calls that follow, and does what is due by then.
func (p *Policy) SetTime(now time.Duration) {
	p.now = now
	if p.hasList {
		elapsed := now - p.updatedAt
		p.failbackTokens = min(maxFailbackTokens, p.failbackTokens+p.failbackRate()*elapsed.Seconds())
		p.learn(elapsed)
	}
	p.updatedAt = now
	for _, l := range p.ordered {
		if l.state == Recovering {
			p.advanceRecovery(l)
		}
	}
}

// jitter spreads what many balancers do for the same cause, from half to one and a half of the duration.
func (p *Policy) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.random.Float64()))
}
