package protocol

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// Orders of two events that seldom come about by themselves; docs/crossings.md is the map.

// waysToLeave is a way in which a client goes.
var waysToLeave = map[string]func(c *peer){
	"an end":       func(c *peer) { c.Close() },
	"a half end":   func(c *peer) { _ = c.CloseWrite() },
	"a reset":      resetConnection,
	"data, an end": func(c *peer) { c.send("M 1\r\nM 2\r\n"); c.Close() },
}

// waitForFree waits until a balancer holds so many descriptors fewer than all.
func (y *testBalancer) waitForFree(want int) {
	y.t.Helper()
	for end := time.Now().Add(10 * sec); y.budget.Free() != want; time.Sleep(ms) {
		if time.Now().After(end) {
			y.t.Fatalf("%d descriptors are free, want %d", y.budget.Free(), want)
		}
	}
}

// unresponsiveListener is a server whose connections come up only once what stands in its queue is taken out.
func unresponsiveListener(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * sec))
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*ms)
		if err != nil {
			return l
		}
		t.Cleanup(func() { c.Close() })
	}
}

// waitForPendingConnect waits until a connection to a full server has been asked for and not come up.
func waitForPendingConnect(t *testing.T, l net.Listener) {
	t.Helper()
	waits := fmt.Sprintf(":%04X 02 ", l.Addr().(*net.TCPAddr).Port) // the kernel's table: the other side's port, and that it said nothing yet
	for end := time.Now().Add(10 * sec); ; time.Sleep(ms) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil || time.Now().After(end) {
			t.Fatal("no connection is asked for", err)
		}
		if strings.Contains(string(table), waits) {
			return
		}
	}
}

// A client that goes while it waits is not sent on, whatever it waited for and however it went, and all that it held is given back: the
// next one finds the balancer as if it had never come.
func TestClientLeavesWhileItWaits(t *testing.T) {
	const all = 100
	next := strings.Replace(openFlowLine, "1a", "9f", 1)
	for name, leave := range waysToLeave {
		t.Run("the pick, "+name, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			y := newTestBalancer(t, decide.NotIdempotent, all, 48, 200*ms, 2*sec, l.Addr().String()) // one set-up out at a time
			y.serve()
			first := y.client(strings.Replace(openFlowLine, "1a", "0e", 1))
			server, _ := accept(t, l)
			gone := y.client(openFlowLine)
			y.waitForFree(all - 4)
			leave(gone)
			y.waitForFree(all - 2) // noticed while it waits
			server.send("UP 77\r\n")
			first.want("UP 77")
			y.client(next)
			if _, line := accept(t, l); !strings.HasPrefix(line, "OPEN 9f ") {
				t.Errorf("the server gets %q", line)
			}
		})
		t.Run("the connect, "+name, func(t *testing.T) {
			t.Parallel()
			l := unresponsiveListener(t)
			y := newTestBalancer(t, decide.NotIdempotent, all, 1, 8*sec, 2*sec, l.Addr().String())
			y.serve()
			gone := y.client(strings.Replace(openFlowLine, "d=1500", "d=8000", 1))
			y.waitForFree(all - 2)
			leave(gone)
			y.waitForFree(all)
			taken, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			taken.Close()
			y.client(strings.Replace(next, "d=1500", "d=8000", 1))
			for { // what filled the queue says nothing
				if _, line := accept(t, l); strings.HasPrefix(line, "OPEN 9f ") {
					break
				} else if line != "EOF" {
					t.Fatalf("the server gets %q", line)
				}
			}
		})
		t.Run("the pause before a retry, "+name, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			y := startBalancer(t, decide.NotIdempotent, all, l.Addr().String())
			gone := y.client("OPEN 1a 2 c=live,at=s0\r\n")
			server, _ := accept(t, l)
			server.send("BUSY\r\n")
			server.want("EOF") // it waits to try again
			leave(gone)
			y.waitForFree(all)
			y.client(next)
			for {
				server, line := accept(t, l)
				if strings.HasPrefix(line, "OPEN 9f ") {
					break
				}
				server.send("BUSY\r\n") // a try from before it went
			}
		})
		t.Run("in the queue, "+name, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			y := newTestBalancer(t, decide.NotIdempotent, all, 1, 200*ms, 2*sec, l.Addr().String())
			const many = 40
			for i := range many { // all of them at once, as a hall that loses its way out
				c := y.client(strings.Replace(openFlowLine, "1a", fmt.Sprint("q", i), 1))
				leave(c)
			}
			y.serve()
			y.waitForFree(all)
			y.client(next)
			if _, line := accept(t, l); !strings.HasPrefix(line, "OPEN 9f ") {
				t.Errorf("a connection of a client that went before it was accepted; on it came %q", line)
			}
		})
	}
}

