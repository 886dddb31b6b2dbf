package protocol

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// newTestDiscovery is a Discovery whose balancer takes lists and serves nobody.
func newTestDiscovery(seed uint64, addr string, asked bool) *Discovery {
	return NewDiscovery(routing.New(routing.Config{Seed: 1, Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
		b.ConfigureEndpoints(decide.EndpointSettings{Polled: asked, MaxPollInterval: 10 * sec, MessageTarget: sec})
		return nil, nil
	}}), addr, seed, asked)
}

// runDiscovery has it watch until the stop that is returned.
func runDiscovery(d *Discovery) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	return func() { cancel(); <-done }
}

const responseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"

// A call is how the stand-in deals with one, by the bytes that it writes. It notes in since the last instant at which it told that all is
// told: what changes later this call leaves out.
type discoveryCall struct {
	name      string
	respond   func(c io.Writer, since *instant)
	staysOpen bool // the connection stays open and silent
}

func (k discoveryCall) serve(c net.Conn, since *instant) {
	since.now()
	if k.respond != nil {
		k.respond(c, since)
	}
	if k.staysOpen {
		_, _ = io.Copy(io.Discard, c) // until it is given up
	}
	c.Close()
}

func respondWith(text string) func(io.Writer, *instant) {
	return func(c io.Writer, _ *instant) { _, _ = io.WriteString(c, text) } // whoever asked may be gone
}

// signOfLife is a sign of life: all that changed so far is told.
func signOfLife(c io.Writer, since *instant, text string) {
	if _, err := io.WriteString(c, text); err == nil {
		since.now()
	}
}

// instant is noted by one call and read by the next.
type instant struct{ at atomic.Int64 }

func (i *instant) now()                 { i.at.Store(time.Now().UnixNano()) }
func (i *instant) since() time.Duration { return time.Since(time.Unix(0, i.at.Load())) }

var changedList = object(9, false, member("a", "DRAINING"), member("b", "SERVING"))

// Calls that bring nothing, or no more after a time.
var futileCalls = []discoveryCall{
	{"ended at once", nil, false},
	{"no answer", nil, true},
	{"refused", respondWith("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), false},
	{"a status nobody expects", respondWith("HTTP/1.1 299 Whatever\r\nContent-Length: 2\r\n\r\n{}"), false},
	{"redirected", respondWith("HTTP/1.1 302 Found\r\nLocation: http://elsewhere/discovery/hosts\r\nContent-Length: 0\r\n\r\n"), false},
	{"turned away after a wait", func(c io.Writer, _ *instant) {
		time.Sleep(2 * sec)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}, false},
	{"cut in the headers", respondWith(responseHeader[:30]), false},
	{"silent in the headers", respondWith(responseHeader[:30]), true},
	{"silent after the headers", func(c io.Writer, since *instant) { signOfLife(c, since, responseHeader) }, true},
	{"silent after two signs of life", func(c io.Writer, since *instant) {
		signOfLife(c, since, responseHeader)
		for range 2 {
			time.Sleep(heartbeatInterval)
			signOfLife(c, since, "\n")
		}
	}, true},
	{"cut in the body", respondWith(responseHeader + changedList[:40]), false},
	{"silent in the body after a wait", func(c io.Writer, _ *instant) {
		time.Sleep(2 * sec)
		_, _ = io.WriteString(c, responseHeader+changedList[:40])
	}, true},
	{"silent in a later object", func(c io.Writer, since *instant) {
		signOfLife(c, since, responseHeader+"\n")
		time.Sleep(heartbeatInterval)
		signOfLife(c, since, changedList[:40])
	}, true},
	{"a body that trickles", func(c io.Writer, _ *instant) {
		_, err := io.WriteString(c, responseHeader+`{"revision":9,`)
		for ; err == nil; time.Sleep(sec / 2) {
			_, err = io.WriteString(c, " ")
		}
	}, false},
	{"a list of the wrong kind", respondWith(responseHeader + `{"revision":9,"complete":true,"members":{"a":1}}` + "\n"), true},
}

// From the instant in which discovery has a change and can be reached it is acted on within 6 s, whatever came before. The change is had
// just after the last word of the last call that failed; the call after that one waits for as long as discovery may let it wait. Time is the
// bubble's: HTTP is real, its connections are in memory, so that no machine is too slow for it.
func TestChangeTakesEffectInTime(t *testing.T) {
	recordLogs(t) // thousands of them
	var sequences [][]discoveryCall
	for _, a := range futileCalls {
		for _, b := range futileCalls {
			sequences = append(sequences, []discoveryCall{a, b})
			for _, c := range futileCalls {
				sequences = append(sequences, []discoveryCall{a, b, c})
			}
		}
	}
	for _, asked := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", asked), func(t *testing.T) {
			longest, late := time.Duration(0), 0
			for i, s := range sequences {
				took := changeAfter(t, uint64(i), asked, s)
				if longest = max(longest, took); took > changeTimeout-applyTime {
					if late++; late <= 10 {
						t.Errorf("told after %v: %v", took, callNames(s))
					}
				}
			}
			t.Logf("%d sequences, %d late, %v at most", len(sequences), late, longest)
		})
	}
}

