// Package netfault holds the ways between processes that the yard owns, and what goes wrong on them: delay and jitter, loss,
// repeats and overtaking of datagrams, a slow pipe, a cut in one direction or both, resets, silence, garbage. Programs under test
// are led through by the addresses that they are told, and run as they are shipped.
package netfault

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Name is an end of a way: a balancer, a server, discovery, the operator.
type Name string

// Condition is what one direction of a way does to what passes. The zero value lets all through at once.
type Condition struct {
	Delay, Jitter   time.Duration
	Loss            float64 // share of datagrams; a stream waits for what was lost to be sent again
	Repeat, Reorder float64 // shares of datagrams that come twice, or after later ones
	Rate            int     // bytes a second; 0: no bound
	Garbage         float64 // share of datagrams, and of pieces of a stream, with spoilt bytes
	Cut             bool    // datagrams are lost; streams stand still until it ends, and none comes up
	Mute            bool    // streams come up, and nothing passes in them; datagrams are lost
	passed, lost    int
}

const (
	resendAfter  = 200 * time.Millisecond // a lost piece of a stream comes that much later, as TCP's shortest wait is
	reorderAfter = 20 * time.Millisecond  // what is overtaken comes that much later
)

// side is one direction between two ends.
type side struct {
	mu      sync.Mutex
	now     Condition
	changed chan struct{} // closed at each change
	chance  *rand.Rand
	free    time.Time // when the slow pipe has passed on what it was given
}

func (s *side) get() (Condition, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now, s.changed
}

// pass is what becomes of a piece: when it is due, how many of it come, and whether its bytes are spoilt.
func (s *side) pass(n int, stream bool, now time.Time) (due time.Time, copies int, spoilt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.now
	c.passed++
	due, copies = now.Add(c.Delay), 1
	if c.Jitter > 0 {
		due = due.Add(time.Duration(s.chance.Int64N(int64(c.Jitter))))
	}
	if c.Rate > 0 {
		if s.free.Before(now) {
			s.free = now
		}
		s.free = s.free.Add(time.Duration(float64(n) / float64(c.Rate) * float64(time.Second)))
		due = due.Add(s.free.Sub(now))
	}
	spoilt = c.Garbage > 0 && s.chance.Float64() < c.Garbage
	if stream {
		for c.Loss > 0 && s.chance.Float64() < min(c.Loss, 0.9) {
			due = due.Add(resendAfter)
		}
		return due, 1, spoilt
	}
	switch {
	case c.Cut || c.Mute || c.Loss > 0 && s.chance.Float64() < c.Loss:
		c.lost++
		return due, 0, spoilt
	case c.Repeat > 0 && s.chance.Float64() < c.Repeat:
		copies = 2
	}
	if c.Reorder > 0 && s.chance.Float64() < c.Reorder {
		due = due.Add(reorderAfter)
	}
	return due, copies, spoilt
}

// Net is all ways of a run.
type Net struct {
	mu      sync.Mutex
	seed    uint64
	sides   map[[2]Name]*side
	streams map[*stream]bool
	over    bool
}

// New makes a net on which nothing is wrong; all its chance comes from the seed.
func New(seed uint64) *Net {
	return &Net{seed: seed, sides: map[[2]Name]*side{}, streams: map[*stream]bool{}}
}

func (n *Net) side(from, to Name) *side {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := [2]Name{from, to}
	s := n.sides[k]
	if s == nil {
		h := n.seed
		for _, c := range string(from) + ">" + string(to) {
			h = (h ^ uint64(c)) * 1099511628211 // FNV: each side has chance of its own, whatever the order of their making
		}
		s = &side{changed: make(chan struct{}), chance: rand.New(rand.NewPCG(n.seed, h))}
		n.sides[k] = s
	}
	return s
}

// Change changes what one direction does. It holds for streams that stand, too.
func (n *Net) Change(from, to Name, how func(*Condition)) {
	s := n.side(from, to)
	s.mu.Lock()
	defer s.mu.Unlock()
	how(&s.now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Cut tells whether a stream from one end to another can't come up now: its first packet or the answer to it is lost.
func (n *Net) Cut(from, to Name) bool {
	out, _ := n.side(from, to).get()
	back, _ := n.side(to, from).get()
	return out.Cut || back.Cut
}

// Silent tells whether nothing that one end says reaches the other now.
func (n *Net) Silent(from, to Name) bool {
	c, _ := n.side(from, to).get()
	return c.Cut || c.Mute
}

// Reset breaks all streams that stand between two ends, as a middle box that forgot them does.
func (n *Net) Reset(a, b Name) (broken int) {
	n.mu.Lock()
	var hit []*stream
	for s := range n.streams {
		if s.from == a && s.to == b || s.from == b && s.to == a {
			hit = append(hit, s)
		}
	}
	n.mu.Unlock()
	for _, s := range hit {
		s.abort()
	}
	return len(hit)
}

// Passed counts the datagrams, and pieces of streams, that one direction was given, and the datagrams it lost.
func (n *Net) Passed(from, to Name) (all, lost int) {
	c, _ := n.side(from, to).get()
	return c.passed, c.lost
}

// Become takes over what another condition says; the counts go on.
func (c *Condition) Become(like Condition) {
	like.passed, like.lost = c.passed, c.lost
	*c = like
}

func (c Condition) String() string {
	text := ""
	add := func(on bool, format string, a ...any) {
		if on {
			text += " " + fmt.Sprintf(format, a...)
		}
	}
	add(c.Delay > 0 || c.Jitter > 0, "delay %v+%v", c.Delay, c.Jitter)
	add(c.Loss > 0, "loss %g", c.Loss)
	add(c.Repeat > 0, "repeat %g", c.Repeat)
	add(c.Reorder > 0, "reorder %g", c.Reorder)
	add(c.Rate > 0, "rate %d/s", c.Rate)
	add(c.Garbage > 0, "garbage %g", c.Garbage)
	add(c.Cut, "cut")
	add(c.Mute, "mute")
	if text == "" {
		return "clear"
	}
	return text[1:]
}
