package protocol

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const ms, sec = time.Millisecond, time.Second

// hangTimeout fails a test that hangs.
const hangTimeout = 10 * sec

// balancerSettings are the settings in which the tests' balancers differ.
type balancerSettings struct {
	effect         decide.Effect
	descriptors    int
	balancers      int // the number that share the servers' slow start
	connectTimeout time.Duration
	retryWindow    time.Duration
}

// defaultSettings returns the settings of most tests.
func defaultSettings(effect decide.Effect, descriptors int) balancerSettings {
	return balancerSettings{effect: effect, descriptors: descriptors, balancers: 1, connectTimeout: 200 * ms, retryWindow: 2 * sec}
}

// testBalancer is a frontend on the loopback interface. The test plays its servers.
type testBalancer struct {
	t         *testing.T
	router    *routing.Router
	frontend  *Frontend
	addr      string
	budget    *transport.DescriptorBudget
	flowCount int
	serve     func() // starts accepting connections
	stop      func()
}

// startBalancer returns a balancer that accepts connections.
func startBalancer(t *testing.T, effect decide.Effect, descriptors int, servers ...string) *testBalancer {
	t.Helper()
	b := newTestBalancer(t, defaultSettings(effect, descriptors), servers...)
	b.serve()
	return b
}

// newTestBalancer returns a balancer that accepts connections once serve is called.
func newTestBalancer(t *testing.T, settings balancerSettings, servers ...string) *testBalancer {
	t.Helper()
	b := &testBalancer{t: t, router: newTestRouter(settings), budget: transport.NewDescriptorBudget(settings.descriptors, BusyReply)}
	update := b.router.BeginUpdate(routing.FullUpdate)
	for i, addr := range servers {
		update.AddEndpoint(routing.Endpoint{Name: fmt.Sprint("s", i), Addr: addr, Zone: "z", Size: 1})
	}
	update.Commit(t.Context())
	b.frontend = NewFrontend(b.router, settings.connectTimeout, 700*ms)
	listener := listen(t)
	b.addr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	begin := make(chan struct{})
	b.serve = func() { close(begin) }
	go func() {
		defer close(done)
		select {
		case <-begin:
		case <-ctx.Done():
			return
		}
		_ = transport.Serve(ctx, transport.NewPausableListener(listener.(*net.TCPListener)), b.budget, b.frontend.Serve)
	}()
	go tick(ctx, b.router)
	b.stop = func() { cancel(); b.frontend.Stop(); <-done }
	t.Cleanup(b.stop)
	return b
}

func newTestRouter(settings balancerSettings) *routing.Router {
	return routing.New(routing.Config{Seed: 1, LatencyThreshold: 80 * ms, ServersReportLoad: true, ServersReportLatency: true,
		Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			b.ConfigureFlows(3, 700*ms)
			b.AddService(decide.ServiceType{
				Effect:        settings.effect,
				Deduplication: decide.DeduplicatedByFleet,
				SetupTarget:   300 * ms,
				RetryWindow:   settings.retryWindow,
				Value:         1,
			})
			b.ConfigureSlowStart(decide.SlowStart{
				InitialCapacity:  0.2,
				OverloadMultiple: 3,
				WarmUp:           20 * sec,
				Window:           1500 * ms,
				Balancers:        settings.balancers,
			})
			b.ConfigurePlacement(0, 0, true)
			b.ConfigureEndpoints(decide.EndpointSettings{Zone: "z", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 240 * ms})
			return map[string]decide.ServiceID{"live": 0}, nil
		}})
}

// tick runs the router's timers until the context ends.
func tick(ctx context.Context, r *routing.Router) {
	for {
		if err := r.Tick(ctx); err != nil {
			return
		}
	}
}

// client connects to the balancer and sends the first line.
func (b *testBalancer) client(first string) *peer {
	b.t.Helper()
	p := dial(b.t, b.addr)
	p.send(first)
	return p
}

// waitForFree waits until the given number of descriptors is free.
func (b *testBalancer) waitForFree(want int) {
	b.t.Helper()
	for end := time.Now().Add(hangTimeout); b.budget.Free() != want; time.Sleep(ms) {
		if time.Now().After(end) {
			b.t.Fatalf("%d descriptors are free, want %d", b.budget.Free(), want)
		}
	}
}

// openFlowLine opens a flow.
const openFlowLine = "OPEN 1a 2b c=live,d=1500,g=3c\r\n"

// withID returns openFlowLine with another id.
func withID(id string) string { return strings.Replace(openFlowLine, "1a", id, 1) }

// establish establishes one connection through the balancer.
func establish(t *testing.T, b *testBalancer, l net.Listener) (client, server *peer) {
	t.Helper()
	b.flowCount++
	client = b.client(withID(fmt.Sprint("u", b.flowCount)))
	server, _ = accept(t, l)
	server.send("UP 77\r\n")
	client.want("UP 77")
	return client, server
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(hangTimeout))
	return l
}

// closeQuietly ignores the error, as c may be closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// peer is the test's end of a connection.
type peer struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

func newPeer(t *testing.T, c net.Conn, err error) *peer {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(c) })
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	return &peer{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func dial(t *testing.T, addr string) *peer {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
	return newPeer(t, c, err)
}

// accept accepts the next connection and reads its first line.
func accept(t *testing.T, l net.Listener) (*peer, string) {
	t.Helper()
	c, err := l.Accept()
	p := newPeer(t, c, err)
	return p, p.line()
}

func (p *peer) send(s string) {
	p.t.Helper()
	if _, err := io.WriteString(p, s); err != nil {
		p.t.Fatal(err)
	}
}

// line reads a line. It returns the error's text if there is none.
func (p *peer) line() string {
	s, err := p.in.ReadString('\n')
	if err != nil && s == "" {
		return err.Error()
	}
	return strings.TrimSuffix(s, "\r\n")
}

func (p *peer) want(line string) {
	p.t.Helper()
	if got := p.line(); got != line {
		p.t.Fatalf("got %q, want %q", got, line)
	}
}

func (p *peer) close() { closeQuietly(p) }

// reset closes the connection with a reset, as the system does when a process is killed.
func (p *peer) reset() {
	_ = p.SetLinger(0)
	closeQuietly(p)
}
