// Package baseline holds textbook policies to measure ours against; nothing else uses them. Each places a flow by one
// simple rule, tries another server after a failure where that is harmless, and moves nothing.
package baseline

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
)

// Rule chooses among servers that the list calls ready; nil turns the flow away.
type Rule func(p *Plain, f *flow, ready []*server) *server

type flow struct {
	id       decide.FlowID
	group    decide.GroupKey
	due      time.Duration
	effect   decide.Effect
	on       *server
	tried    []decide.ServerID
	stands   bool
	connects int
	mayRan   bool
}

type server struct {
	id    decide.ServerID
	zone  decide.Zone
	open  int
	state decide.Readiness
	seen  bool
}

// Plain is one balancer with a textbook rule.
type Plain struct {
	act     decide.Actions
	now     time.Duration
	rng     *rand.Rand
	rule    Rule
	most    int
	after   time.Duration
	effects []decide.Effect
	flows   map[decide.FlowID]*flow
	servers map[decide.ServerID]*server
	ready   []*server
	kind    decide.UpdateKind
	truth   func(decide.ServerID) *simulation.Server
	groups  func(decide.GroupKey) simulation.GroupID
	world   *simulation.World // for the one that sees all, else nil
}

// New makes one. connects is how many a flow may use, after what those turned away are told to wait, effects those of
// the service types. w, truth and groups are for the one policy that sees all; for the others w is nil.
func New(rule Rule, seed uint64, act decide.Actions, connects int, after time.Duration, effects []decide.Effect, w *simulation.World,
	truth func(decide.ServerID) *simulation.Server, groups func(decide.GroupKey) simulation.GroupID) *Plain {
	p := &Plain{act: act, rng: rand.New(rand.NewPCG(seed, 1)), rule: rule, most: connects, after: after, effects: effects,
		flows: map[decide.FlowID]*flow{}, servers: map[decide.ServerID]*server{}, truth: truth, groups: groups, world: w}
	if w != nil {
		act.SetTimer(topMark, topTick)
	}
	return p
}

// Rules by name.
var Rules = map[string]Rule{"random": randomServer, "least": leastConnections, "two-choices": twoChoices, "hashing": boundedHashing, "top": omniscient}

// randomServer takes any.
func randomServer(p *Plain, _ *flow, ready []*server) *server { return ready[p.rng.IntN(len(ready))] }

// leastConnections takes the one with the fewest own connections, any of those.
func leastConnections(p *Plain, _ *flow, ready []*server) *server {
	least := slices.MinFunc(ready, func(a, b *server) int { return a.open - b.open }).open
	var of []*server
	for _, s := range ready {
		if s.open == least {
			of = append(of, s)
		}
	}
	return of[p.rng.IntN(len(of))]
}

// twoChoices draws two and takes the one with fewer own connections.
func twoChoices(p *Plain, _ *flow, ready []*server) *server {
	a, b := ready[p.rng.IntN(len(ready))], ready[p.rng.IntN(len(ready))]
	if b.open < a.open {
		return b
	}
	return a
}

const bound = 1.25 // times the mean, in consistent hashing with bounded load

