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

// rig is a balancer with a second address, before servers that say UP and echo.
type rig struct {
	t             *testing.T
	p             *Daemon
	addr, calls   string
	path          string
	stop          context.CancelFunc
	done          chan error
	opened        int
	config        string
	serverAddress string
	conn          net.Conn // the last client's
	held          int      // descriptors that the system lets its process have; 0: as many as the test has
}

// free is an address that refuses connections until the program listens there, and until the test's end is nobody else's: it is bound
// and not listened on, which lets an explicit bind in and keeps the system from giving it away. One that is merely free may come to be
// another test's own listener, which then takes this balancer's call to discovery for the connection that it waits for.
func free(t *testing.T) string {
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

// echo is a server that sends back what it is sent; asked, where given, hears of each probe.
func echo(t *testing.T, asked ...chan<- struct{}) string {
	server := listen(t)
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

func newRig(t *testing.T) *rig {
	g := &rig{t: t, addr: free(t), calls: free(t), serverAddress: echo(t), path: filepath.Join(t.TempDir(), "config.json")}
	g.config = fmt.Sprintf(`{"listen":%q,"control":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":400},
		"known":{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]},
		"settings":{"policy-limits":{"max-connects":3,"retry-after":true,"max-retry-after":700000000},"service-types":[{"name":"live",
		"effect":"free","group":"all","hard-limit":800000000,"setup-target":300000000}]}}`, g.addr, g.calls, free(t), g.serverAddress)
	if err := os.WriteFile(g.path, []byte(g.config), 0o600); err != nil {
		t.Fatal(err)
	}
	return g
}

func (g *rig) start(env func(string) string, before ...func(p *Daemon)) *rig {
	g.t.Helper()
	var err error
	if g.p, err = Load(g.path, "", env); err != nil {
		g.t.Fatal(err)
	}
	for _, do := range before {
		do(g.p)
	}
	stop, cancel := context.WithCancel(context.Background())
	g.stop, g.done = cancel, make(chan error, 1)
	go func() { g.done <- g.p.Serve(stop, nil) }()
	g.until("GET", "ready", 200)
	return g
}

func (g *rig) end() {
	g.t.Helper()
	g.stop()
	if err := <-g.done; err != nil {
		g.t.Errorf("ended with %v", err)
	}
}

func (g *rig) ask(method, what string) int {
	g.t.Helper()
	q, err := http.NewRequest(method, "http://"+g.calls+"/control/"+what, nil)
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

// until asks again until the answer is the one wanted; a test that hangs is to fail.
func (g *rig) until(method, what string, code int) {
	g.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		got := g.ask(method, what)
		if got == code {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("%s %s: %d, want %d", method, what, got, code)
		}
	}
}

func (g *rig) want(method, what string, code int) {
	g.t.Helper()
	if got := g.ask(method, what); got != code {
		g.t.Errorf("%s %s: %d, want %d", method, what, got, code)
	}
}

// says opens a client's connection with a line and gives the first line that comes back.
func (g *rig) says(line string) (*bufio.Reader, string) {
	g.t.Helper()
	c, err := net.Dial("tcp", g.addr)
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
	g.conn = c
	return in, strings.TrimSpace(got)
}

func (g *rig) flow() (*bufio.Reader, string) {
	g.opened++
	return g.says(fmt.Sprintf("OPEN %p-%d 2 c=live,d=800", g, g.opened))
}

func rest(in *bufio.Reader) string {
	text, err := io.ReadAll(in)
	return strings.TrimSpace(fmt.Sprint(string(text), errors.Join(err)))[:min(4, len(text))]
}

// Out of service PING is answered no from the next one on, what still comes is served and moved, and afterwards whoever comes
// is told when to come again; back in service all is as before, half-way too.
func TestEmptying(t *testing.T) {
	g := newRig(t).start(os.Getenv)
	held, up := g.flow()
	if up != "UP 1" {
		t.Fatalf("before: %q", up)
	}
	ping := func(want string) {
		t.Helper()
		if _, got := g.says("PING"); got != want {
			t.Errorf("PING is answered %q, want %q", got, want)
		}
	}
	ping("PONG")
	g.want("POST", "out-of-service", 200)
	start := time.Now()
	ping("BUSY")
	late, up := g.flow()
	if up != "UP 1" {
		t.Errorf("a flow that the front still sent: %q", up)
	}
	g.want("POST", "out-of-service", 200) // twice does no harm
	g.want("GET", "ready", 200)
	for _, in := range []*bufio.Reader{held, late} {
		if got := rest(in); got != "MOVE" {
			t.Errorf("a client held hears %q", got)
		}
	}
	if took := time.Since(start); took > 4*time.Second {
		t.Errorf("emptied after %v", took)
	}
	for g.p.is() != empty {
		time.Sleep(time.Millisecond)
	}
	if _, got := g.flow(); got != "BUSY 700" {
		t.Errorf("out of service a flow hears %q", got)
	}
	g.want("POST", "in-service", 200)
	ping("PONG")
	if _, got := g.flow(); got != "UP 1" {
		t.Errorf("back in service a flow hears %q", got)
	}
	g.want("POST", "out-of-service", 200)
	g.want("POST", "in-service", 200) // half-way
	ping("PONG")
	kept, got := g.flow()
	if got != "UP 1" {
		t.Errorf("back half-way a flow hears %q", got)
	}
	g.want("POST", "out-of-service", 200)
	g.stop()
	g.until("GET", "ready", 503)
	ping("BUSY") // told to end it is out of service all the same
	if got := rest(kept); got != "MOVE" {
		t.Errorf("at the end a client hears %q", got)
	}
	g.end()
}

// What may be asked in each phase.
func TestCallsByPhase(t *testing.T) {
	for _, c := range []struct {
		in               phase
		ready, out, back bool
		afterOut         phase
	}{
		{loading, false, false, false, loading},
		{serving, true, true, true, emptying},
		{emptying, true, true, true, emptying},
		{empty, true, true, true, empty},
		{handing, false, true, true, emptying}, // where the process that took over is gone again
		{draining, false, false, false, draining},
		{stopped, false, false, false, stopped},
	} {
		t.Run(string(c.in), func(t *testing.T) {
			at := func() calls {
				g := newRig(t)
				p, err := prepare(g.path, "", os.Getenv)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				if p.ctx, p.phase = ctx, c.in; c.in != loading {
					close(p.up)
					p.upOnce.Do(func() {})
				}
				t.Cleanup(func() { cancel(); p.parts.Wait() })
				return calls{p}
			}
			x := at()
			for what, got := range map[string][2]bool{"ready": {x.Ready() == nil, c.ready},
				"out": {x.OutOfService(t.Context()) == nil, c.out}, "in": {at().InService(t.Context()) == nil, c.back}} {
				if got[0] != got[1] {
					t.Errorf("%s is answered yes: %v", what, got[0])
				}
			}
			if is := x.p.is(); is != c.afterOut {
				t.Errorf("out of service leads to %s", is)
			}
			if err := x.Ready(); err != nil && !errors.Is(err, admin.ErrNotReady) {
				t.Error(err)
			}
		})
	}
}

// A ban is in force before the yes: whoever comes next hears when to come again if no other server is left.
func TestServersByHand(t *testing.T) {
	g := newRig(t).start(os.Getenv)
	g.want("POST", "servers/b/offline", 404)
	g.want("POST", "servers/a/offline", 200)
	if _, got := g.flow(); got != "BUSY 700" {
		t.Errorf("with its only server out by hand a flow hears %q", got)
	}
	g.want("POST", "servers/a/offline", 200)
	g.want("POST", "servers/a/online", 200)
	for range 1000 { // a cold server takes its first flow within seconds
		if _, got := g.flow(); got == "UP 1" {
			g.end()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the server given back is not used again")
}
