package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newReportingFleet returns one of many balancers, with servers that reported their loads a second ago.
func newReportingFleet(t *testing.T, loads ...float64) *harness {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 0)
	s.balancer.ConfigureSlowStart(slowStartSettings(50))
	s.balancer.ConfigureHealthChecks(true)
	s.balancer.ConfigurePlacement(0.012, 0, true)
	s.updateList(FullUpdate, Ready, len(loads))
	s.setTime(20 * sec)
	for i, load := range loads {
		s.balancer.OnLoadReport(ServerID(i+1), load)
	}
	s.setTime(21 * sec)
	return s
}

// Placement uses load reports where many balancers share each server, as each balancer's own flows say little there.
func TestPlacementByReportedLoad(t *testing.T) {
	preferred := newReportingFleet(t, 0.3, 0.3, 0.3, 0.3).request("a", "g", sec)
	at := func(load, others float64) []float64 {
		loads := []float64{others, others, others, others}
		loads[preferred-1] = load
		return loads
	}
	second := newReportingFleet(t, at(0.8, 0.3)...).request("a", "g", sec)
	for _, c := range []struct {
		name      string
		loads     []float64
		held      ServerID // a server that holds a flow of the group
		after     time.Duration
		group     GroupKey
		to, never ServerID
	}{
		{"own flows do not count if there are load reports", []float64{0.9, 0.1}, 2, 0, "", 2, 0},
		{"an old report does not count", []float64{0.9, 0.1}, 2, loadReportMaxAge, "", 1, 0},
		{"the preferred server gets its group even if others have less load", at(0.65, 0.3), 0, 0, "g", preferred, 0},
		{"a preferred server above the load bound gets nothing", at(0.8, 0.3), 0, 0, "g", second, preferred},
		{"the preferred server gets the group although another holds it", at(0.2, 0.5), preferred%4 + 1, 0, "g", preferred, 0},
		{"the local zone keeps its flows while it has capacity", []float64{0.3, 0.9, 0.25, 0.9}, 0, 0, "", 1, 0},
		{"spillover when the local zone is full", []float64{0.9, 0.9, 0.2, 0.9}, 0, 0, "", 3, 0},
		{"within the zone the lower load decides", []float64{0.3, 0.25}, 0, 0, "", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newReportingFleet(t, c.loads...)
			if c.held > 0 {
				s.adopt("o", 1, c.group, c.held)
			}
			s.setTime(21*sec + c.after)
			if got := s.request("a", c.group, sec); got != c.to || got == c.never {
				t.Errorf("placed on server %d, want %d and not %d", got, c.to, c.never)
			}
		})
	}
	s := newReportingFleet(t, 0.6, 0.6)
	s.updateServer(2, Ready, 19*sec)
	s.balancer.OnLoadReport(2, 0)
	if _, ok := s.balancer.reportedLoad(s.balancer.list.byID[2]); ok {
		t.Error("the load report of a warming server counts")
	}
}

func TestReactionToReportedLoad(t *testing.T) {
	for other, most := range map[float64]int{0.1: 7, 1.6: 0} {
		t.Run(fmt.Sprintf("load report above 1, the other server at %v: at most %d migrations", other, most), func(t *testing.T) {
			s := newReportingFleet(t, 0.6, other)
			s.adopt("o", 10, "", 1)
			s.balancer.OnLoadReport(1, 1.5)
			if n := s.countActions("move"); n > most || n < most-4 {
				t.Errorf("%d of 10 flows were migrated, want at most the number in the test name and at most 4 fewer", n)
			}
		})
	}
	for load, want := range map[float64]string{0.3: "connect", 0.95: "reject"} {
		t.Run(fmt.Sprintf("limit inferred from latency, load report of %v: %s", load, want), func(t *testing.T) {
			s := newReportingFleet(t, load)
			s.adopt("o", 2, "", 1)
			s.balancer.reduceLimit(s.balancer.list.byID[1])
			s.request("a", "", sec)
			if got := s.takeActions(); !strings.HasPrefix(got, want) {
				t.Errorf("actions %q, want one %s", got, want)
			}
		})
	}
}

