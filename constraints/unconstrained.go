package constraints

import (
	"time"

	"yardwinch/decide"
)

// Unconstrained is a constraint without a name that objects to nothing. Constraints embed it for the methods that they
// do not need.
type Unconstrained struct{}

// SetTime ignores the time.
func (Unconstrained) SetTime(time.Duration) {}

// OnEndpoint ignores the endpoint list.
func (Unconstrained) OnEndpoint(decide.Endpoint) {}

// OnEndpointsUpdated ignores the end of an update.
func (Unconstrained) OnEndpointsUpdated() {}

// OnFlow ignores new flows.
func (Unconstrained) OnFlow(decide.FlowRequest) {}

// OnAttempt ignores attempts.
func (Unconstrained) OnAttempt(decide.FlowID, decide.ServerID) {}

// OnEstablished ignores established attempts.
func (Unconstrained) OnEstablished(decide.FlowID, decide.ServerID, time.Duration) {}

// OnEnded ignores the end of attempts and connections.
func (Unconstrained) OnEnded(decide.FlowID, decide.ServerID, decide.Outcome, bool) {}

// OnFlowRemoved ignores the end of flows.
func (Unconstrained) OnFlowRemoved(decide.FlowID) {}

// OnLatencySample ignores latency samples.
func (Unconstrained) OnLatencySample(decide.ServerID, time.Duration) {}

// OnLoadReport ignores load reports.
func (Unconstrained) OnLoadReport(decide.ServerID, float64) {}

// OnMigration ignores migrations.
func (Unconstrained) OnMigration(decide.FlowID) {}

// ServerCost excludes no server and adds no cost.
func (Unconstrained) ServerCost(decide.FlowID, decide.ServerID) (float64, Reason) { return 0, "" }

// AdmitFlow admits all flows.
func (Unconstrained) AdmitFlow(decide.FlowID) Reason { return "" }

// RetryAfter returns the preset.
func (Unconstrained) RetryAfter(_ decide.FlowID, preset time.Duration) time.Duration { return preset }

// AllowMigration allows all migrations.
func (Unconstrained) AllowMigration(decide.FlowID) Reason { return "" }

// MigrateFirst names no flow.
func (Unconstrained) MigrateFirst() []decide.FlowID { return nil }

// State returns nil.
func (Unconstrained) State() any { return nil }
