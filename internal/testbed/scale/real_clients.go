package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	standInDialers   = 8 // clients that come up side by side
	standInTries     = 5
	standInLineLimit = 10 * time.Second
	standInWait      = 3 * time.Second // of a client for its answer: what is set for its end is over before a time of quiet
	afterLines       = 2 * time.Second // for what lines leave behind, such as the limits of their writes
)

// standInClients hold connections through a balancer.
type standInClients struct {
	to     string
	groups int
	nextID atomic.Int64
	moved  atomic.Int64 // asked to come again elsewhere
	ended  atomic.Int64
	lines  atomic.Int64 // that came once connections stood

	mu    sync.Mutex
	conns []net.Conn
	parts sync.WaitGroup
}

// grow opens connections until so many are held.
func (c *standInClients) grow(ctx context.Context, to int) error {
	errs := make(chan error, standInDialers)
	var left atomic.Int64
	left.Store(int64(to - c.held()))
	for range standInDialers {
		go func() {
			for left.Add(-1) >= 0 {
				if err := c.open(ctx); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	var all error
	for range standInDialers {
		all = errors.Join(all, <-errs)
	}
	return all
}

func (c *standInClients) held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// open has one more connection stand, after a few tries where it is told to come again.
func (c *standInClients) open(ctx context.Context) error {
	var last string
	for range standInTries {
		conn, answer, err := c.try(ctx)
		if err != nil {
			return &ProcessError{"a client can't connect", "check that it runs, and the limit of descriptors", err}
		}
		if conn != nil {
			c.mu.Lock()
			c.conns = append(c.conns, conn.Conn)
			c.mu.Unlock()
			c.parts.Go(func() { c.follow(conn) })
			return nil
		}
		last = answer
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return &ProcessError{"a client was answered " + last, "ask for fewer connections, or check the limits of descriptors", errNotUp}
}

type clientConn struct {
	net.Conn
	lines *bufio.Reader
}

func (c *standInClients) try(ctx context.Context) (*clientConn, string, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.to)
	if err != nil {
		return nil, "", err
	}
	n := c.nextID.Add(1)
	_ = conn.SetDeadline(time.Now().Add(standInLineLimit))
	if _, err = fmt.Fprintf(conn, "OPEN id-%d k-%d c=%s,d=%d,g=g-%d\r\n", n, n, realService, standInWait.Milliseconds(), n%int64(c.groups)); err != nil {
		_ = conn.Close()
		return nil, "", err
	}
	lines := bufio.NewReaderSize(conn, standInBuffer)
	answer, err := lines.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "UP") {
		_ = conn.Close()
		return nil, strings.TrimSpace(answer), err
	}
	_ = conn.SetDeadline(time.Time{})
	return &clientConn{conn, lines}, "", nil
}

// follow reads what comes until the connection ends.
func (c *standInClients) follow(conn *clientConn) {
	for {
		line, err := conn.lines.ReadSlice('\n')
		if err != nil {
			c.ended.Add(1)
			_ = conn.Close()
			return
		}
		if strings.HasPrefix(string(line), "MOVE") {
			c.moved.Add(1)
		}
		c.lines.Add(1)
	}
}

// speak has each client send one line and waits for the answers: one that says nothing for half a minute counts as gone.
func (c *standInClients) speak(ctx context.Context) error {
	c.mu.Lock()
	conns := c.conns
	c.mu.Unlock()
	if len(conns) == 0 {
		return nil
	}
	want := c.lines.Load() + int64(len(conns)) - c.ended.Load()
	for _, conn := range conns {
		_, _ = conn.Write([]byte("HELLO\r\n")) // it may have been asked to move
	}
	ctx, cancel := context.WithTimeout(ctx, standInLineLimit)
	defer cancel()
	for c.lines.Load() < want {
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return &ProcessError{"its clients' lines were not answered", "run fewer things at once", err}
		}
	}
	return pause(ctx, afterLines)
}

func (c *standInClients) close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.parts.Wait()
}
