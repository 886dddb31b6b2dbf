package locality

import (
	"fmt"
	"math"
	"testing"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

const second = time.Second

// harness drives a policy in locality a, the nearest of three with four servers each.
type harness struct {
	*Policy
	t    *testing.T
	now  time.Duration
	next int
}

// newPolicy returns a policy of zone a.
func newPolicy(seed uint64, rules Rules) *Policy {
	return New(Config{
		Rules:         rules,
		Seed:          seed,
		Zone:          "a",
		SetupTarget:   300 * time.Millisecond,
		MessageTarget: 250 * time.Millisecond,
		WarmUp:        20 * second,
	})
}

// newHarness returns a harness whose policy has learned that 40 flows are usual.
func newHarness(t *testing.T, spill, surge, failback float64) *harness {
	t.Helper()
	s := &harness{t: t, Policy: newPolicy(1, Rules{
		Tiers:             [][]decide.Zone{{"a"}, {"b"}, {"c"}},
		Spill:             spill,
		Surge:             surge,
		FailbackPerMinute: failback,
		Balancers:         1,
		RetryAfter:        500 * time.Millisecond,
	})}
	s.listAll()
	for i := range 40 {
		s.establish(s.newFlow(), decide.ServerID(1+i%4), constraints.AdoptedFlow)
	}
	s.advance(20 * second)
	return s
}

// listAll lists all servers, 1 to 4 in locality a, 5 to 8 in b and 9 to 12 in c.
func (s *harness) listAll() {
	for i := range 12 {
		s.OnEndpoint(decide.Endpoint{
			ID:        decide.ServerID(1 + i),
			Zone:      decide.Zone([]string{"a", "b", "c"}[i/4]),
			Size:      1,
			Readiness: decide.Ready,
			StartedAt: decide.LongAgo,
		})
	}
	s.OnEndpointsUpdated()
}

// unlist marks the first servers of locality a as gone.
func (s *harness) unlist(servers int) {
	for i := 1; i <= servers; i++ {
		s.OnEndpoint(decide.Endpoint{ID: decide.ServerID(i), Zone: "a", Size: 1, Readiness: decide.Gone, StartedAt: decide.LongAgo})
	}
	s.OnEndpointsUpdated()
}

func (s *harness) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 100 * time.Millisecond
		s.SetTime(s.now)
	}
}

func (s *harness) newFlow() decide.FlowID {
	s.next++
	f := decide.FlowID(fmt.Sprint("f", s.next))
	s.OnFlow(decide.FlowRequest{ID: f})
	return f
}

func (s *harness) establish(f decide.FlowID, on decide.ServerID, took time.Duration) {
	s.OnAttempt(f, on)
	s.OnEstablished(f, on, took)
}

// attempt sends an attempt of a new flow to a server. It ends with the outcome.
func (s *harness) attempt(on decide.ServerID, o decide.Outcome) {
	f := s.newFlow()
	s.OnAttempt(f, on)
	s.OnEnded(f, on, o, false)
	s.OnFlowRemoved(f)
}

// expectState checks the state of locality a.
func (s *harness) expectState(want State) {
	s.t.Helper()
	if got := s.StateOf("a"); got != want {
		s.t.Errorf("at %v the locality is %s, want %s", s.now, got, want)
	}
}

// objection returns why a new flow may not go to a server.
func (s *harness) objection(id decide.ServerID) constraints.Reason {
	_, why := s.ServerCost(s.newFlow(), id)
	return why
}

// fill establishes flows at a server until the policy objects, and returns how many.
func (s *harness) fill(id decide.ServerID) (n int) {
	for n < 1000 && s.objection(id) == "" {
		s.establish(s.newFlow(), id, 10*time.Millisecond)
		n++
	}
	return n
}

