package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server. It answers OPEN with UP and each later line with that line, at once.
type server struct {
	w        *world
	name     string
	listener net.Listener
	hung     atomic.Bool // it accepts and reads, and answers nothing more
	receipts atomic.Int64

	mu       sync.Mutex
	opens    []string // the OPEN lines received
	openedAt []time.Time
	conns    map[net.Conn]string
}

func (w *world) newServer(name string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	s := &server{w: w, name: name, listener: l, conns: map[net.Conn]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) addr() string { return s.listener.Addr().String() }

// openCount returns the number of connections whose client is established or waits.
func (s *server) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// sendOnce sends a line on one open connection and reports whether there is one.
func (s *server) sendOnce(line string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_, _ = fmt.Fprintf(c, "%s\r\n", line)
		return true
	}
	return false
}

// cutAll resets all open connections, as a process that dies does.
func (s *server) cutAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			if !first {
				s.w.note("server %s: connection ended: %v", s.name, err)
			}
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "PING" || line == "STATS" {
			if !s.hung.Load() {
				_, _ = fmt.Fprintf(c, "PONG x0=0.1,qps=1,inflight=1\r\n")
			}
			continue
		}
		if first {
			s.mu.Lock()
			s.opens, s.openedAt = append(s.opens, line), append(s.openedAt, time.Now())
			s.conns[c] = line
			s.mu.Unlock()
			s.w.note("server %s receives %q", s.name, line)
			if s.hung.Load() {
				s.w.note("server %s does not answer", s.name)
				continue
			}
			n := s.receipts.Add(1)
			s.w.note("server %s answers UP %s-%d", s.name, s.name, n)
			_, _ = fmt.Fprintf(c, "UP %s-%d\r\n", s.name, n)
			continue
		}
		if s.hung.Load() {
			continue
		}
		_, _ = fmt.Fprintf(c, "%s\r\n", line)
	}
}
