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
	standInHeartbeat = 2 * time.Second // of discovery's watches
	standInAddresses = 8               // addresses that the listed servers share
	standInBuffer    = 256
)

func realZone(i int) string { return fmt.Sprintf("z-%02d", i) }

// standInList is discovery: it has a list, tells it whole to each new watch, and its changes after that.
type standInList struct {
	listener  net.Listener
	server    *http.Server
	addresses []string
	zones     int

	mu       sync.Mutex
	revision int
	members  []listEntry
	watches  map[chan []byte]bool
}

func openStandInList(ctx context.Context, doors []string, servers, zones int) (*standInList, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.78.1.2:0")
	if err != nil {
		return nil, &ProcessError{"discovery can't listen", "end other runs", err}
	}
	l := &standInList{listener: listener, addresses: doors, zones: zones, revision: 1, watches: map[chan []byte]bool{}}
	for range servers {
		l.members = append(l.members, l.next())
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", l.hosts)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(listener) }() // it ends with close
	return l, nil
}

func (l *standInList) address() string { return l.listener.Addr().String() }

// next is the server that is listed next, with names that lie apart as a hash's do.
func (l *standInList) next() listEntry {
	n := len(l.members)
	return listEntry{ID: fmt.Sprintf("s-%08x", uint32(n)*2654435761), HostPort: l.addresses[n%len(l.addresses)], Locality: realZone(n % l.zones), Flavor: "m2",
		Cell: n % 16, Phase: "SERVING", Size: 1}
}

func (l *standInList) lastName() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members[len(l.members)-1].ID
}

func (l *standInList) text(o listObject) []byte {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // of plain fields: it can't be
	}
	return append(text, '\n')
}

// fullUpdate is the list as it is now.
func (l *standInList) fullUpdate() listObject {
	l.mu.Lock()
	defer l.mu.Unlock()
	return listObject{l.revision, true, slices.Clone(l.members)}
}

// add lists one more server and tells it as a change; the name is known once the change is in force.
func (l *standInList) add() (name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.next()
	l.members = append(l.members, m)
	l.change(m)
	return m.ID
}

// toggle tells a change of one server's cell.
func (l *standInList) toggle(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &l.members[i%len(l.members)]
	m.Cell = (m.Cell + 1) % 16
	l.change(*m)
}

// change tells one entry; the mutex is held.
func (l *standInList) change(m listEntry) {
	l.revision++
	l.send(l.text(listObject{l.revision, false, []listEntry{m}}))
}

// sendFull tells the whole list again, with one more server on it.
func (l *standInList) sendFull() (name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.next()
	l.members = append(l.members, m)
	l.revision++
	l.send(l.text(listObject{l.revision, true, l.members}))
	return m.ID
}

func (l *standInList) send(text []byte) {
	for w := range l.watches {
		w <- text
	}
}

func (l *standInList) hosts(w http.ResponseWriter, q *http.Request) {
	news := make(chan []byte, 1024)
	l.mu.Lock()
	first := l.text(listObject{l.revision, true, l.members})
	if q.FormValue("stream") == "1" {
		l.watches[news] = true
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watches, news)
	}()
	out := http.NewResponseController(w)
	if _, err := w.Write(first); err != nil || out.Flush() != nil || q.FormValue("stream") != "1" {
		return
	}
	beat := time.NewTicker(standInHeartbeat)
	defer beat.Stop()
	for {
		text := []byte("\n")
		select {
		case <-q.Context().Done():
			return
		case text = <-news:
		case <-beat.C:
		}
		if _, err := w.Write(text); err != nil || out.Flush() != nil {
			return
		}
	}
}

func (l *standInList) close() { _ = l.server.Close() }

// standInServers answer for all listed servers: a few addresses that they share.
type standInServers struct {
	listeners []net.Listener
	parts     sync.WaitGroup

	mu   sync.Mutex
	open map[net.Conn]bool // of those that stand
	over bool
}

func openStandInServers(ctx context.Context) (*standInServers, error) {
	s := &standInServers{open: map[net.Conn]bool{}}
	for i := range standInAddresses {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("127.77.0.%d:0", i+1))
		if err != nil {
			s.close()
			return nil, &ProcessError{"a stand-in server can't listen", "end other runs", err}
		}
		s.listeners = append(s.listeners, l)
		s.parts.Go(func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				s.parts.Go(func() { s.serve(c) })
			}
		})
	}
	return s, nil
}

func (s *standInServers) addresses() (list []string) {
	for _, l := range s.listeners {
		list = append(list, l.Addr().String())
	}
	return list
}

// serve lets a connection stand, and answers each of its lines by one.
func (s *standInServers) serve(c net.Conn) {
	if !s.add(c) {
		return
	}
	defer s.drop(c)
	r := bufio.NewReaderSize(c, standInBuffer)
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

func (s *standInServers) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		_ = c.Close()
		return false
	}
	s.open[c] = true
	return true
}

func (s *standInServers) drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	_ = c.Close()
}

// deliver sends lines on all connections in turn, so many a second, until the context ends. It tells how many were sent.
func (s *standInServers) deliver(ctx context.Context, rate float64, line []byte) (sent int, err error) {
	s.mu.Lock()
	var all []net.Conn
	for c := range s.open {
		all = append(all, c)
	}
	s.mu.Unlock()
	if len(all) == 0 {
		return 0, &ProcessError{What: "no connection to deliver on", Do: "ask for one connection or more"}
	}
	start := time.Now()
	for step := time.NewTicker(10 * time.Millisecond); ; {
		select {
		case <-ctx.Done():
			step.Stop()
			return sent, nil
		case <-step.C:
		}
		for owed := int(time.Since(start).Seconds() * rate); sent < owed; sent++ {
			if _, err := all[sent%len(all)].Write(line); err != nil {
				step.Stop()
				return sent, fmt.Errorf("delivering: %w", err)
			}
		}
	}
}

func (s *standInServers) close() {
	s.mu.Lock()
	s.over = true
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.parts.Wait()
}

var errNotUp = errors.New("a connection did not come up")
