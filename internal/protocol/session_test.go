package protocol

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const ms, sec = time.Millisecond, time.Second

// testBalancer is a balancer's front on the loopback, with servers that the test speaks for.
type testBalancer struct {
	t         *testing.T
	router    *routing.Router
	frontend  *Frontend
	addr      string
	budget    *transport.DescriptorBudget
	flowCount int
	serve     func() // begins to accept
	stop      func()
}

func startBalancer(t *testing.T, effect decide.Effect, descriptors int, servers ...string) *testBalancer {
	t.Helper()
	y := newTestBalancer(t, effect, descriptors, 1, 200*ms, 2*sec, servers...)
	y.serve()
	return y
}

// newTestBalancer is a balancer that does not accept yet, one of some, which gives servers a time to come up and has a window for repeats.
func newTestBalancer(t *testing.T, effect decide.Effect, descriptors, balancers int, connect, window time.Duration, servers ...string) *testBalancer {
	t.Helper()
	y := &testBalancer{t: t, budget: transport.NewDescriptorBudget(descriptors, BusyReply)}
	y.router = routing.New(routing.Config{Seed: 1, LatencyThreshold: 80 * ms, ServersReportLoad: true, ServersReportLatency: true, Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
		b.ConfigureFlows(3, 700*ms)
		b.AddService(decide.ServiceType{Effect: effect, Deduplication: decide.DeduplicatedByFleet, SetupTarget: 300 * ms, RetryWindow: window, Value: 1})
		b.ConfigureSlowStart(decide.SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: 20 * sec, Window: 1500 * ms, Balancers: balancers})
		b.ConfigurePlacement(0, 0, true)
		b.ConfigureEndpoints(decide.EndpointSettings{Zone: "z", Polled: false, MaxPollInterval: 10 * sec, MessageTarget: 240 * ms})
		return map[string]decide.ServiceID{"live": 0}, nil
	}})
	l := y.router.BeginUpdate(routing.FullUpdate)
	for i, s := range servers {
		l.AddEndpoint(routing.Endpoint{Name: fmt.Sprint("s", i), Addr: s, Zone: "z", Size: 1})
	}
	l.Commit(t.Context())
	y.frontend = NewFrontend(y.router, connect, 700*ms)
	listener := listen(t)
	y.addr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	begin := make(chan struct{})
	y.serve = func() { close(begin) }
	go func() {
		defer close(done)
		select {
		case <-begin:
		case <-ctx.Done():
			return
		}
		_ = transport.Serve(ctx, transport.NewPausableListener(listener.(*net.TCPListener)), y.budget, y.frontend.Serve)
	}()
	go func() {
		for y.router.Tick(ctx) == nil {
		}
	}()
	y.stop = func() { cancel(); y.frontend.Stop(); <-done }
	t.Cleanup(y.stop)
	return y
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * sec)) // a test that hangs is to fail
	return l
}

