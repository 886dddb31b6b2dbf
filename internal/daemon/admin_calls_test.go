package daemon

import (
	"bufio"
	"context"
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

	"yardwinch/internal/admin"
)

// harness is a balancer with a second address, before servers that say UP and echo.
type harness struct {
	t                           *testing.T
	daemon                      *Daemon
	listenAddress, adminAddress string
	path                        string
	stop                        context.CancelFunc
	done                        chan error
	openedFlows                 int
	config                      string
	serverAddress               string
	lastClient                  net.Conn // the last client's
	descriptorLimit             int      // descriptors that the system lets its process have; 0: as many as the test has
}

// reservedAddress is an address that refuses connections until the program listens there, and until the test's end is nobody else's: it is bound
// and not listened on, which lets an explicit bind in and keeps the system from giving it away. One that is merely free may come to be
// another test's own listener, which then takes this balancer's call to discovery for the connection that it waits for.
func reservedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	at, nameless := syscall.Getsockname(fd)
	if err = errors.Join(err, nameless); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
}

// startEchoServer is a server that sends back what it is sent; asked, where given, hears of each probe.
func startEchoServer(t *testing.T, asked ...chan<- struct{}) string {
	server := listenLocal(t)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(c)
				if line, _ := in.ReadString('\n'); strings.HasPrefix(line, "OPEN ") {
					_, _ = io.WriteString(c, "UP 1\r\n")
				} else if line == "STATS\r\n" && len(asked) > 0 {
					_, _ = io.WriteString(c, "PONG x0:0.4,throughput:1,outstanding:2\r\n")
					asked[0] <- struct{}{}
				}
				_, _ = io.Copy(c, in)
				c.Close()
			}()
		}
	}()
	return server.Addr().String()
}

func newHarness(t *testing.T) *harness {
	g := &harness{t: t, listenAddress: reservedAddress(t), adminAddress: reservedAddress(t), serverAddress: startEchoServer(t), path: filepath.Join(t.TempDir(), "config.json")}
	g.config = fmt.Sprintf(`{"listen":%q,"control":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":400},
		"known":{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]},
		"settings":{"policy-limits":{"max-connects":3,"retry-after":true,"max-retry-after":700000000},"service-types":[{"name":"live",
		"effect":"free","group":"all","hard-limit":800000000,"setup-target":300000000}]}}`, g.listenAddress, g.adminAddress, reservedAddress(t), g.serverAddress)
	if err := os.WriteFile(g.path, []byte(g.config), 0o600); err != nil {
		t.Fatal(err)
	}
	return g
}

func (g *harness) start(env func(string) string, before ...func(p *Daemon)) *harness {
	g.t.Helper()
	var err error
	if g.daemon, err = Load(g.path, "", env); err != nil {
		g.t.Fatal(err)
	}
	for _, do := range before {
		do(g.daemon)
	}
	stop, cancel := context.WithCancel(context.Background())
	g.stop, g.done = cancel, make(chan error, 1)
	go func() { g.done <- g.daemon.Serve(stop, nil) }()
	g.awaitStatus("GET", "ready", 200)
	return g
}

func (g *harness) end() {
	g.t.Helper()
	g.stop()
	if err := <-g.done; err != nil {
		g.t.Errorf("ended with %v", err)
	}
}

func (g *harness) callAdmin(method, what string) int {
	g.t.Helper()
	q, err := http.NewRequest(method, "http://"+g.adminAddress+"/control/"+what, nil)
	if err != nil {
		g.t.Fatal(err)
	}
	a, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// awaitStatus asks again until the answer is the one wanted; a test that hangs is to fail.
func (g *harness) awaitStatus(method, what string, code int) {
	g.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		got := g.callAdmin(method, what)
		if got == code {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("%s %s: %d, want %d", method, what, got, code)
		}
	}
}

func (g *harness) wantStatus(method, what string, code int) {
	g.t.Helper()
	if got := g.callAdmin(method, what); got != code {
		g.t.Errorf("%s %s: %d, want %d", method, what, got, code)
	}
}

// openWith opens a client's connection with a line and gives the first line that comes back.
func (g *harness) openWith(line string) (*bufio.Reader, string) {
	g.t.Helper()
	c, err := net.Dial("tcp", g.listenAddress)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, line+"\r\n"); err != nil {
		g.t.Fatal(err)
	}
	in := bufio.NewReader(c)
	got, _ := in.ReadString('\n')
	g.lastClient = c
	return in, strings.TrimSpace(got)
}

func (g *harness) openFlow() (*bufio.Reader, string) {
	g.openedFlows++
	return g.openWith(fmt.Sprintf("OPEN %p-%d 2 c=live,d=800", g, g.openedFlows))
}

