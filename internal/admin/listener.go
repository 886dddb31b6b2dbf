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

// limitedListener limits the open connections: the oldest whose request is not complete is closed for a new one.
// Those with a complete request are answered soon, and are never closed for it.
type limitedListener struct {
	net.Listener

	mu       sync.Mutex // guards the fields below
	waiting  *list.List // of *connection: those whose request is not complete, the oldest first
	inFlight int        // calls that are not answered yet
}

func newLimitedListener(listener net.Listener) *limitedListener {
	return &limitedListener{Listener: listener, waiting: list.New()}
}

// connection is a connection of a limitedListener.
type connection struct {
	net.Conn
	listener *limitedListener
	// In waiting, whose mutex guards it; nil once the request is complete or the connection closed.
	element *list.Element
}

// Accept waits for the next connection. Only a closed listener ends it: it must survive a lack of descriptors, and
// a caller that is gone again.
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
			_ = oldest.Conn.Close() // its caller has not sent a complete request
		}
		return accepted, nil
	}
}

// add adds a connection to those that wait. oldest is the one to be closed for it, if any.
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

// stopWaiting takes a connection off those that wait. The caller holds mu.
func (l *limitedListener) stopWaiting(c *connection) {
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// Close closes the connection, and takes it off those that wait.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	c.listener.stopWaiting(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// beginCall notes that a request is complete. admitted: not too many are in flight. The caller calls endCall
// either way.
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

// connectionOf is the connection of a request; all come from the limitedListener.
func connectionOf(ctx context.Context) *connection {
	return ctx.Value(connectionKey{}).(*connection)
}
