package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/simulation"
)

// Faults that come from signals in a row and from idle clients.

const (
	hangupInterval       = time.Millisecond // between two signals to a process that has just been started
	hangupPoll           = 200 * time.Microsecond
	hangupTimeout        = 2 * time.Second // until a process that was started is no longer the shell that starts it
	reconnectInterval    = 10 * time.Millisecond
	descriptorsBeforeEnd = 300 * time.Millisecond // of a run, they are counted
)

// scheduleHangups sends SIGHUP so often, spread over the length of a fault. The driver is locked.
func (r *fleetRun) scheduleHangups(p *process, f startedFault) {
	count := max(f.signals, 1)
	for i := range count {
		delay := f.drawnLength * time.Duration(i) / time.Duration(count)
		r.world.Schedule.After(delay, simulation.Cause, p.unchanged(func() { r.signal(p, syscall.SIGHUP) }))
	}
}

// hangUpDuringStart sends SIGHUP so often to a process that is being started, from the first instant in which the shell that starts it no
// longer ends by it. The driver is locked; the signals go out beside it.
func (r *fleetRun) hangUpDuringStart(p *process, count int) {
	pid := r.driver.Process(p.id)
	if pid == 0 || count == 0 {
		return
	}
	r.workers.Go(func() {
		if !awaitHangupHandling(r.ctx, pid) {
			return
		}
		for range count {
			if syscall.Kill(pid, syscall.SIGHUP) != nil {
				return // it has ended, which is noted elsewhere
			}
			time.Sleep(hangupInterval)
		}
	})
}

func awaitHangupHandling(ctx context.Context, pid int) bool {
	for start := time.Now(); !handlesHangup(pid); time.Sleep(hangupPoll) {
		if time.Since(start) > hangupTimeout || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// handlesHangup tells whether a process ignores SIGHUP or has a handler for it.
func handlesHangup(pid int) bool {
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

// startIdleClients has so many clients connect to a balancer and send nothing, until the end of a fault. One that is disconnected comes
// back.
func (r *fleetRun) startIdleClients(p *process, f startedFault) {
	ctx, cancel := context.WithTimeout(r.ctx, f.drawnLength)
	context.AfterFunc(ctx, cancel)
	address := r.driver.Address(p.id)
	for range f.rate {
		r.workers.Go(func() {
			for ctx.Err() == nil {
				holdIdleConnection(ctx, address)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectInterval):
				}
			}
		})
	}
}

// holdIdleConnection is one client that sends nothing until it is disconnected or the context ends.
func holdIdleConnection(ctx context.Context, address string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return // the balancer is down, or full
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, _ = io.Copy(io.Discard, conn) // it ends as the connection does
}

// countDescriptors notes how many each process that runs has open.
func (r *fleetRun) countDescriptors() {
	for _, p := range r.processes {
		pid := r.driver.Process(p.id)
		if pid == 0 || p.state != running {
			continue
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			r.descriptors[p.name] = len(open)
		}
	}
}
