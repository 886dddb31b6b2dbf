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
	"testing"
	"time"

	"yardwinch/internal/handover"
	"yardwinch/internal/store"
)

// successor is a second process's part of the harness: the same addresses but for the operators', and the same
// directory.
func (h *harness) successor() *harness {
	h.t.Helper()
	next := *h
	next.adminAddress = reservedAddress(h.t)
	next.path = filepath.Join(h.t.TempDir(), "config.json")
	next.config = strings.Replace(h.config, h.adminAddress, next.adminAddress, 1)
	writeConfig(h.t, next.path, next.config)
	return &next
}

// directoryEnvironment is an environment whose TMPDIR is a directory of the test's own.
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

// connectLink is the link of a process that wants to take over.
func connectLink(t *testing.T, socket *handover.Socket) *handover.Link {
	t.Helper()
	conn, err := socket.Connect(t.Context())
	if err != nil || conn == nil {
		t.Fatalf("%v, %v", conn, err)
	}
	link := handover.NewLink(conn, nil, nil)
	go func() { _ = link.Run(t.Context()) }() // what it ends with shows in the replies
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
	awaitThat(h.t, "the predecessor is gone", func() bool { return !h.hasPredecessor() })
}

// talkingClient is a client that sends parts of lines through its flow, and reads whole ones.
type talkingClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (c *talkingClient) send(part string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, part); err != nil {
		c.t.Error(err)
	}
}

func (c *talkingClient) want(line string) {
	c.t.Helper()
	if got, err := c.in.ReadString('\n'); got != line {
		c.t.Errorf("the client receives %q, %v, want %q", got, err, line)
	}
}

// An operator's call at either process binds both before its answer, the successor keeps what the predecessor was
// told, and established clients notice nothing, within a line or between two.
func TestUpgrade(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	client := &talkingClient{t: t, in: old.wantFlow("before", "UP 1"), conn: old.lastClient}
	client.send("M 1\r\n")
	client.want("M 1\r\n")
	client.send("M 2 and") // a pause within a line
	old.wantStatus("POST", "servers/a/offline", http.StatusOK)
	fresh := old.successor().start(environment)
	old.wantStatus("GET", "ready", http.StatusServiceUnavailable)
	fresh.wantFlow("with its server disabled before the upgrade", "BUSY 700")
	if _, got := fresh.openWith(fmt.Sprintf("OPEN %p-1 2 c=live,d=800", old)); !strings.HasPrefix(got, "ERR this id") {
		t.Errorf("an id taken at the predecessor: %q", got)
	}
	wantCallsBindBoth(t, old, fresh)
	old.end()
	client.send(" more\r\nM 3\r\n")
	client.want("M 2 and more\r\n")
	client.want("M 3\r\n")
	awaitThat(t, "rejected clients are gone", func() bool { return fresh.daemon.frontend.ConnectionCount() == 1 })
	fresh.wantStatus("POST", "servers/a/online", http.StatusOK)
	fresh.awaitFlow()
	fresh.awaitPredecessorGone()
	third := fresh.successor().start(environment)
	fresh.end()
	client.send("M 4\r\n")
	client.want("M 4\r\n")
	third.end()
	wantMigration(t, client.in)
}

// wantCallsBindBoth makes calls at either of two processes, and checks that both have made them. At the end the
// server is disabled.
func wantCallsBindBoth(t *testing.T, old, fresh *harness) {
	t.Helper()
	for _, at := range []*harness{old, fresh} {
		at.wantStatus("POST", "servers/b/online", http.StatusNotFound)
		for _, call := range []string{"online", "offline"} {
			at.wantStatus("POST", "servers/a/"+call, http.StatusOK)
			for _, d := range []*Daemon{old.daemon, fresh.daemon} {
				if disabled, _ := d.router.IsDisabled("a"); disabled != (call == "offline") {
					t.Errorf("%s at one process leaves it disabled at the other: %v", call, disabled)
				}
			}
		}
	}
}

// An id that the predecessor meets after it handed over is checked at the successor.
func TestIDsDuringUpgrade(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	fresh := old.successor().start(environment)
	id := fmt.Sprintf("%p-x", old)
	if _, got := fresh.openWith("OPEN " + id + " 2 c=live,d=800"); got != "UP 1" {
		t.Fatalf("at the successor: %q", got)
	}
	if isFree := old.daemon.frontend.ClaimID(id); isFree {
		t.Error("an id taken at the successor is free at the predecessor")
	}
	if isFree := old.daemon.frontend.ClaimID(id + "y"); !isFree {
		t.Error("an id that nobody has is taken")
	}
	old.end()
	fresh.end()
}

// A successor that ends before it serves, or after, leaves the predecessor serving as before, with the changes
// made since.
func TestSuccessorDies(t *testing.T) {
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
				hello := handover.Hello{Version: handover.Version, Listen: old.listenAddress}
				files, err := link.Request(step, hello).Wait(t.Context(), nil)
				if err != nil {
					t.Fatal(step, err)
				}
				for _, file := range files {
					_ = file.Close()
				}
			}
			if now := old.daemon.lifecycle.current(); len(steps) > 1 && now != handingOver {
				t.Errorf("phase %s", now)
			}
			link.Close()
			old.awaitStatus("GET", "ready", http.StatusOK)
			old.wantFlow("afterwards", "UP 1")
		})
	}
	fresh := old.successor().start(environment)
	old.awaitStatus("GET", "ready", http.StatusServiceUnavailable)
	fresh.wantStatus("POST", "out-of-service", http.StatusOK)
	fresh.end()
	old.awaitStatus("GET", "ready", http.StatusOK)
	if now := old.daemon.lifecycle.current(); now != draining && now != drained {
		t.Errorf("phase %s after a call out of service at the process that died", now)
	}
	old.wantStatus("POST", "in-service", http.StatusOK)
	next := old.successor().start(environment) // it finds the predecessor again
	old.end()
	next.end()
}

