package routing

import (
	"container/heap"
	"time"

	"yardwinch/decide"
)

// timer is a timer that the balancer has set; its due time is on the router's clock.
type timer struct {
	due time.Duration
	id  decide.TimerID
}

// timerHeap implements heap.Interface: a min-heap of timers by due time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// popFirst removes the timer that is due first and returns its id.
func (h *timerHeap) popFirst() decide.TimerID { return heap.Pop(h).(timer).id }

// add adds a timer and reports whether it is due before all others.
func (h *timerHeap) add(t timer) (isFirst bool) {
	isFirst = len(*h) == 0 || t.due < (*h)[0].due
	heap.Push(h, t)
	return isFirst
}
