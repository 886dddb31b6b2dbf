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
	concurrentDialers = 8 // goroutines that open connections
	openAttempts      = 5
	lineTimeout       = 10 * time.Second
	clientTimeout     = 3 * time.Second // for the answer to a client; so short that the timers of its flow end before a measurement
	lineSettlingTime  = 2 * time.Second // until the timers that the balancer started for lines have ended
)

// stubClients are clients that hold connections through a balancer.
type stubClients struct {
	address       string
	groups        int
	nextID        atomic.Int64
	migrated      atomic.Int64 // MOVE lines received
	ended         atomic.Int64 // connections that ended
	linesReceived atomic.Int64 // on established connections

	mu      sync.Mutex
	conns   []net.Conn
	running sync.WaitGroup
}

// openUpTo opens connections until total are open.
func (c *stubClients) openUpTo(ctx context.Context, total int) error {
	errs := make(chan error, concurrentDialers)
	var left atomic.Int64
	left.Store(int64(total - c.openCount()))
	for range concurrentDialers {
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
	for range concurrentDialers {
		all = errors.Join(all, <-errs)
	}
	return all
}

func (c *stubClients) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// open establishes one more connection, with retries if the balancer rejects it.
func (c *stubClients) open(ctx context.Context) error {
	var last string
	for range openAttempts {
		conn, answer, err := c.attempt(ctx)
		if err != nil {
			return &ProcessError{What: "a client can't connect", Remedy: "check that the balancer runs, and its descriptor limit", Err: err}
		}
		if conn != nil {
			c.mu.Lock()
			c.conns = append(c.conns, conn.Conn)
			c.mu.Unlock()
			c.running.Go(func() { c.readLines(conn) })
			return nil
		}
		last = answer
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return &ProcessError{
		What:   "the balancer answered a client with " + last,
		Remedy: "use fewer connections, or check the descriptor limits",
		Err:    errNotEstablished,
	}
}

type clientConn struct {
	net.Conn
	lines *bufio.Reader
}

func (c *stubClients) attempt(ctx context.Context) (*clientConn, string, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, "", err
	}
	n := c.nextID.Add(1)
	_ = conn.SetDeadline(time.Now().Add(lineTimeout))
	fields := fmt.Sprintf("c=%s,d=%d,g=g-%d", realService, clientTimeout.Milliseconds(), n%int64(c.groups))
	if _, err = fmt.Fprintf(conn, "OPEN id-%d k-%d %s\r\n", n, n, fields); err != nil {
		_ = conn.Close()
		return nil, "", err
	}
	lines := bufio.NewReaderSize(conn, lineBufferBytes)
	answer, err := lines.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "UP") {
		_ = conn.Close()
		return nil, strings.TrimSpace(answer), err
	}
	_ = conn.SetDeadline(time.Time{})
	return &clientConn{conn, lines}, "", nil
}

// readLines reads and counts lines until the connection ends.
func (c *stubClients) readLines(conn *clientConn) {
	for {
		line, err := conn.lines.ReadSlice('\n')
		if err != nil {
			c.ended.Add(1)
			_ = conn.Close()
			return
		}
		if strings.HasPrefix(string(line), "MOVE") {
			c.migrated.Add(1)
		}
		c.linesReceived.Add(1)
	}
}

// exchangeLines sends one line from each client and waits for the answers. It keeps the connections open: a client that
// is silent for half a minute counts as disconnected.
func (c *stubClients) exchangeLines(ctx context.Context) error {
	c.mu.Lock()
	conns := c.conns
	c.mu.Unlock()
	if len(conns) == 0 {
		return nil
	}
	expected := c.linesReceived.Load() + int64(len(conns)) - c.ended.Load()
	for _, conn := range conns {
		_, _ = conn.Write([]byte("HELLO\r\n")) // a client that was asked to migrate may be disconnected
	}
	ctx, cancel := context.WithTimeout(ctx, lineTimeout)
	defer cancel()
	for c.linesReceived.Load() < expected {
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return &ProcessError{What: "lines of clients were not answered in time", Remedy: "run fewer things at once", Err: err}
		}
	}
	return pause(ctx, lineSettlingTime)
}

func (c *stubClients) close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.running.Wait()
}
