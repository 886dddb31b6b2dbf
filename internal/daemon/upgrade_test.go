package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"yardwinch/internal/handover"
	"yardwinch/internal/store"
)

// successor returns a harness for the next process: with the same addresses, except that for operators, and the same
// server.
func (h *harness) successor() *harness {
	h.t.Helper()
	next := *h
	next.adminAddress = reservedAddress(h.t)
	next.path = filepath.Join(h.t.TempDir(), "config.json")
	next.config = strings.Replace(h.config, h.adminAddress, next.adminAddress, 1)
	writeConfig(h.t, next.path, next.config)
	return &next
}

// directoryEnvironment returns an environment whose TMPDIR is a new temporary directory.
func directoryEnvironment(t *testing.T) func(name string) string {
	t.Helper()
	directory := t.TempDir()
	return func(name string) string { return map[string]string{"TMPDIR": directory}[name] }
}

func openSocket(t *testing.T, root, listenAddress string) *handover.Socket {
	t.Helper()
	directory, err := store.Open(root, listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	return handover.NewSocket(directory)
}

// connectLink connects to a process like a successor, and returns the link.
func connectLink(t *testing.T, socket *handover.Socket) *handover.Link {
	t.Helper()
	conn, err := socket.Connect(t.Context())
	if err != nil || conn == nil {
		t.Fatalf("Connect: %v, %v", conn, err)
	}
	link := handover.NewLink(conn, nil, nil)
	go func() { _ = link.Run(t.Context()) }() // an error shows in the replies
	t.Cleanup(link.Close)
	return link
}

func (h *harness) hasPredecessor() bool {
	h.daemon.changeMu.Lock()
	defer h.daemon.changeMu.Unlock()
	return h.daemon.predecessor != nil
}

func (h *harness) awaitPredecessorGone() {
	h.t.Helper()
	awaitCondition(h.t, "the predecessor has exited", func() bool { return !h.hasPredecessor() })
}

// echoClient is a client that sends partial lines through its flow, and reads whole lines.
type echoClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (c *echoClient) send(part string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, part); err != nil {
		c.t.Error(err)
	}
}

func (c *echoClient) want(line string) {
	c.t.Helper()
	if got, err := c.in.ReadString('\n'); got != line {
		c.t.Errorf("the client received %q, %v, want %q", got, err, line)
	}
}

// An operator's call at either process takes effect in both before its response, the successor keeps changes made at the
// predecessor, and established flows continue without loss, whether the hand-over falls within a line or between lines.
func TestUpgrade(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	client := &echoClient{t: t, in: old.wantFlow("before", "UP 1"), conn: old.lastClient}
	client.send("M 1\r\n")
	client.want("M 1\r\n")
	client.send("M 2 and") // a pause within a line
	old.wantStatus("POST", "servers/a/offline", http.StatusOK)
	next := old.successor().start(environment)
	old.wantStatus("GET", "ready", http.StatusServiceUnavailable)
	next.wantFlow("with its server disabled before the upgrade", "BUSY 700")
	if _, got := next.sendLine(fmt.Sprintf("OPEN %p-1 2 c=live,d=800", old)); !strings.HasPrefix(got, "ERR this id") {
		t.Errorf("an id in use at the predecessor: %q", got)
	}
	wantCallsApplyToBoth(t, old, next)
	old.end()
	client.send(" more\r\nM 3\r\n")
	client.want("M 2 and more\r\n")
	client.want("M 3\r\n")
	awaitCondition(t, "rejected clients are disconnected", func() bool { return next.daemon.frontend.ConnectionCount() == 1 })
	next.wantStatus("POST", "servers/a/online", http.StatusOK)
	next.awaitFlow()
	next.awaitPredecessorGone()
	third := next.successor().start(environment)
	next.end()
	client.send("M 4\r\n")
	client.want("M 4\r\n")
	third.end()
	wantMigration(t, client.in)
}

// wantCallsApplyToBoth makes calls at each of two processes, and checks that they take effect in both. At the end the
// server is disabled.
func wantCallsApplyToBoth(t *testing.T, old, next *harness) {
	t.Helper()
	for _, at := range []*harness{old, next} {
		at.wantStatus("POST", "servers/b/online", http.StatusNotFound)
		for _, call := range []string{"online", "offline"} {
			at.wantStatus("POST", "servers/a/"+call, http.StatusOK)
			for _, d := range []*Daemon{old.daemon, next.daemon} {
				if disabled, _ := d.router.IsDisabled("a"); disabled != (call == "offline") {
					t.Errorf("after %s at one process, disabled at the other is %v", call, disabled)
				}
			}
		}
	}
}

// After the hand-over the predecessor checks the ids of its clients at the successor.
func TestIDsDuringUpgrade(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	next := old.successor().start(environment)
	id := fmt.Sprintf("%p-x", old)
	if _, got := next.sendLine("OPEN " + id + " 2 c=live,d=800"); got != "UP 1" {
		t.Fatalf("the successor replied %q", got)
	}
	if isFree := old.daemon.frontend.ClaimID(id); isFree {
		t.Error("an id in use at the successor is free at the predecessor")
	}
	if isFree := old.daemon.frontend.ClaimID(id + "y"); !isFree {
		t.Error("an unused id is taken")
	}
	old.end()
	next.end()
}

