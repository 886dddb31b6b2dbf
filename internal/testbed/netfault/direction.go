package netfault

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	retransmitDelay = 200 * time.Millisecond // added for a lost chunk of a stream: TCP's minimum retransmission timeout
	reorderDelay    = 20 * time.Millisecond  // added for a reordered datagram
	maxStreamLoss   = 0.9                    // limit on the loss probability of chunks, so that retransmissions end
	corruptionMask  = 0x5a                   // XORed with each byte of corrupted data
)

// direction is one of the two directions between a pair of endpoints.
type direction struct {
	mu         sync.Mutex
	condition  Condition
	changed    chan struct{} // closed and replaced when the condition changes
	random     *rand.Rand
	linkFreeAt time.Time // when the rate-limited link has sent all queued bytes
	sent       int       // number of datagrams and chunks of streams, including lost ones
	lost       int       // number of lost datagrams
}

func newDirection(seed uint64, from, to Endpoint) *direction {
	const fnvPrime = 1099511628211
	hash := seed // derived from the endpoints, so that draws don't depend on the order in which directions are created
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

// current returns the condition and a channel that is closed when it changes.
func (d *direction) current() (Condition, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.condition, d.changed
}

// delivery says when and how a datagram or a chunk of a stream is delivered.
type delivery struct {
	due       time.Time
	copies    int // 0: lost
	corrupted bool
}

// datagram draws the delivery of a datagram of the given size. The order of the draws must not change, so that a seed gives the same run
// in every build.
func (d *direction) datagram(bytes int, now time.Time) delivery {
	d.mu.Lock()
	defer d.mu.Unlock()
	result := d.schedule(bytes, now)
	c := d.condition
	if c.blocksTraffic() || d.chance(c.Loss) {
		d.lost++
		result.copies = 0
		return result
	}
	if d.chance(c.Duplicate) {
		result.copies = 2
	}
	if d.chance(c.Reorder) {
		result.due = result.due.Add(reorderDelay)
	}
	return result
}

// streamChunk draws the delivery of a chunk of a stream, which is delayed where a datagram would be lost.
func (d *direction) streamChunk(bytes int, now time.Time) delivery {
	d.mu.Lock()
	defer d.mu.Unlock()
	result := d.schedule(bytes, now)
	for d.chance(min(d.condition.Loss, maxStreamLoss)) {
		result.due = result.due.Add(retransmitDelay)
	}
	return result
}

// schedule draws the part of a delivery that is the same for datagrams and streams, and counts it. Callers hold the mutex.
func (d *direction) schedule(bytes int, now time.Time) delivery {
	c := d.condition
	d.sent++
	result := delivery{due: now.Add(c.Delay), copies: 1}
	if c.Jitter > 0 {
		result.due = result.due.Add(time.Duration(d.random.Int64N(int64(c.Jitter))))
	}
	if c.Rate > 0 {
		result.due = result.due.Add(d.linkDelay(bytes, now))
	}
	result.corrupted = d.chance(c.Corruption)
	return result
}

// linkDelay queues bytes on the rate-limited link and returns the time until they have been sent, after all that were queued before.
func (d *direction) linkDelay(bytes int, now time.Time) time.Duration {
	if d.linkFreeAt.Before(now) {
		d.linkFreeAt = now
	}
	transmission := time.Duration(float64(bytes) / float64(d.condition.Rate) * float64(time.Second))
	d.linkFreeAt = d.linkFreeAt.Add(transmission)
	return d.linkFreeAt.Sub(now)
}

// chance returns true with the given probability. A probability of 0 uses no random number.
func (d *direction) chance(probability float64) bool {
	return probability > 0 && d.random.Float64() < probability
}

func corrupt(bytes []byte) {
	for i := range bytes {
		bytes[i] ^= corruptionMask
	}
}
