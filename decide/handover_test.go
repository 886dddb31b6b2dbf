package decide

import (
	"fmt"
	"testing"
	"time"
)

// Two processes are one balancer while one hands over to the other, and a cold server's budget is spent once: by the successor alone while it
// lives, and once it is gone only as far as it grows from then on, as nobody knows what the successor had spent of it.
func TestColdBudgetAcrossAHandOver(t *testing.T) {
	offer := func(s *script, from, to time.Duration) {
		for at := from; at < to; at += 10 * ms {
			s.at(at)
			id := FlowID(fmt.Sprint("f", at))
			s.flow(id, "", sec)
			s.b.OnEstablished(id, ms)
		}
	}
	begin := func() *script {
		s := start(t, Idempotent, DeduplicatedByFleet, 3)
		s.held("a", 200, "", 1)
		s.held("b", 200, "", 2)
		s.change(3, Ready, 0)
		s.at(2 * sec)
		return s
	}
	alone := begin()
	offer(alone, 2*sec, 4*sec)
	if alone.sent[3] == 0 {
		t.Fatal("the cold server is sent nothing in any case")
	}
	s := begin()
	memory := s.b.Snapshot()
	s.b.SetHandedOver(true)
	offer(s, 2*sec, 4*sec)
	if s.sent[3] != 0 {
		t.Errorf("the predecessor spends %d of a budget that it handed over", s.sent[3])
	}
	successor := start(t, Idempotent, DeduplicatedByFleet, 3)
	successor.at(2 * sec)
	successor.b.Restore(memory)
	successor.held("a", 200, "", 1)
	successor.held("b", 200, "", 2)
	offer(successor, 2*sec, 4*sec)
	if both := s.sent[3] + successor.sent[3]; both > alone.sent[3]+1 { // one by chance
		t.Errorf("both send %d, one process sends %d", both, alone.sent[3])
	}
	s.b.SetHandedOver(false)
	offer(s, 4*sec, 4*sec+20*ms)
	if s.sent[3] > 1 {
		t.Errorf("as the successor is gone %d are sent at once", s.sent[3])
	}
	offer(s, 4*sec+20*ms, 6*sec)
	if s.sent[3] == 0 {
		t.Error("once the successor is gone nothing is sent any more")
	}
}

// A repeat leaves time to be held up between the clock and the write: it is not sent on in the last 0.15 s of its window, nor decided then.
func TestRepeatLeavesTimeToBeHeldUp(t *testing.T) {
	const window, heldUp = 2 * sec, 150 * ms
	for _, left := range []time.Duration{500 * ms, 200 * ms, 160 * ms, 150 * ms, 100 * ms, ms} {
		t.Run(left.String(), func(t *testing.T) {
			s := start(t, IdempotentByKey, DeduplicatedByFleet, 4)
			s.at(sec)
			s.b.OnFlow(FlowRequest{ID: "a", Customer: NoCustomer, Timeout: 60 * sec})
			s.at(sec + window - left)
			limit := time.Duration(-1)
			s.b.actions = limits{s, &limit}
			s.b.OnEnded("a", Reset, window-left, false)
			if room := left - heldUp; room > 0 && (limit <= 0 || limit > room) || room <= 0 && limit >= 0 {
				t.Errorf("with %v left the repeat has %v", left, limit)
			}
		})
	}
}
