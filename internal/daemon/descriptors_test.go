package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// idleClients is a fixed number of clients that connect and send nothing; each reconnects when it is closed. The number
// is fixed because a regular client waits behind all idle ones in the listen backlog.
type idleClients struct {
	t           *testing.T
	address     string
	stopped     chan struct{}
	firstAnswer chan string // what the first client to be closed received
	clients     sync.WaitGroup
}

func startIdleClients(t *testing.T, address string, number int) *idleClients {
	t.Helper()
	c := &idleClients{t: t, address: address, stopped: make(chan struct{}), firstAnswer: make(chan string, 1)}
	for range number {
		c.clients.Go(func() {
			for c.holdOne() {
			}
		})
	}
	t.Cleanup(func() {
		close(c.stopped)
		c.clients.Wait()
	})
	return c
}

// holdOne connects one idle client, waits until it is closed, and reports whether to reconnect.
func (c *idleClients) holdOne() (continues bool) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.WithoutCancel(c.t.Context()), "tcp", c.address)
	if err == nil {
		c.awaitClosed(conn)
	}
	select {
	case <-c.stopped:
		return false
	case <-time.After(flowInterval):
		return true
	}
}

func (c *idleClients) awaitClosed(conn net.Conn) {
	received := make(chan struct{})
	go func() {
		select {
		case <-c.stopped:
		case <-received:
		}
		_ = conn.Close()
	}()
	got, _ := bufio.NewReader(conn).ReadString('\n')
	close(received)
	select {
	case c.firstAnswer <- got:
	default:
	}
}

// awaitFull waits until the balancer has closed a client to free its descriptor.
func (c *idleClients) awaitFull() {
	c.t.Helper()
	select {
	case got := <-c.firstAnswer:
		if got != "BUSY\r\n" {
			c.t.Fatalf("the first idle client that was closed received %q", got)
		}
	case <-time.After(testTimeout):
		c.t.Fatal("no idle client was closed")
	}
}

// Idle clients use up all descriptors while discovery is down. When discovery is back its list takes effect in time,
// regular clients are served by the new server, operators' calls are answered and health checks are made, although idle
// clients keep reconnecting. RLIMIT_NOFILE limits the process to the configured number of descriptors, so that the test
// fails if too few are reserved.
func TestDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	for limit, regular := range map[int]int{66: 2, 72: 4, 80: 8, 120: 8, 400: 8} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) { testDescriptorLimit(t, limit, regular) })
	}
}

func testDescriptorLimit(t *testing.T, limit, regularClients int) {
	checked := make(chan struct{}, 1000)
	newServer, agentAddress := startEchoServer(t, checked), reservedAddress(t)
	h := newHarness(t)
	h.setDiscovery(agentAddress)
	h.config = strings.NewReplacer(`"sockets":400`, fmt.Sprintf(`"sockets":%d`, limit), `"retry-after":true`,
		`"retry-after":true,"probes":true`, `"settings":{`, `"settings":{"reporting":{"how":"pull"},`).Replace(h.config)
	h.descriptorLimit = limit
	h.startAndAwait()
	startIdleClients(t, h.listenAddress, 2*limit).awaitFull()
	for range 32 { // idle connections to the address for operators
		_, _ = tryDial(t, h.adminAddress) // some are refused
	}
	back := time.Now()
	wantListInTime(t, h, startListAgent(t, agentAddress, newServer), back)
	for _, call := range []string{"offline", "online"} {
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() { h.wantStatus("POST", "servers/b/"+call, http.StatusOK) })
		}
		calls.Wait()
	}
	var clients sync.WaitGroup
	for i := range regularClients {
		clients.Go(func() { h.awaitRegularClient(i) })
	}
	clients.Wait()
	select {
	case <-checked:
	case <-time.After(testTimeout):
		t.Error("no health check was made")
	}
	h.wantStatus("GET", "ready", http.StatusOK)
}

// startListAgent starts a discovery agent whose list has one server, b. The channel receives the time of each watch.
func startListAgent(t *testing.T, address, server string) <-chan time.Time {
	t.Helper()
	watched := make(chan time.Time, 100)
	agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"b","host_port":%q,"phase":"SERVING"}]}`+"\n", server)
		w.(http.Flusher).Flush()
		watched <- time.Now()
		<-r.Context().Done()
	})}
	listener := listenAt(t, address)
	go func() { _ = agent.Serve(listener) }() // runs until the agent is closed
	t.Cleanup(func() { _ = agent.Close() })
	return watched
}

// wantListInTime checks that the list is watched and takes effect within the time that operators allow.
func wantListInTime(t *testing.T, h *harness, watched <-chan time.Time, back time.Time) {
	t.Helper()
	const allowed = 6 * time.Second
	select {
	case at := <-watched:
		t.Logf("watched after %v", at.Sub(back))
		if at.Sub(back) > allowed {
			t.Errorf("the list is watched after %v, which is too late", at.Sub(back))
		}
	case <-time.After(testTimeout):
		t.Fatal("the list is not watched")
	}
	h.awaitStatus("POST", "servers/b/online", http.StatusOK) // the list is in effect
	if took := time.Since(back); took > allowed {
		t.Errorf("the list is in effect after %v, which is too late", took)
	}
}

// awaitRegularClient opens a flow that stays open until the end of the test. A server in slow start accepts one flow at
// a time; a rejected client retries.
func (h *harness) awaitRegularClient(number int) {
	const maxAttempts = 20
	for attempt := 0; ; attempt++ {
		conn, err := tryDial(h.t, h.listenAddress)
		if err != nil {
			h.t.Error(err)
			return
		}
		// An error shows when the reply is read.
		_, _ = io.WriteString(conn, fmt.Sprintf("OPEN u%d-%d 2 c=live,d=800\r\n", number, attempt))
		got, err := bufio.NewReader(conn).ReadString('\n')
		if got == "UP 1\r\n" {
			return
		}
		_ = conn.Close()
		if err != nil || !strings.HasPrefix(got, "BUSY") || attempt > maxAttempts {
			h.t.Errorf("a regular client receives %q, %v at attempt %d", got, err, attempt)
			return
		}
		time.Sleep(5 * flowInterval)
	}
}

// Guards against a process that is killed because it accepts more connections than fit into its memory limit: the
// clients beyond are rejected, however many descriptors there are.
func TestConnectionsFitIntoMemoryLimit(t *testing.T) {
	const (
		memoryMiB = 17
		most      = (memoryMiB<<20 - processMemory) / memoryPerDescriptor / 2 // clients with their servers
	)
	h := newHarness(t)
	h.config = strings.Replace(h.config, `"memory_mb":64,"sockets":400`, fmt.Sprintf(`"memory_mb":%d,"sockets":4000`, memoryMiB), 1)
	h.startAndAwait()
	established, rejected := 0, 0
	for range 2 * most {
		switch _, answer := h.openFlow(); {
		case answer == "UP 1":
			established++
		case strings.HasPrefix(answer, "BUSY"):
			rejected++
		default:
			t.Fatalf("a client is answered %q", answer)
		}
	}
	if established > most || established < most/2 || rejected == 0 {
		t.Errorf("%d clients are established and %d rejected, want at most %d established and the others rejected",
			established, rejected, most)
	}
}
