package constraints

import (
	"slices"

	"yardwinch/decide"
)

const notesKept = 4096 // of the last flows

// Note is what is kept of one flow for whoever asks why it went where it did.
type Note struct {
	Flow   decide.FlowID   `json:"flow"`
	Name   string          `json:"name,omitempty"` // as its client chose it
	Came   float64         `json:"came_s"`
	Group  decide.GroupKey `json:"group,omitempty"`
	Sent   []Try           `json:"connects"`
	Answer string          `json:"answer"`
	Moved  bool            `json:"moved,omitempty"`
	Dearer []Dearer        `json:"dearer,omitempty"` // servers that another decider made dearer, and why
	Barred map[string]int  `json:"barred,omitempty"` // reasons, with how many servers each took out of view
}

// Try is one connect.
type Try struct {
	Server decide.ServerID `json:"server"`
	Name   string          `json:"name,omitempty"`
	Zone   decide.Zone     `json:"zone"`
	At     float64         `json:"at_s"`
	Ended  string          `json:"ended,omitempty"`
}

// Dearer is a server that a decider made dearer for a flow.
type Dearer struct {
	Server decide.ServerID `json:"server"`
	Name   string          `json:"name,omitempty"`
	Why    string          `json:"why"`
}

// Explainer is a decider that can say why it makes a server dearer; it is asked once for a flow and server.
type Explainer interface{ Why(decide.ServerID) string }

func (h *Host) note(f decide.FlowID, g decide.GroupKey) *live {
	n := &Note{Flow: f, Name: h.nextName, Came: h.now.Seconds(), Group: g}
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
func (h *Host) dearer(f decide.FlowID, s decide.ServerID, d Decider) {
	x, can := d.(Explainer)
	l := h.flows[f]
	if !can || l == nil || l.out || len(l.note.Dearer) >= triesKept ||
		slices.ContainsFunc(l.note.Dearer, func(k Dearer) bool { return k.Server == s }) {
		return
	}
	h.acted[[2]string{d.Name(), "dearer"}]++
	l.note.Dearer = append(l.note.Dearer, Dearer{Server: s, Why: d.Name() + ": " + x.Why(s)})
}

// book counts a bound that acted; of a flow that waits for its place it is kept what stood in its way.
func (h *Host) book(f decide.FlowID, d Decider, why Reason) {
	h.acted[[2]string{d.Name(), string(why)}]++
	if l := h.flows[f]; l != nil && !l.stands {
		if l.note.Barred == nil {
			l.note.Barred = map[string]int{}
		}
		l.note.Barred[d.Name()+": "+string(why)]++
	}
}

// Acted is how often each bound acted, by decider and reason.
func (h *Host) Acted() map[string]int {
	all := map[string]int{}
	for k, n := range h.acted {
		all[k[0]+": "+k[1]] += n
	}
	return all
}

// States are what the deciders hold, by their names.
func (h *Host) States() map[string]any {
	all := map[string]any{}
	for _, d := range h.deciders {
		all[d.Name()] = d.State()
	}
	return all
}

// Why is what is kept of a flow, by the module's id or by what its client called it; the newest where several fit.
func (h *Host) Why(name string) (Note, bool) {
	for i := range h.ring {
		n := h.ring[(h.oldest+len(h.ring)-1-i)%len(h.ring)]
		if n.Name == name || string(n.Flow) == name {
			c := *n
			c.Sent, c.Dearer = slices.Clone(n.Sent), slices.Clone(n.Dearer)
			return c, true
		}
	}
	return Note{}, false
}

func (h *Host) answered(f decide.FlowID, as string) {
	if l := h.flows[f]; l != nil {
		l.note.Answer = as
		if !l.out {
			h.gone(f)
		}
	}
}
