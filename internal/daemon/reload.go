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

// The configuration as it is read anew while the process runs.

const (
	reloadTimeout       = 30 * time.Second // after SIGHUP, for one that can't be read
	faultyReloadTimeout = 3 * time.Second  // and for one that can't be served: it may be half written
	firstReloadRetry    = 20 * time.Millisecond
	longestReloadRetry  = 500 * time.Millisecond
	mostKeys            = 16 // named in the log where a new file changes what needs a restart
)

// watchReloads has the configuration read anew at each word of again, until the context ends. One that can't be read or served as the word comes is
// tried again: it may be about to be written, and its address of discovery counts soon. A new word begins anew.
func (p *Daemon) watchReloads(ctx context.Context, again <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		p.reloadWithRetries(ctx, again)
	}
}

func (p *Daemon) reloadWithRetries(ctx context.Context, again <-chan os.Signal) {
	waits := retry.Backoff{First: firstReloadRetry, Longest: longestReloadRetry}
	asked := time.Now()
	for first := true; ; first = false {
		err := p.reload()
		if err == nil {
			return
		}
		longest := faultyReloadTimeout
		if unread := (*fs.PathError)(nil); errors.As(err, &unread) {
			longest = reloadTimeout
		}
		if first {
			slog.Warn("configuration not taken yet, the one before holds", "error", err)
		}
		if time.Since(asked) > longest {
			slog.Error("configuration not taken, the one before holds", "error", err, "what helps", "mend the file and send SIGHUP again")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-again:
			waits.Reset()
			asked = time.Now()
		case <-time.After(waits.Next()):
		}
	}
}

// reload is the one owner of what is told anew while the balancer runs, be it serving or draining. A file that can't be
// served changes nothing: half a change could not be told from a fault of the balancer.
func (p *Daemon) reload() error {
	next, err := prepare(p.configPath, p.optionsPath, p.environment)
	if err != nil {
		return err
	}
	moved := p.discovery.SetAddress(next.discoveryAddress)
	slog.Info("configuration read anew", "discovery", next.discoveryAddress, "moved", moved)
	keys := p.values.ChangedKeys(next.values)
	p.router.WithLock(func() { keys = append(keys, p.options.Apply(next.options, p.values.DecisionSettings())...) })
	if len(keys) > 0 {
		slog.Warn("these changes need a restart", "keys", keys[:min(len(keys), mostKeys)], "in all", len(keys))
	}
	return nil
}
