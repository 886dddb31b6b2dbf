package decide

import (
	"fmt"
	"testing"
	"time"
)

func TestPlacement(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *harness)
		want ServerID
	}{
		{"the server that holds the group", func(s *harness) {
			s.adopt("a", 4, "g", 2)
			s.adopt("b", 4, "x", 1)
			s.adopt("c", 3, "y", 3)
		}, 2},
		{"the server that holds the group, above the load bound by random variation at one of four balancers", func(s *harness) {
			s.balancer.slowStart.Balancers = 4
			s.adopt("a", 6, "g", 2)
			s.adopt("b", 3, "x", 1)
			s.adopt("c", 3, "y", 3)
		}, 2},
		{"not a server above the load bound while another is below", func(s *harness) {
			s.adopt("a", 16, "g", 2)
			s.adopt("b", 3, "x", 1)
		}, 3},
		{"the server of the largest listed size", func(s *harness) {
			s.adopt("a", 8, "x", 1)
			s.adopt("b", 8, "y", 2)
			s.adopt("c", 8, "z", 3)
			s.balancer.BeginEndpoints(DeltaUpdate)
			s.balancer.OnEndpoint(Endpoint{ID: 3, Zone: "z0", Size: 4, Readiness: Ready, StartedAt: LongAgo})
			s.balancer.EndEndpoints()
		}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
			c.do(s)
			if got := s.request("f", "g", sec); got != c.want {
				t.Errorf("placed on server %d, want %d", got, c.want)
			}
		})
	}
	t.Run("all balancers prefer the same server for a new group", func(t *testing.T) {
		a, b := newHarness(t, Idempotent, DeduplicatedByFleet, 6), newHarness(t, Idempotent, DeduplicatedByFleet, 6)
		b.balancer.random = seeded(99)
		for i := range 10 {
			g := GroupKey(fmt.Sprint("g", i))
			if x, y := a.request(FlowID(g), g, sec), b.request(FlowID(g), g, sec); x != y {
				t.Errorf("group %s at servers %d and %d, want the same server", g, x, y)
			}
		}
	})
}

// If balancers independently observe that a group's preferred server is not usable, they choose the same next server.
// Otherwise each would place the group on a different one, and a group costs work at each server that holds some of it.
func TestNextPreferredServer(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(s *harness, group GroupKey, preferred ServerID)
	}{
		{"it was unreachable", func(s *harness, _ GroupKey, _ ServerID) { s.balancer.OnEnded("a", Unreachable, 10*ms, false) }},
		{"it answered with an error", func(s *harness, _ GroupKey, _ ServerID) { s.balancer.OnEnded("a", Error, 10*ms, false) }},
		{"it reset an established flow", func(s *harness, group GroupKey, _ ServerID) {
			s.balancer.OnEstablished("a", 10*ms)
			s.balancer.OnEnded("a", Reset, sec, true)
			s.request("b", group, sec)
		}},
		{"it is at its limit", func(s *harness, group GroupKey, preferred ServerID) {
			s.balancer.OnEnded("a", Cancelled, 10*ms, true)
			s.balancer.list.byID[preferred].limit.reduce(0, s.balancer.now)
			s.request("b", group, sec)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for i := range 20 {
				group := GroupKey(fmt.Sprint("g", i))
				next := map[ServerID]int{}
				for seed := range uint64(20) {
					s := newHarness(t, Idempotent, DeduplicatedByFleet, 12)
					s.balancer.ConfigureSlowStart(slowStartSettings(200))
					s.balancer.random = seeded(seed)
					preferred := s.request("a", group, sec)
					s.setTime(10 * ms)
					c.fail(s, group, preferred)
					last := s.targets["a"]
					if b := s.targets["b"]; b != 0 {
						last = b
					}
					if last == preferred {
						t.Fatalf("group %s goes to server %d again", group, preferred)
					}
					next[last]++
				}
				if len(next) != 1 {
					t.Errorf("group %s goes to different servers next: %v", group, next)
				}
			}
		})
	}
}

// No group prefers a server that was overloaded recently.
func TestOverloadedServerIsNotPreferred(t *testing.T) {
	a := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
	preferred := a.request("a", "g", sec)
	a.balancer.OnEstablished("a", ms)
	a.balancer.health.setupTimes = []time.Duration{sec} // slower than the target, so that no flows migrate
	a.setTime(ms)
	a.balancer.OnLatencySample("a", 200*ms)
	a.balancer.OnEnded("a", OK, sec, true)
	a.setTime(5 * sec)
	if server := a.request("x", "g", sec); server == preferred {
		t.Errorf("placed on server %d, which was overloaded recently", server)
	}
}