func callNames(s []discoveryCall) (all []string) {
	for _, k := range s {
		all = append(all, k.name)
	}
	return all
}

// changeAfter plays calls that fail and then one that waits for 2 s and brings the change; it returns how long it took from when it was there.
func changeAfter(t *testing.T, seed uint64, asked bool, before []discoveryCall) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDiscovery(seed, "discovery:80", asked)
		if err := d.LoadCached([]byte(object(5, true, member("a", "SERVING")))); err != nil {
			t.Fatal(err)
		}
		var since instant
		var calls atomic.Int32
		var once sync.Once
		taken := make(chan struct{})
		d.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
			near, c := net.Pipe()
			k := int(calls.Add(1)) - 1
			go func() {
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return // given up before it was written
				}
				if q.Host != "discovery:80" || k <= len(before) && q.FormValue("index") != "5" {
					t.Errorf("%v: call %d asks %s for %s", callNames(before), k, q.Host, q.URL)
				}
				if k < len(before) {
					before[k].serve(c, &since)
					return
				}
				time.Sleep(2 * sec)
				_, _ = io.WriteString(c, responseHeader+changedList+"\n")
				_, _ = io.WriteString(c, "\n") // read once the object was taken: the connection holds nothing back
				once.Do(func() {
					took = since.since()
					close(taken)
				})
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}()
			return near, nil
		}
		stop := runDiscovery(d)
		select {
		case <-taken:
			if d.revision.Load() != 9 {
				t.Errorf("%v: revision %d", callNames(before), d.revision.Load())
			}
		case <-time.After(600 * sec):
			t.Errorf("%v: never told", callNames(before))
		}
		stop()
	})
	return took
}

// logRecorder is what is logged during a test.
type logRecorder struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{} // something
}

func (r *logRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.written <- struct{}{}:
	default:
	}
	return r.text.Write(p)
}

func (r *logRecorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

func (r *logRecorder) wait(t *testing.T, want string) {
	t.Helper()
	for hangs := time.After(20 * sec); !strings.Contains(r.String(), want); {
		select {
		case <-r.written:
		case <-hangs:
			t.Fatalf("%q was not logged:\n%s", want, r)
		}
	}
}

func recordLogs(t *testing.T) *logRecorder {
	r := &logRecorder{written: make(chan struct{}, 1)}
	was, flags := slog.Default(), log.Flags()
	slog.SetDefault(slog.New(slog.NewTextHandler(r, nil)))
	t.Cleanup(func() {
		slog.SetDefault(was)
		log.SetOutput(os.Stderr) // both were led to each other
		log.SetFlags(flags)
	})
	return r
}

// Bad input of each kind, over real connections, again and again: one error in the log that names what and where, and what is held stays
// until a list comes that can be taken.
func TestBadListIsLoggedOnce(t *testing.T) {
	many := strings.Repeat(`{"id":"s","phase":"SERVING"},`, maxServers) + `{"id":"s","phase":"SERVING"}`
	for _, c := range []struct {
		discoveryCall
		names string
	}{
		{futileCalls[0], "EOF"},
		{futileCalls[1], errDiscoverySilent.Error()},
		{futileCalls[2], "503 Service Unavailable"},
		{futileCalls[3], "299 Whatever"},
		{futileCalls[4], `302 Found to \"http://elsewhere/discovery/hosts\", which is not followed`},
		{futileCalls[6], "unexpected EOF"},
		{futileCalls[7], errDiscoverySilent.Error()},
		{futileCalls[10], "unexpected EOF"},
		{discoveryCall{"silent in the body", respondWith(responseHeader + changedList[:40]), true}, errDiscoverySilent.Error()},
		{futileCalls[14], "members is missing or of the wrong kind"},
		{discoveryCall{"no HTTP", respondWith("hello\r\n"), false}, "malformed HTTP response"},
		{discoveryCall{"a page", respondWith(responseHeader + "<html>"), false}, "invalid character"},
		{discoveryCall{"endless headers", respondWith("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes)), false}, "headers exceeded"},
		{discoveryCall{"an endless object", respondWith(responseHeader + `{"revision":9,"complete":true,"members":[` + strings.Repeat(" ", maxListBytes)), false}, errListTooLong.Error()},
		{discoveryCall{"too many", respondWith(responseHeader + object(9, true, many)), false}, fmt.Sprintf("%d members, %d at most", maxServers+1, maxServers)},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			said := recordLogs(t)
			d := newTestDiscovery(1, l.Addr().String(), false)
			if d.silenceTimeout, d.answerTimeout = time.Minute, time.Minute; c.names == errDiscoverySilent.Error() {
				d.silenceTimeout, d.answerTimeout = 50*ms, 50*ms
			}
			if err := d.LoadCached([]byte(object(5, true, member("a", "SERVING")))); err != nil {
				t.Fatal(err)
			}
			defer runDiscovery(d)()
			for range 3 {
				conn, asked := nextCall(t, l)
				if asked != "stream=1&index=5" {
					t.Errorf("asks for %q", asked)
				}
				c.serve(conn, new(instant))
			}
			go func() { // each one: whoever is short of its core gives up one or two
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					_, _ = io.WriteString(c, responseHeader+changedList+"\n")
				}
			}()
			said.wait(t, "endpoint watch recovered")
			got := said.String()
			if n := strings.Count(got, "endpoint watch lost"); n != 1 || !strings.Contains(got, c.names) || !strings.Contains(got, l.Addr().String()) {
				t.Errorf("%d errors, want one that names %q and %v:\n%s", n, c.names, l.Addr(), got)
			}
			if d.revision.Load() != 9 {
				t.Errorf("revision %d", d.revision.Load())
			}
		})
	}
}

// nextCall takes the next call and tells what it asks for.
func nextCall(t *testing.T, l net.Listener) (net.Conn, string) {
	t.Helper()
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * sec)) // bounds a hang
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		t.Fatal(err)
	}
	return c, q.URL.RawQuery
}

