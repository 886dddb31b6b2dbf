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
	firstFolderRetry   = 20 * time.Millisecond
	longestFolderRetry = 250 * time.Millisecond
	keepTimeout        = 300 * time.Millisecond // that an answer waits for the folder: what is called for is in force by then
	readBansTimeout    = 2 * time.Second        // that a process waits before it serves for a folder that can't be read
	releaseTimeout     = 200 * time.Millisecond // for a write under way as another process takes over
)

// banKeeper has the folder hold which servers are out by hand, for a process that starts after this one was killed. What is owed to a folder
// that fails is tried again until it is there. Nothing is written before it is known what an earlier process left.
type banKeeper struct {
	folder *handover.Directory
	out    func() []string // the servers out by hand now

	mu      sync.Mutex
	read    bool            // what an earlier process left is known
	called  map[string]bool // servers called out or back before that: the call is the later word
	changes int             // that were made
	kept    int             // of them, as of the last write
	writing bool
	attempt chan struct{} // closed at the end of the next attempt
	failing time.Time     // since when the folder fails; zero: it does not
	wake    chan struct{} // something is owed
}

func newBanKeeper(folder *handover.Directory, out func() []string) *banKeeper {
	return &banKeeper{folder: folder, out: out, called: map[string]bool{}, attempt: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// changed says that a server was called out or back.
func (k *banKeeper) changed(server string) {
	k.mu.Lock()
	if !k.read {
		k.called[server] = true
	}
	k.mu.Unlock()
	k.owe()
}

// owe has all that is out by hand written anew.
func (k *banKeeper) owe() {
	k.mu.Lock()
	k.changes++
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// known says that what an earlier process left is known, from itself.
func (k *banKeeper) known() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.read = true
}

// release leaves the folder to another process.
func (k *banKeeper) release() {
	k.mu.Lock()
	k.kept, k.failing = k.changes, time.Time{}
	writing, attempt := k.writing, k.attempt
	k.mu.Unlock()
	if writing {
		waitFor(context.Background(), attempt, releaseTimeout)
	}
}

// await waits until the changes made so far are in the folder, or it is known to fail.
func (k *banKeeper) await(ctx context.Context) {
	ctx, done := context.WithTimeout(ctx, keepTimeout)
	defer done()
	k.mu.Lock()
	changes := k.changes
	k.mu.Unlock()
	for ctx.Err() == nil {
		k.mu.Lock()
		over, attempt := k.kept >= changes || !k.failing.IsZero(), k.attempt
		k.mu.Unlock()
		if over {
			return
		}
		waitFor(ctx, attempt, keepTimeout)
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
func (k *banKeeper) run(ctx context.Context, take func([]string)) {
	waits := retry.Backoff{First: firstFolderRetry, Longest: longestFolderRetry}
	for {
		again := k.catchUp(take)
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

// catchUp reads what is not known and writes what is owed; again: it failed, or more is owed by now.
func (k *banKeeper) catchUp(take func([]string)) (again bool) {
	if err := k.readKept(take); err != nil {
		k.note(err)
		return true
	}
	k.mu.Lock()
	changes := k.changes
	owed := changes > k.kept
	k.writing = owed
	k.mu.Unlock()
	if !owed {
		k.note(nil)
		return false
	}
	err := k.folder.SaveDisabled(k.out())
	k.mu.Lock()
	if k.writing = false; err == nil {
		k.kept = max(k.kept, changes)
	}
	again = k.kept < k.changes
	k.mu.Unlock()
	k.note(err)
	return again
}

// readKept takes what an earlier process left, unless that is known.
func (k *banKeeper) readKept(take func([]string)) error {
	k.mu.Lock()
	read := k.read
	k.mu.Unlock()
	if read {
		return nil
	}
	servers, err := k.folder.LoadDisabled()
	var content *handover.ContentError
	if errors.As(err, &content) {
		slog.Error("who was out by hand is not known", "error", err, "what helps", content.Advice())
	} else if err != nil {
		return err
	}
	k.mu.Lock()
	k.read = true
	servers = slices.DeleteFunc(servers, func(server string) bool { return k.called[server] })
	k.mu.Unlock()
	if len(servers) > 0 {
		take(servers)
		slog.Info("out by hand as before", "servers", len(servers))
	}
	return nil
}

// note keeps since when the folder fails, and says so once at each beginning and end.
func (k *banKeeper) note(err error) {
	k.mu.Lock()
	began, since := err != nil && k.failing.IsZero(), k.failing
	if began {
		k.failing = time.Now()
	} else if err == nil {
		k.failing = time.Time{}
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

// state says what is amiss, for whoever asks; nothing where all is kept.
func (k *banKeeper) state() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failing.IsZero() {
		return ""
	}
	return fmt.Sprintf("the folder fails since %.0f s; %d servers out by hand are held in memory alone", time.Since(k.failing).Seconds(), len(k.out()))
}
