package admin

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryInterval is the pause after an accept that failed.
const acceptRetryInterval = 10 * time.Millisecond

// limitedListener limits the open connections: at the limit, a new connection replaces the oldest one whose request is
// incomplete. Connections with a complete request are answered soon, and are never closed for a new one.
type limitedListener struct {
	net.Listener

	mu       sync.Mutex // guards the fields below
	waiting  *list.List // of *connection: those whose request is incomplete, oldest first
	inFlight int        // calls that are not answered yet
}

func newLimitedListener(listener net.Listener) *limitedListener {
	return &limitedListener{Listener: listener, waiting: list.New()}
}

// connection is a connection of a limitedListener.
type connection struct {
	net.Conn
	listener *limitedListener
	// The element in listener.waiting, guarded by listener.mu; nil if the request is complete or the connection closed.
	element *list.Element
}

// Accept waits for the next connection. It fails only if the listener is closed: it retries when descriptors run out,
// or when a caller has already disconnected.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		accepted, oldest := l.add(raw)
		if oldest != nil {
			_ = oldest.Conn.Close() // its request is incomplete
		}
		return accepted, nil
	}
}

// add adds a connection to waiting. oldest is the connection to close in its place, if any.
func (l *limitedListener) add(raw net.Conn) (accepted, oldest *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting.Len() >= maxConnections {
		oldest = l.waiting.Front().Value.(*connection)
		l.stopWaiting(oldest)
	}
	accepted = &connection{Conn: raw, listener: l}
	accepted.element = l.waiting.PushBack(accepted)
	return accepted, oldest
}

// stopWaiting removes a connection from waiting. The caller holds mu.
func (l *limitedListener) stopWaiting(c *connection) {
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// Close closes the connection, and removes it from waiting.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	c.listener.stopWaiting(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// beginCall records that the request on a connection is complete. admitted reports whether the number of calls in
// flight is within the limit. The caller must call endCall in either case.
func (l *limitedListener) beginCall(c *connection) (admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopWaiting(c)
	l.inFlight++
	return l.inFlight <= maxConnections
}

func (l *limitedListener) endCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request; all are from the limitedListener.
func connectionOf(ctx context.Context) *connection {
	return ctx.Value(connectionKey{}).(*connection)
}
