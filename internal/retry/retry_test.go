package retry

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Delays grow up to their bound, each with jitter, and start again after a reset.
func TestBackoff(t *testing.T) {
	b := Backoff{InitialDelay: 10 * time.Millisecond, MaxDelay: 50 * time.Millisecond}
	for range 2 {
		for _, longest := range []time.Duration{10, 20, 40, 50, 50} {
			longest *= time.Millisecond
			if got := b.Next(); got < longest/2 || got > longest {
				t.Errorf("delay %v, want %v to %v", got, longest/2, longest)
			}
		}
		b.Reset()
	}
}

func TestDo(t *testing.T) {
	permanent := errors.New("permanent")
	for _, c := range []struct {
		name    string
		errs    []error
		want    error
		reports int // calls of onFirst
	}{
		{"first attempt", nil, nil, 0},
		{"after two transient errors", []error{syscall.ENFILE, fmt.Errorf("listen: %w", syscall.EADDRINUSE)}, nil, 1},
		{"permanent error", []error{syscall.ENOBUFS, permanent}, permanent, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			remaining, reports := c.errs, 0
			err := Do(t.Context(), Backoff{InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond}, func(error) { reports++ }, func() error {
				if len(remaining) == 0 {
					return nil
				}
				err := remaining[0]
				remaining = remaining[1:]
				return err
			})
			if !errors.Is(err, c.want) || reports != c.reports || len(remaining) > 0 {
				t.Errorf("%v, reported %d times, %d attempts remain; want %v, %d", err, reports, len(remaining), c.want, c.reports)
			}
		})
	}
	t.Run("until the context ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		backoff := Backoff{InitialDelay: time.Hour, MaxDelay: time.Hour}
		err := Do(ctx, backoff, func(error) {}, func() error { return syscall.EMFILE })
		if !errors.Is(err, syscall.EMFILE) {
			t.Errorf("ended with %v", err)
		}
	})
}
