package constraints

import (
	"time"

	"yardwinch/decide"
)

// observedActions implements decide.Actions. It records attempts, migrations and answers for explanations, notifies the
// constraints of attempts and migrations, and passes every action on.
type observedActions struct{ *ConstrainedBalancer }

func (a observedActions) Connect(id decide.FlowID, server decide.ServerID, timeout time.Duration) {
	if flow := a.flows[id]; flow != nil {
		flow.server = server
		flow.isOutstanding = true
		flow.explanation.addAttempt(Attempt{Server: server, Zone: a.zones[server], At: a.now.Seconds()})
	}
	for _, constraint := range a.constraints {
		constraint.OnAttempt(id, server)
	}
	a.actions.Connect(id, server, timeout)
}

func (a observedActions) Reject(id decide.FlowID, retryAfter time.Duration) {
	a.actions.Reject(id, retryAfter)
	a.recordAnswer(id, answeredRejected)
}

func (a observedActions) Abort(id decide.FlowID) {
	a.actions.Abort(id)
	a.recordAnswer(id, answeredAborted)
}

func (a observedActions) Migrate(id decide.FlowID) {
	if flow := a.flows[id]; flow != nil {
		flow.explanation.Migrated = true
	}
	for _, constraint := range a.constraints {
		constraint.OnMigration(id)
	}
	a.actions.Migrate(id)
}

func (a observedActions) HealthCheck(server decide.ServerID) { a.actions.HealthCheck(server) }
func (a observedActions) SetTimer(timer decide.TimerID, after time.Duration) {
	a.actions.SetTimer(timer, after)
}
func (a observedActions) WatchEndpoints(on bool) { a.actions.WatchEndpoints(on) }
