package virtual

import (
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

// balancer carries out the actions of its decider.
var _ decide.Actions = (*balancer)(nil)

// Connect sends a connect for a flow to a server. The connect fails if the server does not establish it before the flow's deadline, or, if
// limit is positive, within limit. A flow's connects beyond maxConnects fail without being sent.
func (b *balancer) Connect(id decide.FlowID, to decide.ServerID, limit time.Duration) {
	d, f := b.driver, b.flow(id)
	server, known := d.serverOf[to]
	if f == nil || !known {
		return
	}
	c := b.startConnect(f, server)
	if f.sentCount > d.maxConnects {
		d.world.Schedule.After(0, simulation.Message, func() { b.endConnect(c, decide.NeverSent) })
		return
	}
	b.countConnect(c)
	deadline := f.deadline
	if limit > 0 {
		deadline = min(deadline, c.sentAt+limit)
	}
	d.world.Schedule.At(deadline, simulation.Wake, func() {
		if c.state == dialing || c.state == awaitingReply {
			b.endConnect(c, decide.TimedOut)
		}
	})
	b.dial(c)
}

func (b *balancer) startConnect(f *flow, server simulation.ServerID) *connect {
	d := b.driver
	c := &connect{id: d.world.NewConnID(), flow: f, server: server, state: dialing, sentAt: d.world.Schedule.Now()}
	f.sentCount++
	f.outstanding = append(f.outstanding, c)
	d.connects[c.id] = c
	return c
}

func (b *balancer) countConnect(c *connect) {
	d, server := b.driver, b.driver.world.Servers[c.server]
	d.Counts.Connects++
	d.Counts.ConnectedAt = append(d.Counts.ConnectedAt, c.sentAt)
	if server.Locality != b.locality {
		d.Counts.Crossings++
	}
	e := b.connectEvent(invariants.ConnectSent, c)
	e.Server, e.Zone, e.Cell = invariants.Server(c.server), int(server.Locality), int(server.Cell)
	d.observe(e)
}

// dial schedules a connect's arrival at its server, or its failure if the server can't be reached.
func (b *balancer) dial(c *connect) {
	w := b.driver.world
	oneWay := w.Network.Delay(b.locality, w.Servers[c.server].Locality)
	fail := func() { b.endConnect(c, decide.Unreachable) }
	switch w.Reachability(b.locality, c.server) {
	case simulation.Refused:
		w.Schedule.After(2*oneWay, simulation.Message, fail)
	case simulation.Unresponsive:
		w.Schedule.After(b.driver.connectTimeout, simulation.Message, fail)
	default: // a round trip to open the connection, then the request line
		w.Schedule.After(3*oneWay, simulation.Message, func() { b.driver.deliverConnect(c) })
	}
}

// Reject answers a flow as rejected: it did not run.
func (b *balancer) Reject(id decide.FlowID, retryAfter time.Duration) {
	b.driver.Counts.Rejects++
	b.answer(id, invariants.Rejected, simulation.Rejected, retryAfter)
}

// Abort answers a flow as aborted: it may have run.
func (b *balancer) Abort(id decide.FlowID) {
	b.driver.Counts.Aborts++
	b.answer(id, invariants.Aborted, simulation.Aborted, 0)
}

// answer reports every answer to the checker, and sends the client only the first one.
func (b *balancer) answer(id decide.FlowID, observed invariants.Answer, answer simulation.Answer, retryAfter time.Duration) {
	const unknownFlow = -1
	d, f := b.driver, b.flow(id)
	e := b.flowEvent(invariants.FlowAnswered, unknownFlow)
	e.Answer = observed
	if f == nil {
		d.observe(e)
		return
	}
	e.Flow = invariants.Flow(f.id)
	d.observe(e)
	if f.isAnswered {
		return
	}
	f.isAnswered = true
	b.forget(f)
	d.afterClientDelay(func() { d.world.AnswerFlow(f.id, answer, retryAfter) })
}

// Migrate asks an established flow's client to reconnect.
func (b *balancer) Migrate(id decide.FlowID) {
	f := b.flow(id)
	if f == nil || f.established == nil {
		return
	}
	d, c := b.driver, f.established
	d.Counts.Migrations++
	d.Counts.MigratedAt = append(d.Counts.MigratedAt, d.world.Schedule.Now())
	d.world.Schedule.After(0, simulation.Message, func() {
		if c.state == established && !f.clientLeft {
			b.endConnect(c, decide.Cancelled)
		}
	})
}

// HealthCheck checks whether a server accepts a new connection, and reports the outcome to the decider.
func (b *balancer) HealthCheck(id decide.ServerID) {
	server, known := b.driver.serverOf[id]
	if !known {
		return
	}
	w := b.driver.world
	b.driver.Counts.HealthChecks++
	outcome, took := decide.OK, 2*w.Network.Delay(b.locality, w.Servers[server].Locality)
	switch w.Reachability(b.locality, server) {
	case simulation.Refused:
		outcome = decide.Unreachable
	case simulation.Unresponsive:
		outcome, took = decide.TimedOut, b.driver.connectTimeout
	}
	w.Schedule.After(took, simulation.Message, b.whileRunning(func() { b.decide().OnHealthCheck(id, outcome) }))
}

// SetTimer calls the decider's OnTimer after a delay of at least a microsecond.
func (b *balancer) SetTimer(id decide.TimerID, delay time.Duration) {
	b.driver.world.Schedule.After(max(delay, time.Microsecond), simulation.Wake, b.whileRunning(func() { b.decide().OnTimer(id) }))
}
