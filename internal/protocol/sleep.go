package protocol

import (
	"context"
	"time"
)

// sleep waits for a duration. It reports false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
