package scenario

import (
	"fmt"
	"testing"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/virtual"
	"yardwinch/locality"
)

// spilling looks at each connect that leaves the nearest tier: the balancer may not hold more there than its limit, but
// for the one that rounds a part of a flow.
type spilling struct {
	constraints.Unconstrained
	t     *testing.T
	own   decide.Zone
	zones map[decide.ServerID]decide.Zone
	h     *locality.Policy
	seen  *int
	over  map[decide.FlowID]string // beyond the limit, unless it turns out to have been taken over
}

func (s *spilling) Name() string { return "spy" }

func (s *spilling) OnEndpoint(endpoint decide.Endpoint) {
	s.zones[endpoint.ID] = endpoint.Zone
}

func (s *spilling) OnAttempt(f decide.FlowID, to decide.ServerID) {
	if z := s.zones[to]; z != s.own && s.h.StateOf(z) == locality.Healthy {
		*s.seen++
		if n, limit := float64(s.h.Spilled(z)), s.h.SpillLimit(z); n > limit+1 {
			s.over[f] = fmt.Sprintf("%v flows in hall %s, the limit is %.2f", n, z, limit)
		}
	}
}

func (s *spilling) OnEstablished(f decide.FlowID, _ decide.ServerID, took time.Duration) {
	if took >= 0 {
		s.report(f)
	}
	delete(s.over, f)
}

func (s *spilling) OnEnded(f decide.FlowID, _ decide.ServerID, _ decide.Outcome, _ bool) { s.report(f) }

func (s *spilling) report(f decide.FlowID) {
	if what := s.over[f]; what != "" {
		s.t.Error(what)
		delete(s.over, f)
	}
}

func TestSpillLimitsAndRulesOnRandomDays(t *testing.T) {
	days := uint64(40)
	if testing.Short() {
		days = 6
	}
	e := open(t, "mixed")
	seen := 0
	for seed := range days {
		d := e.Day(seed)
		ref := NewChecker(d, 8*time.Millisecond, 0)
		dr := virtual.New(d, ref, func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
			g := config.FromPairs(d.Settings(b))
			h := e.Halls.NewPolicy(g, seed)
			spy := &spilling{t: t, own: decide.Zone(g.String("az", "")), zones: map[decide.ServerID]decide.Zone{}, h: h, seen: &seen, over: map[decide.FlowID]string{}}
			return constraints.New(seed, act, []constraints.Constraint{h, spy}, func(dec *decide.Balancer) { config.ConfigureBalancer(g, dec) })
		})
		dr.Run(nil)
		for _, v := range ref.Violations() {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
	if seen < 100 {
		t.Errorf("only %d connects left their hall", seen)
	}
}
