package netfault

import (
	"sync"
	"time"
)

const maxQueuedBytes = 256 << 10 // in one direction of a stream; beyond, its sender waits

// closing is how a direction of a stream ends, where a piece is its last.
type closing int

const (
	notClosing    closing = iota
	orderlyClose          // an end of file
	abortiveClose         // its sender was reset
)

// piece is a part of a stream that is on its way.
type piece struct {
	due     time.Time
	bytes   []byte
	closing closing
}

// deliveryQueue carries one direction of a stream. Pieces come out in order, each when it is due and the path is open.
type deliveryQueue struct {
	direction *direction
	added     chan struct{} // has an item after a piece was added
	removed   chan struct{} // has an item after a piece was removed

	mu      sync.Mutex
	pieces  []piece
	size    int // bytes
	lastDue time.Time
}

func newDeliveryQueue(d *direction) *deliveryQueue {
	return &deliveryQueue{direction: d, added: make(chan struct{}, 1), removed: make(chan struct{}, 1)}
}

// notify lets whoever waits on a channel of capacity 1 look again.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it is notified already
	}
}

// put adds a piece. It waits while the queue is full, but a last piece is always taken.
func (q *deliveryQueue) put(bytes []byte, last closing, closed <-chan struct{}) {
	fate := q.direction.streamPiece(len(bytes), time.Now())
	if fate.corrupted {
		corrupt(bytes)
	}
	for !q.tryPut(piece{fate.due, bytes, last}) {
		select {
		case <-q.removed:
		case <-closed:
			return
		}
	}
	notify(q.added)
}

func (q *deliveryQueue) tryPut(p piece) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.size >= maxQueuedBytes && p.closing == notClosing {
		return false
	}
	if p.due.Before(q.lastDue) { // jitter doesn't reorder a stream
		p.due = q.lastDue
	}
	q.lastDue = p.due
	q.pieces = append(q.pieces, p)
	q.size += len(p.bytes)
	return true
}

// run delivers pieces until the last one, an error or the stream's end.
func (q *deliveryQueue) run(closed <-chan struct{}, deliver func([]byte) error, end func(closing)) {
	for {
		next, ok := q.first(closed)
		if !ok || !waitUntil(next.due, closed) || !q.waitUntilOpen(closed) {
			return
		}
		q.removeFirst()
		if next.closing != notClosing {
			end(next.closing)
			return
		}
		if deliver(next.bytes) != nil { // the receiver has ended the stream, and its reader tells how
			return
		}
	}
}

// first waits for a piece and leaves it in the queue.
func (q *deliveryQueue) first(closed <-chan struct{}) (piece, bool) {
	for {
		q.mu.Lock()
		if len(q.pieces) > 0 {
			defer q.mu.Unlock()
			return q.pieces[0], true
		}
		q.mu.Unlock()
		select {
		case <-q.added:
		case <-closed:
			return piece{}, false
		}
	}
}

func waitUntil(due time.Time, closed <-chan struct{}) bool {
	remaining := time.Until(due)
	if remaining <= 0 {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-closed:
		return false
	}
}

func (q *deliveryQueue) waitUntilOpen(closed <-chan struct{}) bool {
	for {
		condition, changed := q.direction.current()
		if !condition.blocksTraffic() {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

func (q *deliveryQueue) removeFirst() {
	q.mu.Lock()
	q.size -= len(q.pieces[0].bytes)
	q.pieces = q.pieces[1:]
	q.mu.Unlock()
	notify(q.removed)
}