// peer is one side's end of a connection.
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
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * sec)) // a test that hangs is to fail
	return &peer{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func (y *testBalancer) client(first string) *peer {
	y.t.Helper()
	c, err := net.Dial("tcp", y.addr)
	f := newPeer(y.t, c, err)
	f.send(first)
	return f
}

func (f *peer) send(s string) {
	f.t.Helper()
	if _, err := io.WriteString(f, s); err != nil {
		f.t.Fatal(err)
	}
}

func (f *peer) line() string {
	s, err := f.in.ReadString('\n')
	if err != nil && s == "" {
		return err.Error()
	}
	return strings.TrimSuffix(s, "\r\n")
}

func (f *peer) want(line string) {
	f.t.Helper()
	if got := f.line(); got != line {
		f.t.Fatalf("got %q, want %q", got, line)
	}
}

// server accepts the next connection and reads its first line.
func accept(t *testing.T, l net.Listener) (*peer, string) {
	t.Helper()
	c, err := l.Accept()
	f := newPeer(t, c, err)
	return f, f.line()
}

const openFlowLine = "OPEN 1a 2b c=live,d=1500,g=3c\r\n"

// What a server says, or does, before UP, and what its client hears of it: for one that may be repeated the next
// connect, for once-only an answer that promises nothing wherever it may have run.
func TestAttemptOutcomes(t *testing.T) {
	reset := func(f *peer) { _ = f.SetLinger(0); f.Close() }
	for _, c := range []struct {
		name     string
		say      func(f *peer)
		onceOnly string // the client's answer; "again" for another connect
	}{
		{"UP", func(f *peer) { f.send("UP 77\r\n") }, "UP 77"},
		{"UP in two parts", func(f *peer) { f.send("U"); time.Sleep(5 * ms); f.send("P 77\r\n") }, "UP 77"},
		{"BUSY", func(f *peer) { f.send("BUSY\r\n") }, "again"},
		{"ERR", func(f *peer) { f.send("ERR no\r\n") }, "ERR no answer"},
		{"BYE", func(f *peer) { f.send("BYE\r\n") }, "ERR no answer"},
		{"MOVE", func(f *peer) { f.send("MOVE\r\n") }, "ERR no answer"},
		{"another word", func(f *peer) { f.send("SYNTAX\r\n") }, "ERR no answer"},
		{"a line too long", func(f *peer) { f.send(strings.Repeat("x", 5000)) }, "ERR no answer"},
		{"an end", func(f *peer) { f.Close() }, "ERR no answer"},
		{"an end within a line", func(f *peer) { f.send("UP 7"); f.Close() }, "ERR no answer"},
		{"a reset", reset, "ERR no answer"},
	} {
		for _, effect := range []decide.Effect{decide.Idempotent, decide.NotIdempotent} {
			want := c.onceOnly
			if effect == decide.Idempotent && want != "UP 77" {
				want = "again"
			}
			t.Run(fmt.Sprint(c.name, " effect ", effect), func(t *testing.T) {
				a, b := listen(t), listen(t)
				y := startBalancer(t, effect, 100, a.Addr().String(), b.Addr().String())
				first := make(chan *peer, 2)
				for _, l := range []net.Listener{a, b} {
					go func() {
						c, err := l.Accept()
						if err == nil {
							first <- newPeer(t, c, nil)
						}
					}()
				}
				client := y.client(openFlowLine)
				server := <-first
				server.line()
				c.say(server)
				if want != "again" {
					client.want(want)
					return
				}
				second := <-first
				if got := second.line(); !strings.HasPrefix(got, "OPEN 1a 2b c=live,d=") || !strings.HasSuffix(got, ",g=3c") {
					t.Errorf("the second connect brought %q", got)
				}
				second.send("UP 88\r\n")
				client.want("UP 88")
			})
		}
	}
}

// A server that takes the line and says nothing: the server is told how long it has, which is less than the client's time; when that is over
// it hears an end and no more, and the client an answer that promises nothing, before its own time is over. What the machine's speed can't
// change is asked of every try. How late the last of it came may be the machine's doing: one try must be in time.
func TestSilentServer(t *testing.T) {
	for end := time.Now().Add(time.Minute); !clientOfSilentServer(t); {
		if time.Now().After(end) { // a test that hangs is to fail
			t.Fatal("no client was answered before its time was over")
		}
	}
}

func clientOfSilentServer(t *testing.T) (inTime bool) {
	const wait, told = 400 * ms, 400*ms - answerMargin
	l := listen(t)
	y := newTestBalancer(t, decide.NotIdempotent, 100, 1, time.Hour, time.Hour, l.Addr().String()) // no clock but the client's wait can end it
	y.serve()
	type asked struct {
		server *peer
		line   string
		after  time.Duration
	}
	start := time.Now()
	at := make(chan asked, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			server := newPeer(t, c, nil)
			line := server.line()
			at <- asked{server, line, time.Since(start)}
		}
	}()
	client := y.client("OPEN 1 2 c=live,d=400\r\n")
	answer := client.line()
	took := time.Since(start)
	if took < told {
		t.Fatalf("answered %q after %v", answer, took)
	}
	if answer == "BUSY 700" { // all that time went by before the line could be sent: nothing of this was tried
		return false
	}
	if answer != "ERR no answer" {
		t.Fatalf("answered %q", answer)
	}
	client.want("EOF")
	a := <-at
	var has int
	if _, err := fmt.Sscanf(a.line, "OPEN 1 2 c=live,d=%d", &has); err != nil {
		t.Fatalf("the server got %q, %v", a.line, err)
	}
	// The end is counted from when the balancer had the line, which is after start and before the server had it; in whole milliseconds.
	if has := time.Duration(has) * ms; has > told || has+a.after < told-ms {
		t.Fatalf("the server, asked after %v, was told that it has %v of %v", a.after, has, told)
	}
	a.server.want("EOF")
	return took <= wait
}

