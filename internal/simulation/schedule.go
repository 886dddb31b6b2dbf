// Package simulation models what surrounds a balancer: clients, servers, a session store, localities, a network and a server list. It does
// no I/O, starts no goroutine and reads no clock: time and random sources are handed in, so that one seed gives one run, and the same model
// stands behind virtual time and behind sockets.
package simulation

import (
	"cmp"
	"container/heap"
	"time"
)

// Rank orders what happens at one instant: causes before those who see them, and accounting last.
type Rank int8

// Ranks.
const (
	Cause      Rank = iota // a fault begins or ends
	Work                   // a server or the store finishes something
	ListUpdate             // an update of the server list
	Message                // something arrives over the network
	Wake                   // a timer of a balancer
	Arrive                 // a client arrives or leaves
	Measure                // accounting
)

// Schedule is all that is still to happen. Actions that are due at one instant run by rank, then in the order in which they were scheduled:
// the order is part of what a seed stands for.
type Schedule struct {
	now      time.Duration
	sequence uint64
	actions  actionQueue
}

type action struct {
	at       time.Duration
	rank     Rank
	sequence uint64
	do       func()
}

// Now is the time since the beginning.
func (s *Schedule) Now() time.Duration { return s.now }

// At schedules an action for a time; one in the past means now.
func (s *Schedule) At(t time.Duration, r Rank, do func()) {
	s.sequence++
	heap.Push(&s.actions, action{max(t, s.now), r, s.sequence, do})
}

// After schedules an action for so long from now.
func (s *Schedule) After(d time.Duration, r Rank, do func()) { s.At(s.now+d, r, do) }

// Next is when the next action is due; not ok where there is none.
func (s *Schedule) Next() (at time.Duration, ok bool) {
	if len(s.actions) == 0 {
		return 0, false
	}
	return s.actions[0].at, true
}

// RunTo runs all that is due up to a time, that included, and leaves the time there.
func (s *Schedule) RunTo(t time.Duration) {
	for len(s.actions) > 0 && s.actions[0].at <= t {
		next := heap.Pop(&s.actions).(action)
		s.now = next.at
		next.do()
	}
	s.now = max(s.now, t)
}

// actionQueue is a heap of actions by time, rank and order.
type actionQueue []action

// Len is of heap.Interface.
func (q actionQueue) Len() int { return len(q) }

// Less orders by time, rank and order of scheduling.
func (q actionQueue) Less(i, j int) bool {
	if q[i].at != q[j].at { // nearly always: the rest is not compared then
		return q[i].at < q[j].at
	}
	return cmp.Or(cmp.Compare(q[i].rank, q[j].rank), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}

// Swap is of heap.Interface.
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is of heap.Interface.
func (q *actionQueue) Push(x any) { *q = append(*q, x.(action)) }

// Pop is of heap.Interface.
func (q *actionQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = action{} // so that what it refers to can be collected
	*q = (*q)[:last]
	return x
}
