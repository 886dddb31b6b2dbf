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

// server is a stand-in server: it answers each OPEN with UP and echoes lines. One that drains answers BUSY.
type server struct {
	id      string
	address string
	log     func(format string, a ...any)
	drains  atomic.Bool // it turns away what is new
	opens   atomic.Int64

	listener net.Listener

	mu    sync.Mutex
	times []time.Time // of OPEN lines
	ids   map[string]int
	conns map[net.Conn]bool
}

func startServer(id string, log func(string, ...any)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, address: l.Addr().String(), log: log, listener: l, ids: map[string]int{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *server) member() member {
	return member{ID: s.id, HostPort: s.address, Locality: "a", Flavor: "m", Phase: "SERVING", Size: 1}
}

// stop ends the server and its connections.
func (s *server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("server %s stops with %d connections", s.id, len(s.conns))
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		answer := line // an echo
		if first {
			fields := strings.Fields(line)
			switch {
			case len(fields) == 4 && fields[0] == "OPEN":
				s.mu.Lock()
				s.times = append(s.times, time.Now())
				s.ids[fields[1]]++
				s.mu.Unlock()
				n := s.opens.Add(1)
				s.log("server %s: %s", s.id, line)
				answer = fmt.Sprintf("UP %s-%d", s.id, n)
				if s.drains.Load() {
					answer = "BUSY"
				}
			case line == "PING" || line == "STATS":
				answer = "NO"
			default:
				answer = "SYNTAX"
			}
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n", answer); err != nil {
			return
		}
		if answer == "NO" || answer == "SYNTAX" || answer == "BUSY" {
			return
		}
	}
}

// client is a client's connection.
type client struct {
	id   string
	conn net.Conn
	in   *bufio.Reader

	moved, ended atomic.Bool // set by keepTalking
}

func dialClient(address, id string, limit time.Duration) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	return &client{id: id, conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *client) send(format string, a ...any) error {
	_, err := fmt.Fprintf(c.conn, format+"\r\n", a...)
	return err
}

// read waits for one line; the error says why there is none.
func (c *client) read(limit time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

func (c *client) close() { _ = c.conn.Close() }

// open connects, sends an OPEN line and waits for the answer.
func open(address, id, list string, limit time.Duration) (*client, string, error) {
	c, err := dialClient(address, id, limit)
	if err != nil {
		return nil, "", err
	}
	if err := c.send("OPEN %s key-%s %s", id, id, list); err != nil {
		c.close()
		return nil, "", err
	}
	answer, err := c.read(limit)
	if err != nil || !strings.HasPrefix(answer, "UP ") {
		c.close()
		return nil, answer, err
	}
	return c, answer, nil
}