// starvedConn is a client's connection in a process short of its core. Its client leaves in the moment in which a given look is taken, and what
// reads from it does not run before that look is over. A look is known by its asking for the socket itself.
type starvedConn struct {
	*net.TCPConn
	leaveAt     int    // from which on the client is gone
	leave       func() // has the client go
	lineWasRead bool   // its line was read
	idleChecks  int
	released    chan struct{} // closed once the reader may run
}

func (s *starvedConn) Read(p []byte) (int, error) {
	if s.lineWasRead {
		select {
		case <-s.released:
		case <-time.After(10 * sec): // a test that hangs is to fail
			return 0, os.ErrDeadlineExceeded
		}
	}
	s.lineWasRead = true
	return s.TCPConn.Read(p)
}

func (s *starvedConn) SyscallConn() (syscall.RawConn, error) {
	if s.idleChecks++; s.idleChecks == s.leaveAt {
		s.leave()
		for transport.NewConn(s.TCPConn).IsIdle() { // until it has come
			time.Sleep(ms)
		}
		defer close(s.released)
	}
	return s.TCPConn.SyscallConn()
}

// Wherever a client's end has come and the one that would send runs before the one that reads: no attempt, first or further, begins, be it
// the asking for a connection or the first byte on it.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	const retry, again = "BUSY\r\n", "OPEN 1a 2 c=live,at=s0\r\n"
	for _, c := range []struct {
		name, line string
		answers    []string // of the server, to the attempts before
		up         bool     // a connection came up before the client left
	}{
		{"picked", openFlowLine, nil, false},
		{"come up", openFlowLine, nil, true},
		{"picked again", openFlowLine, []string{retry}, false},
		{"come up again", openFlowLine, []string{retry}, true},
		{"picked again after a reset", openFlowLine, []string{""}, false},
		{"the pause is over", again, []string{retry}, false},
		{"come up after the pause", again, []string{retry}, true},
	} {
		for way, leave := range waysToLeave {
			t.Run(c.name+", "+way, func(t *testing.T) {
				t.Parallel()
				l, front := listen(t), listen(t)
				y := newTestBalancer(t, decide.Idempotent, 100, 1, 8*sec, 2*sec, l.Addr().String(), l.Addr().String())
				raw, err := net.Dial("tcp", front.Addr().String())
				client := newPeer(t, raw, err)
				taken, err := front.Accept()
				if err != nil {
					t.Fatal(err)
				}
				client.send(c.line)
				s := &starvedConn{TCPConn: taken.(*net.TCPConn), leaveAt: 2*len(c.answers) + 1, leave: func() { leave(client) }, released: make(chan struct{})}
				if c.up {
					s.leaveAt++
				}
				done := make(chan struct{})
				go func() { defer close(done); y.frontend.Serve(transport.NewConn(s)) }()
				for _, a := range c.answers {
					server, line := accept(t, l)
					if !strings.HasPrefix(line, "OPEN 1a ") {
						t.Errorf("the server gets %q", line)
					}
					if server.send(a); a == "" {
						resetConnection(server)
					}
				}
				if c.up {
					if _, line := accept(t, l); line != "EOF" {
						t.Errorf("the server gets %q", line)
					}
				}
				<-done
				if s.idleChecks < s.leaveAt {
					t.Fatal("the client never left")
				}
				own, err := net.Dial("tcp", l.Addr().String()) // it stands behind all that came
				newPeer(t, own, err).send("last\r\n")
				if _, line := accept(t, l); line != "last" {
					t.Errorf("a connection of a client that is gone; on it came %q", line)
				}
			})
		}
	}
}

func resetConnection(c *peer) { _ = c.SetLinger(0); c.Close() }

