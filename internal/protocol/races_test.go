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

// These tests force orders of two events that rarely occur by themselves; docs/races.md lists them.

// clientDepartures are the ways in which a client may disconnect.
var clientDepartures = map[string]func(client *peer){
	"close":            (*peer).close,
	"half close":       func(c *peer) { _ = c.CloseWrite() },
	"reset":            (*peer).reset,
	"data, then close": func(c *peer) { c.send("M 1\r\nM 2\r\n"); c.close() },
}

// listenWithFullBacklog listens with a full accept queue: connections are established only once others are accepted.
func listenWithFullBacklog(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer closeQuietly(f) // net.FileListener duplicates the descriptor
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
	for { // until a connection is not established
		c, err := (&net.Dialer{Timeout: 100 * ms}).DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			return l
		}
		t.Cleanup(func() { closeQuietly(c) })
	}
}

// isConnectPendingWithin waits until a connect to a listener with a full backlog is in progress, and reports false if there
// is none in time.
func isConnectPendingWithin(t *testing.T, l net.Listener, limit time.Duration) bool {
	t.Helper()
	// The remote port and the state SYN_SENT, as in /proc/net/tcp.
	synSent := fmt.Sprintf(":%04X 02 ", l.Addr().(*net.TCPAddr).Port)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(ms) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(table), synSent) {
			return true
		}
	}
	return false
}

// A client that disconnects while it waits is not forwarded, whatever it waits for and however it disconnects. All its
// resources are released, so that the next client is served as if the first one had never connected.
func TestClientLeavesWhileItWaits(t *testing.T) {
	for departure, leave := range clientDepartures {
		for waitsFor, test := range map[string]func(t *testing.T, leave func(*peer)){
			"a decision":               clientLeavesBeforeDecision,
			"a connection":             clientLeavesBeforeConnection,
			"the delay before a retry": clientLeavesBeforeRetry,
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
	b.waitForFree(allDescriptors - 2) // the disconnect is detected while the client waits
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
	for { // the connections that filled the backlog send nothing
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
		server.send("BUSY\r\n") // an attempt from before the client disconnected
	}
}

func clientsLeaveBeforeAccept(t *testing.T, leave func(*peer)) {
	const clients = 40 // at once, as when a site loses its network connection
	l := listen(t)
	b := newTestBalancer(t, defaultSettings(decide.NotIdempotent, allDescriptors), l.Addr().String())
	for i := range clients {
		leave(b.client(withID(fmt.Sprint("q", i))))
	}
	last := b.client("PING\r\n") // behind the others in the queue: its reply shows that all of them were accepted
	b.serve()
	last.want("PONG")
	last.close()
	b.waitForFree(allDescriptors)
	b.client(withID("9f"))
	wantNextFlow(t, l)
}

// withLongTimeout returns an OPEN line with a timeout of 8 s.
func withLongTimeout(line string) string { return strings.Replace(line, "d=1500", "d=8000", 1) }

// wantNextFlow checks that the next connection is that of the client that connected after the others disconnected.
func wantNextFlow(t *testing.T, l net.Listener) {
	t.Helper()
	if _, line := accept(t, l); !strings.HasPrefix(line, "OPEN 9f ") {
		t.Errorf("the server got %q", line)
	}
}

// If a client disconnects during an attempt, the server's connection is closed.
func TestClientLeavesDuringAttempt(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	client := b.client(openFlowLine)
	server, _ := accept(t, l)
	client.close()
	start := time.Now()
	server.want("EOF")
	if took := time.Since(start); took > sec {
		t.Errorf("the connection to the server ended after %v, want within 1 s", took)
	}
}

// starvedConn is a client's connection in a process without enough CPU time. The client disconnects at the time of a
// given check for pending input (Conn.HasPendingInput), and the goroutine that reads from the client does not run
// before that check is over. Such a check is recognised by its call of SyscallConn.
type starvedConn struct {
	*net.TCPConn
	leaveAt     int    // the number of the check at which the client disconnects
	leave       func() // disconnects the client
	lineWasRead bool
	inputChecks int
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
	s.inputChecks++
	if s.inputChecks == s.leaveAt {
		s.leave()
		for !transport.NewConn(s.TCPConn).HasPendingInput() { // until the FIN or reset has arrived
			time.Sleep(ms)
		}
		defer close(s.released)
	}
	return s.TCPConn.SyscallConn()
}

// A client has disconnected, but the goroutine that makes attempts runs before the one that reads from the client.
// Neither a first attempt nor a retry may be made: no connect, and no byte on an established connection.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	const busy, reset, resumeLine = "BUSY\r\n", "", "OPEN 1a 2 c=live,at=s0\r\n"
	for _, c := range []departureCase{
		{"a decision", openFlowLine, nil, false},
		{"a connection", openFlowLine, nil, true},
		{"a decision to retry", openFlowLine, []string{busy}, false},
		{"a connection of a retry", openFlowLine, []string{busy}, true},
		{"a decision to retry after a reset", openFlowLine, []string{reset}, false},
		{"the end of the delay before a retry", resumeLine, []string{busy}, false},
		{"a connection after the delay before a retry", resumeLine, []string{busy}, true},
	} {
		for departure, leave := range clientDepartures {
			t.Run(c.name+", "+departure, func(t *testing.T) {
				t.Parallel()
				c.run(t, leave)
			})
		}
	}
}

// departureCase is a client that disconnects at one point of one attempt.
type departureCase struct {
	name, line  string
	answers     []string // the server's replies to the previous attempts; an empty one is a reset
	isConnected bool     // the attempt's connection was established before the client disconnected
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
	if conn.inputChecks < conn.leaveAt {
		t.Fatal("the client never disconnected")
	}
	dial(t, l.Addr().String()).send("last\r\n") // behind all other connections in the queue
	if _, line := accept(t, l); line != "last" {
		t.Errorf("a connection for a client that disconnected, with the line %q", line)
	}
}

// A retry is decided within the window in which servers drop duplicates, but its connection is established after that
// window. The line must not be sent, as it could take effect a second time.
func TestRetryEstablishedPastItsWindow(t *testing.T) {
	const maxRuns = 20 // a machine that is slow may not decide on the retry within the window, which is short
	for range maxRuns {
		if retryEstablishedPastItsWindow(t) {
			return
		}
	}
	t.Errorf("in %d runs no retry was decided within the window", maxRuns)
}

// retryEstablishedPastItsWindow reports false if no retry was decided within the window.
func retryEstablishedPastItsWindow(t *testing.T) (wasRetried bool) {
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
	server.reset() // the flow may have run
	if !isConnectPendingWithin(t, late, 2*settings.retryWindow) {
		return false
	}
	// This frees a place in the backlog: the connection is established when the SYN is sent again, a second later.
	if _, err := late.Accept(); err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 1)
	go serveConnections(late, func(c net.Conn) {
		if line, _ := bufio.NewReader(c).ReadString('\n'); line != "" {
			received <- line
		}
	})
	client.want("BUSY 700") // the client may retry, as servers drop duplicates
	client.want("EOF")
	select {
	case line := <-received:
		t.Errorf("after the window the server got %q", line)
	default:
	}
	return true
}

// If a decision is carried out after its deadline, nothing is sent, as the timeout runs from the decision.
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
		t.Errorf("the attempt returned %q with outcome %v, want no line and that nothing was sent", upLine, outcome)
	}
}