// Flows that come with next to no time fail, and their failures must not count against a server: two connects that
// found nobody would empty it.
func TestNoTimeLeft(t *testing.T) {
	l := listen(t)
	y := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	for i := range 4 {
		f := y.client(fmt.Sprintf("OPEN %d 2 c=live,d=1\r\n", i))
		if got := firstWord(f.line()); got != "BUSY" && got != "ERR" {
			t.Errorf("answered %q", got)
		}
	}
	client := y.client(openFlowLine)
	for { // one of the four may have come through
		server, line := accept(t, l)
		if strings.HasPrefix(line, "OPEN 1a") {
			server.send("UP 77\r\n")
			break
		}
	}
	client.want("UP 77")
}

// No server at all: refused at once, with advice on when to come again.
func TestNoServer(t *testing.T) {
	y := startBalancer(t, decide.Idempotent, 100)
	y.client(openFlowLine).want("BUSY 700")
}

// Whoever can't be served hears one line and an end, within 3 s of connecting and also while it goes on sending.
func TestBadFirstLines(t *testing.T) {
	y := startBalancer(t, decide.Idempotent, 100)
	const form = "ERR bad OPEN: want OPEN ID KEY LIST"
	for _, c := range []struct{ name, line, want string }{
		{"not a word of ours", "HELLO\r\n", form},
		{"no list", "OPEN 1 2\r\n", form},
		{"no id", "OPEN  2 c=live,d=5\r\n", form},
		{"more than a list", "OPEN 1 2 c=live,d=5 x\r\n", form},
		{"no pair", "OPEN 1 2 c\r\n", "ERR bad OPEN: no name=value pair"},
		{"no name", "OPEN 1 2 c=live,d=5,=2\r\n", "ERR bad OPEN: no name=value pair"},
		{"a name twice", "OPEN 1 2 c=live,d=5,c=live\r\n", "ERR bad OPEN: a name stands twice"},
		{"names without end", "OPEN 1 2 c=live,d=5" + repeatNumbered(64, ",x%d=1") + "\r\n", "ERR bad OPEN: too many names"},
		{"no class", "OPEN 1 2 d=5\r\n", "ERR bad OPEN: c or d is missing"},
		{"no time", "OPEN 1 2 c=live\r\n", "ERR bad OPEN: c or d is missing"},
		{"a time without a figure", "OPEN 1 2 c=live,d=\r\n", "ERR bad OPEN: bad d"},
		{"a time that is no number", "OPEN 1 2 c=live,d=soon\r\n", "ERR bad OPEN: bad d"},
		{"a number of another kind", "OPEN 1 2 c=live,d=0x9p3\r\n", "ERR bad OPEN: bad d"},
		{"time gone by", "OPEN 1 2 c=live,d=-3\r\n", "ERR bad OPEN: bad d"},
		{"time without end", "OPEN 1 2 c=live,d=99999999999999999999999\r\n", "ERR bad OPEN: bad d"},
		{"a year", "OPEN 1 2 c=live,d=4294967295\r\n", "ERR bad OPEN: d is too long"},
		{"an unknown class", "OPEN 1u 2 c=dead,d=5\r\n", `ERR unknown service type "dead"`},
		{"an unknown server", "OPEN 1 2 c=live,at=s-9\r\n", `ERR unknown server "s-9"`},
		{"too long", "OPEN " + strings.Repeat("x", 5000) + "\r\n", "ERR line is longer than 4 KiB"},
		{"60 MB of it", "OPEN 1 2 c=" + strings.Repeat("x", 60<<20), "ERR line is longer than 4 KiB"},
		{"binary", "\x00\xff\x16\x03\r\n", "ERR bad OPEN: not printable"},
		{"binary in a value", "OPEN 1 2 c=live,d=5,x=\x7f\r\n", "ERR bad OPEN: not printable"},
		{"half a line", "OPEN 1 2 c=li", "ERR no whole line in time"},
		{"nothing", "", "ERR no whole line in time"},
		{"hundreds at once", strings.Repeat(openFlowLine, 300), "ERR spoke before its answer"},
		{"hundreds of PINGs", strings.Repeat("PING\r\n", 300), "PONG"},
		{"after a PING", "PING\r\nPING\r\nOPEN\r\n", "PONG"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			mine := *y
			mine.t = t
			f := mine.client("")
			go io.WriteString(f, c.line) // it need not take all of it
			want := []string{c.want}
			if c.want == "PONG" {
				want = []string{"PONG", "PONG", form}
				if strings.Count(c.line, "PING") > maxPings {
					want = append(slices.Repeat([]string{"PONG"}, maxPings), "ERR too many PINGs")
				}
			}
			for _, w := range want {
				f.want(w)
			}
			if rest, err := io.ReadAll(f.in); len(rest) > 0 || err != nil && len(c.line) < 10000 {
				t.Errorf("then %q, %v", rest, err)
			}
			if took := time.Since(start); took > 3*sec {
				t.Errorf("ended after %v", took)
			}
		})
	}
	t.Cleanup(func() {
		y.stop()
		if left := y.budget.Free(); left != 100 {
			t.Errorf("%d descriptors of 100 were given back", left)
		}
	})
}

