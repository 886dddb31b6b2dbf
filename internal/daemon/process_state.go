package daemon

import "yardwinch/internal/explain"

// processState returns the state of the process for explain.
func (d *Daemon) processState() explain.ProcessState {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	state := explain.ProcessState{Phase: string(d.lifecycle.current())}
	switch {
	case d.successor != nil:
		state.OtherProcess = "another has taken over"
	case d.predecessor != nil:
		state.OtherProcess = "the one before has not ended"
	}
	if d.disabled != nil {
		state.StoreFault = d.disabled.fault()
	}
	return state
}
