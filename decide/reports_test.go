package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reporting is one of many balancers before a fleet whose servers told their loads a second ago.
func reporting(t *testing.T, loads ...float64) *script {
	s := start(t, Idempotent, DeduplicatedByFleet, 0)
	s.b.ConfigureSlowStart(SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: 50})
	s.b.ConfigureHealthChecks(true)
	s.b.ConfigurePlacement(0.012, 0, true)
	s.list(FullUpdate, Ready, len(loads))
	s.at(20 * sec)
	for i, load := range loads {
		s.b.OnLoadReport(ServerID(i+1), load)
	}
	s.at(21 * sec)
	return s
}

// Where a flow goes by what servers tell of themselves: own flows say next to nothing where many balancers share each.
func TestWhereReportedLoadSends(t *testing.T) {
	home := reporting(t, 0.3, 0.3, 0.3, 0.3).flow("a", "g", sec)
	at := func(load, others float64) []float64 {
		loads := []float64{others, others, others, others}
		loads[home-1] = load
		return loads
	}
	second := reporting(t, at(0.8, 0.3)...).flow("a", "g", sec)
	for _, c := range []struct {
		name      string
		loads     []float64
		held      ServerID // where an own flow of the group stands
		after     time.Duration
		group     GroupKey
		to, never ServerID
	}{
		{"an own flow is no load beside what is told", []float64{0.9, 0.1}, 2, 0, "", 2, 0},
		{"an old report says nothing", []float64{0.9, 0.1}, 2, loadReportMaxAge, "", 1, 0},
		{"the home takes its group although others stand lower", at(0.65, 0.3), 0, 0, "g", home, 0},
		{"a home past the guard overflows", at(0.8, 0.3), 0, 0, "g", second, home},
		{"the home counts beside own tallies", at(0.2, 0.5), home%4 + 1, 0, "g", home, 0},
		{"the own zone keeps its flows while it has room", []float64{0.3, 0.9, 0.25, 0.9}, 0, 0, "", 1, 0},
		{"and spills when it is full", []float64{0.9, 0.9, 0.2, 0.9}, 0, 0, "", 3, 0},
		{"a single zone costs nothing", []float64{0.3, 0.25}, 0, 0, "", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := reporting(t, c.loads...)
			if c.held > 0 {
				s.held("o", 1, c.group, c.held)
			}
			s.at(21*sec + c.after)
			if got := s.flow("a", c.group, sec); got != c.to || got == c.never {
				t.Errorf("to %d, want %d", got, c.to)
			}
		})
	}
	s := reporting(t, 0.6, 0.6)
	s.change(2, Ready, 19*sec)
	s.b.OnLoadReport(2, 0)
	if _, ok := s.b.reportedLoad(s.b.list.byID[2]); ok {
		t.Error("a cold server's nought is taken for its word")
	}
}

func TestReportedLoadActs(t *testing.T) {
	for other, most := range map[float64]int{0.1: 7, 1.6: 0} {
		t.Run(fmt.Sprintf("past 1 a part of the flows leaves, with the other at %v at most %d", other, most), func(t *testing.T) {
			s := reporting(t, 0.6, other)
			s.held("o", 10, "", 1)
			s.b.OnLoadReport(1, 1.5)
			if n := s.count("move"); n > most || n < most-4 {
				t.Errorf("%d of 10 moved", n)
			}
		})
	}
	for load, want := range map[float64]string{0.3: "connect", 0.95: "reject"} {
		t.Run(fmt.Sprintf("a limit from a late note, the server tells %v: %s", load, want), func(t *testing.T) {
			s := reporting(t, load)
			s.held("o", 2, "", 1)
			s.b.reduceLimit(s.b.list.byID[1])
			s.flow("a", "", sec)
			if got := s.take(); !strings.HasPrefix(got, want) {
				t.Errorf("did %q", got)
			}
		})
	}
}

