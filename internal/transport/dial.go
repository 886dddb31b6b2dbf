package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"yardwinch/internal/retry"
)

// ErrLocalResources says that a connect failed for want of something on this machine; it tells nothing of the server.
var ErrLocalResources = errors.New("lack of descriptors, ports, memory or a way out on this machine")

const (
	firstConnectRetry   = time.Millisecond
	longestConnectRetry = 25 * time.Millisecond
	ownLackTimeout      = 250 * time.Millisecond // for a lack to pass: after that another server is as good, and a final answer may be due
)

// ErrNoLongerWanted says that the last look before a connect found that nobody wants it any more: nothing of it went out, no SYN either.
var ErrNoLongerWanted = errors.New("not wanted any more")

// Dialer connects to servers. The zero value asks the system.
type Dialer struct {
	Connect func(ctx context.Context, by *net.Dialer, addr string) (net.Conn, error) // nil: the system's own
}

// Dial connects to a server. The descriptor is part of what the flow's client took. wanted is the last look: it stands directly before the
// system is asked to connect, behind all that may take its time before that; nil where none is needed. What fails for want of something here
// never left this machine: it is tried again for a while.
func (d Dialer) Dial(ctx context.Context, addr string, within time.Duration, wanted func() bool) (*Conn, error) {
	by := net.Dialer{Timeout: within, KeepAlive: -1} // keep-alive notices nothing that the lines don't
	if wanted != nil {
		by.Control = func(_, _ string, _ syscall.RawConn) error {
			if !wanted() {
				return ErrNoLongerWanted
			}
			return nil
		}
	}
	raw, err := d.connectWithRetries(ctx, &by, addr, time.Now().Add(min(within, ownLackTimeout)))
	if ownLack(err) {
		return nil, fmt.Errorf("dial: %w: %w", ErrLocalResources, err)
	}
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return NewConn(raw), nil
}

func (d Dialer) connectWithRetries(ctx context.Context, by *net.Dialer, addr string, until time.Time) (net.Conn, error) {
	waits := retry.Backoff{First: firstConnectRetry, Longest: longestConnectRetry}
	for {
		raw, err := d.connect(ctx, by, addr)
		if !ownLack(err) || time.Now().After(until) || waits.Wait(ctx) != nil {
			return raw, err
		}
	}
}

// ownLack tells whether a connect failed before anything of it could leave this machine.
func ownLack(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENETDOWN, syscall.ENETUNREACH} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

func (d Dialer) connect(ctx context.Context, by *net.Dialer, addr string) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, by, addr)
	}
	return by.DialContext(ctx, "tcp", addr)
}
