package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Listen accepts until the context ends, each connection in a goroutine of its own, and returns when all of those
// have. While there is no room at all the kernel keeps what comes.
func Listen(ctx context.Context, l net.Listener, r *Room, serve func(*Conn)) error {
	var all sync.WaitGroup
	defer all.Wait()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		default: // out of descriptors or memory, or a client gone again: the loop must outlive it
			select {
			case <-time.After(10 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		if c := r.admit(ctx, raw); c != nil {
			all.Go(func() { serve(c) })
		}
	}
}

// ErrOwnLack says that a connect failed for want of something on this machine; it tells nothing of the server.
var ErrOwnLack = errors.New("lack of descriptors, ports or memory")

var ownLacks = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

// Dial connects to a server. The descriptor is part of what the flow's client took.
func Dial(ctx context.Context, addr string, within time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: within, KeepAlive: -1} // keep-alive notices nothing that the lines don't
	raw, err := d.DialContext(ctx, "tcp", addr)
	for _, lack := range ownLacks {
		if errors.Is(err, lack) {
			return nil, fmt.Errorf("dial: %w: %w", ErrOwnLack, err)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return NewConn(raw), nil
}
