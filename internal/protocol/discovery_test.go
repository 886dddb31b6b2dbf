package protocol

import (
	"bufio"
	"bytes"
	"context"
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
	"testing"
	"testing/synctest"
	"time"
)

const responseHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"

// discoveryCall is how the test's discovery responds to one request, byte by byte. It records when it last signalled
// that all changes so far have been sent: this response does not contain later changes.
type discoveryCall struct {
	name      string
	respond   func(c io.Writer, upToDate *timestamp)
	staysOpen bool // the connection stays open without further bytes
}

func (k discoveryCall) serve(c net.Conn, upToDate *timestamp) {
	defer closeQuietly(c)
	upToDate.setNow()
	if k.respond != nil {
		k.respond(c, upToDate)
	}
	if k.staysOpen {
		_, _ = io.Copy(io.Discard, c) // until the balancer gives up
	}
}

// respondWith writes a text. It ignores the error, as the balancer may have closed the connection.
func respondWith(text string) func(io.Writer, *timestamp) {
	return func(c io.Writer, _ *timestamp) { _, _ = io.WriteString(c, text) }
}

// writeUpToDate writes a text that signals that all changes so far have been sent.
func writeUpToDate(c io.Writer, upToDate *timestamp, text string) {
	if _, err := io.WriteString(c, text); err == nil {
		upToDate.setNow()
	}
}

// timestamp is set by the goroutine of one request and read by that of the next.
type timestamp struct{ at atomic.Int64 }

func (t *timestamp) setNow() { t.at.Store(time.Now().UnixNano()) }

func (t *timestamp) since() time.Duration { return time.Since(time.Unix(0, t.at.Load())) }

var changedList = object(9, false, member("a", "DRAINING"), member("b", "SERVING"))

