package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A balancer from its configuration to its exit: it serves, and when told to stop it goes on serving what comes,
// moves its clients, and holds nothing at the end.
func TestLifecycle(t *testing.T) {
	server := startEchoServer(t)
	watched := make(chan string, 16)
	agent := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.(http.Flusher).Flush()
			watched <- name
			<-q.Context().Done()
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	old, renewed := agent("old"), agent("renewed")
	free := listenLocal(t)
	addr := free.Addr().String()
	free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":200},
		"known":{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]},
		"settings":{"policy-limits":{"max-connects":3},"service-types":[{"name":"live","effect":"free","group":"all",
		"hard-limit":800000000,"setup-target":300000000}]}}`, addr, old, server)
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	if err := Check(path, "", os.Getenv); err != nil {
		t.Fatal(err)
	}
	p, err := Load(path, "", os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	stop, term := context.WithCancel(context.Background())
	done := make(chan error, 1)
	again := make(chan os.Signal)
	go func() { done <- p.Serve(stop, again) }()
	watching := func(want string) {
		t.Helper()
		select {
		case got := <-watched:
			if got != want {
				t.Errorf("watches %s, want %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("%s is not watched", want)
		}
	}
	watching("old")
	id := 0
	dial := func() *bufio.Reader {
		id++
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		in := bufio.NewReader(c)
		for _, x := range [][2]string{{fmt.Sprintf("OPEN %d 2 c=live,d=800\r\n", id), "UP 1\r\n"}, {"M 1\r\n", "M 1\r\n"}} {
			if _, err := io.WriteString(c, x[0]); err != nil {
				t.Fatal(err)
			}
			if got, err := in.ReadString('\n'); got != x[1] {
				t.Fatalf("got %q, %v", got, err)
			}
		}
		return in
	}
	first := dial()
	for _, bad := range []string{"{", `{}`, strings.Replace(text, old, "nowhere", 1)} { // none changes anything
		write(bad)
		again <- syscall.SIGHUP
	}
	write(strings.Replace(text, old, renewed, 1))
	again <- syscall.SIGHUP
	watching("renewed")
	again <- syscall.SIGHUP
	dial()
	term()
	again <- syscall.SIGHUP // neither twice nor while draining does it harm
	start := time.Now()
	late := dial() // the front sends on for a while
	for _, in := range []*bufio.Reader{first, late} {
		if rest, err := io.ReadAll(in); err != nil || string(rest) != "MOVE\r\n" {
			t.Errorf("heard %q, %v", rest, err)
		}
	}
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
	if took := time.Since(start); took > 800*time.Millisecond+shutdownDrainSlack {
		t.Errorf("stopped after %v", took)
	}
	if p.phase != stopped {
		t.Errorf("phase %s", p.phase)
	}
}

// However short a client's wait is, whoever is sent here for a while after the signal still finds the socket open.
func TestShutdownWithShortClientTimeouts(t *testing.T) {
	for {
		g := newHarness(t)
		g.config = strings.Replace(g.config, `"hard-limit":800000000`, `"hard-limit":20000000`, 1)
		if err := os.WriteFile(g.path, []byte(g.config), 0o600); err != nil {
			t.Fatal(err)
		}
		g.start(directoryEnvironment(t))
		start := time.Now()
		g.stop()
		time.Sleep(newClientsWindow - 50*time.Millisecond)
		c, err := net.Dial("tcp", g.listenAddress)
		inTime := time.Since(start) < newClientsWindow
		answer := ""
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.WriteString(c, "PING\r\n")
			answer, _ = bufio.NewReader(c).ReadString('\n')
			c.Close()
		}
		<-g.done
		if !inTime {
			continue // the machine was late: it was no new connection of that while
		}
		if err != nil || answer == "" {
			t.Errorf("a connection of that while: %q, %v", answer, err)
		}
		return
	}
}

// At the end of the drain's time, which is over here as it begins, what counts is whether anything is held.
func TestConnectionsLeftAfterShutdown(t *testing.T) {
	for _, c := range []struct {
		name string
		say  string
		want error
	}{
		{"nobody", "", nil},
		{"a client that stands", "OPEN 1 2 c=live,d=800\r\n", errConnectionsRemain},
		{"a client in the middle of its line", "PING\r\nOPEN 1 2 c=live", errConnectionsRemain},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t).start(directoryEnvironment(t), func(p *Daemon) { p.maxClientTimeout = -shutdownDrainSlack })
			if c.say != "" {
				client, err := net.Dial("tcp", g.listenAddress)
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				_ = client.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
				if _, err := io.WriteString(client, c.say); err != nil {
					t.Fatal(err)
				}
				if got, err := bufio.NewReader(client).ReadString('\n'); err != nil {
					t.Fatalf("hears %q, %v", got, err)
				}
			}
			g.stop()
			if err := <-g.done; !errors.Is(err, c.want) {
				t.Errorf("ended with %v, want %v", err, c.want)
			}
		})
	}
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func TestFaultyConfiguration(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no address", `{}`, "listen: is missing"},
		{"a list that is none", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":[],
			"settings":{"service-types":[{"name":"x"}]}}`, "known: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := Check(path, "", os.Getenv); err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("fault %v, want %s", err, c.want)
			}
		})
	}
}
