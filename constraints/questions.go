package constraints

import (
	"time"

	"yardwinch/decide"
)

// questions is what decide asks of the deciders; see decide.Bounds.
type questions struct{ *ConstrainedBalancer }

func (h questions) ServerCost(f decide.FlowID, s decide.ServerID) (extra float64, ok bool) {
	for _, d := range h.deciders {
		more, why := d.ServerCost(f, s)
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

func (h questions) AdmitFlow(f decide.FlowID) bool {
	for _, d := range h.deciders {
		if why := d.AdmitFlow(f); why != "" {
			h.book(f, d, why)
			return false
		}
	}
	return true
}

func (h questions) RetryAfter(f decide.FlowID, told time.Duration) time.Duration {
	if len(h.deciders) == 0 {
		return told
	}
	after := time.Duration(0)
	for _, d := range h.deciders {
		after = max(after, d.RetryAfter(f, told))
	}
	return after
}

func (h questions) AllowMigration(f decide.FlowID) bool {
	for _, d := range h.deciders {
		if why := d.AllowMigration(f); why != "" {
			h.book(f, d, why)
			return false
		}
	}
	return true
}

func (h questions) MigrateFirst() (first []decide.FlowID) {
	for _, d := range h.deciders {
		first = append(first, d.MigrateFirst()...)
	}
	return first
}