// failingCalls are responses without a valid list, or that stall.
var failingCalls = []discoveryCall{
	{"closed at once", nil, false},
	{"no response", nil, true},
	{"rejected", respondWith("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), false},
	{"unexpected status", respondWith("HTTP/1.1 299 Whatever\r\nContent-Length: 2\r\n\r\n{}"), false},
	{"redirected", respondWith("HTTP/1.1 302 Found\r\nLocation: http://elsewhere/discovery/hosts\r\n" +
		"Content-Length: 0\r\n\r\n"), false},
	{"rejected after a delay", func(c io.Writer, _ *timestamp) {
		time.Sleep(2 * sec)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	}, false},
	{"closed in the headers", respondWith(responseHeader[:30]), false},
	{"silent in the headers", respondWith(responseHeader[:30]), true},
	{"silent after the headers", func(c io.Writer, upToDate *timestamp) { writeUpToDate(c, upToDate, responseHeader) }, true},
	{"silent after two heartbeats", func(c io.Writer, upToDate *timestamp) {
		writeUpToDate(c, upToDate, responseHeader)
		for range 2 {
			time.Sleep(heartbeatInterval)
			writeUpToDate(c, upToDate, "\n")
		}
	}, true},
	{"closed in the body", respondWith(responseHeader + changedList[:40]), false},
	{"silent in the body after a delay", func(c io.Writer, _ *timestamp) {
		time.Sleep(2 * sec)
		_, _ = io.WriteString(c, responseHeader+changedList[:40])
	}, true},
	{"silent in a later object", func(c io.Writer, upToDate *timestamp) {
		writeUpToDate(c, upToDate, responseHeader+"\n")
		time.Sleep(heartbeatInterval)
		writeUpToDate(c, upToDate, changedList[:40])
	}, true},
	{"a body that trickles", func(c io.Writer, _ *timestamp) {
		_, err := io.WriteString(c, responseHeader+`{"revision":9,`)
		for ; err == nil; time.Sleep(sec / 2) {
			_, err = io.WriteString(c, " ")
		}
	}, false},
	{"list of the wrong type", respondWith(responseHeader + `{"revision":9,"complete":true,"members":{"a":1}}` + "\n"), true},
}

// A change takes effect within 6 s of the time at which discovery has it and can be reached, after any sequence of two
// or three failed requests. In the worst case, which is tested, the change occurs just after the last signal of the
// last failed request that all changes have been sent, and discovery holds the next request for the full 2 s. The test
// uses synctest's fake clock and real HTTP over in-memory connections, so that it does not depend on the machine's
// speed.
func TestChangeTakesEffectInTime(t *testing.T) {
	recordLogs(t) // keeps thousands of lines out of the test's output
	var sequences [][]discoveryCall
	for _, first := range failingCalls {
		for _, second := range failingCalls {
			sequences = append(sequences, []discoveryCall{first, second})
			for _, third := range failingCalls {
				sequences = append(sequences, []discoveryCall{first, second, third})
			}
		}
	}
	for _, isDirect := range []bool{false, true} {
		t.Run(fmt.Sprint("direct ", isDirect), func(t *testing.T) {
			const mostReported = 10
			longest, late := time.Duration(0), 0
			for i, sequence := range sequences {
				took := timeToApplyChange(t, uint64(i), isDirect, sequence)
				longest = max(longest, took)
				if took <= changeTimeout-applyTime {
					continue
				}
				if late++; late <= mostReported {
					t.Errorf("applied after %v: %v", took, callNames(sequence))
				}
			}
			t.Logf("%d sequences, %d late, %v at most", len(sequences), late, longest)
		})
	}
}

func callNames(calls []discoveryCall) (names []string) {
	for _, call := range calls {
		names = append(names, call.name)
	}
	return names
}

// timeToApplyChange fails requests in the given ways and then delivers the change in response to one that it holds for
// 2 s. It returns the time from the change to its application.
func timeToApplyChange(t *testing.T, seed uint64, isDirect bool, before []discoveryCall) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDiscovery(seed, "discovery:80", isDirect)
		if err := d.LoadCached([]byte(object(5, true, member("a", "SERVING")))); err != nil {
			t.Fatal(err)
		}
		var upToDate timestamp
		var calls atomic.Int32
		var once sync.Once
		applied := make(chan struct{})
		serveCall := func(number int, c net.Conn) {
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return // cancelled before the request was written
			}
			if q.Host != "discovery:80" || number <= len(before) && q.FormValue("index") != "5" {
				t.Errorf("%v: unexpected request %d to %s for %s", callNames(before), number, q.Host, q.URL)
			}
			if number < len(before) {
				before[number].serve(c, &upToDate)
				return
			}
			time.Sleep(2 * sec)
			_, _ = io.WriteString(c, responseHeader+changedList+"\n")
			_, _ = io.WriteString(c, "\n") // is read only after the object was applied, as the connection has no buffer
			once.Do(func() {
				took = upToDate.since()
				close(applied)
			})
			_, _ = io.Copy(io.Discard, c)
			closeQuietly(c)
		}
		d.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			number := int(calls.Add(1)) - 1
			go serveCall(number, far)
			return near, nil
		}
		stop := runDiscovery(d)
		select {
		case <-applied:
			if d.revision.Load() != 9 {
				t.Errorf("%v: revision %d, want 9", callNames(before), d.revision.Load())
			}
		case <-time.After(600 * sec):
			t.Errorf("%v: never applied", callNames(before))
		}
		stop()
	})
	return took
}

// logRecorder records the log during a test.
type logRecorder struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{} // signalled at each write
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
	for timeout := time.After(20 * sec); !strings.Contains(r.String(), want); {
		select {
		case <-r.written:
		case <-timeout:
			t.Fatalf("%q was not logged:\n%s", want, r)
		}
	}
}

// recordLogs records the log until the end of the test.
func recordLogs(t *testing.T) *logRecorder {
	t.Helper()
	r := &logRecorder{written: make(chan struct{}, 1)}
	previous, flags := slog.Default(), log.Flags()
	slog.SetDefault(slog.New(slog.NewTextHandler(r, nil)))
	t.Cleanup(func() {
		slog.SetDefault(previous)
		log.SetOutput(os.Stderr) // slog.SetDefault redirected log to slog, and previous writes to log
		log.SetFlags(flags)
	})
	return r
}

