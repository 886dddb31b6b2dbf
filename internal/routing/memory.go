package routing

import (
	"errors"
	"time"

	"yardwinch/decide"
)

// EndpointSnapshot is what a list said of a server that the decisions don't need.
type EndpointSnapshot struct {
	Name          string        `json:"name"`
	Addr          string        `json:"addr"`
	StartReported int64         `json:"start_told_ms,omitempty"` // when it last started, as the list told; 0: long ago
	Started       time.Duration `json:"started,omitempty"`       // and by the router's clock
}

// Snapshot is what a balancer knows, for the process that takes its place: the decisions' own part has the servers in the same
// order.
type Snapshot struct {
	Servers      []EndpointSnapshot `json:"servers"`
	Decisions    decide.Snapshot    `json:"decided"`
	Loads        []float64          `json:"loads"`
	HasEndpoints bool               `json:"listed"`
}

// Snapshot tells what is known now.
func (r *Router) Snapshot() Snapshot {
	r.enter()
	defer r.mu.Unlock()
	m := Snapshot{Decisions: r.b.Snapshot(), Loads: append([]float64(nil), r.late.loads...), HasEndpoints: r.listed}
	for _, k := range m.Decisions.Servers {
		s := r.servers[k.ID]
		known := EndpointSnapshot{Name: s.name, Addr: s.addr}
		if !s.startTold.IsZero() {
			known.StartReported, known.Started = s.startTold.UnixMilli(), s.started
		}
		m.Servers = append(m.Servers, known)
	}
	return m
}

// Validate tells whether a memory can be taken over.
func (m Snapshot) Validate() error {
	if len(m.Servers) != len(m.Decisions.Servers) || len(m.Loads) > loadsKept {
		return errors.New("servers that don't match")
	}
	return m.Decisions.Validate()
}

// Restore takes over what another process knew, before anything is decided here. The clock goes on from that one's, so that
// all times keep their meaning; what was set to come keeps its distance.
func (r *Router) Restore(m Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead := m.Decisions.Now - time.Since(r.start)
	r.start = r.start.Add(-ahead)
	for i := range r.timers {
		r.timers[i].due += ahead
	}
	r.late.next += ahead
	r.b.SetTime(time.Since(r.start))
	for i, s := range m.Servers {
		id := r.number(s.Name)
		k := &m.Decisions.Servers[i]
		k.ID = id
		x := r.servers[id]
		x.addr, x.listed, x.byHand = s.Addr, k.Readiness == decide.Ready, k.Disabled
		if s.StartReported != 0 {
			x.startTold, x.started = time.UnixMilli(s.StartReported), s.Started
		}
	}
	if m.HasEndpoints {
		r.heard = m.Decisions.Now
	}
	r.b.Restore(m.Decisions)
	r.late.loads, r.listed = m.Loads, m.HasEndpoints
}

// SetHandedOver says that another process goes on with what is known here, or that it is gone again.
func (r *Router) SetHandedOver(to bool) {
	r.enter()
	defer r.mu.Unlock()
	r.b.SetHandedOver(to)
}

// DisableAll takes servers out by hand that no list may have named yet, as they were before this start.
func (r *Router) DisableAll(names []string) {
	r.enter()
	defer r.mu.Unlock()
	for _, name := range names {
		id := r.number(name)
		r.servers[id].byHand = true
		r.b.SetDisabled(id, true)
	}
}

// DisabledServers names the servers out by hand.
func (r *Router) DisabledServers() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.order {
		if s.byHand {
			names = append(names, s.name)
		}
	}
	return names
}

// IsDisabled tells whether any list ever named a server, and whether it is out by hand.
func (r *Router) IsDisabled(name string) (out, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known := r.numbers[name]
	return known && r.servers[id].byHand, known
}
