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

const (
	// openTimeout is how long to retry addresses that are in use, counted from the start of the process: operators
	// allow a restarted process 10 s until it is ready.
	openTimeout        = 9 * time.Second
	firstListenRetry   = 10 * time.Millisecond
	longestListenRetry = 200 * time.Millisecond
)

// ListenError says that a configured address could not be opened, or not within the startup timeout.
type ListenError struct {
	Key string // the setting that configures the address
	Err error
}

// Error names the key and the system's error.
func (e *ListenError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Err }

// Advice tells an operator what to check.
func (e *ListenError) Advice() string {
	return "check that no other program uses the address, that it belongs to this machine, and that file descriptors are available"
}

// open opens the listeners for operators, explain and clients, or takes them over from a predecessor, unless startCtx
// ends first. Goroutines that it starts end with ctx.
func (d *Daemon) open(ctx, startCtx context.Context) error {
	openCtx, cancel := context.WithTimeout(startCtx, openTimeout)
	defer cancel()
	if err := d.openAdmin(ctx, openCtx); err != nil {
		return err
	}
	received := d.receiveHandover(ctx, startCtx)
	defer received.closeFiles()
	if startCtx.Err() != nil { // no client has connected here yet, and the predecessor serves again
		received.closeSockets()
		return errStoppedBeforeServing
	}
	if err := d.openExplain(ctx, received.explainListener); err != nil {
		return err
	}
	return d.openClients(openCtx, received.listener)
}

// openAdmin opens the address for operators, if one is configured, and serves their calls.
func (d *Daemon) openAdmin(ctx, openCtx context.Context) error {
	if d.adminAddress == "" {
		return nil
	}
	var listener net.Listener
	err := listenWithRetries(openCtx, "control", func() (err error) {
		var config net.ListenConfig
		listener, err = config.Listen(ctx, "tcp", d.adminAddress)
		return err
	})
	if err != nil {
		return err
	}
	d.goroutines.Go(func() {
		if err := admin.Serve(ctx, listener, adminCalls{d}); err != nil {
			slog.Error("admin calls ended", "error", err)
		}
	})
	return nil
}

// openExplain opens the explain socket, if one is configured and the predecessor handed over none.
func (d *Daemon) openExplain(ctx context.Context, received net.Listener) (err error) {
	d.explainListener = received
	path := d.options.ExplainSocket()
	if path == "" || received != nil {
		return nil
	}
	if d.explainListener, err = explain.Listen(ctx, path); err != nil {
		return fmt.Errorf("explain.socket: %w", err)
	}
	return nil
}

// openClients opens the address for clients, unless the predecessor handed it over.
func (d *Daemon) openClients(openCtx context.Context, received *transport.PausableListener) error {
	if d.listener = received; received != nil {
		return nil
	}
	isShared := d.adminAddress != "" // with a successor
	// The address is numeric: there is no name lookup to cancel.
	return listenWithRetries(openCtx, "listen", func() (err error) { //nolint:contextcheck
		d.listener, err = transport.Listen(d.listenAddress, isShared)
		return err
	})
}

// listenWithRetries calls listen, and retries while the address is in use or the system is out of resources. key is
// the setting that configures the address.
func listenWithRetries(ctx context.Context, key string, listen func() error) error {
	backoff := retry.Backoff{InitialDelay: firstListenRetry, MaxDelay: longestListenRetry}
	err := retry.Do(ctx, backoff, func(err error) {
		slog.Warn("address not opened yet", "setting", key, "error", err)
	}, listen)
	if err != nil {
		return &ListenError{Key: key, Err: err}
	}
	return nil
}
