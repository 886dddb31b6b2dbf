package daemon

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// countingServer is a server that replies to flows only when it is told to, and counts the connections to it.
type countingServer struct {
	listener net.Listener

	mu       sync.Mutex // guards the fields below
	accepted []net.Conn
}

func startCountingServer(t *testing.T) *countingServer {
	t.Helper()
	s := &countingServer{listener: listenLocal(t)}
	go s.run()
	return s
}

func (s *countingServer) address() string { return s.listener.Addr().String() }

func (s *countingServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, conn)
		s.mu.Unlock()
		go func() {
			if line, _ := bufio.NewReader(conn).ReadString('\n'); strings.HasPrefix(line, "OPEN last ") {
				_, _ = conn.Write([]byte("UP 2\r\n")) // the balancer may have given it up
			}
		}()
	}
}

func (s *countingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

// acceptAll accepts the flows of all connections so far, and gives their number.
func (s *countingServer) acceptAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.accepted {
		_, _ = conn.Write([]byte("UP 1\r\n")) // the balancer may have given it up
	}
	return len(s.accepted)
}

// awaitAccepted connects, and waits until this connection is accepted: all that came before it are then accepted too.
func (s *countingServer) awaitAccepted(t *testing.T) {
	t.Helper()
	own := dial(t, s.address())
	awaitThat(t, "all connections are accepted", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.accepted[len(s.accepted)-1].RemoteAddr().String() == own.LocalAddr().String()
	})
}

// A burst of clients leaves while the process is suspended, which goes on 0.1 s later: no connection to a server
// is opened on their behalf, whether they waited in the system's queue or for their turn.
func TestClientsLeaveWhileSuspended(t *testing.T) {
	const clients = 40
	for _, c := range []struct {
		name      string
		balancers int // of many, each may set up only one flow at a time
		queued    int // clients that come while the process is suspended
	}{
		{"in the queue", 1, clients},
		{"for their turn", 48, 0},
		{"both", 48, clients / 2},
	} {
		for way, leave := range map[string]func(*net.TCPConn){
			"an end":       func(conn *net.TCPConn) { _ = conn.Close() },
			"a half end":   func(conn *net.TCPConn) { _ = conn.CloseWrite() },
			"a reset":      func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
			"data, an end": func(conn *net.TCPConn) { _, _ = conn.Write([]byte("M 1\r\n")); _ = conn.Close() },
		} {
			t.Run(c.name+", "+way, func(t *testing.T) {
				t.Parallel()
				testClientsLeave(t, leavingClients{balancers: c.balancers, waiting: clients - c.queued, queued: c.queued, leave: leave})
			})
		}
	}
}

type leavingClients struct {
	balancers int
	waiting   int // clients for whom the balancer has no capacity yet
	queued    int // clients that the balancer has not accepted yet
	leave     func(*net.TCPConn)
}

func testClientsLeave(t *testing.T, c leavingClients) {
	const suspendedFor = 100 * time.Millisecond // after the clients left: the operators' own figure
	server := startCountingServer(t)
	watched := make(chan string, 1)
	h := newHarness(t)
	h.setDiscovery(startAgent(t, "agent", watched))
	h.config = strings.NewReplacer(h.serverAddress, server.address(), `"hard-limit":800000000`, `"hard-limit":8000000000`,
		`"settings":{`, fmt.Sprintf(`"settings":{"peers-total":%d,"guarantees":{"cold-from":0.2,"fall-multiple":3,"warm-after":20000000000,
		"fall":1500000000},`, c.balancers)).Replace(h.config)
	p := h.process()
	first := h.openUnanswered("first")
	awaitThat(t, "the first flow is forwarded", func() bool { return server.count() >= 1 })
	leaving := h.openMany("w", c.waiting)
	h.wantPing("PONG") // all that stood before it in the queue are accepted
	_ = h.lastClient.Close()
	select {
	case <-watched:
	case <-time.After(testTimeout):
		t.Fatal("the list is not watched")
	}
	p.signal(syscall.SIGSTOP)
	p.awaitSuspended()
	leaving = append(leaving, h.openMany("q", c.queued)...)
	server.awaitAccepted(t)
	for _, client := range leaving {
		c.leave(client)
	}
	time.Sleep(suspendedFor)
	before := server.acceptAll() // there is capacity now
	p.signal(syscall.SIGCONT)
	if got, err := bufio.NewReader(first).ReadString('\n'); got != "UP 1\r\n" {
		t.Fatalf("the client that stayed receives %q, %v", got, err)
	}
	last, err := bufio.NewReader(h.openUnanswered("last")).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the last client receives %q", last)
	want := strings.Count(last, "UP 2") // it may be rejected with a Retry-After, where capacity is scarce
	p.signal(syscall.SIGTERM)           // whatever was begun on behalf of those that left is over once the process is
	_ = p.cmd.Wait()                    // that it ends in time is another test's
	server.awaitAccepted(t)
	if got := server.count() - before - 1; got != want {
		t.Errorf("%d connections are opened on behalf of %d clients that left and one that receives %q", got, len(leaving), last)
	}
}

// openUnanswered opens a flow and doesn't wait for the answer.
func (h *harness) openUnanswered(id string) *net.TCPConn {
	h.t.Helper()
	conn := dial(h.t, h.listenAddress)
	_ = conn.SetDeadline(time.Now().Add(2 * testTimeout))
	_, _ = fmt.Fprintf(conn, "OPEN %s 2 c=live,d=8000\r\n", id) // an error shows in the answer
	return conn.(*net.TCPConn)
}

func (h *harness) openMany(prefix string, number int) (conns []*net.TCPConn) {
	h.t.Helper()
	for i := range number {
		conns = append(conns, h.openUnanswered(fmt.Sprint(prefix, i)))
	}
	return conns
}