// Probes cost their server work and the balancer a price: they follow new flows, and no two balancers probe in step.
func TestProbes(t *testing.T) {
	run := func(seed uint64, flows int, d time.Duration) (probes []string) {
		s := start(t, Idempotent, DeduplicatedByFleet, 0)
		s.b.random = seeded(seed)
		s.b.ConfigureHealthChecks(true)
		s.at(sec)
		s.list(CachedUpdate, Ready, 12)
		for at := sec; at <= sec+d; at += tickInterval {
			s.at(at)
			for i := range flows {
				id := FlowID(fmt.Sprint("f", at, "-", i))
				s.flow(id, "", sec)
				s.b.OnEstablished(id, ms)
				s.b.OnEnded(id, OK, sec, true)
			}
			s.take()
			s.b.tick()
			if did := s.take(); did != "" {
				probes = append(probes, strings.Split(did, ", ")...)
			}
		}
		return probes
	}
	first, other := run(1, 0, 2*sec), run(2, 0, 2*sec)
	if n := len(slices.Compact(slices.Sorted(slices.Values(first)))); n != 12 {
		t.Errorf("%d of 12 servers probed at first", n)
	}
	if fmt.Sprint(first) == fmt.Sprint(other) {
		t.Errorf("two balancers probe alike: %v", first)
	}
	idle, busy, flooded := len(run(1, 0, 30*sec)), len(run(1, 1, 30*sec)), len(run(1, 40, 30*sec))
	if idle > 40 || busy < 2*idle || flooded > 121*4 {
		t.Errorf("%d probes in 30 s without flows, %d with 4 a second, %d with 160", idle, busy, flooded)
	}
}

// probed is what one of so many balancers before 80 servers asks in the time, which holds so many flows all the while.
func probed(t *testing.T, peers, flows int, d time.Duration) int {
	s := start(t, Idempotent, DeduplicatedByFleet, 0)
	s.b.ConfigureSlowStart(SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: peers})
	s.b.ConfigureHealthChecks(true)
	s.at(sec)
	s.list(CachedUpdate, Ready, 80)
	for i := range flows {
		s.held(fmt.Sprint(i, "-"), 1, "", ServerID(1+i%80))
	}
	s.take()
	for at := sec; at <= sec+d; at += tickInterval {
		s.at(at)
		s.b.tick()
	}
	return s.count("probe")
}

// What a fleet asks grows with the flows that it holds and not with balancers times servers; who holds many asks as ever.
func TestProbesFollowTheFlowsHeld(t *testing.T) {
	for _, c := range []struct{ peers, flows, least, most int }{
		{1, 0, 230, 245}, // all at the list, and a round in 15 s
		{300, 0, 1, 2},   // its part of the rounds
		{300, 2, 6, 8},   // one for each, and one for each in 15 s
		{300, 20, 58, 64},
		{300, 200, 230, 245},
	} {
		if n := probed(t, c.peers, c.flows, 30*sec); n < c.least || n > c.most {
			t.Errorf("%d balancers, %d flows: %d probes in 30 s, wanted %d to %d", c.peers, c.flows, n, c.least, c.most)
		}
	}
}

// walked are the servers that a tick asked before it made one selection: a walk over all of them for each, which takes the
// one that was asked longest ago, sooner where flows are.
func walked(b *Balancer, n int) (probes []string) {
	askedAt := map[ServerID]time.Duration{}
	for _, r := range b.list.ready {
		askedAt[r.id] = r.healthCheckedAt
	}
	for range n {
		var next *serverState
		longest := -1.0
		for _, r := range b.list.ready {
			if age := (b.now - askedAt[r.id]).Seconds() * (1 + float64(min(r.openFlows, 1))); age > longest {
				next, longest = r, age
			}
		}
		askedAt[next.id] = b.now
		probes = append(probes, fmt.Sprint("probe ", next.id))
	}
	return probes
}

func TestProbesOfATickAreThoseOfAWalkForEach(t *testing.T) {
	most := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := start(t, Idempotent, DeduplicatedByFleet, rapid.IntRange(1, 40).Draw(rt, "servers"))
		s.b.ConfigureHealthChecks(true)
		s.at(100 * sec)
		for _, r := range s.b.list.ready {
			r.healthCheckedAt = time.Duration(rapid.IntRange(0, 20).Draw(rt, "asked")) * sec
			s.held(fmt.Sprint("f", r.id, "-"), rapid.IntRange(0, 2).Draw(rt, "flows"), "", r.id)
		}
		s.b.health.checkCredit = float64(rapid.IntRange(0, 40).Draw(rt, "credit"))
		s.take()
		before := walked(s.b, len(s.b.list.ready))
		s.b.sendHealthChecks()
		most = max(most, len(s.did))
		want := strings.Join(before[:len(s.did)], ", ")
		if got := s.take(); got != want {
			rt.Errorf("asked %q, a walk for each %q", got, want)
		}
	})
	if most < 5 {
		t.Errorf("at most %d probes in one tick: the order of few was seen", most)
	}
}
