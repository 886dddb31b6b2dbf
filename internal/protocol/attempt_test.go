package protocol

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// Anything but UP from a server that may have run the flow leads to another attempt if the flow is idempotent, and to
// ERR if it is not. BUSY leads to another attempt in both cases.
func TestAttemptOutcomes(t *testing.T) {
	const retried = "retried" // by another attempt
	for _, c := range []struct {
		name          string
		act           func(server *peer)
		notIdempotent string // the client's reply if the flow is not idempotent
	}{
		{"UP", func(s *peer) { s.send("UP 77\r\n") }, "UP 77"},
		{"UP in two parts", func(s *peer) { s.send("U"); time.Sleep(5 * ms); s.send("P 77\r\n") }, "UP 77"},
		{"BUSY", func(s *peer) { s.send("BUSY\r\n") }, retried},
		{"ERR", func(s *peer) { s.send("ERR no\r\n") }, "ERR no answer"},
		{"BYE", func(s *peer) { s.send("BYE\r\n") }, "ERR no answer"},
		{"MOVE", func(s *peer) { s.send("MOVE\r\n") }, "ERR no answer"},
		{"another word", func(s *peer) { s.send("SYNTAX\r\n") }, "ERR no answer"},
		{"a line too long", func(s *peer) { s.send(strings.Repeat("x", 5000)) }, "ERR no answer"},
		{"the server closes", (*peer).close, "ERR no answer"},
		{"the server closes within a line", func(s *peer) { s.send("UP 7"); s.close() }, "ERR no answer"},
		{"a reset", (*peer).reset, "ERR no answer"},
	} {
		for _, effect := range []decide.Effect{decide.Idempotent, decide.NotIdempotent} {
			want := c.notIdempotent
			if effect == decide.Idempotent && want != "UP 77" {
				want = retried
			}
			t.Run(fmt.Sprint(c.name, " effect ", effect), func(t *testing.T) {
				a, b := listen(t), listen(t)
				balancer := startBalancer(t, effect, 100, a.Addr().String(), b.Addr().String())
				accepted := make(chan *peer, 2)
				for _, l := range []net.Listener{a, b} {
					go func() {
						if c, err := l.Accept(); err == nil {
							accepted <- newPeer(t, c, nil)
						}
					}()
				}
				client := balancer.client(openFlowLine)
				server := <-accepted
				server.line()
				c.act(server)
				if want != retried {
					client.want(want)
					return
				}
				second := <-accepted
				if got := second.line(); !strings.HasPrefix(got, "OPEN 1a 2b c=live,d=") || !strings.HasSuffix(got, ",g=3c") {
					t.Errorf("the second attempt sent %q", got)
				}
				second.send("UP 88\r\n")
				client.want("UP 88")
			})
		}
	}
}

// A server reads the OPEN line and sends nothing. The timeout in the line is shorter than the client's. When it expires
// the server's connection is closed, and the client receives ERR before its own timeout expires. Everything that does
// not depend on the machine's speed is checked in every run. As a slow machine may delay the reply, only one run must
// be in time.
func TestSilentServer(t *testing.T) {
	for end := time.Now().Add(time.Minute); !clientOfSilentServer(t); {
		if time.Now().After(end) { // a hang
			t.Fatal("no client received a reply before its timeout expired")
		}
	}
}

