package invariants

import (
	"cmp"
	"time"
)

type waitingEvent struct {
	Event
	seq uint64
}

type held []waitingEvent

func (h held) Len() int { return len(h) }
func (h held) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].At, h[j].At), cmp.Compare(h[i].Kind, h[j].Kind), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h held) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *held) Push(x any)   { *h = append(*h, x.(waitingEvent)) }
func (h *held) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

type due struct {
	at     time.Duration
	flow   Flow
	answer bool
}
type dues []due

func (h dues) Len() int { return len(h) }
func (h dues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].flow, h[j].flow)) < 0
}
func (h dues) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dues) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dues) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
