package protocol

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
)

// When one side closes or resets a connection, the other side is closed in the same way, after the last lines.
func TestConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name         string
		end          func(client, server *peer)
		fromServer   bool
		lines, after string
	}{
		{"the server closes", func(_, s *peer) { s.send("BYE\r\n"); s.close() }, true, "BYE", "EOF"},
		{"the server half-closes", func(_, s *peer) { s.send("M 1\r\n"); _ = s.CloseWrite() }, true, "M 1", "EOF"},
		{"the server sends BYE and does not close", func(_, s *peer) { s.send("BYE\r\n") }, true, "BYE", "EOF"},
		{"the server sends BYE and resets", func(c, s *peer) { s.send("BYE\r\n"); c.want("BYE"); s.reset() }, true, "", "EOF"},
		{"the server resets", func(_, s *peer) { s.reset() }, true, "", "reset"},
		{"the client closes", func(c, _ *peer) { c.send("M 1\r\n"); c.close() }, false, "M 1", "EOF"},
		{"the client half-closes", func(c, _ *peer) { c.send("M 1\r\n"); _ = c.CloseWrite() }, false, "M 1", "EOF"},
		{"the client resets", func(c, _ *peer) { c.reset() }, false, "", "reset"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			b := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
			client, server := establish(t, b, l)
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
			other.close()
			b.stop()
			if free := b.budget.Free(); free != 100 {
				t.Errorf("%d of 100 descriptors are free, want all", free)
			}
			if took := time.Since(start); took > sec {
				t.Errorf("all descriptors were released after %v, want within 1 s", took)
			}
		})
	}
}

// Lines are relayed unchanged in both directions.
func TestRelayedLines(t *testing.T) {
	l := listen(t)
	b := startBalancer(t, decide.Idempotent, 100, l.Addr().String())
	client := b.client(openFlowLine)
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

// A server that is about to stop sends MOVE to its clients before the endpoint list says that it drains. The next
// clients must not be sent there, although the server appears to have the fewest flows.
func TestServerSendsMove(t *testing.T) {
	addrs := make([]string, 2)
	for i := range addrs {
		l := listen(t)
		addrs[i] = l.Addr().String()
		go serveConnections(l, func(c net.Conn) {
			in := bufio.NewReader(c)
			_, _ = in.ReadString('\n')
			_, _ = fmt.Fprintf(c, "UP %d\r\n", i)
			_, _ = in.ReadString('\n')
			_, _ = io.WriteString(c, "MOVE\r\n")
		})
	}
	b := startBalancer(t, decide.Idempotent, 100, addrs...)
	openNext := func() (client *peer, upLine string) {
		b.flowCount++
		client = b.client(withID(fmt.Sprint("s", b.flowCount)))
		return client, client.line()
	}
	client, leaving := openNext()
	client.send("M 1\r\n")
	client.want("MOVE")
	client.want("EOF")
	for range 3 {
		if _, upLine := openNext(); upLine == leaving {
			t.Fatalf("sent to the server that sent MOVE: %q", upLine)
		}
	}
}

// serveConnections serves each connection in a goroutine, and closes it afterwards, until the listener is closed.
func serveConnections(l net.Listener, serve func(c net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer closeQuietly(c)
			serve(c)
		}()
	}
}
