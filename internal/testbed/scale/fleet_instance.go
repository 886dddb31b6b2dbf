package scale

import (
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// instance is a simulated balancer of a fleet: the real decisions, with connects that the fleet simulates.
type instance struct {
	fleet        *fleet
	id           int
	zone         int
	up           bool
	incarnation  int
	started      time.Duration
	lastUpdateAt time.Duration // when the latest list update arrives
	decider      *decide.Balancer
	flows        map[decide.FlowID]*flowState
	flowsInOrder []*flowState // in order of arrival; includes ended ones, which are removed in batches
}

// flowState is a flow: one attempt of a client to be connected, with its connection.
type flowState struct {
	id         invariants.Flow // for the invariant checker; unique in the fleet
	flowID     decide.FlowID   // for the decisions
	balancer   *instance
	client     *client
	arrivedAt  time.Duration
	deadline   time.Duration
	connects   []*connect
	current    *connect
	answered   bool
	clientLeft bool
}

// connect is one connect of a flow, from its sending to its end.
type connect struct {
	id          invariants.Connect
	flow        *flowState
	server      *backend
	sentAt      time.Duration
	established bool
	ended       bool
}

// ---- start and stop

// start starts an incarnation that has no state but the list.
func (b *instance) start() {
	f := b.fleet
	b.incarnation++
	b.up = true
	b.started = f.schedule.now
	b.flows = map[decide.FlowID]*flowState{}
	b.flowsInOrder = nil
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
	b.updateList(decide.FullUpdate, entries(listed))
}

// stop ends an incarnation without notice: its clients are disconnected.
func (b *instance) stop() {
	f := b.fleet
	b.up = false
	f.observe(invariants.Event{Kind: invariants.BalancerDied, Balancer: invariants.Balancer(b.id)})
	for _, flow := range b.flowsInOrder {
		if b.flows[flow.flowID] != flow {
			continue
		}
		for _, c := range flow.connects {
			c.ended = true
			f.removeConnect(c)
		}
		if open := flow.current != nil || !flow.answered; open && !flow.clientLeft {
			flow.client.onDisconnected()
		}
	}
	b.flows = nil
	b.flowsInOrder = nil
}

// event returns the decisions, with their clock set to the current time, for the handling of one event.
func (b *instance) event() *decide.Balancer {
	b.decider.SetTime(b.fleet.schedule.now - b.started)
	return b.decider
}

// ---- the list

var observedStates = [...]invariants.Readiness{
	decide.Ready:    invariants.Ready,
	decide.Draining: invariants.Draining,
	decide.Gone:     invariants.Gone,
}

func (b *instance) updateList(kind decide.UpdateKind, list []listedServer) {
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
		m.OnEndpoint(decide.Endpoint{
			ID:        s.id,
			Zone:      zoneName(s.zone),
			Cell:      decide.CellID(s.zone),
			Size:      1,
			Readiness: s.state,
			StartedAt: since,
		})
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
	b.fleet.observe(invariants.Event{
		Kind:      invariants.ServerAnnounced,
		Balancer:  invariants.Balancer(b.id),
		Server:    invariants.Server(id),
		Readiness: observedStates[state],
		StartedAt: since,
	})
}

// ---- flows

func (b *instance) addFlow(c *client) *flowState {
	f := b.fleet
	f.flowCount++
	flow := &flowState{
		id:        invariants.Flow(f.flowCount),
		flowID:    flowName(int(f.flowCount)),
		balancer:  b,
		client:    c,
		arrivedAt: f.schedule.now,
	}
	b.flows[flow.flowID] = flow
	b.flowsInOrder = append(b.flowsInOrder, flow)
	if len(b.flowsInOrder) > 2*len(b.flows)+16 {
		b.flowsInOrder = slices.DeleteFunc(b.flowsInOrder, func(flow *flowState) bool { return b.flows[flow.flowID] != flow })
	}
	c.flow = flow
	return flow
}

// adopt adds a connection that is established already.
func (b *instance) adopt(c *client, s *backend) {
	flow := b.addFlow(c)
	flow.answered = true
	flow.current = b.fleet.connect(flow, s)
	flow.current.established = true
	s.connects = append(s.connects, flow.current)
	b.event().AdoptFlow(decide.FlowRequest{
		ID:       flow.flowID,
		Service:  decide.ServiceID(c.service),
		Customer: decide.NoCustomer,
		Group:    groupName(c.group),
	}, s.id)
}

// accept starts a flow for a client that arrives.
func (b *instance) accept(c *client) {
	flow, now := b.addFlow(c), b.fleet.schedule.now
	flow.deadline = now + connectTimeout - relayTime
	t := services[c.service]
	b.fleet.observe(invariants.Event{
		Kind:      invariants.FlowAccepted,
		Balancer:  invariants.Balancer(b.id),
		Flow:      flow.id,
		Deadline:  now + connectTimeout,
		Effect:    t.observedEffect,
		KeyWindow: retryWindow,
	})
	b.event().OnFlow(decide.FlowRequest{
		ID:       flow.flowID,
		Service:  decide.ServiceID(c.service),
		Customer: decide.NoCustomer,
		Group:    groupName(c.group),
		Timeout:  flow.deadline - now,
	})
}

// forget removes an ended flow once none of its connects is in flight.
func (flow *flowState) forget() {
	if len(flow.connects) == 0 {
		delete(flow.balancer.flows, flow.flowID)
	}
}

// leave makes a client close its established connection; it connects again later.
func (flow *flowState) leave() {
	if flow.clientLeft || flow.current == nil || !flow.balancer.up || flow.balancer.flows[flow.flowID] != flow {
		return
	}
	flow.clientLeft = true
	flow.balancer.fleet.observe(invariants.Event{
		Kind:     invariants.ClientLeft,
		Balancer: invariants.Balancer(flow.balancer.id),
		Flow:     flow.id,
	})
	flow.current.finish(decide.OK)
	flow.client.onDisconnected()
}

// answer handles the balancer's final answer to a flow that was not established.
func (b *instance) answer(name decide.FlowID, verdict invariants.Answer) {
	flow := b.flows[name]
	if flow == nil {
		b.fleet.observe(invariants.Event{
			Kind:     invariants.FlowAnswered,
			Balancer: invariants.Balancer(b.id),
			Flow:     -1,
			Answer:   verdict,
		})
		return
	}
	b.fleet.observe(invariants.Event{
		Kind:     invariants.FlowAnswered,
		Balancer: invariants.Balancer(b.id),
		Flow:     flow.id,
		Answer:   verdict,
	})
	if flow.answered {
		return
	}
	flow.answered = true
	flow.forget()
	flow.client.onRejected()
}

// ---- decide.Actions

func (b *instance) Connect(name decide.FlowID, to decide.ServerID, limit time.Duration) {
	flow := b.flows[name]
	f := b.fleet
	if flow == nil {
		return
	}
	c := f.connect(flow, f.server(to))
	f.stats.connectsSent[connectKey{b.id, f.schedule.now / time.Second}]++
	f.observe(invariants.Event{
		Kind:     invariants.ConnectSent,
		Balancer: invariants.Balancer(b.id),
		Flow:     flow.id,
		Connect:  c.id,
		Server:   invariants.Server(to),
		Zone:     c.server.zone,
		Cell:     c.server.zone,
	})
	timeoutAt := flow.deadline
	if limit > 0 {
		timeoutAt = min(timeoutAt, f.schedule.now+limit)
	}
	f.schedule.at(timeoutAt, func() {
		if !c.established {
			c.finish(decide.TimedOut)
		}
	})
	f.schedule.after(f.delay(b.zone, c.server.zone), c.arrive)
}

func (b *instance) Reject(name decide.FlowID, _ time.Duration) {
	b.fleet.stats.rejected++
	b.answer(name, invariants.Rejected)
}

func (b *instance) Abort(name decide.FlowID) {
	b.fleet.stats.aborted++
	b.answer(name, invariants.Aborted)
}

func (b *instance) Migrate(name decide.FlowID) {
	flow := b.flows[name]
	if flow == nil || flow.current == nil {
		return
	}
	b.fleet.stats.migrated++
	c := flow.current
	b.fleet.schedule.after(0, func() {
		if !c.ended && !flow.clientLeft {
			c.finish(decide.Cancelled)
		}
	})
}

func (b *instance) SetTimer(id decide.TimerID, in time.Duration) {
	incarnation := b.incarnation
	b.fleet.schedule.after(max(in, time.Microsecond), func() {
		if b.up && b.incarnation == incarnation {
			b.event().OnTimer(id)
		}
	})
}

func (b *instance) HealthCheck(decide.ServerID) {}
func (b *instance) WatchEndpoints(bool)         {}
