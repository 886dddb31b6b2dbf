package fleet

import (
	"errors"
	"testing"
	"time"
)

// A repeated fault stops at its first failure, which is reported once.
func TestRepeatStopsAtFailure(t *testing.T) {
	run, _, _ := checkedRun(t, "kind = \"serves\"")
	calls := 0
	run.repeat(startedFault{drawnLength: time.Second}, 100*time.Millisecond, func() error {
		calls++
		if calls == 3 {
			return errors.New("not encoded")
		}
		return nil
	})
	run.world.Schedule.RunTo(800 * time.Millisecond)
	if calls != 3 || len(run.skippedFaults) != 1 {
		t.Errorf("called %d times, want 3; skipped faults %q, want one", calls, run.skippedFaults)
	}
}
