package sockets

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/netfault"
)

const (
	heartbeatInterval       = 2 * time.Second
	unavailablePollInterval = 50 * time.Millisecond
	headerTimeout           = 5 * time.Second
	maxPendingUpdates       = 64 // a watch that leaves more updates unread is closed
	minStartMillis          = 1  // 0 means that the server started before the day
)

// discovery is the platform's discovery service on one balancer's machine: it stores the updates of the world's server list and serves
// them to its balancer. Its mutable fields are guarded by the driver's mutex.
type discovery struct {
	driver   *Driver
	balancer simulation.BalancerID
	listener net.Listener
	server   *http.Server

	// Takes the balancer's calls and forwards them over an emulated network path; nil without isolation.
	forwardingListener *netfault.Listener
	startTimes         map[int64]time.Duration // of servers, by the up_since_ms that was sent

	revision int
	entries  map[simulation.ServerID]simulation.Entry
	order    []simulation.ServerID
	watch    chan []byte // updates for the newest watch; nil: there is none
}

func newDiscovery(d *Driver, b simulation.BalancerID) (*discovery, error) {
	s := &discovery{driver: d, balancer: b, entries: map[simulation.ServerID]simulation.Entry{}, startTimes: map[int64]time.Duration{}}
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	s.listener = listener
	if d.isolation != nil {
		if err := s.startForwarding(); err != nil {
			return nil, fmt.Errorf("discovery: %w", err)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", s.serveHosts)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	d.workers.Go(s.serve)
	return s, nil
}

func (s *discovery) serve() {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return
	}
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	s.driver.fail("discovery: %w", err)
}

func (s *discovery) close() {
	if s.forwardingListener != nil {
		s.forwardingListener.Close()
	}
	_ = s.server.Close() // Driver.Close waits for the serving goroutine
}

// address returns the address that the balancer is configured with.
func (s *discovery) address() string {
	if s.forwardingListener != nil {
		return s.forwardingListener.Address
	}
	return s.listener.Addr().String()
}

func (s *discovery) storeEntries(entries []simulation.Entry) {
	for _, e := range entries {
		s.storeEntry(e)
	}
}

func (s *discovery) storeEntry(e simulation.Entry) {
	if _, known := s.entries[e.Server]; !known {
		s.order = append(s.order, e.Server)
	}
	s.entries[e.Server] = e
}

// UpdateList stores an update of the server list and passes it on if the balancer has a watch.
func (d *Driver) UpdateList(b simulation.BalancerID, isFull bool, entries []simulation.Entry) {
	s := d.discoveries[b]
	s.revision++
	if isFull {
		entries = s.withRemoved(entries)
	}
	s.storeEntries(entries)
	if s.watch == nil {
		return
	}
	select {
	case s.watch <- s.encode(false, entries):
		s.announceDirect(entries)
	default: // the balancer doesn't read: it gets the full list when it watches again
		close(s.watch)
		s.watch = nil
	}
}

// withRemoved adds to a full list, as gone, the servers that it no longer contains.
func (s *discovery) withRemoved(entries []simulation.Entry) []simulation.Entry {
	listed := map[simulation.ServerID]bool{}
	for _, e := range entries {
		listed[e.Server] = true
	}
	for id, e := range s.entries {
		if !listed[id] && e.Readiness != simulation.Gone {
			e.Readiness = simulation.Gone
			entries = append(entries, e)
		}
	}
	return entries
}

// listedEntries returns the stored entries, without servers that are gone.
func (s *discovery) listedEntries() (entries []simulation.Entry) {
	for _, id := range s.order {
		if e := s.entries[id]; e.Readiness != simulation.Gone {
			entries = append(entries, e)
		}
	}
	return entries
}

// checkerReadiness maps the world's readiness to the checker's.
var checkerReadiness = [...]invariants.Readiness{
	simulation.Ready:    invariants.Ready,
	simulation.Draining: invariants.Draining,
	simulation.Gone:     invariants.Gone,
}

// announceDirect reports to the checker what the balancer is being sent. If calls are forwarded, observeLine does so on arrival instead.
func (s *discovery) announceDirect(entries []simulation.Entry) {
	if s.forwardingListener == nil {
		s.announce(entries)
	}
}

func (s *discovery) announce(entries []simulation.Entry) {
	for _, entry := range entries {
		startedAt := entry.StartedAt
		if startedAt == simulation.LongAgo {
			startedAt = invariants.LongAgo
		}
		s.driver.observe(invariants.Event{
			Kind:      invariants.ServerAnnounced,
			Balancer:  invariants.Balancer(s.balancer),
			Server:    invariants.Server(entry.Server),
			Readiness: checkerReadiness[entry.Readiness],
			StartedAt: startedAt,
		})
	}
}

// phaseNames are the phases as discovery writes them.
var phaseNames = [...]string{simulation.Ready: "SERVING", simulation.Draining: "DRAINING", simulation.Gone: "DELETED"}

// encode returns a list of servers as one line of JSON.
func (s *discovery) encode(isComplete bool, entries []simulation.Entry) []byte {
	members := []map[string]any{}
	for _, e := range entries {
		members = append(members, s.member(e))
	}
	text, err := json.Marshal(map[string]any{"revision": s.revision, "complete": isComplete, "members": members})
	if err != nil {
		s.driver.fail("discovery: %w", err)
	}
	return append(text, '\n')
}

func (s *discovery) member(e simulation.Entry) map[string]any {
	d := s.driver
	startedAt := int64(0)
	if e.StartedAt != simulation.LongAgo {
		startedAt = max(minStartMillis, d.startedAt.Add(e.StartedAt).UnixMilli())
		s.startTimes[startedAt] = e.StartedAt
	}
	return map[string]any{
		"id": experiment.ServerName(e.Server), "host_port": d.listenerFor(s.balancer, e.Server).Address,
		"locality": d.world.Localities[e.Locality], "flavor": "stand-in", "cell": int(e.Cell),
		"phase": phaseNames[e.Readiness], "size": e.Size, "up_since_ms": startedAt,
	}
}

// serveHosts answers a balancer's call with the full list, or with a watch. It does not answer while the list is unavailable.
func (s *discovery) serveHosts(w http.ResponseWriter, request *http.Request) {
	if !s.awaitAvailable(request) {
		return
	}
	if request.FormValue("stream") == "1" {
		s.serveWatch(w, request)
		return
	}
	s.driver.mu.Lock()
	text := s.encode(true, s.listedEntries())
	s.announceDirect(s.listedEntries())
	s.driver.mu.Unlock()
	_, _ = w.Write(text) // the balancer may have disconnected
}

func (s *discovery) awaitAvailable(request *http.Request) bool {
	for s.driver.isListUnavailable() {
		select {
		case <-request.Context().Done():
			return false
		case <-s.driver.ctx.Done():
			return false
		case <-time.After(unavailablePollInterval):
		}
	}
	return true
}

// startWatch starts a watch, which replaces an earlier one, and returns its updates and its first line with the full list.
func (s *discovery) startWatch() (updates <-chan []byte, first []byte) {
	watch := make(chan []byte, maxPendingUpdates)
	s.driver.mu.Lock()
	defer s.driver.mu.Unlock()
	if s.watch != nil {
		close(s.watch)
	}
	s.watch = watch
	first = s.encode(true, s.listedEntries())
	s.announceDirect(s.listedEntries())
	return watch, first
}

func (s *discovery) serveWatch(w http.ResponseWriter, request *http.Request) {
	updates, text := s.startWatch()
	out := http.NewResponseController(w)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		if _, err := w.Write(text); err != nil || out.Flush() != nil {
			return
		}
		var ok bool
		if text, ok = s.nextLine(request, updates, heartbeat.C); !ok {
			return
		}
	}
}

// nextLine waits for an update or a heartbeat, and returns the line to send. A heartbeat is an empty line.
func (s *discovery) nextLine(request *http.Request, updates <-chan []byte, heartbeat <-chan time.Time) (line []byte, ok bool) {
	for {
		select {
		case <-request.Context().Done():
			return nil, false
		case <-s.driver.ctx.Done():
			return nil, false
		case update, ok := <-updates:
			return update, ok
		case <-heartbeat:
			if !s.driver.isListUnavailable() {
				return []byte("\n"), true
			}
		}
	}
}

func (d *Driver) isListUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.world.List.IsUnavailable()
}
