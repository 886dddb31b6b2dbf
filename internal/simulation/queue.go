package simulation

import (
	"slices"
	"time"
)

// Queue is one waiting line before some cores that all work at the same pace; the pace may change at any time, as a
// server that warms, slows or is crowded keeps what it has begun.
type Queue struct {
	agenda  *Agenda
	cores   int
	room    int     // how many may wait; below 0: any number
	pace    float64 // work that one core does in a second
	settled time.Duration
	busy    []*Job
	line    []*Job
	turn    uint64 // the next end noted last is the only one that counts
}

// Job is work that a queue has taken in.
type Job struct {
	left float64 // work
	done func()
}

// NewQueue makes an empty one of so many cores, each doing pace of work a second, with room for so many that wait.
func NewQueue(a *Agenda, cores, room int, pace float64) *Queue {
	return &Queue{agenda: a, cores: cores, room: room, pace: pace}
}

// Put takes work in; it is turned away where the line is full. The returned job can be dropped.
func (q *Queue) Put(work float64, done func()) (*Job, bool) {
	q.settle()
	j := &Job{left: work, done: done}
	switch {
	case len(q.busy) < q.cores:
		q.busy = append(q.busy, j)
	case q.room >= 0 && len(q.line) >= q.room:
		return nil, false
	default:
		q.line = append(q.line, j)
	}
	q.note()
	return j, true
}

// Drop gives a job up, wherever it is; one that is done already is passed over.
func (q *Queue) Drop(j *Job) {
	q.settle()
	if i := slices.Index(q.line, j); i >= 0 {
		q.line = slices.Delete(q.line, i, i+1)
	} else if i := slices.Index(q.busy, j); i >= 0 {
		q.busy = slices.Delete(q.busy, i, i+1)
		q.fill()
	}
	q.note()
}

// Clear drops all.
func (q *Queue) Clear() {
	q.settle()
	q.busy, q.line = nil, nil
	q.note()
}

// Pace sets how fast each core works from now on.
func (q *Queue) Pace(p float64) {
	if p == q.pace {
		return
	}
	q.settle()
	q.pace = p
	q.note()
}

// Held is how many are in work or wait.
func (q *Queue) Held() int { return len(q.busy) + len(q.line) }

// Busy is how many are in work.
func (q *Queue) Busy() int { return len(q.busy) }

func (q *Queue) settle() {
	did := q.pace * (q.agenda.now - q.settled).Seconds()
	for _, j := range q.busy {
		j.left -= did
	}
	q.settled = q.agenda.now
}

func (q *Queue) fill() {
	for len(q.busy) < q.cores && len(q.line) > 0 {
		q.busy = append(q.busy, q.line[0])
		q.line = q.line[1:]
	}
}

// note has the next end looked at. Times are whole nanoseconds: what is left below one of them counts as done.
func (q *Queue) note() {
	q.turn++
	if len(q.busy) == 0 || q.pace <= 0 {
		return
	}
	least := q.busy[0].left
	for _, j := range q.busy[1:] {
		least = min(least, j.left)
	}
	turn := q.turn
	in := min(max(0, least/q.pace), 1e9) // seconds; a core that all but stands still is asked again when its pace changes
	q.agenda.After(time.Duration(in*float64(time.Second))+1, Work, func() {
		if turn != q.turn {
			return
		}
		q.settle()
		var over []*Job
		q.busy = slices.DeleteFunc(q.busy, func(j *Job) bool {
			if j.left <= 0 {
				over = append(over, j)
				return true
			}
			return false
		})
		q.fill()
		q.note()
		for _, j := range over {
			j.done()
		}
	})
}