// boundedHashing takes the servers in the order of a hash with the flow's group, the first that holds less than the bound.
func boundedHashing(p *Plain, f *flow, ready []*server) *server {
	open := 1
	for _, s := range p.servers {
		open += s.open
	}
	most := int(math.Ceil(bound * float64(open) / float64(len(ready))))
	key := string(f.group)
	if key == "" {
		key = string(f.id)
	}
	var best *server
	var top uint64
	for _, s := range ready {
		if s.open >= most {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(key))
		x := (h.Sum64() ^ uint64(s.id)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
		if x ^= x >> 33; best == nil || x > top {
			best, top = s, x
		}
	}
	if best == nil {
		return leastConnections(p, f, ready)
	}
	return best
}

const (
	topUse   = 0.95 // of what a server can do, that Top fills it to
	topTick  = 250 * time.Millisecond
	topMark  = decide.TimerID(1)
	topQueue = 0.25 // seconds of the store's work that may wait
)

// omniscient sees the true state of all servers, of the store and of what others send: it takes the server that is left with
// most to spare, pays a group once where it can, keeps cold servers within what they take, turns away what would make
// others late, and moves flows off servers that are. No real balancer knows as much.
func omniscient(p *Plain, f *flow, ready []*server) *server {
	if p.world.StoreWait() > topQueue {
		return nil
	}
	var best *server
	least := math.Inf(1)
	g := p.groups(f.group)
	for _, s := range ready {
		t := p.truth(s.id)
		if !t.IsServing() || t.SlowStartBudget() < 2*t.GroupLoad {
			continue
		}
		use := p.use(t)
		more := 0.0
		if !t.HoldsGroup(g) {
			more = t.GroupLoad / t.CurrentCapacity()
		}
		if use+more > topUse {
			continue
		}
		if c := use + 2*more + 2*t.QueueDelay(); c < least {
			best, least = s, c
		}
	}
	return best
}

// use is what a server is asked for over what it can do, with what is being set up there counted as standing.
func (p *Plain) use(t *simulation.Server) float64 {
	coming := float64(t.ConnectionCount()-t.Established()) * t.GroupLoad
	return (t.Demand()+coming)/t.CurrentCapacity() + t.QueueDelay()
}

// relieve moves what a server is asked for beyond what it can do, each balancer its part.
func (p *Plain) relieve() {
	p.act.SetTimer(topMark, topTick)
	over := map[*server]float64{}
	for _, s := range p.servers {
		t := p.truth(s.id)
		if !t.IsServing() || s.state != decide.Ready {
			if s.open > 0 && !t.IsServing() {
				over[s] = 0.25 // nobody there: come again elsewhere
			}
			continue
		}
		if u := p.use(t); u > 1.05 {
			over[s] = min(0.5, (u-topUse)/u*0.4)
		}
	}
	if len(over) == 0 {
		return
	}
	var ids []decide.FlowID
	for id, f := range p.flows {
		if f.stands && over[f.on] > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if f := p.flows[id]; p.rng.Float64() < over[f.on] {
			p.act.Migrate(id)
		}
	}
}

// SetTime sets the time of the calls that follow.
func (p *Plain) SetTime(now time.Duration) { p.now = now }

// OnFlow places a new flow.
func (p *Plain) OnFlow(request decide.FlowRequest) {
	f := &flow{id: request.ID, group: request.Group, due: p.now + request.Timeout, effect: p.effects[request.Service]}
	p.flows[request.ID] = f
	p.place(f)
}

// AdoptFlow takes in a flow that stands already.
func (p *Plain) AdoptFlow(request decide.FlowRequest, to decide.ServerID) {
	f := &flow{id: request.ID, group: request.Group, effect: p.effects[request.Service], on: p.server(to), stands: true}
	f.on.open++
	p.flows[request.ID] = f
}

func (p *Plain) place(f *flow) {
	var ready []*server
	for _, s := range p.ready {
		if !slices.Contains(f.tried, s.id) {
			ready = append(ready, s)
		}
	}
	if len(ready) == 0 {
		ready = p.ready
	}
	if f.connects >= p.most || p.now >= f.due || len(ready) == 0 || f.mayRan && f.effect != decide.Idempotent {
		p.answer(f)
		return
	}
	to := p.rule(p, f, ready)
	if to == nil {
		p.answer(f)
		return
	}
	f.on = to
	to.open++
	f.connects++
	f.tried = append(f.tried, to.id)
	limit := (f.due - p.now) / 2 // leaves time for another
	if p.world != nil {
		limit = f.due - p.now
	}
	p.act.Connect(f.id, to.id, limit)
}

func (p *Plain) answer(f *flow) {
	delete(p.flows, f.id)
	if f.mayRan && f.effect != decide.Idempotent {
		p.act.Abort(f.id)
	} else {
		p.act.Reject(f.id, p.after)
	}
}

// OnEstablished takes in that a flow stands.
func (p *Plain) OnEstablished(id decide.FlowID, _ time.Duration) {
	if f := p.flows[id]; f != nil {
		f.stands = true
	}
}

// OnEnded takes in how a connect or a connection ended, and tries another server where that is harmless.
func (p *Plain) OnEnded(id decide.FlowID, o decide.Outcome, _ time.Duration, over bool) {
	f := p.flows[id]
	if f == nil {
		return
	}
	f.on.open--
	f.mayRan = f.mayRan || !o.NeverRan()
	if f.stands || over {
		delete(p.flows, id)
		return
	}
	p.place(f)
}

// OnClientLeft takes in that a flow's client has gone.
func (p *Plain) OnClientLeft(id decide.FlowID) {
	if f := p.flows[id]; f != nil {
		delete(p.flows, id)
		if f.on != nil {
			f.on.open--
		}
	}
}

// OnLatencySample does nothing: no textbook rule hears of delays.
func (p *Plain) OnLatencySample(decide.FlowID, time.Duration) {}

// OnFlowLoad does nothing: no textbook rule hears of loads.
func (p *Plain) OnFlowLoad(decide.FlowID) {}

// OnLoadReport does nothing, as LoadNote.
func (p *Plain) OnLoadReport(decide.ServerID, float64) {}

// OnHealthCheck does nothing: none probes.
func (p *Plain) OnHealthCheck(decide.ServerID, decide.Outcome) {}

// OnTimer has the policy that sees all move flows off overloaded servers.
func (p *Plain) OnTimer(decide.TimerID) { p.relieve() }

// SetDisabled does nothing: no textbook has it.
func (p *Plain) SetDisabled(decide.ServerID, bool) {}

// Snapshot is empty.
func (p *Plain) Snapshot() decide.Snapshot { return decide.Snapshot{} }

// Restore does nothing.
func (p *Plain) Restore(decide.Snapshot) {}

// SetHandedOver does nothing: a plain rule has no budget to hand over.
func (p *Plain) SetHandedOver(bool) {}

func (p *Plain) server(id decide.ServerID) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{id: id, state: decide.Gone}
		p.servers[id] = s
	}
	return s
}

// BeginEndpoints begins a call of the server list.
func (p *Plain) BeginEndpoints(k decide.UpdateKind) {
	p.kind = k
	for _, s := range p.servers {
		s.seen = false
	}
}

// OnEndpoint takes in one server of the call.
func (p *Plain) OnEndpoint(endpoint decide.Endpoint) {
	s := p.server(endpoint.ID)
	s.zone, s.state, s.seen = endpoint.Zone, endpoint.Readiness, true
}

// EndEndpoints takes the call as a whole.
func (p *Plain) EndEndpoints() {
	p.ready = p.ready[:0]
	for _, s := range p.servers {
		if !s.seen && p.kind == decide.FullUpdate {
			s.state = decide.Gone
		}
		if s.state == decide.Ready {
			p.ready = append(p.ready, s)
		}
	}
	slices.SortFunc(p.ready, func(a, b *server) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
}
