package routing

import (
	"context"
	"log/slog"
	"time"

	"yardwinch/decide"
)

// UpdateKind says how an update relates to the current endpoint list.
type UpdateKind = decide.UpdateKind

// The kinds of an update.
const (
	DeltaUpdate  = decide.DeltaUpdate  // changed entries only
	FullUpdate   = decide.FullUpdate   // the complete list: servers that are not in it are gone
	CachedUpdate = decide.CachedUpdate // the complete list as last known before a restart
)

// Endpoint is one server's entry in an endpoint list.
type Endpoint struct {
	Name      string
	Addr      string // address at which this balancer reaches it
	Zone      string
	Cell      int
	Size      float64
	Readiness Readiness
	StartedAt time.Time // last start by the clock of the list's publisher; zero: not reported, treated as long ago
}

// Readiness says whether an endpoint accepts flows.
type Readiness = decide.Readiness

// The readiness of an endpoint, for packages that must not import decide.
const (
	Ready    = decide.Ready    // accepts flows
	Draining = decide.Draining // keeps its flows and accepts no new ones
	Gone     = decide.Gone     // has left the list
)

// entriesPerChunk is the number of entries in one chunk of an update.
const entriesPerChunk = 512

// EndpointUpdate collects the entries of an update of the endpoint list. Nothing takes effect before Commit.
type EndpointUpdate struct {
	router  *Router
	kind    UpdateKind
	entries [][]endpointEntry // in chunks: a single slice would be copied several times as a long list grows
	zones   map[string]string // interns zone names, which many servers share
}

// endpointEntry is an Endpoint in the types of package decide.
type endpointEntry struct {
	name, addr string
	zone       decide.Zone
	cell       decide.CellID
	size       float64
	readiness  decide.Readiness
	startedAt  time.Time
}

// BeginUpdate starts an update of the endpoint list.
func (r *Router) BeginUpdate(kind UpdateKind) *EndpointUpdate {
	return &EndpointUpdate{router: r, kind: kind, zones: map[string]string{}}
}

// MarkComplete turns a delta into a full update, for callers that learn that the list is complete only after they have
// read all entries. A cached update stays cached.
func (u *EndpointUpdate) MarkComplete() {
	if u.kind == DeltaUpdate {
		u.kind = FullUpdate
	}
}

// AddEndpoint adds an entry for one server.
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

// Commit applies the update. The context is used for logging only.
func (u *EndpointUpdate) Commit(ctx context.Context) {
	r := u.router
	r.lockForEvent()
	defer r.mu.Unlock()
	if u.kind != DeltaUpdate {
		for _, s := range r.serverOrder {
			s.isListedReady = false // servers that are missing from a complete list are gone
		}
	}
	r.hasEndpoints = true
	r.balancer.BeginEndpoints(u.kind)
	isLogged := slog.Default().Enabled(ctx, slog.LevelDebug) // checked once, as the list may be long
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
	if s.addr != e.addr { // an equal string is not replaced, so that the update's copy can be freed
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

// recordStart records when a server last started, by the router's clock. The reported time is another machine's wall
// clock time, and this machine's wall clock may be stepped at any time, so the reported value only distinguishes
// starts: a different value means a different start. The converted time is limited to between the last contact with
// discovery, when the new start was not yet listed, and now.
func (r *Router) recordStart(s *server, reported time.Time) {
	if reported.IsZero() || reported.Equal(s.reportedStart) {
		return // no start is reported, or this one is recorded already
	}
	now := r.Now()
	at := now - time.Now().Round(0).Sub(reported) // Round strips the monotonic reading, which is local to this machine
	if r.lastContact > 0 {
		at = max(at, r.lastContact)
	}
	s.reportedStart, s.startedAt = reported, min(at, now)
}

// HasEndpoints reports whether any endpoint list has been received.
func (r *Router) HasEndpoints() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasEndpoints
}

// OnDiscoveryContact records a contact with discovery: all changes up to now have been received.
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
