package fleet

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/simulation"
)

const (
	sighupInterval = time.Millisecond // between two signals to a process that has just been started
	sighupPoll     = 200 * time.Microsecond
	sighupTimeout  = 2 * time.Second // until a process that was started is no longer the shell that starts it
)

// scheduleSIGHUPs sends SIGHUP so often, spread over the length of a fault. The driver is locked.
func (r *fleetRun) scheduleSIGHUPs(p *process, f startedFault) {
	count := max(f.signals, 1)
	for i := range count {
		delay := f.drawnLength * time.Duration(i) / time.Duration(count)
		r.world.Schedule.After(delay, simulation.Cause, p.unchanged(func() { r.signal(p, syscall.SIGHUP) }))
	}
}

// sendSIGHUPsDuringStart sends SIGHUP so often to a process that is being started, from the first instant in which the
// shell that starts it no longer ends by it. The driver is locked; the signals go out beside it.
func (r *fleetRun) sendSIGHUPsDuringStart(p *process, count int) {
	pid := r.driver.Process(p.id)
	if pid == 0 || count == 0 {
		return
	}
	r.workers.Go(func() {
		if !awaitSIGHUPHandling(r.ctx, pid) {
			return
		}
		for range count {
			if syscall.Kill(pid, syscall.SIGHUP) != nil {
				return // it has ended, which is noted elsewhere
			}
			time.Sleep(sighupInterval)
		}
	})
}

func awaitSIGHUPHandling(ctx context.Context, pid int) bool {
	for start := time.Now(); !handlesSIGHUP(pid); time.Sleep(sighupPoll) {
		if time.Since(start) > sighupTimeout || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// handlesSIGHUP tells whether a process ignores SIGHUP or has a handler for it.
func handlesSIGHUP(pid int) bool {
	const bit = 1 << (syscall.SIGHUP - 1)
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // a process that has ended handles nothing
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		if signals, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64); err == nil && signals&bit != 0 {
			return true
		}
	}
	return false
}
