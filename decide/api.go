package decide

import "time"

// Each kind of ID has its own type, so that the compiler rejects one where another is expected.
type (
	// FlowID identifies a flow of this balancer.
	FlowID string
	// ServerID identifies a server. All balancers use the same ID for a server.
	ServerID uint32
	// ServiceID is the index of a service type in the order of AddService.
	ServiceID int
	// CustomerID is the index of a customer in the order of AddCustomer.
	CustomerID int
	// GroupKey identifies a group: flows that share work if they are at the same server.
	GroupKey string
	// FlowKey is the idempotency key of a flow.
	FlowKey string
	// Zone is the name of a locality.
	Zone string
	// MachineType is the name of a machine type.
	MachineType string
	// CellID identifies a cell: servers that share their record of idempotency keys.
	CellID int
	// TimerID identifies a timer of a Balancer.
	TimerID int64
)

// NoCustomer is the customer of a flow that has none.
const NoCustomer CustomerID = -1

// LongAgo is the start time, on the clock of SetTime, of a server that was already running when it was first listed.
const LongAgo = time.Duration(-1 << 62)

// Outcome says how an attempt, a connection or a health check ended.
type Outcome int

// Outcomes.
const (
	OK          Outcome = iota // completed normally
	Error                      // the server answered with an error
	Full                       // the server rejected it without processing it
	TimedOut                   // no answer before the timeout
	Unreachable                // no connection could be established
	Reset                      // the connection was reset
	Cancelled                  // the client left, or was asked to reconnect
	NeverSent                  // nothing was sent to the server
)

// String returns the text for log lines and explanations.
func (o Outcome) String() string {
	return [...]string{"ok", "error", "full", "timed out", "unreachable", "reset", "cancelled", "never sent"}[o]
}

// NeverRan reports whether the outcome proves that the server did nothing for the flow.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreachable || o == NeverSent }

// Effect says whether a flow may run more than once.
type Effect int

// Effects.
const (
	Idempotent      Effect = iota // may be retried at any server at any time
	IdempotentByKey               // servers drop duplicates of the flow's key within a scope and a time window
	NotIdempotent                 // must not run twice
)

// DeduplicationScope is the set of servers that drop duplicates of a flow that is idempotent by its key.
type DeduplicationScope int

// Deduplication scopes.
const (
	DeduplicatedByFleet DeduplicationScope = iota // all servers
	DeduplicatedByZone                            // the servers of one zone
	DeduplicatedByCell                            // the servers of one cell
)

// Readiness is the state of a server in the endpoint list.
type Readiness int

// Readiness of a server, from most to least available.
const (
	Ready    Readiness = iota // takes new flows
	Draining                  // completes its flows and takes no new ones
	Gone                      // no longer listed
)

// UpdateKind says how the entries of an update change the current endpoint list.
type UpdateKind int

// Kinds of updates of the endpoint list.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // the whole list; servers that it omits are gone
	CachedUpdate                   // the whole list from this balancer's cache, possibly stale
	FailedUpdate                   // no entries: a request for the list failed, or the watch was lost
)

// Flags of a new flow; they can be combined.
const (
	FlagLoadHint  = 1  // the client's estimate of its load is valid
	FlagRetry     = 2  // the client retries
	FlagMidStream = 8  // the connection is already open and was routed here
	FlagReturning = 16 // the client reconnects after a disconnection or a migration
)

// Actions carries out the decisions of a Balancer. Every call takes effect at the time of the current event.
type Actions interface {
	// Connect starts an attempt, which fails once the timeout has passed.
	Connect(id FlowID, server ServerID, timeout time.Duration)
	// Reject is a final answer that says that a retry is safe, after retryAfter if that is not 0.
	Reject(id FlowID, retryAfter time.Duration)
	// Abort is a final answer that does not say whether a retry is safe.
	Abort(FlowID)
	// Migrate asks the client of an established flow to reconnect.
	Migrate(FlowID)
	// HealthCheck sends a health check to a server, which answers with a load report.
	HealthCheck(ServerID)
	// SetTimer schedules a call of OnTimer after the duration. A timer cannot be cancelled.
	SetTimer(timer TimerID, after time.Duration)
	// WatchEndpoints requests the endpoint list and subscribes to its changes, or ends the subscription. A Balancer calls
	// it only if the list is polled, and again after each request that failed.
	WatchEndpoints(on bool)
}

// Constraints restricts and weights the choices of a Balancer for a flow and a server. Its methods must not block. They
// are queries: apart from counters, random draws and what they derive from earlier events, they change no state.
// AllowMigration is not called for migrations away from servers that are overloaded, unreachable or departing, as no
// constraint may keep a client there.
type Constraints interface {
	// ServerCost reports whether a flow may go to a server now, and at what extra cost. A cost of 1 is the cost of a
	// server with the mean load, and also what grouping saves.
	ServerCost(FlowID, ServerID) (extra float64, ok bool)
	// AdmitFlow reports whether a flow may be admitted.
	AdmitFlow(FlowID) bool
	// RetryAfter returns how long the client of a rejected flow should wait before it retries. A value longer than preset
	// has no effect.
	RetryAfter(id FlowID, preset time.Duration) time.Duration
	// AllowMigration reports whether an established flow may be migrated to a server where it costs less.
	AllowMigration(FlowID) bool
	// MigrateFirst returns the flows to recheck now, without waiting for their turn in the round of rechecks. They are
	// migrated even if that saves little.
	MigrateFirst() []FlowID
}

// FlowRequest describes a new flow.
type FlowRequest struct {
	ID       FlowID
	Service  ServiceID
	Customer CustomerID
	Key      FlowKey       // not used in decisions
	Group    GroupKey      // empty: none
	Timeout  time.Duration // until the client gives up; ignored by AdoptFlow
	Flags    int           // combination of the Flag constants; not used in decisions
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        ServerID
	Zone      Zone
	Cell      CellID
	Size      float64 // capacity relative to that of other servers, in any unit; 0 or less: unknown
	Readiness Readiness
	StartedAt time.Duration // on the clock of SetTime; LongAgo if the list has no start time
}

// ServiceType holds the settings of a service type.
type ServiceType struct {
	Effect        Effect
	Deduplication DeduplicationScope
	SetupTarget   time.Duration // target for the time until an attempt is established
	RetryWindow   time.Duration // for how long servers drop duplicates of an idempotency key
	Value         float64       // priority weight of each second that a flow is established; not used in decisions
}

// SlowStart holds the settings that limit the load of servers that are warming up.
type SlowStart struct {
	InitialCapacity  float64       // share of its full capacity that a server has when it starts, from 0 to 1
	OverloadMultiple float64       // load, as a multiple of the current capacity, at which a warming server fails
	WarmUp           time.Duration // from a server's start until it has its full capacity
	Window           time.Duration // for how long the overload must last until the server fails
	Balancers        int           // balancers, this one included, that share the budget of a warming server; at least 1
}

// EndpointSettings holds the zone of this balancer, how it gets the endpoint list, and the latency objective.
type EndpointSettings struct {
	Zone            Zone          // of this balancer
	Polled          bool          // the list must be polled; otherwise it is watched
	MaxPollInterval time.Duration // longest time between polls
	MessageTarget   time.Duration // the shortest latency objective of a message
}
