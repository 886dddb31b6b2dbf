package invariants

import (
	"fmt"
	"time"
)

// Kind is the kind of an event. The order of the constants puts causes before effects among events with the same time.
type Kind int

// Kinds of events.
const (
	BalancerStarted Kind = iota // a balancer's process started
	BalancerDied                // a balancer's process ended, and with it its flows
	BalancerFrozen              // a balancer's process was suspended; no rule applies to it until it resumes
	BalancerResumed             // a suspended process continued
	ServerAnnounced             // a balancer was told of a server: its Readiness and StartedAt
	FlowAccepted                // a balancer accepted a flow, which it must answer by Deadline
	ClientLeft                  // the client of a flow ended it
	ConnectEnded                // a connect ended; MayHaveRun tells whether the server may have run the flow
	ConnectSent                 // a balancer sent a connect to a server
	ConnectArrived              // a connect arrived at a server: its Load, and the server's Capacity
	FlowAnswered                // a balancer gave a flow its final Answer
	FlowEnded                   // an established flow ended
)

// kindNames are the names used in reports.
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

// String returns the kind's name as used in reports.
func (k Kind) String() string { return kindNames[k] }

// Readiness is the state of a server as announced to a balancer.
type Readiness int

// States of a server.
const (
	Ready    Readiness = iota // connects may be sent
	Draining                  // no connects may be sent after the drain grace
	Gone                      // no longer listed; treated as draining
)

var readinessNames = [...]string{"ready", "draining", "gone"}

// Effect is the effect of running a flow a second time.
type Effect int

// Effects of a second run.
const (
	Idempotent      Effect = iota // none; the flow may run again anywhere
	IdempotentByKey               // none within Event.KeyWindow on the servers of Event.KeyScope
	NotIdempotent                 // a duplicate effect
)

// KeyScope is the deduplication scope of a flow with an idempotency key: the servers that recognize a repeat.
type KeyScope int

// Deduplication scopes, relative to the server that ran the flow first.
const (
	AllServers  KeyScope = iota // all servers
	ZoneServers                 // the servers of the same zone
	CellServers                 // the servers of the same cell
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

// IDs, which the driver of a run chooses.
type (
	// Flow numbers one attempt of a client.
	Flow int64
	// Connect numbers one attempt of a balancer to connect a flow to a server.
	Connect int64
	// Server numbers a server.
	Server int
	// Balancer numbers a balancer.
	Balancer int
)

// Event is one observation of a run. The comments on the kinds tell which fields are set beside At, Kind and Balancer.
type Event struct {
	At         time.Duration // since the beginning of the run
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
	KeyWindow  time.Duration // how long servers remember an idempotency key
	Readiness  Readiness
	StartedAt  time.Duration // of a server; LongAgo: before the run
	MayHaveRun bool
	Load       float64
	Capacity   float64 // load that the server can take per second
	Answer     Answer
}

// LongAgo is the start time of a server that was started before the run.
const LongAgo = time.Duration(-1 << 62)

// String formats the event for reports.
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