// Repeated invalid responses of each kind, over real connections, log one error that contains the cause and the
// address. The current list is kept until a valid one is received.
func TestBadListIsLoggedOnce(t *testing.T) {
	tooMany := strings.Repeat(`{"id":"s","phase":"SERVING"},`, maxServers) + `{"id":"s","phase":"SERVING"}`
	tooManyError := fmt.Sprintf("%d members, %d at most", maxServers+1, maxServers)
	endlessHeaders := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes)
	endlessObject := `{"revision":9,"complete":true,"members":[` + strings.Repeat(" ", maxListBytes)
	for _, c := range []badResponse{
		{failingCalls[0], "EOF"},
		{failingCalls[1], errDiscoverySilent.Error()},
		{failingCalls[2], "503 Service Unavailable"},
		{failingCalls[3], "299 Whatever"},
		{failingCalls[4], `302 Found to \"http://elsewhere/discovery/hosts\", which is not followed`},
		{failingCalls[6], "unexpected EOF"},
		{failingCalls[7], errDiscoverySilent.Error()},
		{failingCalls[10], "unexpected EOF"},
		{discoveryCall{"silent in the body", respondWith(responseHeader + changedList[:40]), true}, errDiscoverySilent.Error()},
		{failingCalls[14], "members is missing or of the wrong type"},
		{discoveryCall{"not HTTP", respondWith("hello\r\n"), false}, "malformed HTTP response"},
		{discoveryCall{"a page", respondWith(responseHeader + "<html>"), false}, "invalid character"},
		{discoveryCall{"endless headers", respondWith(endlessHeaders), false}, "headers exceeded"},
		{discoveryCall{"an endless object", respondWith(responseHeader + endlessObject), false}, errListTooLong.Error()},
		{discoveryCall{"too many", respondWith(responseHeader + object(9, true, tooMany)), false}, tooManyError},
	} {
		t.Run(c.name, c.run)
	}
}

// badResponse is a failing response, and the cause that the log must contain.
type badResponse struct {
	discoveryCall
	cause string
}

func (c badResponse) run(t *testing.T) {
	l := listen(t)
	logged := recordLogs(t)
	d := newTestDiscovery(1, l.Addr().String(), false)
	d.silenceTimeout, d.responseTimeout = time.Minute, time.Minute
	if c.cause == errDiscoverySilent.Error() {
		d.silenceTimeout, d.responseTimeout = 50*ms, 50*ms
	}
	if err := d.LoadCached([]byte(object(5, true, member("a", "SERVING")))); err != nil {
		t.Fatal(err)
	}
	defer runDiscovery(d)()
	for range 3 {
		conn, query := nextCall(t, l)
		if query != "stream=1&index=5" {
			t.Errorf("query %q", query)
		}
		c.serve(conn, new(timestamp))
	}
	// On a slow machine the balancer may cancel a request or two, so each one gets a response, which is kept open.
	go serveConnections(l, func(conn net.Conn) {
		_, _ = io.WriteString(conn, responseHeader+changedList+"\n")
		<-t.Context().Done()
	})
	logged.wait(t, "endpoint watch recovered")
	got := logged.String()
	n := strings.Count(got, "endpoint watch lost")
	if n != 1 || !strings.Contains(got, c.cause) || !strings.Contains(got, l.Addr().String()) {
		t.Errorf("%d errors, want one that contains %q and %v:\n%s", n, c.cause, l.Addr(), got)
	}
	if d.revision.Load() != 9 {
		t.Errorf("revision %d, want 9", d.revision.Load())
	}
}

// nextCall accepts the next request and returns its connection and query.
func nextCall(t *testing.T, l net.Listener) (net.Conn, string) {
	t.Helper()
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * sec)) // fails a test that hangs
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
