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

// spillObserver checks each connect that leaves the balancer's own zone for a healthy one: the balancer may not have more flows there than
// its spill limit, except for one flow by which the limit is rounded up.
type spillObserver struct {
	constraints.Unconstrained
	t             *testing.T
	ownZone       decide.Zone
	zones         map[decide.ServerID]decide.Zone
	policy        *locality.Policy
	observedCount *int
	exceeded      map[decide.FlowID]string // message for each flow beyond the limit, reported unless the flow proves to be adopted
}

func (s *spillObserver) Name() string { return "spill observer" }

func (s *spillObserver) OnEndpoint(endpoint decide.Endpoint) {
	s.zones[endpoint.ID] = endpoint.Zone
}

func (s *spillObserver) OnAttempt(f decide.FlowID, to decide.ServerID) {
	if z := s.zones[to]; z != s.ownZone && s.policy.StateOf(z) == locality.Healthy {
		*s.observedCount++
		if n, limit := float64(s.policy.FlowsIn(z)), s.policy.SpillLimit(z); n > limit+1 {
			s.exceeded[f] = fmt.Sprintf("%v flows in zone %s, want at most %.2f", n, z, limit)
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
				t:             t,
				ownZone:       decide.Zone(settings.String("az", "")),
				zones:         map[decide.ServerID]decide.Zone{},
				policy:        policy,
				observedCount: &seen,
				exceeded:      map[decide.FlowID]string{},
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
		t.Errorf("only %d connects left their zone, want 100 or more", seen)
	}
}
