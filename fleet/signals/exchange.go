package signals

import (
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// never is before any other time.
const never = -time.Hour

// Exchange is one balancer's part in the exchange of signals: it observes servers, publishes what it observes,
// merges what others publish and penalises servers that enough of them report as faulty. It is a
// constraints.Constraint. Its methods must not be called concurrently.
type Exchange struct {
	constraints.Unconstrained
	enabled          bool // false: it publishes and merges, and penalises no server
	latencyThreshold time.Duration
	setupLimit       time.Duration
	now              time.Duration

	ready        map[decide.ServerID]bool
	observations map[decide.ServerID]*observation

	store      *Store
	reporters  map[Origin]bool // whose reports count; nil: all
	servers    map[decide.ServerID]*consensus
	changed    bool // since reports were gathered
	gatheredAt time.Duration
	// So many servers are penalised that avoiding them would overload the rest: none is avoided.
	isFaultWidespread bool

	own         Record   // as last published
	published   []Report // in own
	publishedAt time.Duration
	newFlows    int // since the last record
	fleetSize   int // members, this one too
	selections  int // of records for full states, so that each begins at another origin

	loads      map[decide.ServerID]ownLoad
	isRelaying bool // the load reports that come now are another balancer's
	// nil: loads are not shared.
	onLoadReport func(_ decide.ServerID, now time.Duration) (epoch uint64)
}

// Config configures an Exchange.
type Config struct {
	Origin           Origin
	Incarnation      Incarnation
	Build            string
	Settings         string        // a digest of the settings that should be the same at all balancers
	LatencyThreshold time.Duration // a message that takes longer is late
	SetupLimit       time.Duration // a set-up that takes longer is late
	Enabled          bool          // false: the exchange publishes and merges, and penalises no server
}

// New makes the exchange of one balancer.
func New(config Config) *Exchange {
	return &Exchange{
		enabled:          config.Enabled,
		latencyThreshold: config.LatencyThreshold,
		setupLimit:       config.SetupLimit,
		ready:            map[decide.ServerID]bool{},
		observations:     map[decide.ServerID]*observation{},
		store:            newStore(config.Origin),
		servers:          map[decide.ServerID]*consensus{},
		gatheredAt:       never,
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

// Name is the name under which this constraint is explained and counted.
func (e *Exchange) Name() string { return "signals" }

// SetTime sets the time of the calls that follow.
func (e *Exchange) SetTime(now time.Duration) { e.now = now }

// OnEndpoint takes up a change of the endpoint list.
func (e *Exchange) OnEndpoint(endpoint decide.Endpoint) {
	id := endpoint.ID
	if endpoint.Readiness == decide.Ready {
		e.ready[id] = true
	} else {
		delete(e.ready, id)
	}
	if endpoint.Readiness != decide.Gone {
		return
	}
	delete(e.loads, id)
	delete(e.servers, id)
	if observed := e.observations[id]; observed != nil && observed.connections == 0 {
		delete(e.observations, id)
	}
}

// Merge takes up a record that another balancer published, and reports whether it is news that is worth passing on.
// A record under this balancer's own name, from before a restart or from a member of the same name, makes it
// publish as a later incarnation.
func (e *Exchange) Merge(record Record) (isNew bool) {
	if record.Origin == e.own.Origin {
		if isLater(record, e.own) {
			e.own.Incarnation = record.Incarnation + 1
			e.publishedAt = never
		}
		return false
	}
	isNew = e.store.Merge(record, e.now)
	e.changed = e.changed || isNew
	return isNew
}

// SetReporters names the origins whose reports count from now on: members that are seen alive. So a stranger that
// sends records under any name has no say, and neither has a member that is gone. Before the first call all
// reports count.
func (e *Exchange) SetReporters(alive []Origin) {
	e.reporters = map[Origin]bool{}
	for _, origin := range alive {
		e.reporters[origin] = true
	}
}

// OnSuspended handles that this process was suspended. Its observations age meanwhile, so only the reports have to
// be gathered again.
func (e *Exchange) OnSuspended() { e.changed = true }

// Records returns what each origin last published, and how long ago it came.
func (e *Exchange) Records() ([]Record, []time.Duration) { return e.store.All(e.now) }

// OwnRecord is what this balancer last published.
func (e *Exchange) OwnRecord() Record { return e.own }

var _ constraints.Constraint = (*Exchange)(nil)
