package protocol

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
)

const openSyntaxError = "ERR bad OPEN: want OPEN ID KEY LIST"

// badFirstLine is the input of a client that can't be served, and the expected replies.
type badFirstLine struct {
	name, line string
	want       []string
}

func badFirstLines() []badFirstLine {
	return []badFirstLine{
		{"unknown command", "HELLO\r\n", []string{openSyntaxError}},
		{"no list", "OPEN 1 2\r\n", []string{openSyntaxError}},
		{"no id", "OPEN  2 c=live,d=5\r\n", []string{openSyntaxError}},
		{"a field too many", "OPEN 1 2 c=live,d=5 x\r\n", []string{openSyntaxError}},
		{"no name=value pair", "OPEN 1 2 c\r\n", []string{"ERR bad OPEN: no name=value pair"}},
		{"no name", "OPEN 1 2 c=live,d=5,=2\r\n", []string{"ERR bad OPEN: no name=value pair"}},
		{"a name twice", "OPEN 1 2 c=live,d=5,c=live\r\n", []string{"ERR bad OPEN: a name stands twice"}},
		{"too many names", "OPEN 1 2 c=live,d=5" + repeatNumbered(64, ",x%d=1") + "\r\n", []string{"ERR bad OPEN: too many names"}},
		{"no service type", "OPEN 1 2 d=5\r\n", []string{"ERR bad OPEN: c or d is missing"}},
		{"no timeout", "OPEN 1 2 c=live\r\n", []string{"ERR bad OPEN: c or d is missing"}},
		{"an empty timeout", "OPEN 1 2 c=live,d=\r\n", []string{"ERR bad OPEN: bad d"}},
		{"a timeout that is not a number", "OPEN 1 2 c=live,d=soon\r\n", []string{"ERR bad OPEN: bad d"}},
		{"a timeout as a hexadecimal float", "OPEN 1 2 c=live,d=0x9p3\r\n", []string{"ERR bad OPEN: bad d"}},
		{"a negative timeout", "OPEN 1 2 c=live,d=-3\r\n", []string{"ERR bad OPEN: bad d"}},
		{"a timeout that overflows", "OPEN 1 2 c=live,d=99999999999999999999999\r\n", []string{"ERR bad OPEN: bad d"}},
		{"a timeout of 50 days", "OPEN 1 2 c=live,d=4294967295\r\n", []string{"ERR bad OPEN: d is too long"}},
		{"an unknown service type", "OPEN 1u 2 c=dead,d=5\r\n", []string{`ERR unknown service type "dead"`}},
		{"an unknown server", "OPEN 1 2 c=live,at=s-9\r\n", []string{`ERR unknown server "s-9"`}},
		{"too long", "OPEN " + strings.Repeat("x", 5000) + "\r\n", []string{"ERR line is longer than 4 KiB"}},
		{"60 MB without a line end", "OPEN 1 2 c=" + strings.Repeat("x", 60<<20), []string{"ERR line is longer than 4 KiB"}},
		{"binary", "\x00\xff\x16\x03\r\n", []string{"ERR bad OPEN: not printable"}},
		{"binary in a value", "OPEN 1 2 c=live,d=5,x=\x7f\r\n", []string{"ERR bad OPEN: not printable"}},
		{"half a line", "OPEN 1 2 c=li", []string{"ERR no whole line in time"}},
		{"nothing", "", []string{"ERR no whole line in time"}},
		{"hundreds of lines at once", strings.Repeat(openFlowLine, 300), []string{"ERR spoke before its answer"}},
		{"hundreds of PINGs", strings.Repeat("PING\r\n", 300), append(slices.Repeat([]string{"PONG"}, maxPings), "ERR too many PINGs")},
		{"after a PING", "PING\r\nPING\r\nOPEN\r\n", []string{"PONG", "PONG", openSyntaxError}},
	}
}

// A client that can't be served receives one line and the connection is closed, within 3 s of connecting, even if the
// client goes on sending.
func TestBadFirstLines(t *testing.T) {
	const descriptors = 100
	b := startBalancer(t, decide.Idempotent, descriptors)
	for _, c := range badFirstLines() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			client := dial(t, b.addr)
			go func() { _, _ = io.WriteString(client, c.line) }() // the balancer need not read all of it
			for _, line := range c.want {
				client.want(line)
			}
			if more, err := io.ReadAll(client.in); len(more) > 0 || err != nil && len(c.line) < 10000 {
				t.Errorf("after the replies: received %q, %v, want the end of the connection", more, err)
			}
			if took := time.Since(start); took > 3*sec {
				t.Errorf("the connection ended after %v, want within 3 s", took)
			}
		})
	}
	t.Cleanup(func() {
		b.stop()
		if free := b.budget.Free(); free != descriptors {
			t.Errorf("%d of %d descriptors are free, want all", free, descriptors)
		}
	})
}

