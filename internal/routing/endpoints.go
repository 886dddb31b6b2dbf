package routing

import (
	"context"
	"log/slog"
	"time"

	"yardwinch/decide"
)

// UpdateKind says how an update relates to the endpoint list held so far.
type UpdateKind = decide.UpdateKind

// The kinds of an update.
const (
	DeltaUpdate  = decide.DeltaUpdate  // changed entries only
	FullUpdate   = decide.FullUpdate   // the complete list: servers that are not in it are gone
	CachedUpdate = decide.CachedUpdate // the complete list as last held before a restart
)

// Endpoint is what an endpoint list says of one server.
type Endpoint struct {
	Name      string
	Addr      string // at which it is reached from here
	Zone      string
	Cell      int
	Size      float64
	Readiness Readiness
	StartedAt time.Time // by the list's clock; the zero time: long ago
}

// Readiness says whether an endpoint accepts flows.
type Readiness = decide.Readiness

// The readiness of an endpoint, for packages that must not import decide.
const (
	Ready    = decide.Ready    // accepts flows
	Draining = decide.Draining // keeps those that it has
	Gone     = decide.Gone     // has left the list
)

// entriesPerChunk is how many entries of an update are kept in one piece.
const entriesPerChunk = 512

// EndpointUpdate gathers the entries of an update of the endpoint list. Nothing of it counts before Commit.
type EndpointUpdate struct {
	router  *Router
	kind    UpdateKind
	entries [][]endpointEntry // in chunks, as a long list that grows in one piece is copied several times
	zones   map[string]string // each zone's name once: many servers share it
}

// endpointEntry is an Endpoint in the types of the decisions.
type endpointEntry struct {
	name, addr string
	zone       decide.Zone
	cell       decide.CellID
	size       float64
	readiness  decide.Readiness
	startedAt  time.Time
}

// BeginUpdate opens an update of the endpoint list.
func (r *Router) BeginUpdate(kind UpdateKind) *EndpointUpdate {
	return &EndpointUpdate{router: r, kind: kind, zones: map[string]string{}}
}

// MarkComplete says that a delta is the complete list after all, for callers that know it only once all entries are
// there. A cached list stays one.
func (u *EndpointUpdate) MarkComplete() {
	if u.kind == DeltaUpdate {
		u.kind = FullUpdate
	}
}

// AddEndpoint adds an entry.
func (u *EndpointUpdate) AddEndpoint(e Endpoint) {
	zone, ok := u.zones[e.Zone]
	if !ok {
		zone = e.Zone
		u.zones[zone] = zone
	}
	u.append(endpointEntry{
		name:      e.Name,
		addr:      e.Addr,
		zone:      decide.Zone(zone),
		cell:      decide.CellID(e.Cell),
		size:      e.Size,
		readiness: e.Readiness,
		startedAt: e.StartedAt,
	})
}

func (u *EndpointUpdate) append(entry endpointEntry) {
	last := len(u.entries) - 1
	if last < 0 || len(u.entries[last]) == entriesPerChunk {
		u.entries = append(u.entries, nil)
		last++
	}
	u.entries[last] = append(u.entries[last], entry)
}

// Commit hands the update to the decisions. The context is the log's.
func (u *EndpointUpdate) Commit(ctx context.Context) {
	r := u.router
	r.lockForEvent()
	defer r.mu.Unlock()
	if u.kind != DeltaUpdate {
		for _, s := range r.serverOrder {
			s.isListedReady = false // a complete list leaves out servers that are gone
		}
	}
	r.hasEndpoints = true
	r.balancer.BeginEndpoints(u.kind)
	isLogged := slog.Default().Enabled(ctx, slog.LevelDebug) // asked once: a list may be long
	for _, chunk := range u.entries {
		for i := range chunk {
			r.applyEndpoint(&chunk[i], isLogged)
		}
	}
	r.balancer.EndEndpoints()
	if u.kind != CachedUpdate {
		r.lastContact = r.Now()
	}
}

func (r *Router) applyEndpoint(e *endpointEntry, isLogged bool) {
	id := r.assignServerID(e.name)
	s := r.servers[id]
	s.isListedReady = e.readiness == Ready
	if s.addr != e.addr { // else the string that is held already stays, and the update's can be freed
		s.addr = e.addr
	}
	if isLogged {
		slog.Debug("endpoint updated", "server", e.name, "ready", s.isListedReady, "gone", e.readiness == Gone,
			"started_at", e.startedAt)
	}
	r.recordStart(s, e.startedAt)
	r.balancer.OnEndpoint(decide.Endpoint{
		ID:        id,
		Zone:      e.zone,
		Cell:      e.cell,
		Size:      e.size,
		Readiness: e.readiness,
		StartedAt: s.startedAt,
	})
}

// recordStart keeps when a server last started, by the router's clock. The list gives another machine's wall clock, and
// this machine's may be stepped at any time, so that the value only tells starts apart: another value is another start.
// A new start happened after the last contact with discovery, which did not list it, and not in the future.
func (r *Router) recordStart(s *server, reported time.Time) {
	if reported.IsZero() || reported.Equal(s.reportedStart) {
		return // long ago, or known
	}
	now := r.Now()
	at := now - time.Now().Round(0).Sub(reported) // Round strips the monotonic clock, which no other machine has
	if r.lastContact > 0 {
		at = max(at, r.lastContact)
	}
	s.reportedStart, s.startedAt = reported, min(at, now)
}

// HasEndpoints reports whether any endpoint list was taken so far.
func (r *Router) HasEndpoints() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasEndpoints
}

// OnDiscoveryContact records a sign of life of discovery: all changes up to now have been received.
func (r *Router) OnDiscoveryContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = r.Now()
}

// OnWatchLost reports that the watch of the endpoint list broke.
func (r *Router) OnWatchLost() {
	r.lockForEvent()
	defer r.mu.Unlock()
	r.balancer.BeginEndpoints(decide.FailedUpdate)
}
