package decide

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Without latency samples, resets of established flows are the only sign of overload that one of many balancers observes.
func TestResetsShowScarceCapacity(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
	s.balancer.ConfigureSlowStart(slowStartSettings(200))
	s.adoptEach(1, 6)
	s.balancer.OnEnded("r10", Reset, sec, true)
	if s.balancer.isCapacityScarce() {
		t.Error("capacity is scarce although only one server of six reset a flow")
	}
	for _, id := range []FlowID{"r20", "r30", "r40"} {
		s.balancer.OnEnded(id, Reset, sec, true)
	}
	if !s.balancer.isCapacityScarce() {
		t.Error("capacity is not scarce although four servers of six reset their flows")
	}
	s.takeActions()
	s.request("new", "", sec)
	if s.balancer.health.flowLimit.reducedAt == 0 || s.targets["new"] >= 1 && s.targets["new"] <= 4 {
		t.Errorf("limit on all flows set: %v, want true; a new flow went to server %d, want 0 (none), 5 or 6",
			s.balancer.health.flowLimit.reducedAt != 0, s.targets["new"])
	}
	s.setTime(latencyMaxAge + ms)
	if s.balancer.isCapacityScarce() {
		t.Error("capacity is scarce for longer than latencyMaxAge")
	}
}

// A single late message may be a short pause of the server; a second one reduces the server's limit.
func TestSingleLateMessageIsNotOverload(t *testing.T) {
	for _, c := range []struct {
		name        string
		samples     int
		hasCapacity bool
	}{{"one late message", 1, true}, {"two late messages", 2, false}} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
			s.adopt("o", 10, "", 1)
			s.adoptEach(2, 6)
			for i := range c.samples {
				s.setTime(time.Duration(i) * sec)
				s.balancer.OnLatencySample("o9", 150*ms)
			}
			if server := s.balancer.list.byID[1]; s.balancer.hasCapacity(&flow{}, server, placementView{}) != c.hasCapacity {
				t.Errorf("has capacity: %v with %d open flows, limit %v; want %v", !c.hasCapacity, server.openFlows, server.limit.flows, c.hasCapacity)
			}
		})
	}
}

// New flows are rejected if all servers are at their limits.
func TestFullFleetRejects(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
	for server := range 2 {
		s.adopt(fmt.Sprint("o", server), 10, "", ServerID(server+1))
		s.balancer.reduceLimit(s.balancer.list.byID[ServerID(server+1)])
	}
	s.request("a", "", sec)
	s.expect("reject a")
}

// A single reset by a server within its latency objective does not reduce its limit, unless balancers are many and each
// observes little.
func TestLoneReset(t *testing.T) {
	for _, c := range []struct {
		balancers, resets int
		limited           bool
	}{{2, 1, false}, {2, 2, true}, {40, 1, true}} {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
		s.balancer.ConfigureSlowStart(slowStartSettings(c.balancers))
		s.adopt("a", 9, "", 1)
		s.setTime(sec)
		for i := range c.resets {
			s.balancer.OnEnded(FlowID(fmt.Sprint("a", i)), Reset, sec, true)
		}
		if got := s.balancer.list.byID[1].limit.reducedAt != 0; got != c.limited {
			t.Errorf("%d balancers, %d resets: limited %v, want %v", c.balancers, c.resets, got, c.limited)
		}
	}
}

// A server that accepts flows and drops them at once stops attracting them.
func TestServerThatDropsNewFlows(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	s.adopt("b", 3, "x", 2)
	s.adopt("c", 3, "y", 3)
	for i := range 50 {
		s.setTime(time.Duration(i) * 100 * ms)
		id := FlowID(fmt.Sprint(i))
		s.request(id, "", sec)
		s.balancer.OnEstablished(id, ms)
		if s.targets[id] == 1 {
			s.balancer.OnEnded(id, Reset, ms, true)
		}
	}
	if s.attemptsTo[1] > 4 {
		t.Errorf("%d of 50 flows sent to the server that drops them, want at most 4", s.attemptsTo[1])
	}
}

// For one of many balancers, capacity is scarce only if more servers are overloaded than random variation explains. The
// balancer then limits the total number of its flows.
func TestScarcityExceedsChance(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 60)
	s.balancer.slowStart.Balancers = 200
	s.balancer.health.setupTimes = []time.Duration{sec} // slower than the target, so that no flows migrate
	s.adoptEach(1, 8)
	for i, isScarce := range []bool{false, false, false, true, true, true, true, true} {
		s.balancer.OnLatencySample(FlowID(fmt.Sprintf("r%d0", i+1)), 80*ms)
		s.balancer.reduceLimit(s.balancer.list.byID[ServerID(i+1)])
		if s.balancer.isCapacityScarce() != isScarce {
			t.Errorf("scarce: %v with %d of 8 servers overloaded, want %v", !isScarce, i+1, isScarce)
		}
	}
	s.takeActions()
	s.request("a", "", sec)
	s.expect("reject a") // although the balancer has no flows at 52 of the 60 servers
}

// While capacity is scarce, flows of customers over their quota are shed first.
func TestFlowsOverQuotaAreShedFirst(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	s.balancer.AddCustomer(2)
	s.balancer.AddCustomer(50)
	for i := range 3 {
		s.balancer.AdoptFlow(FlowRequest{ID: FlowID(fmt.Sprint("o", i))}, 1)
	}
	s.balancer.OnLatencySample("o0", 90*ms)
	s.takeActions()
	s.balancer.OnFlow(FlowRequest{ID: "over", Timeout: sec})
	s.expect("reject over")
	s.balancer.OnFlow(FlowRequest{ID: "within", Customer: 1, Timeout: sec})
	if got := s.takeActions(); !strings.HasPrefix(got, "connect within") {
		t.Errorf("actions %q, want a connect of the flow within its quota", got)
	}
}
