package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// erlangC is the probability that an arrival has to wait in an M/M/c queue of c cores at an offered load of a cores.
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term * float64(c) / (float64(c) - a)
	return last / (sum + last)
}

func TestQueueWaitsAgreeWithErlangC(t *testing.T) {
	for _, c := range []struct {
		cores       int
		utilization float64
		jobs        int
	}{{1, 0.5, 400_000}, {1, 0.8, 2_500_000}, {4, 0.7, 800_000}, {8, 0.85, 1_600_000}} {
		t.Run(fmt.Sprintf("%d cores at %.2f", c.cores, c.utilization), func(t *testing.T) {
			t.Parallel()
			schedule, r := &Schedule{}, RandomSource(7, "closed forms", c.cores)
			q := NewQueue(schedule, c.cores, -1, 10) // mean service time 0.1 s
			var waited float64
			n, rate := 0, c.utilization*float64(c.cores)*10
			var arrive func()
			arrive = func() {
				work, at := r.ExpFloat64(), schedule.Now()
				_, _ = q.Put(work, func() {
					waited += (schedule.Now() - at).Seconds() - work/10
				})
				if n++; n < c.jobs {
					schedule.After(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), Arrive, arrive)
				}
			}
			schedule.At(0, Arrive, arrive)
			for at, ok := schedule.Next(); ok; at, ok = schedule.Next() {
				schedule.RunTo(at)
			}
			load := c.utilization * float64(c.cores)
			want := erlangC(c.cores, load) / (float64(c.cores)*10 - rate)
			got := waited / float64(c.jobs)
			if math.Abs(got/want-1) > 0.03 {
				t.Errorf("mean wait = %.5f s, Erlang C gives %.5f s: a difference of %.1f %%, want at most 3 %%", got, want, 100*(got/want-1))
			}
		})
	}
}

func TestQueueKeepsProgressAcrossSpeedChange(t *testing.T) {
	schedule := &Schedule{}
	q := NewQueue(schedule, 1, 1, 1)
	var ends []time.Duration
	end := func() { ends = append(ends, schedule.Now().Round(time.Millisecond)) }
	q.Put(2, end)
	second, _ := q.Put(1, end)
	if _, ok := q.Put(1, end); ok {
		t.Error("a third job was accepted, though only one may wait")
	}
	schedule.RunTo(time.Second)
	q.SetSpeed(0.5) // 1 s of work is left, which now takes 2 s
	schedule.RunTo(2 * time.Second)
	q.Drop(second)
	q.Put(0.5, end)
	schedule.RunTo(10 * time.Second)
	if want := []time.Duration{3 * time.Second, 4 * time.Second}; len(ends) != 2 || ends[0] != want[0] || ends[1] != want[1] {
		t.Errorf("jobs ended at %v, want %v", ends, want)
	}
}

func TestSimultaneousActionsRunByRankThenOrder(t *testing.T) {
	schedule, got := &Schedule{}, ""
	add := func(s string) func() { return func() { got += s } }
	schedule.At(time.Second, Measure, add("e"))
	schedule.At(time.Second, Message, add("c"))
	schedule.At(time.Second, Message, add("d"))
	schedule.At(time.Second, Cause, func() { got += "a"; schedule.At(0, Work, add("b")) })
	schedule.RunTo(time.Second)
	if got != "abcde" {
		t.Errorf("ran %q, want abcde", got)
	}
}
