package decide

import "time"

// Timers and periodic work.

// Timers of a Balancer.
const (
	tickTimer  TimerID = 1 // rechecks, health checks and sums over servers
	listTimer  TimerID = 2 // next poll of the endpoint list
	queueTimer TimerID = 3 // admission queue
)

const tickInterval = 250 * time.Millisecond

// OnTimer handles the expiry of a timer set by Actions.SetTimer.
func (b *Balancer) OnTimer(timer TimerID) {
	switch timer {
	case tickTimer:
		b.tick()
	case listTimer:
		b.actions.WatchEndpoints(true)
	}
	b.serveQueue()
}

// tick does the periodic work. Each tick rechecks another slice of the established flows, so that balancers do not
// migrate flows at the same moment.
func (b *Balancer) tick() {
	b.actions.SetTimer(tickTimer, tickInterval)
	b.updateTotals()
	if b.areSetupsFast() {
		b.recheckSlice()
	}
	if b.constraints != nil && b.areSetupsFast() {
		b.recheckFirst(b.constraints.MigrateFirst())
	}
	b.releaseLostAttempts()
	b.migrateFromDepartingAndUnreachable()
	b.sendHealthChecks()
}

// releaseLostAttempts releases the leases of attempts whose end was not reported in time.
func (b *Balancer) releaseLostAttempts() {
	for _, f := range b.flows.connecting {
		if b.now > f.deadline+outcomeMaxAge {
			b.release(f)
		}
	}
}
