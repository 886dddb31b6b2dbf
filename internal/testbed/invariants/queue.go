package invariants

import (
	"cmp"
	"time"
)

// queuedEvent is an event that is held back, with its order of observation.
type queuedEvent struct {
	Event
	sequence uint64
}

// eventQueue is a heap of events, ordered by time. Among events of the same time, the order of kinds puts causes before effects.
type eventQueue []queuedEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders by time, kind and order of observation.
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].At, q[j].At), cmp.Compare(q[i].Kind, q[j].Kind), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(queuedEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any { return popLast((*[]queuedEvent)(q)) }

// review is a scheduled check of a flow.
type review struct {
	at          time.Duration
	flow        Flow
	isAnswerDue bool // the flow must have been answered by the time of the review
}

// reviewQueue is a heap of reviews, ordered by time.
type reviewQueue []review

// Len implements heap.Interface.
func (q reviewQueue) Len() int { return len(q) }

// Less orders by time and flow.
func (q reviewQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].flow, q[j].flow)) < 0
}

// Swap implements heap.Interface.
func (q reviewQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *reviewQueue) Push(x any) { *q = append(*q, x.(review)) }

// Pop implements heap.Interface.
func (q *reviewQueue) Pop() any { return popLast((*[]review)(q)) }

func popLast[T any](items *[]T) T {
	last := len(*items) - 1
	item := (*items)[last]
	*items = (*items)[:last]
	return item
}
