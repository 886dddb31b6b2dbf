package decide

import (
	"fmt"
	"testing"
	"time"
)

// The budget of a warming server over any window: here at a burst right after its start and later.
func TestSlowStartBudget(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to time.Duration
		most     int // 3 times the mean, here 20 and new flows, times the capacity share so far, by the end
	}{
		{"burst at the start", 0, 1500 * ms, 3},
		{"half warm", 9 * sec, 11 * sec, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
			s.adopt("a", 20, "", 1)
			s.adopt("b", 20, "", 2)
			s.updateServer(3, Ready, 0)
			for at := c.from; at < c.to; at += 10 * ms {
				s.setTime(at)
				s.request(FlowID(fmt.Sprint("f", at)), "", sec)
			}
			if s.attemptsTo[3] > c.most {
				t.Errorf("%d attempts, at most %d", s.attemptsTo[3], c.most)
			}
		})
	}
}

// What was not spent since the start is not spent at once.
func TestUnspentSlowStartBudgetExpires(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	s.balancer.slowStart.WarmUp = 60 * sec
	s.adopt("a", 200, "", 1)
	s.adopt("b", 200, "", 2)
	s.updateServer(3, Ready, 0)
	s.setTime(45 * sec) // without any flow until then
	for i := range 400 {
		id := FlowID(fmt.Sprint("f", i))
		s.request(id, "", sec)
		s.balancer.OnEstablished(id, ms)
	}
	// A window of 1.5 s at three times a mean that rises from 140, and one flow by chance; all since the
	// start is 100. Six windows of three balancers, spent at once, would overload a server.
	if s.attemptsTo[3] < 5 || s.attemptsTo[3] > 14 {
		t.Errorf("%d attempts", s.attemptsTo[3])
	}
}

// A part of one attempt may be saved for longer, as few of many balancers place a flow in a window.
func TestPartOfOneAttemptExpiresLater(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	s.adopt("a", 2, "", 1)
	s.adopt("b", 2, "", 2)
	s.updateServer(3, Ready, 0)
	s.balancer.list.byID[3].budgetDue = 0.99 // by chance
	s.setTime(6 * sec)
	if !s.balancer.hasSlowStartBudget(s.balancer.list.byID[3], s.balancer.viewFor(&flow{}, s.balancer.list.ready)) {
		t.Error("it expired within four windows")
	}
}

// What was due before the balancer learned of the start is not sent, nor twice by one that restarts.
func TestSlowStartBudgetBeforeDiscovery(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
	s.adopt("a", 200, "", 1)
	s.adopt("b", 200, "", 2)
	s.setTime(15 * sec)
	s.updateServer(3, Ready, 0)
	for i := range 40 {
		s.request(FlowID(fmt.Sprint("f", i)), "", sec)
	}
	if s.attemptsTo[3] > 0 {
		t.Errorf("%d attempts", s.attemptsTo[3])
	}
}

// The quotas of customers say what a server of the usual fleet can do.
func TestQuotasSetSlowStartCapacity(t *testing.T) {
	var sent [2]int
	for i, quota := range []float64{0, 600} {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 2)
		s.balancer.AddCustomer(quota)
		s.adopt("a", 3, "", 1)
		s.adopt("b", 3, "", 2)
		s.updateServer(3, Ready, 0)
		for at := time.Duration(0); at < 5*sec; at += 50 * ms {
			id := FlowID(fmt.Sprint("f", at))
			s.setTime(at)
			s.request(id, "", sec)
			s.balancer.OnEstablished(id, ms)
		}
		sent[i] = s.attemptsTo[3]
	}
	// The whole mean of 3 to 35, or 300 for each of the two servers before the third.
	if sent[0] > 10 || sent[1] < 3*sent[0] || sent[1] > 60 {
		t.Errorf("%d attempts without quotas, %d with", sent[0], sent[1])
	}
}

