// Package constraints joins other deciders to the decisions. It stands round one instance of decide: each event goes to the
// deciders first and then to decide, each action goes out past them, and decide asks them by its own interface. Here
// nothing is decided; deciders do no I/O, and time comes with the events.
package constraints

import (
	"time"

	"yardwinch/decide"
)

// Balancer is an instance of the decisions as a program drives it: decide alone, or with deciders round it.
type Balancer interface {
	SetTime(now time.Duration)
	OnFlow(decide.FlowRequest)
	AdoptFlow(decide.FlowRequest, decide.ServerID)
	OnEstablished(decide.FlowID, time.Duration)
	OnEnded(decide.FlowID, decide.Outcome, time.Duration, bool)
	OnClientLeft(decide.FlowID)
	OnFlowLoad(decide.FlowID)
	OnLatencySample(decide.FlowID, time.Duration)
	OnHealthCheck(decide.ServerID, decide.Outcome)
	OnLoadReport(server decide.ServerID, load float64)
	BeginEndpoints(decide.UpdateKind)
	OnEndpoint(decide.Endpoint)
	EndEndpoints()
	SetDisabled(s decide.ServerID, out bool)
	Snapshot() decide.Snapshot
	Restore(decide.Snapshot)
	SetHandedOver(to bool)
	OnTimer(decide.TimerID)
}

// Reason says in a few words why a decider objects; empty: it does not.
type Reason string

// Constraint is one of them. Facts come as they happen, the time before them; questions are answered from those and
// change nothing. None has all methods, for those that need few.
type Constraint interface {
	Name() string

	SetTime(now time.Duration)
	OnEndpoint(endpoint decide.Endpoint)
	OnEndpointsUpdated()
	OnFlow(request decide.FlowRequest)
	OnAttempt(f decide.FlowID, to decide.ServerID)
	OnEstablished(f decide.FlowID, on decide.ServerID, took time.Duration) // below 0: it stood before the start
	OnEnded(f decide.FlowID, on decide.ServerID, o decide.Outcome, stood bool)
	OnFlowRemoved(f decide.FlowID) // nothing more comes of it
	OnLatencySample(on decide.ServerID, delay time.Duration)
	OnLoadReport(s decide.ServerID, load float64) // its own word on its load over its capacity
	OnMigration(f decide.FlowID)

	ServerCost(f decide.FlowID, s decide.ServerID) (extra float64, why Reason)
	AdmitFlow(f decide.FlowID) Reason
	RetryAfter(f decide.FlowID, told time.Duration) time.Duration
	AllowMigration(f decide.FlowID) Reason
	MigrateFirst() []decide.FlowID

	State() any // for whoever asks what it holds; it becomes JSON
}

// listing is what the list last said of a server, and whether staff have taken it out.
type listing struct {
	size   float64
	st     decide.Readiness
	since  time.Duration
	byHand bool
}

type live struct {
	note   *Explanation
	server decide.ServerID
	stands bool
	out    bool
}

// ConstrainedBalancer is decide with deciders round it.
type ConstrainedBalancer struct {
	dec      *decide.Balancer
	act      decide.Actions
	deciders []Constraint
	now      time.Duration
	flows    map[decide.FlowID]*live
	zones    map[decide.ServerID]decide.Zone
	listed   map[decide.ServerID]listing
	ring     []*Explanation
	oldest   int
	acted    map[[2]string]int // by decider and reason, how often a bound acted
	nextName string
}

// New puts deciders, asked in the order given, round an instance that start has made its own settings known to. Where
// several object the first is booked; extra costs add; the longest time to come again holds.
func New(seed uint64, act decide.Actions, deciders []Constraint, start func(*decide.Balancer)) *ConstrainedBalancer {
	h := &ConstrainedBalancer{act: act, deciders: deciders, flows: map[decide.FlowID]*live{}, zones: map[decide.ServerID]decide.Zone{},
		listed: map[decide.ServerID]listing{}, acted: map[[2]string]int{}}
	h.dec = decide.New(seed, actions{h})
	h.dec.SetConstraints(questions{h})
	start(h.dec)
	return h
}

// NameNextFlow tells what the client of the next flow calls it.
func (h *ConstrainedBalancer) NameNextFlow(name string) { h.nextName = name }

func (h *ConstrainedBalancer) gone(f decide.FlowID) {
	if h.flows[f] == nil {
		return
	}
	delete(h.flows, f)
	for _, d := range h.deciders {
		d.OnFlowRemoved(f)
	}
}

// SetTime sets the time of the calls that follow.
func (h *ConstrainedBalancer) SetTime(now time.Duration) {
	h.now = now
	for _, d := range h.deciders {
		d.SetTime(now)
	}
	h.dec.SetTime(now)
}

// OnFlow brings a new flow, of which the deciders hear first.
func (h *ConstrainedBalancer) OnFlow(request decide.FlowRequest) {
	h.note(request.ID, request.Group)
	for _, d := range h.deciders {
		d.OnFlow(request)
	}
	h.dec.OnFlow(request)
}

// AdoptFlow brings a flow that stands already.
func (h *ConstrainedBalancer) AdoptFlow(request decide.FlowRequest, to decide.ServerID) {
	l := h.note(request.ID, request.Group)
	l.server, l.stands, l.out = to, true, true
	l.note.Answer = "stood before the start"
	l.note.Attempts = []Attempt{{Server: to, Zone: h.zones[to]}}
	for _, d := range h.deciders {
		d.OnFlow(request)
		d.OnAttempt(request.ID, to)
		d.OnEstablished(request.ID, to, -1)
	}
	h.dec.AdoptFlow(request, to)
}

