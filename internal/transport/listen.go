package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Descriptors counts the file descriptors that connections may still use.
type Descriptors struct{ left atomic.Int64 }

func NewDescriptors(n int) *Descriptors {
	d := &Descriptors{}
	d.left.Store(int64(n))
	return d
}

// Take reserves n, or none.
func (d *Descriptors) Take(n int) bool {
	if d.left.Add(int64(-n)) >= 0 {
		return true
	}
	d.Free(n)
	return false
}

func (d *Descriptors) Free(n int) { d.left.Add(int64(n)) }

const (
	perFlow     = 2  // its client's connection and its server's
	mostRefused = 24 // connections at once that are only told to come again
)

// Listen accepts until the context ends, each connection in a goroutine of its own, and returns when all of those
// have. Short of descriptors, refuse takes the connection in place of serve; beyond a few of those nothing is
// accepted, and the kernel keeps what comes.
func Listen(ctx context.Context, l net.Listener, d *Descriptors, serve, refuse func(*Conn)) error {
	var all sync.WaitGroup
	defer all.Wait()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	refusing := make(chan struct{}, mostRefused)
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
		if d.Take(perFlow) {
			all.Go(func() { serve(NewConn(raw, func() { d.Free(perFlow) })) })
			continue
		}
		select {
		case refusing <- struct{}{}:
			all.Go(func() { refuse(NewConn(raw, func() { <-refusing })) })
		case <-ctx.Done():
			_ = raw.Close()
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
	return NewConn(raw, nil), nil
}
