package protocol

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// These tests cover orders of two events that seldom come about by themselves; docs/races.md lists them.

// clientDepartures are how a client may leave.
var clientDepartures = map[string]func(client *peer){
	"an end":       (*peer).close,
	"a half end":   func(c *peer) { _ = c.CloseWrite() },
	"a reset":      (*peer).reset,
	"data, an end": func(c *peer) { c.send("M 1\r\nM 2\r\n"); c.close() },
}

// listenWithFullBacklog is a server whose queue is full: connections come up only once others are taken out.
func listenWithFullBacklog(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer closeQuietly(f) // net.FileListener makes a descriptor of its own
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
	t.Cleanup(func() { closeQuietly(l) })
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(hangTimeout))
	for { // until one does not come up
		c, err := (&net.Dialer{Timeout: 100 * ms}).DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			return l
		}
		t.Cleanup(func() { closeQuietly(c) })
	}
}

// waitForPendingConnect waits until a connection to an unresponsive listener was requested and has not come up.
func waitForPendingConnect(t *testing.T, l net.Listener) {
	t.Helper()
	// As the kernel lists it: the remote port and the state.
	synSent := fmt.Sprintf(":%04X 02 ", l.Addr().(*net.TCPAddr).Port)
	for end := time.Now().Add(hangTimeout); ; time.Sleep(ms) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil || time.Now().After(end) {
			t.Fatal("no connection was requested", err)
		}
		if strings.Contains(string(table), synSent) {
			return
		}
	}
}

// A client that leaves while it waits is not forwarded, whatever it waited for and however it left, and all that
// it held is given back: the next client finds the balancer as if the first had never come.
func TestClientLeavesWhileItWaits(t *testing.T) {
	for departure, leave := range clientDepartures {
		for waitsFor, test := range map[string]func(t *testing.T, leave func(*peer)){
			"a decision":               clientLeavesBeforeDecision,
			"a connection":             clientLeavesBeforeConnection,
			"the pause before a retry": clientLeavesBeforeRetry,
			"the accept":               clientsLeaveBeforeAccept,
		} {
			t.Run(waitsFor+", "+departure, func(t *testing.T) {
				t.Parallel()
				test(t, leave)
			})
		}
	}
}

const allDescriptors = 100

func clientLeavesBeforeDecision(t *testing.T, leave func(*peer)) {
	l := listen(t)
	settings := defaultSettings(decide.NotIdempotent, allDescriptors)
	settings.balancers = 48 // one connection set-up at a time
	b := newTestBalancer(t, settings, l.Addr().String())
	b.serve()
	first := b.client(withID("0e"))
	server, _ := accept(t, l)
	leaving := b.client(openFlowLine)
	b.waitForFree(allDescriptors - 4)
	leave(leaving)
	b.waitForFree(allDescriptors - 2) // noticed while it waits
	server.send("UP 77\r\n")
	first.want("UP 77")
	b.client(withID("9f"))
	wantNextFlow(t, l)
}

func clientLeavesBeforeConnection(t *testing.T, leave func(*peer)) {
	l := listenWithFullBacklog(t)
	settings := defaultSettings(decide.NotIdempotent, allDescriptors)
	settings.connectTimeout = 8 * sec
	b := newTestBalancer(t, settings, l.Addr().String())
	b.serve()
	leaving := b.client(withLongTimeout(openFlowLine))
	b.waitForFree(allDescriptors - 2)
	leave(leaving)
	b.waitForFree(allDescriptors)
	queued, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeQuietly(queued)
	b.client(withLongTimeout(withID("9f")))
	for { // the connections that filled the queue send nothing
		if _, line := accept(t, l); strings.HasPrefix(line, "OPEN 9f ") {
			break
		} else if line != "EOF" {
			t.Fatalf("the server got %q", line)
		}
	}
}