func TestLocalityIsUnavailableOnlyWhenUnreachable(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(*harness)
		want   State
	}{
		{"two of four servers unreachable", func(s *harness) { s.attempt(1, decide.Unreachable); s.attempt(2, decide.Unreachable) }, Unavailable},
		{"one outlier", func(s *harness) {
			s.attempt(1, decide.Unreachable)
			s.attempt(1, decide.Unreachable)
			s.attempt(1, decide.Unreachable)
		}, Healthy},
		{"another flow is established there", func(s *harness) {
			s.attempt(1, decide.Unreachable)
			s.establish(s.newFlow(), 3, 10*time.Millisecond)
			s.attempt(2, decide.Unreachable)
		}, Healthy},
		{"failures far apart", func(s *harness) {
			s.attempt(1, decide.Unreachable)
			s.advance(6 * second)
			s.attempt(2, decide.Unreachable)
		}, Healthy},
		{"timeouts, and no success elsewhere", func(s *harness) {
			s.attempt(1, decide.TimedOut)
			s.attempt(2, decide.TimedOut)
			s.attempt(3, decide.TimedOut)
		}, Healthy},
		{"timeouts, and a success elsewhere", func(s *harness) {
			s.establish(s.newFlow(), 9, 10*time.Millisecond)
			s.attempt(1, decide.TimedOut)
			s.attempt(2, decide.TimedOut)
		}, Unavailable},
		{"errors", func(s *harness) { s.attempt(1, decide.Error); s.attempt(2, decide.Error); s.attempt(3, decide.Full) }, Healthy},
		{"no server listed", func(s *harness) { s.unlist(4) }, Unavailable},
		{"no update for a minute", func(s *harness) { s.advance(60 * second) }, Healthy},
		{"fewer servers listed", func(s *harness) { s.unlist(3) }, Healthy},
		{"the only listed server unreachable", func(s *harness) {
			s.unlist(3)
			s.attempt(4, decide.Unreachable)
			s.attempt(4, decide.Unreachable)
		}, Unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, 0.3, 0, 60)
			c.events(s)
			s.expectState(c.want)
		})
	}
}

