package protocol

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	// From the accept to the end of the line that opens a flow, whatever else is said before: within 3 s whoever says
	// nothing, or PING for ever, is owed an end, and the accept may have come late.
	firstLineWithin = 2 * time.Second
	mostPings       = 16 // on one connection: hundreds at once are no question whether we live
	spentKept       = 4096
	drainStep       = 20 * time.Millisecond
)

// BusyReply is sent to a connection that is closed to free its descriptor: it was promised nothing and may try again.
const BusyReply = "BUSY\r\n"

var (
	errIDTaken = errors.New("this id was another connection's")
	errNoRoom  = errors.New("no descriptor left")
	errNoLine  = errors.New("no whole line in time")
	errPings   = errors.New("too many PINGs")
	errSpoke   = errors.New("spoke before its answer")
	errAway    = errors.New("out of service")
)

// Frontend serves the clients' connections.
type Frontend struct {
	router  *routing.Router
	dialer  transport.Dialer
	connect time.Duration // a handshake that takes longer finds nobody
	again   time.Duration // after which clients refused for want of room come again; 0: they are told none

	ctx    context.Context // ends what waits when the balancer must stop
	cancel context.CancelFunc

	away   atomic.Bool // PING is answered no
	closed atomic.Bool // and what still comes is told to come again

	mu       sync.Mutex
	pass     func(s EstablishedConnection, client, server syscall.Conn) bool // to another process; nil: there is none
	held     int                                                             // sessions not yet ended
	standing []*session                                                      // those not yet asked to move
	ids      map[uint64]struct{}                                             // hashes of the ids of all flows not yet ended, and of the last that were
	spent    []uint64                                                        // the latter, a ring
	oldest   int
	key      []byte                         // of the hashes: clients choose ids, and must not choose which are alike
	asks     func(hash uint64) (taken bool) // another process keeps the ids taken since; nil: none does
}

// NewFrontend makes one that gives a server so long to come up, and tells clients that are turned away to come again after that long.
func NewFrontend(r *routing.Router, connect, again time.Duration) *Frontend {
	f := &Frontend{router: r, connect: connect, again: again, ids: map[uint64]struct{}{}, key: make([]byte, 16)}
	_, _ = rand.Read(f.key) // it never fails
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Serve takes one client's connection from its first line to its end.
func (f *Frontend) Serve(client *transport.Conn) {
	line, err := f.firstLine(client)
	if err == nil && f.closed.Load() {
		err = errAway
	}
	if err == nil && client.HasUnread() {
		err = errSpoke // whoever does not wait for an answer speaks something else
	}
	if !client.MarkActive() {
		return // it was closed to make room
	}
	if err != nil {
		f.turnAway(client, err)
		return
	}
	s := &session{front: f, client: client, line: line, up: make(chan struct{})}
	f.count(1)
	s.run()
	f.count(-1)
}

func (f *Frontend) count(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held += n
}

// turnAway gives who can't be served one line and an end, however much it still sends. One that went without a word
// has no use for either.
func (f *Frontend) turnAway(client *transport.Conn, err error) {
	switch {
	case errors.Is(err, errNoRoom), errors.Is(err, errAway):
		f.busy(client)
	case errors.Is(err, io.EOF) && !client.HasUnread():
		client.Close()
		return
	default:
		_ = writeLine(client, "ERR %v", err) // its client may be gone, here and below
	}
	client.CloseGracefully()
}

// busy tells a client to come again: nothing was done for it.
func (f *Frontend) busy(client *transport.Conn) {
	if f.again > 0 {
		_ = writeLine(client, "BUSY %d", f.again.Milliseconds())
	} else {
		_ = writeLine(client, "BUSY")
	}
}

// firstLine answers PING until something else comes.
func (f *Frontend) firstLine(client *transport.Conn) (string, error) {
	client.SetReadDeadline(time.Now().Add(firstLineWithin))
	defer context.AfterFunc(f.ctx, func() { client.SetReadDeadline(time.Unix(1, 0)) })()
	for range mostPings {
		line, err := readLine(client)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && f.ctx.Err() != nil:
			return "", errAway // read or not, nothing of it went on
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "", errNoLine
		case err != nil:
			return "", err
		case line != "PING":
			client.SetReadDeadline(time.Time{})
			return line, nil
		}
		answer := "PONG"
		if f.away.Load() {
			answer = "BUSY"
		}
		if err := writeLine(client, "%s", answer); err != nil {
			return "", err
		}
	}
	return "", errPings
}

