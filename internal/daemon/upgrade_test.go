package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yardwinch/internal/handover"
)

// successor is a second process's part of the rig: the same addresses but for the staff's, and the same folder.
func (g *harness) successor() *harness {
	n := *g
	n.adminAddress = reservedAddress(g.t)
	n.path = filepath.Join(g.t.TempDir(), "config.json")
	n.config = strings.Replace(g.config, g.adminAddress, n.adminAddress, 1)
	if err := os.WriteFile(n.path, []byte(n.config), 0o600); err != nil {
		g.t.Fatal(err)
	}
	return &n
}

func directoryEnvironment(t *testing.T) func(string) string {
	dir := t.TempDir()
	return func(name string) string { return map[string]string{"TMPDIR": dir}[name] }
}

// A call at either process binds both before its yes, the new one keeps what the old one was told, and
// whoever stands notices nothing, within a line or between two.
func TestUpgrade(t *testing.T) {
	env := directoryEnvironment(t)
	old := newHarness(t).start(env)
	held, up := old.openFlow()
	client := old.lastClient
	say := func(part, want string) {
		t.Helper()
		if _, err := io.WriteString(client, part); err != nil {
			t.Error(err)
		}
		if want == "" {
			return
		}
		if got, err := held.ReadString('\n'); got != want {
			t.Errorf("the standing client hears %q, %v, want %q", got, err, want)
		}
	}
	say("M 1\r\n", "M 1\r\n")
	say("M 2 and", "") // quiet within a line
	if up != "UP 1" {
		t.Fatalf("before: %q", up)
	}
	old.wantStatus("POST", "servers/a/offline", 200)
	fresh := old.successor().start(env)
	old.wantStatus("GET", "ready", 503)
	if _, got := fresh.openFlow(); got != "BUSY 700" {
		t.Errorf("a server out by hand before the upgrade: %q", got)
	}
	if _, got := fresh.openWith(fmt.Sprintf("OPEN %p-1 2 c=live,d=800", old)); !strings.HasPrefix(got, "ERR this id") {
		t.Errorf("an id taken at the old process: %q", got)
	}
	for _, at := range []*harness{old, fresh} {
		at.wantStatus("POST", "servers/b/online", 404)
		for _, call := range []string{"online", "offline"} {
			at.wantStatus("POST", "servers/a/"+call, 200)
			for _, p := range []*Daemon{old.daemon, fresh.daemon} {
				if out, _ := p.router.IsDisabled("a"); out != (call == "offline") {
					t.Errorf("%s at one process leaves it out at the other: %v", call, out)
				}
			}
		}
	}
	old.end()
	say(" more\r\nM 3\r\n", "M 2 and more\r\n")
	say("", "M 3\r\n")
	for fresh.daemon.frontend.ConnectionCount() != 1 { // those turned away linger for a moment
		time.Sleep(time.Millisecond)
	}
	fresh.wantStatus("POST", "servers/a/online", 200)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, got := fresh.openFlow(); got == "UP 1" {
			break
		} else if time.Now().After(end) {
			t.Fatalf("the server given back: %q", got)
		}
	}
	for fresh.hasPredecessor() {
		time.Sleep(time.Millisecond)
	}
	third := fresh.successor().start(env)
	fresh.end()
	say("M 4\r\n", "M 4\r\n")
	third.end()
	if got := restOfStream(held); got != "MOVE" {
		t.Errorf("at the end of the last process the client hears %q", got)
	}
}

func (g *harness) hasPredecessor() bool {
	g.daemon.changing.Lock()
	defer g.daemon.changing.Unlock()
	return g.daemon.predecessor != nil
}

