package locality

import (
	"fmt"
	"testing"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

const second = time.Second

// scene is three halls of four servers seen from the first, with some usual flows at home.
type scene struct {
	*Policy
	t    *testing.T
	now  time.Duration
	next int
}

func at(t *testing.T, spill, surge, homeward float64) *scene {
	t.Helper()
	s := &scene{t: t, Policy: New(1, "a", [][]decide.Zone{{"a"}, {"b"}, {"c"}}, spill, surge, homeward, 1, 300*time.Millisecond,
		250*time.Millisecond, 20*second, 500*time.Millisecond)}
	s.list(decide.LongAgo)
	for i := range 40 {
		s.stand(s.flow(), decide.ServerID(1+i%4), -1)
	}
	s.pass(20 * second)
	return s
}

// list names all servers; those of hall b started at a time.
func (s *scene) list(b time.Duration) {
	for i := range 12 {
		since := decide.LongAgo
		if i/4 == 1 {
			since = b
		}
		s.OnEndpoint(decide.Endpoint{ID: decide.ServerID(1 + i), Zone: decide.Zone([]string{"a", "b", "c"}[i/4]), Size: 1, Readiness: decide.Ready, StartedAt: since})
	}
	s.OnEndpointsUpdated()
}

func (s *scene) gone(from, to int, z decide.Zone) {
	for i := from; i <= to; i++ {
		s.OnEndpoint(decide.Endpoint{ID: decide.ServerID(i), Zone: z, Size: 1, Readiness: decide.Gone, StartedAt: decide.LongAgo})
	}
	s.OnEndpointsUpdated()
}

func (s *scene) pass(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 100 * time.Millisecond
		s.SetTime(s.now)
	}
}

func (s *scene) flow() decide.FlowID {
	s.next++
	f := decide.FlowID(fmt.Sprint("f", s.next))
	s.OnFlow(decide.FlowRequest{ID: f})
	return f
}

func (s *scene) stand(f decide.FlowID, on decide.ServerID, took time.Duration) {
	s.OnAttempt(f, on)
	s.OnEstablished(f, on, took)
}

// meet sends a flow and tells how it ended; it is let go then.
func (s *scene) meet(on decide.ServerID, o decide.Outcome) {
	f := s.flow()
	s.OnAttempt(f, on)
	s.OnEnded(f, on, o, false)
	s.OnFlowRemoved(f)
}

func (s *scene) want(z decide.Zone, st State) {
	s.t.Helper()
	if got := s.StateOf(z); got != st {
		s.t.Errorf("at %v hall %s is %s, want %s", s.now, z, got, st)
	}
}

func (s *scene) ask(id decide.ServerID) constraints.Reason {
	_, why := s.ServerCost(s.flow(), id)
	return why
}

// taken is how many new flows a hall's servers would be let have one after the other.
func (s *scene) taken(first decide.ServerID) (n int) {
	for n < 1000 && s.ask(first) == "" {
		s.stand(s.flow(), first, 10*time.Millisecond)
		n++
	}
	return n
}

func TestAHallIsLostOnlyWhenNobodyIsMetThere(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*scene)
		want State
	}{
		{"nobody at two of four", func(s *scene) { s.meet(1, decide.Unreachable); s.meet(2, decide.Unreachable) }, Unavailable},
		{"one bad server", func(s *scene) {
			s.meet(1, decide.Unreachable)
			s.meet(1, decide.Unreachable)
			s.meet(1, decide.Unreachable)
		}, Healthy},
		{"others stand there", func(s *scene) {
			s.meet(1, decide.Unreachable)
			s.stand(s.flow(), 3, 10*time.Millisecond)
			s.meet(2, decide.Unreachable)
		}, Healthy},
		{"long apart", func(s *scene) { s.meet(1, decide.Unreachable); s.pass(6 * second); s.meet(2, decide.Unreachable) }, Healthy},
		{"slow everywhere", func(s *scene) { s.meet(1, decide.TimedOut); s.meet(2, decide.TimedOut); s.meet(3, decide.TimedOut) }, Healthy},
		{"slow here alone", func(s *scene) {
			s.stand(s.flow(), 9, 10*time.Millisecond)
			s.meet(1, decide.TimedOut)
			s.meet(2, decide.TimedOut)
		}, Unavailable},
		{"errors", func(s *scene) { s.meet(1, decide.Error); s.meet(2, decide.Error); s.meet(3, decide.Full) }, Healthy},
		{"the list has none", func(s *scene) { s.gone(1, 4, "a") }, Unavailable},
		{"the list is dark", func(s *scene) { s.pass(60 * second) }, Healthy},
		{"the list has a few less", func(s *scene) { s.gone(1, 3, "a") }, Healthy},
		{"only one server left there, and nobody at it", func(s *scene) {
			s.gone(1, 3, "a")
			s.meet(4, decide.Unreachable)
			s.meet(4, decide.Unreachable)
		}, Unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := at(t, 0.3, 0, 60)
			c.do(s)
			s.want("a", c.want)
		})
	}
}

