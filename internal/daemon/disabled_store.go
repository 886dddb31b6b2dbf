package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"yardwinch/internal/handover"
	"yardwinch/internal/retry"
)

const (
	firstStoreRetry   = 20 * time.Millisecond
	longestStoreRetry = 250 * time.Millisecond
	saveTimeout       = 300 * time.Millisecond // that an answer waits for the folder: what is called for is in force by then
	loadTimeout       = 2 * time.Second        // that a process waits before it serves for a folder that can't be read
	releaseTimeout    = 200 * time.Millisecond // for a write under way as another process takes over
)

// disabledStore has the folder hold which servers are out by hand, for a process that starts after this one was killed. What is owed to a folder
// that fails is tried again until it is there. Nothing is written before it is known what an earlier process left.
type disabledStore struct {
	directory         *handover.Directory
	currentlyDisabled func() []string // the servers out by hand now

	mu                sync.Mutex
	loaded            bool            // what an earlier process left is known
	changedBeforeLoad map[string]bool // servers called out or back before that: the call is the later word
	changes           int             // that were made
	saved             int             // of them, as of the last write
	writing           bool
	attempt           chan struct{} // closed at the end of the next attempt
	failingSince      time.Time     // since when the folder fails; zero: it does not
	wake              chan struct{} // something is owed
}

func newDisabledStore(folder *handover.Directory, out func() []string) *disabledStore {
	return &disabledStore{directory: folder, currentlyDisabled: out, changedBeforeLoad: map[string]bool{}, attempt: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// onChange says that a server was called out or back.
func (k *disabledStore) onChange(server string) {
	k.mu.Lock()
	if !k.loaded {
		k.changedBeforeLoad[server] = true
	}
	k.mu.Unlock()
	k.requestSave()
}

// requestSave has all that is out by hand written anew.
func (k *disabledStore) requestSave() {
	k.mu.Lock()
	k.changes++
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// markLoaded says that what an earlier process left is known, from itself.
func (k *disabledStore) markLoaded() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loaded = true
}

// release leaves the folder to another process.
func (k *disabledStore) release() {
	k.mu.Lock()
	k.saved, k.failingSince = k.changes, time.Time{}
	writing, attempt := k.writing, k.attempt
	k.mu.Unlock()
	if writing {
		waitFor(context.Background(), attempt, releaseTimeout)
	}
}

// awaitSaved waits until the changes made so far are in the folder, or it is known to fail.
func (k *disabledStore) awaitSaved(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, saveTimeout)
	defer done()
	k.mu.Lock()
	changes := k.changes
	k.mu.Unlock()
	for ctx.Err() == nil {
		k.mu.Lock()
		over, attempt := k.saved >= changes || !k.failingSince.IsZero(), k.attempt
		k.mu.Unlock()
		if over {
			return
		}
		waitFor(ctx, attempt, saveTimeout)
	}
}

func waitFor(ctx context.Context, done <-chan struct{}, most time.Duration) {
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(most):
	}
}

// run writes what is owed until the context ends. take is given the servers that an earlier process left out, once that is known.
func (k *disabledStore) run(ctx context.Context, take func([]string)) {
	waits := retry.Backoff{First: firstStoreRetry, Longest: longestStoreRetry}
	for {
		again := k.reconcile(take)
		if !again {
			waits.Reset()
			select {
			case <-ctx.Done():
				return
			case <-k.wake:
			}
		} else if waits.Wait(ctx) != nil {
			return
		}
	}
}

// reconcile reads what is not known and writes what is owed; again: it failed, or more is owed by now.
func (k *disabledStore) reconcile(take func([]string)) (again bool) {
	if err := k.load(take); err != nil {
		k.recordResult(err)
		return true
	}
	k.mu.Lock()
	changes := k.changes
	owed := changes > k.saved
	k.writing = owed
	k.mu.Unlock()
	if !owed {
		k.recordResult(nil)
		return false
	}
	err := k.directory.SaveDisabled(k.currentlyDisabled())
	k.mu.Lock()
	if k.writing = false; err == nil {
		k.saved = max(k.saved, changes)
	}
	again = k.saved < k.changes
	k.mu.Unlock()
	k.recordResult(err)
	return again
}

// load takes what an earlier process left, unless that is known.
func (k *disabledStore) load(take func([]string)) error {
	k.mu.Lock()
	read := k.loaded
	k.mu.Unlock()
	if read {
		return nil
	}
	servers, err := k.directory.LoadDisabled()
	var content *handover.ContentError
	if errors.As(err, &content) {
		slog.Error("who was out by hand is not known", "error", err, "what helps", content.Advice())
	} else if err != nil {
		return err
	}
	k.mu.Lock()
	k.loaded = true
	servers = slices.DeleteFunc(servers, func(server string) bool { return k.changedBeforeLoad[server] })
	k.mu.Unlock()
	if len(servers) > 0 {
		take(servers)
		slog.Info("out by hand as before", "servers", len(servers))
	}
	return nil
}

// recordResult keeps since when the folder fails, and says so once at each beginning and end.
func (k *disabledStore) recordResult(err error) {
	k.mu.Lock()
	began, since := err != nil && k.failingSince.IsZero(), k.failingSince
	if began {
		k.failingSince = time.Now()
	} else if err == nil {
		k.failingSince = time.Time{}
	}
	close(k.attempt)
	k.attempt = make(chan struct{})
	k.mu.Unlock()
	var advice interface{ Advice() string }
	switch {
	case began && errors.As(err, &advice):
		slog.Warn("the folder fails: servers out by hand are held in memory alone", "error", err, "what helps", advice.Advice())
	case began:
		slog.Warn("the folder fails: servers out by hand are held in memory alone", "error", err)
	case err == nil && !since.IsZero():
		slog.Info("the folder works again", "after", time.Since(since).Round(time.Millisecond))
	}
}

// fault says what is amiss, for whoever asks; nothing where all is kept.
func (k *disabledStore) fault() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failingSince.IsZero() {
		return ""
	}
	return fmt.Sprintf("the folder fails since %.0f s; %d servers out by hand are held in memory alone", time.Since(k.failingSince).Seconds(), len(k.currentlyDisabled()))
}
