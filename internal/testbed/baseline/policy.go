// Package baseline holds textbook policies to measure the project's own against; nothing else uses them. Each places a flow by one simple
// rule, tries another server after a failure where that is harmless, and migrates nothing.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
)

// Config is what a policy works with.
type Config struct {
	Rule        Rule
	MaxConnects int             // of a flow
	RetryAfter  time.Duration   // that rejected clients are told
	Effects     []decide.Effect // of the service types

	// The following are for the policy that sees the true state of all servers. World is nil for the others.
	World    *simulation.World
	ServerOf func(decide.ServerID) *simulation.Server
	GroupOf  func(decide.GroupKey) simulation.GroupID
}

// Policy makes the decisions of one balancer by a textbook rule. It has the methods of decide.Balancer.
type Policy struct {
	Config

	act     decide.Actions
	random  *rand.Rand
	now     time.Duration
	flows   map[decide.FlowID]*flow
	servers map[decide.ServerID]*server
	ready   []*server // by id
	update  decide.UpdateKind
}

type flow struct {
	id          decide.FlowID
	group       decide.GroupKey
	deadline    time.Duration
	effect      decide.Effect
	server      *server // of its last connect
	attempted   []decide.ServerID
	connects    int
	established bool
	mayHaveRun  bool
}

type server struct {
	id        decide.ServerID
	open      int // own connects and connections
	readiness decide.Readiness
	listed    bool // in the update of the list that is being read
}

// New makes a policy that acts through act. Its random draws come from the seed.
func New(c Config, seed uint64, act decide.Actions) *Policy {
	p := &Policy{Config: c, act: act, random: rand.New(rand.NewPCG(seed, 1)),
		flows: map[decide.FlowID]*flow{}, servers: map[decide.ServerID]*server{}}
	if p.seesAll() {
		act.SetTimer(reliefTimer, reliefInterval)
	}
	return p
}

func (p *Policy) seesAll() bool { return p.World != nil }

// SetTime sets the time of the calls that follow.
func (p *Policy) SetTime(now time.Duration) { p.now = now }

// OnFlow places a new flow.
func (p *Policy) OnFlow(request decide.FlowRequest) {
	f := &flow{id: request.ID, group: request.Group, deadline: p.now + request.Timeout, effect: p.Effects[request.Service]}
	p.flows[request.ID] = f
	p.place(f)
}

// AdoptFlow takes in a flow that is established already.
func (p *Policy) AdoptFlow(request decide.FlowRequest, to decide.ServerID) {
	f := &flow{id: request.ID, group: request.Group, effect: p.Effects[request.Service], server: p.server(to), established: true}
	f.server.open++
	p.flows[request.ID] = f
}

// place sends a flow to the server that the rule chooses, or answers it where it may not be sent.
func (p *Policy) place(f *flow) {
	candidates := p.candidates(f)
	isExhausted := f.connects >= p.MaxConnects || p.now >= f.deadline
	if isExhausted || len(candidates) == 0 || f.mayHaveRun && f.effect != decide.Idempotent {
		p.answer(f)
		return
	}
	to := p.Rule(p, f, candidates)
	if to == nil {
		p.answer(f)
		return
	}
	f.server = to
	to.open++
	f.connects++
	f.attempted = append(f.attempted, to.id)
	p.act.Connect(f.id, to.id, p.connectLimit(f))
}

// candidates are the ready servers that the flow has not been sent to, or all ready ones where it has been sent to each.
func (p *Policy) candidates(f *flow) []*server {
	var unattempted []*server
	for _, s := range p.ready {
		if !slices.Contains(f.attempted, s.id) {
			unattempted = append(unattempted, s)
		}
	}
	if len(unattempted) == 0 {
		return p.ready
	}
	return unattempted
}

// connectLimit leaves time for another connect, which the policy that sees all doesn't need.
func (p *Policy) connectLimit(f *flow) time.Duration {
	if p.seesAll() {
		return f.deadline - p.now
	}
	return (f.deadline - p.now) / 2
}

func (p *Policy) answer(f *flow) {
	delete(p.flows, f.id)
	if f.mayHaveRun && f.effect != decide.Idempotent {
		p.act.Abort(f.id)
	} else {
		p.act.Reject(f.id, p.RetryAfter)
	}
}

// OnEstablished notes that a flow is established.
func (p *Policy) OnEstablished(id decide.FlowID, _ time.Duration) {
	if f := p.flows[id]; f != nil {
		f.established = true
	}
}

// OnEnded notes how a connect or a connection ended, and tries another server where that is harmless.
func (p *Policy) OnEnded(id decide.FlowID, outcome decide.Outcome, _ time.Duration, isFinished bool) {
	f := p.flows[id]
	if f == nil {
		return
	}
	f.server.open--
	f.mayHaveRun = f.mayHaveRun || !outcome.NeverRan()
	if f.established || isFinished {
		delete(p.flows, id)
		return
	}
	p.place(f)
}

// OnClientLeft drops a flow whose client has left.
func (p *Policy) OnClientLeft(id decide.FlowID) {
	if f := p.flows[id]; f != nil {
		delete(p.flows, id)
		if f.server != nil {
			f.server.open--
		}
	}
}

// OnTimer has the policy that sees all migrate flows off overloaded servers.
func (p *Policy) OnTimer(decide.TimerID) { p.migrateFromOverloaded() }
