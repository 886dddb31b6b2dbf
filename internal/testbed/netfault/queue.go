package netfault

import (
	"sync"
	"time"
)

const maxQueuedBytes = 256 << 10 // per direction of a stream; when the queue is full, its sender waits

// closeKind says whether and how a chunk ends its direction of a stream.
type closeKind int

const (
	notClosed     closeKind = iota
	orderlyClose            // end of file
	abortiveClose           // the sender's connection was reset
)

// chunk is a part of a stream in transit.
type chunk struct {
	due     time.Time
	bytes   []byte
	closing closeKind
}

// deliveryQueue holds the chunks of one direction of a stream. They are delivered in order, each once it is due and the path is open.
type deliveryQueue struct {
	direction *direction
	added     chan struct{} // receives an item when a chunk is added
	removed   chan struct{} // receives an item when a chunk is removed

	mu      sync.Mutex
	chunks  []chunk
	size    int // bytes
	lastDue time.Time
}

func newDeliveryQueue(d *direction) *deliveryQueue {
	return &deliveryQueue{direction: d, added: make(chan struct{}, 1), removed: make(chan struct{}, 1)}
}

// notify wakes up the goroutine that waits on a channel of capacity 1.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a notification is pending already
	}
}

// put adds a chunk. It waits while the queue is full, unless the chunk is the last one.
func (q *deliveryQueue) put(bytes []byte, closing closeKind, closed <-chan struct{}) {
	result := q.direction.streamChunk(len(bytes), time.Now())
	if result.corrupted {
		corrupt(bytes)
	}
	for !q.tryPut(chunk{result.due, bytes, closing}) {
		select {
		case <-q.removed:
		case <-closed:
			return
		}
	}
	notify(q.added)
}

func (q *deliveryQueue) tryPut(c chunk) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.size >= maxQueuedBytes && c.closing == notClosed {
		return false
	}
	if c.due.Before(q.lastDue) { // jitter doesn't reorder a stream
		c.due = q.lastDue
	}
	q.lastDue = c.due
	q.chunks = append(q.chunks, c)
	q.size += len(c.bytes)
	return true
}

// run delivers chunks until the last one, an error or the end of the stream.
func (q *deliveryQueue) run(closed <-chan struct{}, deliver func([]byte) error, end func(closeKind)) {
	for {
		next, ok := q.first(closed)
		if !ok || !waitUntil(next.due, closed) || !q.waitUntilOpen(closed) {
			return
		}
		q.removeFirst()
		if next.closing != notClosed {
			end(next.closing)
			return
		}
		if deliver(next.bytes) != nil { // the receiver has closed its connection; the goroutine that reads from it finds out how
			return
		}
	}
}

// first waits for a chunk and returns it without removing it.
func (q *deliveryQueue) first(closed <-chan struct{}) (chunk, bool) {
	for {
		q.mu.Lock()
		if len(q.chunks) > 0 {
			defer q.mu.Unlock()
			return q.chunks[0], true
		}
		q.mu.Unlock()
		select {
		case <-q.added:
		case <-closed:
			return chunk{}, false
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
	q.size -= len(q.chunks[0].bytes)
	q.chunks = q.chunks[1:]
	q.mu.Unlock()
	notify(q.removed)
}
