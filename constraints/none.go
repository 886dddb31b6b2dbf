package constraints

import (
	"time"

	"yardwinch/decide"
)

// Unconstrained objects to nothing.
type Unconstrained struct{}

// SetTime needs no time.
func (Unconstrained) SetTime(time.Duration) {}

// OnEndpoint passes the list over.
func (Unconstrained) OnEndpoint(decide.Endpoint) {}

// OnEndpointsUpdated passes the end of a list call over.
func (Unconstrained) OnEndpointsUpdated() {}

// OnFlow passes new flows over.
func (Unconstrained) OnFlow(decide.FlowRequest) {}

// OnAttempt passes connects over.
func (Unconstrained) OnAttempt(decide.FlowID, decide.ServerID) {}

// OnEstablished passes set-ups over.
func (Unconstrained) OnEstablished(decide.FlowID, decide.ServerID, time.Duration) {}

// OnEnded passes ends over.
func (Unconstrained) OnEnded(decide.FlowID, decide.ServerID, decide.Outcome, bool) {}

// OnFlowRemoved passes the end of flows over.
func (Unconstrained) OnFlowRemoved(decide.FlowID) {}

// OnLatencySample passes delays over.
func (Unconstrained) OnLatencySample(decide.ServerID, time.Duration) {}

// OnLoadReport passes load reports over.
func (Unconstrained) OnLoadReport(decide.ServerID, float64) {}

// OnMigration passes moves over.
func (Unconstrained) OnMigration(decide.FlowID) {}

// ServerCost bars no server and adds no cost.
func (Unconstrained) ServerCost(decide.FlowID, decide.ServerID) (float64, Reason) { return 0, "" }

// AdmitFlow lets everybody in.
func (Unconstrained) AdmitFlow(decide.FlowID) Reason { return "" }

// RetryAfter leaves the wait as it was told.
func (Unconstrained) RetryAfter(_ decide.FlowID, told time.Duration) time.Duration { return told }

// AllowMigration lets everybody move.
func (Unconstrained) AllowMigration(decide.FlowID) Reason { return "" }

// MigrateFirst names no flow to move first.
func (Unconstrained) MigrateFirst() []decide.FlowID { return nil }

// State has nothing to show.
func (Unconstrained) State() any { return nil }
