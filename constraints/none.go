package constraints

import (
	"time"

	"yardwinch/decide"
)

// None objects to nothing.
type None struct{}

// At needs no time.
func (None) At(time.Duration) {}

// Listed passes the list over.
func (None) Listed(decide.ServerID, decide.Zone, float64, decide.Readiness, time.Duration) {}

// ListDone passes the end of a list call over.
func (None) ListDone() {}

// Came passes new flows over.
func (None) Came(decide.FlowID, decide.ServiceID, decide.CustomerID, decide.GroupKey) {}

// Sent passes connects over.
func (None) Sent(decide.FlowID, decide.ServerID) {}

// Stood passes set-ups over.
func (None) Stood(decide.FlowID, decide.ServerID, time.Duration) {}

// Over passes ends over.
func (None) Over(decide.FlowID, decide.ServerID, decide.Outcome, bool) {}

// Gone passes the end of flows over.
func (None) Gone(decide.FlowID) {}

// Late passes delays over.
func (None) Late(decide.ServerID, time.Duration) {}

// Reported passes load reports over.
func (None) Reported(decide.ServerID, float64) {}

// Moved passes moves over.
func (None) Moved(decide.FlowID) {}

// Server bars no server and adds no cost.
func (None) Server(decide.FlowID, decide.ServerID) (float64, Reason) { return 0, "" }

// Admit lets everybody in.
func (None) Admit(decide.FlowID) Reason { return "" }

// Again leaves the wait as it was told.
func (None) Again(_ decide.FlowID, told time.Duration) time.Duration { return told }

// Move lets everybody move.
func (None) Move(decide.FlowID) Reason { return "" }

// First names no flow to move first.
func (None) First() []decide.FlowID { return nil }

// State has nothing to show.
func (None) State() any { return nil }