func clientLeavesBeforeRetry(t *testing.T, leave func(*peer)) {
	l := listen(t)
	b := startBalancer(t, decide.NotIdempotent, allDescriptors, l.Addr().String())
	leaving := b.client("OPEN 1a 2 c=live,at=s0\r\n")
	server, _ := accept(t, l)
	server.send("BUSY\r\n")
	server.want("EOF") // the balancer waits to retry
	leave(leaving)
	b.waitForFree(allDescriptors)
	b.client(withID("9f"))
	for {
		server, line := accept(t, l)
		if strings.HasPrefix(line, "OPEN 9f ") {
			break
		}
		server.send("BUSY\r\n") // an attempt from before the client left
	}
}

func clientsLeaveBeforeAccept(t *testing.T, leave func(*peer)) {
	const clients = 40 // at once, as when a site loses its network
	l := listen(t)
	b := newTestBalancer(t, defaultSettings(decide.NotIdempotent, allDescriptors), l.Addr().String())
	for i := range clients {
		leave(b.client(withID(fmt.Sprint("q", i))))
	}
	last := b.client("PING\r\n") // behind them in the queue: its answer shows that all of them were accepted
	b.serve()
	last.want("PONG")
	last.close()
	b.waitForFree(allDescriptors)
	b.client(withID("9f"))
	wantNextFlow(t, l)
}

// withLongTimeout is an OPEN line with a client's time of 8 s.
func withLongTimeout(line string) string { return strings.Replace(line, "d=1500", "d=8000", 1) }

// wantNextFlow checks that the next connection is that of the client that came after those that left.
func wantNextFlow(t *testing.T, l net.Listener) {
	t.Helper()
	if _, line := accept(t, l); !strings.HasPrefix(line, "OPEN 9f ") {
		t.Errorf("the server got %q", line)
	}
}

// A client that leaves during an attempt must not leave the server's connection behind.
func TestClientLeavesDuringAttempt(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	client := b.client(openFlowLine)
	server, _ := accept(t, l)
	client.close()
	start := time.Now()
	server.want("EOF")
	if took := time.Since(start); took > sec {
		t.Errorf("ended after %v", took)
	}
}

// starvedConn is a client's connection in a process that is short of its core. The client leaves at the moment of
// a given idle check, and what reads from the client does not run before that check is over. An idle check is
// known by its use of the socket itself.
type starvedConn struct {
	*net.TCPConn
	leaveAt     int    // the idle check from which on the client is gone
	leave       func() // has the client leave
	lineWasRead bool
	idleChecks  int
	released    chan struct{} // closed once the reader may run
}

func (s *starvedConn) Read(p []byte) (int, error) {
	if s.lineWasRead {
		select {
		case <-s.released:
		case <-time.After(hangTimeout):
			return 0, os.ErrDeadlineExceeded
		}
	}
	s.lineWasRead = true
	return s.TCPConn.Read(p)
}

func (s *starvedConn) SyscallConn() (syscall.RawConn, error) {
	s.idleChecks++
	if s.idleChecks == s.leaveAt {
		s.leave()
		for !transport.NewConn(s.TCPConn).HasPendingInput() { // until the end has come
			time.Sleep(ms)
		}
		defer close(s.released)
	}
	return s.TCPConn.SyscallConn()
}

// A client's end has come, but the goroutine that would send runs before the one that reads: no attempt begins,
// first or retry, neither the request for a connection nor the first byte on it.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	const busy, reset, resumeLine = "BUSY\r\n", "", "OPEN 1a 2 c=live,at=s0\r\n"
	for _, c := range []departureCase{
		{"a decision", openFlowLine, nil, false},
		{"a connection", openFlowLine, nil, true},
		{"a decision to retry", openFlowLine, []string{busy}, false},
		{"a connection of a retry", openFlowLine, []string{busy}, true},
		{"a decision to retry after a reset", openFlowLine, []string{reset}, false},
		{"the end of a pause", resumeLine, []string{busy}, false},
		{"a connection after a pause", resumeLine, []string{busy}, true},
	} {
		for departure, leave := range clientDepartures {
			t.Run(c.name+", "+departure, func(t *testing.T) {
				t.Parallel()
				c.run(t, leave)
			})
		}
	}
}

// departureCase is a client that leaves at one moment of one attempt.
type departureCase struct {
	name, line  string
	answers     []string // of the server, to the attempts before; empty: a reset
	isConnected bool     // the attempt's connection came up before the client left
}

