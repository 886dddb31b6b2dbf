package simulation

import (
	"math"
	"testing"
	"time"
)

// still is a carrier that notes and does nothing, so that a test plays the balancer.
type still struct {
	w     *World
	asked []FlowID
	up    []ConnID
	turns map[ConnID]EndReason
	late  int
	news  int
	gone  []FlowID
}

func (s *still) OpenFlow(a Attempt) {
	s.asked = append(s.asked, a.Flow)
}
func (s *still) LeaveFlow(f FlowID)                   { s.gone = append(s.gone, f) }
func (s *still) Establish(c ConnID)                   { s.up = append(s.up, c) }
func (s *still) EndConnect(c ConnID, how EndReason)   { s.turns[c] = how }
func (s *still) ReportDelay(ServerID, time.Duration)  { s.late++ }
func (s *still) UpdateList(BalancerID, bool, []Entry) { s.news++ }
func (s *still) KillBalancer(BalancerID)              {}
func (s *still) StopBalancer(BalancerID)              {}
func (s *still) StartBalancer(BalancerID)             {}
func (s *still) ServerChanged(ServerID)               {}

type visits []Arrival

func (v *visits) Next() (Arrival, bool) {
	if len(*v) == 0 {
		return Arrival{}, false
	}
	first := (*v)[0]
	*v = (*v)[1:]
	return first, true
}

// small is a world of two servers of 4 cores in two halls, one balancer, connections of load 1 and a work of 10 ms.
func small(length time.Duration, habit RetryPolicy) (*World, *still) {
	w := New(5, length, 80*time.Millisecond)
	c := &still{w: w, turns: map[ConnID]EndReason{}}
	w.Driver = c
	w.ConfigureSlowStart(0.2, 3, 1500*time.Millisecond, 20*time.Second)
	w.ConfigureServices([]Service{{Name: "x", Target: 300 * time.Millisecond, Timeout: time.Second, Message: 250 * time.Millisecond, Value: 2,
		Work: 0.01, RetriesInARow: 2, Retry: habit, RetryDelay: 50 * time.Millisecond, ReturnMin: 100 * time.Millisecond,
		ReturnMax: 100 * time.Millisecond, SilenceNoticed: 3 * time.Second}}, nil, []string{"a", "b"}, 0.2, 1, 5*time.Millisecond)
	w.ConfigureNetwork(time.Millisecond, 2*time.Millisecond, time.Millisecond)
	for i := range 2 {
		w.AddServer(LocalityID(i), 0, 4, 1, 1, 20, 40, 2*time.Second, 0, 0.2, 10*time.Second, 0, false)
	}
	w.AddBalancer(0)
	ms := time.Millisecond
	w.ConfigureList(1000*ms, 1000*ms, 2000*ms, 2000*ms, 500*ms, 500*ms, 100*ms, 100*ms, false)
	w.List.Begin()
	return w, c
}

func visit(at, life time.Duration, load float64) Arrival {
	return Arrival{At: at, Life: life, Load: load, Group: NoGroup, Customer: -1}
}

// connect brings the newest flow to a server, and its answer to the client.
func (s *still) connect(to ServerID) {
	w := s.w
	id := w.NewConnID()
	w.ArriveConnect(id, to, s.asked[len(s.asked)-1], 0)
	w.Schedule.RunTo(w.Schedule.Now() + 200*time.Millisecond)
	if len(s.up) > 0 && s.up[len(s.up)-1] == id {
		w.AnswerFlow(s.asked[len(s.asked)-1], Established, 0)
	}
}

func sum(rows [][]float64) (all float64) {
	for _, r := range rows {
		for _, v := range r {
			all += v
		}
	}
	return all
}

func TestServedSecondsAreThoseInWhichMessagesAreInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		load  float64
		least float64
		most  float64
	}{{"well within capacity", 1, 0.95, 1}, {"all of it", 4, 0, 0.2}, {"beyond", 8, 0, 0.05}} {
		t.Run(c.name, func(t *testing.T) {
			w, s := small(20*time.Second, RetryAtOnce)
			w.Servers[0].Buffer = 0
			w.StartLoad(&visits{visit(0, 20*time.Second, c.load)})
			w.Schedule.RunTo(10 * time.Millisecond)
			s.connect(0)
			w.Schedule.RunTo(20 * time.Second)
			w.End()
			if got := sum(w.Accounting.Served) / sum(w.Accounting.Requested); got < c.least || got > c.most {
				t.Errorf("served %.3f of what was asked, want %.2f to %.2f", got, c.least, c.most)
			}
			if asked := sum(w.Accounting.Requested); math.Abs(asked-40) > 0.01 {
				t.Errorf("asked %.2f, want 20 s at a value of 2", asked)
			}
		})
	}
}

