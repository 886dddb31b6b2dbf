// Package constraints applies constraints, such as the locality policy, to the decisions of package decide. A
// ConstrainedBalancer wraps a decide.Balancer: it passes each event to the constraints and then to decide, notifies the
// constraints of the attempts and migrations that decide performs, and answers the queries of decide from them. It
// decides nothing itself. Constraints do no I/O and have no clock: SetTime sets the time.
package constraints

import (
	"time"

	"yardwinch/decide"
)

// Balancer is what a process drives: a decide.Balancer, or a ConstrainedBalancer that wraps one. Its methods are those of
// decide.Balancer.
type Balancer interface {
	SetTime(now time.Duration)
	OnFlow(decide.FlowRequest)
	AdoptFlow(decide.FlowRequest, decide.ServerID)
	OnEstablished(decide.FlowID, time.Duration)
	OnEnded(decide.FlowID, decide.Outcome, time.Duration, bool)
	OnClientLeft(decide.FlowID)
	OnFlowLoad(decide.FlowID)
	OnLatencySample(decide.FlowID, time.Duration)
	OnHealthCheck(decide.ServerID, decide.Outcome)
	OnLoadReport(server decide.ServerID, load float64)
	BeginEndpoints(decide.UpdateKind)
	OnEndpoint(decide.Endpoint)
	EndEndpoints()
	SetDisabled(server decide.ServerID, disabled bool)
	Snapshot() decide.Snapshot
	Restore(decide.Snapshot)
	SetHandedOver(handedOver bool)
	OnTimer(decide.TimerID)
}

// Reason is a short text that says why a constraint objects; empty: it does not object.
type Reason string

// AdoptedFlow is passed as the set-up time of a flow that was established before the balancer started.
const AdoptedFlow time.Duration = -1

// Constraint restricts the decisions of a balancer. Events arrive as they happen, after a call of SetTime. Queries are
// answered from earlier events. They change no state, except that they may draw random numbers and update what is derived
// from these events. A constraint that needs few of the methods can embed Unconstrained, which has all of them but Name.
type Constraint interface {
	Name() string

	// Events.

	SetTime(now time.Duration)
	OnEndpoint(endpoint decide.Endpoint)
	OnEndpointsUpdated()
	OnFlow(request decide.FlowRequest)
	OnAttempt(flow decide.FlowID, server decide.ServerID)
	// OnEstablished handles an attempt that was established; took is its set-up time, or AdoptedFlow.
	OnEstablished(flow decide.FlowID, server decide.ServerID, took time.Duration)
	// OnEnded handles the end of an attempt, or of a connection that was established.
	OnEnded(flow decide.FlowID, server decide.ServerID, outcome decide.Outcome, wasEstablished bool)
	// OnFlowRemoved handles the end of a flow. No more events of the flow follow.
	OnFlowRemoved(flow decide.FlowID)
	OnLatencySample(server decide.ServerID, latency time.Duration)
	// OnLoadReport handles a server's own report of its load, as a share of its capacity.
	OnLoadReport(server decide.ServerID, load float64)
	OnMigration(flow decide.FlowID)

	// Queries; see decide.Constraints.

	ServerCost(flow decide.FlowID, server decide.ServerID) (extra float64, why Reason)
	AdmitFlow(flow decide.FlowID) Reason
	RetryAfter(flow decide.FlowID, preset time.Duration) time.Duration
	AllowMigration(flow decide.FlowID) Reason
	MigrateFirst() []decide.FlowID

	// State returns what operators are shown of the constraint. It is encoded as JSON.
	State() any
}
