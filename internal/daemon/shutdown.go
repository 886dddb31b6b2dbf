package daemon

import (
	"context"
	"time"
)

// After the stop signal the platform waits for the longest client timeout, or maxShutdownDrain if that is shorter,
// plus shutdownDrainSlack; then it kills the process.
const (
	maxShutdownDrain   = 3 * time.Second
	shutdownDrainSlack = 700 * time.Millisecond
	migrationMargin    = 450 * time.Millisecond // from the last request to migrate to the exit
	exitMargin         = 150 * time.Millisecond // from the exit to the kill

	// newClientsWindow is how long the platform, by its layer in front of the balancers, still sends new connections to
	// this process after the stop signal or the out-of-service call.
	newClientsWindow = 400 * time.Millisecond
	minDrainDuration = 50 * time.Millisecond
)

// shutdownSchedule has the times of the steps of a shutdown, counted from the stop signal.
type shutdownSchedule struct {
	migrateFrom   time.Duration // the first client is asked to migrate
	migrateUntil  time.Duration // all clients have been asked
	stopAccepting time.Duration
	exit          time.Duration
}

func newShutdownSchedule(maxClientTimeout time.Duration) shutdownSchedule {
	total := min(maxClientTimeout, maxShutdownDrain) + shutdownDrainSlack
	migrateUntil := total - migrationMargin - exitMargin
	return shutdownSchedule{
		migrateFrom:  min(newClientsWindow, migrateUntil/3),
		migrateUntil: migrateUntil,
		// Even if client timeouts are short, clients are accepted for as long as the platform sends them.
		stopAccepting: max(total-migrationMargin, newClientsWindow+minDrainDuration),
		exit:          total - exitMargin,
	}
}

// shutDown migrates all clients and returns when none is left, or when the schedule ends; timedOut says which. If
// connections are still open when the schedule ends the error is errConnectionsRemain, unless the last reply has been
// sent on all of them.
func (d *Daemon) shutDown(ctx context.Context, stopAccepting context.CancelFunc, finished <-chan error) (timedOut bool, err error) {
	hasSuccessor := d.lifecycle.current() == handingOver
	d.lifecycle.transition(ctx, shuttingDown)
	d.leaveListener()
	schedule := newShutdownSchedule(d.maxClientTimeout)
	untilExit, cancel := context.WithTimeout(ctx, schedule.exit)
	defer cancel()
	if hasSuccessor { // new clients go to the successor, and connections may still be transferred to it
		stopAccepting()
	}
	d.goroutines.Go(func() { d.frontend.Drain(untilExit, schedule.migrateFrom, schedule.migrateUntil) })
	closing := time.AfterFunc(schedule.stopAccepting, func() {
		stopAccepting()
		d.frontend.Stop()
	})
	defer closing.Stop()
	select {
	case err := <-finished:
		return false, err
	case <-untilExit.Done():
	}
	if d.descriptorBudget.Unfinished() > 0 {
		return true, errConnectionsRemain
	}
	return true, nil // the last reply was sent on each connection; some clients may not have read it yet
}