// When a successor exits, before it serves or after, the predecessor serves again, with the changes made since.
func TestSuccessorExits(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	socket := openSocket(t, environment("TMPDIR"), old.listenAddress)
	for _, steps := range [][]string{
		{},
		{messageHello},
		{messageHello, messageGetState},
		{messageHello, messageGetState, messageServing},
	} {
		t.Run(strings.Join(steps, " "), func(t *testing.T) {
			link := connectLink(t, socket)
			for _, step := range steps {
				hello := handover.Hello{Version: handover.Version, ListenAddress: old.listenAddress}
				files, err := link.Request(step, hello).Wait(t.Context(), nil)
				if err != nil {
					t.Fatal(step, err)
				}
				for _, file := range files {
					_ = file.Close()
				}
			}
			if now := old.daemon.lifecycle.current(); len(steps) > 1 && now != handingOver {
				t.Errorf("phase %s after the state was sent, want handing over", now)
			}
			link.Close()
			old.awaitStatus("GET", "ready", http.StatusOK)
			old.wantFlow("afterwards", "UP 1")
		})
	}
	next := old.successor().start(environment)
	old.awaitStatus("GET", "ready", http.StatusServiceUnavailable)
	next.wantStatus("POST", "out-of-service", http.StatusOK)
	next.end()
	old.awaitStatus("GET", "ready", http.StatusOK)
	if now := old.daemon.lifecycle.current(); now != draining && now != drained {
		t.Errorf("phase %s after an out-of-service call at the successor that exited, want emptying or empty", now)
	}
	old.wantStatus("POST", "in-service", http.StatusOK)
	third := old.successor().start(environment) // the predecessor can be found again
	old.end()
	third.end()
}

// A balancer that is out of service stays so across an upgrade, and a call during an upgrade applies to both processes.
func TestUpgradeOutOfService(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	client, _ := old.openFlow()
	old.wantStatus("POST", "out-of-service", http.StatusOK)
	next := old.successor().start(environment)
	if now := next.daemon.lifecycle.current(); now != draining && now != drained {
		t.Errorf("the successor is %s, want emptying or empty", now)
	}
	wantMigration(t, client)
	old.wantStatus("POST", "in-service", http.StatusOK)
	next.wantPing("PONG")
	old.end()
	next.end()
}

// Disabled servers survive a restart of the process. While the directory is missing they are not saved, and calls still
// take effect.
func TestDisabledServersSurviveRestart(t *testing.T) {
	environment := directoryEnvironment(t)
	root := environment("TMPDIR")
	old := newHarness(t).start(environment)
	old.wantStatus("POST", "servers/a/offline", http.StatusOK)
	old.end()
	next := old.successor().start(environment)
	next.wantFlow("with its server disabled before the end", "BUSY 700")
	if err := os.RemoveAll(root); err != nil {
		t.Fatal(err)
	}
	next.wantStatus("POST", "servers/a/online", http.StatusOK) // takes effect, whether or not it can be saved
	if disabled, _ := next.daemon.router.IsDisabled("a"); disabled {
		t.Error("a successful call had no effect")
	}
	if got := next.daemon.disabled.fault(); !strings.HasSuffix(got, "0 servers out by hand are held in memory alone") {
		t.Errorf("fault while the directory fails: %q", got)
	}
	next.wantStatus("POST", "servers/a/offline", http.StatusOK)
	if err := os.Mkdir(root, 0o700); err != nil {
		t.Fatal(err)
	}
	next.awaitSaved(root, "a")
	next.end()
	if err := os.RemoveAll(root); err != nil {
		t.Fatal(err)
	}
	alone := next.successor().start(environment)
	alone.wantStatus("POST", "servers/a/offline", http.StatusOK)
	alone.end()
}

// A process of another balancer or version, or one that doesn't follow the protocol, gets no hand-over and doesn't disturb
// the process that serves.
func TestHandoverRejectsInvalidPeers(t *testing.T) {
	environment := directoryEnvironment(t)
	h := newHarness(t).start(environment)
	socket := openSocket(t, environment("TMPDIR"), h.listenAddress)
	hello := handover.Hello{Version: handover.Version, ListenAddress: h.listenAddress}
	for _, c := range []struct {
		name, kind string
		body       any
	}{
		{"a later version", messageHello, handover.Hello{Version: handover.Version + 1, ListenAddress: h.listenAddress}},
		{"another address", messageHello, handover.Hello{Version: handover.Version, ListenAddress: "127.0.0.1:1"}},
		{"no hello", messageGetState, hello},
		{"no state requested", messageServing, hello},
		{"an unknown kind", "what", hello},
	} {
		t.Run(c.name, func(t *testing.T) {
			link := connectLink(t, socket)
			if _, err := link.Request(c.kind, c.body).Wait(t.Context(), nil); !errors.Is(err, handover.ErrRefused) {
				t.Errorf("the request ended with %v, want ErrRefused", err)
			}
		})
	}
	conn, err := socket.Connect(t.Context())
	if err != nil || conn == nil {
		t.Fatalf("Connect: %v, %v", conn, err)
	}
	_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, _ = io.Copy(io.Discard, conn) // until the other end closes it
	_ = conn.Close()
	if now := h.daemon.lifecycle.current(); now != serving {
		t.Errorf("phase %s after invalid peers, want serving", now)
	}
	h.wantFlow("afterwards", "UP 1")
	h.end()
}