// Out of service holds over an upgrade, and a call during one concerns both processes.
func TestUpgradeOutOfService(t *testing.T) {
	environment := directoryEnvironment(t)
	old := newHarness(t).start(environment)
	client, _ := old.openFlow()
	old.wantStatus("POST", "out-of-service", http.StatusOK)
	fresh := old.successor().start(environment)
	if now := fresh.daemon.lifecycle.current(); now != draining && now != drained {
		t.Errorf("the successor is %s", now)
	}
	wantMigration(t, client)
	old.wantStatus("POST", "in-service", http.StatusOK)
	fresh.wantPing("PONG")
	old.end()
	fresh.end()
}

// Disabled servers survive a process, and a directory that is missing costs nothing but that.
func TestDisabledServersSurviveKill(t *testing.T) {
	environment := directoryEnvironment(t)
	root := environment("TMPDIR")
	old := newHarness(t).start(environment)
	old.wantStatus("POST", "servers/a/offline", http.StatusOK)
	old.end()
	fresh := old.successor().start(environment)
	fresh.wantFlow("with its server disabled before the end", "BUSY 700")
	if err := os.RemoveAll(root); err != nil {
		t.Fatal(err)
	}
	fresh.wantStatus("POST", "servers/a/online", http.StatusOK) // in force, whether or not it could be saved
	if disabled, _ := fresh.daemon.router.IsDisabled("a"); disabled {
		t.Error("a call answered yes took no effect")
	}
	if got := fresh.daemon.disabled.fault(); !strings.HasSuffix(got, "0 disabled servers are held in memory only") {
		t.Errorf("while the directory fails the fault is %q", got)
	}
	fresh.wantStatus("POST", "servers/a/offline", http.StatusOK)
	if err := os.Mkdir(root, 0o700); err != nil {
		t.Fatal(err)
	}
	fresh.awaitSaved(root, "a")
	fresh.end()
	if err := os.RemoveAll(root); err != nil {
		t.Fatal(err)
	}
	alone := fresh.successor().start(environment)
	alone.wantStatus("POST", "servers/a/offline", http.StatusOK)
	alone.end()
}

// A process that is not one of this balancer gets nothing, and costs the one that serves nothing.
func TestHandoverRejectsStrangers(t *testing.T) {
	environment := directoryEnvironment(t)
	h := newHarness(t).start(environment)
	socket := openSocket(t, environment("TMPDIR"), h.listenAddress)
	hello := handover.Hello{Version: handover.Version, Listen: h.listenAddress}
	for _, c := range []struct {
		name, kind string
		body       any
	}{
		{"a later version", messageHello, handover.Hello{Version: handover.Version + 1, Listen: h.listenAddress}},
		{"another address", messageHello, handover.Hello{Version: handover.Version, Listen: "127.0.0.1:1"}},
		{"no greeting", messageGetState, hello},
		{"no state yet", messageServing, hello},
		{"an unknown kind", "what", hello},
	} {
		t.Run(c.name, func(t *testing.T) {
			link := connectLink(t, socket)
			if _, err := link.Request(c.kind, c.body).Wait(t.Context(), nil); !errors.Is(err, handover.ErrRefused) {
				t.Errorf("answered %v", err)
			}
		})
	}
	conn, err := socket.Connect(t.Context())
	if err != nil || conn == nil {
		t.Fatalf("%v, %v", conn, err)
	}
	_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, _ = io.Copy(io.Discard, conn) // until the other end closes it
	_ = conn.Close()
	if now := h.daemon.lifecycle.current(); now != serving {
		t.Errorf("phase %s", now)
	}
	h.wantFlow("afterwards", "UP 1")
	h.end()
}

// connectedTCP is a connection from both ends; the near one is a descriptor, as it passes from process to process.
func connectedTCP(t *testing.T, listener net.Listener) (near *os.File, far net.Conn) {
	t.Helper()
	far = dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the descriptor is a copy
	if near, err = conn.(*net.TCPConn).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	return near, far
}

// A successor that got a connection and ends before its reply is sent has read nothing of it: the predecessor,
// which goes on with it, reads every byte itself.
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
		old, err := net.FileConn(clientFile) // the predecessor's own
		if err != nil {
			t.Fatal(err)
		}
		_ = old.SetDeadline(time.Now().Add(testTimeout))
		wantPassed(t, client, old, "M 1\r\n")
		response.AfterSend(false)
		if n := h.daemon.frontend.ConnectionCount(); n != 0 {
			t.Fatalf("connection %d: %d are served after all", i, n)
		}
		wantPassed(t, old, client, "M 2\r\n") // dropping it ended neither side
		_ = old.Close()
	}
}

// wantPassed sends a line on one end of a connection and checks that the other end reads it.
func wantPassed(t *testing.T, from, to net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(from, line); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(line))
	if _, err := io.ReadFull(to, got); err != nil || string(got) != line {
		t.Fatalf("read %q, %v, want %q", got, err, line)
	}
}
