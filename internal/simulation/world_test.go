package simulation

import (
	"math"
	"testing"
	"time"
)

// recordingDriver records the world's calls. The test acts as the balancer.
type recordingDriver struct {
	world        *World
	opened       []FlowID
	established  []ConnID
	ended        map[ConnID]EndReason
	delayReports int
	updates      int
	left         []FlowID
}

func (d *recordingDriver) OpenFlow(a Attempt) {
	d.opened = append(d.opened, a.Flow)
}
func (d *recordingDriver) LeaveFlow(f FlowID)                   { d.left = append(d.left, f) }
func (d *recordingDriver) Establish(c ConnID)                   { d.established = append(d.established, c) }
func (d *recordingDriver) EndConnect(c ConnID, how EndReason)   { d.ended[c] = how }
func (d *recordingDriver) ReportDelay(ServerID, time.Duration)  { d.delayReports++ }
func (d *recordingDriver) UpdateList(BalancerID, bool, []Entry) { d.updates++ }
func (d *recordingDriver) KillBalancer(BalancerID)              {}
func (d *recordingDriver) StopBalancer(BalancerID)              {}
func (d *recordingDriver) StartBalancer(BalancerID)             {}
func (d *recordingDriver) ServerChanged(ServerID)               {}

type arrivalList []Arrival

func (v *arrivalList) Next() (Arrival, bool) {
	if len(*v) == 0 {
		return Arrival{}, false
	}
	first := (*v)[0]
	*v = (*v)[1:]
	return first, true
}

// newSmallWorld returns a world of two servers of 4 cores in two localities, with one balancer, and set-ups of 10 ms of work.
func newSmallWorld(length time.Duration, retry RetryPolicy) (*World, *recordingDriver) {
	w := New(5, length, 80*time.Millisecond)
	d := &recordingDriver{world: w, ended: map[ConnID]EndReason{}}
	w.Driver = d
	w.ConfigureSlowStart(SlowStartConfig{InitialShare: 0.2, CollapseMultiple: 3, CollapseWindow: 1500 * time.Millisecond})
	ms := time.Millisecond
	exactly := func(d time.Duration) Interval { return Interval{d, d} }
	service := Service{
		Name:           "x",
		Value:          2,
		Target:         300 * ms,
		Timeout:        time.Second,
		MessageTarget:  250 * ms,
		Work:           0.01,
		RetriesInARow:  2,
		Retry:          retry,
		RetryDelay:     50 * ms,
		ReconnectDelay: exactly(100 * ms),
		SilenceTimeout: 3 * time.Second,
	}
	w.ConfigureServices(ServicesConfig{
		Services:         []Service{service},
		Localities:       []string{"a", "b"},
		BeyondShareValue: 0.2,
		MeanLoad:         1,
		MessageWork:      5 * ms,
	})
	w.ConfigureNetwork(time.Millisecond, 2*time.Millisecond, time.Millisecond)
	for i := range 2 {
		w.AddServer(ServerSpec{
			Locality:              LocalityID(i),
			Cores:                 4,
			Speed:                 1,
			Size:                  1,
			MaxConnections:        20,
			MaxWaiting:            40,
			MaxMessageDelay:       2 * time.Second,
			SlowStart:             10 * time.Second,
			SlowStartInitialShare: 0.2,
		})
	}
	w.AddBalancer(0)
	w.ConfigureList(ListConfig{
		Notice:        exactly(1000 * ms),
		NoticeSilent:  exactly(2000 * ms),
		NoticeAdded:   exactly(500 * ms),
		DeliveryDelay: exactly(100 * ms),
	})
	w.List.MarkDelivered()
	return w, d
}

func arrivalOf(at, lifetime time.Duration, load float64) Arrival {
	return Arrival{At: at, Lifetime: lifetime, Load: load, Group: NoGroup, Customer: -1}
}

// connectNewest sends the newest flow to a server, and answers the client if the server establishes it.
func (d *recordingDriver) connectNewest(to ServerID) {
	w := d.world
	id := w.NewConnID()
	w.DeliverConnect(id, to, d.opened[len(d.opened)-1], 0)
	w.Schedule.RunTo(w.Schedule.Now() + 200*time.Millisecond)
	if len(d.established) > 0 && d.established[len(d.established)-1] == id {
		w.AnswerFlow(d.opened[len(d.opened)-1], Established, 0)
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

func TestServedShareIsThatOfMessagesInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		load  float64
		least float64
		most  float64
	}{{"well within capacity", 1, 0.95, 1}, {"at capacity", 4, 0, 0.2}, {"above capacity", 8, 0, 0.05}} {
		t.Run(c.name, func(t *testing.T) {
			w, d := newSmallWorld(20*time.Second, RetryAtOnce)
			w.Servers[0].MaxMessageDelay = 0
			w.StartLoad(&arrivalList{arrivalOf(0, 20*time.Second, c.load)})
			w.Schedule.RunTo(10 * time.Millisecond)
			d.connectNewest(0)
			w.Schedule.RunTo(20 * time.Second)
			w.End()
			if got := sum(w.Accounting.Served) / sum(w.Accounting.Requested); got < c.least || got > c.most {
				t.Errorf("served share of requested value = %.3f, want %.2f to %.2f", got, c.least, c.most)
			}
			if requested := sum(w.Accounting.Requested); math.Abs(requested-40) > 0.01 {
				t.Errorf("requested value = %.2f, want 40 (20 s at 2 per second)", requested)
			}
		})
	}
}