// connectedTCP returns both ends of a connection; the near one as a file, as it is passed between processes.
func connectedTCP(t *testing.T, listener net.Listener) (near *os.File, far net.Conn) {
	t.Helper()
	far = dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // near is a duplicate
	if near, err = conn.(*net.TCPConn).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	return near, far
}

// A successor that receives a connection and exits before its reply is sent must not have read from it: the predecessor,
// which keeps serving the connection, has to receive every byte.
func TestTransferReadsNothingBeforeReply(t *testing.T) {
	h := newHarness(t).start(directoryEnvironment(t))
	defer h.end()
	listener := listenLocal(t)
	for i := range 20 {
		clientFile, client := connectedTCP(t, listener)
		serverFile, _ := connectedTCP(t, listener)
		body := fmt.Sprintf(`{"facts":{"id":"c%d","service":"live","key":"2"},"at":"a"}`, i)
		request := handover.Request{Body: []byte(body), Files: []*os.File{clientFile, serverFile}}
		response, err := h.daemon.handleTransfer(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		old, err := net.FileConn(clientFile) // the predecessor's end
		if err != nil {
			t.Fatal(err)
		}
		_ = old.SetDeadline(time.Now().Add(testTimeout))
		wantReceived(t, client, old, "M 1\r\n")
		response.AfterSend(false)
		if n := h.daemon.frontend.ConnectionCount(); n != 0 {
			t.Fatalf("connection %d: the successor serves %d connections, want none", i, n)
		}
		wantReceived(t, old, client, "M 2\r\n") // dropping it closed neither side
		_ = old.Close()
	}
}

// wantReceived sends a line on one end of a connection and checks that the other end receives it.
func wantReceived(t *testing.T, from, to net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(from, line); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(line))
	if _, err := io.ReadFull(to, got); err != nil || string(got) != line {
		t.Fatalf("read %q, %v, want %q", got, err, line)
	}
}

// Guards against a flow that runs twice when its client comes again after a replacement: the id of a flow that is open
// stays in use however many others end, and that of one at a successor that is killed is known to the predecessor.
func TestIDsOfOpenFlowsAreHandedOver(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	open := func(at *harness, id string) string {
		_, answer := at.sendLine("OPEN " + id + " 2 c=live,d=800")
		return answer
	}
	if got := open(old, "held"); got != "UP 1" {
		t.Fatalf("before the upgrade a flow is answered %q", got)
	}
	next := old.successor().startIn(environment("TMPDIR"))
	old.awaitStatus("GET", "ready", http.StatusServiceUnavailable) // it has handed over
	awaitCondition(t, "the connection is transferred", func() bool { return old.daemon.frontend.ConnectionCount() == 0 })
	for i := range 5000 { // more than unserved ids are kept
		if _, got := old.sendLine(fmt.Sprintf("OPEN bad-%d 2 c=none,d=800", i)); !strings.HasPrefix(got, "ERR unknown service") {
			t.Fatalf("an unknown service type is answered %q", got)
		}
	}
	if got := open(old, "held"); !strings.HasPrefix(got, "ERR this id") {
		t.Errorf("the id of an open flow is answered %q at the successor", got)
	}
	if got := open(old, "new"); got != "UP 1" {
		t.Fatalf("the successor answers %q", got)
	}
	if err := next.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = next.cmd.Wait()
	old.awaitStatus("GET", "ready", http.StatusOK)
	if got := open(old, "new"); !strings.HasPrefix(got, "ERR this id") {
		t.Errorf("the id of a flow at the killed successor is answered %q", got)
	}
	old.end()
}

// Guards against a process that says that it serves and hears no client, because its successor, which was told to end,
// has left its filter on the listening socket that both shared.
func TestPredecessorServesAfterSuccessorShutDown(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	next := old.successor().startIn(environment("TMPDIR"))
	old.awaitStatus("GET", "ready", http.StatusServiceUnavailable) // it has handed over
	next.signal(syscall.SIGTERM)
	if err := next.cmd.Wait(); err != nil {
		t.Errorf("the successor: %v", err)
	}
	old.awaitStatus("GET", "ready", http.StatusOK)
	dialer := net.Dialer{Timeout: testTimeout}
	client, err := dialer.DialContext(t.Context(), "tcp", old.listenAddress)
	if err != nil {
		t.Fatalf("no client can connect to the predecessor: %v", err)
	}
	_ = client.Close()
	old.wantPing("PONG")
	third := old.successor().start(environment)
	third.wantPing("PONG")
	old.end()
	third.end()
}
