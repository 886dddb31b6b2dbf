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

// NoGroup is the group of a client that shares nothing.
const NoGroup GroupID = -1

// LongAgo is the start of a server that has run since before the day.
const LongAgo = time.Duration(-1 << 62)

// Answer is the final answer to an attempt.
type Answer int

// Answers to an attempt.
const (
	Established Answer = iota // it has a connection
	Rejected                  // trying again is harmless
	Aborted                   // it may have run
	NoBalancer                // no balancer took it
)

// Ending is how an established connection ended for its client, other than by the client itself.
type Ending int

// Endings.
const (
	Migrated Ending = iota // its client was asked to reconnect
	Cut                    // it was reset, or its balancer died
)

// EndReason is how a server ends a connect or a connection.
type EndReason int

// Reasons.
const (
	Full          EndReason = iota // the connect is rejected, and did not run
	Failed                         // an error; it may have run
	Dropped                        // the connection broke
	MoveRequested                  // a server that drains asks the client to reconnect
	ServerStopped                  // a server that stops ends the connection in order
)

// Reach is what a new connection to a server meets.
type Reach int

// What a new connection may meet.
const (
	Open         Reach = iota // it is accepted
	Refused                   // nobody listens, which is known at once
	Unresponsive              // there is no reply
)

// Readiness is what the server list says of a server.
type Readiness int

// What the list says of a server.
const (
	Ready    Readiness = iota // it takes connections
	Draining                  // it takes none
	Gone                      // it is not listed
)

// Entry is one server as the list has it.
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

// Driver carries out what the world does to the balancers and to the network before them. Each call says what happens at the
// time of the schedule; how long it takes until somebody sees it is the driver's matter.
type Driver interface {
	// OpenFlow: a client opens a connection at a balancer and sends its line.
	OpenFlow(a Attempt)
	// LeaveFlow: a client ends its flow, established or not.
	LeaveFlow(f FlowID)
	// Establish: a server has set a connection up.
	Establish(c ConnID)
	// EndConnect: a server ends a connect or a connection.
	EndConnect(c ConnID, reason EndReason)
	// ReportDelay: a message takes that long at a server; reported once a second.
	ReportDelay(s ServerID, delay time.Duration)
	// UpdateList: the server list sends an update to one balancer.
	UpdateList(b BalancerID, isFull bool, entries []Entry)
	// KillBalancer: a balancer ends outright.
	KillBalancer(b BalancerID)
	// StopBalancer: a balancer is asked to end in order.
	StopBalancer(b BalancerID)
	// StartBalancer: a balancer starts.
	StartBalancer(b BalancerID)
	// ServerChanged: what new connections meet at a server may have changed. EndConnect was called for those that it ended.
	ServerChanged(s ServerID)
}

// Service is one service type.
type Service struct {
	Name   string
	Share  float64 // of new connections
	Value  float64 // of a connection, a second
	Effect string  // in the words of settings
	Group  string  // in the words of settings
	Window time.Duration

	Target  time.Duration // for a set-up
	Timeout time.Duration // of an attempt
	Message time.Duration // a message is wanted within this

	Work        float64       // of a set-up, core seconds of speed 1
	WorkSpread  float64       // coefficient of variation; 1 is exponential
	MessageWork time.Duration // of one message on a core of speed 1

	Load             float64       // of a connection, times the usual
	LoadSpread       float64       // sigma of the usual load over clients
	LoadChangeSpread float64       // sigma of a client's load over time
	ChangeEvery      time.Duration // a client's load, on average

	Lifetime      float64 // of a connection, times the usual
	LifetimeSigma float64

	RetriesInARow   int // after which a client pauses for longer
	Retry           RetryPolicy
	RetryDelay      time.Duration // of the policy
	ObeysRetryAfter float64       // share of clients that wait as long as the answer asks
	Return          Interval      // until a client that lost its connection returns
	SilenceNoticed  time.Duration // after which a client gives a silent connection up; 0: never
}

// RetryPolicy is when a client makes another attempt after one that came to nothing.
type RetryPolicy int

// Retry policies.
const (
	NeverRetry           RetryPolicy = iota // it stays away
	RetryAtOnce                             // it makes one at once
	RetryAfterFixedDelay                    // it waits for Service.RetryDelay
	RetryWithBackoff                        // it waits for Service.RetryDelay, doubled each time, with jitter
)

// Customer is one of those who share the fleet.
type Customer struct {
	Name  string
	Share float64 // of the fleet
	Usage float64 // of its share that it asks for
	Quota float64 // established connections within its share
}
