package netfault

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	retransmitDelay = 200 * time.Millisecond // a lost piece of a stream arrives this much later: TCP's shortest retransmission timeout
	reorderDelay    = 20 * time.Millisecond  // an overtaken datagram arrives this much later
	maxStreamLoss   = 0.9                    // share of lost pieces, so that retransmission ends
	corruptionMask  = 0x5a                   // is xored to each byte of a corrupted piece
)

// direction is one of the two directions of a path between two endpoints.
type direction struct {
	mu         sync.Mutex
	condition  Condition
	changed    chan struct{} // closed, and replaced, with each change of the condition
	random     *rand.Rand
	linkFreeAt time.Time // when a link of limited rate has sent all that it was given
	passed     int       // datagrams, and pieces of streams
	lost       int       // datagrams
}

func newDirection(seed uint64, from, to Endpoint) *direction {
	const fnvPrime = 1099511628211
	hash := seed // random draws of a direction depend on its name alone, not on the order in which directions are made
	for _, c := range string(from) + ">" + string(to) {
		hash = (hash ^ uint64(c)) * fnvPrime
	}
	return &direction{changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, hash))}
}

func (d *direction) set(c Condition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.condition = c
	close(d.changed)
	d.changed = make(chan struct{})
}

// current is the condition, and a channel that is closed when it changes.
func (d *direction) current() (Condition, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.condition, d.changed
}

// delivery is what becomes of a datagram or of a piece of a stream.
type delivery struct {
	due       time.Time
	copies    int // 0: lost
	corrupted bool
}

// datagram draws what becomes of a datagram of so many bytes. The order of the draws is part of a seed's meaning.
func (d *direction) datagram(bytes int, now time.Time) delivery {
	d.mu.Lock()
	defer d.mu.Unlock()
	result := d.schedule(bytes, now)
	c := d.condition
	if c.blocksTraffic() || d.draw(c.Loss) {
		d.lost++
		result.copies = 0
		return result
	}
	if d.draw(c.Duplicate) {
		result.copies = 2
	}
	if d.draw(c.Reorder) {
		result.due = result.due.Add(reorderDelay)
	}
	return result
}

// streamPiece draws what becomes of a piece of a stream, which is delayed where a datagram would be lost.
func (d *direction) streamPiece(bytes int, now time.Time) delivery {
	d.mu.Lock()
	defer d.mu.Unlock()
	result := d.schedule(bytes, now)
	for d.draw(min(d.condition.Loss, maxStreamLoss)) {
		result.due = result.due.Add(retransmitDelay)
	}
	return result
}

// schedule counts and draws what datagrams and streams have in common. Callers hold the mutex.
func (d *direction) schedule(bytes int, now time.Time) delivery {
	c := d.condition
	d.passed++
	result := delivery{due: now.Add(c.Delay), copies: 1}
	if c.Jitter > 0 {
		result.due = result.due.Add(time.Duration(d.random.Int64N(int64(c.Jitter))))
	}
	if c.Rate > 0 {
		result.due = result.due.Add(d.queueOnLink(bytes, now))
	}
	result.corrupted = d.draw(c.Corruption)
	return result
}

// queueOnLink is how long bytes take on a link of limited rate, with those that were given to it before.
func (d *direction) queueOnLink(bytes int, now time.Time) time.Duration {
	if d.linkFreeAt.Before(now) {
		d.linkFreeAt = now
	}
	transmission := time.Duration(float64(bytes) / float64(d.condition.Rate) * float64(time.Second))
	d.linkFreeAt = d.linkFreeAt.Add(transmission)
	return d.linkFreeAt.Sub(now)
}

// draw is true in the share of cases that is asked for. A share of 0 draws nothing.
func (d *direction) draw(share float64) bool { return share > 0 && d.random.Float64() < share }

func corrupt(bytes []byte) {
	for i := range bytes {
		bytes[i] ^= corruptionMask
	}
}
