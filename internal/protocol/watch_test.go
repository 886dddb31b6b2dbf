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

// newTestDiscovery returns a Discovery whose router accepts lists but no flows.
func newTestDiscovery(seed uint64, addr string, isDirect bool) *Discovery {
	configure := func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
		b.ConfigureEndpoints(decide.EndpointSettings{Polled: isDirect, MaxPollInterval: 10 * sec, MessageTarget: sec})
		return nil, nil
	}
	return NewDiscovery(routing.New(routing.Config{Seed: 1, Configure: configure}), addr, seed, isDirect)
}

// runDiscovery runs d until stop is called.
func runDiscovery(d *Discovery) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	return func() { cancel(); <-done }
}

// writeAndFlush writes without buffering. It ignores errors, as the client may have disconnected.
func writeAndFlush(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// wantReceived checks the next value of a channel.
func wantReceived(t *testing.T, from <-chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	case <-time.After(hangTimeout):
		t.Fatalf("%q was not received", want)
	}
}

// A watch that is closed, is rejected, sends invalid data or falls silent is reopened from the current revision.
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
			<-q.Context().Done() // silent until the balancer gives up
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

// A new address replaces the current one at once, and the complete list is requested there, as it may count revisions
// differently. The current list is kept while the new address is silent. Setting the same address again has no effect.
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

// wantFlowsTo waits until flows go to an address, as a list that was sent is not applied at once.
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
		b.t.Fatalf("flows go to %q, want %q", got, want)
	}
}

// A silent agent has the list as soon as it can be called again, and from then on the list counts as received: a
// balancer that waited would send flows to a server that drains. So however long the silence, a watch is reopened at
// once.
func TestSilentAgentIsCalledAgainAtOnce(t *testing.T) {
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
	timeout := time.After(10 * sec) // a backoff that doubles up to 4 s would take thrice that
	for i := range silences + 1 {
		select {
		case <-calls:
		case <-timeout:
			t.Fatalf("no request after %d silent watches", i)
		}
	}
	for d.revision.Load() != 9 {
		time.Sleep(ms)
	}
}

// The delay before a watch is reopened depends on whether discovery or an agent is called and on how the last watch
// failed. With a complete next request it fits into changeTimeout. Where all balancers call at the same moment, it is
// spread over the time that is left.
func TestReopenDelay(t *testing.T) {
	const left = changeTimeout - applyTime - responseTimeout
	for _, c := range []struct {
		name                 string
		isDirect, fellSilent bool
		hadContact           bool
		silence              time.Duration
		least, most          time.Duration
	}{
		{"an agent, silent", false, true, true, silenceTimeout, 0, 0},
		{"an agent, silent from the start", false, true, false, responseTimeout, 0, 0},
		{"an agent, reset", false, false, true, sec, 0, agentReopenDelay},
		{"an agent, refused", false, false, false, 0, 0, agentReopenDelay},
		{"an agent, slow to refuse", false, false, false, 150 * ms, 0, 300 * ms},
		{"an agent that rejects requests after a delay", false, false, false, 2 * sec, 0, left - 2*sec},
		{"discovery, silent", true, true, true, silenceTimeout, 0, left - silenceTimeout},
		{"discovery, reset", true, false, true, sec, 0, left - sec},
		{"discovery, refused", true, false, false, 0, left / 2, left},
		{"discovery that gives no response", true, true, false, responseTimeout, (left - responseTimeout) / 2, left - responseTimeout},
		{"discovery that rejects requests after a delay", true, false, false, 2 * sec, (left - 2*sec) / 2, left - 2*sec},
		{"a process without CPU time for long", true, true, true, changeTimeout, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, "", 1, c.isDirect)
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

// If dials get no reply, those of cancelled requests end soon: each holds a descriptor, and the system would keep
// trying for minutes.
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
	timeout := time.After(20 * sec)
	const calls = 20
	for i := range calls {
		select {
		case <-begun:
		case <-timeout:
			t.Fatalf("%d dials were begun, want %d", i, calls)
		}
	}
	if most.Load() > calls/4 { // usually one that ends and one that begins; more on a busy machine
		t.Errorf("%d dials were open at once", most.Load())
	}
}

// storeMax sets most to n if n is greater.
func storeMax(most *atomic.Int32, n int32) {
	for was := most.Load(); n > was; was = most.Load() {
		if most.CompareAndSwap(was, n) {
			return
		}
	}
}

// fillBacklog fills a listener's accept queue, so that dials get no reply.
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
