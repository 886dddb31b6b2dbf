package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one entry of the list of servers, in discovery's form.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// catalog is what discovery knows. Several agents may serve it.
type catalog struct {
	mu       sync.Mutex
	revision int
	members  []member
	changed  map[string]int // revision of the last change, by id
	wake     chan struct{}  // closed at the next change
}

func newCatalog(members []member) *catalog {
	return &catalog{revision: 1, members: members, changed: map[string]int{}, wake: make(chan struct{})}
}

func (c *catalog) whole() list {
	c.mu.Lock()
	defer c.mu.Unlock()
	return list{Revision: c.revision, Complete: true, Members: append([]member(nil), c.members...)}
}

// set changes the phase of a server.
func (c *catalog) set(id, phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	for i := range c.members {
		if c.members[i].ID == id {
			c.members[i].Phase = phase
			c.changed[id] = c.revision
		}
	}
	close(c.wake)
	c.wake = make(chan struct{})
}

// since returns what changed after a revision, and the channel that is closed at the next change.
func (c *catalog) since(revision int) (list, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := list{Revision: c.revision, Members: []member{}}
	for _, m := range c.members {
		if c.changed[m.ID] > revision {
			l.Members = append(l.Members, m)
		}
	}
	return l, c.wake
}

// agent serves a catalog over HTTP. before is called for each call; what it returns is how long the answer takes, or
// that the call is turned away.
type agent struct {
	catalog *catalog
	address string
	log     func(format string, a ...any)
	before  func(number int) (wait time.Duration, refuse bool)
	server  *http.Server

	mu    sync.Mutex
	calls int
}

func startAgent(c *catalog, log func(string, ...any), before func(int) (time.Duration, bool)) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{catalog: c, address: l.Addr().String(), log: log, before: before}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// ServeHTTP answers a call for the whole list, or a watch.
func (a *agent) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	a.mu.Lock()
	a.calls++
	number := a.calls
	a.mu.Unlock()
	a.log("discovery %s: call %d, %s", a.address, number, request.URL.RawQuery)
	if a.before != nil {
		wait, refuse := a.before(number)
		select {
		case <-time.After(wait):
		case <-request.Context().Done():
			a.log("discovery %s: call %d was given up by the balancer", a.address, number)
			return
		}
		if refuse {
			a.log("discovery %s: call %d turned away (503)", a.address, number)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	query := request.URL.Query()
	encoder := json.NewEncoder(w)
	if query.Get("stream") != "1" {
		_ = encoder.Encode(a.catalog.whole())
		return
	}
	flush := http.NewResponseController(w)
	index, err := strconv.Atoi(query.Get("index"))
	if err != nil { // the first object is the whole list
		whole := a.catalog.whole()
		index = whole.Revision
		_ = encoder.Encode(whole)
	}
	a.log("discovery %s: call %d answered, from revision %d", a.address, number, index)
	_ = flush.Flush()
	for {
		changes, wake := a.catalog.since(index)
		if len(changes.Members) > 0 {
			if encoder.Encode(changes) != nil || flush.Flush() != nil {
				return
			}
			a.log("discovery %s: wrote revision %d on call %d", a.address, changes.Revision, number)
		}
		index = changes.Revision
		select {
		case <-request.Context().Done():
			return
		case <-wake:
		case <-time.After(2 * time.Second):
			if _, err := fmt.Fprint(w, "\r\n"); err != nil || flush.Flush() != nil {
				return
			}
		}
	}
}
