package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	stubHeartbeat   = 2 * time.Second // on watches
	stubServerCount = 8               // addresses that the listed servers share
	lineBufferBytes = 256
)

func realZone(i int) string { return fmt.Sprintf("z-%02d", i) }

// stubDiscovery serves a list. Each new watch receives the full list and then its changes.
type stubDiscovery struct {
	listener  net.Listener
	server    *http.Server
	running   sync.WaitGroup
	addresses []string
	zones     int

	mu       sync.Mutex
	revision int
	members  []listEntry
	watches  map[chan []byte]bool
}

func openStubDiscovery(ctx context.Context, addresses []string, servers, zones int) (*stubDiscovery, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.78.1.2:0")
	if err != nil {
		return nil, &ProcessError{What: "the discovery stub can't listen", Remedy: "stop other runs", Err: err}
	}
	l := &stubDiscovery{listener: listener, addresses: addresses, zones: zones, revision: 1, watches: map[chan []byte]bool{}}
	for range servers {
		l.members = append(l.members, l.nextEntry())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", l.serveHosts)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	l.running.Go(func() { _ = l.server.Serve(listener) }) // returns when close closes the server
	return l, nil
}

func (l *stubDiscovery) address() string { return l.listener.Addr().String() }

// nextEntry returns the next server to list. Its id is a multiplicative hash of its number, so that ids are spread over
// the range of 32 bits.
func (l *stubDiscovery) nextEntry() listEntry {
	n := len(l.members)
	return listEntry{
		ID:       fmt.Sprintf("s-%08x", uint32(n)*2654435761),
		HostPort: l.addresses[n%len(l.addresses)],
		Locality: realZone(n % l.zones),
		Flavor:   "m2",
		Cell:     n % 16,
		Phase:    "SERVING",
		Size:     1,
	}
}

func (l *stubDiscovery) lastName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members[len(l.members)-1].ID
}

func (l *stubDiscovery) encode(o listObject) []byte {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // the type has only strings, numbers and booleans
	}
	return append(text, '\n')
}

// fullList returns the current list.
func (l *stubDiscovery) fullList() listObject {
	l.mu.Lock()
	defer l.mu.Unlock()
	return listObject{l.revision, true, slices.Clone(l.members)}
}

// addServer adds a server to the list, publishes the change and returns the server's name. The balancer's admin API
// accepts the server once the change is in force.
func (l *stubDiscovery) addServer() (name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.nextEntry()
	l.members = append(l.members, m)
	l.publishChange(m)
	return m.ID
}

// toggleCell publishes a change of one server's cell.
func (l *stubDiscovery) toggleCell(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &l.members[i%len(l.members)]
	m.Cell = (m.Cell + 1) % 16
	l.publishChange(*m)
}

// publishChange publishes one entry. The caller holds the mutex.
func (l *stubDiscovery) publishChange(m listEntry) {
	l.revision++
	l.broadcast(l.encode(listObject{l.revision, false, []listEntry{m}}))
}

// publishFullList adds a server to the list, publishes the full list and returns the server's name.
func (l *stubDiscovery) publishFullList() (name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.nextEntry()
	l.members = append(l.members, m)
	l.revision++
	l.broadcast(l.encode(listObject{l.revision, true, l.members}))
	return m.ID
}

func (l *stubDiscovery) broadcast(text []byte) {
	for w := range l.watches {
		w <- text
	}
}

func (l *stubDiscovery) serveHosts(w http.ResponseWriter, q *http.Request) {
	updates := make(chan []byte, 1024)
	l.mu.Lock()
	first := l.encode(listObject{l.revision, true, l.members})
	if q.FormValue("stream") == "1" {
		l.watches[updates] = true
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watches, updates)
	}()
	out := http.NewResponseController(w)
	if _, err := w.Write(first); err != nil || out.Flush() != nil || q.FormValue("stream") != "1" {
		return
	}
	heartbeat := time.NewTicker(stubHeartbeat)
	defer heartbeat.Stop()
	for {
		text := []byte("\n")
		select {
		case <-q.Context().Done():
			return
		case text = <-updates:
		case <-heartbeat.C:
		}
		if _, err := w.Write(text); err != nil || out.Flush() != nil {
			return
		}
	}
}

func (l *stubDiscovery) close() {
	_ = l.server.Close() // the watches are no longer read
	l.running.Wait()
}

// stubServers are the servers of the list, which share a few addresses.
type stubServers struct {
	listeners []net.Listener
	running   sync.WaitGroup

	mu          sync.Mutex
	connections map[net.Conn]bool // open connections
	closed      bool
}

func openStubServers(ctx context.Context) (*stubServers, error) {
	s := &stubServers{connections: map[net.Conn]bool{}}
	for i := range stubServerCount {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("127.77.0.%d:0", i+1))
		if err != nil {
			s.close()
			return nil, &ProcessError{What: "a server stub can't listen", Remedy: "stop other runs", Err: err}
		}
		s.listeners = append(s.listeners, l)
		s.running.Go(func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				s.running.Go(func() { s.serve(c) })
			}
		})
	}
	return s, nil
}

func (s *stubServers) addresses() (list []string) {
	for _, l := range s.listeners {
		list = append(list, l.Addr().String())
	}
	return list
}

// serve answers each line of a connection with one line.
func (s *stubServers) serve(c net.Conn) {
	if !s.add(c) {
		return
	}
	defer s.drop(c)
	r := bufio.NewReaderSize(c, lineBufferBytes)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		answer := "OK\r\n"
		if strings.HasPrefix(line, "OPEN ") {
			answer = "UP 1\r\n"
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (s *stubServers) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return false
	}
	s.connections[c] = true
	return true
}

func (s *stubServers) drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	_ = c.Close()
}

// deliver sends lines at a rate per second, on all connections in turn, until ctx ends. It returns how many it sent.
func (s *stubServers) deliver(ctx context.Context, rate float64, line []byte) (sent int, err error) {
	s.mu.Lock()
	var all []net.Conn
	for c := range s.connections {
		all = append(all, c)
	}
	s.mu.Unlock()
	if len(all) == 0 {
		return 0, &ProcessError{What: "no connection to deliver lines on", Remedy: "use at least one connection"}
	}
	start := time.Now()
	for step := time.NewTicker(10 * time.Millisecond); ; {
		select {
		case <-ctx.Done():
			step.Stop()
			return sent, nil
		case <-step.C:
		}
		for due := int(time.Since(start).Seconds() * rate); sent < due; sent++ {
			if _, err := all[sent%len(all)].Write(line); err != nil {
				step.Stop()
				return sent, fmt.Errorf("sending a line to a client: %w", err)
			}
		}
	}
}

func (s *stubServers) close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.connections {
		_ = c.Close()
	}
	s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.running.Wait()
}

var errNotEstablished = errors.New("the connection was not established")
