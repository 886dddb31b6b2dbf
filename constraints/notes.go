package constraints

import (
	"slices"

	"yardwinch/decide"
)

const notesKept = 4096 // of the last flows

// Explanation is what is kept of one flow for whoever asks why it went where it did.
type Explanation struct {
	Flow       decide.FlowID   `json:"flow"`
	Name       string          `json:"name,omitempty"` // as its client chose it
	ArrivedAt  float64         `json:"came_s"`
	Group      decide.GroupKey `json:"group,omitempty"`
	Attempts   []Attempt       `json:"connects"`
	Answer     string          `json:"answer"`
	Migrated   bool            `json:"moved,omitempty"`
	ExtraCosts []ExtraCost     `json:"dearer,omitempty"` // servers that another decider made dearer, and why
	Excluded   map[string]int  `json:"barred,omitempty"` // reasons, with how many servers each took out of view
}

// Attempt is one connect.
type Attempt struct {
	Server  decide.ServerID `json:"server"`
	Name    string          `json:"name,omitempty"`
	Zone    decide.Zone     `json:"zone"`
	At      float64         `json:"at_s"`
	Outcome string          `json:"ended,omitempty"`
}

// ExtraCost is a server that a decider made dearer for a flow.
type ExtraCost struct {
	Server decide.ServerID `json:"server"`
	Name   string          `json:"name,omitempty"`
	Reason string          `json:"why"`
}

// Explainer is a decider that can say why it makes a server dearer; it is asked once for a flow and server.
type Explainer interface{ ExplainCost(decide.ServerID) string }

func (h *ConstrainedBalancer) note(f decide.FlowID, g decide.GroupKey) *live {
	n := &Explanation{Flow: f, Name: h.nextName, ArrivedAt: h.now.Seconds(), Group: g}
	h.nextName = ""
	if len(h.ring) < notesKept {
		h.ring = append(h.ring, n)
	} else {
		h.ring[h.oldest] = n
		h.oldest = (h.oldest + 1) % notesKept
	}
	l := &live{note: n}
	h.flows[f] = l
	return l
}

// dearer keeps who made a server dearer for a flow that waits for its place, where that can be said.
func (h *ConstrainedBalancer) dearer(f decide.FlowID, s decide.ServerID, d Constraint) {
	x, can := d.(Explainer)
	l := h.flows[f]
	if !can || l == nil || l.out || len(l.note.ExtraCosts) >= triesKept ||
		slices.ContainsFunc(l.note.ExtraCosts, func(k ExtraCost) bool { return k.Server == s }) {
		return
	}
	h.acted[[2]string{d.Name(), "dearer"}]++
	l.note.ExtraCosts = append(l.note.ExtraCosts, ExtraCost{Server: s, Reason: d.Name() + ": " + x.ExplainCost(s)})
}

// book counts a bound that acted; of a flow that waits for its place it is kept what stood in its way.
func (h *ConstrainedBalancer) book(f decide.FlowID, d Constraint, why Reason) {
	h.acted[[2]string{d.Name(), string(why)}]++
	if l := h.flows[f]; l != nil && !l.stands {
		if l.note.Excluded == nil {
			l.note.Excluded = map[string]int{}
		}
		l.note.Excluded[d.Name()+": "+string(why)]++
	}
}

// Interventions is how often each bound acted, by decider and reason.
func (h *ConstrainedBalancer) Interventions() map[string]int {
	all := map[string]int{}
	for k, n := range h.acted {
		all[k[0]+": "+k[1]] += n
	}
	return all
}

// States are what the deciders hold, by their names.
func (h *ConstrainedBalancer) States() map[string]any {
	all := map[string]any{}
	for _, d := range h.deciders {
		all[d.Name()] = d.State()
	}
	return all
}

// Explain is what is kept of a flow, by the module's id or by what its client called it; the newest where several fit.
func (h *ConstrainedBalancer) Explain(name string) (Explanation, bool) {
	for i := range h.ring {
		n := h.ring[(h.oldest+len(h.ring)-1-i)%len(h.ring)]
		if n.Name == name || string(n.Flow) == name {
			c := *n
			c.Attempts, c.ExtraCosts = slices.Clone(n.Attempts), slices.Clone(n.ExtraCosts)
			return c, true
		}
	}
	return Explanation{}, false
}

func (h *ConstrainedBalancer) answered(f decide.FlowID, as string) {
	if l := h.flows[f]; l != nil {
		l.note.Answer = as
		if !l.out {
			h.gone(f)
		}
	}
}
