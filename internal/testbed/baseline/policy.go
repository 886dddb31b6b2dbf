// Package baseline implements textbook load balancing policies that the project's own policy is compared with. Each places a flow by one
// simple rule and tries another server after a failure where that is harmless. Only the omniscient policy migrates flows.
package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
)

// Config configures a policy.
type Config struct {
	Rule        Rule
	MaxConnects int             // per flow
	RetryAfter  time.Duration   // sent to rejected clients
	Effects     []decide.Effect // by service type

	// The following are for the omniscient policy, which uses the true state of all servers. World is nil for the others.
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
	ready   []*server // sorted by ID
	update  decide.UpdateKind
}

type flow struct {
	id          decide.FlowID
	group       decide.GroupKey
	deadline    time.Duration
	effect      decide.Effect
	server      *server // the server of its last connect
	attempted   []decide.ServerID
	connects    int
	established bool
	mayHaveRun  bool
}

type server struct {
	id          decide.ServerID
	connections int // own connects and connections
	readiness   decide.Readiness
	listed      bool // in the current update of the list
}

// New creates a policy that acts through act. The seed determines its random draws.
func New(c Config, seed uint64, act decide.Actions) *Policy {
	p := &Policy{Config: c, act: act, random: rand.New(rand.NewPCG(seed, 1)),
		flows: map[decide.FlowID]*flow{}, servers: map[decide.ServerID]*server{}}
	if p.isOmniscient() {
		act.SetTimer(reliefTimer, reliefInterval)
	}
	return p
}

func (p *Policy) isOmniscient() bool { return p.World != nil }

// SetTime sets the current time for the calls that follow.
func (p *Policy) SetTime(now time.Duration) { p.now = now }

// OnFlow places a new flow.
func (p *Policy) OnFlow(request decide.FlowRequest) {
	f := &flow{id: request.ID, group: request.Group, deadline: p.now + request.Timeout, effect: p.Effects[request.Service]}
	p.flows[request.ID] = f
	p.place(f)
}

// AdoptFlow adds a flow that is already established.
func (p *Policy) AdoptFlow(request decide.FlowRequest, to decide.ServerID) {
	f := &flow{id: request.ID, group: request.Group, effect: p.Effects[request.Service], server: p.server(to), established: true}
	f.server.connections++
	p.flows[request.ID] = f
}

// place sends a flow to the server that the rule chooses. It answers the flow where no server is left, where its connects or its time are
// used up, or where it must not run again.
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
	to.connections++
	f.connects++
	f.attempted = append(f.attempted, to.id)
	p.act.Connect(f.id, to.id, p.connectLimit(f))
}

// candidates returns the ready servers that the flow has not been sent to, or all ready servers if it has been sent to each.
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

// connectLimit is the time that a connect may take: half of the time left, so that another connect can follow. The omniscient policy uses
// all of it, as it needs no second connect.
func (p *Policy) connectLimit(f *flow) time.Duration {
	if p.isOmniscient() {
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

// OnEstablished marks a flow as established.
func (p *Policy) OnEstablished(id decide.FlowID, _ time.Duration) {
	if f := p.flows[id]; f != nil {
		f.established = true
	}
}

// OnEnded handles the end of a connect or a connection, and tries another server where that is harmless.
func (p *Policy) OnEnded(id decide.FlowID, outcome decide.Outcome, _ time.Duration, isFinished bool) {
	f := p.flows[id]
	if f == nil {
		return
	}
	f.server.connections--
	f.mayHaveRun = f.mayHaveRun || !outcome.NeverRan()
	if f.established || isFinished {
		delete(p.flows, id)
		return
	}
	p.place(f)
}

// OnClientLeft removes a flow whose client has left.
func (p *Policy) OnClientLeft(id decide.FlowID) {
	if f := p.flows[id]; f != nil {
		delete(p.flows, id)
		if f.server != nil {
			f.server.connections--
		}
	}
}

// OnTimer migrates flows from overloaded servers. Only the omniscient policy sets a timer.
func (p *Policy) OnTimer(decide.TimerID) { p.migrateFromOverloaded() }
