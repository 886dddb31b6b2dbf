package routing

import (
	"errors"
	"time"

	"yardwinch/decide"
)

// Server is what a list said of a server that the decisions don't need.
type Server struct {
	Name      string        `json:"name"`
	Addr      string        `json:"addr"`
	StartTold int64         `json:"start_told_ms,omitempty"` // when it last started, as the list told; 0: long ago
	Started   time.Duration `json:"started,omitempty"`       // and by the router's clock
}

// Memory is what a balancer knows, for the process that takes its place: the decisions' own part has the servers in the same
// order.
type Memory struct {
	Servers []Server        `json:"servers"`
	Decided decide.Snapshot `json:"decided"`
	Loads   []float64       `json:"loads"`
	Listed  bool            `json:"listed"`
}

// Memory tells what is known now.
func (r *Router) Memory() Memory {
	r.enter()
	defer r.mu.Unlock()
	m := Memory{Decided: r.b.Snapshot(), Loads: append([]float64(nil), r.late.loads...), Listed: r.listed}
	for _, k := range m.Decided.Servers {
		s := r.servers[k.ID]
		known := Server{Name: s.name, Addr: s.addr}
		if !s.startTold.IsZero() {
			known.StartTold, known.Started = s.startTold.UnixMilli(), s.started
		}
		m.Servers = append(m.Servers, known)
	}
	return m
}

// Check tells whether a memory can be taken over.
func (m Memory) Check() error {
	if len(m.Servers) != len(m.Decided.Servers) || len(m.Loads) > loadsKept {
		return errors.New("servers that don't match")
	}
	return m.Decided.Validate()
}

// Remember takes over what another process knew, before anything is decided here. The clock goes on from that one's, so that
// all times keep their meaning; what was set to come keeps its distance.
func (r *Router) Remember(m Memory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead := m.Decided.Now - time.Since(r.start)
	r.start = r.start.Add(-ahead)
	for i := range r.timers {
		r.timers[i].due += ahead
	}
	r.late.next += ahead
	r.b.SetTime(time.Since(r.start))
	for i, s := range m.Servers {
		id := r.number(s.Name)
		k := &m.Decided.Servers[i]
		k.ID = id
		x := r.servers[id]
		x.addr, x.listed, x.byHand = s.Addr, k.Listed == decide.Ready, k.Disabled
		if s.StartTold != 0 {
			x.startTold, x.started = time.UnixMilli(s.StartTold), s.Started
		}
	}
	if m.Listed {
		r.heard = m.Decided.Now
	}
	r.b.Restore(m.Decided)
	r.late.loads, r.listed = m.Loads, m.Listed
}

// HandedOver says that another process goes on with what is known here, or that it is gone again.
func (r *Router) HandedOver(to bool) {
	r.enter()
	defer r.mu.Unlock()
	r.b.SetHandedOver(to)
}

// Out takes servers out by hand that no list may have named yet, as they were before this start.
func (r *Router) Out(names []string) {
	r.enter()
	defer r.mu.Unlock()
	for _, name := range names {
		id := r.number(name)
		r.servers[id].byHand = true
		r.b.SetDisabled(id, true)
	}
}

// OutByHand names the servers out by hand.
func (r *Router) OutByHand() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.order {
		if s.byHand {
			names = append(names, s.name)
		}
	}
	return names
}

// Known tells whether any list ever named a server, and whether it is out by hand.
func (r *Router) Known(name string) (out, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known := r.numbers[name]
	return known && r.servers[id].byHand, known
}
