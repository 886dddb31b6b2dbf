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

// spillObserver looks at each connect that leaves the nearest tier: the balancer may not hold more there than its limit, but
// for the one that rounds a part of a flow.
type spillObserver struct {
	constraints.Unconstrained
	t         *testing.T
	ownZone   decide.Zone
	zones     map[decide.ServerID]decide.Zone
	policy    *locality.Policy
	seenCount *int
	exceeded  map[decide.FlowID]string // beyond the limit, unless it turns out to have been taken over
}

func (s *spillObserver) Name() string { return "spy" }

func (s *spillObserver) OnEndpoint(endpoint decide.Endpoint) {
	s.zones[endpoint.ID] = endpoint.Zone
}

func (s *spillObserver) OnAttempt(f decide.FlowID, to decide.ServerID) {
	if z := s.zones[to]; z != s.ownZone && s.policy.StateOf(z) == locality.Healthy {
		*s.seenCount++
		if n, limit := float64(s.policy.Spilled(z)), s.policy.SpillLimit(z); n > limit+1 {
			s.exceeded[f] = fmt.Sprintf("%v flows in hall %s, the limit is %.2f", n, z, limit)
		}
	}
}

func (s *spillObserver) OnEstablished(f decide.FlowID, _ decide.ServerID, took time.Duration) {
	if took >= 0 {
		s.report(f)
	}
	delete(s.exceeded, f)
}

func (s *spillObserver) OnEnded(f decide.FlowID, _ decide.ServerID, _ decide.Outcome, _ bool) {
	s.report(f)
}

func (s *spillObserver) report(f decide.FlowID) {
	if what := s.exceeded[f]; what != "" {
		s.t.Error(what)
		delete(s.exceeded, f)
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
		checker := NewChecker(d, 8*time.Millisecond, 0)
		driver := virtual.New(d, checker, func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
			settings := config.FromPairs(d.Settings(b))
			policy := e.Locality.NewPolicy(settings, seed)
			observer := &spillObserver{
				t:         t,
				ownZone:   decide.Zone(settings.String("az", "")),
				zones:     map[decide.ServerID]decide.Zone{},
				policy:    policy,
				seenCount: &seen,
				exceeded:  map[decide.FlowID]string{},
			}
			configure := func(decider *decide.Balancer) { config.ConfigureBalancer(settings, decider) }
			return constraints.New(seed, act, []constraints.Constraint{policy, observer}, configure)
		})
		driver.Run(nil)
		for _, v := range checker.Violations() {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
	if seen < 100 {
		t.Errorf("only %d connects left their hall", seen)
	}
}
