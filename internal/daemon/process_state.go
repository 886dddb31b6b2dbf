package daemon

import "yardwinch/internal/explain"

// processState returns the state of the process for explain.
func (d *Daemon) processState() explain.Process {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	state := explain.Process{Phase: string(d.lifecycle.current())}
	switch {
	case d.successor != nil:
		state.Processes = "a successor has taken over"
	case d.predecessor != nil:
		state.Processes = "the predecessor has not exited yet"
	}
	if d.disabled != nil {
		state.StoreFault = d.disabled.fault()
	}
	return state
}