// An id that the old process meets after the state was sent is asked for at the new one.
func TestIDsDuringUpgrade(t *testing.T) {
	env := directoryEnvironment(t)
	old := newHarness(t).start(env)
	fresh := old.successor().start(env)
	id := fmt.Sprintf("%p-x", old)
	if _, got := fresh.openWith("OPEN " + id + " 2 c=live,d=800"); got != "UP 1" {
		t.Fatalf("at the new process: %q", got)
	}
	if free := old.daemon.frontend.ClaimID(id); free {
		t.Error("an id taken at the new process is free at the old one")
	}
	if free := old.daemon.frontend.ClaimID(id + "y"); !free {
		t.Error("an id that nobody has is taken")
	}
	old.end()
	fresh.end()
}

// Who dies when: a new process that goes before it serves, and one that goes after; the old one then serves as if nothing
// had been, with what was called since.
func TestSuccessorDies(t *testing.T) {
	env := directoryEnvironment(t)
	old := newHarness(t).start(env)
	f, err := handover.Open(env("TMPDIR"), old.listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	for _, steps := range [][]string{{}, {"hello"}, {"hello", "give"}, {"hello", "give", "have"}} {
		t.Run(strings.Join(steps, " "), func(t *testing.T) {
			c, err := f.Find()
			if err != nil || c == nil {
				t.Fatalf("%v, %v", c, err)
			}
			l := handover.NewLink(c, nil, nil)
			go func() { _ = l.Run() }()
			for _, s := range steps {
				files, err := l.Ask(s, handover.Hello{Version: handover.Version, Listen: old.listenAddress})(t.Context(), nil)
				if err != nil {
					t.Fatal(s, err)
				}
				for _, x := range files {
					_ = x.Close()
				}
			}
			if len(steps) > 1 && old.daemon.currentPhase() != handingOver {
				t.Errorf("phase %s", old.daemon.currentPhase())
			}
			l.Close()
			old.awaitStatus("GET", "ready", 200)
			if _, got := old.openFlow(); got != "UP 1" {
				t.Errorf("a flow afterwards: %q", got)
			}
		})
	}
	fresh := old.successor().start(env)
	old.awaitStatus("GET", "ready", 503)
	fresh.wantStatus("POST", "out-of-service", 200)
	fresh.end()
	old.awaitStatus("GET", "ready", 200)
	if got := old.daemon.currentPhase(); got != draining && got != drained {
		t.Errorf("phase %s after a call out of service at the process that died", got)
	}
	old.wantStatus("POST", "in-service", 200)
	again := old.successor().start(env) // it is found again
	old.end()
	again.end()
}

// Out of service holds over an upgrade, and a call while there are two empties both.
func TestUpgradeOutOfService(t *testing.T) {
	env := directoryEnvironment(t)
	old := newHarness(t).start(env)
	held, _ := old.openFlow()
	old.wantStatus("POST", "out-of-service", 200)
	fresh := old.successor().start(env)
	if is := fresh.daemon.currentPhase(); is != draining && is != drained {
		t.Errorf("the new process is %s", is)
	}
	if got := restOfStream(held); got != "MOVE" {
		t.Errorf("a client of the old one hears %q", got)
	}
	old.wantStatus("POST", "in-service", 200)
	if _, got := fresh.openWith("PING"); got != "PONG" {
		t.Errorf("back in service: %q", got)
	}
	old.end()
	fresh.end()
}

// Who is out by hand outlasts a killed process, and a folder that is none costs nothing but that.
func TestDisabledServersSurviveKill(t *testing.T) {
	env := directoryEnvironment(t)
	old := newHarness(t).start(env)
	old.wantStatus("POST", "servers/a/offline", 200)
	old.end()
	fresh := old.successor().start(env)
	if _, got := fresh.openFlow(); got != "BUSY 700" {
		t.Errorf("a server out by hand before the end: %q", got)
	}
	if err := os.RemoveAll(env("TMPDIR")); err != nil {
		t.Fatal(err)
	}
	fresh.wantStatus("POST", "servers/a/online", 200) // in force, whether or not it could be kept
	if out, _ := fresh.daemon.router.IsDisabled("a"); out {
		t.Error("a call answered yes took no effect")
	}
	if got := fresh.daemon.disabled.fault(); !strings.HasSuffix(got, "0 servers out by hand are held in memory alone") {
		t.Errorf("beside a folder that fails the state is %q", got)
	}
	fresh.wantStatus("POST", "servers/a/offline", 200)
	if err := os.Mkdir(env("TMPDIR"), 0o700); err != nil {
		t.Fatal(err)
	}
	fresh.awaitSaved(env("TMPDIR"), "a")
	fresh.end()
	if err := os.RemoveAll(env("TMPDIR")); err != nil {
		t.Fatal(err)
	}
	alone := fresh.successor().start(env)
	alone.wantStatus("POST", "servers/a/offline", 200)
	alone.end()
}

// Whoever does not speak as a process of this balancer gets nothing, and costs the one that serves nothing.
func TestHandoverRejectsStrangers(t *testing.T) {
	env := directoryEnvironment(t)
	g := newHarness(t).start(env)
	f, err := handover.Open(env("TMPDIR"), g.listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	hello := handover.Hello{Version: handover.Version, Listen: g.listenAddress}
	for _, c := range []struct {
		name, kind string
		body       any
	}{
		{"a later version", "hello", handover.Hello{Version: handover.Version + 1, Listen: g.listenAddress}},
		{"another address", "hello", handover.Hello{Version: handover.Version, Listen: "127.0.0.1:1"}},
		{"no greeting", "give", hello},
		{"nothing given yet", "have", hello},
		{"what nobody asks", "what", hello},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := f.Find()
			if err != nil || conn == nil {
				t.Fatalf("%v, %v", conn, err)
			}
			l := handover.NewLink(conn, nil, nil)
			go func() { _ = l.Run() }()
			if _, err := l.Ask(c.kind, c.body)(t.Context(), nil); !errors.Is(err, handover.ErrRefused) {
				t.Errorf("answered %v", err)
			}
			l.Close()
		})
	}
	conn, err := f.Find()
	if err != nil || conn == nil {
		t.Fatalf("%v, %v", conn, err)
	}
	_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, _ = io.Copy(io.Discard, conn) // it is sent away
	_ = conn.Close()
	if is := g.daemon.currentPhase(); is != serving {
		t.Errorf("phase %s", is)
	}
	if _, got := g.openFlow(); got != "UP 1" {
		t.Errorf("a flow afterwards: %q", got)
	}
	g.end()
}

