package decide

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Slow set-ups of a past mass reconnect do not keep flows at an overloaded server.
func TestOldSlowSetupsAllowMigration(t *testing.T) {
	for _, c := range []struct {
		last  Outcome
		since time.Duration
		want  bool
	}{{OK, sec, false}, {OK, 3 * sec, true}, {TimedOut, 3 * sec, false}, {TimedOut, 13 * sec, true}} {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
		s.adoptEach(2, 4)
		s.adopt("a", 9, "", 1)
		for i := range 9 {
			s.request(FlowID(fmt.Sprint(i)), "", sec)
			s.balancer.OnEstablished(FlowID(fmt.Sprint(i)), 250*ms)
		}
		if s.request("last", "", sec); c.last == OK {
			s.balancer.OnEstablished("last", 250*ms)
		} else {
			s.balancer.OnEnded("last", c.last, sec, true)
		}
		s.takeActions()
		s.setTime(c.since)
		s.balancer.OnLatencySample("a0", 700*ms)
		if n := s.countActions("move"); (n > 0) != c.want {
			t.Errorf("%v after a slow set-up with the outcome %q: %d migrations, want some: %v", c.since, c.last, n, c.want)
		}
	}
}

// The smallest groups of an overloaded server migrate first, a share of the flows at a time.
func TestSmallestGroupsMigrateFirst(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
	s.adopt("big", 8, "big", 1)
	s.adopt("one", 1, "one", 1)
	s.adoptEach(2, 6)
	s.balancer.OnLatencySample("big0", 300*ms)
	if got := s.takeActions(); !strings.HasPrefix(got, "move one0") || strings.Count(got, "move") > 2 {
		t.Errorf("actions %q, want one or two migrations, the first of flow one0", got)
	}
}

// If each of many balancers holds one flow at an overloaded server, as many migrate theirs as the backlog requires.
func TestMigrationFollowsBacklog(t *testing.T) {
	for _, c := range []struct {
		name     string
		latency  time.Duration // of a sample, one second after one of 200 ms
		from, to int           // migrations of 200 balancers with one flow each
	}{
		{"backlog grows fast", 500 * ms, 100, 170},
		{"backlog grows slowly", 220 * ms, 10, 50},
		{"backlog shrinks fast enough", 60 * ms, 0, 0},
	} {
		t.Run("200 balancers, "+c.name, func(t *testing.T) {
			migrations := 0
			for n := range 200 {
				s := newHarness(t, Idempotent, DeduplicatedByFleet, 6)
				s.balancer.random = seeded(uint64(n))
				s.balancer.slowStart.Balancers = 200
				s.adopt("o", 1, "", 1)
				s.balancer.list.byID[1].latency = 200 * ms
				s.setTime(sec)
				s.balancer.OnLatencySample("o0", c.latency)
				migrations += s.countActions("move")
			}
			if migrations < c.from || migrations > c.to {
				t.Errorf("%d migrations, want %d to %d", migrations, c.from, c.to)
			}
		})
	}
}

// No flow is migrated while set-ups are slow.
func TestNoMigrationWhileSetupsAreSlow(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 4)
	s.adopt("o", 8, "", 1)
	s.request("a", "", sec)
	s.balancer.OnEstablished("a", 290*ms)
	s.takeActions()
	s.balancer.OnLatencySample("o0", 90*ms)
	s.expect("")
}

// A fleet that exceeds its latency objective sheds a share of its flows only while its backlog grows.
func TestLateFleetSheds(t *testing.T) {
	for _, c := range []struct {
		name       string
		latency    time.Duration // of the last sample
		migrations int
	}{
		{"backlog grows", 900 * ms, 1},
		{"backlog shrinks", 500 * ms, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
			s.adopt("a", 8, "", 1)
			s.adopt("b", 8, "", 2)
			s.balancer.OnLatencySample("b0", 800*ms)
			s.balancer.OnLatencySample("a0", 800*ms)
			s.takeActions()
			s.setTime(sec)
			s.balancer.OnLatencySample("a0", c.latency)
			if n := s.countActions("move"); n != c.migrations {
				t.Errorf("%d migrations, want %d", n, c.migrations)
			}
		})
	}
}
