package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// erlangC is the probability that an arrival has to wait, before c cores at a load of a cores.
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
		cores int
		use   float64
		jobs  int
	}{{1, 0.5, 400_000}, {1, 0.8, 2_500_000}, {4, 0.7, 800_000}, {8, 0.85, 1_600_000}} {
		t.Run(fmt.Sprintf("%d cores at %.2f", c.cores, c.use), func(t *testing.T) {
			t.Parallel()
			a, r := &Schedule{}, RandomSource(7, "closed forms", c.cores)
			q := NewQueue(a, c.cores, -1, 10) // mean service 0.1 s
			var waited float64
			n, rate := 0, c.use*float64(c.cores)*10
			var come func()
			come = func() {
				work, at := r.ExpFloat64(), a.Now()
				_, _ = q.Put(work, func() {
					waited += (a.Now() - at).Seconds() - work/10
				})
				if n++; n < c.jobs {
					a.After(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), Arrive, come)
				}
			}
			a.At(0, Arrive, come)
			for at, ok := a.Next(); ok; at, ok = a.Next() {
				a.RunTo(at)
			}
			load := c.use * float64(c.cores)
			want := erlangC(c.cores, load) / (float64(c.cores)*10 - rate)
			got := waited / float64(c.jobs)
			if math.Abs(got/want-1) > 0.03 {
				t.Errorf("mean wait %.5f s, closed form %.5f s: off by %.1f %%", got, want, 100*(got/want-1))
			}
		})
	}
}

func TestQueueKeepsProgressAcrossSpeedChange(t *testing.T) {
	a := &Schedule{}
	q := NewQueue(a, 1, 1, 1)
	var ends []time.Duration
	end := func() { ends = append(ends, a.Now().Round(time.Millisecond)) }
	q.Put(2, end)
	second, _ := q.Put(1, end)
	if _, ok := q.Put(1, end); ok {
		t.Error("a third was taken though one may wait")
	}
	a.RunTo(time.Second)
	q.SetSpeed(0.5) // a core second is left: two more seconds
	a.RunTo(2 * time.Second)
	q.Drop(second)
	q.Put(0.5, end)
	a.RunTo(10 * time.Second)
	if want := []time.Duration{3 * time.Second, 4 * time.Second}; len(ends) != 2 || ends[0] != want[0] || ends[1] != want[1] {
		t.Errorf("ends at %v, want %v", ends, want)
	}
}

func TestActionsAtOneInstantRunByRankThenOrder(t *testing.T) {
	a, got := &Schedule{}, ""
	add := func(s string) func() { return func() { got += s } }
	a.At(time.Second, Measure, add("e"))
	a.At(time.Second, Message, add("c"))
	a.At(time.Second, Message, add("d"))
	a.At(time.Second, Cause, func() { got += "a"; a.At(0, Work, add("b")) })
	a.RunTo(time.Second)
	if got != "abcde" {
		t.Errorf("ran %q, want abcde", got)
	}
}
