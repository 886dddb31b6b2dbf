// Package constraints joins other deciders to the decisions. It stands round one instance of decide: each event goes to the
// deciders first and then to decide, each action goes out past them, and decide asks them by its own interface. Here
// nothing is decided; deciders do no I/O, and time comes with the events.
package constraints

import (
	"time"

	"yardwinch/decide"
)

// Module is an instance of the decisions as a program drives it: decide alone, or with deciders round it.
type Module interface {
	At(now time.Duration)
	Flow(decide.FlowID, decide.ServiceID, decide.CustomerID, decide.FlowKey, decide.GroupKey, time.Duration, int)
	Held(decide.FlowID, decide.ServiceID, decide.CustomerID, decide.FlowKey, decide.GroupKey, decide.ServerID)
	Established(decide.FlowID, time.Duration)
	Ended(decide.FlowID, decide.Outcome, time.Duration, bool)
	Left(decide.FlowID)
	LoadNote(decide.FlowID)
	DelayNote(decide.FlowID, time.Duration)
	Probed(decide.ServerID, decide.Outcome)
	Reported(server decide.ServerID, load float64)
	ListBegin(decide.ListKind)
	ListServer(decide.ServerID, decide.Zone, decide.CellID, float64, decide.Readiness, time.Duration)
	ListEnd()
	ByHand(s decide.ServerID, out bool)
	Memory() decide.Memory
	Remember(decide.Memory)
	HandedOver(to bool)
	Timer(decide.TimerMark)
}

// Reason says in a few words why a decider objects; empty: it does not.
type Reason string

// Decider is one of them. Facts come as they happen, the time before them; questions are answered from those and
// change nothing. None has all methods, for those that need few.
type Decider interface {
	Name() string

	At(now time.Duration)
	Listed(s decide.ServerID, z decide.Zone, size float64, st decide.Readiness, since time.Duration)
	ListDone()
	Came(f decide.FlowID, s decide.ServiceID, c decide.CustomerID, g decide.GroupKey)
	Sent(f decide.FlowID, to decide.ServerID)
	Stood(f decide.FlowID, on decide.ServerID, took time.Duration) // below 0: it stood before the start
	Over(f decide.FlowID, on decide.ServerID, o decide.Outcome, stood bool)
	Gone(f decide.FlowID) // nothing more comes of it
	Late(on decide.ServerID, delay time.Duration)
	Reported(s decide.ServerID, load float64) // its own word on its load over its capacity
	Moved(f decide.FlowID)

	Server(f decide.FlowID, s decide.ServerID) (extra float64, why Reason)
	Admit(f decide.FlowID) Reason
	Again(f decide.FlowID, told time.Duration) time.Duration
	Move(f decide.FlowID) Reason
	First() []decide.FlowID

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
	note   *Note
	server decide.ServerID
	stands bool
	out    bool
}

// Host is decide with deciders round it.
type Host struct {
	dec      *decide.Balancer
	act      decide.Act
	deciders []Decider
	now      time.Duration
	flows    map[decide.FlowID]*live
	zones    map[decide.ServerID]decide.Zone
	listed   map[decide.ServerID]listing
	ring     []*Note
	oldest   int
	acted    map[[2]string]int // by decider and reason, how often a bound acted
	nextName string
}

// New puts deciders, asked in the order given, round an instance that start has made its own settings known to. Where
// several object the first is booked; extra costs add; the longest time to come again holds.
func New(seed uint64, act decide.Act, deciders []Decider, start func(*decide.Balancer)) *Host {
	h := &Host{act: act, deciders: deciders, flows: map[decide.FlowID]*live{}, zones: map[decide.ServerID]decide.Zone{},
		listed: map[decide.ServerID]listing{}, acted: map[[2]string]int{}}
	h.dec = decide.New(seed, actions{h})
	h.dec.StartBounds(questions{h})
	start(h.dec)
	return h
}

// Named tells what the client of the next flow calls it.
func (h *Host) Named(name string) { h.nextName = name }

func (h *Host) gone(f decide.FlowID) {
	if h.flows[f] == nil {
		return
	}
	delete(h.flows, f)
	for _, d := range h.deciders {
		d.Gone(f)
	}
}

// At sets the time of the calls that follow.
func (h *Host) At(now time.Duration) {
	h.now = now
	for _, d := range h.deciders {
		d.At(now)
	}
	h.dec.At(now)
}

// Flow brings a new flow, of which the deciders hear first.
func (h *Host) Flow(f decide.FlowID, s decide.ServiceID, c decide.CustomerID, k decide.FlowKey, g decide.GroupKey, left time.Duration, marks int) {
	h.note(f, g)
	for _, d := range h.deciders {
		d.Came(f, s, c, g)
	}
	h.dec.Flow(f, s, c, k, g, left, marks)
}