func repeatNumbered(n int, format string) (s string) {
	for i := range n {
		s += fmt.Sprintf(format, i)
	}
	return s
}

// A bad client must not reach a server, nor harm another's flow: one whose id is open is refused and the first goes
// on, and one that speaks before its answer is cut off, which is no fault of its server's.
func TestIDsTakenAndEarlySpeakers(t *testing.T) {
	l := listen(t)
	y := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	first := y.client(openFlowLine)
	server, _ := accept(t, l)
	y.client(openFlowLine).want("ERR " + errIDTaken.Error())
	server.send("UP 77\r\n")
	first.want("UP 77")
	y.client(openFlowLine).want("ERR " + errIDTaken.Error())
	first.send("M 1\r\n")
	server.want("M 1")
	server.send("BYE\r\n")
	first.want("BYE")
	server.Close()
	first.want("EOF")
	y.client(openFlowLine).want("ERR " + errIDTaken.Error()) // whoever read it may be late
	for i := range 4 {
		early := y.client(strings.Replace(openFlowLine, "1a", fmt.Sprint("e", i), 1))
		server, _ = accept(t, l)
		early.send("M 1\r\n")
		early.want("ERR " + errSpokeBeforeAnswer.Error())
		early.want("EOF")
		server.want("EOF")
	}
	establish(t, y, l)
	for i := range retiredIDs { // what is kept of old ids is bounded
		id := fmt.Sprint("x", i)
		if !y.frontend.ClaimID(id) {
			t.Fatalf("%s is taken", id)
		}
		y.frontend.ids.end(id)
	}
	if n := len(y.frontend.ids.taken); n > retiredIDs+1 || !y.frontend.ClaimID("1a") || y.frontend.ClaimID("x9") {
		t.Errorf("%d ids are kept, or not the last", n)
	}
}

