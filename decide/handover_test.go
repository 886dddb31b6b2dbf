package decide

import (
	"fmt"
	"testing"
	"time"
)

// Two processes are one balancer while one hands over to the other, and a cold server's budget is spent once: by the successor alone while it
// lives, and once it is gone only as far as it grows from then on, as nobody knows what the successor had spent of it.
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
		t.Fatal("the cold server is sent nothing in any case")
	}
	s := begin()
	memory := s.balancer.Snapshot()
	s.balancer.SetHandedOver(true)
	offer(s, 2*sec, 4*sec)
	if s.attemptsTo[3] != 0 {
		t.Errorf("the predecessor spends %d of a budget that it handed over", s.attemptsTo[3])
	}
	successor := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	successor.setTime(2 * sec)
	successor.balancer.Restore(memory)
	successor.adopt("a", 200, "", 1)
	successor.adopt("b", 200, "", 2)
	offer(successor, 2*sec, 4*sec)
	if both := s.attemptsTo[3] + successor.attemptsTo[3]; both > alone.attemptsTo[3]+1 { // one by chance
		t.Errorf("both send %d, one process sends %d", both, alone.attemptsTo[3])
	}
	s.balancer.SetHandedOver(false)
	offer(s, 4*sec, 4*sec+20*ms)
	if s.attemptsTo[3] > 1 {
		t.Errorf("as the successor is gone %d are sent at once", s.attemptsTo[3])
	}
	offer(s, 4*sec+20*ms, 6*sec)
	if s.attemptsTo[3] == 0 {
		t.Error("once the successor is gone nothing is sent any more")
	}
}

// A repeat leaves time to be held up between the clock and the write: it is not sent on in the last 0.15 s of its window, nor decided then.
func TestRepeatLeavesTimeForDelayedWrite(t *testing.T) {
	const window, heldUp = 2 * sec, 150 * ms
	for _, left := range []time.Duration{500 * ms, 200 * ms, 160 * ms, 150 * ms, 100 * ms, ms} {
		t.Run(left.String(), func(t *testing.T) {
			s := newHarness(t, IdempotentByKey, DeduplicatedByFleet, 4)
			s.setTime(sec)
			s.balancer.OnFlow(FlowRequest{ID: "a", Customer: NoCustomer, Timeout: 60 * sec})
			s.setTime(sec + window - left)
			limit := time.Duration(-1)
			s.balancer.actions = timeoutRecorder{s, &limit}
			s.balancer.OnEnded("a", Reset, window-left, false)
			if room := left - heldUp; room > 0 && (limit <= 0 || limit > room) || room <= 0 && limit >= 0 {
				t.Errorf("with %v left the repeat has %v", left, limit)
			}
		})
	}
}
