package decide

import "time"

// Each kind of id has its own type, so that one cannot be passed for another.
type (
	// FlowID names one flow of this balancer.
	FlowID string
	// ServerID names a server; it is the same at every balancer.
	ServerID uint32
	// ServiceID is the index of a service type in the order of AddService.
	ServiceID int
	// CustomerID is the index of a customer in the order of AddCustomer.
	CustomerID int
	// GroupKey joins flows that share work at a server.
	GroupKey string
	// FlowKey is the idempotency key of a flow.
	FlowKey string
	// Zone names a locality.
	Zone string
	// Kind names a machine type.
	Kind string
	// CellID numbers a set of servers that drop each other's repeats.
	CellID int
	// TimerID tells the timers of one instance apart.
	TimerID int64
)

// NoCustomer stands for a flow without a customer.
const NoCustomer CustomerID = -1

// LongAgo is the start of a server that was already running when it was first listed, on the clock of SetTime.
const LongAgo = time.Duration(-1 << 62)

// Outcome says how an attempt, a connection or a health check ended.
type Outcome int

// Outcomes.
const (
	OK          Outcome = iota // served to its end
	Error                      // the server answered with an error
	Full                       // the server rejected it unseen
	TimedOut                   // no answer within the time allowed
	Unreachable                // no connection could be established
	Reset                      // the connection broke
	Cancelled                  // the client left, or was asked to leave
	NeverSent                  // the attempt never went out
)

// String is a word or two for log lines and explanations.
func (o Outcome) String() string {
	return [...]string{"ok", "error", "full", "timed out", "unreachable", "reset", "cancelled", "never sent"}[o]
}

// NeverRan reports whether the outcome proves that the server did nothing for the flow.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreachable || o == NeverSent }

// Effect says what running a flow twice would do.
type Effect int

// Effects.
const (
	Idempotent      Effect = iota // may be repeated at any server at any time
	IdempotentByKey               // servers drop repeats of its key within a scope and a window
	NotIdempotent                 // must not run twice
)

// DeduplicationScope says which servers drop the repeats of a flow that is idempotent by its key.
type DeduplicationScope int

// Deduplication scopes.
const (
	DeduplicatedByFleet DeduplicationScope = iota // all servers
	DeduplicatedByZone                            // the servers of one zone
	DeduplicatedByCell                            // the servers of one cell
)

// Readiness is what the endpoint list says of a server.
type Readiness int

// Readiness of a server, the least useful last.
const (
	Ready    Readiness = iota // takes new flows
	Draining                  // finishes its flows and takes no new ones
	Gone                      // no longer listed
)

// UpdateKind says how the entries that follow relate to the endpoint list held so far.
type UpdateKind int

// Kinds of updates of the endpoint list.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // the whole list; what it omits is gone
	CachedUpdate                   // the whole list as this balancer last knew it, possibly stale
	FailedUpdate                   // no entries: a call for the list failed, or the watch broke
)

// Flags of a flow as it arrives; they add up.
const (
	FlagLoadHint  = 1  // the client's estimate of its load is valid
	FlagRetry     = 2  // the client retries
	FlagMidStream = 8  // the connection is open already and was routed here
	FlagReturning = 16 // the client returns after a break or a migration
)

// Actions is all that a Balancer can do. Every call takes effect at the time of the event in hand.
type Actions interface {
	// Connect starts an attempt, which fails once the timeout has passed.
	Connect(id FlowID, server ServerID, timeout time.Duration)
	// Reject is a final answer: trying again does no harm, after retryAfter if it is not 0.
	Reject(id FlowID, retryAfter time.Duration)
	// Abort is a final answer that promises nothing.
	Abort(FlowID)
	// Migrate asks the client of an established flow to reconnect.
	Migrate(FlowID)
	// HealthCheck asks a server for its load.
	HealthCheck(ServerID)
	// SetTimer has OnTimer called once the duration has passed. A timer cannot be cancelled.
	SetTimer(timer TimerID, after time.Duration)
	// WatchEndpoints subscribes to changes of the endpoint list, or ends the subscription.
	WatchEndpoints(on bool)
}

// Constraints is what others may say of a flow and a server; a Balancer chooses within it. Each answer is given at
// once, from what was known before, and asking changes nothing. Migrations off servers that are late, silent or
// leaving are not asked for: no constraint may hold a client there.
type Constraints interface {
	// ServerCost says whether a flow may go to a server now, and at what extra cost. A cost of 1 is what a server of
	// mean load costs, or what grouping saves.
	ServerCost(FlowID, ServerID) (extra float64, ok bool)
	// AdmitFlow says whether a flow may be admitted at all.
	AdmitFlow(FlowID) bool
	// RetryAfter is how long the client of a rejected flow should wait before it retries. A longer time than the preset
	// has no effect.
	RetryAfter(id FlowID, preset time.Duration) time.Duration
	// AllowMigration says whether an established flow may be migrated to where it costs less.
	AllowMigration(FlowID) bool
	// MigrateFirst names the flows to look at before others.
	MigrateFirst() []FlowID
}

// FlowRequest describes a flow that a client asks for.
type FlowRequest struct {
	ID       FlowID
	Service  ServiceID
	Customer CustomerID
	Key      FlowKey       // no decision depends on it
	Group    GroupKey      // empty: none
	Timeout  time.Duration // until the client gives up; of no meaning for a flow that is adopted
	Flags    int           // of the Flag constants; no decision depends on them
}

// Endpoint is one server as the endpoint list describes it.
type Endpoint struct {
	ID        ServerID
	Zone      Zone
	Cell      CellID
	Size      float64 // capacity relative to that of other servers, in any unit; 0 or less: not stated
	Readiness Readiness
	StartedAt time.Duration // on the clock of SetTime; LongAgo if the list gives no start
}

// ServiceType is the terms on which flows of one service type are served.
type ServiceType struct {
	Effect        Effect
	Deduplication DeduplicationScope
	SetupTarget   time.Duration // an attempt established within it is in time
	RetryWindow   time.Duration // for how long servers drop repeats of an idempotency key
	Value         float64       // priority weight of a second of an established flow; no decision depends on it
}

// SlowStart is the rule that protects servers that are warming up.
type SlowStart struct {
	InitialCapacity  float64       // share of its full capacity that a server has when it starts, from 0 to 1
	OverloadMultiple float64       // times the capacity reached so far, load at which a warming server fails
	WarmUp           time.Duration // from a server's start to its full capacity
	Window           time.Duration // for how long the overload has to last
	Balancers        int           // that share the budget of each warming server, this one too; at least 1
}

// EndpointSettings says how the endpoint list reaches this balancer.
type EndpointSettings struct {
	Zone            Zone          // of this balancer
	Polled          bool          // the list comes only when it is asked for
	MaxPollInterval time.Duration // a polled list has to be asked for at least this often
	MessageTarget   time.Duration // the shortest latency objective of a message
}
