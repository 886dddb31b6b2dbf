package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// idleClients is idle clients: so many stand at any time or wait to be accepted, as each that is closed comes again. One that grew whatever
// the balancer lets in would put a usual client behind ever more of them in the system's queue, which serves in turn.
type idleClients struct {
	stopped     chan struct{}
	firstAnswer chan string // what the first that was ended had heard
	clients     sync.WaitGroup
}

func newIdleClients(t *testing.T, addr string, n int) *idleClients {
	w := &idleClients{stopped: make(chan struct{}), firstAnswer: make(chan string, 1)}
	for range n {
		w.clients.Go(func() {
			for w.holdOne(addr) {
			}
		})
	}
	t.Cleanup(func() { close(w.stopped); w.clients.Wait() })
	return w
}

// holdOne has one idle client come and stay until it is ended, and tells whether it is to come again.
func (w *idleClients) holdOne(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		heard := make(chan struct{})
		go func() {
			select {
			case <-w.stopped:
			case <-heard:
			}
			c.Close()
		}()
		got, _ := bufio.NewReader(c).ReadString('\n')
		close(heard)
		select {
		case w.firstAnswer <- got:
		default:
		}
	}
	select {
	case <-w.stopped:
		return false
	case <-time.After(10 * time.Millisecond): // as a client that comes again does
		return true
	}
}

// awaitFull waits until one had to make room: all is full.
func (w *idleClients) awaitFull(t *testing.T) {
	t.Helper()
	select {
	case got := <-w.firstAnswer:
		if got != "BUSY\r\n" {
			t.Fatalf("the first idle one hears %q", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no idle one made room")
	}
}

// Idle clients fill all descriptors there are while discovery is down. Once it is back its news count in time, usual clients are served by the
// new server, the staff's calls are answered and probes go out, though the idle ones go on coming. The system itself holds the process to what
// its platform allows, so that one that was not set aside is missing.
func TestDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const counts = 6 * time.Second // the term's own
	for limit, usual := range map[int]int{66: 2, 72: 4, 80: 8, 120: 8, 400: 8} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			probed := make(chan struct{}, 1000)
			late, at := startEchoServer(t, probed), reservedAddress(t)
			g := newHarness(t)
			g.config = discovery.ReplaceAllLiteralString(g.config, fmt.Sprintf(`"discovery":%q`, at))
			g.config = strings.NewReplacer(`"sockets":400`, fmt.Sprintf(`"sockets":%d`, limit), `"retry-after":true`,
				`"retry-after":true,"probes":true`, `"settings":{`, `"settings":{"reporting":{"how":"pull"},`).Replace(g.config)
			g.descriptorLimit = limit
			g.process()
			crowd := newIdleClients(t, g.listenAddress, 2*limit)
			crowd.awaitFull(t)
			for range 32 { // callers of the staff's address who say nothing
				if c, err := net.Dial("tcp", g.adminAddress); err == nil {
					t.Cleanup(func() { c.Close() })
				}
			}
			watched := make(chan time.Time, 100)
			l, err := net.Listen("tcp", at)
			if err != nil {
				t.Fatal(err)
			}
			agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				_, _ = fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"b","host_port":%q,"phase":"SERVING"}]}`+"\n", late)
				w.(http.Flusher).Flush()
				watched <- time.Now()
				<-q.Context().Done()
			})}
			back := time.Now()
			go func() { _ = agent.Serve(l) }()
			defer agent.Close()
			select {
			case stands := <-watched:
				t.Logf("watched after %v", stands.Sub(back))
				if stands.Sub(back) > counts {
					t.Errorf("watched after %v", stands.Sub(back))
				}
			case <-time.After(10 * time.Second):
				t.Fatal("not watched")
			}
			g.awaitStatus("POST", "servers/b/online", 200) // its news count
			if took := time.Since(back); took > counts {
				t.Errorf("its news count after %v", took)
			}
			for _, what := range []string{"offline", "online"} {
				var calls sync.WaitGroup
				for range 4 {
					calls.Go(func() { g.wantStatus("POST", "servers/b/"+what, 200) })
				}
				calls.Wait()
			}
			var flows sync.WaitGroup
			stay := make(chan net.Conn, usual)
			for i := range usual {
				flows.Go(func() {
					for n := 0; ; n++ { // a cold server takes flows one by one, and who is turned away comes again
						c, err := net.Dial("tcp", g.listenAddress)
						if err != nil {
							t.Error(err)
							return
						}
						_ = c.SetDeadline(time.Now().Add(10 * time.Second))
						_, _ = fmt.Fprintf(c, "OPEN u%d-%d 2 c=live,d=800\r\n", i, n)
						got, err := bufio.NewReader(c).ReadString('\n')
						if got == "UP 1\r\n" {
							stay <- c
							return
						}
						c.Close()
						if err != nil || !strings.HasPrefix(got, "BUSY") || n > 20 {
							t.Errorf("a usual client hears %q, %v at attempt %d", got, err, n)
							return
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			flows.Wait()
			select {
			case <-probed:
			case <-time.After(10 * time.Second):
				t.Error("no probe came")
			}
			g.wantStatus("GET", "ready", 200)
			for close(stay); ; {
				c, ok := <-stay
				if !ok {
					break
				}
				c.Close()
			}
		})
	}
}
