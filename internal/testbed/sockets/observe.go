package sockets

import (
	"fmt"
	"time"

	"yardwinch/internal/testbed/invariants"
)

// now is the time of the run, which stands still before its beginning. Callers hold the mutex.
func (d *Driver) now() time.Duration {
	if !d.isRunning {
		return 0
	}
	return time.Since(d.startedAt)
}

// elapsed is the time of the run for callers that don't hold the mutex.
func (d *Driver) elapsed() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now()
}

// lockAtNow begins something that came from outside: it brings the world up to now. The caller unlocks.
func (d *Driver) lockAtNow() {
	d.mu.Lock()
	if !d.isOver {
		d.world.Schedule.RunTo(d.now())
	}
}

// unlock ends something that came from outside, after which the schedule may have changed.
func (d *Driver) unlock() {
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default: // it is awake
	}
}

func (d *Driver) observe(e invariants.Event) { d.observeAt(d.now(), e) }

// observeAt tells the checker of an event. Before the beginning only balancers and announcements count.
func (d *Driver) observeAt(t time.Duration, e invariants.Event) {
	e.At = t
	if d.isOver || !d.isRunning && e.Kind != invariants.ServerAnnounced && e.Kind != invariants.BalancerStarted {
		return
	}
	d.maxObservationDelay = max(d.maxObservationDelay, d.now()-t)
	d.checker.Observe(e)
	if d.isolation != nil && d.isolation.Observe != nil {
		d.isolation.Observe(e)
	}
}

// fail keeps the first fault of the driver itself.
func (d *Driver) fail(format string, values ...any) {
	if d.fault == nil && !d.isOver {
		d.fault = fmt.Errorf(format, values...)
	}
}
