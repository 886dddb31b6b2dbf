package simulation

import "time"

// Each kind of id is a type of its own.
type (
	// ServerID numbers a server.
	ServerID int
	// LocalityID numbers a locality.
	LocalityID int
	// CellID numbers the servers that drop each other's repeats.
	CellID int
	// BalancerID numbers a balancer.
	BalancerID int
	// ClientID numbers a client.
	ClientID int
	// FlowID numbers one attempt of a client; each has a new one.
	FlowID int64
	// ConnID numbers one connect of a balancer; each has a new one.
	ConnID int64
	// GroupID numbers a group of clients that share work.
	GroupID int
	// ServiceID numbers a service type.
	ServiceID int
	// CustomerID numbers a customer.
	CustomerID int
)

// NoGroup stands for a client that shares nothing.
const NoGroup GroupID = -1

// LongAgo is the start of a server that has run since before anybody asked.
const LongAgo = time.Duration(-1 << 62)

// Answer is what a client hears of a try.
type Answer int

// Answers to a try.
const (
	Established Answer = iota
	Rejected           // trying again is harmless
	Aborted
	NoBalancer // no balancer took it
)

// Ending is how a standing connection ended for its client, other than by itself.
type Ending int

// Endings.
const (
	Migrated Ending = iota // asked to come again
	Cut                    // reset, or its balancer died
)

// EndReason is what a connect meets before any work is done for it, or in place of its end.
type EndReason int

// Refusals.
const (
	Full          EndReason = iota // turned away unseen
	Failed                         // an error; it may have run
	Dropped                        // the connection broke
	MoveRequested                  // a server that drains sends its client away
	ServerStopped                  // a server that stops ends it in order
)

// Reach is what a new connection to a server meets.
type Reach int

// What a new connection may meet.
const (
	Open         Reach = iota
	Refused            // nobody listens: told at once
	Unresponsive       // nothing comes back
)

// Readiness is what the server list says.
type Readiness int

// What the list says of a server.
const (
	Ready Readiness = iota
	Draining
	Gone
)

// Entry is one server as the list tells it.
type Entry struct {
	Server    ServerID
	Locality  LocalityID
	Cell      CellID
	Size      float64
	Readiness Readiness
	StartedAt time.Duration
}

// Attempt is a client's attempt to have a flow established by a balancer.
type Attempt struct {
	Flow        FlowID
	Client      *Client
	Balancer    BalancerID
	Timeout     time.Duration
	IsRetry     bool // of an attempt that came to nothing
	IsReturning bool // the client has had or tried a connection before
}

// Driver takes what the world does to its surroundings: the balancers and the network before them. Each call says
// what happened at the time of the agenda; how long it takes to be heard of is the carrier's to say.
type Driver interface {
	// OpenFlow: a client opens a connection at a balancer and sends its line.
	OpenFlow(a Attempt)
	// LeaveFlow: a client ends its connection, standing or not.
	LeaveFlow(f FlowID)
	// Establish, Turn: a server's word on a connect or a standing connection.
	Establish(c ConnID)
	EndConnect(c ConnID, how EndReason)
	// ReportDelay: a message takes that long at a server; told once a second of a server.
	ReportDelay(s ServerID, delay time.Duration)
	// UpdateList of the list, to one balancer.
	UpdateList(b BalancerID, full bool, entries []Entry)
	// KillBalancer and Start a balancer; Stop asks it to end in order.
	KillBalancer(b BalancerID)
	StopBalancer(b BalancerID)
	StartBalancer(b BalancerID)
	// ServerChanged: what new connections meet at a server may have changed; those it had have been told by Turn.
	ServerChanged(s ServerID)
}

// Service is one service type.
type Service struct {
	Name            string
	Share           float64 // of new connections
	Load, Life      float64 // times the usual
	Target          time.Duration
	Timeout         time.Duration // connect timeout
	Message         time.Duration // a message is wanted within this
	Value           float64       // a second
	Effect, Group   string        // as the settings have them
	Window          time.Duration
	Work            float64 // of a set-up, core seconds of speed 1
	WorkSpread      float64 // coefficient of variation; 1 is exponential
	LoadSpread      float64 // sigma of the usual load over clients
	Swing           float64 // sigma of a client's load over time
	ChangeEvery     time.Duration
	MessageWork     time.Duration // of one message on a core of speed 1
	LifeSigma       float64
	RetriesInARow   int
	Retry           RetryPolicy
	RetryDelay      time.Duration // of the habit
	ReturnMin       time.Duration // after a break
	ReturnMax       time.Duration
	ObeysRetryAfter float64 // share of clients that wait when told to
	SilenceNoticed  time.Duration
}

// RetryPolicy is when a client whose try came to nothing tries again.
type RetryPolicy int

// Habits of a client.
const (
	NeverRetry RetryPolicy = iota
	RetryAtOnce
	RetryAfterFixedDelay
	RetryWithBackoff // doubled each time, with jitter
)

// Customer shares the fleet.
type Customer struct {
	Name  string
	Share float64 // of the fleet
	Usage float64 // of its share that it asks for
	Quota float64 // standing connections within its share
}
