package scale

import (
	"cmp"
	"container/heap"
	"time"
)

// schedule is a queue of events in virtual time, ordered by time; events at the same time run in the order in which they
// were scheduled.
type schedule struct {
	now       time.Duration
	events    events
	lastOrder uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// at schedules an event at a time, or now if that has passed.
func (a *schedule) at(t time.Duration, run func()) {
	a.lastOrder++
	heap.Push(&a.events, event{max(t, a.now), a.lastOrder, run})
}

func (a *schedule) after(d time.Duration, run func()) { a.at(a.now+d, run) }

// runTo runs all events up to end and sets the time to it.
func (a *schedule) runTo(end time.Duration) {
	for len(a.events) > 0 && a.events[0].at <= end {
		e := heap.Pop(&a.events).(event)
		a.now = e.at
		e.run()
	}
	a.now = end
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
