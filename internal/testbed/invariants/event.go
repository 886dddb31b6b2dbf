package invariants

import (
	"fmt"
	"time"
)

// Kind says what was seen. At one instant causes come before effects, in this order.
type Kind int

// Kinds of events.
const (
	Began       Kind = iota // a balancer started
	Died                    // a balancer ended: what it held is void
	Stopped                 // a balancer was frozen: it runs no further, and no rule binds it
	Thawed                  // it runs on
	Told                    // a balancer was told of a server: State, and Since of its start
	Taken                   // a balancer took a flow: Due is by when it must answer
	Left                    // the client of a flow went
	ConnectOver             // a connect ended: Ran says whether it may have run
	Sent                    // a connect went out to a server
	Arrived                 // a connect came in at a server: Load it brings, and Takes what the server can take a second
	Answered                // the balancer's final answer
	Ended                   // an established flow ended
)

var kinds = [...]string{"began", "died", "stopped", "thawed", "told", "taken", "left", "connect over", "sent", "arrived", "answered", "ended"}

func (k Kind) String() string { return kinds[k] }

// State of a server as a balancer was told.
type State int

// States of a server.
const (
	Ready State = iota
	Draining
	Gone
)

// Effect says what running a flow twice would do.
type Effect int

// Effects of a flow.
const (
	Repeatable Effect = iota // none: it may run again anywhere
	Referenced               // none within its window, where its reference reaches
	OnceOnly                 // a second one
)

// Reach says which servers drop repeats of a referenced flow.
type Reach int

// Reaches of a reference, from the server that ran the flow first.
const (
	ReachAll  Reach = iota // all servers
	ReachZone              // those of its zone
	ReachCell              // those of its cell
)

// Verdict is the answer that was given.
type Verdict int

// Verdicts on a flow.
const (
	Established Verdict = iota
	Rejected
	Aborted
)

// Ids are the driver's own.
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

// Event is one thing seen.
type Event struct {
	At       time.Duration
	Kind     Kind
	Balancer Balancer
	Flow     Flow
	Connect  Connect
	Server   Server
	Zone     int
	Cell     int
	Due      time.Duration
	Effect   Effect
	Reach    Reach
	Window   time.Duration
	State    State
	Since    time.Duration // start of a server; LongAgo: before anybody asked
	Ran      bool
	Load     float64
	Takes    float64
	Verdict  Verdict
}

// LongAgo is the start of a server that nobody was told of.
const LongAgo = time.Duration(-1 << 62)

func (e Event) String() string {
	s := fmt.Sprintf("%.3fs %s balancer %d", e.At.Seconds(), e.Kind, e.Balancer)
	if e.Kind >= Taken {
		s += fmt.Sprintf(" flow %d", e.Flow)
	}
	switch e.Kind {
	case Told:
		s += fmt.Sprintf(" server %d is %s", e.Server, [...]string{"ready", "draining", "gone"}[e.State])
	case Sent, Arrived:
		s += fmt.Sprintf(" connect %d server %d", e.Connect, e.Server)
	case ConnectOver:
		s += fmt.Sprintf(" connect %d may have run: %v", e.Connect, e.Ran)
	case Taken:
		s += fmt.Sprintf(" due %.3fs", e.Due.Seconds())
	case Answered:
		s += " " + [...]string{"established", "rejected", "aborted"}[e.Verdict]
	}
	return s
}
