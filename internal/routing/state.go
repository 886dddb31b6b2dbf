package routing

import (
	"yardwinch/constraints"
	"yardwinch/decide"
)

// ServerState is one server's state as the admin API returns it.
type ServerState struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Ready    bool   `json:"ready"`
	Disabled bool   `json:"out_by_hand,omitempty"`
	Flows    int    `json:"flows"`
}

// State is a balancer's state as the admin API returns it. The daemon fills in the first three fields.
type State struct {
	Phase         string         `json:"phase"`
	OtherProcess  string         `json:"processes,omitempty"` // which other process this balancer has, during a hand-over; empty: none
	StoreFault    string         `json:"folder,omitempty"`    // the current error of the directory that the processes share; empty: none
	Running       float64        `json:"running_s"`
	Flows         int            `json:"flows"`
	Servers       []ServerState  `json:"servers"`
	Constraints   map[string]any `json:"deciders,omitempty"`     // each constraint's state
	Interventions map[string]int `json:"bounds_acted,omitempty"` // counts by constraint and reason
}

// State returns the current state.
func (r *Router) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := State{Running: r.Now().Seconds(), Flows: len(r.flows)}
	flowCounts := map[*server]int{}
	for _, f := range r.flows {
		if f.server != nil {
			flowCounts[f.server]++
		}
	}
	for _, s := range r.serverOrder {
		state.Servers = append(state.Servers, ServerState{Name: s.name, Addr: s.addr, Ready: s.acceptsFlows(),
			Disabled: s.isDisabled, Flows: flowCounts[s]})
	}
	if r.constrained != nil {
		state.Constraints, state.Interventions = r.constrained.States(), r.constrained.Interventions()
	}
	return state
}

// Explain returns the explanation of a flow's decisions, by the client's id of the flow. It reports false if none is
// available, or no longer.
func (r *Router) Explain(clientID string) (constraints.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.constrained == nil {
		return constraints.Explanation{}, false
	}
	explanation, ok := r.constrained.Explain(clientID)
	for i := range explanation.Attempts {
		attempt := &explanation.Attempts[i]
		r.setServerName(attempt.Server, &attempt.Name)
	}
	for i := range explanation.ExtraCosts {
		cost := &explanation.ExtraCosts[i]
		r.setServerName(cost.Server, &cost.Name)
	}
	return explanation, ok
}

// setServerName sets *name to the name of a server if the server is known; the mutex must be held.
func (r *Router) setServerName(id decide.ServerID, name *string) {
	if s := r.servers[id]; s != nil {
		*name = s.name
	}
}
