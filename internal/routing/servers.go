package routing

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"time"

	"yardwinch/decide"
)

// MaxServerNameLength is the maximum length in bytes of a server's name, which is its id in the endpoint list.
const MaxServerNameLength = 4 << 10

// server is the router's state of one server.
type server struct {
	name  string
	addr  string
	index int // its index in the router's serverOrder

	reportedStart time.Time     // when it last started, as the endpoint list reports it; zero: not reported
	startedAt     time.Duration // when it last started, by the router's clock

	isListedReady  bool
	isDisabled     bool // administratively
	checkIsPending bool // it is in the router's pendingChecks
	isLateSuspect  bool // it is in the latency tracker's suspects

	roundTrips  roundTripWindow
	metrics     metricClassifier
	established []*Flow // flows with an established connection to it
}

// acceptsFlows reports whether new flows may be sent to the server.
func (s *server) acceptsFlows() bool { return s.isListedReady && !s.isDisabled }

// ServerID returns the id that every balancer assigns to a server's name, except in a hash collision.
func ServerID(name string) decide.ServerID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return decide.ServerID(h.Sum32())
}

// assignServerID returns a server's id, and adds the server if it is new. The id is derived from the name alone, as all
// balancers must choose the same preferred server for a group; in a hash collision the second name gets the next free
// id.
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

// SetDisabled disables a server administratively, or enables it again. The change is in force on return, also for
// connections that are being established. It fails with ErrUnknownServer if no endpoint list has ever contained the
// server.
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

// DisableServers disables the named servers, as they were before a restart. They need not have been listed yet.
func (r *Router) DisableServers(names []string) {
	r.lockForEvent()
	defer r.mu.Unlock()
	for _, name := range names {
		id := r.assignServerID(name)
		r.servers[id].isDisabled = true
		r.balancer.SetDisabled(id, true)
	}
}

// DisabledServers returns the names of the servers that are administratively disabled.
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

// IsDisabled reports whether a server is administratively disabled, and whether it is known at all.
func (r *Router) IsDisabled(name string) (disabled, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, known := r.serverIDs[name]
	return known && r.servers[id].isDisabled, known
}