func repeatNumbered(n int, format string) (s string) {
	for i := range n {
		s += fmt.Sprintf(format, i)
	}
	return s
}

// A misbehaving client must not reach a server or affect another client's flow. A flow whose id is in use is rejected
// and the first flow continues. A client that sends data before the reply is disconnected, which does not count against
// the server.
func TestTakenIDsAndDataBeforeReply(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	first := b.client(openFlowLine)
	server, _ := accept(t, l)
	b.client(openFlowLine).want("ERR " + errIDTaken.Error())
	server.send("UP 77\r\n")
	first.want("UP 77")
	b.client(openFlowLine).want("ERR " + errIDTaken.Error())
	first.send("M 1\r\n")
	server.want("M 1")
	server.send("BYE\r\n")
	first.want("BYE")
	server.close()
	first.want("EOF")
	b.client(openFlowLine).want("ERR " + errIDTaken.Error()) // the id stays in use for a while
	for i := range 4 {
		early := b.client(withID(fmt.Sprint("e", i)))
		server, _ = accept(t, l)
		early.send("M 1\r\n")
		early.want("ERR " + errDataBeforeReply.Error())
		early.want("EOF")
		server.want("EOF")
	}
	establish(t, b, l)
}

// Hundreds of connections that send nothing, or only PING, leave descriptors for PING and for flows.
func TestSilentClients(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 60, l.Addr().String())
	for i := range 300 {
		b.client([]string{"", "PING\r\n"}[i%2])
	}
	client, server := establish(t, b, l)
	b.client("PING\r\n").want("PONG")
	client.send("M 1\r\n")
	server.want("M 1")
}

// A drain asks all clients to reconnect, between two lines and spread over the given time.
func TestDrain(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	const n, after, over = 8, 150 * ms, 550 * ms
	moved := make(chan time.Duration, n)
	start := time.Now()
	for range n {
		client, server := establish(t, b, l)
		server.send("M")
		time.AfterFunc(50*ms, func() { _, _ = io.WriteString(server, " 1\r\n") })
		go func() {
			if got := []string{client.line(), client.line()}; !slices.Equal(got, []string{"M 1", "MOVE"}) {
				t.Errorf("a client received %q, want M 1 and then MOVE", got)
			}
			moved <- time.Since(start)
			client.close()
		}()
	}
	start = time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	drained := make(chan struct{})
	go func() { defer close(drained); b.frontend.Drain(ctx, after, over) }()
	var first, last time.Duration
	for i := range n {
		last = <-moved
		if i == 0 {
			first = last
		}
	}
	cancel()
	<-drained
	if first < after || last-first < (over-after)/3 || last > over+300*ms {
		t.Errorf("clients were asked to reconnect from %v to %v, want spread between %v and %v", first, last, after, over)
	}
}

// A balancer that stops replies to all waiting clients: with BUSY if their flow had no effect, and with ERR if it may
// have had one.
func TestStopAnswersWaitingClients(t *testing.T) {
	l := listen(t)
	settings := defaultSettings(decide.NotIdempotent, 100)
	settings.balancers = 48 // so that there is one connection set-up at a time
	b := newTestBalancer(t, settings, l.Addr().String())
	b.serve()
	sent := b.client(openFlowLine)
	server, _ := accept(t, l) // the flow may have run
	waiting := b.client(withID("2b"))
	b.waitForFree(96)
	halfLine := b.client("OPEN 7 2 c=li")
	silent := b.client("")
	b.waitForFree(94)
	b.frontend.Stop()
	sent.want("ERR " + errMayHaveRun.Error())
	for _, c := range []*peer{waiting, halfLine, silent} {
		c.want("BUSY 700")
		c.want("EOF")
	}
	server.want("EOF")
	b.client(withID("3c")).want("BUSY 700")
}

// EndOpening replies to all clients that wait, and leaves established flows and later clients alone.
func TestEndOpeningAnswersWaitingClients(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.NotIdempotent, 100, l.Addr().String())
	client, server := establish(t, b, l)
	sent := b.client(withID("2b"))
	accept(t, l) // the flow may have run
	halfLine := b.client("PING\r\nOPEN 7 2 c=li")
	halfLine.want("PONG") // it is being served
	b.frontend.EndOpening()
	sent.want("ERR " + errMayHaveRun.Error())
	halfLine.want("BUSY 700")
	client.send("M 1\r\n")
	server.want("M 1")
	later := b.client(withID("3c"))
	laterServer, _ := accept(t, l)
	laterServer.send("UP 1\r\n")
	later.want("UP 1")
}
