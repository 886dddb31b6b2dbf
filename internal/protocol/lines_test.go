package protocol

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// The line to a server is the client's, but for the time left.
func TestWithTimeout(t *testing.T) {
	for _, c := range []struct {
		name, line string
		left       time.Duration
		want       string
	}{
		{"in the middle", "OPEN 1 2 c=x,d=2000,g=3", 1234567 * time.Microsecond, "OPEN 1 2 c=x,d=1234,g=3"},
		{"none", "OPEN 1 2 c=x,at=s", sec, "OPEN 1 2 c=x,at=s"},
		{"another name that ends so", "OPEN 1 2 c=x,id=7,d=9", 5 * ms, "OPEN 1 2 c=x,id=7,d=5"},
		{"nearly over", "OPEN 1 2 c=x,d=9", 0, "OPEN 1 2 c=x,d=1"},
		{"a key that looks like it", "OPEN d=1 d=2 c=x,d=9", 3 * ms, "OPEN d=1 d=2 c=x,d=3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := withTimeout(c.line, c.left); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

func TestParseOpen(t *testing.T) {
	const allFlags = routing.FlagLoadHint | routing.FlagRetry | routing.FlagReturning
	plain := FlowInfo{ID: "1", Key: "2b", Service: "x"}
	for _, c := range []struct {
		name, line string
		want       openRequest
	}{
		{"all fields", "OPEN 1 2b c=x,t=acme,d=2000,g=5c,r=1,again=1,h=7",
			openRequest{flow: FlowInfo{ID: "1", Key: "2b", Service: "x", Customer: "acme", Group: "5c"}, timeout: 2 * sec, flags: allFlags}},
		{"names unknown here", "OPEN 1 2b c=x,d=15,new=thing", openRequest{flow: plain, timeout: 15 * ms}},
		{"flags not set", "OPEN 1 2b c=x,d=1,r=0,again=0", openRequest{flow: plain, timeout: ms}},
		{"a resumed one", "OPEN 1 2b c=x,at=s-1", openRequest{flow: plain, resumeAt: "s-1"}},
		{"a resumed one, whose time is none", "OPEN 1 2b c=x,d=4294967,at=s-1",
			openRequest{flow: plain, resumeAt: "s-1", timeout: 4294967 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := parseOpen(c.line); err != nil || got != c.want {
				t.Errorf("%+v, %v; want %+v", got, err, c.want)
			}
		})
	}
}

func TestCheckHealth(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		want         routing.Outcome
		load         float64
	}{
		{"well", "PONG x0:0.5\r\n", routing.OK, 0.5},
		{"ill", "ERR\r\n", routing.Error, -1},
		{"not allowed", "NO\r\n", routing.Error, -1},
		{"ended", "", routing.Reset, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			go func() {
				s, line := accept(t, l)
				if line != "STATS" {
					t.Errorf("asked with %q", line)
				}
				s.send(c.answer)
				s.Close()
			}()
			if o, load := checkHealth(context.Background(), l.Addr().String(), time.Second); o != c.want || load != c.load {
				t.Errorf("%v, %v", o, load)
			}
		})
	}
	t.Run("nobody", func(t *testing.T) {
		l := listen(t)
		l.Close()
		if o, _ := checkHealth(context.Background(), l.Addr().String(), time.Second); o != routing.Unreachable {
			t.Errorf("%v", o)
		}
	})
}

func member(id, phase string) string {
	return fmt.Sprintf(`{"id":"%s","host_port":"at-%s","locality":"z","cell":1,"phase":"%s","size":1,"up_since_ms":0}`, id, id, phase)
}

func object(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// Where a flow goes says what the list is: bad news of it must change nothing.
func TestEndpointList(t *testing.T) {
	one := object(5, true, member("a", "SERVING"))
	for _, c := range []struct {
		name  string
		lines []string
		good  bool // the last line
		at    string
		index int64
	}{
		{"a whole list", []string{one}, true, "at-a", 5},
		{"a change", []string{one, object(6, false, member("a", "DRAINING"), member("b", "SERVING"))}, true, "at-b", 6},
		{"a whole list without it", []string{one, object(6, true, member("b", "SERVING"))}, true, "at-b", 6},
		{"gone", []string{one, object(6, false, member("a", "DELETED"))}, true, "", 6},
		{"not JSON", []string{one, `{"revision":6,`}, false, "at-a", 5},
		{"no list", []string{one, `{"revision":6,"complete":true}`}, false, "at-a", 5},
		{"one bad entry", []string{one, object(6, true, member("b", "SERVING"), `{"id":7}`)}, false, "at-a", 5},
		{"an unknown phase", []string{one, object(6, false, member("a", "ASLEEP"))}, false, "at-a", 5},
		{"no id", []string{one, object(6, true, member("", "SERVING"))}, false, "at-a", 5},
		{"an id too long", []string{one, object(6, true, member("b", "SERVING"), member(strings.Repeat("x", routing.MaxIDLength+1), "SERVING"))}, false, "at-a", 5},
		{"the longest id", []string{one, object(6, true, member(strings.Repeat("x", routing.MaxIDLength), "DRAINING"), member("b", "SERVING"))}, true, "at-b", 6},
		{"another kind of thing", []string{one, `[1,2]`}, false, "at-a", 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startBalancer(t, decide.Idempotent, 0).router
			d := NewDiscovery(r, "", 1, false)
			kinds := map[bool]routing.UpdateKind{true: routing.CachedUpdate, false: routing.DeltaUpdate}
			for i, line := range c.lines {
				if err := d.applyText(t.Context(), []byte(line), kinds[i == 0]); (err == nil) != (c.good || i < len(c.lines)-1) {
					t.Errorf("line %d: %v", i, err)
				}
			}
			f, err := r.OpenFlow(routing.FlowRequest{Service: "live", Timeout: sec})
			if err != nil {
				t.Fatal(err)
			}
			got, err := f.AwaitDecision(context.Background(), nil)
			if err != nil || got.Addr != c.at || d.revision.Load() != c.index {
				t.Errorf("goes to %q at revision %d, %v; want %q at %d", got.Addr, d.revision.Load(), err, c.at, c.index)
			}
		})
	}
}

// A list beyond the bound is one error that names it, and what is held stays.
func TestListBeyondBound(t *testing.T) {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, err := io.WriteString(w, `{"revision":9,"complete":true,"members":[`)
		for err == nil {
			_, err = io.WriteString(w, member("b", "SERVING")+",")
		}
	}))
	defer agent.Close()
	r := startBalancer(t, decide.Idempotent, 0).router
	d := NewDiscovery(r, "", 1, false)
	if err := d.LoadCached([]byte(object(5, true, member("a", "SERVING")))); err != nil {
		t.Fatal(err)
	}
	if _, err := d.watch(t.Context(), agent.URL); err == nil || !strings.Contains(err.Error(), fmt.Sprint(maxListBytes)) {
		t.Errorf("%v, want it to name the bound of %d bytes", err, maxListBytes)
	}
	d.fetch(t.Context(), agent.URL)
	if _, known := r.IsDisabled("b"); known || d.revision.Load() != 5 {
		t.Errorf("some of it counts: b is known %v, revision %d", known, d.revision.Load())
	}
}

