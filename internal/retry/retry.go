// Package retry spaces attempts at what the system refuses for a moment, and tells which of its errors may be such.
package retry

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

// Backoff is how long to wait before each further attempt: exponential, with jitter. The zero value of the last
// wait begins with First.
type Backoff struct {
	First, Longest time.Duration

	last time.Duration
}

// Next is the wait before the next attempt: twice the one before up to Longest, of which a random part of up to
// one half is taken off.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.First), b.Longest)
	half := b.last / 2
	return half + rand.N(half+1)
}

// Reset begins anew with First.
func (b *Backoff) Reset() { b.last = 0 }

// Wait waits before the next attempt. The error is that of a context that ends first.
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

// transientErrors are errors of this machine that may be gone a moment later, whatever the call was.
var transientErrors = []error{
	syscall.EAGAIN, syscall.EINTR, syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENOSPC, syscall.EROFS, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// IsTransient reports whether an error may be gone a moment later.
func IsTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// Do repeats an attempt until it succeeds, fails with an error that is not transient, or the context ends. The
// error is that of the last attempt. onFirst is called once, with the first error after which the attempt is
// repeated.
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