// As health checks cost servers work, their number follows that of new flows, and balancers do not send them at the same
// time.
func TestHealthChecksAreSpread(t *testing.T) {
	run := func(seed uint64, flows int, d time.Duration) (checks []string) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 0)
		s.balancer.random = seeded(seed)
		s.balancer.ConfigureHealthChecks(true)
		s.setTime(sec)
		s.updateList(CachedUpdate, Ready, 12)
		for at := sec; at <= sec+d; at += tickInterval {
			s.setTime(at)
			for i := range flows {
				id := FlowID(fmt.Sprint("f", at, "-", i))
				s.request(id, "", sec)
				s.balancer.OnEstablished(id, ms)
				s.balancer.OnEnded(id, OK, sec, true)
			}
			s.takeActions()
			s.balancer.tick()
			if actions := s.takeActions(); actions != "" {
				checks = append(checks, strings.Split(actions, ", ")...)
			}
		}
		return checks
	}
	first, other := run(1, 0, 2*sec), run(2, 0, 2*sec)
	if n := len(slices.Compact(slices.Sorted(slices.Values(first)))); n != 12 {
		t.Errorf("%d of 12 servers checked in the first 2 s, want all", n)
	}
	if fmt.Sprint(first) == fmt.Sprint(other) {
		t.Errorf("two balancers send the same health checks: %v", first)
	}
	idle, busy, flooded := len(run(1, 0, 30*sec)), len(run(1, 1, 30*sec)), len(run(1, 40, 30*sec))
	// In each of the 121 ticks at most 1+4*12*0.25/5 = 3.4 checks, rounded down, are sent to the 12 servers; the bound allows 4.
	if idle > 40 || busy < 2*idle || flooded > 121*4 {
		t.Errorf("health checks in 30 s: %d without flows, want at most 40; %d with 4 flows/s, want at least twice as many; "+
			"%d with 160 flows/s, want at most 121*4", idle, busy, flooded)
	}
}

// countHealthChecks returns how many health checks of 80 servers a balancer sends within d, by the number of balancers and
// the number of flows that it holds.
func countHealthChecks(t *testing.T, balancers, flows int, d time.Duration) int {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 0)
	s.balancer.ConfigureSlowStart(slowStartSettings(balancers))
	s.balancer.ConfigureHealthChecks(true)
	s.setTime(sec)
	s.updateList(CachedUpdate, Ready, 80)
	for i := range flows {
		s.adopt(fmt.Sprint(i, "-"), 1, "", ServerID(1+i%80))
	}
	s.takeActions()
	for at := sec; at <= sec+d; at += tickInterval {
		s.setTime(at)
		s.balancer.tick()
	}
	return s.countActions("probe")
}

// The number of health checks grows with the flows held, and not with the number of balancers times that of servers.
func TestHealthChecksFollowFlowsHeld(t *testing.T) {
	for _, c := range []struct{ balancers, flows, least, most int }{
		{1, 0, 230, 245}, // each server when the list arrives, and once in 15 s
		{300, 0, 1, 2},   // one when the list arrives, and a 300th of the later ones of a single balancer
		{300, 2, 6, 8},   // one more for each server with a flow, and then one in 15 s for each of these
		{300, 20, 58, 64},
		{300, 200, 230, 245},
	} {
		if n := countHealthChecks(t, c.balancers, c.flows, 30*sec); n < c.least || n > c.most {
			t.Errorf("%d balancers, %d flows: %d health checks in 30 s, want %d to %d", c.balancers, c.flows, n, c.least, c.most)
		}
	}
}

// healthCheckOrderByScan is a reference implementation of the order of health checks. For each check it scans all servers
// for the one with the oldest last check, whose age counts double if flows are open there.
func healthCheckOrderByScan(b *Balancer, n int) (checks []string) {
	checkedAt := map[ServerID]time.Duration{}
	for _, server := range b.list.ready {
		checkedAt[server.id] = server.healthCheckedAt
	}
	for range n {
		var next *serverState
		longest := -1.0
		for _, server := range b.list.ready {
			if age := (b.now - checkedAt[server.id]).Seconds() * (1 + float64(min(server.openFlows, 1))); age > longest {
				next, longest = server, age
			}
		}
		checkedAt[next.id] = b.now
		checks = append(checks, fmt.Sprint("probe ", next.id))
	}
	return checks
}

func TestHealthCheckOrderMatchesScan(t *testing.T) {
	most := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, rapid.IntRange(1, 40).Draw(rt, "servers"))
		s.balancer.ConfigureHealthChecks(true)
		s.setTime(100 * sec)
		for _, server := range s.balancer.list.ready {
			server.healthCheckedAt = time.Duration(rapid.IntRange(0, 20).Draw(rt, "checked")) * sec
			s.adopt(fmt.Sprint("f", server.id, "-"), rapid.IntRange(0, 2).Draw(rt, "flows"), "", server.id)
		}
		s.balancer.health.checkCredit = float64(rapid.IntRange(0, 40).Draw(rt, "credit"))
		s.takeActions()
		byScan := healthCheckOrderByScan(s.balancer, len(s.balancer.list.ready))
		s.balancer.sendHealthChecks()
		most = max(most, len(s.performed))
		want := strings.Join(byScan[:len(s.performed)], ", ")
		if got := s.takeActions(); got != want {
			rt.Errorf("health checks %q, by scan %q", got, want)
		}
	})
	if most < 5 {
		t.Errorf("at most %d checks in one tick, want at least 5 in some: the order was hardly tested", most)
	}
}

// Guards against a server that exists in the decisions alone, because another balancer has reported its load before a
// list names it.
func TestLoadReportOfUnlistedServer(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
	s.balancer.OnLoadReport(3, 0.5)
	if n := len(s.balancer.list.byID); n != 2 {
		t.Errorf("%d servers are known, want the 2 that are listed", n)
	}
}
