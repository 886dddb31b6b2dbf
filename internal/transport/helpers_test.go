package transport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// hangTimeout makes a test fail that would hang otherwise.
const hangTimeout = 10 * time.Second

// closeQuietly closes a resource that may be closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// pipe returns the two ends of a net.Pipe, the first one wrapped in a Conn.
func pipe(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { closeQuietly(a); closeQuietly(b) })
	_ = b.SetDeadline(time.Now().Add(hangTimeout))
	return NewConn(a), b
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	return l.(*net.TCPListener)
}

// dialPeer connects as a client would.
func dialPeer(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(c) })
	_ = c.SetDeadline(time.Now().Add(hangTimeout))
	return c
}

// dialAndSend connects the given number of clients, each of which sends a line.
func dialAndSend(t *testing.T, l net.Listener, clients int) []net.Conn {
	t.Helper()
	peers := make([]net.Conn, clients)
	for i := range peers {
		peers[i] = dialPeer(t, l)
		_, _ = io.WriteString(peers[i], "OPEN\n")
	}
	return peers
}

// wantEchoes checks that each client received its line and then the end of the connection.
func wantEchoes(t *testing.T, peers []net.Conn) {
	t.Helper()
	for i, peer := range peers {
		if got, err := io.ReadAll(peer); err != nil || string(got) != "OPEN\n" {
			t.Errorf("client %d received %q, %v", i, got, err)
		}
	}
}

// echoLine sends the first line back and closes the connection.
func echoLine(c *Conn) {
	line := make([]byte, 64)
	n, _ := c.Read(line)
	_, _ = c.Write(line[:n])
	c.CloseGracefully()
}

// serveInBackground runs Serve until stop is called, which checks that Serve returned no error.
func serveInBackground(
	t *testing.T, l FinishingListener, budget *DescriptorBudget, serve func(ctx context.Context, c *Conn),
) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, budget, func(c *Conn) { serve(ctx, c) }) }()
	return func() {
		t.Helper()
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Serve returned %v", err)
		}
	}
}
