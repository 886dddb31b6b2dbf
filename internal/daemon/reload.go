package daemon

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"yardwinch/internal/retry"
)

const (
	// unreadableReloadTimeout is for a configuration that can't be read: its directory may be about to be replaced.
	unreadableReloadTimeout = 30 * time.Second
	// invalidReloadTimeout is for one that can't be served: it may be half written.
	invalidReloadTimeout = 3 * time.Second
	firstReloadRetry     = 20 * time.Millisecond
	longestReloadRetry   = 500 * time.Millisecond
	maxLoggedKeys        = 16 // of the settings that need a restart
)

// watchReloads reloads the configuration at each value of reloads, until the context ends.
func (d *Daemon) watchReloads(ctx context.Context, reloads <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		}
		d.reloadWithRetries(ctx, reloads)
	}
}

// reloadWithRetries reloads the configuration. One that can't be read or served is retried for a while: it may be
// in the middle of a write, and its new discovery address is to count soon. A further reload meanwhile begins
// anew.
func (d *Daemon) reloadWithRetries(ctx context.Context, reloads <-chan os.Signal) {
	backoff := retry.Backoff{First: firstReloadRetry, Longest: longestReloadRetry}
	requested := time.Now()
	for first := true; ; first = false {
		err := d.reload(ctx)
		if err == nil {
			return
		}
		if first {
			slog.Warn("configuration not reloaded yet, the current one remains", "error", err)
		}
		if time.Since(requested) > reloadTimeout(err) {
			slog.Error("configuration not reloaded, the current one remains",
				"error", err, "advice", "correct the file and send SIGHUP again")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			backoff.Reset()
			requested = time.Now()
		case <-time.After(backoff.Next()):
		}
	}
}

// reloadTimeout is for how long a reload that fails with an error is retried.
func reloadTimeout(err error) time.Duration {
	var unreadable *fs.PathError
	if errors.As(err, &unreadable) {
		return unreadableReloadTimeout
	}
	return invalidReloadTimeout
}

// reload applies what can change without a restart, whatever the phase. A configuration that can't be served
// changes nothing: half a change would look like a fault of the balancer.
func (d *Daemon) reload(ctx context.Context) error {
	newer, err := prepare(ctx, d.source)
	if err != nil {
		return err
	}
	moved := d.discovery.SetAddress(newer.discoveryAddress)
	slog.Info("configuration reloaded", "discovery_address", newer.discoveryAddress, "discovery_moved", moved)
	keys := d.values.ChangedKeys(newer.values)
	d.router.WithLock(func() { keys = append(keys, d.options.Apply(newer.options, d.values.DecisionSettings())...) })
	if len(keys) > 0 {
		slog.Warn("changed settings need a restart", "settings", keys[:min(len(keys), maxLoggedKeys)], "changed", len(keys))
	}
	return nil
}
