package protocol

import (
	"context"
	"errors"
	"sync"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	firstLineWithin = 5 * time.Second // a client that says nothing holds two descriptors
	pingWithin      = time.Minute     // whoever asked whether we live may keep the connection to ask again
	refuseWithin    = time.Second
	drainStep       = 20 * time.Millisecond
)

// Front serves the clients' connections.
type Front struct {
	router  *routing.Router
	connect time.Duration // a handshake that takes longer finds nobody

	ctx    context.Context // ends what waits when the balancer must stop
	cancel context.CancelFunc

	mu       sync.Mutex
	standing []*session // those not yet asked to move
}

func NewFront(r *routing.Router, connect time.Duration) *Front {
	f := &Front{router: r, connect: connect}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Serve takes one client's connection from its first line to its end.
func (f *Front) Serve(client *transport.Conn) {
	line, err := f.firstLine(client, firstLineWithin)
	if err != nil {
		return
	}
	s := &session{front: f, client: client, line: line, up: make(chan struct{})}
	s.run()
}

// Refuse tells one client to come again, as there is no descriptor left for a server's connection.
func (f *Front) Refuse(client *transport.Conn) {
	if _, err := f.firstLine(client, refuseWithin); err == nil {
		_ = writeLine(client, "BUSY") // its client may be gone
		client.Finish()
	}
}

// firstLine answers PING until something else comes. A bad line gets one line back, and the connection is closed.
func (f *Front) firstLine(client *transport.Conn, within time.Duration) (string, error) {
	defer context.AfterFunc(f.ctx, func() { client.ReadBy(time.Unix(1, 0)) })()
	for {
		client.ReadBy(time.Now().Add(within))
		line, err := readLine(client)
		if err == nil && line == "PING" {
			if err = writeLine(client, "PONG"); err == nil {
				within = max(within, pingWithin)
				continue
			}
		}
		switch {
		case err == nil:
			client.ReadBy(time.Time{})
			return line, nil
		case errors.Is(err, transport.ErrTooLong):
			_ = writeLine(client, "ERR line too long")
			client.Finish()
		case client.Pending(): // it said something, if not a whole line
			_ = writeLine(client, "ERR no line")
			client.Finish()
		default:
			client.Close()
		}
		return "", err
	}
}

// add and drop keep the book of standing connections, which Drain asks to move.
func (f *Front) add(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.place = len(f.standing)
	f.standing = append(f.standing, s)
}

func (f *Front) drop(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(s)
}

func (f *Front) remove(s *session) {
	if s.place < 0 {
		return
	}
	last := len(f.standing) - 1
	f.standing[s.place] = f.standing[last]
	f.standing[s.place].place = s.place
	f.standing[last] = nil
	f.standing, s.place = f.standing[:last], -1
}

// Drain asks all clients to come again, spread evenly over the time there is: all at once they would fall together
// on the other balancers and on what all set-ups share. Those that come meanwhile are served and asked in turn. It
// returns when the context ends.
func (f *Front) Drain(ctx context.Context, over time.Duration) {
	start, owed := time.Now(), 0.0
	step := time.NewTicker(drainStep)
	defer step.Stop()
	for {
		f.mu.Lock()
		if left := over - time.Since(start); left > drainStep {
			owed += float64(len(f.standing)) * float64(drainStep) / float64(left)
		} else {
			owed = float64(len(f.standing))
		}
		var moved []*session
		for ; owed >= 1 && len(f.standing) > 0; owed-- {
			moved = append(moved, f.standing[0])
			f.remove(f.standing[0])
		}
		f.mu.Unlock()
		for _, s := range moved {
			s.flow.Move()
		}
		select {
		case <-ctx.Done():
			return
		case <-step.C:
		}
	}
}

// Stop ends what still waits for an answer, with one.
func (f *Front) Stop() { f.cancel() }
