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

// failingDialer is a connect that the system refuses with an error of this machine's own, as often as fails says.
func failingDialer(err error, fails func(n int64) bool) transport.Dialer {
	var n atomic.Int64
	return transport.Dialer{Connect: func(ctx context.Context, by *net.Dialer, addr string) (net.Conn, error) {
		if fails(n.Add(1)) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
		return by.DialContext(ctx, "tcp", addr)
	}}
}

// The system refuses connects with an error of this machine's own, every fifth one or all of a moment: the servers are sound, so that all clients
// are served, and nothing is held against a server.
func TestLocalConnectErrors(t *testing.T) {
	const clients = 300
	for _, errno := range []syscall.Errno{syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENFILE, syscall.EAGAIN, syscall.ENOMEM} {
		start := time.Now()
		for name, fails := range map[string]func(n int64) bool{
			"every fifth":     func(n int64) bool { return n%5 == 0 },
			"all of a moment": func(int64) bool { return time.Since(start) < 150*ms },
		} {
			t.Run(fmt.Sprintf("%v, %s", errno, name), func(t *testing.T) {
				y := startBalancer(t, decide.NotIdempotent, 1000, serverThatAnswersUp(t), serverThatAnswersUp(t), serverThatAnswersUp(t))
				y.frontend.dialer = failingDialer(errno, fails)
				start = time.Now()
				var all sync.WaitGroup
				room := make(chan struct{}, 20)
				for i := range clients {
					room <- struct{}{}
					all.Go(func() {
						defer func() { <-room }()
						c, err := net.Dial("tcp", y.addr)
						if err != nil {
							t.Error(err)
							return
						}
						defer c.Close()
						f := newPeer(t, c, nil)
						f.send(fmt.Sprintf("OPEN e%d k c=live,d=2000\r\n", i))
						if got := f.line(); got != "UP 1" {
							t.Errorf("client %d hears %q", i, got)
						}
					})
				}
				all.Wait()
				for _, server := range y.router.Snapshot().Decisions.Servers {
					if server.Ejected || server.Silent > 0 {
						t.Errorf("held against a server: %+v", server)
					}
				}
			})
		}
	}
}

// serverThatAnswersUp is a server that says UP to all.
func serverThatAnswersUp(t *testing.T) string {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := readServerLine(c); err == nil {
					_, _ = c.Write([]byte("UP 1\r\n"))
					_, _ = readServerLine(c) // until its end
				}
			}()
		}
	}()
	return l.Addr().String()
}

func readServerLine(c net.Conn) (string, error) { return readLine(transport.NewConn(c)) }
