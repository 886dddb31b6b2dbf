package routing

import (
	"context"
	"log/slog"
	"time"

	"yardwinch/decide"
)

// EndpointUpdate gathers news of the server list; nothing of it counts before Done.
type EndpointUpdate struct {
	r       *Router
	kind    decide.UpdateKind
	entries []entry
	zones   map[string]string // each name once: many servers share it
}

// entry is what a list says of one server.
type entry struct {
	name, addr string
	zone       decide.Zone
	cell       decide.CellID
	size       float64
	state      decide.Readiness
	since      time.Time // the zero time: long ago
}

// BeginUpdate opens news: the whole list, or the entries that changed. Known is the list as last held before this start.
func (r *Router) BeginUpdate(whole, known bool) *EndpointUpdate {
	l := &EndpointUpdate{r: r, kind: decide.DeltaUpdate, zones: map[string]string{}}
	if known {
		l.kind = decide.CachedUpdate
	} else if whole {
		l.kind = decide.FullUpdate
	}
	return l
}

// MarkComplete says that the news are the whole list, for whoever knows it only once all entries are there.
func (l *EndpointUpdate) MarkComplete() {
	if l.kind == decide.DeltaUpdate {
		l.kind = decide.FullUpdate
	}
}

// AddEndpoint adds an entry: where it is reached from here, and since when it runs (the zero time: long ago).
func (l *EndpointUpdate) AddEndpoint(name, addr, zone string, cell int, size float64, ready, gone bool, since time.Time) {
	state := decide.Draining
	if gone {
		state = decide.Gone
	} else if ready {
		state = decide.Ready
	}
	shared, ok := l.zones[zone]
	if !ok {
		shared = zone
		l.zones[zone] = zone
	}
	l.entries = append(l.entries, entry{name, addr, decide.Zone(shared), decide.CellID(cell), size, state, since})
}

// Commit hands the news to the module.
func (l *EndpointUpdate) Commit() {
	r := l.r
	r.enter()
	defer r.mu.Unlock()
	if l.kind != decide.DeltaUpdate { // whoever a whole list leaves out is gone
		for _, s := range r.order {
			s.listed = false
		}
	}
	r.listed = true
	r.b.BeginEndpoints(l.kind)
	says := slog.Default().Enabled(context.Background(), slog.LevelDebug) // asked once: a list may be long
	for i := range l.entries {
		r.listEntry(&l.entries[i], says)
	}
	r.b.EndEndpoints()
	if l.kind != decide.CachedUpdate {
		r.heard = time.Since(r.start)
	}
}

func (r *Router) listEntry(e *entry, says bool) {
	id := r.number(e.name)
	s := r.servers[id]
	if s.listed = e.state == decide.Ready; s.addr != e.addr { // else the text that is held already stays
		s.addr = e.addr
	}
	if says {
		slog.Debug("server list", "server", e.name, "ready", s.listed, "gone", e.state == decide.Gone, "since", e.since)
	}
	r.noteStart(s, e.since)
	r.b.OnEndpoint(decide.Endpoint{ID: id, Zone: e.zone, Cell: e.cell, Size: e.size, Readiness: e.state, StartedAt: s.started})
}

// noteStart keeps when a server last started, by the router's clock. What is told is another machine's wall clock, and this machine's may be
// stepped by an hour, so that the figure tells starts apart and little more: another figure is another start. One that is news happened after the
// last sign of life of discovery, which did not tell of it, and not in the future.
func (r *Router) noteStart(s *server, told time.Time) {
	if told.IsZero() || told.Equal(s.startTold) {
		return // long ago, or known
	}
	now := time.Since(r.start)
	at := now - time.Now().Round(0).Sub(told) // without the monotonic clock, which no other machine has
	if r.heard > 0 {
		at = max(at, r.heard)
	}
	s.startTold, s.started = told, min(at, now)
}

// OnDiscoveryContact notes a sign of life of discovery: by now all that changed has been told.
func (r *Router) OnDiscoveryContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = time.Since(r.start)
}
