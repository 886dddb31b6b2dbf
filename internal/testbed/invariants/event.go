package invariants

import (
	"fmt"
	"time"
)

// Kind says what was seen. At one instant causes come before effects, in this order.
type Kind int

// Kinds of events.
const (
	BalancerStarted Kind = iota // a balancer's process started
	BalancerDied                // a balancer's process ended: what it held is void
	BalancerFrozen              // a balancer's process was stopped: no rule binds it while it is
	BalancerResumed             // a frozen balancer runs on
	ServerAnnounced             // a balancer was told of a server: its Readiness, and when it StartedAt
	FlowAccepted                // a balancer accepted a flow, which it has to answer by Deadline
	ClientLeft                  // the client of a flow ended it
	ConnectEnded                // a connect ended: MayHaveRun says whether the server may have run the flow
	ConnectSent                 // a balancer sent a connect to a server
	ConnectArrived              // a connect arrived at a server: the Load that it brings, and the server's Capacity
	FlowAnswered                // a balancer gave its final Answer
	FlowEnded                   // an established flow ended
)

// kindNames are the words of reports.
var kindNames = [...]string{
	BalancerStarted: "began",
	BalancerDied:    "died",
	BalancerFrozen:  "stopped",
	BalancerResumed: "thawed",
	ServerAnnounced: "told",
	FlowAccepted:    "taken",
	ClientLeft:      "left",
	ConnectEnded:    "connect over",
	ConnectSent:     "sent",
	ConnectArrived:  "arrived",
	FlowAnswered:    "answered",
	FlowEnded:       "ended",
}

// String is the kind in the words of reports.
func (k Kind) String() string { return kindNames[k] }

// Readiness is a server's state as a balancer was told it.
type Readiness int

// States of a server.
const (
	Ready    Readiness = iota // it takes connects
	Draining                  // it takes none after a grace
	Gone                      // it is no longer listed
)

var readinessNames = [...]string{"ready", "draining", "gone"}

// Effect says what running a flow twice would do.
type Effect int

// Effects of a flow.
const (
	Idempotent      Effect = iota // none: it may run again anywhere
	IdempotentByKey               // none within Event.KeyWindow, on the servers of Event.KeyScope
	NotIdempotent                 // a second effect
)

// KeyScope says which servers drop repeats of a flow with an idempotency key.
type KeyScope int

// Scopes of a key, from the server that ran the flow first.
const (
	AllServers  KeyScope = iota // all servers
	ZoneServers                 // those of its zone
	CellServers                 // those of its cell
)

// Answer is a balancer's final answer to a flow.
type Answer int

// Answers to a flow.
const (
	Established Answer = iota // it is connected to a server
	Rejected                  // it was not run
	Aborted                   // it may have run
)

var answerNames = [...]string{"established", "rejected", "aborted"}

// The driver of a run chooses the ids.
type (
	// Flow numbers one attempt of a client.
	Flow int64
	// Connect numbers one attempt of a balancer.
	Connect int64
	// Server numbers a server.
	Server int
	// Balancer numbers a balancer.
	Balancer int
)

// Event is one thing seen. Which fields count beside At, Kind and Balancer is said with the kinds.
type Event struct {
	At         time.Duration // since the run's beginning
	Kind       Kind
	Balancer   Balancer
	Flow       Flow
	Connect    Connect
	Server     Server
	Zone       int // of the server
	Cell       int // of the server
	Deadline   time.Duration
	Effect     Effect
	KeyScope   KeyScope
	KeyWindow  time.Duration // for which a server remembers an idempotency key
	Readiness  Readiness
	StartedAt  time.Duration // of a server; LongAgo: before the run
	MayHaveRun bool
	Load       float64
	Capacity   float64 // load that the server can take a second
	Answer     Answer
}

// LongAgo is the start of a server that runs since before the run.
const LongAgo = time.Duration(-1 << 62)

// String is the event in the words of reports.
func (e Event) String() string {
	text := fmt.Sprintf("%.3fs %s balancer %d", e.At.Seconds(), e.Kind, e.Balancer)
	if e.Kind >= FlowAccepted {
		text += fmt.Sprintf(" flow %d", e.Flow)
	}
	switch e.Kind {
	case ServerAnnounced:
		text += fmt.Sprintf(" server %d is %s", e.Server, readinessNames[e.Readiness])
	case ConnectSent, ConnectArrived:
		text += fmt.Sprintf(" connect %d server %d", e.Connect, e.Server)
	case ConnectEnded:
		text += fmt.Sprintf(" connect %d may have run: %v", e.Connect, e.MayHaveRun)
	case FlowAccepted:
		text += fmt.Sprintf(" due %.3fs", e.Deadline.Seconds())
	case FlowAnswered:
		text += " " + answerNames[e.Answer]
	}
	return text
}