// Where calls to connect get no answer, those of calls given up end too: each holds a descriptor, and the system would go on for minutes.
func TestDialsOfAbandonedCallsEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := newTestDiscovery(1, l.Addr().String(), false)
	d.silenceTimeout, d.answerTimeout = 30*ms, 30*ms
	transport := d.client.Transport.(*http.Transport)
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	var open, most atomic.Int32
	begun := make(chan struct{}, 64)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		n := open.Add(1)
		defer open.Add(-1)
		for was := most.Load(); n > was && !most.CompareAndSwap(was, n); was = most.Load() {
		}
		select {
		case begun <- struct{}{}:
		default:
		}
		return dial(ctx, network, addr)
	}
	fillQueue(t, l)
	defer runDiscovery(d)()
	hangs := time.After(20 * sec)
	const calls = 20
	for i := range calls {
		select {
		case <-begun:
		case <-hangs:
			t.Fatalf("%d calls", i)
		}
	}
	if most.Load() > calls/4 { // one that ends and one that begins; more where others have the cores
		t.Errorf("%d dials at once", most.Load())
	}
}

// fillQueue has a listener's queue full, so that calls to connect get no answer.
func fillQueue(t *testing.T, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }), err); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*ms)
		if err != nil {
			return
		}
		t.Cleanup(func() { c.Close() })
	}
}

// All ask one discovery, as all start at once or as it comes back after 8 s of silence. One that can tell all in 3.5 s tells all in time: asked
// in step, or again too soon, it turns away those whom it could have told. For one that can't see TestOverbookedDiscoveryTellsAllInTheEnd.
func TestManyBalancersOnOneDiscovery(t *testing.T) {
	recordLogs(t)
	for _, many := range []int{80, 300} {
		for _, down := range []time.Duration{0, 8 * sec} {
			t.Run(fmt.Sprintf("%d, down for %v", many, down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					service := &overloadedDiscovery{serviceTime: 3500 * ms / time.Duration(many), maxWait: 2 * sec}
					back := time.Now().Add(down)
					var told atomic.Int32
					var stops []func()
					for i := range many {
						d := newTestDiscovery(uint64(i), "nowhere", true)
						d.client.Transport = roundTrip(func(q *http.Request) (*http.Response, error) {
							if time.Now().Before(back) {
								<-q.Context().Done()
								return nil, context.Cause(q.Context())
							}
							a, err := service.RoundTrip(q)
							if err == nil && a.StatusCode == http.StatusOK {
								told.Add(1) // whoever is told asks no more
							}
							return a, err
						})
						stops = append(stops, runDiscovery(d))
					}
					time.Sleep(down + changeTimeout)
					if n := int(told.Load()); n != many {
						t.Errorf("%d of %d were told within %v", n, many, changeTimeout)
					}
					for _, stop := range stops {
						stop()
					}
				})
			})
		}
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(q *http.Request) (*http.Response, error) { return r(q) }
