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

const heartbeat = 2 * time.Second

// agent is discovery on one balancer's machine: it has what it was sent, and tells that to its balancer.
type agent struct {
	dr       *Drive
	balancer simulation.BalancerID
	l        net.Listener
	server   *http.Server
	revision int
	has      map[simulation.ServerID]simulation.Entry
	order    []simulation.ServerID
	watch    chan []byte // of the newest watch

	gate   *netfault.Listener      // where its balancer has a way of its own to it
	sinces map[int64]time.Duration // starts of servers by what was written of them
}

func newAgent(dr *Drive, b simulation.BalancerID) (*agent, error) {
	a := &agent{dr: dr, balancer: b, has: map[simulation.ServerID]simulation.Entry{}, sinces: map[int64]time.Duration{}}
	l, err := (&net.ListenConfig{}).Listen(dr.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	a.l = l
	if dr.apart != nil {
		if err := a.lead(); err != nil {
			return nil, err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.hosts)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	dr.parts.Go(func() {
		if err := a.server.Serve(a.l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			dr.mu.Lock()
			dr.bad("discovery: %w", err)
			dr.mu.Unlock()
		}
	})
	return a, nil
}

func (a *agent) close() {
	if a.gate != nil {
		a.gate.Close()
	}
	_ = a.server.Close()
}

// addr is where its balancer asks it.
func (a *agent) addr() string {
	if a.gate != nil {
		return a.gate.Address
	}
	return a.l.Addr().String()
}

// whole is what the agent has at first.
func (a *agent) whole(entries []simulation.Entry) {
	for _, e := range entries {
		a.take(e)
	}
}

func (a *agent) take(e simulation.Entry) {
	if _, known := a.has[e.Server]; !known {
		a.order = append(a.order, e.Server)
	}
	a.has[e.Server] = e
}

// UpdateList of the list, from the world.
func (dr *Drive) UpdateList(b simulation.BalancerID, full bool, entries []simulation.Entry) {
	a := dr.agents[b]
	a.revision++
	if full {
		seen := map[simulation.ServerID]bool{}
		for _, e := range entries {
			seen[e.Server] = true
		}
		for id, e := range a.has {
			if !seen[id] && e.Readiness != simulation.Gone {
				e.Readiness = simulation.Gone
				a.has[id] = e
				entries = append(entries, e)
			}
		}
	}
	for _, e := range entries {
		a.take(e)
	}
	if a.watch != nil {
		select {
		case a.watch <- a.object(false, entries):
			a.told(entries)
		default:
			close(a.watch) // it does not read; a new watch brings all
			a.watch = nil
		}
	}
}

// told books what the balancer is told now. Over a way of its own it is told when that has brought it there.
func (a *agent) told(entries []simulation.Entry) {
	if a.gate == nil {
		a.book(entries)
	}
}

func (a *agent) book(entries []simulation.Entry) {
	states := [...]invariants.Readiness{simulation.Ready: invariants.Ready, simulation.Draining: invariants.Draining, simulation.Gone: invariants.Gone}
	for _, e := range entries {
		since := e.StartedAt
		if since == simulation.LongAgo {
			since = invariants.LongAgo
		}
		a.dr.see(invariants.Event{Kind: invariants.ServerAnnounced, Balancer: invariants.Balancer(a.balancer), Server: invariants.Server(e.Server),
			Readiness: states[e.Readiness], StartedAt: since})
	}
}

// all is what the agent has, without who is gone.
func (a *agent) all() (entries []simulation.Entry) {
	for _, id := range a.order {
		if e := a.has[id]; e.Readiness != simulation.Gone {
			entries = append(entries, e)
		}
	}
	return entries
}

// object is a list as discovery writes it, on one line.
func (a *agent) object(complete bool, entries []simulation.Entry) []byte {
	dr := a.dr
	phases := [...]string{simulation.Ready: "SERVING", simulation.Draining: "DRAINING", simulation.Gone: "DELETED"}
	members := []map[string]any{}
	for _, e := range entries {
		up := int64(0)
		if e.StartedAt != simulation.LongAgo {
			up = max(1, dr.start.Add(e.StartedAt).UnixMilli())
			a.sinces[up] = e.StartedAt
		}
		members = append(members, map[string]any{"id": experiment.ServerName(e.Server), "host_port": dr.door(a.balancer, e.Server).Address,
			"locality": dr.w.Localities[e.Locality], "flavor": "stand-in", "cell": int(e.Cell), "phase": phases[e.Readiness], "size": e.Size, "up_since_ms": up})
	}
	text, err := json.Marshal(map[string]any{"revision": a.revision, "complete": complete, "members": members})
	if err != nil {
		dr.bad("discovery: %w", err)
	}
	return append(text, '\n')
}

func (a *agent) hosts(w http.ResponseWriter, q *http.Request) {
	dr := a.dr
	for dr.dark() { // it is silent while discovery is down
		select {
		case <-q.Context().Done():
			return
		case <-dr.ctx.Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	if q.FormValue("stream") != "1" {
		dr.mu.Lock()
		text := a.object(true, a.all())
		a.told(a.all())
		dr.mu.Unlock()
		_, _ = w.Write(text) // whoever asked may be gone
		return
	}
	news := make(chan []byte, 64)
	dr.mu.Lock()
	if a.watch != nil {
		close(a.watch)
	}
	a.watch = news
	first := a.object(true, a.all())
	a.told(a.all())
	dr.mu.Unlock()
	out := http.NewResponseController(w)
	if _, err := w.Write(first); err != nil || out.Flush() != nil {
		return
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		text := []byte("\n")
		var ok bool
		select {
		case <-q.Context().Done():
			return
		case <-dr.ctx.Done():
			return
		case text, ok = <-news:
			if !ok {
				return
			}
		case <-beat.C:
			if dr.dark() {
				continue
			}
		}
		if _, err := w.Write(text); err != nil || out.Flush() != nil {
			return
		}
	}
}

func (dr *Drive) dark() bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.w.List.IsUnavailable()
}
