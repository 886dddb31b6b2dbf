package decide

import (
	"cmp"
	"slices"
	"time"
)

// Bounded windows of samples and statistics over them.

// sampleWindow is the number of set-ups that are kept for the fleet as a whole.
const sampleWindow = 16

// sample is the end of a set-up, or of a connection that was reset.
type sample struct {
	at     time.Duration
	failed bool
}

// appendWindow appends an item to a window of at most size items; if the window is full, it drops the oldest.
func appendWindow[T any](window []T, item T, size int) []T {
	if len(window) >= size {
		window = append(window[:0], window[len(window)-size+1:]...)
	}
	return append(window, item)
}

// median returns the upper median, or the zero value if there are no values.
func median[T cmp.Ordered](values []T) (middle T) {
	if len(values) == 0 {
		return middle
	}
	values = slices.Clone(values)
	slices.Sort(values)
	return values[len(values)/2]
}

// failureRate returns the share of failures among the samples after the given time, and the number of these samples.
func failureRate(samples []sample, since time.Duration) (share float64, n int) {
	failed := 0.0
	for _, entry := range samples {
		if entry.at <= since {
			continue
		}
		n++
		if entry.failed {
			failed++
		}
	}
	return failed / float64(max(n, 1)), n
}
