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
	sighupInterval = time.Millisecond // between signals to a process that is being started
	sighupPoll     = 200 * time.Microsecond
	sighupTimeout  = 2 * time.Second // time within which a started process has to ignore SIGHUP or handle it
)

// scheduleSIGHUPs schedules SIGHUP signals to a process, spread over the length of the fault. The caller holds the driver's mutex.
func (r *fleetRun) scheduleSIGHUPs(p *process, f startedFault) {
	count := max(f.signals, 1)
	for i := range count {
		delay := f.drawnLength * time.Duration(i) / time.Duration(count)
		r.world.Schedule.After(delay, simulation.Cause, p.ifUnchanged(func() { r.signal(p, syscall.SIGHUP) }))
	}
}

// sendSIGHUPsDuringStart sends count SIGHUP signals to a process that is being started, as soon as they no longer end the shell that starts it.
// The caller holds the driver's mutex; the signals are sent by a goroutine without it.
func (r *fleetRun) sendSIGHUPsDuringStart(p *process, count int) {
	pid := r.driver.ProcessID(p.id)
	if pid == 0 || count == 0 {
		return
	}
	r.workers.Go(func() {
		if !awaitSIGHUPHandling(r.ctx, pid) {
			return
		}
		for range count {
			if syscall.Kill(pid, syscall.SIGHUP) != nil {
				return // the process has ended; its end is recorded elsewhere
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

// handlesSIGHUP reports whether a process ignores SIGHUP or has a handler for it.
func handlesSIGHUP(pid int) bool {
	const bit = 1 << (syscall.SIGHUP - 1)
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty if the process has ended
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
