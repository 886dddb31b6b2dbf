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
	over
)

// connect is one connection of a balancer to a server, for one flow.
type connect struct {
	id     simulation.ConnID
	flow   *flow
	server simulation.ServerID
	state  connectState
	sentAt time.Duration
}

// outcomes of connects that a server ends.
var outcomes = map[simulation.EndReason]decide.Outcome{
	simulation.Full:          decide.Full,
	simulation.Failed:        decide.Error,
	simulation.Dropped:       decide.Reset,
	simulation.MoveRequested: decide.Full,
	simulation.ServerStopped: decide.Cancelled,
}

// transition makes every change of a connect's state.
func (c *connect) transition(to connectState) { c.state = to }

// arriveConnect brings a connect's line to its server.
func (d *Driver) arriveConnect(c *connect) {
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
	d.world.ArriveConnect(c.id, c.server, c.flow.id, b.locality)
}

// Establish brings a server's word that a connection is established to its balancer.
func (d *Driver) Establish(id simulation.ConnID) {
	c := d.connects[id]
	if c == nil {
		return
	}
	d.sendBack(c, func() {
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
	b.decide().OnEstablished(f.name, d.world.Schedule.Now()-c.sentAt)
	d.sendToClient(func() { d.world.AnswerFlow(f.id, simulation.Established, 0) })
}

// EndConnect brings a server's end of a connection to its balancer.
func (d *Driver) EndConnect(id simulation.ConnID, reason simulation.EndReason) {
	c := d.connects[id]
	if c == nil {
		return
	}
	d.sendBack(c, func() { c.flow.balancer.endConnect(c, outcomes[reason]) })
}

// sendBack brings something from a connect's server to its balancer, unless the network is cut.
func (d *Driver) sendBack(c *connect, do func()) {
	b, from := c.flow.balancer, d.world.Servers[c.server].Locality
	if d.world.Network.IsBlocked(from, b.locality) {
		return
	}
	d.world.Schedule.After(d.world.Network.Delay(from, b.locality), simulation.Message, b.whileRunning(func() {
		if c.state != over {
			do()
		}
	}))
}

// endConnect ends a connect. It is the one place where a decider is told so.
func (b *balancer) endConnect(c *connect, outcome decide.Outcome) {
	if c.state == over || !b.isUp {
		return
	}
	d, f := b.driver, c.flow
	wasEstablished := c.state == established
	c.transition(over)
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
	b.decide().OnEnded(f.name, outcome, d.world.Schedule.Now()-c.sentAt, isFinished)
}

// endEstablished ends a flow whose connection was established, and tells its client unless that has left.
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
	d.sendToClient(func() { d.world.BreakFlow(f.id, how) })
}

// closeAtServer has a server see that a balancer has ended its connection.
func (d *Driver) closeAtServer(c *connect) {
	delay := d.world.Network.Delay(c.flow.balancer.locality, d.world.Servers[c.server].Locality)
	d.world.Schedule.After(delay, simulation.Message, func() { d.world.CloseConnect(c.id) })
}

// ReportDelay tells the balancers with connections to a server how long its messages take.
func (d *Driver) ReportDelay(id simulation.ServerID, delay time.Duration) {
	from := d.world.Servers[id].Locality
	for _, b := range d.balancers {
		if !b.isUp || len(b.established[id]) == 0 || d.world.Network.IsBlocked(from, b.locality) {
			continue
		}
		d.world.Schedule.After(d.world.Network.Delay(from, b.locality), simulation.Message, b.whileRunning(func() {
			if flows := b.established[id]; len(flows) > 0 {
				b.decide().OnLatencySample(flows[0].name, delay)
			}
		}))
	}
}

// ServerChanged does nothing: balancers are told of a server's phase by the list alone.
func (d *Driver) ServerChanged(simulation.ServerID) {}
