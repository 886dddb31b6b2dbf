package protocol

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// newTestDiscovery has a router that takes lists and serves nobody.
func newTestDiscovery(seed uint64, addr string, isPolled bool) *Discovery {
	configure := func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
		b.ConfigureEndpoints(decide.EndpointSettings{Polled: isPolled, MaxPollInterval: 10 * sec, MessageTarget: sec})
		return nil, nil
	}
	return NewDiscovery(routing.New(routing.Config{Seed: 1, Configure: configure}), addr, seed, isPolled)
}

// runDiscovery watches until stop.
func runDiscovery(d *Discovery) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	return func() { cancel(); <-done }
}

// writeAndFlush writes at once to a client that may be gone.
func writeAndFlush(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// wantReceived waits for the next value.
func wantReceived(t *testing.T, from <-chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	case <-time.After(hangTimeout):
		t.Fatalf("no %q came", want)
	}
}

// A watch that ends, fails, brings nonsense or falls silent is reopened, from the last revision held.
func TestWatchIsReopened(t *testing.T) {
	queries := make(chan string, 16)
	calls := 0
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		queries <- q.URL.RawQuery
		calls++
		switch calls {
		case 1:
			writeAndFlush(w, object(5, true, member("a", "SERVING"))+"\n")
		case 2:
			http.Error(w, "not now", http.StatusServiceUnavailable)
		case 3:
			writeAndFlush(w, `{"revision":`+"\n")
		case 4:
			writeAndFlush(w, "\n"+object(6, false, member("a", "DRAINING"), member("b", "SERVING"))+"\n")
			<-q.Context().Done() // silent until it is given up
		default:
			w.(http.Flusher).Flush()
			<-q.Context().Done()
		}
	}))
	defer agent.Close()
	d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, strings.TrimPrefix(agent.URL, "http://"), 1, false)
	d.silenceTimeout = 50 * ms
	defer runDiscovery(d)()
	for _, want := range []string{"stream=1", "stream=1&index=5", "stream=1&index=5", "stream=1&index=5", "stream=1&index=6"} {
		wantReceived(t, queries, want)
	}
}

// Another address takes the place of the first at once, with the complete list from the new one: its revisions may be
// others. Nothing is lost while it is silent, and the same address again disturbs no watch.
func TestDiscoveryAddressChange(t *testing.T) {
	queries, ended := make(chan string, 16), make(chan string, 16)
	agent := func(name, list string) (addr string) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			writeAndFlush(w, list+"\n")
			queries <- name + " " + q.URL.RawQuery
			<-q.Context().Done()
			ended <- name
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	first := agent("first", object(41, true, member("a", "SERVING")))
	silent := agent("silent", "")
	third := agent("third", object(7, true, member("b", "SERVING")))
	b := startBalancer(t, decide.Idempotent, 0)
	d := NewDiscovery(b.router, first, 1, false)
	defer runDiscovery(d)()
	wantReceived(t, queries, "first stream=1")
	b.wantFlowsTo("at-a")
	if d.SetAddress(first) {
		t.Error("the same address counts as a change")
	}
	d.SetAddress(silent)
	wantReceived(t, queries, "silent stream=1")
	wantReceived(t, ended, "first")
	b.wantFlowsTo("at-a")
	d.SetAddress(third)
	wantReceived(t, queries, "third stream=1")
	wantReceived(t, ended, "silent")
	b.wantFlowsTo("at-b")
}

// wantFlowsTo waits until flows go to an address; a list that was sent is not applied at once.
func (b *testBalancer) wantFlowsTo(want string) {
	b.t.Helper()
	got := ""
	for end := time.Now().Add(hangTimeout); got != want && time.Now().Before(end); time.Sleep(ms) {
		f, err := b.router.OpenFlow(routing.FlowRequest{Service: "live", Timeout: sec})
		if err != nil {
			b.t.Fatal(err)
		}
		decision, err := f.AwaitDecision(b.t.Context())
		if err != nil {
			b.t.Fatal(err)
		}
		got = decision.Addr
		if decision.Verdict == routing.Connect {
			f.OnEnded(routing.NeverSent)
		}
	}
	if got != want {
		b.t.Fatalf("goes to %q, want %q", got, want)
	}
}

