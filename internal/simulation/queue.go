package simulation

import (
	"math"
	"slices"
	"time"
)

const (
	anyNumber      = -1              // of jobs that may wait
	maxWaitSeconds = 1e9             // a core that hardly works is scheduled anew when its speed changes
	endRounding    = time.Nanosecond // added to each end, as ends are rounded down to whole nanoseconds
)

// Queue is one line of jobs before some cores that all work at the same speed. The speed may change at any time: what has been begun keeps
// its progress.
type Queue struct {
	schedule   *Schedule
	cores      int
	maxWaiting int     // below 0: any number
	speed      float64 // work that one core does in a second
	settledAt  time.Duration
	running    []*Job
	waiting    []*Job
	version    uint64 // only the end that was scheduled last counts
}

// Job is work that a queue has taken in.
type Job struct {
	workLeft float64
	done     func()
}

// NewQueue makes an empty queue before so many cores, each of which does so much work a second. maxWaiting jobs may wait; any number where
// it is below 0.
func NewQueue(s *Schedule, cores, maxWaiting int, speed float64) *Queue {
	return &Queue{schedule: s, cores: cores, maxWaiting: maxWaiting, speed: speed}
}

// Put takes a job in; not ok where the line is full. The job that it returns can be dropped.
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

// Drop takes a job out, wherever it is. One that is done already is passed over.
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

// Clear drops all jobs.
func (q *Queue) Clear() {
	q.settle()
	q.running, q.waiting = nil, nil
	q.scheduleNextEnd()
}

// SetSpeed sets how fast each core works from now on.
func (q *Queue) SetSpeed(speed float64) {
	if speed == q.speed {
		return
	}
	q.settle()
	q.speed = speed
	q.scheduleNextEnd()
}

// Jobs is how many jobs run or wait.
func (q *Queue) Jobs() int { return len(q.running) + len(q.waiting) }

// Busy is how many jobs run.
func (q *Queue) Busy() int { return len(q.running) }

// settle takes the work done since the last time off the jobs that run.
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

// scheduleNextEnd schedules the end of the job with the least work left.
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

// endJobs ends the jobs without work left. Times are whole nanoseconds: what is left below one of them counts as done.
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
