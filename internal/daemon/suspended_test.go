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

// countingServer is a server that counts its connections, and accepts flows only when acceptAll is called, except for
// the flow "last".
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
				_, _ = conn.Write([]byte("UP 2\r\n")) // fails if the balancer has closed it
			}
		}()
	}
}

func (s *countingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

// acceptAll accepts the flows of all connections so far, and returns their number.
func (s *countingServer) acceptAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.accepted {
		_, _ = conn.Write([]byte("UP 1\r\n")) // fails if the balancer has closed it
	}
	return len(s.accepted)
}

// awaitAccepted connects, and waits until this connection is accepted: all earlier ones have then been accepted too.
func (s *countingServer) awaitAccepted(t *testing.T) {
	t.Helper()
	own := dial(t, s.address())
	awaitCondition(t, "all connections are accepted", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.accepted[len(s.accepted)-1].RemoteAddr().String() == own.LocalAddr().String()
	})
}

// Many clients disconnect while the process is suspended, and it resumes 0.1 s later. It must not connect to a server
// for any of them, whether they were in the listen backlog or waited for capacity.
func TestClientsLeaveWhileSuspended(t *testing.T) {
	const clients = 40
	for _, c := range []struct {
		name      string
		balancers int // if there are many, each may establish only one flow at a time
		queued    int // clients that connect while the process is suspended
	}{
		{"in the backlog", 1, clients},
		{"waiting for capacity", 48, 0},
		{"both", 48, clients / 2},
	} {
		for way, leave := range map[string]func(*net.TCPConn){
			"a close":       func(conn *net.TCPConn) { _ = conn.Close() },
			"a half close":  func(conn *net.TCPConn) { _ = conn.CloseWrite() },
			"a reset":       func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
			"data, a close": func(conn *net.TCPConn) { _, _ = conn.Write([]byte("M 1\r\n")); _ = conn.Close() },
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
	waiting   int // clients that the balancer has accepted and that wait for capacity
	queued    int // clients that the balancer has not accepted yet
	leave     func(*net.TCPConn)
}

func testClientsLeave(t *testing.T, c leavingClients) {
	const suspendedFor = 100 * time.Millisecond // after the clients disconnected; the figure is from the operators
	server := startCountingServer(t)
	watched := make(chan string, 1)
	h := newHarness(t)
	h.setDiscovery(startAgent(t, "agent", watched))
	h.config = strings.NewReplacer(h.serverAddress, server.address(), `"hard-limit":800000000`, `"hard-limit":8000000000`,
		`"settings":{`, fmt.Sprintf(`"settings":{"peers-total":%d,"guarantees":{"cold-from":0.2,"fall-multiple":3,"warm-after":20000000000,
		"fall":1500000000},`, c.balancers)).Replace(h.config)
	p := h.startAndAwait()
	first := h.openUnanswered("first")
	awaitCondition(t, "the first flow is forwarded", func() bool { return server.count() >= 1 })
	leaving := h.openMany("w", c.waiting)
	h.wantPing("PONG") // all earlier connections have been accepted
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
	before := server.acceptAll() // from now on there is capacity
	p.signal(syscall.SIGCONT)
	if got, err := bufio.NewReader(first).ReadString('\n'); got != "UP 1\r\n" {
		t.Fatalf("the client that stayed received %q, %v", got, err)
	}
	last, err := bufio.NewReader(h.openUnanswered("last")).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the last client received %q", last)
	want := strings.Count(last, "UP 2") // it may be told when to retry if capacity is short
	p.signal(syscall.SIGTERM)           // when the process has exited no further connection can follow
	_ = p.cmd.Wait()                    // TestLifecycle checks the shutdown
	server.awaitAccepted(t)
	if got := server.count() - before - 1; got != want { // less the connection of awaitAccepted
		t.Errorf("%d connections to the server for %d clients that disconnected and one that received %q, want %d", got, len(leaving), last, want)
	}
}

// openUnanswered opens a flow and doesn't wait for the reply.
func (h *harness) openUnanswered(id string) *net.TCPConn {
	h.t.Helper()
	conn := dial(h.t, h.listenAddress)
	_ = conn.SetDeadline(time.Now().Add(2 * testTimeout))
	_, _ = fmt.Fprintf(conn, "OPEN %s 2 c=live,d=8000\r\n", id) // an error shows when the reply is read
	return conn.(*net.TCPConn)
}

func (h *harness) openMany(prefix string, number int) (conns []*net.TCPConn) {
	h.t.Helper()
	for i := range number {
		conns = append(conns, h.openUnanswered(fmt.Sprint(prefix, i)))
	}
	return conns
}
