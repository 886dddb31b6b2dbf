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
	// unreadableReloadTimeout is how long to retry a configuration that can't be read: its directory may be in the
	// course of being replaced.
	unreadableReloadTimeout = 30 * time.Second
	// invalidReloadTimeout is how long to retry a configuration that can't be served: it may be half written.
	invalidReloadTimeout = 3 * time.Second
	firstReloadRetry     = 20 * time.Millisecond
	longestReloadRetry   = 500 * time.Millisecond
	maxLoggedKeys        = 16 // limit on the changed settings in one log line
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

// reloadWithRetries reloads the configuration. One that can't be read or served is retried for a while: a write may be
// in progress, and a new discovery address must take effect soon. Another reload request restarts the retries.
func (d *Daemon) reloadWithRetries(ctx context.Context, reloads <-chan os.Signal) {
	backoff := retry.Backoff{InitialDelay: firstReloadRetry, MaxDelay: longestReloadRetry}
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

// reloadTimeout returns how long to retry a reload that failed with an error.
func reloadTimeout(err error) time.Duration {
	var unreadable *fs.PathError
	if errors.As(err, &unreadable) {
		return unreadableReloadTimeout
	}
	return invalidReloadTimeout
}

// reload applies the settings that can change without a restart, in any phase. A configuration that can't be served
// changes nothing: a partial change would look like a fault of the balancer.
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
