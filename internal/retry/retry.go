// Package retry retries operations that fail with transient errors of the operating system, with exponential backoff.
package retry

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

// Backoff is an exponential backoff with jitter. InitialDelay is the first delay and MaxDelay the upper bound, both
// before jitter.
type Backoff struct {
	InitialDelay, MaxDelay time.Duration

	last time.Duration // the previous delay before jitter; 0 before the first one
}

// Next returns the delay before the next attempt: twice the previous one, up to MaxDelay, reduced at random by up to
// one half.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.InitialDelay), b.MaxDelay)
	half := b.last / 2
	return half + rand.N(half+1)
}

// Reset makes the next delay InitialDelay again.
func (b *Backoff) Reset() { b.last = 0 }

// Wait waits for the delay before the next attempt. It returns the context's error if the context ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// transientErrors are errors of the operating system that may disappear after a moment, whatever the system call.
var transientErrors = []error{
	syscall.EAGAIN, syscall.EINTR, syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENOSPC, syscall.EROFS, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// IsTransient reports whether an error may disappear after a moment.
func IsTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// Do repeats an attempt until it succeeds, fails with an error that is not transient, or the context ends. It returns
// the error of the last attempt. If the first attempt fails with a transient error, onFirst is called with that error.
func Do(ctx context.Context, backoff Backoff, onFirst func(error), attempt func() error) error {
	for first := true; ; first = false {
		err := attempt()
		if err == nil || !IsTransient(err) {
			return err
		}
		if first {
			onFirst(err)
		}
		if backoff.Wait(ctx) != nil {
			return err
		}
	}
}
