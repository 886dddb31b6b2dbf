package routing

import (
	"errors"
	"time"

	"yardwinch/decide"
)

// EndpointSnapshot is what the endpoint list said of a server beyond what the decisions keep.
type EndpointSnapshot struct {
	Name          string        `json:"name"`
	Addr          string        `json:"addr"`
	StartReported int64         `json:"start_told_ms,omitempty"` // by the list's clock, in Unix milliseconds; 0: long ago
	Started       time.Duration `json:"started,omitempty"`       // by the router's clock
}

// Snapshot is what a balancer knows, for the process that succeeds it. Its servers and those of the decisions' own part
// stand in the same order.
type Snapshot struct {
	Servers      []EndpointSnapshot `json:"servers"`
	Decisions    decide.Snapshot    `json:"decided"`
	Loads        []float64          `json:"loads"`
	HasEndpoints bool               `json:"listed"`
}

// Snapshot returns what is known now.
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
		return errors.New("servers that don't match")
	}
	return s.Decisions.Validate()
}

// Restore takes over another process's snapshot, before anything is decided here. The clock continues from that
// process's, so that all times keep their meaning; timers that are set keep their distance.
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

// restoreServer takes over one server, and sets the id that it has here in the decisions' part.
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
