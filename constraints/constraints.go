// Package constraints joins constraints, such as the locality policy, to the decisions. A ConstrainedBalancer stands
// round one instance of decide: each event goes to the constraints first and then to decide, each action goes out past
// them, and decide asks them by its own interface. Nothing is decided here. Constraints do no input or output, and time
// comes with the events.
package constraints

import (
	"time"

	"yardwinch/decide"
)

// Balancer is an instance of the decisions as a process drives it, with or without constraints. The methods are
// those of decide.Balancer.
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

// Reason says in a few words why a constraint objects; empty: it does not.
type Reason string

// AdoptedFlow is the set-up time of a flow that was established before the balancer started.
const AdoptedFlow time.Duration = -1

// Constraint restricts decisions. Events come as they happen, after the time; queries are answered from them and change
// nothing. Unconstrained has all methods but Name, for constraints that need few.
type Constraint interface {
	Name() string

	// Events.

	SetTime(now time.Duration)
	OnEndpoint(endpoint decide.Endpoint)
	OnEndpointsUpdated()
	OnFlow(request decide.FlowRequest)
	OnAttempt(flow decide.FlowID, server decide.ServerID)
	// OnEstablished handles an attempt that was established, and how long that took, or AdoptedFlow.
	OnEstablished(flow decide.FlowID, server decide.ServerID, took time.Duration)
	// OnEnded handles the end of an attempt, or of a connection that was established.
	OnEnded(flow decide.FlowID, server decide.ServerID, outcome decide.Outcome, wasEstablished bool)
	// OnFlowRemoved handles the end of a flow, which has no further events.
	OnFlowRemoved(flow decide.FlowID)
	OnLatencySample(server decide.ServerID, latency time.Duration)
	// OnLoadReport handles a server's own report of its load over its capacity.
	OnLoadReport(server decide.ServerID, load float64)
	OnMigration(flow decide.FlowID)

	// Queries; see decide.Constraints.

	ServerCost(flow decide.FlowID, server decide.ServerID) (extra float64, why Reason)
	AdmitFlow(flow decide.FlowID) Reason
	RetryAfter(flow decide.FlowID, preset time.Duration) time.Duration
	AllowMigration(flow decide.FlowID) Reason
	MigrateFirst() []decide.FlowID

	// State is what operators may see of the constraint, to be encoded as JSON.
	State() any
}
