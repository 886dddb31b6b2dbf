package decide

import (
	"cmp"
	"slices"
	"time"
)

// Bounded windows of samples, and figures computed from them when needed.

// sampleWindow is how many set-ups over all servers are kept.
const sampleWindow = 16

// sample is the end of a set-up, or of a connection that was reset.
type sample struct {
	server *serverState
	at     time.Duration
	failed bool
}

// appendWindow adds an item to a window of at most size items, and drops the oldest.
func appendWindow[T any](window []T, item T, size int) []T {
	if len(window) >= size {
		window = append(window[:0], window[len(window)-size+1:]...)
	}
	return append(window, item)
}

// median is the zero value where there are no values.
func median[T cmp.Ordered](values []T) (middle T) {
	if len(values) == 0 {
		return middle
	}
	values = slices.Clone(values)
	slices.Sort(values)
	return values[len(values)/2]
}

// failedShare is the share of failures among the samples since then, and the number of these samples.
func failedShare(samples []sample, since time.Duration) (share float64, n int) {
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
