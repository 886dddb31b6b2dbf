package scale

import (
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// instance is one hollow balancer of a fleet: the real decisions, and connects that the fleet carries out.
type instance struct {
	fleet       *fleet
	id          int
	zone        int
	up          bool
	incarnation int
	started     time.Duration
	updatesAt   time.Duration // of the last news on their way
	module      *decide.Balancer
	flows       map[decide.FlowID]*flow
	inOrder     []*flow // as they came; those that are over are swept out now and then
}

// flow is one try of a client.
type flow struct {
	id       invariants.Flow
	name     decide.FlowID
	in       *instance
	client   *client
	came     time.Duration
	due      time.Duration
	sent     int
	out      []*connect
	stands   *connect
	answered bool
	left     bool
}

// connect is one connect of a flow, from its sending to its end.
type connect struct {
	id     invariants.Connect
	number int
	flow   *flow
	server *backend
	sentAt time.Duration
	stands bool
	over   bool
}

// ---- lives

// start begins a life that knows nothing but the list.
func (b *instance) start() {
	f := b.fleet
	b.incarnation++
	b.up, b.started = true, f.schedule.now
	b.flows, b.inOrder = map[decide.FlowID]*flow{}, nil
	f.see(invariants.Event{Kind: invariants.BalancerStarted, Balancer: invariants.Balancer(b.id)})
	b.module = decide.New(f.chance.Uint64(), b)
	startHollow(b.module, terms{peers: f.peers, inZone: b.zone})
	b.module.SetTime(0)
	var listed []*backend
	for _, s := range f.servers {
		if s.listed != decide.Gone {
			listed = append(listed, s)
		}
	}
	b.list(decide.FullUpdate, entries(listed))
}

// fall ends a life; clients hear nothing but the end of their connections.
func (b *instance) fall() {
	f := b.fleet
	b.up = false
	f.see(invariants.Event{Kind: invariants.BalancerDied, Balancer: invariants.Balancer(b.id)})
	for _, x := range b.inOrder {
		if b.flows[x.name] != x {
			continue
		}
		for _, c := range x.out {
			c.over = true
			f.drop(c)
		}
		if owed := x.stands != nil || !x.answered; owed && !x.left {
			x.client.cut()
		}
	}
	b.flows, b.inOrder = nil, nil
}

// event opens an event: what is decided in it happens now.
func (b *instance) event() *decide.Balancer {
	b.module.SetTime(b.fleet.schedule.now - b.started)
	return b.module
}

// ---- the list

var announcedStates = [...]invariants.Readiness{decide.Ready: invariants.Ready, decide.Draining: invariants.Draining, decide.Gone: invariants.Gone}

func (b *instance) list(kind decide.UpdateKind, list []server) {
	m := b.event()
	named := map[decide.ServerID]bool{}
	m.BeginEndpoints(kind)
	for _, s := range list {
		named[s.id] = true
		b.told(s.id, s.state, s.since)
		since := decide.LongAgo
		if s.since != invariants.LongAgo {
			since = s.since - b.started
		}
		m.OnEndpoint(decide.Endpoint{ID: s.id, Zone: zoneName(s.zone), Cell: decide.CellID(s.zone), Size: 1, Readiness: s.state, StartedAt: since})
	}
	if kind == decide.FullUpdate {
		for _, s := range b.fleet.servers {
			if !named[s.id] {
				b.told(s.id, decide.Gone, invariants.LongAgo)
			}
		}
	}
	m.EndEndpoints()
}

func (b *instance) told(id decide.ServerID, state decide.Readiness, since time.Duration) {
	b.fleet.see(invariants.Event{Kind: invariants.ServerAnnounced, Balancer: invariants.Balancer(b.id), Server: invariants.Server(id),
		Readiness: announcedStates[state], StartedAt: since})
}

// ---- flows

func (b *instance) add(c *client) *flow {
	f := b.fleet
	f.flows++
	x := &flow{id: invariants.Flow(f.flows), name: flowName(int(f.flows)), in: b, client: c, came: f.schedule.now}
	b.flows[x.name] = x
	b.inOrder = append(b.inOrder, x)
	if len(b.inOrder) > 2*len(b.flows)+16 {
		b.inOrder = slices.DeleteFunc(b.inOrder, func(x *flow) bool { return b.flows[x.name] != x })
	}
	c.flow = x
	return x
}

// hold begins with a connection that stands.
func (b *instance) hold(c *client, s *backend) {
	x := b.add(c)
	x.answered, x.sent = true, 1
	x.stands = b.fleet.connect(x, s)
	x.stands.stands = true
	s.held = append(s.held, x.stands)
	b.event().AdoptFlow(decide.FlowRequest{ID: x.name, Service: decide.ServiceID(c.service), Customer: decide.NoCustomer, Group: groupName(c.group)}, s.id)
}

// take has a client come.
func (b *instance) take(c *client) {
	x, now := b.add(c), b.fleet.schedule.now
	x.due = now + connectTimeout - relayReserve
	t := services[c.service]
	b.fleet.see(invariants.Event{Kind: invariants.FlowAccepted, Balancer: invariants.Balancer(b.id), Flow: x.id, Deadline: now + connectTimeout,
		Effect: t.seen, KeyWindow: repeatWindow})
	b.event().OnFlow(decide.FlowRequest{ID: x.name, Service: decide.ServiceID(c.service), Customer: decide.NoCustomer, Group: groupName(c.group), Timeout: x.due - now})
}

// forget drops a flow of which nothing more comes.
func (x *flow) forget() {
	if len(x.out) == 0 {
		delete(x.in.flows, x.name)
	}
}

// leave has the client of a standing connection go, and come again.
func (x *flow) leave() {
	if x.left || x.stands == nil || !x.in.up || x.in.flows[x.name] != x {
		return
	}
	x.left = true
	x.in.fleet.see(invariants.Event{Kind: invariants.ClientLeft, Balancer: invariants.Balancer(x.in.id), Flow: x.id})
	x.stands.finish(decide.OK)
	x.client.cut()
}

// answer is a balancer's own final word.
func (b *instance) answer(name decide.FlowID, verdict invariants.Answer) {
	x := b.flows[name]
	if x == nil {
		b.fleet.see(invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(b.id), Flow: -1, Answer: verdict})
		return
	}
	b.fleet.see(invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(b.id), Flow: x.id, Answer: verdict})
	if x.answered {
		return
	}
	x.answered = true
	x.forget()
	x.client.rejected()
}