func TestATryThatComesToNothingIsRepeatedByHabit(t *testing.T) {
	for _, c := range []struct {
		name  string
		habit RetryPolicy
		tries int // within 500 ms
	}{{"never", NeverRetry, 1}, {"at once", RetryAtOnce, 3}, {"after a wait", RetryAfterFixedDelay, 3}} {
		t.Run(c.name, func(t *testing.T) {
			w, s := small(10*time.Second, c.habit)
			w.StartLoad(&visits{visit(0, 9*time.Second, 1)})
			for at := time.Duration(0); at < 500*time.Millisecond; at += 5 * time.Millisecond {
				w.Schedule.RunTo(at)
				if n := len(s.asked); n > 0 {
					w.AnswerFlow(s.asked[n-1], Rejected, 0)
				}
			}
			if len(s.asked) != c.tries {
				t.Errorf("%d tries, want %d", len(s.asked), c.tries)
			}
		})
	}
}

func TestClientsWhoHearNothing(t *testing.T) {
	w, s := small(30*time.Second, RetryAfterFixedDelay)
	w.StartLoad(&visits{visit(0, 29*time.Second, 1)})
	w.Schedule.RunTo(1100 * time.Millisecond)
	if w.Totals.TimedOut != 1 || len(s.gone) != 1 || len(s.asked) != 2 {
		t.Fatalf("gave up %d times, left %v, asked %v: want one try given up at its timeout and a second", w.Totals.TimedOut, s.gone, s.asked)
	}
	s.connect(1)
	w.Servers[1].goDown(Silent)
	w.Schedule.RunTo(w.Schedule.Now() + 6*time.Second)
	if w.Totals.Cut != 1 || len(s.asked) < 3 {
		t.Errorf("cut %d, asked %d: a client is to leave a silent server and come again", w.Totals.Cut, len(s.asked))
	}
}

func TestAColdServerFallsOverWhenPushed(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration
		fall bool
	}{{"many at once", 5 * time.Millisecond, true}, {"as it warms", 1500 * time.Millisecond, false}} {
		t.Run(c.name, func(t *testing.T) {
			w, s := small(30*time.Second, RetryAfterFixedDelay)
			var come visits
			for i := range 14 {
				come = append(come, visit(time.Duration(i)*c.gap, 29*time.Second, 1))
			}
			w.Servers[0].boot()
			w.StartLoad(&come)
			for len(s.asked) < 14 && w.Schedule.Now() < 25*time.Second {
				n := len(s.asked)
				w.Schedule.RunTo(w.Schedule.Now() + time.Millisecond)
				if len(s.asked) > n {
					w.ArriveConnect(w.NewConnID(), 0, s.asked[len(s.asked)-1], 0)
				}
			}
			if fell := w.Servers[0].Phase() == Collapsed; fell != c.fall {
				t.Errorf("phase %v, want it fallen: %v", w.Servers[0].Phase(), c.fall)
			}
		})
	}
}

func TestTheListIsLateAndCanGoDark(t *testing.T) {
	w, s := small(60*time.Second, RetryAfterFixedDelay)
	w.ScheduleFaults([]Fault{
		{Kind: Crash, Start: time.Second, Length: 10 * time.Second, Share: 0.5, Locality: AnyLocality},
		{Kind: ListDark, Start: 10 * time.Second, Length: 20 * time.Second, Locality: AnyLocality}})
	for _, step := range []struct {
		at   time.Duration
		news int
	}{{1900 * time.Millisecond, 0}, {2200 * time.Millisecond, 1}, {29 * time.Second, 1}, {31 * time.Second, 2}} {
		w.Schedule.RunTo(step.at)
		if s.news != step.news {
			t.Errorf("at %v news came %d times, want %d", step.at, s.news, step.news)
		}
	}
	if w.Servers[0].WarmFraction()+w.Servers[1].WarmFraction() != 2 {
		t.Errorf("20 s after the start all are warm, not %v and %v", w.Servers[0].WarmFraction(), w.Servers[1].WarmFraction())
	}
}

func TestCutsCanBeOneWay(t *testing.T) {
	for _, c := range []struct {
		name       string
		strength   float64
		there, ret bool
	}{{"one way", 0, true, false}, {"both", 1, true, true}} {
		t.Run(c.name, func(t *testing.T) {
			w, _ := small(10*time.Second, RetryAfterFixedDelay)
			w.ScheduleFaults([]Fault{{Kind: Partition, Start: time.Second, Length: time.Second, Strength: c.strength, Locality: 1}})
			w.Schedule.RunTo(1500 * time.Millisecond)
			if w.Network.IsBlocked(1, 0) != c.there || w.Network.IsBlocked(0, 1) != c.ret {
				t.Errorf("blocked %v and back %v", w.Network.IsBlocked(1, 0), w.Network.IsBlocked(0, 1))
			}
			if w.Reach(0, 1) != Unresponsive {
				t.Error("a connect needs both ways, and got an answer")
			}
			w.Schedule.RunTo(3 * time.Second)
			if w.Reach(0, 1) != Open {
				t.Error("the cut outlasts its time")
			}
		})
	}
}
