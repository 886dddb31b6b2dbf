package decide

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// reporting is a balancer of a fleet whose servers tell their loads, each a second ago.
func reporting(t *testing.T, peers int, loads ...float64) *script {
	s := start(t, Repeatable, ReachAll, 0)
	s.b.StartCold(0.2, 3, 20*sec, 1500*ms, peers)
	s.b.StartHealth(true)
	s.list(ListFull, Ready, len(loads))
	s.at(20 * sec)
	for i, load := range loads {
		s.b.Reported(ServerID(i+1), load)
	}
	s.at(21 * sec)
	s.take()
	return s
}

// What servers tell of themselves stands for what this balancer holds there, which is next to nothing where many
// balancers share each server.
func TestReportedLoad(t *testing.T) {
	t.Run("an own flow is no load beside what the server tells", func(t *testing.T) {
		s := reporting(t, 50, 0.9, 0.1)
		s.held("o", 3, "", 2)
		if got := s.flow("a", "", sec); got != 2 {
			t.Errorf("to %d, told 0.9 of 1 and 0.1 of 2", got)
		}
	})
	t.Run("a home past the guard overflows to the next, the same at all balancers", func(t *testing.T) {
		calm := reporting(t, 50, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3)
		home := calm.flow("a", "g", sec)
		loads := []float64{0.3, 0.3, 0.3, 0.3, 0.3, 0.3}
		loads[home-1] = 0.8
		x, y := reporting(t, 50, loads...), reporting(t, 50, loads...)
		y.held("o", 2, "", 1)
		if a, b := x.flow("a", "g", sec), y.flow("b", "g", sec); a == home || a != b {
			t.Errorf("the full home is %d, the flows go to %d and %d", home, a, b)
		}
	})
	t.Run("the home counts beside own tallies, so that leftovers don't grow at each balancer", func(t *testing.T) {
		calm := reporting(t, 50, 0.3, 0.3, 0.3, 0.3)
		home := calm.flow("a", "g", sec)
		loads := []float64{0.5, 0.5, 0.5, 0.5}
		loads[home-1] = 0.2
		s := reporting(t, 50, loads...)
		s.held("o", 1, "g", home%4+1)
		if got := s.flow("a", "g", sec); got != home {
			t.Errorf("to %d, home is %d", got, home)
		}
	})
	t.Run("under the guard, the home takes the group although the fleet stands lower", func(t *testing.T) {
		calm := reporting(t, 50, 0.3, 0.3, 0.3, 0.3)
		home := calm.flow("a", "g", sec)
		loads := []float64{0.3, 0.3, 0.3, 0.3}
		loads[home-1] = 0.65
		if got := reporting(t, 50, loads...).flow("a", "g", sec); got != home {
			t.Errorf("to %d, home is %d", got, home)
		}
	})
	t.Run("zones: an own one that is full spills, one with room keeps its flows, a single one costs nothing", func(t *testing.T) {
		for _, c := range []struct {
			name  string
			loads []float64
			want  Zone
		}{
			{"full", []float64{0.9, 0.9, 0.2, 0.2}, "z1"},
			{"room", []float64{0.3, 0.3, 0.25, 0.25}, "z0"},
			{"single", []float64{0.3, 0.3}, "z0"},
		} {
			s := reporting(t, 4, c.loads...)
			s.b.StartPick(0.012, 0, true)
			if got := s.b.list.byID[s.flow("a", "", sec)].zone; got != c.want {
				t.Errorf("%s: to %s, want %s", c.name, got, c.want)
			}
		}
	})
	t.Run("an old report says nothing", func(t *testing.T) {
		s := reporting(t, 50, 0.9, 0.1)
		s.held("o", 3, "", 2)
		s.at(20*sec + reportAge)
		if got := s.flow("a", "", sec); got != 1 {
			t.Errorf("to %d by a report %v old", got, reportAge)
		}
	})
	t.Run("a cold server's nought draws no flow of each group", func(t *testing.T) {
		s := reporting(t, 1, 0.6, 0.6, 0)
		s.held("o", 3, "g", 1)
		s.held("p", 3, "h", 2)
		s.change(3, Ready, 19*sec)
		s.b.Reported(3, 0)
		if _, ok := s.b.told(s.b.list.byID[3]); ok {
			t.Error("its word is taken")
		}
		if got := s.flow("a", "g", sec); got != 1 {
			t.Errorf("to %d, the group is on 1", got)
		}
	})
	t.Run("past 1 a part of the flows leaves, and none where no server is better", func(t *testing.T) {
		for _, c := range []struct {
			other     float64
			low, high int
		}{{0.1, 3, 7}, {1.6, 0, 0}} {
			s := reporting(t, 1, 0.6, c.other)
			s.held("o", 10, "", 1)
			s.b.Reported(1, 1.5)
			if n := s.count("move"); n < c.low || n > c.high {
				t.Errorf("%d of 10 moved with the other at %v", n, c.other)
			}
		}
	})
	t.Run("a limit from a late note does not bind a server that tells of room", func(t *testing.T) {
		for _, c := range []struct {
			name  string
			loads []float64
			want  string
		}{
			{"room", []float64{0.3, 0.3}, "connect"},
			{"none", []float64{0.95, 0.95}, "reject"},
		} {
			s := reporting(t, 50, c.loads...)
			for r := range 2 {
				s.held(fmt.Sprint("o", r), 2, "", ServerID(r+1))
				s.b.tooMany(s.b.list.byID[ServerID(r+1)])
			}
			s.flow("a", "", sec)
			if got := s.take(); !strings.HasPrefix(got, c.want) {
				t.Errorf("%s: did %q", c.name, got)
			}
		}
	})
}

