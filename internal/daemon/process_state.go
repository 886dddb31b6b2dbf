package daemon

import "yardwinch/internal/explain"

// processState returns the state of the process for explain.
func (d *Daemon) processState() explain.Process {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	state := explain.Process{Phase: string(d.lifecycle.current())}
	switch {
	case d.successor != nil:
		state.Processes = "another has taken over"
	case d.predecessor != nil:
		state.Processes = "the one before has not ended"
	}
	if d.disabled != nil {
		state.StoreFault = d.disabled.fault()
	}
	return state
}