// Silent connections by the hundred, and such as ask PING and stay, leave room for PING and for flows.
func TestSilentClients(t *testing.T) {
	l := listen(t)
	y := startBalancer(t, decide.Idempotent, 60, l.Addr().String())
	for i := range 300 {
		y.client([]string{"", "PING\r\n"}[i%2])
	}
	client, server := establish(t, y, l)
	y.client("PING\r\n").want("PONG")
	client.send("M 1\r\n")
	server.want("M 1")
}

// A server that is to stop sends its clients away before the list tells: who comes next must not be sent there, though
// it looks the emptiest.
func TestServerAsksToMove(t *testing.T) {
	addrs := make([]string, 2)
	for i := range addrs {
		l := listen(t)
		addrs[i] = l.Addr().String()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					in := bufio.NewReader(c)
					_, _ = in.ReadString('\n')
					fmt.Fprintf(c, "UP %d\r\n", i)
					_, _ = in.ReadString('\n')
					_, _ = io.WriteString(c, "MOVE\r\n")
					c.Close()
				}()
			}
		}()
	}
	y := startBalancer(t, decide.Idempotent, 100, addrs...)
	next := func() (*peer, string) {
		y.flowCount++
		c := y.client(strings.Replace(openFlowLine, "1a", fmt.Sprint("s", y.flowCount), 1))
		return c, c.line()
	}
	c, leaving := next()
	c.send("M 1\r\n")
	c.want("MOVE")
	c.want("EOF")
	for range 3 {
		if _, at := next(); at == leaving {
			t.Fatalf("sent to the one that said MOVE: %q", at)
		}
	}
}

// establish opens one connection through the balancer.
func establish(t *testing.T, y *testBalancer, l net.Listener) (client, server *peer) {
	t.Helper()
	y.flowCount++
	client = y.client(strings.Replace(openFlowLine, "1a", fmt.Sprint("u", y.flowCount), 1))
	server, _ = accept(t, l)
	server.send("UP 77\r\n")
	client.want("UP 77")
	return client, server
}

// When one side ends a connection, the other is ended in the same way, with the last lines before it.
func TestConnectionEnds(t *testing.T) {
	reset := func(f *peer) { _ = f.SetLinger(0); f.Close() }
	for _, c := range []struct {
		name         string
		end          func(client, server *peer)
		fromServer   bool
		lines, after string
	}{
		{"the server ends it", func(_, s *peer) { s.send("BYE\r\n"); s.Close() }, true, "BYE", "EOF"},
		{"the server ends its sending", func(_, s *peer) { s.send("M 1\r\n"); _ = s.CloseWrite() }, true, "M 1", "EOF"},
		{"the server says its last word and stays", func(_, s *peer) { s.send("BYE\r\n") }, true, "BYE", "EOF"},
		{"the server's last word and a reset", func(c, s *peer) { s.send("BYE\r\n"); c.want("BYE"); reset(s) }, true, "", "EOF"},
		{"the server is reset", func(_, s *peer) { reset(s) }, true, "", "reset"},
		{"the client ends it", func(c, _ *peer) { c.send("M 1\r\n"); c.Close() }, false, "M 1", "EOF"},
		{"the client ends its sending", func(c, _ *peer) { c.send("M 1\r\n"); _ = c.CloseWrite() }, false, "M 1", "EOF"},
		{"the client is reset", func(c, _ *peer) { reset(c) }, false, "", "reset"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			y := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
			client, server := establish(t, y, l)
			start := time.Now()
			c.end(client, server)
			other := server
			if c.fromServer {
				other = client
			}
			if c.lines != "" {
				other.want(c.lines)
			}
			if got := other.line(); !strings.Contains(got, c.after) {
				t.Errorf("ended with %q, want %s", got, c.after)
			}
			other.Close()
			y.stop()
			if left := y.budget.Free(); left != 100 {
				t.Errorf("%d descriptors of 100 were given back", left)
			}
			if took := time.Since(start); took > sec {
				t.Errorf("held for %v", took)
			}
		})
	}
}