func (c departureCase) run(t *testing.T, leave func(*peer)) {
	l, front := listen(t), listen(t)
	settings := defaultSettings(decide.Idempotent, 100)
	settings.connectTimeout = 8 * sec
	b := newTestBalancer(t, settings, l.Addr().String(), l.Addr().String())
	client := dial(t, front.Addr().String())
	accepted, err := front.Accept()
	if err != nil {
		t.Fatal(err)
	}
	client.send(c.line)
	const checksPerAttempt = 2
	conn := &starvedConn{TCPConn: accepted.(*net.TCPConn), leaveAt: checksPerAttempt*len(c.answers) + 1,
		leave: func() { leave(client) }, released: make(chan struct{})}
	if c.isConnected {
		conn.leaveAt++
	}
	done := make(chan struct{})
	go func() { defer close(done); b.frontend.Serve(transport.NewConn(conn)) }()
	for _, answer := range c.answers {
		server, line := accept(t, l)
		if !strings.HasPrefix(line, "OPEN 1a ") {
			t.Errorf("the server got %q", line)
		}
		if server.send(answer); answer == "" {
			server.reset()
		}
	}
	if c.isConnected {
		if _, line := accept(t, l); line != "EOF" {
			t.Errorf("the server got %q", line)
		}
	}
	<-done
	if conn.idleChecks < conn.leaveAt {
		t.Fatal("the client never left")
	}
	dial(t, l.Addr().String()).send("last\r\n") // it stands behind all that came
	if _, line := accept(t, l); line != "last" {
		t.Errorf("a connection of a client that left; on it came %q", line)
	}
}

// A retry is decided within the window in which servers drop duplicates, and its connection comes up after it: the
// line must not go on, as it could take effect a second time.
func TestRetryEstablishedPastItsWindow(t *testing.T) {
	first, late := listen(t), listenWithFullBacklog(t)
	settings := defaultSettings(decide.IdempotentByKey, 100)
	settings.connectTimeout, settings.retryWindow = 8*sec, 300*ms
	b := newTestBalancer(t, settings, first.Addr().String())
	b.serve()
	client := b.client(withLongTimeout(openFlowLine))
	server, _ := accept(t, first)
	update := b.router.BeginUpdate(routing.DeltaUpdate)
	update.AddEndpoint(routing.Endpoint{Name: "late", Addr: late.Addr().String(), Zone: "z", Size: 1})
	update.Commit(t.Context())
	server.reset() // it may have run
	waitForPendingConnect(t, late)
	// From now on the connection comes up, when it is requested again a second later.
	if _, err := late.Accept(); err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 1)
	go serveConnections(late, func(c net.Conn) {
		if line, _ := bufio.NewReader(c).ReadString('\n'); line != "" {
			received <- line
		}
	})
	client.want("BUSY 700") // as servers drop duplicates, it may retry
	client.want("EOF")
	select {
	case line := <-received:
		t.Errorf("past the window the server got %q", line)
	default:
	}
}

// A decision is picked up after its deadline: nothing is sent, as the time runs from the decision.
func TestDecisionPickedUpLate(t *testing.T) {
	l := listen(t)
	settings := defaultSettings(decide.NotIdempotent, 100)
	settings.connectTimeout = 8 * sec
	b := newTestBalancer(t, settings, l.Addr().String())
	flow, err := b.router.OpenFlow(routing.FlowRequest{Service: "live", Timeout: 40 * ms})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * ms) // past its deadline
	decision, err := flow.AwaitDecision(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	client, other := net.Pipe()
	defer closeQuietly(client)
	defer closeQuietly(other)
	s := &session{
		frontend: b.frontend,
		client:   transport.NewConn(client),
		openLine: strings.TrimSpace(openFlowLine),
		flow:     flow,
		settled:  make(chan struct{}),
	}
	upLine, outcome := s.attempt(t.Context(), decision.Addr, decision.Deadline)
	if upLine != "" || outcome != routing.NeverSent {
		t.Errorf("got %q, outcome %v", upLine, outcome)
	}
}
