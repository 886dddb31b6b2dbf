package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Out by hand wins over every list, whatever the order of calls and news; the model knows who may be sent what.
func TestByHandWinsOverLists(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		s := start(t, Idempotent, DeduplicatedByFleet, n)
		var out [n + 1]bool
		listed := [n + 1]Readiness{0, Ready, Ready, Ready, Ready}
		now, flows := time.Duration(0), 0
		server := rapid.IntRange(1, n)
		step := func(f func(id int)) func(*rapid.T) {
			return func(rt *rapid.T) {
				now += rapid.SampledFrom([]time.Duration{ms, 300 * ms, 3 * sec, 30 * sec}).Draw(rt, "later")
				s.at(now)
				f(server.Draw(rt, "server"))
			}
		}
		whole := func(left int) { // a list that leaves one out
			s.b.BeginEndpoints(FullUpdate)
			for id := 1; id <= n; id++ {
				if listed[id] = Ready; id == left {
					listed[id] = Gone
					continue
				}
				s.entry(ServerID(id), Ready, LongAgo)
			}
			s.b.EndEndpoints()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"out":      step(func(id int) { s.b.SetDisabled(ServerID(id), true); out[id] = true }),
			"back":     step(func(id int) { s.b.SetDisabled(ServerID(id), false); out[id] = false }),
			"drains":   step(func(id int) { s.change(ServerID(id), Draining, LongAgo); listed[id] = Draining }),
			"goes":     step(func(id int) { s.change(ServerID(id), Gone, LongAgo); listed[id] = Gone }),
			"restarts": step(func(id int) { s.change(ServerID(id), Ready, now); listed[id] = Ready }),
			"whole":    step(whole),
			"lost":     step(func(int) { s.b.BeginEndpoints(FailedUpdate) }),
			"flow": step(func(int) {
				s.last = map[FlowID]ServerID{}
				id := FlowID(fmt.Sprint(flows))
				flows++
				to := s.flow(id, GroupKey(fmt.Sprint(flows%3)), sec)
				if to != 0 && (out[to] || listed[to] != Ready) {
					rt.Fatalf("sent to %d: out by hand %v, listed %d", to, out[to], listed[to])
				}
				if to != 0 {
					s.b.OnEstablished(id, ms)
				}
			}),
			"": func(rt *rapid.T) {
				for id := 1; id <= n; id++ {
					r := s.b.list.byID[ServerID(id)]
					if (r.readiness == Ready) != (!out[id] && listed[id] == Ready) {
						rt.Fatalf("%d: state %d, out by hand %v, listed %d", id, r.readiness, out[id], listed[id])
					}
				}
			},
		})
	})
}

func TestByHand(t *testing.T) {
	t.Run("standing flows leave", func(t *testing.T) {
		s := start(t, Idempotent, DeduplicatedByFleet, 3)
		s.held("o", 8, "", 1)
		s.rest(2, 3)
		s.b.SetDisabled(1, true)
		moved := 0
		for i := range 40 {
			s.at(time.Duration(i) * tickInterval)
			s.b.OnTimer(tickTimer)
			moved += s.count("move")
		}
		if moved < 8 {
			t.Errorf("%d of 8 flows were asked to move in 10 s", moved)
		}
	})
	t.Run("the return is cold, and health is forgotten", func(t *testing.T) {
		s := start(t, Idempotent, DeduplicatedByFleet, 2)
		s.held("o", 6, "", 1)
		s.b.eject(s.b.list.byID[1])
		s.b.SetDisabled(1, true)
		s.b.SetDisabled(1, true) // two calls out need one back
		s.at(5 * sec)
		s.b.SetDisabled(1, false)
		r := s.b.list.byID[1]
		if w := s.b.capacityShare(r); w != 0.2 || r.ejected || r.openFlows != 6 {
			t.Errorf("warmth %v, ejected %v, %d open", w, r.ejected, r.openFlows)
		}
	})
	t.Run("all of them", func(t *testing.T) {
		s := start(t, Idempotent, DeduplicatedByFleet, 2)
		s.b.SetDisabled(1, true)
		s.b.SetDisabled(2, true)
		s.flow("a", "g", sec)
		s.want("reject a")
	})
}
