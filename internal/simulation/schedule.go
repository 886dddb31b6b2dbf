// Package simulation is a discrete-event model of the environment of a balancer: clients, servers, a session store, localities, a network
// and a server list. It does no I/O, starts no goroutine and reads no clock. Time and random seeds come from the caller, so that a seed
// determines a run, and the same model serves tests in virtual time and on sockets.
package simulation

import (
	"cmp"
	"container/heap"
	"time"
)

// Rank is the priority of actions that are due at the same time: causes run before their effects, and accounting runs last.
type Rank int8

// Ranks, in the order in which they run.
const (
	Cause      Rank = iota // a fault begins or ends
	Work                   // a server or the store completes work
	ListUpdate             // the server list changes or sends an update
	Message                // a message arrives over the network
	Wake                   // a timer of a balancer fires
	Arrive                 // a client arrives, acts or leaves
	Measure                // accounting
)

// Schedule is the event queue of the simulation and its clock. Actions that are due at the same time run by rank, then in the order in which
// they were scheduled, so that a seed always gives the same order.
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

// Now is the time since the beginning of the run.
func (s *Schedule) Now() time.Duration { return s.now }

// At schedules an action for a time; a time in the past counts as now.
func (s *Schedule) At(t time.Duration, r Rank, do func()) {
	s.sequence++
	heap.Push(&s.actions, action{max(t, s.now), r, s.sequence, do})
}

// After schedules an action after a delay.
func (s *Schedule) After(d time.Duration, r Rank, do func()) { s.At(s.now+d, r, do) }

// Next is the time at which the next action is due; ok is false where none is scheduled.
func (s *Schedule) Next() (at time.Duration, ok bool) {
	if len(s.actions) == 0 {
		return 0, false
	}
	return s.actions[0].at, true
}

// RunTo runs all actions that are due up to and including a time, and sets the clock to that time.
func (s *Schedule) RunTo(t time.Duration) {
	for len(s.actions) > 0 && s.actions[0].at <= t {
		next := heap.Pop(&s.actions).(action)
		s.now = next.at
		next.do()
	}
	s.now = max(s.now, t)
}

// actionQueue is a heap of actions, ordered by time, rank and order of scheduling.
type actionQueue []action

// Len implements heap.Interface.
func (q actionQueue) Len() int { return len(q) }

// Less orders by time, rank and order of scheduling.
func (q actionQueue) Less(i, j int) bool {
	if q[i].at != q[j].at { // the common case; skips the other comparisons
		return q[i].at < q[j].at
	}
	return cmp.Or(cmp.Compare(q[i].rank, q[j].rank), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}

// Swap implements heap.Interface.
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *actionQueue) Push(x any) { *q = append(*q, x.(action)) }

// Pop implements heap.Interface.
func (q *actionQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = action{} // drops the reference to the closure, so that it can be garbage collected
	*q = (*q)[:last]
	return x
}
