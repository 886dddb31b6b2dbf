package virtual

import (
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

// connectState names where a connect stands.
type connectState int

const (
	dialing connectState = iota
	asked                // its line is out
	standing
	over
)

type connect struct {
	id     simulation.ConnID
	f      *flow
	server simulation.ServerID
	state  connectState
	sentAt time.Duration
}

// turn makes every change of a connect's state.
func (c *connect) turn(to connectState) { c.state = to }

// Up says that a server has set a connection up.
func (dr *Drive) Up(id simulation.ConnID) {
	c := dr.conns[id]
	if c == nil {
		return
	}
	dr.back(c, func() {
		if c.state != asked {
			return
		}
		c.turn(standing)
		in, f := c.f.in, c.f
		f.stands, f.answered = c, true
		in.held[c.server] = append(in.held[c.server], f)
		dr.see(invariants.Event{Kind: invariants.Answered, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f.id), Verdict: invariants.Established})
		in.event().OnEstablished(f.name, dr.w.Agenda.Now()-c.sentAt)
		dr.w.Agenda.After(dr.w.Net.Client, simulation.Message, func() { dr.w.Answered(f.id, simulation.Established, 0) })
	})
}

// back brings something from a server to its balancer, unless the network is cut.
func (dr *Drive) back(c *connect, do func()) {
	from, to := dr.w.Servers[c.server].Hall, c.f.in.hall
	if dr.w.Net.Blocked(from, to) {
		return
	}
	life := c.f.in.life
	dr.w.Agenda.After(dr.w.Net.Way(from, to), simulation.Message, func() {
		if c.f.in.up && c.f.in.life == life && c.state != over {
			do()
		}
	})
}

// Turn ends a connection by its server's will.
func (dr *Drive) Turn(id simulation.ConnID, how simulation.Refusal) {
	c := dr.conns[id]
	if c == nil {
		return
	}
	dr.back(c, func() {
		o := map[simulation.Refusal]decide.Outcome{simulation.Full: decide.Full, simulation.Failed: decide.Error, simulation.Dropped: decide.Reset,
			simulation.Sent: decide.Full, simulation.Closed: decide.Cancelled}[how]
		c.f.in.finish(c, o)
	})
}

// Late tells the balancers that hold connections on a server how long its messages take.
func (dr *Drive) Late(s simulation.ServerID, delay time.Duration) {
	hall := dr.w.Servers[s].Hall
	for _, in := range dr.inst {
		if !in.up || len(in.held[s]) == 0 || dr.w.Net.Blocked(hall, in.hall) {
			continue
		}
		life := in.life
		dr.w.Agenda.After(dr.w.Net.Way(hall, in.hall), simulation.Message, func() {
			if in.up && in.life == life && len(in.held[s]) > 0 {
				in.event().OnLatencySample(in.held[s][0].name, delay)
			}
		})
	}
}

// Changed says that a server is in another phase; balancers hear of it from the list alone.
func (dr *Drive) Changed(simulation.ServerID) {}

func (dr *Drive) arrive(c *connect) {
	if c.state != dialing {
		return
	}
	w, in := dr.w, c.f.in
	if !w.Servers[c.server].Alive() {
		in.finish(c, decide.Unreachable)
		return
	}
	c.turn(asked)
	s := w.Servers[c.server]
	if cl := w.Client(c.f.id); cl != nil && s.Since() != simulation.LongAgo {
		dr.see(invariants.Event{Kind: invariants.Arrived, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(c.f.id), Connect: invariants.Connect(c.id),
			Server: invariants.Server(c.server), Since: s.Since(), Load: cl.Load(), Takes: s.TakesNow()})
	}
	w.Arrive(c.id, c.server, c.f.id, in.hall)
}
