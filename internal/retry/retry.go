// Package retry spaces the attempts at what the system refuses for a moment, and tells which of its refusals may be such.
package retry

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

// Backoff is how long to wait before each further attempt: twice as long as before it, up to a bound, and a random part less.
type Backoff struct {
	First, Longest time.Duration
	last           time.Duration
}

// Next is the wait before the next attempt, between half of its length and all of it.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.First), b.Longest)
	return b.last/2 + rand.N(b.last/2+1)
}

// Reset has the waits begin anew.
func (b *Backoff) Reset() { b.last = 0 }

// Wait waits before the next attempt; an error says that the context ended first.
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

// passing are the errors of this machine that may be gone a moment later, whatever was asked for.
var passing = []error{
	syscall.EAGAIN, syscall.EINTR, syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EROFS,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH,
}

// IsTransient tells whether an error may be gone a moment later.
func IsTransient(err error) bool {
	for _, one := range passing {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// Do attempts something until it goes well, fails in a way that lasts, or the context ends. The error is that of the last attempt. before is
// called once, with the first error that is waited out.
func Do(ctx context.Context, waits Backoff, before func(error), attempt func() error) error {
	for first := true; ; first = false {
		err := attempt()
		if err == nil || !IsTransient(err) {
			return err
		}
		if first {
			before(err)
		}
		if waits.Wait(ctx) != nil {
			return err
		}
	}
}
