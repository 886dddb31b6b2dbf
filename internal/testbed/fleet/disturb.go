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

// Faults that come from signals in a row and from clients that only stand there.

const (
	hangupStep     = time.Millisecond // between two signals to a process that has just been started
	hangupPoll     = 200 * time.Microsecond
	hangupPatience = 2 * time.Second // for a process that was started to be told from the shell that starts it
	crowdPause     = 10 * time.Millisecond
	lastLook       = 300 * time.Millisecond // before the end of a run: what processes hold by then
)

// hangUp sends SIGHUP so often, spread over a time. The drive is locked.
func (r *run) hangUp(x *process, times int, over time.Duration) {
	round := x.round
	for i := range max(times, 1) {
		r.w.Schedule.After(over*time.Duration(i)/time.Duration(max(times, 1)), simulation.Cause, func() {
			if x.round == round {
				r.signal(x, syscall.SIGHUP)
			}
		})
	}
}

// hangUpAtOnce sends SIGHUP so often to a process that is being started, from the first instant in which the shell that starts it passes none on
// to itself. The drive is locked; the signals go out beside it.
func (r *run) hangUpAtOnce(x *process, times int) {
	pid := r.driver.Process(x.id)
	if pid == 0 || times == 0 {
		return
	}
	go func() {
		for start := time.Now(); !takesHangup(pid); time.Sleep(hangupPoll) {
			if time.Since(start) > hangupPatience || r.ctx.Err() != nil {
				return
			}
		}
		for range times {
			if syscall.Kill(pid, syscall.SIGHUP) != nil {
				return // it has ended, which is noted elsewhere
			}
			time.Sleep(hangupStep)
		}
	}()
}

// takesHangup tells whether a process ignores SIGHUP or has a handler for it.
func takesHangup(pid int) bool {
	const bit = 1 << (syscall.SIGHUP - 1)
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
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

// crowded has so many clients stand at a balancer that say nothing, for a time. One that is ended comes again.
func (r *run) crowded(x *process, clients int, length time.Duration) {
	ctx, done := context.WithTimeout(r.ctx, length)
	addr := r.driver.Address(x.id)
	context.AfterFunc(ctx, done)
	for range clients {
		go func() {
			for ctx.Err() == nil {
				idle(ctx, addr)
				select {
				case <-ctx.Done():
				case <-time.After(crowdPause):
				}
			}
		}()
	}
}

// idle is one client that stands until it is ended.
func idle(ctx context.Context, addr string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return // the balancer is down, or full
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, _ = io.Copy(io.Discard, conn)
}

// countDescriptors notes what each process that runs holds shortly before the end.
func (r *run) countDescriptors() {
	for _, x := range r.procs {
		pid := r.driver.Process(x.id)
		if pid == 0 || x.state != runs {
			continue
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			r.descriptors[x.name] = len(open)
		}
	}
}