// ClaimID and end keep the ids of all flows: one that is open is refused the second time, and the first goes on. So is
// one that ended of late, as every connection brings a new id: whoever comes with it read it from another client.
func (f *Frontend) ClaimID(id string) bool {
	f.mu.Lock()
	h, asks := f.hash(id), f.asks
	free := f.take(h)
	f.mu.Unlock()
	if !free || asks == nil || !asks(h) {
		return free
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spend(h) // no flow here will end with it
	return false
}

func (f *Frontend) hash(id string) uint64 {
	sum := sha256.Sum256(append(f.key[:len(f.key):len(f.key)], id...))
	return binary.BigEndian.Uint64(sum[:])
}

// take has an id be taken from now on; the mutex is held.
func (f *Frontend) take(h uint64) bool {
	if _, ok := f.ids[h]; ok {
		return false
	}
	f.ids[h] = struct{}{}
	return true
}

func (f *Frontend) end(id string) {
	if id == "" {
		return // it was another's, or could not be read
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spend(f.hash(id))
}

// spend keeps an id among the last that ended; the mutex is held.
func (f *Frontend) spend(h uint64) {
	if len(f.spent) < spentKept {
		f.spent = append(f.spent, h)
		return
	}
	delete(f.ids, f.spent[f.oldest])
	f.spent[f.oldest] = h
	f.oldest = (f.oldest + 1) % spentKept
}

// ShareIDs tells which ids are taken, by hashes under a key, for another process that takes them over. From then on that one is
// asked for each new one; nil ends it.
func (f *Frontend) ShareIDs(asks func(hash uint64) (taken bool)) (key, ids []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks = asks
	for h := range f.ids {
		ids = binary.BigEndian.AppendUint64(ids, h)
	}
	return f.key, ids
}

// ImportIDs takes them over, before any client is served: as ids that ended, the longest kept.
func (f *Frontend) ImportIDs(key, ids []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.key = key
	for ; len(ids) >= 8; ids = ids[8:] {
		if h := binary.BigEndian.Uint64(ids); f.take(h) {
			f.spend(h)
		}
	}
}

// ClaimHash takes an id for the other process; it tells whether it was taken already.
func (f *Frontend) ClaimHash(h uint64) (taken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.take(h) {
		return true
	}
	f.spend(h)
	return false
}

// SetOutOfService says whether the layer before the balancers is to send here: PING is answered no while it is not. Closed says that
// it had the time to notice, so that whoever comes is told at once to come again.
func (f *Frontend) SetOutOfService(away, closed bool) {
	f.away.Store(away)
	f.closed.Store(closed)
}

// ConnectionCount is how many clients' connections are served now.
func (f *Frontend) ConnectionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// add and drop keep the book of standing connections, which Drain asks to move.
func (f *Frontend) add(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.place = len(f.standing)
	f.standing = append(f.standing, s)
}

func (f *Frontend) drop(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(s)
}

func (f *Frontend) remove(s *session) {
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
// on the other balancers and on what all set-ups share. Those that come meanwhile are served and asked in turn; while
// the layer before the balancers still sends here none is asked, as half of them would come straight back. It returns
// when the context ends.
func (f *Frontend) Drain(ctx context.Context, after, over time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(after):
	}
	over -= after
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
			s.flow.RequestMigration()
		}
		select {
		case <-ctx.Done():
			return
		case <-step.C:
		}
	}
}

// Stop ends what still waits for an answer, with one.
func (f *Frontend) Stop() { f.cancel() }
