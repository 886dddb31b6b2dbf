package constraints

import (
	"time"

	"yardwinch/decide"
)

// questions is what decide asks of the deciders; see decide.Bounds.
type questions struct{ *Host }

func (h questions) Server(f decide.FlowID, s decide.ServerID) (extra float64, ok bool) {
	for _, d := range h.deciders {
		more, why := d.Server(f, s)
		if why != "" {
			h.book(f, d, why)
			return 0, false
		}
		if extra += more; more > 0 {
			h.dearer(f, s, d)
		}
	}
	return extra, true
}

func (h questions) Admit(f decide.FlowID) bool {
	for _, d := range h.deciders {
		if why := d.Admit(f); why != "" {
			h.book(f, d, why)
			return false
		}
	}
	return true
}

func (h questions) Again(f decide.FlowID, told time.Duration) time.Duration {
	if len(h.deciders) == 0 {
		return told
	}
	after := time.Duration(0)
	for _, d := range h.deciders {
		after = max(after, d.Again(f, told))
	}
	return after
}

func (h questions) Move(f decide.FlowID) bool {
	for _, d := range h.deciders {
		if why := d.Move(f); why != "" {
			h.book(f, d, why)
			return false
		}
	}
	return true
}

func (h questions) First() (first []decide.FlowID) {
	for _, d := range h.deciders {
		first = append(first, d.First()...)
	}
	return first
}