func TestFailedAttemptIsRetriedByPolicy(t *testing.T) {
	for _, c := range []struct {
		name     string
		retry    RetryPolicy
		attempts int // within 500 ms
	}{{"never", NeverRetry, 1}, {"at once", RetryAtOnce, 3}, {"after a fixed delay", RetryAfterFixedDelay, 3}} {
		t.Run(c.name, func(t *testing.T) {
			w, d := newSmallWorld(10*time.Second, c.retry)
			w.StartLoad(&arrivalList{arrivalOf(0, 9*time.Second, 1)})
			for at := time.Duration(0); at < 500*time.Millisecond; at += 5 * time.Millisecond {
				w.Schedule.RunTo(at)
				if n := len(d.opened); n > 0 {
					w.AnswerFlow(d.opened[n-1], Rejected, 0)
				}
			}
			if len(d.opened) != c.attempts {
				t.Errorf("%d attempts within 500 ms, want %d", len(d.opened), c.attempts)
			}
		})
	}
}

func TestClientsGiveUpSilentConnections(t *testing.T) {
	w, d := newSmallWorld(30*time.Second, RetryAfterFixedDelay)
	w.StartLoad(&arrivalList{arrivalOf(0, 29*time.Second, 1)})
	w.Schedule.RunTo(1100 * time.Millisecond)
	if w.Totals.TimedOut != 1 || len(d.left) != 1 || len(d.opened) != 2 {
		t.Fatalf("timed out %d times, left flows %v, opened flows %v; want one attempt to time out and a second one to start",
			w.Totals.TimedOut, d.left, d.opened)
	}
	d.connectNewest(1)
	w.Servers[1].goDown(Silent)
	w.Schedule.RunTo(w.Schedule.Now() + 6*time.Second)
	if w.Totals.Cut != 1 || len(d.opened) < 3 {
		t.Errorf("cut %d, opened %d; want the client to close its unresponsive connection and reconnect", w.Totals.Cut, len(d.opened))
	}
}

func TestStartingServerCollapsesWhenOverloaded(t *testing.T) {
	for _, c := range []struct {
		name      string
		gap       time.Duration
		collapses bool
	}{{"many at once", 5 * time.Millisecond, true}, {"one per window", 1500 * time.Millisecond, false}} {
		t.Run(c.name, func(t *testing.T) {
			w, d := newSmallWorld(30*time.Second, RetryAfterFixedDelay)
			var arrivals arrivalList
			for i := range 14 {
				arrivals = append(arrivals, arrivalOf(time.Duration(i)*c.gap, 29*time.Second, 1))
			}
			w.Servers[0].boot()
			w.StartLoad(&arrivals)
			for len(d.opened) < 14 && w.Schedule.Now() < 25*time.Second {
				n := len(d.opened)
				w.Schedule.RunTo(w.Schedule.Now() + time.Millisecond)
				if len(d.opened) > n {
					w.DeliverConnect(w.NewConnID(), 0, d.opened[len(d.opened)-1], 0)
				}
			}
			if collapsed := w.Servers[0].Phase() == Collapsed; collapsed != c.collapses {
				t.Errorf("phase = %v, want collapsed: %v", w.Servers[0].Phase(), c.collapses)
			}
		})
	}
}

func TestListIsDelayedAndCanBeUnavailable(t *testing.T) {
	w, d := newSmallWorld(60*time.Second, RetryAfterFixedDelay)
	w.ScheduleFaults([]Fault{
		{Kind: Crash, Start: time.Second, Length: 10 * time.Second, Share: 0.5, Locality: AnyLocality},
		{Kind: ListOutage, Start: 10 * time.Second, Length: 20 * time.Second, Locality: AnyLocality}})
	for _, step := range []struct {
		at      time.Duration
		updates int
	}{{1900 * time.Millisecond, 0}, {2200 * time.Millisecond, 1}, {29 * time.Second, 1}, {31 * time.Second, 2}} {
		w.Schedule.RunTo(step.at)
		if d.updates != step.updates {
			t.Errorf("%d updates by %v, want %d", d.updates, step.at, step.updates)
		}
	}
	if w.Servers[0].WarmFraction()+w.Servers[1].WarmFraction() != 2 {
		t.Errorf("warm fractions = %v and %v, want 1 for both 20 s after the restart of the crashed server", w.Servers[0].WarmFraction(), w.Servers[1].WarmFraction())
	}
}

func TestPartitionsCanBeOneWay(t *testing.T) {
	for _, c := range []struct {
		name      string
		strength  float64
		out, back bool
	}{{"one way", 0, true, false}, {"both ways", 1, true, true}} {
		t.Run(c.name, func(t *testing.T) {
			w, _ := newSmallWorld(10*time.Second, RetryAfterFixedDelay)
			w.ScheduleFaults([]Fault{{Kind: Partition, Start: time.Second, Length: time.Second, Strength: c.strength, Locality: 1}})
			w.Schedule.RunTo(1500 * time.Millisecond)
			if w.Network.IsBlocked(1, 0) != c.out || w.Network.IsBlocked(0, 1) != c.back {
				t.Errorf("blocked = %v, in the opposite direction %v; want %v and %v",
					w.Network.IsBlocked(1, 0), w.Network.IsBlocked(0, 1), c.out, c.back)
			}
			if w.Reachability(0, 1) != Unresponsive {
				t.Error("a connection opened across the partition got a reply, though a reply needs both directions")
			}
			w.Schedule.RunTo(3 * time.Second)
			if w.Reachability(0, 1) != Open {
				t.Error("the partition remained after its end")
			}
		})
	}
}
