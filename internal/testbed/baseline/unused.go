package baseline

import (
	"time"

	"yardwinch/decide"
)

// What a textbook policy makes no use of.

// OnLatencySample does nothing: no textbook rule uses delays.
func (p *Policy) OnLatencySample(decide.FlowID, time.Duration) {}

// OnFlowLoad does nothing: no textbook rule uses loads.
func (p *Policy) OnFlowLoad(decide.FlowID) {}

// OnLoadReport does nothing: no textbook rule uses loads.
func (p *Policy) OnLoadReport(decide.ServerID, float64) {}

// OnHealthCheck does nothing: no textbook rule checks servers.
func (p *Policy) OnHealthCheck(decide.ServerID, decide.Outcome) {}

// SetDisabled does nothing: no server is disabled in an experiment.
func (p *Policy) SetDisabled(decide.ServerID, bool) {}

// Snapshot is empty: nothing is handed over.
func (p *Policy) Snapshot() decide.Snapshot { return decide.Snapshot{} }

// Restore does nothing: nothing is handed over.
func (p *Policy) Restore(decide.Snapshot) {}

// SetHandedOver does nothing: nothing is handed over.
func (p *Policy) SetHandedOver(bool) {}
