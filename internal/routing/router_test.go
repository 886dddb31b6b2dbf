package routing

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
)

// newRouter returns a router with one service type and the named servers, all ready.
func newRouter(t testing.TB, reportsLoad, reportsLatency bool, servers ...string) *Router {
	t.Helper()
	r := New(Config{Seed: 7, LatencyThreshold: 80 * ms, ServersReportLoad: reportsLoad, ServersReportLatency: reportsLatency,
		Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			b.ConfigureFlows(3, 0)
			b.AddService(decide.ServiceType{
				Effect:        decide.Idempotent,
				Deduplication: decide.DeduplicatedByFleet,
				SetupTarget:   300 * ms,
				RetryWindow:   2 * sec,
				Value:         1,
			})
			b.ConfigureSlowStart(decide.SlowStart{
				InitialCapacity:  0.2,
				OverloadMultiple: 3,
				WarmUp:           20 * sec,
				Window:           1500 * ms,
				Balancers:        1,
			})
			b.ConfigurePlacement(0, 0, true)
			b.ConfigureEndpoints(decide.EndpointSettings{Zone: "z", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 240 * ms})
			return map[string]decide.ServiceID{"live": 0}, nil
		}})
	commitEndpoints(r, FullUpdate, Ready, servers...)
	return r
}

func commitEndpoints(r *Router, kind UpdateKind, readiness Readiness, servers ...string) {
	update := r.BeginUpdate(kind)
	for _, name := range servers {
		update.AddEndpoint(Endpoint{Name: name, Addr: "at-" + name, Zone: "z", Size: 1, Readiness: readiness})
	}
	update.Commit(context.Background())
}

func openFlow(t *testing.T, r *Router) *Flow {
	t.Helper()
	f, err := r.OpenFlow(FlowRequest{Service: "live", Timeout: 2 * sec})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func awaitDecision(t *testing.T, f *Flow) Decision {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*sec)
	defer cancel()
	decision, err := f.AwaitDecision(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return decision
}

// establishFlow returns an established flow; migrate is called when its client is to reconnect.
func establishFlow(t *testing.T, r *Router, migrate func()) *Flow {
	t.Helper()
	f := openFlow(t, r)
	awaitDecision(t, f)
	f.OnEstablished()
	f.SetMigrationHandler(migrate)
	return f
}

// Each end of an attempt is followed by one decision, up to a final answer.
func TestAwaitDecisionAndOnEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		ends []Outcome
		want Verdict
	}{
		{"a first attempt", nil, Connect},
		{"another after an unreachable server", []Outcome{Unreachable}, Connect},
		{"another after a server that began to drain", []Outcome{NeverSent}, Connect},
		{"no server is left", []Outcome{Full, Full, Full}, Reject},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, true, true, "a", "b", "c")
			f := openFlow(t, r)
			for _, o := range c.ends {
				if got := awaitDecision(t, f); got.Verdict != Connect || got.Addr == "" || time.Until(got.Deadline) <= 0 {
					t.Fatalf("decision %+v, want connect with an address and a deadline in the future", got)
				}
				f.OnEnded(o)
			}
			if got := awaitDecision(t, f); got.Verdict != c.want {
				t.Errorf("decision %+v, want verdict %v", got, c.want)
			}
			if c.want != Connect && len(r.flows) != 0 {
				t.Error("an answered flow was not removed")
			}
		})
	}
	t.Run("an unknown service type", func(t *testing.T) {
		if _, err := newRouter(t, true, true).OpenFlow(FlowRequest{Service: "dead", Timeout: sec}); !errors.Is(err, ErrUnknownService) {
			t.Errorf("OpenFlow: error %v, want ErrUnknownService", err)
		}
	})
}

// recordLogs records all that is logged until the end of the test.
func recordLogs(t *testing.T) *bytes.Buffer {
	t.Helper()
	logged := &bytes.Buffer{}
	previous, flags := slog.Default(), log.Flags()
	slog.SetDefault(slog.New(slog.NewTextHandler(logged, &slog.HandlerOptions{Level: slog.LevelDebug})))
	t.Cleanup(func() {
		slog.SetDefault(previous)
		log.SetOutput(os.Stderr) // slog.SetDefault redirected package log to slog, and previous writes to package log
		log.SetFlags(flags)
	})
	return logged
}

// The log line of a final answer contains the verdict.
func TestFinalAnswerIsLogged(t *testing.T) {
	logged := recordLogs(t)
	awaitDecision(t, openFlow(t, newRouter(t, true, true))) // there is no server
	if want := `msg="flow answered" flow=1 verdict=reject `; !strings.Contains(logged.String(), want) {
		t.Errorf("%q was not logged:\n%s", want, logged)
	}
}

// A client may leave at any moment; the router must then keep nothing of its flow.
func TestClientLeaves(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(*testing.T, *Flow)
	}{
		{"before the decision is picked up", func(_ *testing.T, f *Flow) { f.Abandon() }},
		{"during an attempt", func(t *testing.T, f *Flow) { awaitDecision(t, f); f.OnClientLeft(); f.OnEnded(Cancelled) }},
		{"from an established connection", func(t *testing.T, f *Flow) { awaitDecision(t, f); f.OnEstablished(); f.OnEnded(Cancelled) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, true, true, "a")
			c.leave(t, openFlow(t, r))
			if len(r.flows) != 0 {
				t.Error("the flow was not removed")
			}
			f := openFlow(t, r) // the previous flow no longer counts in the leased tally, nor as a set-up in progress
			if got := awaitDecision(t, f); got.Verdict != Connect {
				t.Errorf("next flow: decision %+v, want connect", got)
			}
		})
	}
}

