// Package decide holds the decisions of the balancer; this file holds what they are spoken in.
package decide

import "time"

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
	PeerID     int
	TimerMark  int64
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

// NeverRan tells whether the outcome proves that the server did nothing for the flow.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreachable || o == NeverSent }

// Effect says what running a flow twice would do.
type Effect int

const (
	Repeatable Effect = iota
	Referenced
	OnceOnly
)

// Reach says which servers drop the repeats of a referenced flow.
type Reach int

const (
	ReachAll Reach = iota
	ReachZone
	ReachCell
)

// Readiness is what the server list says of a server.
type Readiness int

const (
	Ready Readiness = iota
	Draining
	Gone
)

// ListKind says how the entries that follow relate to the list held so far.
type ListKind int

const (
	ListChanges ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Marks of a flow as it arrives.
const (
	MarkHint    = 1
	MarkRepeat  = 2
	MarkMidFlow = 8
	MarkBack    = 16
)

// Act is all that the module can do. Every call takes effect at the time of the event in hand.
type Act interface {
	Connect(FlowID, ServerID, time.Duration)
	Cancel(FlowID, int)
	Reject(FlowID, time.Duration)
	Abort(FlowID)
	Move(FlowID)
	Probe(ServerID)
	Timer(TimerMark, time.Duration)
	Watch(bool)
	Fetch()
	Tell(PeerID, []byte)
	Log(string)
}
