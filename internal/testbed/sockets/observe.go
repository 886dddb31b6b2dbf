package sockets

import (
	"fmt"
	"time"

	"yardwinch/internal/testbed/invariants"
)

// now returns the time of the run, which is 0 until the day begins. Callers hold the mutex.
func (d *Driver) now() time.Duration {
	if !d.isRunning {
		return 0
	}
	return time.Since(d.startedAt)
}

// elapsed returns the time of the run, for callers that don't hold the mutex.
func (d *Driver) elapsed() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now()
}

// lockAtNow locks the driver and executes all actions that are due, before an external event is processed. The caller calls unlock.
func (d *Driver) lockAtNow() {
	d.mu.Lock()
	if !d.isOver {
		d.world.Schedule.RunTo(d.now())
	}
}

// unlock unlocks the driver after an external event and wakes its main loop, as the schedule may have changed.
func (d *Driver) unlock() {
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

func (d *Driver) observe(e invariants.Event) { d.observeAt(d.now(), e) }

// observeAt reports an event to the checker. Before the day begins, only starts of balancers and announcements of servers are reported.
func (d *Driver) observeAt(t time.Duration, e invariants.Event) {
	e.At = t
	if d.isOver || !d.isRunning && e.Kind != invariants.ServerAnnounced && e.Kind != invariants.BalancerStarted {
		return
	}
	d.maxObservationDelay = max(d.maxObservationDelay, d.now()-t)
	d.checker.Observe(e)
	if d.isolation != nil && d.isolation.OnEvent != nil {
		d.isolation.OnEvent(e)
	}
}

// fail stores the first error of the driver itself.
func (d *Driver) fail(format string, values ...any) {
	if d.fault == nil && !d.isOver {
		d.fault = fmt.Errorf(format, values...)
	}
}
