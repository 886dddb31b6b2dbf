// Package decide holds the decisions of the balancer; this file holds what they are spoken in.
package decide

import (
	"slices"
	"time"
)

// Each kind of id is a type of its own, so that one cannot be passed for another.
type (
	FlowID     string
	ServerID   uint32
	ServiceID  int
	CustomerID int
	GroupKey   string
	FlowKey    string
	Zone       string
	Kind       string
	CellID     int
	TimerID    int64
)

// NoCustomer stands for a flow without a customer.
const NoCustomer CustomerID = -1

// LongAgo is the start of a server that has run since before anybody asked.
const LongAgo = time.Duration(-1 << 62)

// Outcome says how a connect, a connection or a probe ended.
type Outcome int

const (
	OK Outcome = iota
	Error
	Full
	TimedOut
	Unreachable
	Reset
	Cancelled
	NeverSent
)

func (o Outcome) String() string {
	return [...]string{"ok", "error", "full", "timed out", "unreachable", "reset", "cancelled", "never sent"}[o]
}

// NeverRan tells whether the outcome proves that the server did nothing for the flow.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreachable || o == NeverSent }

// Effect says what running a flow twice would do.
type Effect int

const (
	Idempotent Effect = iota
	IdempotentByKey
	NotIdempotent
)

// DeduplicationScope says which servers drop the repeats of a referenced flow.
type DeduplicationScope int

const (
	DeduplicatedByFleet DeduplicationScope = iota
	DeduplicatedByZone
	DeduplicatedByCell
)

// Readiness is what the server list says of a server.
type Readiness int

const (
	Ready Readiness = iota
	Draining
	Gone
)

// UpdateKind says how the entries that follow relate to the list held so far.
type UpdateKind int

const (
	DeltaUpdate UpdateKind = iota
	FullUpdate
	CachedUpdate
	FailedUpdate
)

// Marks of a flow as it arrives.
const (
	FlagLoadHint  = 1
	FlagRetry     = 2
	FlagMidStream = 8
	FlagReturning = 16
)

// Actions is all that the module can do. Every call takes effect at the time of the event in hand.
type Actions interface {
	Connect(FlowID, ServerID, time.Duration)
	Cancel(FlowID, int)
	Reject(FlowID, time.Duration)
	Abort(FlowID)
	Migrate(FlowID)
	HealthCheck(ServerID)
	SetTimer(TimerID, time.Duration)
	WatchEndpoints(bool)
	FetchEndpoints()
	Log(string)
}

// Constraints is what other deciders may say of a flow and a server; the module chooses within it. Each answer is given at
// once, from what they were told before, and asking changes nothing. Moves off servers that are late, silent or leaving
// are not asked for: no bound may hold a client there.
type Constraints interface {
	// ServerCost says whether a flow may go to a server now, and at what extra cost.
	ServerCost(FlowID, ServerID) (extra float64, ok bool)
	// AdmitFlow says whether a flow may be let in at all.
	AdmitFlow(FlowID) bool
	// RetryAfter is when the client of a flow that is turned away may come again; the other is what it would be told.
	RetryAfter(FlowID, time.Duration) time.Duration
	// AllowMigration says whether a standing flow may be moved to where it costs less; First which to look at before others.
	AllowMigration(FlowID) bool
	MigrateFirst() []FlowID
}

// state names where a flow stands.
type state int

const (
	waiting state = iota
	connecting
	established
	leaving  // asked to move; its end is still to come
	answered // final answer given, a connect still out
	done
)

// flow is one flow; only transition in decide.go changes its state.
type flow struct {
	id            FlowID
	service       ServiceID
	customer      CustomerID
	group         GroupKey
	state         state
	came, due     time.Duration // due: its own connect timeout
	connects, out int
	server        *server
	life          int
	leased, trial bool
	cold          bool // its connect was taken from a cold server's budget
	tried         []ServerID
	sentAt        time.Duration
	mayRan        bool // some connect may have run; the next three say where and when first
	ranAt         time.Duration
	ranZone       Zone
	ranCell       CellID
	place         int // in the flowList of its state
	seat          int // in its server's flows, while established
}

// FlowRequest describes a flow that a client asks for.
type FlowRequest struct {
	ID       FlowID
	Service  ServiceID
	Customer CustomerID
	Key      FlowKey
	Group    GroupKey
	Timeout  time.Duration // until the client gives up; of no meaning for a flow that is adopted
	Flags    int           // of the Flag constants
}

// Endpoint is one server as the endpoint list describes it.
type Endpoint struct {
	ID        ServerID
	Zone      Zone
	Cell      CellID
	Size      float64 // relative to the sizes of other servers
	Readiness Readiness
	StartedAt time.Duration // LongAgo if the list gives no start
}

// ServiceType is the terms on which flows of one service type are served.
type ServiceType struct {
	Effect        Effect
	Deduplication DeduplicationScope
	SetupTarget   time.Duration // an attempt established within it is in time
	RetryWindow   time.Duration // for how long servers drop repeats of an idempotency key
	Value         float64       // priority weight of a second of an established flow
}

// SlowStart is the rule that protects servers that are warming up.
type SlowStart struct {
	InitialCapacity  float64       // share of its capacity that a server has when it starts
	OverloadMultiple float64       // load over capacity at which a warming server fails
	WarmUp           time.Duration // from a server's start to its full capacity
	Window           time.Duration // for how long the overload has to last
	Balancers        int           // that share the budget of each warming server
}

