package baseline

import (
	"time"

	"yardwinch/decide"
)

// The methods of decide.Balancer that the textbook policies don't need.

// OnLatencySample does nothing: no textbook rule uses latencies.
func (p *Policy) OnLatencySample(decide.FlowID, time.Duration) {}

// OnFlowLoad does nothing: no textbook rule uses reported loads.
func (p *Policy) OnFlowLoad(decide.FlowID) {}

// OnLoadReport does nothing: no textbook rule uses reported loads.
func (p *Policy) OnLoadReport(decide.ServerID, float64) {}

// OnHealthCheck does nothing: no textbook rule uses health checks.
func (p *Policy) OnHealthCheck(decide.ServerID, decide.Outcome) {}

// SetDisabled does nothing: no server is disabled in an experiment.
func (p *Policy) SetDisabled(decide.ServerID, bool) {}

// Snapshot returns an empty snapshot: nothing is handed over.
func (p *Policy) Snapshot() decide.Snapshot { return decide.Snapshot{} }

// Restore does nothing: nothing is handed over.
func (p *Policy) Restore(decide.Snapshot) {}

// SetHandedOver does nothing: nothing is handed over.
func (p *Policy) SetHandedOver(bool) {}