// A watch that ends, fails, brings nonsense or falls silent is opened again, from the last version held.
func TestWatchIsReopened(t *testing.T) {
	asked := make(chan string, 16)
	n := 0
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked <- q.URL.RawQuery
		n++
		switch n {
		case 1:
			fmt.Fprintln(w, object(5, true, member("a", "SERVING")))
		case 2:
			http.Error(w, "not now", http.StatusServiceUnavailable)
		case 3:
			fmt.Fprintln(w, `{"revision":`)
		case 4:
			fmt.Fprintf(w, "\n%s\n", object(6, false, member("a", "DRAINING"), member("b", "SERVING")))
			w.(http.Flusher).Flush()
			<-q.Context().Done() // silent until given up
		default:
			w.(http.Flusher).Flush()
			<-q.Context().Done()
		}
	}))
	defer agent.Close()
	d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, strings.TrimPrefix(agent.URL, "http://"), 1, false)
	d.silenceTimeout = 50 * ms
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	for i, want := range []string{"stream=1", "stream=1&index=5", "stream=1&index=5", "stream=1&index=5", "stream=1&index=6"} {
		select {
		case got := <-asked:
			if got != want {
				t.Errorf("watch %d: %q, want %q", i, got, want)
			}
		case <-time.After(10 * sec):
			t.Fatalf("watch %d was not opened", i)
		}
	}
	cancel()
	<-done
}

