package routing

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"time"

	"yardwinch/decide"
)

// MaxIDLength is the most bytes that a server's id may have.
const MaxIDLength = 4 << 10

// server is what the router knows of one server.
type server struct {
	name  string
	addr  string
	index int // in the router's serverOrder

	reportedStart time.Time     // when it last started, by the endpoint list's clock; the zero time: long ago
	startedAt     time.Duration // the same by the router's clock

	isListedReady  bool
	isDisabled     bool // administratively
	checkIsPending bool // it stands in the router's pendingChecks
	isLateSuspect  bool // it stands in the latency tracker's suspects

	roundTrips  roundTripWindow
	metrics     metricClassifier
	established []*Flow // flows whose connection is established here
}

// acceptsFlows reports whether new flows may be sent to the server.
func (s *server) acceptsFlows() bool { return s.isListedReady && !s.isDisabled }

// ServerID is the id that a server's name gets at every balancer, unless another name holds it already.
func ServerID(name string) decide.ServerID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return decide.ServerID(h.Sum32())
}

// assignServerID returns the decisions' id of a server. It is derived from the name alone, as all balancers must
// choose the same preferred server for a group; where two names share a hash the second gets the next free id.
func (r *Router) assignServerID(name string) decide.ServerID {
	if id, ok := r.serverIDs[name]; ok {
		return id
	}
	id := ServerID(name)
	for r.servers[id] != nil {
		id++
	}
	s := &server{name: name, index: len(r.serverOrder), startedAt: decide.LongAgo}
	r.serverIDs[name], r.servers[id] = id, s
	r.serverOrder = append(r.serverOrder, s)
	return id
}

// SetDisabled disables a server administratively, or enables it again. It is in force on return, also for connections
// that are being established. An ErrUnknownServer says that no endpoint list ever named the server.
func (r *Router) SetDisabled(name string, disabled bool) error {
	r.lockForEvent()
	defer r.mu.Unlock()
	id, ok := r.serverIDs[name]
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknownServer, name)
	}
	if s := r.servers[id]; s.isDisabled != disabled {
		s.isDisabled = disabled
		slog.Info("server administrative state changed", "server", name, "disabled", disabled)
		r.balancer.SetDisabled(id, disabled)
	}
	return nil
}

// DisableAll disables servers that no endpoint list may have named yet, as they were before a restart.
func (r *Router) DisableAll(names []string) {
	r.lockForEvent()
	defer r.mu.Unlock()
	for _, name := range names {
		id := r.assignServerID(name)
		r.servers[id].isDisabled = true
		r.balancer.SetDisabled(id, true)
	}
}

// DisabledServers names the servers that are administratively disabled.
func (r *Router) DisabledServers() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.serverOrder {
		if s.isDisabled {
			names = append(names, s.name)
		}
	}
	return names
}

// IsDisabled reports whether a server is administratively disabled, and whether any endpoint list ever named it.
func (r *Router) IsDisabled(name string) (disabled, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known := r.serverIDs[name]
	return known && r.servers[id].isDisabled, known
}