// Probes cost their server work and the balancer a price: they follow new flows, and no two balancers probe in step.
func TestProbes(t *testing.T) {
	run := func(seed uint64, servers, flows int, d time.Duration) []string {
		s := &script{t: t, last: map[FlowID]ServerID{}, sent: map[ServerID]int{}}
		s.b = New(seed, s)
		s.b.StartFlows(4, 0)
		s.b.StartService(Repeatable, ReachAll, 300*ms, 2*sec, 1)
		s.b.StartCold(0.2, 3, 20*sec, 1500*ms, 1)
		s.b.StartHealth(true)
		s.b.StartList("z0", false, 10*sec, 100*ms)
		s.at(sec)
		s.list(ListCached, Ready, servers)
		var probes []string
		for at := sec; at <= sec+d; at += tickEvery {
			s.at(at)
			for i := range flows {
				id := FlowID(fmt.Sprint("f", at, "-", i))
				s.flow(id, "", sec)
				s.b.Established(id, ms)
				s.b.Ended(id, OK, sec, true)
			}
			s.take()
			s.b.tick()
			for _, x := range strings.Split(s.take(), ", ") {
				if strings.HasPrefix(x, "probe") {
					probes = append(probes, x)
				}
			}
		}
		return probes
	}
	t.Run("each server once at first", func(t *testing.T) {
		seen := map[string]bool{}
		for _, p := range run(1, 12, 0, 2*sec) {
			seen[p] = true
		}
		if len(seen) != 12 {
			t.Errorf("%d of 12 servers probed in 2 s", len(seen))
		}
	})
	t.Run("in another order at each balancer", func(t *testing.T) {
		if a, b := run(1, 12, 0, 2*sec), run(2, 12, 0, 2*sec); strings.Join(a, " ") == strings.Join(b, " ") {
			t.Errorf("both %v", a)
		}
	})
	t.Run("few without flows, more with them, and never beyond a bound", func(t *testing.T) {
		idle, busy, flooded := len(run(1, 12, 0, 30*sec)), len(run(1, 12, 1, 30*sec)), len(run(1, 12, 40, 30*sec))
		if idle > 40 || busy < 2*idle || flooded > 121*4 {
			t.Errorf("%d probes in 30 s without flows, %d with 4 flows a second, %d with 160", idle, busy, flooded)
		}
	})
}
