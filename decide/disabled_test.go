package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A disabled server gets no flows, whatever the list says and in whatever order calls and updates arrive.
func TestDisabledWinsOverLists(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		s := newHarness(t, Idempotent, DeduplicatedByFleet, n)
		var disabled [n + 1]bool
		listed := [n + 1]Readiness{0, Ready, Ready, Ready, Ready}
		now, flows := time.Duration(0), 0
		server := rapid.IntRange(1, n)
		step := func(f func(id int)) func(*rapid.T) {
			return func(rt *rapid.T) {
				now += rapid.SampledFrom([]time.Duration{ms, 300 * ms, 3 * sec, 30 * sec}).Draw(rt, "later")
				s.setTime(now)
				f(server.Draw(rt, "server"))
			}
		}
		listWithout := func(omitted int) { // sends a full update that omits one server
			s.balancer.BeginEndpoints(FullUpdate)
			for id := 1; id <= n; id++ {
				if listed[id] = Ready; id == omitted {
					listed[id] = Gone
					continue
				}
				s.listServer(ServerID(id), Ready, LongAgo)
			}
			s.balancer.EndEndpoints()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"out of service":  step(func(id int) { s.balancer.SetDisabled(ServerID(id), true); disabled[id] = true }),
			"back in service": step(func(id int) { s.balancer.SetDisabled(ServerID(id), false); disabled[id] = false }),
			"drains":          step(func(id int) { s.updateServer(ServerID(id), Draining, LongAgo); listed[id] = Draining }),
			"goes away":       step(func(id int) { s.updateServer(ServerID(id), Gone, LongAgo); listed[id] = Gone }),
			"restarts":        step(func(id int) { s.updateServer(ServerID(id), Ready, now); listed[id] = Ready }),
			"whole list":      step(listWithout),
			"lost watch":      step(func(int) { s.balancer.BeginEndpoints(FailedUpdate) }),
			"flow arrives": step(func(int) {
				s.targets = map[FlowID]ServerID{}
				id := FlowID(fmt.Sprint(flows))
				flows++
				to := s.request(id, GroupKey(fmt.Sprint(flows%3)), sec)
				if to != 0 && (disabled[to] || listed[to] != Ready) {
					rt.Fatalf("flow sent to server %d: disabled %v, listed readiness %d, want false and 0 (Ready)", to, disabled[to], listed[to])
				}
				if to != 0 {
					s.balancer.OnEstablished(id, ms)
				}
			}),
			"": func(rt *rapid.T) {
				for id := 1; id <= n; id++ {
					state := s.balancer.list.byID[ServerID(id)]
					if (state.readiness == Ready) != (!disabled[id] && listed[id] == Ready) {
						rt.Fatalf("server %d: readiness %d, disabled %v, listed readiness %d; want readiness 0 (Ready) if and only if enabled and listed as 0",
							id, state.readiness, disabled[id], listed[id])
					}
				}
			},
		})
	})
}

func TestDisabledServers(t *testing.T) {
	t.Run("established flows migrate", func(t *testing.T) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
		s.adopt("o", 8, "", 1)
		s.adoptEach(2, 3)
		s.balancer.SetDisabled(1, true)
		migrated := 0
		for i := range 40 {
			s.setTime(time.Duration(i) * tickInterval)
			s.balancer.OnTimer(tickTimer)
			migrated += s.countActions("move")
		}
		if migrated < 8 {
			t.Errorf("%d of 8 flows were migrated in 10 s, want all", migrated)
		}
	})
	t.Run("an enabled server is in slow start and its health is reset", func(t *testing.T) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
		s.adopt("o", 6, "", 1)
		s.balancer.eject(s.balancer.list.byID[1])
		s.balancer.SetDisabled(1, true)
		s.balancer.SetDisabled(1, true) // a second call has no effect
		s.setTime(5 * sec)
		s.balancer.SetDisabled(1, false)
		state := s.balancer.list.byID[1]
		if w := s.balancer.capacityShare(state); w != 0.2 || state.ejected || state.openFlows != 6 {
			t.Errorf("capacity share %v, ejected %v, %d open flows; want 0.2, false and 6", w, state.ejected, state.openFlows)
		}
	})
	t.Run("all servers disabled", func(t *testing.T) {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
		s.balancer.SetDisabled(1, true)
		s.balancer.SetDisabled(2, true)
		s.request("a", "g", sec)
		s.expect("reject a")
	})
}