// EndpointSettings says how the endpoint list reaches this balancer.
type EndpointSettings struct {
	Zone            Zone          // of this balancer
	Polled          bool          // the list comes only when it is asked for
	MaxPollInterval time.Duration // a polled list has to be asked for at least this often
	MessageTarget   time.Duration // the shortest latency objective of a message
}

// server is one real server as this balancer knows it; each part keeps its own share of it.
type server struct {
	// What each decision reads of each candidate comes first: it fills two lines of the processor's cache.
	taken   uint64    // the last selection of candidates that holds it
	state   Readiness // as it is dealt with; listed: as the list has it; byHand: staff have taken it out
	open    int       // tallies: booked and confirmed
	size    float64
	since   time.Duration
	silent  int // connects in a row that found nobody, with no sign of life since
	delay   time.Duration
	id      ServerID
	ejected bool
	byHand  bool
	seen    bool

	zone     Zone
	hotAt    time.Duration // last heard of a delay that counts
	probedAt time.Duration
	probed   float64
	limit    limit

	cell   CellID // server list
	listed Readiness
	life   int // counts restarts in place: flows of an earlier life touch no tally

	groups map[GroupKey]int // tallies
	flows  []*flow          // established here, of any life

	samples             []sample // health
	ejectedUntil, pause time.Duration
	trickle, trying     int
	delayAt             time.Duration
	askedAt             time.Duration // of the last probe

	coldDue  float64 // cold budget: connects due at coldAt, and those spent or lapsed
	coldSent int
	coldAt   time.Duration
}

// Balancer is one instance: the parts, each owning its state, and what they share.
type Balancer struct {
	actions     Actions
	now         time.Duration
	rng         pcg
	constraints Constraints // nil: none

	flows    flowBook
	tallies  tallies
	pace     pace
	picks    pick
	health   health
	cold     cold
	list     serverList
	services []ServiceType
	fair     map[CustomerID]int // open flows of each customer
}

// The parts of a Balancer and the state that each owns.

type flowBook struct {
	byID        map[FlowID]*flow
	connecting  flowList
	open        flowList // established, in the order of a round of rechecks
	next        int      // the one rechecked last
	maxConnects int
	retryAfter  time.Duration // 0: clients are given none
}

type pace struct {
	window             float64
	line               []*flow // waiting, oldest first
	pause, opens, last time.Duration
	results            []sample      // of the last set-ups, over all servers
	sent               time.Duration // when the last connect went out
	refused            int           // flows answered since then for which none did
}

type tallies struct {
	holders map[GroupKey][]*server // servers on which this balancer's tally of the group is above nought
	held    int                    // how many those are over all groups
}

type pick struct {
	crossing, moving float64 // their prices
	sizes            bool    // the list's sizes mean something
}

type health struct {
	setups   []time.Duration // of the last set-ups, over all servers
	setupAt  time.Duration   // when the last of them ended
	pull     bool
	credit   float64  // probes that may go out
	limit    limit    // on all flows
	survey   survey   // the last one taken
	failures failures // the same
	healthy  healthy  // the same
}

type cold struct {
	SlowStart
	quota      []float64 // of customers, in connections over all balancers
	handedOver bool      // another process spends the budgets
}

type serverList struct {
	byID           map[ServerID]*server
	all            []*server // by id, but for those that came since the last sorting
	unsorted       bool
	ready, leaving []*server // by id
	near           []*server // ready, in the own zone
	zones          map[Zone][]*server
	cells          map[CellID][]*server
	homes          serverIndex // of a long list: where groups are at home
	sums           sums        // over ready: flows at all times, the rest as of the last tick or list
	lowest         float64     // least load of any server that a flow could be moved to, as of the last tick
	selections     uint64
	candidates     []*server // the last selection from a long list
	EndpointSettings
	gap   time.Duration
	kind  UpdateKind
	usual float64 // size in service: of the first list, or of the most warm servers since; 0: none
}

// sums are figures added up over servers.
type sums struct {
	open       float64 // own open connections
	size       float64
	load, told float64 // reported load times size, and the size of those that reported
}

// survey is what was heard of all ready servers together.
type survey struct {
	at         time.Duration
	hot, heard float64
	ejected    int
}

// healthy are the servers in no trouble, as of a time.
type healthy struct {
	at      time.Duration
	servers []*server
}

// failures is the median over servers of their share of failed connects, as of a time.
type failures struct {
	at     time.Duration
	median float64
}

// view is what one pick or recheck compares servers against.
type view struct {
	candidates []*server
	homes      int       // so many of them, the first, may be the home
	holders    []*server // of the group, at this balancer
	mean       float64   // own open connections per unit of size in service
	fair       float64   // the same with the flow in hand
	told       float64   // mean load over capacity, of servers that told theirs
	relief     bool      // some server sits below the guard
	held       bool      // one of those holds the group
	home       *server
}

// count is how many flows of the group the server holds. Few hold it: most need no look into their tallies.
func (v view) count(r *server, g GroupKey) int {
	if len(v.holders) <= fewHolders && !slices.Contains(v.holders, r) {
		return 0
	}
	return r.groups[g]
}

const fewHolders = 4

// limit is how many flows may be held: the share kept at the last sign of too many, grown back since.
type limit struct {
	held float64
	was  float64       // at the first sign of a row
	at   time.Duration // 0: no limit
}
