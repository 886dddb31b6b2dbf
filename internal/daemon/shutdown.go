package daemon

import (
	"context"
	"time"
)

// After the signal to stop the platform waits for the longest time that a client waits, but for maxShutdownDrain
// at most, and for shutdownDrainSlack more; then it kills the process.
const (
	maxShutdownDrain   = 3 * time.Second
	shutdownDrainSlack = 700 * time.Millisecond
	migrationMargin    = 450 * time.Millisecond // all clients have been asked to migrate this long before the exit
	exitMargin         = 150 * time.Millisecond // the exit comes this long before the kill

	// newClientsWindow is how long the platform still sends new connections here after the signal to stop, or the
	// call to go out of service.
	newClientsWindow = 400 * time.Millisecond
	minDrainDuration = 50 * time.Millisecond
)

// shutdownSchedule is when the steps of a shutdown happen, from the signal to stop on.
type shutdownSchedule struct {
	migrateFrom   time.Duration // the first client is asked to migrate
	migrateUntil  time.Duration // all have been asked
	stopAccepting time.Duration
	exit          time.Duration
}

func newShutdownSchedule(maxClientTimeout time.Duration) shutdownSchedule {
	total := min(maxClientTimeout, maxShutdownDrain) + shutdownDrainSlack
	migrateUntil := total - migrationMargin - exitMargin
	return shutdownSchedule{
		migrateFrom:  min(newClientsWindow, migrateUntil/3),
		migrateUntil: migrateUntil,
		// However short the clients' timeouts are, new ones are accepted until the platform sends no more.
		stopAccepting: max(total-migrationMargin, newClientsWindow+minDrainDuration),
		exit:          total - exitMargin,
	}
}

// shutDown migrates all clients and returns once none is left, or when the schedule ends; timedOut says which.
// Connections that are still open when the schedule ends are errConnectionsRemain, unless all of them have had
// their last reply.
func (d *Daemon) shutDown(ctx context.Context, stopAccepting context.CancelFunc, finished <-chan error) (timedOut bool, err error) {
	hasSuccessor := d.lifecycle.current() == handingOver
	d.lifecycle.transition(ctx, shuttingDown)
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
	return true, nil // all have had their last reply; some may not have read it yet
}
