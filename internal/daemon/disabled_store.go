package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"yardwinch/internal/retry"
	"yardwinch/internal/store"
)

const (
	firstStoreRetry   = 20 * time.Millisecond
	longestStoreRetry = 250 * time.Millisecond
	// How long an operator's response waits for the save: the change takes effect before it is saved.
	saveTimeout = 300 * time.Millisecond
	// How long to retry a directory that can't be read, before the process serves without it.
	loadTimeout    = 2 * time.Second
	releaseTimeout = 200 * time.Millisecond // how long a hand-over waits for a write in progress
)

// disabledStore saves the administratively disabled servers, for a process that starts after this one was killed.
// Failed writes are retried until they succeed. Nothing is written before the file of an earlier process has been
// loaded: a write would lose its content.
type disabledStore struct {
	directory         *store.Directory
	currentlyDisabled func() []string // returns the servers to save
	wake              chan struct{}   // receives when there is something to save

	mu                sync.Mutex // guards the fields below
	isLoaded          bool       // the file of an earlier process was loaded, or need not be
	changedBeforeLoad map[string]bool
	changes           int           // number of changes made
	settledChanges    int           // number of changes that are saved, or left to the successor
	isWriting         bool          // a write is in progress
	attemptEnded      chan struct{} // closed when the current or next attempt ends
	failingSince      time.Time     // zero: the last attempt succeeded, or none was made
}

func newDisabledStore(directory *store.Directory, currentlyDisabled func() []string) *disabledStore {
	return &disabledStore{
		directory:         directory,
		currentlyDisabled: currentlyDisabled,
		changedBeforeLoad: map[string]bool{},
		attemptEnded:      make(chan struct{}),
		wake:              make(chan struct{}, 1),
	}
}

// onChange records that an operator disabled or enabled a server. A change made before the load overrides what an
// earlier process saved.
func (s *disabledStore) onChange(server string) {
	s.mu.Lock()
	if !s.isLoaded {
		s.changedBeforeLoad[server] = true
	}
	s.mu.Unlock()
	s.requestSave()
}

// requestSave schedules a write of all disabled servers.
func (s *disabledStore) requestSave() {
	s.mu.Lock()
	s.changes++
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// markLoaded records that the predecessor handed over the disabled servers, so that they need not be loaded.
func (s *disabledStore) markLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLoaded = true
}

// release leaves the file, and the changes not saved yet, to the successor. It waits for a write in progress.
func (s *disabledStore) release(ctx context.Context) {
	s.mu.Lock()
	s.settledChanges = s.changes // the successor saves the rest
	s.failingSince = time.Time{}
	isWriting, attemptEnded := s.isWriting, s.attemptEnded
	s.mu.Unlock()
	if isWriting {
		waitFor(ctx, attemptEnded, releaseTimeout)
	}
}

// awaitSaved waits until the changes made so far are saved, the directory is known to fail, or saveTimeout has passed.
func (s *disabledStore) awaitSaved(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	s.mu.Lock()
	changes := s.changes
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.mu.Lock()
		isSettled, attemptEnded := s.settledChanges >= changes || !s.failingSince.IsZero(), s.attemptEnded
		s.mu.Unlock()
		if isSettled {
			return
		}
		waitFor(ctx, attemptEnded, saveTimeout)
	}
}

func waitFor(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(timeout):
	}
}

// run loads and saves until the context ends. restore is called with the servers that an earlier process saved, once
// they are loaded.
func (s *disabledStore) run(ctx context.Context, restore func(servers []string)) {
	backoff := retry.Backoff{InitialDelay: firstStoreRetry, MaxDelay: longestStoreRetry}
	for {
		if s.synchronise(restore) {
			backoff.Reset()
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
		} else if backoff.Wait(ctx) != nil {
			return
		}
	}
}

// synchronise loads and saves what is pending. It reports whether nothing is left for this process to load or save.
func (s *disabledStore) synchronise(restore func(servers []string)) (done bool) {
	if err := s.load(restore); err != nil {
		s.recordResult(err)
		return false
	}
	s.mu.Lock()
	changes := s.changes
	hasUnsaved := changes > s.settledChanges
	s.isWriting = hasUnsaved
	s.mu.Unlock()
	if !hasUnsaved {
		s.recordResult(nil)
		return true
	}
	err := s.directory.SaveDisabled(s.currentlyDisabled())
	s.mu.Lock()
	s.isWriting = false
	if err == nil {
		s.settledChanges = max(s.settledChanges, changes)
	}
	done = s.settledChanges >= s.changes
	s.mu.Unlock()
	s.recordResult(err)
	return done
}

// load restores the servers that an earlier process saved, unless that was done before. A file with invalid content is
// treated as empty, and is not read again.
func (s *disabledStore) load(restore func(servers []string)) error {
	s.mu.Lock()
	isLoaded := s.isLoaded
	s.mu.Unlock()
	if isLoaded {
		return nil
	}
	servers, err := s.directory.LoadDisabled()
	var invalid *store.ContentError
	if errors.As(err, &invalid) {
		slog.Error("disabled servers not restored", "error", err, "advice", invalid.Advice())
	} else if err != nil {
		return err
	}
	s.mu.Lock()
	s.isLoaded = true
	servers = slices.DeleteFunc(servers, func(server string) bool { return s.changedBeforeLoad[server] })
	s.mu.Unlock()
	if len(servers) > 0 {
		restore(servers)
		slog.Info("disabled servers restored", "servers", len(servers))
	}
	return nil
}

// recordResult records the result of an attempt, and logs when the directory begins to fail and when it works again.
func (s *disabledStore) recordResult(err error) {
	s.mu.Lock()
	since := s.failingSince
	begins := err != nil && since.IsZero()
	ends := err == nil && !since.IsZero()
	if begins {
		s.failingSince = time.Now()
	} else if ends {
		s.failingSince = time.Time{}
	}
	close(s.attemptEnded)
	s.attemptEnded = make(chan struct{})
	s.mu.Unlock()
	switch {
	case begins:
		logStoreFailure(err)
	case ends:
		slog.Info("directory works again", "failed_for_ms", time.Since(since).Milliseconds())
	}
}

func logStoreFailure(err error) {
	attributes := []any{"error", err}
	var advice interface{ Advice() string }
	if errors.As(err, &advice) {
		attributes = append(attributes, "advice", advice.Advice())
	}
	slog.Warn("directory failed, disabled servers are held in memory only", attributes...)
}

// fault returns the text for explain while the directory fails, else an empty string.
func (s *disabledStore) fault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		return ""
	}
	return fmt.Sprintf("the folder fails since %.0f s; %d servers out by hand are held in memory alone",
		time.Since(s.failingSince).Seconds(), len(s.currentlyDisabled()))
}
