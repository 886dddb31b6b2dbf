package decide

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// During a hand-over two processes act as one balancer, so a slow-start budget must be spent only once. While the
// successor runs, it alone spends the budget. If it ends, the predecessor spends only what becomes due from then on, as
// it is unknown what the successor spent.
func TestSlowStartBudgetAcrossHandover(t *testing.T) {
	offer := func(s *harness, from, to time.Duration) {
		for at := from; at < to; at += 10 * ms {
			s.setTime(at)
			id := FlowID(fmt.Sprint("f", at))
			s.request(id, "", sec)
			s.balancer.OnEstablished(id, ms)
		}
	}
	begin := func() *harness {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
		s.adopt("a", 200, "", 1)
		s.adopt("b", 200, "", 2)
		s.updateServer(3, Ready, 0)
		s.setTime(2 * sec)
		return s
	}
	alone := begin()
	offer(alone, 2*sec, 4*sec)
	if alone.attemptsTo[3] == 0 {
		t.Fatal("the warming server gets no flows even without a hand-over")
	}
	s := begin()
	snapshot := s.balancer.Snapshot()
	s.balancer.SetHandedOver(true)
	offer(s, 2*sec, 4*sec)
	if s.attemptsTo[3] != 0 {
		t.Errorf("the predecessor makes %d attempts from a budget that it handed over, want none", s.attemptsTo[3])
	}
	successor := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	successor.setTime(2 * sec)
	successor.balancer.Restore(snapshot)
	successor.adopt("a", 200, "", 1)
	successor.adopt("b", 200, "", 2)
	offer(successor, 2*sec, 4*sec)
	if both := s.attemptsTo[3] + successor.attemptsTo[3]; both > alone.attemptsTo[3]+1 { // one more by rounding
		t.Errorf("%d attempts by both processes, %d by one without a hand-over; want at most one more by both", both, alone.attemptsTo[3])
	}
	s.balancer.SetHandedOver(false)
	offer(s, 4*sec, 4*sec+20*ms)
	if s.attemptsTo[3] > 1 {
		t.Errorf("%d attempts right after the end of the successor, want at most 1", s.attemptsTo[3])
	}
	offer(s, 4*sec+20*ms, 6*sec)
	if s.attemptsTo[3] == 0 {
		t.Error("no attempts after the end of the successor")
	}
}

// A retry must not reach a server after the retry window, even if the process is delayed between reading the clock and
// writing to the connection: none is decided or forwarded in the last 0.15 s of the window.
func TestRetryLeavesTimeForDelayedWrite(t *testing.T) {
	const window, delayed = 2 * sec, 150 * ms
	for _, left := range []time.Duration{500 * ms, 200 * ms, 160 * ms, 150 * ms, 100 * ms, ms} {
		t.Run(left.String(), func(t *testing.T) {
			s := newHarness(t, IdempotentByKey, DeduplicatedByFleet, 4)
			s.setTime(sec)
			s.balancer.OnFlow(FlowRequest{ID: "a", Customer: NoCustomer, Timeout: 60 * sec})
			s.setTime(sec + window - left)
			timeout := time.Duration(-1)
			s.balancer.actions = timeoutRecorder{s, &timeout}
			s.balancer.OnEnded("a", Reset, window-left, false)
			if usable := left - delayed; usable > 0 && (timeout <= 0 || timeout > usable) || usable <= 0 && timeout >= 0 {
				t.Errorf("with %v left of the window the retry has a timeout of %v (-1ns: no retry), "+
					"want above 0 and at most %v, or no retry if that is 0 or less", left, timeout, usable)
			}
		})
	}
}

// A snapshot is rejected if a size is below 0. Infinity is accepted, and so is NaN, which counts as an unknown size.
func TestSnapshotSizes(t *testing.T) {
	for _, c := range []struct {
		size float64
		want error
	}{{1, nil}, {0, nil}, {-1, errInvalidServer}, {math.Inf(1), nil}, {math.NaN(), nil}} {
		snapshot := Snapshot{Servers: []ServerSnapshot{{ID: 1, Size: c.size}}}
		if got := snapshot.Validate(); !errors.Is(got, c.want) {
			t.Errorf("size %v: error %v, want %v", c.size, got, c.want)
		}
	}
}
