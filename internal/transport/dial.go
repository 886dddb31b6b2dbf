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

const (
	firstLocalRetry   = time.Millisecond
	longestLocalRetry = 25 * time.Millisecond
	// localRetryTimeout is how long a dial is retried that fails for lack of local resources: after that another
	// server is as good, and a final answer may be due.
	localRetryTimeout = 250 * time.Millisecond
)

var (
	// ErrLocalResources says that a dial failed for lack of something on this machine, which says nothing about the
	// server.
	ErrLocalResources = errors.New("lack of descriptors, ports, memory or a way out on this machine")
	// ErrNoLongerWanted says that the last check before a dial found it no longer wanted: nothing of it went out,
	// not even a SYN.
	ErrNoLongerWanted = errors.New("not wanted any more")
)

// Dialer connects to servers. The zero value dials by the system.
type Dialer struct {
	// Connect makes one connection; nil: the system does.
	Connect func(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error)
}

// Dial connects to a server; its descriptor is part of what the flow's client acquired. isWanted is the last
// check, directly before the system is asked to connect and after all that may take time before that; nil: none is
// needed. A dial that fails for lack of local resources never left this machine, and is retried for a while. The
// errors are ErrNoLongerWanted, ErrLocalResources, the context's, and the network's.
func (d Dialer) Dial(ctx context.Context, addr string, timeout time.Duration, isWanted func() bool) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1} // keep-alive notices nothing that the lines don't
	if isWanted != nil {
		dialer.Control = func(_, _ string, _ syscall.RawConn) error {
			if !isWanted() {
				return ErrNoLongerWanted
			}
			return nil
		}
	}
	raw, err := d.connectWithRetries(ctx, &dialer, addr, time.Now().Add(min(timeout, localRetryTimeout)))
	if isLocalError(err) {
		return nil, fmt.Errorf("dial: %w: %w", ErrLocalResources, err)
	}
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return NewConn(raw), nil
}

func (d Dialer) connectWithRetries(
	ctx context.Context, dialer *net.Dialer, addr string, deadline time.Time,
) (net.Conn, error) {
	backoff := retry.Backoff{First: firstLocalRetry, Longest: longestLocalRetry}
	for {
		raw, err := d.connect(ctx, dialer, addr)
		if !isLocalError(err) || time.Now().After(deadline) || backoff.Wait(ctx) != nil {
			return raw, err
		}
	}
}

func (d Dialer) connect(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, dialer, addr)
	}
	return dialer.DialContext(ctx, "tcp", addr)
}

// isLocalError reports whether a dial failed before anything of it could leave this machine.
func isLocalError(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.ENETDOWN, syscall.ENETUNREACH} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
