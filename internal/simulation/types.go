package simulation

import "time"

// Each kind of ID has its own type.
type (
	// ServerID numbers a server.
	ServerID int
	// LocalityID numbers a locality.
	LocalityID int
	// CellID numbers a cell, a group of servers that deduplicate each other's flows.
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

// NoGroup is the group ID of a client without a group.
const NoGroup GroupID = -1

// LongAgo is the start time of a server that was started long before the day.
const LongAgo = time.Duration(-1 << 62)

// Answer is the final answer to an attempt.
type Answer int

// Answers to an attempt.
const (
	Established Answer = iota // the connection is established
	Rejected                  // the flow did not run, so that a retry is harmless
	Aborted                   // the flow may have run
	NoBalancer                // no balancer accepted it
)

// Ending is how an established connection ended for its client when the client did not end it.
type Ending int

// Endings.
const (
	Migrated Ending = iota // the client was asked to reconnect
	Cut                    // the connection was reset, or its balancer died
)

// EndReason is why a server ends a connect or a connection.
type EndReason int

// Reasons.
const (
	Full               EndReason = iota // the server rejects the connect, which did not run
	Failed                              // an error; the flow may have run
	Dropped                             // the connection was reset
	MigrationRequested                  // the server drains and asks the client to reconnect
	ServerStopped                       // the server stops and closes the connection cleanly
)

// Reachability is the outcome of opening a connection to a server.
type Reachability int

// Outcomes of opening a connection.
const (
	Open         Reachability = iota // it is accepted
	Refused                          // it is refused at once
	Unresponsive                     // there is no reply
)

// Readiness is the state of a server according to the server list.
type Readiness int

// States of a server in the list.
const (
	Ready    Readiness = iota // it takes connections
	Draining                  // it takes no new connections
	Gone                      // it is not listed
)

// Entry is one entry of the server list.
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
	IsRetry     bool // the client's previous attempt failed
	IsReturning bool // the client has had a connection or made an attempt before
}

// Driver connects the world to balancers. The world calls it at the schedule's current time when a client, a server, the list or a fault
// acts on a balancer; the driver models the time until the other side sees it.
type Driver interface {
	// OpenFlow is called when a client opens a connection to a balancer and sends its request line.
	OpenFlow(a Attempt)
	// LeaveFlow is called when a client ends its flow, established or not.
	LeaveFlow(f FlowID)
	// Establish is called when a server has completed a connection's set-up.
	Establish(c ConnID)
	// EndConnect is called when a server ends a connect or a connection.
	EndConnect(c ConnID, reason EndReason)
	// ReportDelay is called once a second with a server's message delay while the delay is high, and once when it no longer is.
	ReportDelay(s ServerID, delay time.Duration)
	// UpdateList is called when the server list sends an update to a balancer.
	UpdateList(b BalancerID, isFull bool, entries []Entry)
	// KillBalancer is called when a balancer's process is killed.
	KillBalancer(b BalancerID)
	// StopBalancer is called when a balancer is asked to stop cleanly.
	StopBalancer(b BalancerID)
	// StartBalancer is called when a balancer starts.
	StartBalancer(b BalancerID)
	// ServerChanged is called when the result of Reachability for a server may have changed. EndConnect has been called for each
	// connection that the change ended.
	ServerChanged(s ServerID)
}

// Service is one service type.
type Service struct {
	Name                string
	Share               float64 // of new connections
	Value               float64 // of a connection per second
	Effect              string  // effect of a repeated run, as settings write it
	DeduplicationScope  string  // deduplication scope, as settings write it
	DeduplicationWindow time.Duration

	Target        time.Duration // setup target
	Timeout       time.Duration // of an attempt
	MessageTarget time.Duration // a message that takes longer does not count as served

	Work        float64       // of a set-up, in seconds of a core of speed 1
	WorkSpread  float64       // coefficient of variation; 1 is exponential
	MessageWork time.Duration // time that a message takes on a core of speed 1

	Load             float64       // of a connection, as a multiple of the base load
	LoadSpread       float64       // sigma of the usual load over clients
	LoadChangeSpread float64       // sigma of a client's load over time
	ChangeEvery      time.Duration // mean time between changes of a client's load

	Lifetime      float64 // of a connection, as a multiple of the base lifetime
	LifetimeSigma float64

	RetriesInARow   int // after more failures in a row, a client makes a longer pause
	Retry           RetryPolicy
	RetryDelay      time.Duration // used by the retry policy
	ObeysRetryAfter float64       // share of clients that honour an answer's retry-after
	ReconnectDelay  Interval      // until a client that lost its connection reconnects
	SilenceTimeout  time.Duration // after which a client closes an unresponsive connection; 0: never
}

// RetryPolicy is when a client makes another attempt after a failed one.
type RetryPolicy int

// Retry policies.
const (
	NeverRetry           RetryPolicy = iota // it makes no further attempt
	RetryAtOnce                             // it retries at once
	RetryAfterFixedDelay                    // it waits for Service.RetryDelay
	RetryWithBackoff                        // it waits for Service.RetryDelay, doubled each time, with jitter
)

// Customer is a tenant that shares the fleet with others.
type Customer struct {
	Name  string
	Share float64 // of the fleet
	Usage float64 // its demand as a part of its share
	Quota float64 // established connections within its share
}