func TestSpillIsAPartOfWhatAHallUsuallyHolds(t *testing.T) {
	for _, c := range []struct {
		spill float64
		least int
		most  int
	}{{0, 0, 0}, {0.3, 11, 12}, {1, 39, 40}} {
		t.Run(fmt.Sprint(c.spill), func(t *testing.T) {
			s := at(t, c.spill, 0, 0)
			s.gone(1, 4, "a")
			if n := s.taken(5); n < c.least || n > c.most {
				t.Errorf("%d flows spilled where 40 are usual, want %d to %d", n, c.least, c.most)
			}
			if s.taken(6) != 0 {
				t.Error("another server of the same hall takes more")
			}
			if n := s.taken(9); n < c.least || n > c.most {
				t.Errorf("%d in the last hall", n)
			}
		})
	}
}

func TestALostHallIsTriedNowAndThen(t *testing.T) {
	s := at(t, 0.3, 0, 0)
	s.meet(1, decide.Unreachable)
	s.meet(2, decide.Unreachable)
	trials, last := 0, time.Duration(0)
	for s.now < 80*second {
		s.pass(100 * time.Millisecond)
		if s.ask(3) == "" {
			trials++
			last = s.now
			s.meet(3, decide.Unreachable)
			if s.ask(4) == "" {
				t.Fatalf("a second trial at once, at %v", s.now)
			}
		}
	}
	if trials < 6 || trials > 16 {
		t.Errorf("%d trials in a minute", trials)
	}
	s.want("a", Unavailable)
	if s.now-last > 15*second {
		t.Errorf("the last trial was %v ago", s.now-last)
	}
	for s.ask(3) != "" {
		s.pass(100 * time.Millisecond)
	}
	s.stand(s.flow(), 3, 10*time.Millisecond)
	s.want("a", Recovering)
}

func TestAReturnGoesInSteps(t *testing.T) {
	s := at(t, 0.3, 0, 0)
	s.gone(1, 4, "a")
	s.pass(second)
	s.flows = map[decide.FlowID]*flow{} // what it held has broken
	s.hall("a").own = 0
	for i := range 4 {
		s.OnEndpoint(decide.Endpoint{ID: decide.ServerID(1 + i), Zone: "a", Size: 1, Readiness: decide.Ready, StartedAt: s.now})
	}
	s.OnEndpointsUpdated()
	s.want("a", Recovering)
	last := -1
	sum := 0
	for i, most := range []int{4, 10, 20, 30} {
		n := s.taken(1)
		if sum += n; sum > most || sum <= last {
			t.Errorf("step %d: %d in all so far, want more than %d and at most %d", i+1, sum, last, most)
		}
		last = sum
		s.pass(4*second + 200*time.Millisecond)
	}
	s.pass(4*second + 200*time.Millisecond)
	s.want("a", Healthy)
}

func TestAReturnWaitsWhileSetUpsAreSlow(t *testing.T) {
	s := at(t, 0.3, 0, 0)
	s.gone(1, 4, "a")
	s.list(decide.LongAgo)
	s.want("a", Recovering)
	for range 8 { // 8 s: beyond a step, below the longest wait
		s.pass(second)
		s.see(s.hall("a"), result{s.now, 1, true, false, 900 * time.Millisecond})
	}
	if st := s.hall("a").step; st != 0 {
		t.Errorf("step %d while set-ups take three times what is wanted", st+1)
	}
	s.pass(9 * second) // good again: nothing slow of late
	if st := s.hall("a").step; st == 0 {
		t.Error("it waits though set-ups are well")
	}
}

