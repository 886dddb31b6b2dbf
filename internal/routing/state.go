package routing

import (
	"yardwinch/constraints"
	"yardwinch/decide"
)

// ServerState is what the operators' calls show of one server.
type ServerState struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Ready    bool   `json:"ready"`
	Disabled bool   `json:"out_by_hand,omitempty"`
	Flows    int    `json:"flows"`
}

// State is what the operators' calls show of a balancer. Its process fills in the first three fields.
type State struct {
	Phase         string         `json:"phase"`
	Processes     string         `json:"processes,omitempty"` // of this balancer beside this one
	StoreFault    string         `json:"folder,omitempty"`    // what is wrong with the store of the processes
	Running       float64        `json:"running_s"`
	Flows         int            `json:"flows"`
	Servers       []ServerState  `json:"servers"`
	Constraints   map[string]any `json:"deciders,omitempty"`     // what each constraint shows of itself
	Interventions map[string]int `json:"bounds_acted,omitempty"` // how often, by constraint and reason
}

// State returns the state of now.
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

// Explain tells why a flow went where it did, by the id that its client gave. It reports false where that is not known
// (any more).
func (r *Router) Explain(clientID string) (constraints.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.constrained == nil {
		return constraints.Explanation{}, false
	}
	explanation, ok := r.constrained.Explain(clientID)
	for i := range explanation.Attempts {
		attempt := &explanation.Attempts[i]
		r.nameServer(attempt.Server, &attempt.Name)
	}
	for i := range explanation.ExtraCosts {
		cost := &explanation.ExtraCosts[i]
		r.nameServer(cost.Server, &cost.Name)
	}
	return explanation, ok
}

// nameServer sets the name of a server that is known; the mutex is held.
func (r *Router) nameServer(id decide.ServerID, name *string) {
	if s := r.servers[id]; s != nil {
		*name = s.name
	}
}