// Sizes in another unit change nothing.
func TestSizesInAnotherUnit(t *testing.T) {
	var sent [2]int
	for i, unit := range []float64{1, 3} {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 0)
		s.balancer.BeginEndpoints(DeltaUpdate)
		for id := ServerID(1); id <= 3; id++ {
			startedAt := LongAgo
			if id == 3 {
				startedAt = 0
			}
			s.balancer.OnEndpoint(Endpoint{ID: id, Zone: "z0", Size: unit, Readiness: Ready, StartedAt: startedAt})
		}
		s.balancer.EndEndpoints()
		s.adopt("a", 20, "", 1)
		s.adopt("b", 20, "", 2)
		for at := 5 * sec; at < 14*sec; at += 100 * ms {
			id := FlowID(fmt.Sprint("f", at))
			s.setTime(at)
			s.request(id, "", sec)
			s.balancer.OnEstablished(id, ms)
		}
		sent[i] = s.attemptsTo[3]
	}
	if sent[0] != sent[1] || sent[0] < 5 {
		t.Errorf("%d attempts where a server's size is 1, %d where it is 3", sent[0], sent[1])
	}
}

// Two hundred balancers with few flows each fill a server by its capacity share, together.
func TestSlowStartBudgetOverManyBalancers(t *testing.T) {
	sent := 0
	for n := range 200 {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 9)
		s.balancer.random = seeded(uint64(n))
		s.adopt("a", 2, "", ServerID(1+n%9))
		s.updateServer(10, Ready, 0)
		for i := range 9 {
			s.balancer.reduceLimit(s.balancer.list.byID[ServerID(i+1)]) // nowhere else to go
		}
		for i := range 50 {
			s.setTime(time.Duration(i) * 100 * ms)
			s.request(FlowID(fmt.Sprint("f", i)), "", sec)
		}
		sent += s.attemptsTo[10]
	}
	// A full server holds 200 * 3 / 10 and the new flows; its capacity share is 0.4 by then.
	if sent < 3 || sent > 60 {
		t.Errorf("%d attempts", sent)
	}
}

// What a flow took of a slow-start budget is refunded once if nothing of it reached the server, whether its client
// left or it goes elsewhere, and is not if anything did.
func TestBudgetOfUnsentAttemptIsRefunded(t *testing.T) {
	for _, c := range []struct {
		name       string
		end        func(b *Balancer)
		isRefunded bool
	}{
		{"the client left before the placement", func(b *Balancer) {
			b.OnClientLeft("a")
			b.OnEnded("a", NeverSent, 0, true)
		}, true},
		{"the client left during the attempt", func(b *Balancer) {
			b.OnClientLeft("a")
			b.OnEnded("a", NeverSent, ms, true)
			b.OnEnded("a", NeverSent, ms, true)
		}, true},
		{"the server drains", func(b *Balancer) { b.OnEnded("a", NeverSent, ms, false) }, true},
		{"nobody there", func(b *Balancer) { b.OnEnded("a", Unreachable, ms, false) }, false},
		{"full", func(b *Balancer) { b.OnEnded("a", Full, ms, false) }, false},
		{"the client left, the connection was opened", func(b *Balancer) {
			b.OnClientLeft("a")
			b.OnEnded("a", Cancelled, ms, true)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, NotIdempotent, DeduplicatedByFleet, 1)
			s.balancer.ConfigureFlows(1, 0)
			server := s.balancer.list.byID[1]
			s.setTime(10 * sec)
			s.balancer.beginSlowStart(server, 10*sec)
			s.setTime(15 * sec)
			server.budgetDue = 9
			s.balancer.OnFlow(FlowRequest{ID: "a", Customer: NoCustomer, Timeout: sec})
			want := server.budgetSpent
			if want == 0 || s.attemptsTo[1] != 1 {
				t.Fatalf("%d spent after the attempt: %v", server.budgetSpent, s.performed)
			}
			if c.end(s.balancer); c.isRefunded {
				want--
			}
			if server.budgetSpent != want || server.openFlows != 0 || len(s.balancer.flows.connecting) != 0 {
				t.Errorf("%d spent, want %d; %d on the tally, %d connecting",
					server.budgetSpent, want, server.openFlows, len(s.balancer.flows.connecting))
			}
		})
	}
}
