package signals

import (
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// never is a time before all others.
const never = -time.Hour

// Exchange is the decider of one balancer; see bounds.Decider.
type Exchange struct {
	constraints.Unconstrained
	enabled      bool          // false: it publishes and hears, and bounds nothing
	delayLimit   time.Duration // a message that takes longer is late
	setupLimit   time.Duration // a set-up that takes longer is late
	now          time.Duration
	ready        map[decide.ServerID]bool
	observations map[decide.ServerID]*observation // of this balancer itself

	store      *Store
	reporters  map[Origin]bool // whose reports count; nil: all
	servers    map[decide.ServerID]*consensus
	dirty      bool // something changed since reports were gathered
	gatheredAt time.Duration
	widespread bool // more servers are in trouble than may be left out

	own         Record   // as last published
	published   []Report // of it
	publishedAt time.Duration
	newFlows    int // since then
	fleetSize   int // members, this one too
	fullStates  int // how often the full state was asked for

	loads    map[decide.ServerID]ownLoad
	relaying bool // load reports come from another balancer now
	onLoad   func(decide.ServerID, time.Duration) (epoch uint64)
}

// Config configures an Exchange.
type Config struct {
	Origin      Origin
	Incarnation Incarnation
	Build       string
	Settings    string        // a digest of the settings that should be the same at all balancers
	DelayLimit  time.Duration // a message that takes longer is late
	SetupLimit  time.Duration // a set-up that takes longer is late
	Enabled     bool          // false: the exchange publishes and merges, and penalises no server
}

// New makes the exchange of one balancer.
func New(config Config) *Exchange {
	return &Exchange{
		enabled:      config.Enabled,
		delayLimit:   config.DelayLimit,
		setupLimit:   config.SetupLimit,
		ready:        map[decide.ServerID]bool{},
		observations: map[decide.ServerID]*observation{},
		store:        NewStore(config.Origin),
		servers:      map[decide.ServerID]*consensus{},
		gatheredAt:   never,
		own: Record{
			Origin:      config.Origin,
			Incarnation: config.Incarnation,
			Build:       config.Build,
			Settings:    config.Settings,
		},
		publishedAt: never,
		loads:       map[decide.ServerID]ownLoad{},
	}
}

// Name is the name under which this decider is explained and counted.
func (s *Exchange) Name() string { return "signals" }

// SetTime sets the time of the calls that follow.
func (s *Exchange) SetTime(now time.Duration) { s.now = now }

// OnEndpoint takes in a change of the server list.
func (s *Exchange) OnEndpoint(endpoint decide.Endpoint) {
	id, readiness := endpoint.ID, endpoint.Readiness
	if readiness == decide.Ready {
		s.ready[id] = true
	} else {
		delete(s.ready, id)
	}
	if readiness != decide.Gone {
		return
	}
	delete(s.loads, id)
	delete(s.servers, id)
	if x := s.observations[id]; x != nil && x.held == 0 {
		delete(s.observations, id)
	}
}

// Merge takes in what another balancer published; news is worth passing on. A record of this balancer's own, from before a restart or of
// a namesake, has it publish as a later incarnation.
func (s *Exchange) Merge(record Record) (news bool) {
	if record.Origin == s.own.Origin {
		if later(record, s.own) {
			s.own.Incarnation = record.Incarnation + 1
			s.publishedAt = never
		}
		return false
	}
	news = s.store.Merge(record, s.now)
	s.dirty = s.dirty || news
	return news
}

// SetReporters names the origins whose reports count from now on: members that are seen alive. Whoever only sends records under a name
// is none, and the report of one that is gone is no news of anything. Without a call all count.
func (s *Exchange) SetReporters(alive []Origin) {
	s.reporters = map[Origin]bool{}
	for _, origin := range alive {
		s.reporters[origin] = true
	}
}

// OnSuspended says that this process stood still. What it observed is as old as that; it publishes nothing of it as new.
func (s *Exchange) OnSuspended() { s.dirty = true }

var _ constraints.Constraint = (*Exchange)(nil)