// A new process that took a connection and ends before its answer is written has touched nothing of it: the old one, which goes on
// with it, reads every byte itself.
func TestTransferReadsNothingBeforeReply(t *testing.T) {
	g := newHarness(t).start(directoryEnvironment(t))
	defer g.end()
	l := listenLocal(t)
	both := func() (near *os.File, far net.Conn) {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close() })
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if near, err = c.(*net.TCPConn).File(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close() })
		return near, far
	}
	for i := range 20 {
		client, from := both()
		server, _ := both()
		body := fmt.Sprintf(`{"facts":{"id":"c%d","service":"live","key":"2"},"at":"a"}`, i)
		answer, _, err := g.daemon.receiveConnection([]byte(body), []*os.File{client, server})
		if err != nil {
			t.Fatal(err)
		}
		old, err := net.FileConn(client) // the old process's own
		if err != nil {
			t.Fatal(err)
		}
		_ = old.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
		if _, err := io.WriteString(from, "M 1\r\n"); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 5)
		if _, err := io.ReadFull(old, got); err != nil || string(got) != "M 1\r\n" {
			t.Fatalf("connection %d: the old process reads %q, %v", i, got, err)
		}
		if lost, ok := answer.(handover.After); ok {
			lost(false)
		}
		if n := g.daemon.frontend.ConnectionCount(); n != 0 {
			t.Fatalf("connection %d: %d held after all", i, n)
		}
		if _, err := io.WriteString(old, "M 2\r\n"); err != nil { // giving up ended neither side
			t.Fatal(err)
		}
		if _, err := io.ReadFull(from, got); err != nil || string(got) != "M 2\r\n" {
			t.Fatalf("connection %d: the client hears %q, %v", i, got, err)
		}
		old.Close()
	}
}
