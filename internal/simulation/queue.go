package simulation

import (
	"math"
	"slices"
	"time"
)

const (
	unbounded      = -1              // maxWaiting of a queue without a limit
	maxWaitSeconds = 1e9             // limits the delay at a very low speed; a change of speed schedules the end again
	endRounding    = time.Nanosecond // added to each end, as ends are rounded down to whole nanoseconds
)

// Queue is a first-in, first-out queue in front of a number of cores that all work at the same speed. The speed may change at any time:
// running jobs keep their progress.
type Queue struct {
	schedule   *Schedule
	cores      int
	maxWaiting int     // negative: no limit
	speed      float64 // work that one core does per second
	settledAt  time.Duration
	running    []*Job
	waiting    []*Job
	version    uint64 // incremented to invalidate the end that was scheduled before
}

// Job is work that a queue has accepted.
type Job struct {
	workLeft float64
	done     func()
}

// NewQueue returns an empty queue. Each core does speed work per second. Up to maxWaiting jobs may wait; any number where it is negative.
func NewQueue(s *Schedule, cores, maxWaiting int, speed float64) *Queue {
	return &Queue{schedule: s, cores: cores, maxWaiting: maxWaiting, speed: speed}
}

// Put adds a job; ok is false where the queue is full. The returned job can be passed to Drop.
func (q *Queue) Put(work float64, done func()) (job *Job, ok bool) {
	q.settle()
	job = &Job{workLeft: work, done: done}
	switch {
	case len(q.running) < q.cores:
		q.running = append(q.running, job)
	case q.maxWaiting >= 0 && len(q.waiting) >= q.maxWaiting:
		return nil, false
	default:
		q.waiting = append(q.waiting, job)
	}
	q.scheduleNextEnd()
	return job, true
}

// Drop removes a running or waiting job. It does nothing for a job that is done.
func (q *Queue) Drop(job *Job) {
	q.settle()
	if i := slices.Index(q.waiting, job); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	} else if i := slices.Index(q.running, job); i >= 0 {
		q.running = slices.Delete(q.running, i, i+1)
		q.startWaiting()
	}
	q.scheduleNextEnd()
}

// Clear removes all jobs.
func (q *Queue) Clear() {
	q.settle()
	q.running, q.waiting = nil, nil
	q.scheduleNextEnd()
}

// SetSpeed sets the speed of each core from now on.
func (q *Queue) SetSpeed(speed float64) {
	if speed == q.speed {
		return
	}
	q.settle()
	q.speed = speed
	q.scheduleNextEnd()
}

// Jobs is the number of running and waiting jobs.
func (q *Queue) Jobs() int { return len(q.running) + len(q.waiting) }

// Busy is the number of running jobs.
func (q *Queue) Busy() int { return len(q.running) }

// settle subtracts the work done since the last call from the running jobs.
func (q *Queue) settle() {
	workDone := q.speed * (q.schedule.now - q.settledAt).Seconds()
	for _, job := range q.running {
		job.workLeft -= workDone
	}
	q.settledAt = q.schedule.now
}

func (q *Queue) startWaiting() {
	for len(q.running) < q.cores && len(q.waiting) > 0 {
		q.running = append(q.running, q.waiting[0])
		q.waiting = q.waiting[1:]
	}
}

// scheduleNextEnd schedules the end of the running job with the least work left.
func (q *Queue) scheduleNextEnd() {
	q.version++
	if len(q.running) == 0 || q.speed <= 0 {
		return
	}
	least := math.Inf(1)
	for _, job := range q.running {
		least = min(least, job.workLeft)
	}
	seconds := min(max(0, least/q.speed), maxWaitSeconds)
	version := q.version
	q.schedule.After(time.Duration(seconds*float64(time.Second))+endRounding, Work, func() {
		if version == q.version {
			q.endJobs()
		}
	})
}

// endJobs ends the running jobs that have no work left. It runs up to a nanosecond late (endRounding): if it ran early, a tiny remainder of
// work would keep a job running.
func (q *Queue) endJobs() {
	q.settle()
	var ended []*Job
	q.running = slices.DeleteFunc(q.running, func(job *Job) bool {
		if job.workLeft > 0 {
			return false
		}
		ended = append(ended, job)
		return true
	})
	q.startWaiting()
	q.scheduleNextEnd()
	for _, job := range ended {
		job.done()
	}
}
