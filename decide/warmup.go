package decide

// Slow start: what a server that started lately may be sent.

import (
	"cmp"
	"time"
)

// warmth is the part of its full capacity that a server can do by now, at the least.
func (b *Balancer) warmth(r *server) float64 { return b.warmthAt(r, b.now) }

func (b *Balancer) warmthAt(r *server, at time.Duration) float64 {
	if age := at - r.since; r.since != LongAgo && age < b.cold.WarmUp {
		return b.cold.InitialCapacity + (1-b.cold.InitialCapacity)*max(0, age.Seconds())/b.cold.WarmUp.Seconds()
	}
	return 1
}

// coldStart: a part of one by chance is due from the first. What came before this balancer heard of the start
// is not: all hear of it at once, and one that starts anew would spend it a second time.
func (b *Balancer) coldStart(r *server, since time.Duration) {
	r.since, r.coldAt, r.coldSent, r.coldDue = since, b.now, 0, b.rng.unit()
}

// coldDue is what a warming server may have got by now, and what of that was spent or has lapsed. It grows by
// the rule's multiple of what would fill the server over the warm-up. The mean stands for a capacity nobody
// tells, half of it where shares tell one: flows weigh unevenly. Unspent, it lapses soon, or a mass
// return would spend it at once. A part of one flow is rounded by chance: one each would be too much.
func (b *Balancer) coldDue(r *server, v view) (due float64, sent int) {
	c, w, was := &b.cold, b.warmth(r), b.warmthAt(r, r.coldAt)
	full := c.OverloadMultiple * max(v.fair/2, cmp.Or(b.meant(), v.fair)) * b.size(r) / w
	due = r.coldDue + full*(w*w-was*was)/(2-2*c.InitialCapacity)
	part := full * w * c.Window.Seconds() / c.WarmUp.Seconds() // of one of the rule's windows
	return due, max(r.coldSent, int(due-max(savedWindows*part, min(3*savedWindows*part, 1))))
}

// meant is this balancer's part of the connections that a unit of size is meant to bear, by the shares that
// customers were given of what the fleet can do: of a fleet half full, the mean would stand for half of that.
func (b *Balancer) meant() float64 {
	sum := 0.0
	for _, q := range b.cold.quota {
		sum += q
	}
	return sum / float64(b.cold.Balancers) / max(b.list.usual, 1e-9)
}

func (b *Balancer) coldRoom(r *server, v view) bool {
	if b.warmth(r) == 1 {
		return true
	}
	if b.cold.handedOver {
		return false
	}
	due, sent := b.coldDue(r, v)
	return float64(sent+1) <= due
}
