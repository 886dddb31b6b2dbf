package scale

import (
	"slices"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// serviceType is a service that clients use.
type serviceType struct {
	effect         decide.Effect
	observedEffect invariants.Effect
}

// services are used by the clients in turn; they differ in the effect of running a flow twice.
var services = [...]serviceType{
	{decide.Idempotent, invariants.Idempotent},
	{decide.IdempotentByKey, invariants.IdempotentByKey},
	{decide.NotIdempotent, invariants.NotIdempotent},
}

// client holds one connection and connects again when it ends.
type client struct {
	fleet           *fleet
	preferred       *instance // the balancer that it uses while that is up
	group           int
	service         int
	flow            *flowState
	wasDisconnected bool // since it was last established
}

func (f *fleet) addClient(near *instance, group int) *client {
	c := &client{fleet: f, preferred: near, group: group, service: len(f.clients) % len(services)}
	f.clients = append(f.clients, c)
	return c
}

// arrive connects to the preferred balancer, or to a random one if that is down.
func (c *client) arrive() {
	to := c.preferred
	if !to.up {
		to = c.fleet.randomUpBalancer()
	}
	if to == nil {
		c.fleet.schedule.after(retryAfter, c.arrive)
		return
	}
	to.accept(c)
}

func (f *fleet) randomUpBalancer() *instance {
	var up []*instance
	for _, b := range f.balancers {
		if b.up {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.random.IntN(len(up))]
}

// onDisconnected runs when the client's connection ends other than by a migration, or when its balancer stops. It also
// runs when the client closes the connection itself; see leave.
func (c *client) onDisconnected() {
	c.fleet.stats.disconnected++
	c.wasDisconnected = true
	c.scheduleReturn()
}

func (c *client) scheduleReturn() {
	c.fleet.schedule.after(c.fleet.randomDelay(minReturnDelay, maxReturnDelay), c.arrive)
}

func (c *client) onRejected() {
	c.fleet.schedule.after(retryAfter+c.fleet.randomDelay(0, maxReturnDelay), c.arrive)
}

// onEstablished runs when the client's flow is established.
func (c *client) onEstablished() {
	now := c.fleet.schedule.now
	stats := &c.fleet.stats
	if c.wasDisconnected {
		stats.recoveryTimes = append(stats.recoveryTimes, now-faultAt)
	}
	c.wasDisconnected = false
	stats.slowestSetup = max(stats.slowestSetup, now-c.flow.arrivedAt)
}

// unservedClients counts the clients without a connection.
func (f *fleet) unservedClients() (clients int) {
	for _, c := range f.clients {
		if c.flow == nil || c.flow.current == nil {
			clients++
		}
	}
	return clients
}

// ---- connects

func (f *fleet) connect(flow *flowState, to *backend) *connect {
	f.connectCount++
	c := &connect{id: invariants.Connect(f.connectCount), flow: flow, server: to, sentAt: f.schedule.now}
	flow.connects = append(flow.connects, c)
	return c
}

// arrive runs when a connect reaches its server.
func (c *connect) arrive() {
	f := c.flow.balancer.fleet
	s := c.server
	if c.ended {
		return
	}
	back := f.delay(s.zone, c.flow.balancer.zone)
	if !s.alive {
		if !s.silent {
			f.schedule.after(back, func() { c.finish(decide.Unreachable) })
		}
		return
	}
	if s.since != invariants.LongAgo {
		f.observe(invariants.Event{
			Kind:      invariants.ConnectArrived,
			Balancer:  invariants.Balancer(c.flow.balancer.id),
			Flow:      c.flow.id,
			Connect:   c.id,
			Server:    invariants.Server(s.id),
			StartedAt: s.since,
			Load:      connectionLoad,
			Capacity:  s.capacity(f),
		})
	}
	since := s.since
	f.schedule.after(f.randomDelay(minSetup, maxSetup)+back, func() {
		if s.alive && s.since == since {
			c.establish()
		}
	})
}

// establish runs when a balancer learns that its connect succeeded.
func (c *connect) establish() {
	flow := c.flow
	b, f := flow.balancer, flow.balancer.fleet
	if c.ended || !b.up || b.flows[flow.flowID] != flow {
		return
	}
	c.established = true
	flow.current = c
	flow.answered = true
	c.server.connects = append(c.server.connects, c)
	f.observe(invariants.Event{
		Kind:     invariants.FlowAnswered,
		Balancer: invariants.Balancer(b.id),
		Flow:     flow.id,
		Answer:   invariants.Established,
	})
	b.event().OnEstablished(flow.flowID, f.schedule.now-c.sentAt)
	flow.client.onEstablished()
}

// finish ends a connect. Nothing else reports the end of a connect to the decisions.
func (c *connect) finish(outcome decide.Outcome) {
	flow := c.flow
	b, f := flow.balancer, flow.balancer.fleet
	if c.ended || !b.up || b.flows[flow.flowID] != flow {
		return
	}
	c.ended = true
	flow.connects = slices.DeleteFunc(flow.connects, func(other *connect) bool { return other == c })
	f.removeConnect(c)
	f.observe(invariants.Event{
		Kind:       invariants.ConnectEnded,
		Balancer:   invariants.Balancer(b.id),
		Flow:       flow.id,
		Connect:    c.id,
		MayHaveRun: !outcome.NeverRan(),
	})
	if c.established {
		flow.current = nil
		f.observe(invariants.Event{Kind: invariants.FlowEnded, Balancer: invariants.Balancer(b.id), Flow: flow.id})
		switch {
		case flow.clientLeft:
		case outcome == decide.Cancelled:
			flow.client.scheduleReturn()
		default:
			flow.client.onDisconnected()
		}
	}
	finished := flow.answered || flow.clientLeft
	if c.established || finished {
		flow.forget()
	}
	b.event().OnEnded(flow.flowID, outcome, f.schedule.now-c.sentAt, finished)
}

// removeConnect removes a connect from its server.
func (f *fleet) removeConnect(c *connect) {
	if c.established {
		c.server.connects = slices.DeleteFunc(c.server.connects, func(other *connect) bool { return other == c })
	}
}
