package scale

import (
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// instance is one simulated balancer of a fleet: the real decisions, whose connects the fleet simulates.
type instance struct {
	fleet        *fleet
	id           int
	zone         int
	up           bool
	incarnation  int
	started      time.Duration
	lastUpdateAt time.Duration // when the last list update arrives
	decider      *decide.Balancer
	flows        map[decide.FlowID]*flow
	flowsInOrder []*flow // of arrival; ended ones are removed now and then
}

// flow is one attempt of a client.
type flow struct {
	id         invariants.Flow
	name       decide.FlowID
	balancer   *instance
	client     *client
	arrivedAt  time.Duration
	deadline   time.Duration
	attempts   int
	connects   []*connect
	current    *connect
	answered   bool
	clientLeft bool
}

// connect is one connect of a flow, from its sending to its end.
type connect struct {
	id          invariants.Connect
	number      int
	flow        *flow
	server      *backend
	sentAt      time.Duration
	established bool
	ended       bool
}

// ---- start and stop

// start starts an incarnation that knows only the list.
func (b *instance) start() {
	f := b.fleet
	b.incarnation++
	b.up, b.started = true, f.schedule.now
	b.flows, b.flowsInOrder = map[decide.FlowID]*flow{}, nil
	f.observe(invariants.Event{Kind: invariants.BalancerStarted, Balancer: invariants.Balancer(b.id)})
	b.decider = decide.New(f.random.Uint64(), b)
	configureSimulatedBalancer(b.decider, simulatedSettings{peers: f.peers, zone: b.zone})
	b.decider.SetTime(0)
	var listed []*backend
	for _, s := range f.servers {
		if s.listedState != decide.Gone {
			listed = append(listed, s)
		}
	}
	b.list(decide.FullUpdate, entries(listed))
}

// stop ends an incarnation; clients notice only that their connections end.
func (b *instance) stop() {
	f := b.fleet
	b.up = false
	f.observe(invariants.Event{Kind: invariants.BalancerDied, Balancer: invariants.Balancer(b.id)})
	for _, x := range b.flowsInOrder {
		if b.flows[x.name] != x {
			continue
		}
		for _, c := range x.connects {
			c.ended = true
			f.removeConnect(c)
		}
		if owed := x.current != nil || !x.answered; owed && !x.clientLeft {
			x.client.onDisconnected()
		}
	}
	b.flows, b.flowsInOrder = nil, nil
}

// event begins an event of the decisions at the current time.
func (b *instance) event() *decide.Balancer {
	b.decider.SetTime(b.fleet.schedule.now - b.started)
	return b.decider
}

// ---- the list

var observedStates = [...]invariants.Readiness{decide.Ready: invariants.Ready, decide.Draining: invariants.Draining, decide.Gone: invariants.Gone}

func (b *instance) list(kind decide.UpdateKind, list []server) {
	m := b.event()
	named := map[decide.ServerID]bool{}
	m.BeginEndpoints(kind)
	for _, s := range list {
		named[s.id] = true
		b.observeListed(s.id, s.state, s.since)
		since := decide.LongAgo
		if s.since != invariants.LongAgo {
			since = s.since - b.started
		}
		m.OnEndpoint(decide.Endpoint{ID: s.id, Zone: zoneName(s.zone), Cell: decide.CellID(s.zone), Size: 1, Readiness: s.state, StartedAt: since})
	}
	if kind == decide.FullUpdate {
		for _, s := range b.fleet.servers {
			if !named[s.id] {
				b.observeListed(s.id, decide.Gone, invariants.LongAgo)
			}
		}
	}
	m.EndEndpoints()
}

func (b *instance) observeListed(id decide.ServerID, state decide.Readiness, since time.Duration) {
	b.fleet.observe(invariants.Event{Kind: invariants.ServerAnnounced, Balancer: invariants.Balancer(b.id), Server: invariants.Server(id),
		Readiness: observedStates[state], StartedAt: since})
}

// ---- flows

func (b *instance) add(c *client) *flow {
	f := b.fleet
	f.flowCount++
	x := &flow{id: invariants.Flow(f.flowCount), name: flowName(int(f.flowCount)), balancer: b, client: c, arrivedAt: f.schedule.now}
	b.flows[x.name] = x
	b.flowsInOrder = append(b.flowsInOrder, x)
	if len(b.flowsInOrder) > 2*len(b.flows)+16 {
		b.flowsInOrder = slices.DeleteFunc(b.flowsInOrder, func(x *flow) bool { return b.flows[x.name] != x })
	}
	c.flow = x
	return x
}

// adopt starts with an established connection.
func (b *instance) adopt(c *client, s *backend) {
	x := b.add(c)
	x.answered, x.attempts = true, 1
	x.current = b.fleet.connect(x, s)
	x.current.established = true
	s.connects = append(s.connects, x.current)
	b.event().AdoptFlow(decide.FlowRequest{ID: x.name, Service: decide.ServiceID(c.service), Customer: decide.NoCustomer, Group: groupName(c.group)}, s.id)
}

// accept handles the arrival of a client.
func (b *instance) accept(c *client) {
	x, now := b.add(c), b.fleet.schedule.now
	x.deadline = now + connectTimeout - relayTime
	t := services[c.service]
	b.fleet.observe(invariants.Event{Kind: invariants.FlowAccepted, Balancer: invariants.Balancer(b.id), Flow: x.id, Deadline: now + connectTimeout,
		Effect: t.seen, KeyWindow: retryWindow})
	b.event().OnFlow(decide.FlowRequest{ID: x.name, Service: decide.ServiceID(c.service), Customer: decide.NoCustomer, Group: groupName(c.group), Timeout: x.deadline - now})
}

// forget removes a flow that has ended.
func (x *flow) forget() {
	if len(x.connects) == 0 {
		delete(x.balancer.flows, x.name)
	}
}

// leave disconnects the client of an established connection; it returns later.
func (x *flow) leave() {
	if x.clientLeft || x.current == nil || !x.balancer.up || x.balancer.flows[x.name] != x {
		return
	}
	x.clientLeft = true
	x.balancer.fleet.observe(invariants.Event{Kind: invariants.ClientLeft, Balancer: invariants.Balancer(x.balancer.id), Flow: x.id})
	x.current.finish(decide.OK)
	x.client.onDisconnected()
}

// answer is the balancer's final answer to a flow.
func (b *instance) answer(name decide.FlowID, verdict invariants.Answer) {
	x := b.flows[name]
	if x == nil {
		b.fleet.observe(invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(b.id), Flow: -1, Answer: verdict})
		return
	}
	b.fleet.observe(invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(b.id), Flow: x.id, Answer: verdict})
	if x.answered {
		return
	}
	x.answered = true
	x.forget()
	x.client.onRejected()
}

