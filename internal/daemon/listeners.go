package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"yardwinch/internal/admin"
	"yardwinch/internal/explain"
	"yardwinch/internal/retry"
	"yardwinch/internal/transport"
)

// What the process opens for others to reach it.

const (
	openTimeout        = 9 * time.Second // for addresses that are not free, from the start on: a restarted process has 10 s to be ready
	firstListenRetry   = 10 * time.Millisecond
	longestListenRetry = 200 * time.Millisecond
)

// listenWithRetries opens an address that may not be free, or for which the system may have nothing left, as the process starts. The key names it.
func (p *Daemon) listenWithRetries(ctx context.Context, key string, listen func() error) error {
	waits := retry.Backoff{First: firstListenRetry, Longest: longestListenRetry}
	err := retry.Do(ctx, waits, func(err error) {
		slog.Warn("an address can't be opened yet", "key", key, "error", err)
	}, listen)
	if err != nil {
		return &ListenError{Key: key, Err: err}
	}
	return nil
}

// ListenError says that an address could not be opened, at once or for as long as a start may take.
type ListenError struct {
	Key string // of the configuration
	Err error
}

func (e *ListenError) Error() string { return e.Key + ": " + e.Err.Error() }
func (e *ListenError) Unwrap() error { return e.Err }

// Advice says what an operator can do about it.
func (e *ListenError) Advice() string {
	return "see that no other program has the address, that this machine has it, and that descriptors are left on it"
}

// begin opens what clients and others reach, or takes it over from the process that serves now, unless starting ends first. An address that
// is not free is waited for while opening lasts.
func (p *Daemon) begin(ctx, starting, opening context.Context) (err error) {
	received := p.receiveHandover(ctx, starting)
	defer received.closeFiles()
	if starting.Err() != nil { // nobody is sent here yet; what was taken over the other process takes back
		received.closeSockets()
		return errStoppedBeforeServing
	}
	if p.explainer = received.explainer; p.options.ExplainSocket() != "" && p.explainer == nil {
		if p.explainer, err = explain.Listen(p.options.ExplainSocket()); err != nil {
			return fmt.Errorf("explain.socket: %w", err)
		}
	}
	if p.listener = received.listener; p.listener == nil {
		return p.listenWithRetries(opening, "listen", func() (err error) {
			p.listener, err = transport.ListenShared(p.listenAddress, p.adminAddress != "")
			return err
		})
	}
	return nil
}

// openControl opens the staff's address, where there is one, and takes calls.
func (p *Daemon) openControl(ctx, opening context.Context) error {
	if p.adminAddress == "" {
		return nil
	}
	err := p.listenWithRetries(opening, "control", func() (err error) {
		p.adminListener, err = net.Listen("tcp", p.adminAddress)
		return err
	})
	if err != nil {
		return err
	}
	p.goroutines.Go(func() {
		if err := admin.Serve(ctx, p.adminListener, adminCalls{p}); err != nil {
			slog.Error("no calls are taken any more", "error", err)
		}
	})
	return nil
}