func restOfStream(in *bufio.Reader) string {
	text, err := io.ReadAll(in)
	return strings.TrimSpace(fmt.Sprint(string(text), errors.Join(err)))[:min(4, len(text))]
}

// Out of service PING is answered no from the next one on, what still comes is served and moved, and afterwards whoever comes
// is told when to come again; back in service all is as before, half-way too.
func TestOutOfServiceDrains(t *testing.T) {
	g := newHarness(t).start(os.Getenv)
	held, up := g.openFlow()
	if up != "UP 1" {
		t.Fatalf("before: %q", up)
	}
	ping := func(want string) {
		t.Helper()
		if _, got := g.openWith("PING"); got != want {
			t.Errorf("PING is answered %q, want %q", got, want)
		}
	}
	ping("PONG")
	g.wantStatus("POST", "out-of-service", 200)
	start := time.Now()
	ping("BUSY")
	late, up := g.openFlow()
	if up != "UP 1" {
		t.Errorf("a flow that the front still sent: %q", up)
	}
	g.wantStatus("POST", "out-of-service", 200) // twice does no harm
	g.wantStatus("GET", "ready", 200)
	for _, in := range []*bufio.Reader{held, late} {
		if got := restOfStream(in); got != "MOVE" {
			t.Errorf("a client held hears %q", got)
		}
	}
	if took := time.Since(start); took > 4*time.Second {
		t.Errorf("emptied after %v", took)
	}
	for g.daemon.currentPhase() != drained {
		time.Sleep(time.Millisecond)
	}
	if _, got := g.openFlow(); got != "BUSY 700" {
		t.Errorf("out of service a flow hears %q", got)
	}
	g.wantStatus("POST", "in-service", 200)
	ping("PONG")
	if _, got := g.openFlow(); got != "UP 1" {
		t.Errorf("back in service a flow hears %q", got)
	}
	g.wantStatus("POST", "out-of-service", 200)
	g.wantStatus("POST", "in-service", 200) // half-way
	ping("PONG")
	kept, got := g.openFlow()
	if got != "UP 1" {
		t.Errorf("back half-way a flow hears %q", got)
	}
	g.wantStatus("POST", "out-of-service", 200)
	g.stop()
	g.awaitStatus("GET", "ready", 503)
	ping("BUSY") // told to end it is out of service all the same
	if got := restOfStream(kept); got != "MOVE" {
		t.Errorf("at the end a client hears %q", got)
	}
	g.end()
}

// What may be asked in each phase.
func TestAdminCallsByPhase(t *testing.T) {
	for _, c := range []struct {
		in               phase
		ready, out, back bool
		afterOut         phase
	}{
		{loading, false, false, false, loading},
		{serving, true, true, true, draining},
		{draining, true, true, true, draining},
		{drained, true, true, true, drained},
		{handingOver, false, true, true, draining}, // where the process that took over is gone again
		{shuttingDown, false, false, false, shuttingDown},
		{stopped, false, false, false, stopped},
	} {
		t.Run(string(c.in), func(t *testing.T) {
			at := func() adminCalls {
				g := newHarness(t)
				p, err := prepare(g.path, "", os.Getenv)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				if p.ctx, p.phase = ctx, c.in; c.in != loading {
					close(p.started)
					p.startedOnce.Do(func() {})
				}
				t.Cleanup(func() { cancel(); p.goroutines.Wait() })
				return adminCalls{p}
			}
			x := at()
			for what, got := range map[string][2]bool{"ready": {x.Ready() == nil, c.ready},
				"out": {x.OutOfService(t.Context()) == nil, c.out}, "in": {at().InService(t.Context()) == nil, c.back}} {
				if got[0] != got[1] {
					t.Errorf("%s is answered yes: %v", what, got[0])
				}
			}
			if is := x.daemon.currentPhase(); is != c.afterOut {
				t.Errorf("out of service leads to %s", is)
			}
			if err := x.Ready(); err != nil && !errors.Is(err, admin.ErrNotReady) {
				t.Error(err)
			}
		})
	}
}

// A ban is in force before the yes: whoever comes next hears when to come again if no other server is left.
func TestDisabledServers(t *testing.T) {
	g := newHarness(t).start(os.Getenv)
	g.wantStatus("POST", "servers/b/offline", 404)
	g.wantStatus("POST", "servers/a/offline", 200)
	if _, got := g.openFlow(); got != "BUSY 700" {
		t.Errorf("with its only server out by hand a flow hears %q", got)
	}
	g.wantStatus("POST", "servers/a/offline", 200)
	g.wantStatus("POST", "servers/a/online", 200)
	for range 1000 { // a cold server takes its first flow within seconds
		if _, got := g.openFlow(); got == "UP 1" {
			g.end()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the server given back is not used again")
}
