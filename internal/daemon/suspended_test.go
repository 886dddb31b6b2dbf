package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var discovery = regexp.MustCompile(`"discovery":"[^"]*"`)

// A burst of clients leaves while the process has nothing of its core, and 0.1 s later it has it again: no connection is asked for on their
// behalf, whether they were in the queue or waited for their turn.
func TestClientsLeaveWhileSuspended(t *testing.T) {
	const many, late = 40, 100 * time.Millisecond
	for _, c := range []struct {
		name      string
		balancers int // of many each has one set-up out at a time
		queued    int // come while the process is stopped
	}{
		{"in the queue", 1, many},
		{"for their turn", 48, 0},
		{"both", 48, many / 2},
	} {
		for way, leave := range map[string]func(*net.TCPConn){
			"an end":       func(c *net.TCPConn) { c.Close() },
			"a half end":   func(c *net.TCPConn) { _ = c.CloseWrite() },
			"a reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
			"data, an end": func(c *net.TCPConn) { _, _ = c.Write([]byte("M 1\r\n")); c.Close() },
		} {
			t.Run(c.name+", "+way, func(t *testing.T) {
				t.Parallel()
				server := listenLocal(t)
				var mu sync.Mutex
				var came []net.Conn
				go func() {
					for {
						x, err := server.Accept()
						if err != nil {
							return
						}
						mu.Lock()
						came = append(came, x)
						mu.Unlock()
						go func() {
							if line, _ := bufio.NewReader(x).ReadString('\n'); strings.HasPrefix(line, "OPEN last ") {
								_, _ = x.Write([]byte("UP 2\r\n"))
							}
						}()
					}
				}()
				count := func(n int) func(string) bool {
					return func(string) bool { mu.Lock(); defer mu.Unlock(); return len(came) >= n }
				}
				watched := make(chan struct{}, 1)
				agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					w.(http.Flusher).Flush()
					watched <- struct{}{}
					<-q.Context().Done()
				}))
				t.Cleanup(agent.CloseClientConnections)
				g := newHarness(t)
				g.config = discovery.ReplaceAllLiteralString(g.config, fmt.Sprintf(`"discovery":%q`, strings.TrimPrefix(agent.URL, "http://")))
				g.config = strings.NewReplacer(g.serverAddress, server.Addr().String(), `"hard-limit":800000000`, `"hard-limit":8000000000`,
					`"settings":{`, fmt.Sprintf(`"settings":{"peers-total":%d,"guarantees":{"cold-from":0.2,"fall-multiple":3,"warm-after":20000000000,
					"fall":1500000000},`, c.balancers)).Replace(g.config)
				p := g.process()
				client := func(id string) *net.TCPConn {
					x, err := net.Dial("tcp", g.listenAddress)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { x.Close() })
					_ = x.SetDeadline(time.Now().Add(20 * time.Second))
					_, _ = fmt.Fprintf(x, "OPEN %s 2 c=live,d=8000\r\n", id)
					return x.(*net.TCPConn)
				}
				first := client("first")
				p.awaitProcess("sent on", count(1))
				var gone []*net.TCPConn
				for i := range many - c.queued {
					gone = append(gone, client(fmt.Sprint("w", i)))
				}
				if _, got := g.openWith("PING"); got != "PONG" { // all that stood before it in the queue were taken out
					t.Fatalf("PING is answered %q", got)
				}
				g.lastClient.Close()
				select {
				case <-watched:
				case <-time.After(10 * time.Second):
					t.Fatal("the list is not watched")
				}
				p.signal(syscall.SIGSTOP)
				p.awaitProcess("stopped", func(proc string) bool {
					stat, _ := os.ReadFile(proc + "stat")
					return strings.Contains(string(stat), ") T ")
				})
				for i := range c.queued {
					gone = append(gone, client(fmt.Sprint("q", i)))
				}
				own, err := net.Dial("tcp", server.Addr().String()) // it stands behind all that came until now
				if err != nil {
					t.Fatal(err)
				}
				defer own.Close()
				taken := func(last net.Conn) func(string) bool {
					return func(string) bool {
						mu.Lock()
						defer mu.Unlock()
						return came[len(came)-1].RemoteAddr().String() == last.LocalAddr().String()
					}
				}
				p.awaitProcess("all taken in", taken(own))
				for _, x := range gone {
					leave(x)
				}
				time.Sleep(late) // the term's own
				mu.Lock()
				before := len(came)
				for _, x := range came {
					_, _ = x.Write([]byte("UP 1\r\n")) // a turn is free
				}
				mu.Unlock()
				p.signal(syscall.SIGCONT)
				if got, err := bufio.NewReader(first).ReadString('\n'); got != "UP 1\r\n" {
					t.Fatalf("who stayed hears %q, %v", got, err)
				}
				last, err := bufio.NewReader(client("last")).ReadString('\n')
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("the last hears %q", last)
				want := strings.Count(last, "UP 2") // or told to come again, where turns are few
				p.signal(syscall.SIGTERM)           // whatever was begun on behalf of those that left is over once the process is
				_ = p.cmd.Wait()                    // its own end in time is another test's
				behind, err := net.Dial("tcp", server.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer behind.Close()
				p.awaitProcess("all taken in", taken(behind))
				mu.Lock()
				defer mu.Unlock()
				if n := len(came) - before - 1; n != want {
					t.Errorf("%d connections are asked for on behalf of %d clients that left and one that hears %q", n, len(gone), last)
				}
			})
		}
	}
}