// An agent that is silent has the list in the instant in which it can be asked again, and that counts as told: a balancer asleep then would
// send on to a server that drains. However long the silence, one watch follows at once on another.
func TestSilentAgentIsPolledAtOnce(t *testing.T) {
	const silences = 14
	asked := make(chan string, silences+2)
	var n atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if n.Add(1) > silences {
			fmt.Fprintln(w, object(9, true, member("a", "DRAINING"), member("b", "SERVING")))
			w.(http.Flusher).Flush()
		}
		asked <- q.URL.RawQuery
		<-q.Context().Done()
	}))
	defer agent.Close()
	d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, strings.TrimPrefix(agent.URL, "http://"), 1, false)
	d.silenceTimeout, d.answerTimeout = 30*ms, 30*ms
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	defer func() { cancel(); <-done }()
	hangs := time.After(10 * sec) // a gap that doubles up to 4 s takes thrice that
	for i := range silences + 1 {
		select {
		case <-asked:
		case <-hangs:
			t.Fatalf("asleep after %d silent watches", i)
		}
	}
	for d.revision.Load() != 9 {
		time.Sleep(ms)
	}
}

// How long a balancer sleeps between two watches, by who is asked and how the last one ended: with the whole next call it fits into the
// 6 s after which a change counts as told, and where all ask in the same instant it is spread over what is left of them.
func TestReopenDelay(t *testing.T) {
	const left = changeTimeout - applyTime - answerTimeout
	for _, c := range []struct {
		name          string
		asked, silent bool
		heard         bool
		mute          time.Duration
		least, most   time.Duration
	}{
		{"an agent, silent", false, true, true, silenceTimeout, 0, 0},
		{"an agent, silent from the start", false, true, false, answerTimeout, 0, 0},
		{"an agent, reset", false, false, true, sec, 0, agentReopenDelay},
		{"an agent, refused", false, false, false, 0, 0, agentReopenDelay},
		{"an agent, slow to refuse", false, false, false, 150 * ms, 0, 300 * ms},
		{"an agent that makes callers wait and turns them away", false, false, false, 2 * sec, 0, left - 2*sec},
		{"discovery, silent", true, true, true, silenceTimeout, 0, left - silenceTimeout},
		{"discovery, reset", true, false, true, sec, 0, left - sec},
		{"discovery, refused", true, false, false, 0, left / 2, left},
		{"discovery that gives no answer", true, true, false, answerTimeout, (left - answerTimeout) / 2, left - answerTimeout},
		{"discovery that turns callers away", true, false, false, 2 * sec, (left - 2*sec) / 2, left - 2*sec},
		{"a process that had no core for long", true, true, true, changeTimeout, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, "", 1, c.asked)
			least, most := changeTimeout, time.Duration(0)
			for range 200 {
				d.hadContact = c.heard
				wait := d.reopenDelay(c.mute, c.silent)
				least, most = min(least, wait), max(most, wait)
			}
			if slack := (c.most - c.least) / 20; least < c.least || least > c.least+slack || most > c.most || most < c.most-slack {
				t.Errorf("sleeps %v to %v, want %v to %v", least, most, c.least, c.most)
			}
		})
	}
}

// A list that is written over many lines is one object all the same, on a watch too, wherever it is cut; an end within it changes nothing.
func TestIndentedEndpointList(t *testing.T) {
	pretty := func(s string) string {
		return strings.ReplaceAll(strings.ReplaceAll(s, ",", ",\r\n\t"), "[", "[\n\n  ")
	}
	asked := make(chan string, 16)
	var n atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked <- q.URL.RawQuery
		say := func(s string) { fmt.Fprint(w, s); w.(http.Flusher).Flush() }
		half := pretty(object(7, false, member("a", "DRAINING")))
		switch n.Add(1) {
		case 1:
			say(pretty(object(5, true, member("a", "SERVING"))) + "\n\n" + pretty(object(6, false, member("b", "SERVING")))[:40])
			say(pretty(object(6, false, member("b", "SERVING")))[40:] + "\n" + half[:len(half)-9])
		case 2:
			say("\r\n" + half + "\r\n\r\n")
			<-q.Context().Done()
		}
	}))
	defer agent.Close()
	y := startBalancer(t, decide.Idempotent, 0)
	d := NewDiscovery(y.router, strings.TrimPrefix(agent.URL, "http://"), 1, false)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, want := range []string{"stream=1", "stream=1&index=6"} {
		select {
		case got := <-asked:
			if got != want {
				t.Errorf("asked for %q, want %q", got, want)
			}
		case <-time.After(10 * sec):
			t.Fatalf("%q was not asked for", want)
		}
	}
	for end := time.Now().Add(10 * sec); d.revision.Load() != 7; time.Sleep(ms) {
		if time.Now().After(end) {
			t.Fatalf("revision %d", d.revision.Load())
		}
	}
}

