package routing

import (
	"time"

	"yardwinch/constraints"
)

// ServerState is what is told of one server to whoever asks.
type ServerState struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Ready    bool   `json:"ready"`
	Disabled bool   `json:"out_by_hand,omitempty"`
	Flows    int    `json:"flows"`
}

// State is what the balancer holds: servers, flows, and what the deciders round the module say of themselves.
type State struct {
	Phase         string         `json:"phase"`
	Processes     string         `json:"processes,omitempty"` // of this balancer beside this one
	StoreFault    string         `json:"folder,omitempty"`    // what is amiss with the folder of the processes
	Running       float64        `json:"running_s"`
	Flows         int            `json:"flows"`
	Servers       []ServerState  `json:"servers"`
	Constraints   map[string]any `json:"deciders,omitempty"`
	Interventions map[string]int `json:"bounds_acted,omitempty"` // by decider and reason, how often
}

// State tells what it holds now.
func (r *Router) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{Running: time.Since(r.start).Seconds(), Flows: len(r.flows)}
	held := map[*server]int{}
	for _, f := range r.flows {
		if f.server != nil {
			held[f.server]++
		}
	}
	for _, x := range r.order {
		s.Servers = append(s.Servers, ServerState{x.name, x.addr, x.ready(), x.byHand, held[x]})
	}
	if r.host != nil {
		s.Constraints, s.Interventions = r.host.States(), r.host.Interventions()
	}
	return s
}

// Explain tells why a flow went where it did, by the id that its client gave; false where that is not known (any more).
func (r *Router) Explain(name string) (constraints.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.host == nil {
		return constraints.Explanation{}, false
	}
	n, ok := r.host.Explain(name)
	for i, t := range n.Attempts {
		if s := r.servers[t.Server]; s != nil {
			n.Attempts[i].Name = s.name
		}
	}
	for i, t := range n.ExtraCosts {
		if s := r.servers[t.Server]; s != nil {
			n.ExtraCosts[i].Name = s.name
		}
	}
	return n, ok
}

// WithLock runs something while no decision is made: what changes a decider's terms.
func (r *Router) WithLock(do func()) {
	r.enter()
	defer r.mu.Unlock()
	do()
}