// A server's id depends on its name alone, as all balancers must choose the same preferred server for a group.
func TestServerIDs(t *testing.T) {
	a, b := newRouter(t, true, true, "s-1", "s-2", "s-3"), newRouter(t, true, true, "s-3", "s-1")
	for _, name := range []string{"s-1", "s-3"} {
		if a.assignServerID(name) != b.assignServerID(name) {
			t.Errorf("%s has two ids", name)
		}
	}
	// Names with the same hash get different ids.
	other := a.assignServerID("s-1")
	delete(a.serverIDs, "s-1")
	if second := a.assignServerID("s-1"); second == other || a.servers[second] == a.servers[other] {
		t.Error("two servers have the same id")
	}
}

// A server that begins to drain while a connection to it is being established must not get the flow.
func TestStillAllowed(t *testing.T) {
	r := newRouter(t, true, true, "a")
	f := openFlow(t, r)
	awaitDecision(t, f)
	if !f.StillAllowed() {
		t.Error("not allowed while the server is ready")
	}
	commitEndpoints(r, DeltaUpdate, Draining, "a")
	if f.StillAllowed() {
		t.Error("still allowed when draining")
	}
	commitEndpoints(r, FullUpdate, Ready, "b") // the complete list without it
	if f.StillAllowed() {
		t.Error("still allowed when gone")
	}
}

func TestRequestMigration(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(f *Flow, migrate func())
	}{
		{"requested before a handler is set", func(f *Flow, migrate func()) { f.RequestMigration(); f.SetMigrationHandler(migrate) }},
		{"requested twice", func(f *Flow, migrate func()) {
			f.SetMigrationHandler(migrate)
			f.RequestMigration()
			f.RequestMigration()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := openFlow(t, newRouter(t, true, true, "a"))
			migrations := 0
			c.do(f, func() { migrations++ })
			if migrations != 1 {
				t.Errorf("migrated %d times, want once", migrations)
			}
		})
	}
}

// A server that does not answer is reported each second while its lines wait, and its clients are asked to reconnect
// once a line has waited for longer than replyTimeout.
func TestUnresponsiveServer(t *testing.T) {
	r := newRouter(t, true, true, "a")
	migrations := 0
	f := establishFlow(t, r, func() { migrations++ })
	f.OnRequest()
	start := f.awaitingSince
	var reports []time.Duration
	var last time.Duration
	for d := 50 * ms; d <= 5*sec; d += 50 * ms {
		r.mu.Lock()
		r.balancer.SetTime(start + d)
		r.checkLatencies(start + d)
		if at := f.server.roundTrips.reportedAt; at != last {
			last = at
			reports = append(reports, d)
		}
		r.mu.Unlock()
		if migrations > 0 {
			break
		}
	}
	if len(reports) < 2 || reports[0] > 200*ms || reports[1]-reports[0] > 1100*ms {
		t.Errorf("reported after %v, want the first within 200 ms and the next within 1.1 s of it", reports)
	}
	if migrations != 1 {
		t.Errorf("asked to reconnect %d times, want once", migrations)
	}
}

// A client whose machine was lost sends nothing more. Only the silence timeout ends its connection.
func TestSilentClient(t *testing.T) {
	r := newRouter(t, true, true, "a")
	migrations := 0
	f := establishFlow(t, r, func() { migrations++ })
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{20 * sec, 0}, {40 * sec, 1}} {
		r.mu.Lock()
		r.checkLatencies(f.lastRequestAt + c.after)
		r.mu.Unlock()
		if migrations != c.want {
			t.Errorf("after %v asked to reconnect %d times, want %d", c.after, migrations, c.want)
		}
	}
}

// Timers run in order, and setting one that is due before all others wakes Tick.
func TestTick(t *testing.T) {
	r := newRouter(t, true, true, "a")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			if err := r.Tick(ctx); err != nil {
				return
			}
		}
	}()
	deadline := time.Now().Add(10 * sec)
	for due := time.Duration(0); ; { // the balancer sets its periodic timer again each time it fires
		r.mu.Lock()
		first := r.timers[0].due
		r.mu.Unlock()
		if due != 0 && first > due {
			break
		}
		if due = first; time.Now().After(deadline) {
			t.Fatal("no timer ran in time")
		}
		time.Sleep(ms)
	}
	cancel()
	<-done
}

// However many health checks are requested before the first is taken, each server is returned once, in order of the
// requests, with its current address; servers that no longer accept flows are skipped.
func TestPendingHealthChecks(t *testing.T) {
	names := make([]string, 1024)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	r := newRouter(t, true, true, names...)
	r.mu.Lock()
	for range 2 {
		for _, s := range names {
			actions{r}.HealthCheck(r.serverIDs[s])
		}
	}
	r.mu.Unlock()
	commitEndpoints(r, DeltaUpdate, Draining, names[:24]...)
	ctx, cancel := context.WithTimeout(t.Context(), 10*sec) // the test fails rather than hangs
	defer cancel()
	for _, s := range names[24:] {
		addr, report, err := r.NextHealthCheck(ctx)
		if err != nil || addr != "at-"+s {
			t.Fatalf("check of %q, %v, want %s", addr, err, s)
		}
		report(OK, 0.5)
	}
	if _, _, ok := r.nextHealthCheck(); ok || r.pendingChecks != nil {
		t.Error("a server was returned twice, or the queue's array was not freed")
	}
	r.mu.Lock()
	actions{r}.HealthCheck(r.serverIDs["s30"])
	r.mu.Unlock()
	if addr, _, err := r.NextHealthCheck(ctx); err != nil || addr != "at-s30" {
		t.Errorf("requested again: check of %q, %v", addr, err)
	}
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if _, _, err := r.NextHealthCheck(ended); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v after the context ended", err)
	}
}
