package scale

import (
	"slices"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// serviceType is one of those that clients use in turn.
type serviceType struct {
	effect decide.Effect
	seen   invariants.Effect
}

// services: what running a flow twice does.
var services = [...]serviceType{
	{decide.Idempotent, invariants.Idempotent},
	{decide.IdempotentByKey, invariants.IdempotentByKey},
	{decide.NotIdempotent, invariants.NotIdempotent},
}

// client holds one connection for good; when that ends it comes again.
type client struct {
	fleet   *fleet
	near    *instance // the balancer it comes to while that is up
	group   int
	service int
	flow    *flow
	wasCut  bool // and has not stood since
}

func (f *fleet) addClient(near *instance, group int) *client {
	c := &client{fleet: f, near: near, group: group, service: len(f.clients) % len(services)}
	f.clients = append(f.clients, c)
	return c
}

// come goes to the client's balancer, or to any other where that one is down.
func (c *client) come() {
	to := c.near
	if !to.up {
		to = c.fleet.anyUp()
	}
	if to == nil {
		c.fleet.schedule.after(retryAfter, c.come)
		return
	}
	to.take(c)
}

func (f *fleet) anyUp() *instance {
	var up []*instance
	for _, b := range f.balancers {
		if b.up {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.chance.IntN(len(up))]
}

// cut: its connection ended, and not by its will.
func (c *client) cut() {
	c.fleet.figures.cut++
	c.wasCut = true
	c.retry()
}

func (c *client) retry() {
	c.fleet.schedule.after(c.fleet.between(returnSoonest, returnLatest), c.come)
}

func (c *client) rejected() {
	c.fleet.schedule.after(retryAfter+c.fleet.between(0, returnLatest), c.come)
}

// established: it is served.
func (c *client) established() {
	now, figures := c.fleet.schedule.now, &c.fleet.figures
	if c.wasCut {
		figures.back = append(figures.back, now-faultAt)
	}
	c.wasCut = false
	figures.slowestSetup = max(figures.slowestSetup, now-c.flow.came)
}

// out is how many clients have no connection.
func (f *fleet) out() (clients int) {
	for _, c := range f.clients {
		if c.flow == nil || c.flow.stands == nil {
			clients++
		}
	}
	return clients
}

// ---- connects

func (f *fleet) connect(x *flow, to *backend) *connect {
	f.connects++
	c := &connect{id: invariants.Connect(f.connects), number: x.sent, flow: x, server: to, sentAt: f.schedule.now}
	x.out = append(x.out, c)
	return c
}

// arrive is when a connect comes in at its server.
func (c *connect) arrive() {
	f, s := c.flow.in.fleet, c.server
	if c.over {
		return
	}
	back := f.way(s.zone, c.flow.in.zone)
	if !s.alive {
		if !s.silent {
			f.schedule.after(back, func() { c.finish(decide.Unreachable) })
		}
		return
	}
	if s.since != invariants.LongAgo {
		f.see(invariants.Event{Kind: invariants.ConnectArrived, Balancer: invariants.Balancer(c.flow.in.id), Flow: c.flow.id, Connect: c.id,
			Server: invariants.Server(s.id), StartedAt: s.since, Load: loadEach, Capacity: s.takes(f)})
	}
	since := s.since
	f.schedule.after(f.between(fastestSetup, slowestSetup)+back, func() {
		if s.alive && s.since == since {
			c.stand()
		}
	})
}

// stand is when a balancer hears that its connect is up.
func (c *connect) stand() {
	x := c.flow
	b, f := x.in, x.in.fleet
	if c.over || !b.up || b.flows[x.name] != x {
		return
	}
	c.stands = true
	x.stands, x.answered = c, true
	c.server.held = append(c.server.held, c)
	f.see(invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(b.id), Flow: x.id, Answer: invariants.Established})
	b.event().OnEstablished(x.name, f.schedule.now-c.sentAt)
	x.client.established()
}

// finish ends a connect: the one place where the decisions hear of it.
func (c *connect) finish(o decide.Outcome) {
	x := c.flow
	b, f := x.in, x.in.fleet
	if c.over || !b.up || b.flows[x.name] != x {
		return
	}
	c.over = true
	x.out = slices.DeleteFunc(x.out, func(other *connect) bool { return other == c })
	f.drop(c)
	f.see(invariants.Event{Kind: invariants.ConnectEnded, Balancer: invariants.Balancer(b.id), Flow: x.id, Connect: c.id, MayHaveRun: !o.NeverRan()})
	if c.stands {
		x.stands = nil
		f.see(invariants.Event{Kind: invariants.FlowEnded, Balancer: invariants.Balancer(b.id), Flow: x.id})
		switch {
		case x.left:
		case o == decide.Cancelled:
			x.client.retry()
		default:
			x.client.cut()
		}
	}
	finished := x.answered || x.left
	if c.stands || finished {
		x.forget()
	}
	b.event().OnEnded(x.name, o, f.schedule.now-c.sentAt, finished)
}

// drop takes a connect off its server.
func (f *fleet) drop(c *connect) {
	if c.stands {
		c.server.held = slices.DeleteFunc(c.server.held, func(other *connect) bool { return other == c })
	}
}
