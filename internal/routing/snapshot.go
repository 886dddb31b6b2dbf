package routing

import (
	"errors"
	"time"

	"yardwinch/decide"
)

// EndpointSnapshot is the part of a server's endpoint entry that is not in decide.ServerSnapshot.
type EndpointSnapshot struct {
	Name          string        `json:"name"`
	Addr          string        `json:"addr"`
	StartReported int64         `json:"start_told_ms,omitempty"` // last start by the clock of the list's publisher, in Unix milliseconds; 0: not reported
	Started       time.Duration `json:"started,omitempty"`       // last start by the router's clock
}

// Snapshot is a balancer's state, for its successor. Servers and Decisions.Servers are in the same order.
type Snapshot struct {
	Servers      []EndpointSnapshot `json:"servers"`
	Decisions    decide.Snapshot    `json:"decided"`
	Loads        []float64          `json:"loads"`
	HasEndpoints bool               `json:"listed"`
}

// Snapshot returns the current state.
func (r *Router) Snapshot() Snapshot {
	r.lockForEvent()
	defer r.mu.Unlock()
	snapshot := Snapshot{
		Decisions:    r.balancer.Snapshot(),
		Loads:        append([]float64(nil), r.latency.recentLoads...),
		HasEndpoints: r.hasEndpoints,
	}
	for _, decided := range snapshot.Decisions.Servers {
		s := r.servers[decided.ID]
		endpoint := EndpointSnapshot{Name: s.name, Addr: s.addr}
		if !s.reportedStart.IsZero() {
			endpoint.StartReported, endpoint.Started = s.reportedStart.UnixMilli(), s.startedAt
		}
		snapshot.Servers = append(snapshot.Servers, endpoint)
	}
	return snapshot
}

// Validate checks that a snapshot can be restored.
func (s Snapshot) Validate() error {
	if len(s.Servers) != len(s.Decisions.Servers) || len(s.Loads) > loadWindowSize {
		return errors.New("server lists of different lengths, or too many loads")
	}
	return s.Decisions.Validate()
}

// Restore takes over another process's snapshot, before the first decision of this router. The clock continues from
// that process's clock, so that all times stay valid; timers that are already set keep the time that remains until they
// are due.
func (r *Router) Restore(snapshot Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead := snapshot.Decisions.Now - r.Now()
	r.startedAt = r.startedAt.Add(-ahead)
	for i := range r.timers {
		r.timers[i].due += ahead
	}
	r.latency.nextCheck += ahead
	r.balancer.SetTime(r.Now())
	for i, endpoint := range snapshot.Servers {
		r.restoreServer(endpoint, &snapshot.Decisions.Servers[i])
	}
	if snapshot.HasEndpoints {
		r.lastContact = snapshot.Decisions.Now
	}
	r.balancer.Restore(snapshot.Decisions)
	r.latency.recentLoads = snapshot.Loads
	r.hasEndpoints = snapshot.HasEndpoints
}

// restoreServer takes over one server, and sets the id that this router assigns to it in the decide snapshot.
func (r *Router) restoreServer(endpoint EndpointSnapshot, decided *decide.ServerSnapshot) {
	decided.ID = r.assignServerID(endpoint.Name)
	s := r.servers[decided.ID]
	s.addr = endpoint.Addr
	s.isListedReady = decided.Readiness == decide.Ready
	s.isDisabled = decided.Disabled
	if endpoint.StartReported != 0 {
		s.reportedStart, s.startedAt = time.UnixMilli(endpoint.StartReported), endpoint.Started
	}
}