// A service that tells so many a second turns away whoever has waited for two, and is through with those all the same.
// Eighty balancers that start in one instant must all have the list soon; asked again four times a second it never
// tells another.
func TestOverloadedDiscoveryAnswersAllEventually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, aSecond, longest = 80, 16, 2 * sec
		service := &overloadedDiscovery{serviceTime: sec / aSecond, maxWait: longest}
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for i := range callers {
			r := routing.New(routing.Config{Seed: 1, Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
				b.ConfigureEndpoints(decide.EndpointSettings{Polled: true, MaxPollInterval: 10 * sec, MessageTarget: sec}) // its own timers for the list must add nothing
				return nil, nil
			}})
			d := NewDiscovery(r, "nowhere", uint64(i), true)
			d.client.Transport = service
			all.Go(func() { d.Run(ctx) })
			all.Go(func() {
				for r.Tick(ctx) == nil {
				}
			})
		}
		time.Sleep(40 * sec)
		cancel()
		all.Wait()
		if service.answered != callers { // whoever is told asks no more
			t.Errorf("%d of %d were told within 40 s", service.answered, callers)
		}
	})
}

// overloadedDiscovery serves one call after another, each for as long, also those that nobody waits for any more.
type overloadedDiscovery struct {
	mu                   sync.Mutex
	serviceTime, maxWait time.Duration
	freeAt               time.Time
	answered             int
}

func (o *overloadedDiscovery) RoundTrip(q *http.Request) (*http.Response, error) {
	o.mu.Lock()
	wait := max(0, time.Until(o.freeAt))
	o.freeAt = time.Now().Add(wait + o.serviceTime)
	if wait <= o.maxWait {
		o.answered++
	}
	o.mu.Unlock()
	time.Sleep(min(wait, o.maxWait))
	if wait > o.maxWait {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Status: "503 Service Unavailable", Body: http.NoBody}, nil
	}
	body, w := io.Pipe()
	go func() {
		for line := object(1, true, member("a", "SERVING")) + "\n"; q.Context().Err() == nil; line = "\n" {
			_, _ = io.WriteString(w, line) // whoever reads went away with the context
			select {
			case <-q.Context().Done():
			case <-time.After(heartbeatInterval):
			}
		}
		w.Close()
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

// Another address takes the place of the first at once, with the whole list from the new one: its revisions may be
// others. Nothing is lost while it says nothing, and the same address again disturbs no watch.
func TestDiscoveryAddressChange(t *testing.T) {
	asked, ended := make(chan string, 16), make(chan string, 16)
	agent := func(name, list string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			fmt.Fprintln(w, list)
			w.(http.Flusher).Flush()
			asked <- name + " " + q.URL.RawQuery
			<-q.Context().Done()
			ended <- name
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	first, dumb := agent("first", object(41, true, member("a", "SERVING"))), agent("dumb", "")
	third := agent("third", object(7, true, member("b", "SERVING")))
	y := startBalancer(t, decide.Idempotent, 0)
	d := NewDiscovery(y.router, first, 1, false)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	wait := func(from chan string, want string) {
		t.Helper()
		select {
		case got := <-from:
			if got != want {
				t.Fatalf("%q, want %q", got, want)
			}
		case <-time.After(10 * sec):
			t.Fatalf("no %q", want)
		}
	}
	goesTo := func(want string) {
		t.Helper()
		got := ""
		for end := time.Now().Add(10 * sec); got != want && time.Now().Before(end); time.Sleep(ms) { // a list was sent, not yet read
			f, err := y.router.OpenFlow(routing.FlowRequest{Service: "live", Timeout: sec})
			if err != nil {
				t.Fatal(err)
			}
			c, err := f.AwaitDecision(ctx, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got = c.Addr; c.Verdict == routing.Connect {
				f.OnEnded(routing.NeverSent)
			}
		}
		if got != want {
			t.Fatalf("goes to %q, want %q", got, want)
		}
	}
	wait(asked, "first stream=1")
	goesTo("at-a")
	if d.SetAddress(first) {
		t.Error("the same address is no news")
	}
	d.SetAddress(dumb)
	wait(asked, "dumb stream=1")
	wait(ended, "first")
	goesTo("at-a")
	d.SetAddress(third)
	wait(asked, "third stream=1")
	wait(ended, "dumb")
	goesTo("at-b")
	cancel()
	<-done
}
