// Package simulation models what a balancer stands in: clients, servers, a session store, halls, a network and a server
// list. It does no I/O, starts no goroutine and reads no clock: time and chance are handed in, so that one seed gives
// one run, and the same model stands behind virtual time and behind sockets.
package simulation

import (
	"container/heap"
	"time"
)

// Rank orders what happens at one instant: causes before those who see them, and the books last.
type Rank int8

// Ranks.
const (
	Cause   Rank = iota // a trouble begins or ends
	Work                // a server or the store finishes something
	News                // of the server list
	Message             // something arrives over the network
	Wake                // a timer of a balancer
	Arrive              // a client comes or goes
	Book                // what is counted
)

// Schedule is all that is still to happen. Things due at one instant go by rank, then in the order in which they were
// noted; the order is part of what a seed stands for.
type Schedule struct {
	now      time.Duration
	sequence uint64
	items    items
}

type item struct {
	at   time.Duration
	rank Rank
	seq  uint64
	do   func()
}

// Now is the time.
func (a *Schedule) Now() time.Duration { return a.now }

// At notes something for a time; what is noted for the past happens now.
func (a *Schedule) At(t time.Duration, r Rank, do func()) {
	a.sequence++
	heap.Push(&a.items, item{max(t, a.now), r, a.sequence, do})
}

// After notes something for so long from now.
func (a *Schedule) After(d time.Duration, r Rank, do func()) { a.At(a.now+d, r, do) }

// Next is when the next thing is due.
func (a *Schedule) Next() (time.Duration, bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// RunTo does all that is due up to a time, that included, and leaves the time there.
func (a *Schedule) RunTo(t time.Duration) {
	for len(a.items) > 0 && a.items[0].at <= t {
		x := heap.Pop(&a.items).(item)
		a.now = x.at
		x.do()
	}
	a.now = max(a.now, t)
}

type items []item

func (s items) Len() int { return len(s) }
func (s items) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	if s[i].rank != s[j].rank {
		return s[i].rank < s[j].rank
	}
	return s[i].seq < s[j].seq
}
func (s items) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *items) Push(x any)   { *s = append(*s, x.(item)) }
func (s *items) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	(*s)[last] = item{}
	*s = (*s)[:last]
	return x
}
