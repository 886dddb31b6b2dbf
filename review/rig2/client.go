package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// client is one connection of a client, from its OPEN line to its end.
type client struct {
	w      *world
	id     string
	conn   net.Conn
	sentAt time.Time     // of the OPEN line
	reply  chan struct{} // closed with the first line or the end of the connection
	ended  chan struct{} // closed once the connection has ended

	mu        sync.Mutex
	first     string // the first line; empty: the connection ended without one
	firstAt   time.Time
	moved     bool
	endedAt   time.Time
	endErr    error
	lines     int       // sent
	echoes    int       // received
	waitSince time.Time // when the oldest unanswered line was sent; zero: there is none
	longest   time.Duration
	movedAt   time.Time
}

// open connects to a balancer and sends an OPEN line.
func (w *world) open(addr, class string, d time.Duration, more string) *client {
	id := newID()
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d%s", id, newID(), class, d.Milliseconds(), more)
	c := &client{w: w, id: id[:6], reply: make(chan struct{}), ended: make(chan struct{})}
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		c.endErr, c.endedAt, c.sentAt = err, time.Now(), time.Now()
		w.note("client %s can't connect: %v", c.id, err)
		close(c.reply)
		close(c.ended)
		return c
	}
	c.conn = conn
	c.sentAt = time.Now()
	_, _ = fmt.Fprintf(conn, "%s\r\n", line)
	w.note("client %s sends %q", c.id, line)
	go c.read()
	return c
}

func (c *client) read() {
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		now := time.Now()
		c.mu.Lock()
		if err != nil {
			c.endErr, c.endedAt = err, now
			isFirst := c.firstAt.IsZero()
			moved := c.moved
			c.mu.Unlock()
			if isFirst {
				close(c.reply)
			}
			c.w.note("client %s: connection ended after %.3f s (moved: %v): %v", c.id, now.Sub(c.sentAt).Seconds(), moved, err)
			_ = c.conn.Close()
			close(c.ended)
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case c.firstAt.IsZero():
			c.first, c.firstAt = line, now
			c.w.note("client %s receives %q after %.3f s", c.id, line, now.Sub(c.sentAt).Seconds())
			close(c.reply)
		case line == "MOVE":
			c.moved, c.movedAt = true, now
			c.w.note("client %s receives MOVE", c.id)
		case strings.HasPrefix(line, "LOAD "):
		default:
			c.echoes++
			if !c.waitSince.IsZero() {
				c.longest = max(c.longest, now.Sub(c.waitSince))
				c.waitSince = time.Time{}
			}
		}
		c.mu.Unlock()
	}
}

// say sends a line every interval until the connection ends.
func (c *client) say(interval time.Duration) {
	for {
		c.mu.Lock()
		if c.waitSince.IsZero() {
			c.waitSince = time.Now()
		}
		c.lines++
		n := c.lines
		c.mu.Unlock()
		if _, err := fmt.Fprintf(c.conn, "M %s %d\r\n", c.id, n); err != nil {
			return
		}
		select {
		case <-c.ended:
			return
		case <-time.After(interval):
		}
	}
}

// movedOrEndedAt returns when the client was asked to move, or else when its connection ended. The caller holds mu.
func (c *client) movedOrEndedAt() time.Time {
	if c.moved {
		return c.movedAt
	}
	return c.endedAt
}

// await waits for the first line or the end of the connection.
func (c *client) await(limit time.Duration) (line string, answered bool) {
	select {
	case <-c.reply:
	case <-time.After(limit):
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first, true
}

func (c *client) isUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.HasPrefix(c.first, "UP ")
}

func (c *client) wasMoved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved
}

func (c *client) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// wasCut reports whether an established connection ended without MOVE.
func (c *client) wasCut() bool { return c.isUp() && c.hasEnded() && !c.wasMoved() }

func (c *client) leave() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// ping sends PING on a new connection and returns the answer; empty: none within the limit.
func (w *world) ping(addr string, limit time.Duration) string {
	conn, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	_, _ = io.WriteString(conn, "PING\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return ""
	}
	return strings.TrimRight(line, "\r\n")
}

// groupAt opens connections of new groups until one is placed at a server, and returns its group.
func (w *world) groupAt(b *balancer, s *server, class string, d time.Duration) string {
	for range 100 {
		group := newID()
		before := s.openCount()
		c := w.open(b.listen, class, d, ",g="+group)
		c.await(4 * time.Second)
		if c.isUp() && s.openCount() > before {
			go c.say(2 * time.Second)
			return group
		}
		c.leave()
		time.Sleep(50 * time.Millisecond)
	}
	w.fail("no group is placed at %s", s.name)
	return ""
}
