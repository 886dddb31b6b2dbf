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
	initialLocalBackoff = time.Millisecond
	maxLocalBackoff     = 25 * time.Millisecond
	// localRetryTimeout is how long a dial that fails for lack of local resources is retried. After that, trying
	// another server is as likely to succeed, and the client may be due a final answer.
	localRetryTimeout = 250 * time.Millisecond
)

var (
	// ErrLocalResources means that a dial failed for lack of resources on this machine, which says nothing about the
	// server.
	ErrLocalResources = errors.New("lack of descriptors, ports, memory or a network route on this machine")
	// ErrNoLongerWanted means that the last check before a connect found it no longer wanted: nothing was sent, not
	// even a SYN.
	ErrNoLongerWanted = errors.New("connection no longer wanted")
)

// Dialer connects to servers. The zero value uses the operating system's network.
type Dialer struct {
	// Connect, if not nil, replaces net.Dialer.DialContext.
	Connect func(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error)
}

// Dial connects to a server; its descriptor is the one acquired with AcquireServerSlot. isWanted, if not nil, is called
// directly before the connect system call, after everything that may take time. A dial that fails for lack of local
// resources has sent nothing, and is retried for a while. The error is ErrNoLongerWanted, ErrLocalResources, the
// context's error or a network error.
func (d Dialer) Dial(ctx context.Context, addr string, timeout time.Duration, isWanted func() bool) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1} // no keep-alive: unanswered lines reveal a lost server too
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
	backoff := retry.Backoff{InitialDelay: initialLocalBackoff, MaxDelay: maxLocalBackoff}
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

// isLocalError reports whether a dial failed on this machine, before anything was sent.
func isLocalError(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.ENETDOWN, syscall.ENETUNREACH} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
