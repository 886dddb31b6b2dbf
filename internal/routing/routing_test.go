package routing

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"yardwinch/decide"
)

// router has one service type and the servers named, all in service.
func router(t testing.TB, tellLoad, tellLag bool, servers ...string) *Router {
	t.Helper()
	r := New(7, 80*ms, tellLoad, tellLag, nil,
		func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			b.ConfigureFlows(3, 0)
			b.AddService(decide.ServiceType{Effect: decide.Idempotent, Deduplication: decide.DeduplicatedByFleet, SetupTarget: 300 * ms, RetryWindow: 2 * sec, Value: 1})
			b.ConfigureSlowStart(decide.SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: 1})
			b.ConfigurePlacement(0, 0, true)
			b.ConfigureEndpoints(decide.EndpointSettings{Zone: "z", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 240 * ms})
			return map[string]decide.ServiceID{"live": 0}, nil
		})
	list(r, true, servers...)
	return r
}

func list(r *Router, ready bool, servers ...string) {
	l := r.BeginUpdate(ready, false)
	for _, s := range servers {
		l.AddEndpoint(s, "at-"+s, "z", 0, 1, ready, false, time.Time{})
	}
	l.Commit()
}

func open(t *testing.T, r *Router) *Flow {
	t.Helper()
	f, err := r.OpenFlow("", "live", "", "", "", 2*sec, 0)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func pick(t *testing.T, f *Flow) Decision {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*sec)
	defer cancel()
	c, err := f.AwaitDecision(ctx, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// One verdict after each end of a connect, and one final answer.
func TestPickAndReport(t *testing.T) {
	for _, c := range []struct {
		name string
		ends []Outcome
		want Verdict
	}{
		{"a first connect", nil, Connect},
		{"another after one that found nobody", []Outcome{Unreachable}, Connect},
		{"another where the server was told to drain meanwhile", []Outcome{NeverSent}, Connect},
		{"none is left", []Outcome{Full, Full, Full}, Reject},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := router(t, true, true, "a", "b", "c")
			f := open(t, r)
			for _, o := range c.ends {
				if got := pick(t, f); got.Verdict != Connect || got.Addr == "" || time.Until(got.Deadline) <= 0 {
					t.Fatalf("chose %+v", got)
				}
				f.OnEnded(o)
			}
			if got := pick(t, f); got.Verdict != c.want {
				t.Errorf("chose %+v", got)
			}
			if c.want != Connect && len(r.flows) != 0 {
				t.Error("an answered flow is kept")
			}
		})
	}
	t.Run("an unknown service type", func(t *testing.T) {
		if _, err := router(t, true, true).OpenFlow("", "dead", "", "", "", sec, 0); !errors.Is(err, ErrUnknownService) {
			t.Errorf("error %v", err)
		}
	})
}

// A client may go at any moment; whatever is out then, nothing of its flow may stay.
func TestLeave(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*testing.T, *Flow)
	}{
		{"before the verdict is picked up", func(t *testing.T, f *Flow) { f.Abandon() }},
		{"with a connect out", func(t *testing.T, f *Flow) { pick(t, f); f.OnClientLeft(); f.OnEnded(Cancelled) }},
		{"from a connection", func(t *testing.T, f *Flow) { pick(t, f); f.OnEstablished(); f.OnEnded(Cancelled) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := router(t, true, true, "a")
			c.leave(t, open(t, r))
			if len(r.flows) != 0 {
				t.Error("the flow is kept")
			}
			f := open(t, r) // the module holds no lease or set-up of the one before
			if got := pick(t, f); got.Verdict != Connect {
				t.Errorf("the next one: %+v", got)
			}
		})
	}
}

// All balancers must draw the same home for a group: a server's number comes from its name alone.
func TestNumbers(t *testing.T) {
	a, b := router(t, true, true, "s-1", "s-2", "s-3"), router(t, true, true, "s-3", "s-1")
	for _, name := range []string{"s-1", "s-3"} {
		if a.number(name) != b.number(name) {
			t.Errorf("%s has two numbers", name)
		}
	}
	// Names of one hash stay apart.
	other := a.number("s-1")
	delete(a.numbers, "s-1")
	if again := a.number("s-1"); again == other || a.servers[again] == a.servers[other] {
		t.Error("a second server took the first one's number")
	}
}