func TestAHallThatFlapsComesBackMoreGently(t *testing.T) {
	s := at(t, 0.3, 0, 0)
	var first, third int
	for i := range 3 {
		s.gone(1, 4, "a")
		s.flows, s.hall("a").own = map[decide.FlowID]*flow{}, 0
		s.pass(5 * second)
		s.list(decide.LongAgo)
		n := s.taken(1)
		if i == 0 {
			first = n
		}
		third = n
		s.pass(3 * second)
	}
	if third >= first || first == 0 {
		t.Errorf("%d at the first return, %d at the third", first, third)
	}
}

func TestSpilledFlowsGoHomeWithinTheBudget(t *testing.T) {
	s := at(t, 1, 0, 30)
	s.gone(1, 4, "a")
	if n := s.taken(5); n < 30 {
		t.Fatalf("%d spilled", n)
	}
	s.list(decide.LongAgo)
	s.pass(100 * second)
	s.want("a", Healthy)
	moved, from := 0, s.now
	for s.now-from < 60*second {
		s.pass(250 * time.Millisecond)
		for _, f := range s.MigrateFirst() {
			if s.AllowMigration(f) == "" {
				moved++
				s.OnMigration(f)
				s.OnEnded(f, 5, decide.Cancelled, true)
				s.OnFlowRemoved(f)
			}
		}
	}
	if moved < 28 || moved > 33 {
		t.Errorf("%d went home in a minute, want about 30", moved)
	}
}

func TestWhatWasTakenOverIsUsualAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		held int
		most int
	}{{"nothing taken over: no limit of its own yet", 0, 1000}, {"forty", 40, 12}} {
		t.Run(c.name, func(t *testing.T) {
			s := &scene{t: t, Policy: New(1, "a", nil, 0.3, 0, 0, 1, 300*time.Millisecond, 250*time.Millisecond, 20*second, 0)}
			s.list(decide.LongAgo)
			for i := range c.held {
				s.stand(s.flow(), decide.ServerID(1+i%4), -1)
			}
			s.pass(200 * time.Millisecond)
			s.gone(1, 4, "a")
			if n := s.taken(5); n > c.most || n < c.most-1 {
				t.Errorf("%d spilled, want %d", n, c.most)
			}
		})
	}
}

func TestOwnFlowsMayNotSurge(t *testing.T) {
	for _, c := range []struct {
		surge float64
		least int
		most  int
	}{{0, 1000, 1000}, {0.25, 9, 11}} {
		t.Run(fmt.Sprint(c.surge), func(t *testing.T) {
			if n := at(t, 0.3, c.surge, 0).taken(1); n < c.least || n > c.most {
				t.Errorf("%d at once beyond the usual 40, want %d to %d", n, c.least, c.most)
			}
		})
	}
}

func TestAServerThatChangesHallTakesItsFlowsAlong(t *testing.T) {
	s := at(t, 0.3, 0, 0)
	s.OnEndpoint(decide.Endpoint{ID: 1, Zone: "b", Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
	s.OnEndpointsUpdated()
	if a, b := s.Spilled("a"), s.Spilled("b"); a != 30 || b != 10 {
		t.Errorf("%d flows in a, %d in b: want 30 and 10", a, b)
	}
}

func TestManyBalancersWithAPartOfAFlowSpillTheirPartTogether(t *testing.T) {
	all := 0
	for seed := range uint64(400) {
		h := New(seed, "a", [][]decide.Zone{{"a"}, {"b"}}, 0.3, 0, 0, 400, 300*time.Millisecond, 250*time.Millisecond, 20*second, 0)
		s := &scene{Policy: h, t: t}
		s.list(decide.LongAgo)
		s.stand(s.flow(), 1, -1) // one usual flow each
		s.pass(20 * second)
		s.gone(1, 4, "a")
		all += s.taken(5)
	}
	if all < 90 || all > 150 {
		t.Errorf("400 balancers with a flow each spilled %d, want about 120", all)
	}
}
