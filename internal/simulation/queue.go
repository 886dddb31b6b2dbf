package simulation

import (
	"slices"
	"time"
)

// Queue is one waiting line before some cores that all work at the same pace; the pace may change at any time, as a
// server that warms, slows or is crowded keeps what it has begun.
type Queue struct {
	schedule   *Schedule
	cores      int
	maxWaiting int     // how many may wait; below 0: any number
	speed      float64 // work that one core does in a second
	settled    time.Duration
	running    []*Job
	waiting    []*Job
	version    uint64 // the next end noted last is the only one that counts
}

// Job is work that a queue has taken in.
type Job struct {
	left float64 // work
	done func()
}

// NewQueue makes an empty one of so many cores, each doing pace of work a second, with room for so many that wait.
func NewQueue(a *Schedule, cores, room int, pace float64) *Queue {
	return &Queue{schedule: a, cores: cores, maxWaiting: room, speed: pace}
}

// Put takes work in; it is turned away where the line is full. The returned job can be dropped.
func (q *Queue) Put(work float64, done func()) (*Job, bool) {
	q.settle()
	j := &Job{left: work, done: done}
	switch {
	case len(q.running) < q.cores:
		q.running = append(q.running, j)
	case q.maxWaiting >= 0 && len(q.waiting) >= q.maxWaiting:
		return nil, false
	default:
		q.waiting = append(q.waiting, j)
	}
	q.scheduleNextEnd()
	return j, true
}

// Drop gives a job up, wherever it is; one that is done already is passed over.
func (q *Queue) Drop(j *Job) {
	q.settle()
	if i := slices.Index(q.waiting, j); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	} else if i := slices.Index(q.running, j); i >= 0 {
		q.running = slices.Delete(q.running, i, i+1)
		q.startWaiting()
	}
	q.scheduleNextEnd()
}

// Clear drops all.
func (q *Queue) Clear() {
	q.settle()
	q.running, q.waiting = nil, nil
	q.scheduleNextEnd()
}

// SetSpeed sets how fast each core works from now on.
func (q *Queue) SetSpeed(p float64) {
	if p == q.speed {
		return
	}
	q.settle()
	q.speed = p
	q.scheduleNextEnd()
}

// Jobs is how many are in work or wait.
func (q *Queue) Jobs() int { return len(q.running) + len(q.waiting) }

// Busy is how many are in work.
func (q *Queue) Busy() int { return len(q.running) }

func (q *Queue) settle() {
	did := q.speed * (q.schedule.now - q.settled).Seconds()
	for _, j := range q.running {
		j.left -= did
	}
	q.settled = q.schedule.now
}

func (q *Queue) startWaiting() {
	for len(q.running) < q.cores && len(q.waiting) > 0 {
		q.running = append(q.running, q.waiting[0])
		q.waiting = q.waiting[1:]
	}
}

// scheduleNextEnd has the next end looked at. Times are whole nanoseconds: what is left below one of them counts as done.
func (q *Queue) scheduleNextEnd() {
	q.version++
	if len(q.running) == 0 || q.speed <= 0 {
		return
	}
	least := q.running[0].left
	for _, j := range q.running[1:] {
		least = min(least, j.left)
	}
	turn := q.version
	in := min(max(0, least/q.speed), 1e9) // seconds; a core that all but stands still is asked again when its pace changes
	q.schedule.After(time.Duration(in*float64(time.Second))+1, Work, func() {
		if turn != q.version {
			return
		}
		q.settle()
		var over []*Job
		q.running = slices.DeleteFunc(q.running, func(j *Job) bool {
			if j.left <= 0 {
				over = append(over, j)
				return true
			}
			return false
		})
		q.startWaiting()
		q.scheduleNextEnd()
		for _, j := range over {
			j.done()
		}
	})
}
