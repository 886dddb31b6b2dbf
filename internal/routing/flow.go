package routing

import (
	"context"
	"log/slog"
	"time"

	"yardwinch/decide"
)

// Verdict is what the module says of a flow that waits.
type Verdict int

// Verdicts.
const (
	Connect Verdict = iota
	Reject          // trying again does no harm
	Abort           // nothing is promised
)

// Decision is a verdict with what goes with it: where to connect and until when, or when to come again. It is a point in time, as the verdict
// may be picked up late.
type Decision struct {
	Verdict    Verdict
	Addr       string
	Deadline   time.Time
	RetryAfter time.Duration
}

// Flow is one client's connection as the network code holds it.
type Flow struct {
	r      *Router
	id     decide.FlowID
	choice chan Decision // the verdict not yet picked up; the module gives one at a time
	server *server
	sentAt time.Duration
	hold   func() // a standing connection's first report
	cancel func()

	moving bool
	onMove func()
	over   bool // the client has its answer, or went without one
	up     bool
	asked  time.Duration // since when a line waits for an answer; 0: none does
	heard  time.Duration // when the client last sent a line

	links [2]link // in the router's asking and quiet
	place int     // in server.up
}

func (f *Flow) decided(c Decision) {
	select {
	case f.choice <- c:
	default: // the flow was given up before it picked the last one up
	}
}

// AwaitDecision waits for the verdict. cancel is called if the module takes the connect back.
func (f *Flow) AwaitDecision(ctx context.Context, cancel func()) (Decision, error) {
	select {
	case c := <-f.choice: // before the context: at the very end both are there, and the answer is still owed
		return f.picked(c, cancel), nil
	default:
	}
	select {
	case <-ctx.Done():
		return Decision{}, ctx.Err()
	case c := <-f.choice:
		return f.picked(c, cancel), nil
	}
}

func (f *Flow) picked(c Decision, cancel func()) Decision {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	f.cancel = cancel
	if c.Verdict != Connect {
		slog.Debug("answered", "flow", f.id, "verdict", int(c.Verdict), "after", c.RetryAfter)
		delete(f.r.flows, f.id)
	}
	return c
}

// StillAllowed tells, just before the first byte, whether the server still takes flows: it may have been told to drain
// while the connection came up. One that was open there before the start is nothing new.
func (f *Flow) StillAllowed() bool {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	return f.server.ready() || f.hold != nil
}

// OnEstablished reports that the connection stands.
func (f *Flow) OnEstablished() {
	now := f.r.enter()
	defer f.r.mu.Unlock()
	f.over, f.up, f.heard = true, true, now
	f.r.watch(f)
	slog.Debug("up", "flow", f.id, "server", f.server.name, "took", now-f.sentAt)
	if f.hold != nil {
		f.hold()
		return
	}
	f.r.b.OnEstablished(f.id, now-f.sentAt)
}

// OnEnded tells how the connect or the connection ended. Unless the client has its answer, the next verdict follows.
func (f *Flow) OnEnded(o Outcome) {
	now := f.r.enter()
	defer f.r.mu.Unlock()
	slog.Debug("ended", "flow", f.id, "server", f.server.name, "outcome", int(o), "stood", f.up, "took", now-f.sentAt)
	f.server.ends(f.id)
	if f.up && o == Reset {
		f.server.dropped = now
	}
	if f.up {
		f.r.unwatch(f)
	}
	f.up, f.asked = false, 0
	over := f.over
	f.r.b.OnEnded(f.id, o, now-f.sentAt, over)
	if over {
		delete(f.r.flows, f.id)
	}
}

// Abandon says that the client went, or that its time is over, before any verdict was picked up.
func (f *Flow) Abandon() {
	f.r.enter()
	defer f.r.mu.Unlock()
	f.r.b.OnClientLeft(f.id)
	select {
	case c := <-f.choice:
		if c.Verdict == Connect { // decided just now: nobody will send it
			f.r.b.OnEnded(f.id, decide.NeverSent, 0, true)
		}
	default:
	}
	delete(f.r.flows, f.id)
}

// OnClientLeft says the same while a connect is out, whose end is still to be reported.
func (f *Flow) OnClientLeft() {
	f.r.enter()
	defer f.r.mu.Unlock()
	f.over = true
	f.r.b.OnClientLeft(f.id)
}

// OnMigrate sets what asks the client to come again elsewhere; at once, if that has been decided already.
func (f *Flow) OnMigrate(do func()) {
	f.r.mu.Lock()
	f.onMove = do
	already := f.moving
	f.r.mu.Unlock()
	if already {
		do()
	}
}

// Server names where the connection stands, unless its client has been asked to move.
func (f *Flow) Server() (name string, moving bool) {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	return f.server.name, f.moving
}

// RequestMigration asks for it from outside, as when this balancer stops.
func (f *Flow) RequestMigration() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	f.move()
}

func (f *Flow) move() {
	if first := !f.moving; first {
		f.moving = true
		if f.onMove != nil {
			f.onMove()
		}
	}
}
