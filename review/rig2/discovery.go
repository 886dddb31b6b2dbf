package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// member is a server's entry in the list.
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

// discovery is a stand-in for discovery or the agent of a balancer's machine.
type discovery struct {
	w         *world
	listener  net.Listener
	delay     atomic.Int64 // of the answer to a call, in nanoseconds
	failing   atomic.Int64 // number of calls that will fail
	failAfter time.Duration
	server    *http.Server

	mu       sync.Mutex
	revision int
	members  []member
	changes  map[int]member // by the revision that it made
	changed  chan struct{}
}

func (w *world) newDiscovery(members []member) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	d := &discovery{w: w, listener: l, revision: 41, members: members, changes: map[int]member{}, changed: make(chan struct{})}
	d.changes[41] = members[len(members)-1]
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.server = server
	go func() { _ = server.Serve(l) }()
	return d
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// close closes the open watches and takes no new connection.
func (d *discovery) close() { _ = d.server.Close() }

// set changes or adds a member.
func (d *discovery) set(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := false
	for i := range d.members {
		if d.members[i].ID == m.ID {
			d.members[i], found = m, true
		}
	}
	if !found {
		d.members = append(d.members, m)
	}
	d.revision++
	d.changes[d.revision] = m
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.note("discovery lists %s as %s", m.ID, m.Phase)
}

// member returns an entry of the list.
func (d *discovery) member(i int) member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[i]
}

// setQuietly changes a member; announce then tells the changes.
func (d *discovery) setQuietly(m member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID == m.ID {
			d.members[i] = m
		}
	}
	d.revision++
	d.changes[d.revision] = m
}

func (d *discovery) announce() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// since returns the whole list, or the changes after a revision, and a channel that is closed at the next change.
func (d *discovery) since(revision int) (list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < 0 {
		return list{d.revision, true, append([]member(nil), d.members...)}, d.changed
	}
	delta := list{Revision: d.revision, Members: []member{}}
	for r := revision + 1; r <= d.revision; r++ {
		if m, ok := d.changes[r]; ok {
			delta.Members = append(delta.Members, m)
		}
	}
	return delta, d.changed
}

func (d *discovery) serve(out http.ResponseWriter, request *http.Request) {
	d.w.note("discovery is called: %s", request.URL)
	if d.turnAway(out) {
		return
	}
	if wait := time.Duration(d.delay.Load()); wait > 0 {
		time.Sleep(wait)
	}
	query := request.URL.Query()
	revision := -1
	if text := query.Get("index"); text != "" {
		_ = json.Unmarshal([]byte(text), &revision)
	}
	objects := json.NewEncoder(out)
	if query.Get("stream") == "" {
		whole, _ := d.since(-1)
		_ = objects.Encode(whole)
		return
	}
	flusher := out.(http.Flusher)
	for first := true; ; first = false {
		current, changed := d.since(revision)
		if first || len(current.Members) > 0 {
			if objects.Encode(current) != nil {
				return
			}
		} else if _, err := out.Write([]byte("\r\n")); err != nil {
			return
		}
		revision = current.Revision
		flusher.Flush()
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// newFleet starts servers and returns them with their entries in the list.
func (w *world) newFleet(names ...string) (servers []*server, members []member) {
	for i, name := range names {
		s := w.newServer(name)
		servers = append(servers, s)
		members = append(members, member{ID: name, HostPort: s.addr(), Locality: "a", Flavor: "m", Cell: i / 4, Phase: "SERVING", Size: 1})
	}
	return servers, members
}
