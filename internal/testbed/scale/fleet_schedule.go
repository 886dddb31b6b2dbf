package scale

import (
	"cmp"
	"container/heap"
	"time"
)

// schedule is what is to happen in virtual time, by its times and, at one instant, in the order in which it was scheduled.
type schedule struct {
	now      time.Duration
	events   events
	sequence uint64
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

func (s *schedule) at(t time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{max(t, s.now), s.sequence, do})
}

func (s *schedule) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// runTo runs all that is due up to a time, and leaves the time there.
func (s *schedule) runTo(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
