package signals

import (
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// never is the time of an event that has not happened yet. It is earlier than all real times.
const never = -time.Hour

// Exchange is one balancer's part in the exchange of signals: it observes servers, publishes its observations, merges
// the records of other balancers and penalises servers that enough of them report as faulty. It implements
// constraints.Constraint. Its methods must not be called concurrently.
type Exchange struct {
	constraints.Unconstrained
	enabled          bool // false: it publishes and merges records, but penalises no server
	latencyThreshold time.Duration
	setupLimit       time.Duration
	now              time.Duration

	ready        map[decide.ServerID]bool
	observations map[decide.ServerID]*observation

	store      *Store
	reporters  map[Origin]bool // origins whose reports count; nil: all
	servers    map[decide.ServerID]*consensus
	changed    bool // there are new reports or observations since gatheredAt
	gatheredAt time.Duration
	// So many servers are penalised that avoiding them would overload the rest. No penalty is applied then.
	isFaultWidespread bool

	own         Record   // as last published
	published   []Report // own.Reports, as last published
	publishedAt time.Duration
	newFlows    int // since the last record
	fleetSize   int // members, including this one
	selections  int // number of selections for full states, so that each begins at another origin

	loads      map[decide.ServerID]ownLoad
	isRelaying bool // WithRelayedLoads is running: OnLoadReport gets load reports that another balancer published
	// nil: loads are not shared.
	onLoadReport func(_ decide.ServerID, now time.Duration) (epoch uint64)
}

// Config configures an Exchange.
type Config struct {
	Origin           Origin
	Incarnation      Incarnation
	Build            string
	Settings         string        // digest of the settings that should be the same at all balancers
	LatencyThreshold time.Duration // a message that takes longer is late
	SetupLimit       time.Duration // a set-up that takes longer is late
	Enabled          bool          // false: the exchange publishes and merges records, but penalises no server
}

// New returns the exchange of one balancer.
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

// Name returns the name under which interventions are explained and counted.
func (e *Exchange) Name() string { return "signals" }

// SetTime sets the time of the calls that follow.
func (e *Exchange) SetTime(now time.Duration) { e.now = now }

// OnEndpoint handles one entry of an update of the endpoint list.
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

// Merge merges a record that another balancer published, and reports whether it is new, and so to be forwarded. A later
// record under this balancer's own name, from before a restart or from another member of that name, makes it publish
// as an even later incarnation.
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

// SetReporters sets the origins whose reports count from now on: the members that are seen alive. So records under the
// names of unknown or departed members have no effect. Before the first call all reports count.
func (e *Exchange) SetReporters(alive []Origin) {
	e.reporters = map[Origin]bool{}
	for _, origin := range alive {
		e.reporters[origin] = true
	}
}

// OnSuspended handles a suspension of this process. Its observations have aged meanwhile, so only the consensus has to
// be updated.
func (e *Exchange) OnSuspended() { e.changed = true }

// Records returns the latest record of each other origin, and how long ago each was received.
func (e *Exchange) Records() ([]Record, []time.Duration) { return e.store.All(e.now) }

// OwnRecord returns the record that this balancer last published.
func (e *Exchange) OwnRecord() Record { return e.own }

var _ constraints.Constraint = (*Exchange)(nil)