// An agent that is silent has the list at the moment at which it can be asked again, and from then on the list
// counts as received: a balancer that waited would send flows to a server that drains. However long the silence,
// one watch follows another at once.
func TestSilentAgentIsPolledAtOnce(t *testing.T) {
	const silences = 14
	calls := make(chan struct{}, silences+2)
	var count atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if count.Add(1) > silences {
			writeAndFlush(w, object(9, true, member("a", "DRAINING"), member("b", "SERVING"))+"\n")
		}
		calls <- struct{}{}
		<-q.Context().Done()
	}))
	defer agent.Close()
	d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, strings.TrimPrefix(agent.URL, "http://"), 1, false)
	d.silenceTimeout, d.responseTimeout = 30*ms, 30*ms
	defer runDiscovery(d)()
	hangs := time.After(10 * sec) // a backoff that doubles up to 4 s would take thrice that
	for i := range silences + 1 {
		select {
		case <-calls:
		case <-hangs:
			t.Fatalf("no call after %d silent watches", i)
		}
	}
	for d.revision.Load() != 9 {
		time.Sleep(ms)
	}
}

// How long a balancer waits between two watches, by who is asked and how the last one ended: with the complete
// next call it fits into the time within which a change must take effect, and where all balancers ask at the same
// moment it is spread over what is left of that time.
func TestReopenDelay(t *testing.T) {
	const left = changeTimeout - applyTime - responseTimeout
	for _, c := range []struct {
		name                 string
		isPolled, fellSilent bool
		hadContact           bool
		silence              time.Duration
		least, most          time.Duration
	}{
		{"an agent, silent", false, true, true, silenceTimeout, 0, 0},
		{"an agent, silent from the start", false, true, false, responseTimeout, 0, 0},
		{"an agent, reset", false, false, true, sec, 0, agentReopenDelay},
		{"an agent, refused", false, false, false, 0, 0, agentReopenDelay},
		{"an agent, slow to refuse", false, false, false, 150 * ms, 0, 300 * ms},
		{"an agent that rejects calls after a wait", false, false, false, 2 * sec, 0, left - 2*sec},
		{"discovery, silent", true, true, true, silenceTimeout, 0, left - silenceTimeout},
		{"discovery, reset", true, false, true, sec, 0, left - sec},
		{"discovery, refused", true, false, false, 0, left / 2, left},
		{"discovery that gives no answer", true, true, false, responseTimeout, (left - responseTimeout) / 2, left - responseTimeout},
		{"discovery that rejects calls", true, false, false, 2 * sec, (left - 2*sec) / 2, left - 2*sec},
		{"a process that had no core for long", true, true, true, changeTimeout, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, "", 1, c.isPolled)
			least, most := changeTimeout, time.Duration(0)
			for range 200 {
				d.hadContact = c.hadContact
				delay := d.reopenDelay(c.silence, c.fellSilent)
				least, most = min(least, delay), max(most, delay)
			}
			if slack := (c.most - c.least) / 20; least < c.least || least > c.least+slack || most > c.most || most < c.most-slack {
				t.Errorf("waits %v to %v, want %v to %v", least, most, c.least, c.most)
			}
		})
	}
}

// Where dials get no answer, those of calls that were given up end too: each holds a descriptor, and the system
// would go on for minutes.
func TestDialsOfAbandonedCallsEnd(t *testing.T) {
	l := listen(t)
	d := newTestDiscovery(1, l.Addr().String(), false)
	d.silenceTimeout, d.responseTimeout = 30*ms, 30*ms
	transport := d.client.Transport.(*http.Transport)
	dial := transport.DialContext
	var open, most atomic.Int32
	begun := make(chan struct{}, 64)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		n := open.Add(1)
		defer open.Add(-1)
		storeMax(&most, n)
		select {
		case begun <- struct{}{}:
		default:
		}
		return dial(ctx, network, addr)
	}
	fillBacklog(t, l)
	defer runDiscovery(d)()
	hangs := time.After(20 * sec)
	const calls = 20
	for i := range calls {
		select {
		case <-begun:
		case <-hangs:
			t.Fatalf("%d calls, want %d", i, calls)
		}
	}
	if most.Load() > calls/4 { // one that ends and one that begins; more where others have the cores
		t.Errorf("%d dials at once", most.Load())
	}
}

// storeMax sets a maximum.
func storeMax(most *atomic.Int32, n int32) {
	for was := most.Load(); n > was; was = most.Load() {
		if most.CompareAndSwap(was, n) {
			return
		}
	}
}

// fillBacklog fills a listener's queue, so that dials get no answer.
func fillBacklog(t *testing.T, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }), err); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c, err := (&net.Dialer{Timeout: 100 * ms}).DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			return
		}
		t.Cleanup(func() { closeQuietly(c) })
	}
}
