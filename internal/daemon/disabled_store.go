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
	// For the answer to an operator: the change is in force before it is saved.
	saveTimeout = 300 * time.Millisecond
	// For a directory that can't be read, before the process serves without it.
	loadTimeout    = 2 * time.Second
	releaseTimeout = 200 * time.Millisecond // for a write in progress while a successor takes over
)

// disabledStore keeps the administratively disabled servers on disk, for a process that starts after this one was
// killed. What could not be written is retried until it is. Nothing is written before the servers that an earlier
// process saved are known: a write would lose them.
type disabledStore struct {
	directory         *store.Directory
	currentlyDisabled func() []string // the servers to save
	wake              chan struct{}   // receives once there is something to save

	mu                sync.Mutex // guards the fields below
	isLoaded          bool       // what an earlier process saved is known
	changedBeforeLoad map[string]bool
	changes           int           // how many changes were made
	savedChanges      int           // how many of those need no save by this process any more
	isWriting         bool          // a write is in progress
	attemptEnded      chan struct{} // closed at the end of the attempt that is under way or comes next
	failingSince      time.Time     // zero: the last attempt succeeded
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

// onChange notes that an operator disabled or enabled a server. A change made before the load overrides what an
// earlier process saved.
func (s *disabledStore) onChange(server string) {
	s.mu.Lock()
	if !s.isLoaded {
		s.changedBeforeLoad[server] = true
	}
	s.mu.Unlock()
	s.requestSave()
}

// requestSave has all disabled servers written anew.
func (s *disabledStore) requestSave() {
	s.mu.Lock()
	s.changes++
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// markLoaded says that this process knows the disabled servers from its predecessor, and need not load them.
func (s *disabledStore) markLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLoaded = true
}

// release leaves the directory to the successor, after a write in progress.
func (s *disabledStore) release(ctx context.Context) {
	s.mu.Lock()
	s.savedChanges = s.changes // what is unsaved is the successor's to save
	s.failingSince = time.Time{}
	isWriting, attemptEnded := s.isWriting, s.attemptEnded
	s.mu.Unlock()
	if isWriting {
		waitFor(ctx, attemptEnded, releaseTimeout)
	}
}

// awaitSaved waits until the changes made so far are saved, the directory is known to fail, or the time for it is over.
func (s *disabledStore) awaitSaved(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	s.mu.Lock()
	changes := s.changes
	s.mu.Unlock()
	for ctx.Err() == nil {
		s.mu.Lock()
		isSettled, attemptEnded := s.savedChanges >= changes || !s.failingSince.IsZero(), s.attemptEnded
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

// run saves what is to be saved until the context ends. restore gets the servers that an earlier process saved,
// once they are known.
func (s *disabledStore) run(ctx context.Context, restore func(servers []string)) {
	backoff := retry.Backoff{First: firstStoreRetry, Longest: longestStoreRetry}
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

// synchronise loads what is not loaded and saves what is not saved. done: neither failed, and no change came meanwhile.
func (s *disabledStore) synchronise(restore func(servers []string)) (done bool) {
	if err := s.load(restore); err != nil {
		s.recordResult(err)
		return false
	}
	s.mu.Lock()
	changes := s.changes
	hasUnsaved := changes > s.savedChanges
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
		s.savedChanges = max(s.savedChanges, changes)
	}
	done = s.savedChanges >= s.changes
	s.mu.Unlock()
	s.recordResult(err)
	return done
}

// load restores what an earlier process saved, unless it is known already. Invalid content counts as none, and is
// not read again.
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

// recordResult records how an attempt ended, and logs the beginning and the end of a failure.
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

// fault is the text of explain's answer while the directory fails; else it is empty.
func (s *disabledStore) fault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		return ""
	}
	return fmt.Sprintf("the folder fails since %.0f s; %d servers out by hand are held in memory alone",
		time.Since(s.failingSince).Seconds(), len(s.currentlyDisabled()))
}