// Lines go both ways unchanged.
func TestRelayedLines(t *testing.T) {
	l := listen(t)
	y := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	client := y.client(openFlowLine)
	server, _ := accept(t, l)
	server.send("UP 77\r\nLOAD 12.5\r\n")
	client.want("UP 77")
	client.want("LOAD 12.5")
	for _, line := range []string{"M 1 ab", "", "  spaces  ", "LOAD not a figure", strings.Repeat("x", 4096)} {
		client.send(line + "\r\n")
		server.want(line)
		server.send(line + "\r\n")
		client.want(line)
	}
}

// A client that goes while its connect is out must not leave the server's connection behind.
func TestClientLeavesDuringAttempt(t *testing.T) {
	l := listen(t)
	y := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	client := y.client(openFlowLine)
	server, _ := accept(t, l)
	client.Close()
	start := time.Now()
	server.want("EOF")
	if took := time.Since(start); took > sec {
		t.Errorf("given up after %v", took)
	}
}

// A connection from before the start goes to its server, whatever the module would choose, and one that never ran
// is tried again.
func TestResumedFlow(t *testing.T) {
	a, b := listen(t), listen(t)
	y := startBalancer(t, decide.NotIdempotent, 100, a.Addr().String(), b.Addr().String())
	news := y.router.BeginUpdate(routing.DeltaUpdate)
	news.AddEndpoint(routing.Endpoint{Name: "s1", Addr: b.Addr().String(), Zone: "z", Size: 1, Readiness: routing.Draining}) // draining: what stands is nothing new
	news.Commit(t.Context())
	client := y.client("OPEN 1 2 c=live,d=900000,at=s1\r\n")
	server, line := accept(t, b)
	if !strings.HasSuffix(line, ",at=s1") {
		t.Errorf("the server got %q", line)
	}
	server.send("BUSY\r\n")
	server, _ = accept(t, b)
	server.send("UP 5\r\n")
	client.want("UP 5")
	server.send("BYE\r\n")
	client.want("BYE")
}

// Short of descriptors for servers a client is told when to come again.
func TestNoDescriptorForServer(t *testing.T) {
	l := listen(t)
	y := startBalancer(t, decide.Idempotent, 27, l.Addr().String()) // of which 24 are for clients alone
	client, server := establish(t, y, l)
	up2 := y.client(strings.Replace(openFlowLine, "1a", "5a", 1))
	up2.want("BUSY 700")
	up2.want("EOF")
	y.client("PING\r\n").want("PONG")
	client.send("M 1\r\n")
	server.want("M 1")
}

// When the balancer stops, clients are told to move, between two lines, spread over the time there is.
func TestDrain(t *testing.T) {
	l := listen(t)
	y := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	const n, after, over = 8, 150 * ms, 550 * ms
	moved := make(chan time.Duration, n)
	start := time.Now()
	for range n {
		client, server := establish(t, y, l)
		server.send("M")
		time.AfterFunc(50*ms, func() { _, _ = io.WriteString(server, " 1\r\n") })
		go func() {
			if one, two := client.line(), client.line(); one != "M 1" || two != "MOVE" {
				t.Errorf("heard %q, %q", one, two)
			}
			moved <- time.Since(start)
			client.Close()
		}()
	}
	start = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	go y.frontend.Drain(ctx, after, over)
	var first, last time.Duration
	for i := range n {
		if last = <-moved; i == 0 {
			first = last
		}
	}
	cancel()
	if first < after || last-first < (over-after)/3 || last > over+300*ms {
		t.Errorf("moved from %v to %v", first, last)
	}
}