// ---- actions of the decisions; see decide.Act

func (b *instance) Connect(name decide.FlowID, to decide.ServerID, limit time.Duration) {
	x, f := b.flows[name], b.fleet
	if x == nil {
		return
	}
	c := f.connect(x, f.server(to))
	x.attempts++
	f.figures.connectsSent[connectKey{b.id, f.schedule.now / time.Second}]++
	f.observe(invariants.Event{Kind: invariants.ConnectSent, Balancer: invariants.Balancer(b.id), Flow: x.id, Connect: c.id,
		Server: invariants.Server(to), Zone: c.server.zone, Cell: c.server.zone})
	ends := x.deadline
	if limit > 0 {
		ends = min(ends, f.schedule.now+limit)
	}
	f.schedule.at(ends, func() {
		if !c.established {
			c.finish(decide.TimedOut)
		}
	})
	f.schedule.after(f.delay(b.zone, c.server.zone), c.arrive)
}

func (b *instance) Cancel(name decide.FlowID, n int) {
	x := b.flows[name]
	if x == nil {
		return
	}
	for _, c := range x.connects {
		if c.number == n && !c.established {
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
	if x == nil || x.current == nil {
		return
	}
	b.fleet.figures.migrated++
	c := x.current
	b.fleet.schedule.after(0, func() {
		if !c.ended && !x.clientLeft {
			c.finish(decide.Cancelled)
		}
	})
}

func (b *instance) SetTimer(mark decide.TimerID, in time.Duration) {
	incarnation := b.incarnation
	b.fleet.schedule.after(max(in, time.Microsecond), func() {
		if b.up && b.incarnation == incarnation {
			b.event().OnTimer(mark)
		}
	})
}

func (b *instance) HealthCheck(decide.ServerID) {}
func (b *instance) WatchEndpoints(bool)         {}
func (b *instance) FetchEndpoints()             {}
func (b *instance) Log(string)                  {}
