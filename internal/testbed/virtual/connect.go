package virtual

import (
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

// connectState is the state of a connect at its balancer.
type connectState int

const (
	dialing connectState = iota
	awaitingReply
	established
	ended
)

// connect is one attempt of a balancer to connect a flow to a server, and the connection that results.
type connect struct {
	id     simulation.ConnID
	flow   *flow
	server simulation.ServerID
	state  connectState
	sentAt time.Duration
}

// outcomes maps a server's reason for ending a connect to the outcome that the balancer sees.
var outcomes = map[simulation.EndReason]decide.Outcome{
	simulation.Full:               decide.Full,
	simulation.Failed:             decide.Error,
	simulation.Dropped:            decide.Reset,
	simulation.MigrationRequested: decide.Full,
	simulation.ServerStopped:      decide.Cancelled,
}

// transition changes the connect's state. All state changes go through it.
func (c *connect) transition(to connectState) { c.state = to }

// deliverConnect delivers a connect's request line to its server.
func (d *Driver) deliverConnect(c *connect) {
	if c.state != dialing {
		return
	}
	b, server := c.flow.balancer, d.world.Servers[c.server]
	if !server.IsServing() {
		b.endConnect(c, decide.Unreachable)
		return
	}
	c.transition(awaitingReply)
	if client := d.world.Client(c.flow.id); client != nil && server.StartedAt() != simulation.LongAgo {
		e := b.connectEvent(invariants.ConnectArrived, c)
		e.Server, e.StartedAt = invariants.Server(c.server), server.StartedAt()
		e.Load, e.Capacity = client.Load(), server.SlowStartRate()
		d.observe(e)
	}
	d.world.DeliverConnect(c.id, c.server, c.flow.id, b.locality)
}

// Establish delivers to a balancer a server's message that its connection is established.
func (d *Driver) Establish(id simulation.ConnID) {
	c := d.connects[id]
	if c == nil {
		return
	}
	d.sendToBalancer(c, func() {
		if c.state == awaitingReply {
			c.flow.balancer.establish(c)
		}
	})
}

func (b *balancer) establish(c *connect) {
	d, f := b.driver, c.flow
	c.transition(established)
	f.established, f.isAnswered = c, true
	b.established[c.server] = append(b.established[c.server], f)
	e := b.flowEvent(invariants.FlowAnswered, f.id)
	e.Answer = invariants.Established
	d.observe(e)
	b.decide().OnEstablished(f.decideID, d.world.Schedule.Now()-c.sentAt)
	d.afterClientDelay(func() { d.world.AnswerFlow(f.id, simulation.Established, 0) })
}

// EndConnect tells a balancer that a server has ended a connect or a connection.
func (d *Driver) EndConnect(id simulation.ConnID, reason simulation.EndReason) {
	c := d.connects[id]
	if c == nil {
		return
	}
	d.sendToBalancer(c, func() { c.flow.balancer.endConnect(c, outcomes[reason]) })
}

// sendToBalancer runs an action after the network delay from a connect's server to its balancer, unless the network is partitioned.
func (d *Driver) sendToBalancer(c *connect, do func()) {
	b, from := c.flow.balancer, d.world.Servers[c.server].Locality
	if d.world.Network.IsBlocked(from, b.locality) {
		return
	}
	d.world.Schedule.After(d.world.Network.Delay(from, b.locality), simulation.Message, b.whileRunning(func() {
		if c.state != ended {
			do()
		}
	}))
}

// endConnect ends a connect and tells the decider. All connects end here, except when their balancer is killed.
func (b *balancer) endConnect(c *connect, outcome decide.Outcome) {
	if c.state == ended || !b.isUp {
		return
	}
	d, f := b.driver, c.flow
	wasEstablished := c.state == established
	c.transition(ended)
	delete(d.connects, c.id)
	f.outstanding = slices.DeleteFunc(f.outstanding, func(other *connect) bool { return other == c })
	d.closeAtServer(c)
	e := b.connectEvent(invariants.ConnectEnded, c)
	e.MayHaveRun = !outcome.NeverRan()
	d.observe(e)
	if wasEstablished {
		b.endEstablished(c, outcome)
	}
	isFinished := f.isAnswered || f.clientLeft
	if wasEstablished || isFinished {
		b.forget(f)
	}
	b.decide().OnEnded(f.decideID, outcome, d.world.Schedule.Now()-c.sentAt, isFinished)
}

// endEstablished ends a flow whose connection was established, and tells its client unless the client has left.
func (b *balancer) endEstablished(c *connect, outcome decide.Outcome) {
	d, f := b.driver, c.flow
	f.established = nil
	b.established[c.server] = slices.DeleteFunc(b.established[c.server], func(other *flow) bool { return other == f })
	d.observe(b.flowEvent(invariants.FlowEnded, f.id))
	if f.clientLeft {
		return
	}
	how := simulation.Cut
	if outcome == decide.Cancelled || outcome == decide.Full {
		how = simulation.Migrated
	}
	d.afterClientDelay(func() { d.world.BreakFlow(f.id, how) })
}

// closeAtServer tells a server, after the network delay, that the balancer has closed a connection.
func (d *Driver) closeAtServer(c *connect) {
	delay := d.world.Network.Delay(c.flow.balancer.locality, d.world.Servers[c.server].Locality)
	d.world.Schedule.After(delay, simulation.Message, func() { d.world.CloseConnect(c.id) })
}

// ReportDelay delivers a server's message delay to the balancers that have connections to it.
func (d *Driver) ReportDelay(id simulation.ServerID, delay time.Duration) {
	from := d.world.Servers[id].Locality
	for _, b := range d.balancers {
		if !b.isUp || len(b.established[id]) == 0 || d.world.Network.IsBlocked(from, b.locality) {
			continue
		}
		d.world.Schedule.After(d.world.Network.Delay(from, b.locality), simulation.Message, b.whileRunning(func() {
			if flows := b.established[id]; len(flows) > 0 {
				b.decide().OnLatencySample(flows[0].decideID, delay)
			}
		}))
	}
}

// ServerChanged does nothing, as balancers are not told of a server's phase at once: they learn of it from the server list, from connects
// that fail and from connections that end.
func (d *Driver) ServerChanged(simulation.ServerID) {}