// clientOfSilentServer is one run. It reports whether the client received its reply within its timeout.
func clientOfSilentServer(t *testing.T) (inTime bool) {
	const timeout, serverTime = 400 * ms, 400*ms - replyMargin
	l := listen(t)
	settings := defaultSettings(decide.NotIdempotent, 100)
	settings.connectTimeout, settings.retryWindow = time.Hour, time.Hour // so that only the client's timeout can end the attempt
	b := newTestBalancer(t, settings, l.Addr().String())
	b.serve()
	type arrival struct {
		server *peer
		line   string
		after  time.Duration
	}
	start := time.Now()
	arrived := make(chan arrival, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			server := newPeer(t, c, nil)
			line := server.line()
			arrived <- arrival{server, line, time.Since(start)}
		}
	}()
	client := b.client("OPEN 1 2 c=live,d=400\r\n")
	answer := client.line()
	took := time.Since(start)
	if took < serverTime {
		t.Fatalf("the client received %q after %v, before the timeout sent to the server expired", answer, took)
	}
	if answer == "BUSY 700" { // the timeout expired before the line could be sent: no attempt was made
		return false
	}
	if answer != "ERR no answer" {
		t.Fatalf("the client received %q, want ERR no answer", answer)
	}
	client.want("EOF")
	a := <-arrived
	var milliseconds int
	if _, err := fmt.Sscanf(a.line, "OPEN 1 2 c=live,d=%d", &milliseconds); err != nil {
		t.Fatalf("the server got %q, %v", a.line, err)
	}
	// The timeout runs from when the balancer received the line, which is between start and the line's arrival at the
	// server. It is in whole milliseconds.
	if announced := time.Duration(milliseconds) * ms; announced > serverTime || announced+a.after < serverTime-ms {
		t.Fatalf("the server received the line after %v with a timeout of %v, want the rest of %v", a.after, announced, serverTime)
	}
	a.server.want("EOF")
	return took <= timeout
}

// Flows with a timeout of 1 ms fail, and their failures must not count against the server: after two attempts that
// found it unreachable, it would get no more flows.
func TestNoTimeLeft(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	for i := range 4 {
		client := b.client(fmt.Sprintf("OPEN %d 2 c=live,d=1\r\n", i))
		if got := lineKind(client.line()); got != "BUSY" && got != "ERR" {
			t.Errorf("a client without time left received %q, want BUSY or ERR", got)
		}
	}
	client := b.client(openFlowLine)
	for { // one of the four may have reached the server
		server, line := accept(t, l)
		if strings.HasPrefix(line, "OPEN 1a") {
			server.send("UP 77\r\n")
			break
		}
	}
	client.want("UP 77")
}

// Without any server a flow is rejected at once, with the time after which to retry.
func TestNoServer(t *testing.T) {
	b := startBalancer(t, decide.Idempotent, 100)
	b.client(openFlowLine).want("BUSY 700")
}

// A flow that was open before the balancer's start is resumed at its server, whatever routing would decide for a new
// flow. An attempt that had no effect is retried.
func TestResumedFlow(t *testing.T) {
	other, own := listen(t), listen(t)
	b := startBalancer(t, decide.NotIdempotent, 100, other.Addr().String(), own.Addr().String())
	update := b.router.BeginUpdate(routing.DeltaUpdate)
	// Draining servers get no new flows, but a resumed flow is not new.
	update.AddEndpoint(routing.Endpoint{Name: "s1", Addr: own.Addr().String(), Zone: "z", Size: 1, Readiness: routing.Draining})
	update.Commit(t.Context())
	client := b.client("OPEN 1 2 c=live,d=900000,at=s1\r\n")
	server, line := accept(t, own)
	if !strings.HasSuffix(line, ",at=s1") {
		t.Errorf("the server of a resumed flow got %q", line)
	}
	server.send("BUSY\r\n")
	server, _ = accept(t, own)
	server.send("UP 5\r\n")
	client.want("UP 5")
	server.send("BYE\r\n")
	client.want("BYE")
}

// If no descriptor is left for the connection to a server, the client is told when to retry.
func TestNoDescriptorForServer(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 27, l.Addr().String()) // 24 of them are reserved for clients
	client, server := establish(t, b, l)
	rejected := b.client(withID("5a"))
	rejected.want("BUSY 700")
	rejected.want("EOF")
	b.client("PING\r\n").want("PONG")
	client.send("M 1\r\n")
	server.want("M 1")
}