// ---- what the decisions ask for; see decide.Act

func (b *instance) Connect(name decide.FlowID, to decide.ServerID, limit time.Duration) {
	x, f := b.flows[name], b.fleet
	if x == nil {
		return
	}
	c := f.connect(x, f.server(to))
	x.sent++
	f.figures.sent[sentKey{b.id, f.schedule.now / time.Second}]++
	f.see(invariants.Event{Kind: invariants.ConnectSent, Balancer: invariants.Balancer(b.id), Flow: x.id, Connect: c.id,
		Server: invariants.Server(to), Zone: c.server.zone, Cell: c.server.zone})
	ends := x.due
	if limit > 0 {
		ends = min(ends, f.schedule.now+limit)
	}
	f.schedule.at(ends, func() {
		if !c.stands {
			c.finish(decide.TimedOut)
		}
	})
	f.schedule.after(f.way(b.zone, c.server.zone), c.arrive)
}

func (b *instance) Cancel(name decide.FlowID, n int) {
	x := b.flows[name]
	if x == nil {
		return
	}
	for _, c := range x.out {
		if c.number == n && !c.stands {
			b.fleet.schedule.after(0, func() { c.finish(decide.Cancelled) })
		}
	}
}

func (b *instance) Reject(name decide.FlowID, _ time.Duration) {
	b.fleet.figures.rejected++
	b.answer(name, invariants.Rejected)
}

func (b *instance) Abort(name decide.FlowID) {
	b.fleet.figures.aborted++
	b.answer(name, invariants.Aborted)
}

func (b *instance) Migrate(name decide.FlowID) {
	x := b.flows[name]
	if x == nil || x.stands == nil {
		return
	}
	b.fleet.figures.moved++
	c := x.stands
	b.fleet.schedule.after(0, func() {
		if !c.over && !x.left {
			c.finish(decide.Cancelled)
		}
	})
}

func (b *instance) SetTimer(mark decide.TimerID, in time.Duration) {
	life := b.incarnation
	b.fleet.schedule.after(max(in, time.Microsecond), func() {
		if b.up && b.incarnation == life {
			b.event().OnTimer(mark)
		}
	})
}

func (b *instance) HealthCheck(decide.ServerID) {}
func (b *instance) WatchEndpoints(bool)         {}
func (b *instance) FetchEndpoints()             {}
func (b *instance) Log(string)                  {}
