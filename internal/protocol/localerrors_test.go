package protocol

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/transport"
)

// failingDialer returns a Dialer whose nth dial fails with the local error err if fails(n) is true,
// as if the system refused it.
func failingDialer(err error, fails func(n int64) bool) transport.Dialer {
	var n atomic.Int64
	return transport.Dialer{Connect: func(ctx context.Context, by *net.Dialer, addr string) (net.Conn, error) {
		if fails(n.Add(1)) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
		return by.DialContext(ctx, "tcp", addr)
	}}
}

// The system refuses dials with a local error, every fifth one or all of them for 150 ms. As the servers are healthy,
// all clients are served and the errors do not count against a server.
func TestLocalConnectErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENFILE, syscall.EAGAIN, syscall.ENOMEM,
	} {
		start := time.Now()
		for name, fails := range map[string]func(n int64) bool{
			"every fifth":    func(n int64) bool { return n%5 == 0 },
			"all for 150 ms": func(int64) bool { return time.Since(start) < 150*ms },
		} {
			t.Run(fmt.Sprintf("%v, %s", errno, name), func(t *testing.T) {
				b := startBalancer(t, decide.NotIdempotent, 1000, serverThatAnswersUp(t), serverThatAnswersUp(t), serverThatAnswersUp(t))
				b.frontend.dialer = failingDialer(errno, fails)
				start = time.Now()
				b.wantAllServed(300)
				for _, server := range b.router.Snapshot().Decisions.Servers {
					if server.Ejected || server.ConsecutiveUnreachable > 0 {
						t.Errorf("counted against a server: %+v", server)
					}
				}
			})
		}
	}
}

// wantAllServed opens the given number of flows, twenty at a time, and checks that all are established.
func (b *testBalancer) wantAllServed(clients int) {
	var all sync.WaitGroup
	slots := make(chan struct{}, 20)
	for i := range clients {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			c, err := new(net.Dialer).DialContext(b.t.Context(), "tcp", b.addr)
			if err != nil {
				b.t.Error(err)
				return
			}
			defer closeQuietly(c)
			client := newPeer(b.t, c, nil)
			client.send(fmt.Sprintf("OPEN e%d k c=live,d=2000\r\n", i))
			if got := client.line(); got != "UP 1" {
				b.t.Errorf("client %d got %q", i, got)
			}
		})
	}
	all.Wait()
}

// serverThatAnswersUp starts a server that replies UP to each flow, and returns its address.
func serverThatAnswersUp(t *testing.T) string {
	l := listen(t)
	go serveConnections(l, func(c net.Conn) {
		if _, err := readServerLine(c); err == nil {
			_, _ = c.Write([]byte("UP 1\r\n"))
			_, _ = readServerLine(c) // until the connection ends
		}
	})
	return l.Addr().String()
}

func readServerLine(c net.Conn) (string, error) { return readLine(transport.NewConn(c)) }