// Held brings a flow that stands already.
func (h *Host) Held(f decide.FlowID, s decide.ServiceID, c decide.CustomerID, k decide.FlowKey, g decide.GroupKey, to decide.ServerID) {
	l := h.note(f, g)
	l.server, l.stands, l.out = to, true, true
	l.note.Answer = "stood before the start"
	l.note.Sent = []Try{{Server: to, Zone: h.zones[to]}}
	for _, d := range h.deciders {
		d.Came(f, s, c, g)
		d.Sent(f, to)
		d.Stood(f, to, -1)
	}
	h.dec.Held(f, s, c, k, g, to)
}

// Established says that a connect came up.
func (h *Host) Established(f decide.FlowID, took time.Duration) {
	if l := h.flows[f]; l != nil && l.out {
		l.stands = true
		l.note.Answer = "established"
		for _, d := range h.deciders {
			d.Stood(f, l.server, took)
		}
	}
	h.dec.Established(f, took)
}

// Ended says how a connect or a connection ended.
func (h *Host) Ended(f decide.FlowID, o decide.Outcome, took time.Duration, over bool) {
	l := h.flows[f]
	if l != nil && l.out {
		l.out = false
		if n := len(l.note.Sent); n > 0 {
			l.note.Sent[n-1].Ended = o.String()
		}
		for _, d := range h.deciders {
			d.Over(f, l.server, o, l.stands)
		}
	}
	stood := l != nil && l.stands
	h.dec.Ended(f, o, took, over)
	if over || stood {
		h.gone(f)
	}
}

// Left says that a flow's client has gone.
func (h *Host) Left(f decide.FlowID) {
	if l := h.flows[f]; l != nil && l.note.Answer == "" {
		l.note.Answer = "the client left"
	}
	h.dec.Left(f)
	if l := h.flows[f]; l != nil && !l.out {
		h.gone(f)
	}
}

// LoadNote passes on that a flow's load is told, which shows that its server lives.
func (h *Host) LoadNote(f decide.FlowID) { h.dec.LoadNote(f) }

// DelayNote says how long a flow's message took.
func (h *Host) DelayNote(f decide.FlowID, took time.Duration) {
	if l := h.flows[f]; l != nil && l.stands {
		for _, d := range h.deciders {
			d.Late(l.server, took)
		}
	}
	h.dec.DelayNote(f, took)
}

// Probed passes on how a probe ended.
func (h *Host) Probed(s decide.ServerID, o decide.Outcome) { h.dec.Probed(s, o) }

// Reported takes in a server's own report of its load.
func (h *Host) Reported(s decide.ServerID, load float64) {
	for _, d := range h.deciders {
		d.Reported(s, load)
	}
	h.dec.Reported(s, load)
}

// ListBegin begins a call of the server list.
func (h *Host) ListBegin(k decide.ListKind) { h.dec.ListBegin(k) }

// ListServer brings one server of the call.
func (h *Host) ListServer(s decide.ServerID, z decide.Zone, c decide.CellID, size float64, st decide.Readiness, since time.Duration) {
	h.zones[s] = z
	h.listed[s] = listing{size, st, since, h.listed[s].byHand}
	h.tell(s)
	h.dec.ListServer(s, z, c, size, st, since)
}

// tell has the deciders know a server as the module does: one out by hand is never ready.
func (h *Host) tell(s decide.ServerID) {
	l := h.listed[s]
	if l.byHand {
		l.st = max(l.st, decide.Draining)
	}
	for _, d := range h.deciders {
		d.Listed(s, h.zones[s], l.size, l.st, l.since)
	}
}

// ByHand takes a server out by hand, or gives it back.
func (h *Host) ByHand(s decide.ServerID, out bool) {
	if l, ok := h.listed[s]; ok && l.byHand != out {
		if l.byHand = out; !out {
			l.since = h.now // it comes back cold
		}
		h.listed[s] = l
		h.tell(s)
		for _, d := range h.deciders {
			d.ListDone()
		}
	}
	h.dec.ByHand(s, out)
}

// ListEnd ends the call: deciders hear what it changed.
func (h *Host) ListEnd() {
	for _, d := range h.deciders {
		d.ListDone()
	}
	h.dec.ListEnd()
}

// Memory is what the decisions have learnt.
func (h *Host) Memory() decide.Memory { return h.dec.Memory() }

// Remember has the deciders know the list that comes with it; what they learnt themselves they learn anew.
func (h *Host) Remember(m decide.Memory) {
	for _, k := range m.Servers {
		h.zones[k.ID] = k.Zone
		h.listed[k.ID] = listing{k.Size, k.Listed, k.Since, k.ByHand}
		h.tell(k.ID)
	}
	for _, d := range h.deciders {
		d.ListDone()
	}
	h.dec.Remember(m)
}

// HandedOver says that another process goes on with what is known here, or that it is gone again.
func (h *Host) HandedOver(to bool) { h.dec.HandedOver(to) }

// Timer brings a timer that the decisions asked for.
func (h *Host) Timer(m decide.TimerMark) { h.dec.Timer(m) }
