package locality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

const (
	hallLost  constraints.Reason = "the hall is lost"
	hallSteps constraints.Reason = "the hall returns in steps"
	hallCold  constraints.Reason = "a cold server of another hall"
	hallSpill constraints.Reason = "the spill into the hall is used up"
	hallSurge constraints.Reason = "the own hall grows too fast"
	hallHome  constraints.Reason = "moves home are used up"
)

// ServerCost bars the servers of halls that take nothing now, and makes those of halls farther off cost more.
func (h *Policy) ServerCost(f decide.FlowID, id decide.ServerID) (float64, constraints.Reason) {
	s := h.servers[id]
	if s == nil {
		return 0, ""
	}
	x, extra := s.hall, tierCost*float64(s.hall.tier)
	if fl := h.flows[f]; fl != nil && fl.server != nil && fl.server.hall == x {
		return extra, "" // it is there already
	}
	switch x.state {
	case Unavailable:
		if x.trial != "" && h.now-x.trialAt < trialWithin || h.now < x.retryAt {
			return 0, hallLost
		}
	case Recovering:
		if float64(x.sent)+x.coin >= h.usual(x)*shares[x.step]/x.gentler+b2f(x.step == steps-1) {
			return 0, hallSteps
		}
	}
	if x.tier > 0 {
		if s.since != decide.LongAgo && h.now-s.since < h.warm {
			return 0, hallCold // those whose own it is warm it
		}
		if float64(x.own)+x.coin >= h.SpillLimit(x.name) {
			return 0, hallSpill
		}
	} else if h.surge > 0 && h.known() && h.nearest()+1 > (1+h.surge)*h.perSize*h.nearSize()+1 {
		return 0, hallSurge
	}
	return extra, ""
}

// RetryAfter spreads those turned away for want of a hall, or they would return together.
func (h *Policy) RetryAfter(_ decide.FlowID, told time.Duration) time.Duration {
	if h.again == 0 {
		return told
	}
	return h.jitter(h.again)
}

// AllowMigration keeps a flow that spilled from going home beyond the budget.
func (h *Policy) AllowMigration(f decide.FlowID) constraints.Reason {
	x := h.flows[f]
	if x != nil && x.server != nil && x.server.hall.tier > 0 && h.tokens < 1 {
		return hallHome
	}
	return ""
}

// MigrateFirst are those that spilled, the oldest first and those of one group together, while a nearer hall would have them.
func (h *Policy) MigrateFirst() (first []decide.FlowID) {
	if h.tokens < 1 {
		return nil
	}
	nearest := math.MaxInt
	for _, x := range h.order {
		if x.ready > 0 && (x.state == Healthy || x.state == Recovering) {
			nearest = min(nearest, x.tier)
		}
	}
	oldest := map[decide.GroupKey]time.Duration{}
	for id, f := range h.flows {
		if f.stands && f.server != nil && f.server.hall.tier > nearest {
			first = append(first, id)
			if at, ok := oldest[f.group]; !ok || f.stood < at {
				oldest[f.group] = f.stood
			}
		}
	}
	slices.SortFunc(first, func(a, b decide.FlowID) int {
		x, y := h.flows[a], h.flows[b]
		return cmp.Or(cmp.Compare(oldest[x.group], oldest[y.group]), cmp.Compare(x.group, y.group), cmp.Compare(x.stood, y.stood), cmp.Compare(a, b))
	})
	return first[:min(len(first), int(tokens)+2)]
}

// State is what whoever asks is told.
func (h *Policy) State() any {
	type told struct {
		Hall    string  `json:"hall"`
		Tier    int     `json:"tier"`
		State   string  `json:"state"`
		Why     string  `json:"why,omitempty"`
		Since   float64 `json:"since_s"`
		Ready   int     `json:"servers_ready"`
		Own     int     `json:"own_flows"`
		Usual   float64 `json:"usual"`
		Limit   float64 `json:"limit,omitempty"`
		Step    int     `json:"step,omitempty"`
		Gentler float64 `json:"gentler,omitempty"`
	}
	var all []told
	for _, x := range h.order {
		t := told{string(x.name), x.tier, string(x.state), string(x.why), x.since.Seconds(), x.ready, x.own, h.usual(x), 0, 0, 0}
		switch {
		case x.state == Recovering:
			t.Limit, t.Step, t.Gentler = h.usual(x)*shares[x.step]/x.gentler, x.step+1, x.gentler
		case x.tier > 0:
			t.Limit = h.spill * h.usual(x)
		}
		all = append(all, t)
	}
	return map[string]any{"halls": all, "moves_home_left": h.tokens, "moved_home": h.moved}
}