// A server told to drain while a connection to it comes up gets nothing new.
func TestWanted(t *testing.T) {
	r := router(t, true, true, "a")
	f := open(t, r)
	pick(t, f)
	if !f.StillAllowed() {
		t.Error("not wanted while in service")
	}
	list(r, false, "a")
	if f.StillAllowed() {
		t.Error("still wanted when draining")
	}
	list(r, true, "b") // a whole list without it
	if f.StillAllowed() {
		t.Error("still wanted when gone")
	}
}

func TestMove(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(f *Flow, moved func())
	}{
		{"asked before anybody listens", func(f *Flow, moved func()) { f.RequestMigration(); f.OnMigrate(moved) }},
		{"asked twice", func(f *Flow, moved func()) { f.OnMigrate(moved); f.RequestMigration(); f.RequestMigration() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, n := open(t, router(t, true, true, "a")), 0
			c.do(f, func() { n++ })
			if n != 1 {
				t.Errorf("moved %d times", n)
			}
		})
	}
}

// A server that answers nothing is told of as its lines wait, each second, and its clients are asked to come again
// before a wait counts as ours.
func TestSilence(t *testing.T) {
	r := router(t, true, true, "a")
	f := open(t, r)
	pick(t, f)
	f.OnEstablished()
	moved := 0
	f.OnMigrate(func() { moved++ })
	f.OnRequest()
	base := f.asked
	var notes []time.Duration
	var last time.Duration
	for d := 50 * ms; d <= 5*sec; d += 50 * ms {
		r.mu.Lock()
		r.b.SetTime(base + d)
		r.noteDelays(base + d)
		if n := f.server.lines.noted; n != last {
			last = n
			notes = append(notes, d)
		}
		r.mu.Unlock()
		if moved > 0 {
			break
		}
	}
	if len(notes) < 2 || notes[0] > 200*ms || notes[1]-notes[0] > 1100*ms {
		t.Errorf("notes after %v", notes)
	}
	if moved != 1 {
		t.Errorf("asked to move %d times", moved)
	}
}

// A client that vanished sends nothing, and nothing else would ever end its connection.
func TestVanishedClient(t *testing.T) {
	r := router(t, true, true, "a")
	f := open(t, r)
	pick(t, f)
	f.OnEstablished()
	moved := 0
	f.OnMigrate(func() { moved++ })
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{20 * sec, 0}, {40 * sec, 1}} {
		r.mu.Lock()
		r.noteDelays(f.heard + c.after)
		r.mu.Unlock()
		if moved != c.want {
			t.Errorf("after %v asked to move %d times", c.after, moved)
		}
	}
}

// Timers come due in order, and one set to be earlier than all others is not overslept.
func TestTick(t *testing.T) {
	r := router(t, true, true, "a")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r.Tick(ctx) == nil {
		}
	}()
	deadline := time.Now().Add(10 * sec)
	for due := time.Duration(0); ; { // the module's own tick sets itself anew each time
		r.mu.Lock()
		first := r.timers[0].due
		r.mu.Unlock()
		if due != 0 && first > due {
			break
		}
		if due = first; time.Now().After(deadline) {
			t.Fatal("no tick")
		}
		time.Sleep(ms)
	}
	cancel()
	<-done
}

// However many servers are to be probed before anybody asks, each comes once, in order, at its address of now; one that has left the list since does not.
func TestProbesOfMany(t *testing.T) {
	names := make([]string, 1024)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	r := router(t, true, true, names...)
	r.mu.Lock()
	for range 2 {
		for _, s := range names {
			actions{r}.HealthCheck(r.numbers[s])
		}
	}
	r.mu.Unlock()
	list(r, false, names[:24]...)
	ctx, cancel := context.WithTimeout(t.Context(), 10*sec) // a test that hangs is to fail
	defer cancel()
	for _, s := range names[24:] {
		addr, done, err := r.NextHealthCheck(ctx)
		if err != nil || addr != "at-"+s {
			t.Fatalf("probe of %q, %v, want %s", addr, err, s)
		}
		done(OK, 0.5)
	}
	if _, _, ok := r.nextProbe(); ok || r.probes != nil {
		t.Error("one came twice, or something is held at rest")
	}
	r.mu.Lock()
	actions{r}.HealthCheck(r.numbers["s30"])
	r.mu.Unlock()
	if addr, _, err := r.NextHealthCheck(ctx); err != nil || addr != "at-s30" {
		t.Errorf("wanted again: probe of %q, %v", addr, err)
	}
	over, end := context.WithCancel(ctx)
	end()
	if _, _, err := r.NextHealthCheck(over); !errors.Is(err, context.Canceled) {
		t.Errorf("at the end: %v", err)
	}
}