// An id that another process of this balancer has is no flow's here: it is kept as one that ended, and in time forgotten.
func TestIDTakenByOtherProcess(t *testing.T) {
	f := startBalancer(t, decide.Idempotent, 0).frontend
	f.ShareIDs(func(uint64) bool { return true })
	for i := range 2 * retiredIDs {
		if f.ClaimID(fmt.Sprint("x", i)) {
			t.Fatal("an id that the other process has is free here")
		}
	}
	if n := len(f.ids.taken); n > retiredIDs {
		t.Errorf("%d ids are kept, %d at most", n, retiredIDs)
	}
}

// Told to stop, the balancer answers whoever waits: to come again where nothing ran, and with no promise where it may have.
func TestStopAnswersWaitingClients(t *testing.T) {
	l := listen(t)
	y := newTestBalancer(t, decide.NotIdempotent, 100, 48, 200*ms, 2*sec, l.Addr().String())
	y.serve()
	out := y.client(openFlowLine)
	server, _ := accept(t, l) // the line went: it may run
	waits := y.client(strings.Replace(openFlowLine, "1a", "2b", 1))
	y.waitForFree(96)
	half := y.client("OPEN 7 2 c=li")
	dumb := y.client("")
	y.waitForFree(94)
	y.frontend.Stop()
	out.want("ERR " + errMayHaveRun.Error())
	for _, c := range []*peer{waits, half, dumb} {
		c.want("BUSY 700")
		c.want("EOF")
	}
	server.want("EOF")
	y.client(strings.Replace(openFlowLine, "1a", "3c", 1)).want("BUSY 700")
}

// A repeat is chosen within the window in which servers drop repeats, and its connection comes up after it: the line must not go on, as it could
// take effect a second time.
func TestRetryEstablishedPastItsWindow(t *testing.T) {
	first, late := listen(t), unresponsiveListener(t)
	y := newTestBalancer(t, decide.IdempotentByKey, 100, 1, 8*sec, 300*ms, first.Addr().String())
	y.serve()
	client := y.client(strings.Replace(openFlowLine, "d=1500", "d=8000", 1))
	server, _ := accept(t, first)
	news := y.router.BeginUpdate(routing.DeltaUpdate)
	news.AddEndpoint(routing.Endpoint{Name: "late", Addr: late.Addr().String(), Zone: "z", Size: 1})
	news.Commit(t.Context())
	waysToLeave["a reset"](server) // it may have run
	waitForPendingConnect(t, late)
	if _, err := late.Accept(); err != nil { // there is room from now on: the connection comes up when it is asked for again, a second later
		t.Fatal(err)
	}
	came := make(chan string, 1)
	go func() {
		for {
			c, err := late.Accept()
			if err != nil {
				return
			}
			if line, _ := bufio.NewReader(c).ReadString('\n'); line != "" {
				came <- line
			}
			c.Close()
		}
	}()
	client.want("BUSY 700") // who drops repeats makes coming again harmless
	client.want("EOF")
	select {
	case line := <-came:
		t.Errorf("past the window the server gets %q", line)
	default:
	}
}

// A verdict that is picked up after its time: nothing is sent on, as the time counts from the verdict and not from when somebody came by.
func TestDecisionPickedUpLate(t *testing.T) {
	l := listen(t)
	y := newTestBalancer(t, decide.NotIdempotent, 100, 1, 8*sec, 2*sec, l.Addr().String())
	flow, err := y.router.OpenFlow(routing.FlowRequest{Service: "live", Timeout: 40 * ms})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * ms) // past its time
	choice, err := flow.AwaitDecision(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	s := &session{frontend: y.frontend, client: transport.NewConn(a), openLine: strings.TrimSpace(openFlowLine), flow: flow, settled: make(chan struct{})}
	if up, o := s.attempt(context.Background(), choice.Addr, choice.Deadline); up != "" || o != decide.NeverSent {
		t.Errorf("outcome %v", o)
	}
}