// OnEstablished says that a connect came up.
func (h *ConstrainedBalancer) OnEstablished(f decide.FlowID, took time.Duration) {
	if l := h.flows[f]; l != nil && l.out {
		l.stands = true
		l.note.Answer = "established"
		for _, d := range h.deciders {
			d.OnEstablished(f, l.server, took)
		}
	}
	h.dec.OnEstablished(f, took)
}

// OnEnded says how a connect or a connection ended.
func (h *ConstrainedBalancer) OnEnded(f decide.FlowID, o decide.Outcome, took time.Duration, over bool) {
	l := h.flows[f]
	if l != nil && l.out {
		l.out = false
		if n := len(l.note.Attempts); n > 0 {
			l.note.Attempts[n-1].Outcome = o.String()
		}
		for _, d := range h.deciders {
			d.OnEnded(f, l.server, o, l.stands)
		}
	}
	stood := l != nil && l.stands
	h.dec.OnEnded(f, o, took, over)
	if over || stood {
		h.gone(f)
	}
}

// OnClientLeft says that a flow's client has gone.
func (h *ConstrainedBalancer) OnClientLeft(f decide.FlowID) {
	if l := h.flows[f]; l != nil && l.note.Answer == "" {
		l.note.Answer = "the client left"
	}
	h.dec.OnClientLeft(f)
	if l := h.flows[f]; l != nil && !l.out {
		h.gone(f)
	}
}

// OnFlowLoad passes on that a flow's load is told, which shows that its server lives.
func (h *ConstrainedBalancer) OnFlowLoad(f decide.FlowID) { h.dec.OnFlowLoad(f) }

// OnLatencySample says how long a flow's message took.
func (h *ConstrainedBalancer) OnLatencySample(f decide.FlowID, took time.Duration) {
	if l := h.flows[f]; l != nil && l.stands {
		for _, d := range h.deciders {
			d.OnLatencySample(l.server, took)
		}
	}
	h.dec.OnLatencySample(f, took)
}

// OnHealthCheck passes on how a probe ended.
func (h *ConstrainedBalancer) OnHealthCheck(s decide.ServerID, o decide.Outcome) {
	h.dec.OnHealthCheck(s, o)
}

// OnLoadReport takes in a server's own report of its load.
func (h *ConstrainedBalancer) OnLoadReport(s decide.ServerID, load float64) {
	for _, d := range h.deciders {
		d.OnLoadReport(s, load)
	}
	h.dec.OnLoadReport(s, load)
}

// BeginEndpoints begins a call of the server list.
func (h *ConstrainedBalancer) BeginEndpoints(k decide.UpdateKind) { h.dec.BeginEndpoints(k) }

// OnEndpoint brings one server of the call.
func (h *ConstrainedBalancer) OnEndpoint(endpoint decide.Endpoint) {
	s := endpoint.ID
	h.zones[s] = endpoint.Zone
	h.listed[s] = listing{endpoint.Size, endpoint.Readiness, endpoint.StartedAt, h.listed[s].byHand}
	h.tell(s)
	h.dec.OnEndpoint(endpoint)
}

// tell has the deciders know a server as the module does: one out by hand is never ready.
func (h *ConstrainedBalancer) tell(s decide.ServerID) {
	l := h.listed[s]
	if l.byHand {
		l.st = max(l.st, decide.Draining)
	}
	for _, d := range h.deciders {
		d.OnEndpoint(decide.Endpoint{ID: s, Zone: h.zones[s], Size: l.size, Readiness: l.st, StartedAt: l.since})
	}
}

// SetDisabled takes a server out by hand, or gives it back.
func (h *ConstrainedBalancer) SetDisabled(s decide.ServerID, out bool) {
	if l, ok := h.listed[s]; ok && l.byHand != out {
		if l.byHand = out; !out {
			l.since = h.now // it comes back cold
		}
		h.listed[s] = l
		h.tell(s)
		for _, d := range h.deciders {
			d.OnEndpointsUpdated()
		}
	}
	h.dec.SetDisabled(s, out)
}

// EndEndpoints ends the call: deciders hear what it changed.
func (h *ConstrainedBalancer) EndEndpoints() {
	for _, d := range h.deciders {
		d.OnEndpointsUpdated()
	}
	h.dec.EndEndpoints()
}

// Snapshot is what the decisions have learnt.
func (h *ConstrainedBalancer) Snapshot() decide.Snapshot { return h.dec.Snapshot() }

// Restore has the deciders know the list that comes with it; what they learnt themselves they learn anew.
func (h *ConstrainedBalancer) Restore(m decide.Snapshot) {
	for _, k := range m.Servers {
		h.zones[k.ID] = k.Zone
		h.listed[k.ID] = listing{k.Size, k.Readiness, k.StartedAt, k.Disabled}
		h.tell(k.ID)
	}
	for _, d := range h.deciders {
		d.OnEndpointsUpdated()
	}
	h.dec.Restore(m)
}

// SetHandedOver says that another process goes on with what is known here, or that it is gone again.
func (h *ConstrainedBalancer) SetHandedOver(to bool) { h.dec.SetHandedOver(to) }

// OnTimer brings a timer that the decisions asked for.
func (h *ConstrainedBalancer) OnTimer(m decide.TimerID) { h.dec.OnTimer(m) }