func TestSpillIsShareOfUsualFlows(t *testing.T) {
	for _, c := range []struct {
		spill float64
		least int
		most  int
	}{{0, 0, 0}, {0.3, 11, 12}, {1, 39, 40}} {
		t.Run(fmt.Sprint(c.spill), func(t *testing.T) {
			s := newHarness(t, c.spill, 0, 0)
			s.unlist(4)
			if n := s.fill(5); n < c.least || n > c.most {
				t.Errorf("%d flows spilled where 40 are usual, want %d to %d", n, c.least, c.most)
			}
			if s.fill(6) != 0 {
				t.Error("another server of the same locality takes flows beyond the spill limit")
			}
			if n := s.fill(9); n < c.least || n > c.most {
				t.Errorf("%d flows in the last locality, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

func TestUnavailableLocalityIsProbed(t *testing.T) {
	s := newHarness(t, 0.3, 0, 0)
	s.attempt(1, decide.Unreachable)
	s.attempt(2, decide.Unreachable)
	probes, last := 0, time.Duration(0)
	for s.now < 80*second {
		s.advance(100 * time.Millisecond)
		if s.objection(3) == "" {
			probes++
			last = s.now
			s.attempt(3, decide.Unreachable)
			if s.objection(4) == "" {
				t.Fatalf("a second probe right after the first, at %v", s.now)
			}
		}
	}
	if probes < 6 || probes > 16 {
		t.Errorf("%d probes in a minute, want 6 to 16", probes)
	}
	s.expectState(Unavailable)
	if s.now-last > 15*second {
		t.Errorf("the last probe was %v ago, want at most 15 s", s.now-last)
	}
	for s.objection(3) != "" {
		s.advance(100 * time.Millisecond)
	}
	s.establish(s.newFlow(), 3, 10*time.Millisecond)
	s.expectState(Recovering)
}

func TestRecoveryGoesInSteps(t *testing.T) {
	s := newHarness(t, 0.3, 0, 0)
	s.unlist(4)
	s.advance(second)
	s.flows = map[decide.FlowID]*flow{} // all connections are broken
	s.locality("a").ownFlows = 0
	for i := range 4 {
		s.OnEndpoint(decide.Endpoint{ID: decide.ServerID(1 + i), Zone: "a", Size: 1, Readiness: decide.Ready, StartedAt: s.now})
	}
	s.OnEndpointsUpdated()
	s.expectState(Recovering)
	last := -1
	sum := 0
	for i, most := range []int{4, 10, 20, 30} {
		n := s.fill(1)
		if sum += n; sum > most || sum <= last {
			t.Errorf("step %d: %d flows so far, want more than %d and at most %d", i+1, sum, last, most)
		}
		last = sum
		s.advance(4*second + 200*time.Millisecond)
	}
	s.advance(4*second + 200*time.Millisecond)
	s.expectState(Healthy)
}

func TestRecoveryWaitsWhileSetupsAreSlow(t *testing.T) {
	s := newHarness(t, 0.3, 0, 0)
	s.unlist(4)
	s.listAll()
	s.expectState(Recovering)
	for range 8 { // 8 s: longer than a step, shorter than the longest step
		s.advance(second)
		s.addSample(s.locality("a"), sample{at: s.now, server: 1, isReached: true, took: 900 * time.Millisecond})
	}
	if st := s.locality("a").step; st != 0 {
		t.Errorf("advanced to step %d while set-ups take three times their target", st+1)
	}
	s.advance(9 * second) // the slow set-ups are no longer recent
	if st := s.locality("a").step; st == 0 {
		t.Error("the step does not advance although no set-up is slow")
	}
}

// Sizes whose sum overflows a float64 make the usual flows NaN. Such a limit must not keep flows from a recovering
// locality.
func TestRecoveryWithoutUsualFlows(t *testing.T) {
	s := &harness{t: t, Policy: newPolicy(1, Rules{Balancers: 1})}
	list := func(readiness decide.Readiness) {
		for id := range decide.ServerID(2) {
			s.OnEndpoint(decide.Endpoint{ID: id, Zone: "a", Size: math.MaxFloat64, Readiness: readiness, StartedAt: decide.LongAgo})
		}
		s.OnEndpointsUpdated()
	}
	list(decide.Ready)
	list(decide.Gone)
	list(decide.Ready)
	s.expectState(Recovering)
	if usual := s.usualFlows(s.locality("a")); !math.IsNaN(usual) {
		t.Fatalf("usual flows %v, want NaN", usual)
	}
	if why := s.objection(1); why != "" {
		t.Errorf("no flow is allowed: %s", why)
	}
}

func TestFlappingLocalityRecoversMoreSlowly(t *testing.T) {
	s := newHarness(t, 0.3, 0, 0)
	var first, third int
	for i := range 3 {
		s.unlist(4)
		s.flows = map[decide.FlowID]*flow{}
		s.locality("a").ownFlows = 0
		s.advance(5 * second)
		s.listAll()
		n := s.fill(1)
		if i == 0 {
			first = n
		}
		third = n
		s.advance(3 * second)
	}
	if third >= first || first == 0 {
		t.Errorf("%d flows in the first recovery, %d in the third, want fewer", first, third)
	}
}

func TestFailbackIsRateLimited(t *testing.T) {
	s := newHarness(t, 1, 0, 30)
	s.unlist(4)
	if n := s.fill(5); n < 30 {
		t.Fatalf("%d flows spilled, want at least 30", n)
	}
	s.listAll()
	s.advance(100 * second)
	s.expectState(Healthy)
	migrated, from := 0, s.now
	for s.now-from < 60*second {
		s.advance(250 * time.Millisecond)
		for _, f := range s.MigrateFirst() {
			if s.AllowMigration(f) == "" {
				migrated++
				s.OnMigration(f)
				s.OnEnded(f, 5, decide.Cancelled, true)
				s.OnFlowRemoved(f)
			}
		}
	}
	if migrated < 28 || migrated > 33 {
		t.Errorf("%d migrated in a minute, want about 30", migrated)
	}
}

func TestAdoptedFlowsAreUsualAtOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		adopted int
		most    int
	}{{"nothing adopted: no limit yet", 0, 1000}, {"forty adopted flows", 40, 12}} {
		t.Run(c.name, func(t *testing.T) {
			s := &harness{t: t, Policy: newPolicy(1, Rules{Spill: 0.3, Balancers: 1})}
			s.listAll()
			for i := range c.adopted {
				s.establish(s.newFlow(), decide.ServerID(1+i%4), constraints.AdoptedFlow)
			}
			s.advance(200 * time.Millisecond)
			s.unlist(4)
			if n := s.fill(5); n > c.most || n < c.most-1 {
				t.Errorf("%d flows spilled, want %d", n, c.most)
			}
		})
	}
}

func TestSurgeIsLimited(t *testing.T) {
	for _, c := range []struct {
		surge float64
		least int
		most  int
	}{{0, 1000, 1000}, {0.25, 9, 11}} {
		t.Run(fmt.Sprint(c.surge), func(t *testing.T) {
			if n := newHarness(t, 0.3, c.surge, 0).fill(1); n < c.least || n > c.most {
				t.Errorf("%d flows beyond the usual 40, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

func TestServerChangesLocalityWithItsFlows(t *testing.T) {
	s := newHarness(t, 0.3, 0, 0)
	s.OnEndpoint(decide.Endpoint{ID: 1, Zone: "b", Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
	s.OnEndpointsUpdated()
	if a, b := s.FlowsIn("a"), s.FlowsIn("b"); a != 30 || b != 10 {
		t.Errorf("%d flows in a, %d in b: want 30 and 10", a, b)
	}
}

func TestManyBalancersSpillTheirShareTogether(t *testing.T) {
	all := 0
	for seed := range uint64(400) {
		policy := newPolicy(seed, Rules{Tiers: [][]decide.Zone{{"a"}, {"b"}}, Spill: 0.3, Balancers: 400})
		s := &harness{Policy: policy, t: t}
		s.listAll()
		s.establish(s.newFlow(), 1, constraints.AdoptedFlow) // one usual flow each
		s.advance(20 * second)
		s.unlist(4)
		all += s.fill(5)
	}
	if all < 90 || all > 150 {
		t.Errorf("400 balancers with a flow each spilled %d, want about 120", all)
	}
}
