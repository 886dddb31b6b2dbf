package invariants

import (
	"cmp"
	"time"
)

// queuedEvent is an event that is held back.
type queuedEvent struct {
	Event
	sequence uint64
}

// eventQueue is a heap of events by time; at one instant causes come before effects, as kinds are ordered.
type eventQueue []queuedEvent

// Len is of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders by time, kind and order of observation.
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].At, q[j].At), cmp.Compare(q[i].Kind, q[j].Kind), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}

// Swap is of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is of heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(queuedEvent)) }

// Pop is of heap.Interface.
func (q *eventQueue) Pop() any { return popLast((*[]queuedEvent)(q)) }

// deadline is a time at which a flow is looked at again.
type deadline struct {
	at       time.Duration
	flow     Flow
	ofAnswer bool // the flow's answer is due
}

// deadlineQueue is a heap of deadlines by time.
type deadlineQueue []deadline

// Len is of heap.Interface.
func (q deadlineQueue) Len() int { return len(q) }

// Less orders by time and flow.
func (q deadlineQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].flow, q[j].flow)) < 0
}

// Swap is of heap.Interface.
func (q deadlineQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is of heap.Interface.
func (q *deadlineQueue) Push(x any) { *q = append(*q, x.(deadline)) }

// Pop is of heap.Interface.
func (q *deadlineQueue) Pop() any { return popLast((*[]deadline)(q)) }

func popLast[T any](items *[]T) T {
	last := len(*items) - 1
	item := (*items)[last]
	*items = (*items)[:last]
	return item
}
