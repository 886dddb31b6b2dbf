package decide

import "time"

// Timers, and the work that is done at each tick.

// Timers of an instance.
const (
	tickTimer  TimerID = 1 // rechecks, health checks and the sums over servers
	listTimer  TimerID = 2 // the next poll of the endpoint list
	queueTimer TimerID = 3 // the admission queue
)

const tickInterval = 250 * time.Millisecond

// OnTimer handles a timer set by Actions.SetTimer.
func (b *Balancer) OnTimer(timer TimerID) {
	switch timer {
	case tickTimer:
		b.tick()
	case listTimer:
		b.actions.WatchEndpoints(true)
	}
	b.serveQueue()
}

// tick does all periodic work. Each tick rechecks another slice of the established flows, so that balancers do not
// migrate flows in step.
func (b *Balancer) tick() {
	b.actions.SetTimer(tickTimer, tickInterval)
	b.updateTotals()
	if b.areSetupsWithinObjective() {
		b.recheckSlice()
	}
	if b.constraints != nil && b.areSetupsWithinObjective() {
		b.recheckFirst(b.constraints.MigrateFirst())
	}
	b.releaseLostAttempts()
	b.migrateFromDepartingAndUnreachable()
	b.sendHealthChecks()
}

// releaseLostAttempts ends the leases of attempts of which no end was reported.
func (b *Balancer) releaseLostAttempts() {
	for _, f := range b.flows.connecting {
		if b.now > f.deadline+outcomeMaxAge {
			b.release(f)
		}
	}
}
