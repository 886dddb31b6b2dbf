package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A warming server gets no more attempts in a window than its budget allows, in a burst right after its start or later.
func TestSlowStartBudget(t *testing.T) {
	for _, c := range []struct {
		name     string
		from, to time.Duration
		most     int // no less than the budget due between from and to, at an OverloadMultiple of 3, plus what may be saved
	}{
		{"burst at the start", 0, 1500 * ms, 3},
		{"halfway through the warm-up", 9 * sec, 11 * sec, 50},
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
				t.Errorf("%d attempts, want at most %d", s.attemptsTo[3], c.most)
			}
		})
	}
}

// Budget that was not spent since the server's start is not spent at once later.
func TestUnspentSlowStartBudgetExpires(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	s.balancer.slowStart.WarmUp = 60 * sec
	s.adopt("a", 200, "", 1)
	s.adopt("b", 200, "", 2)
	s.updateServer(3, Ready, 0)
	s.setTime(45 * sec) // no flow until then
	for i := range 400 {
		id := FlowID(fmt.Sprint("f", i))
		s.request(id, "", sec)
		s.balancer.OnEstablished(id, ms)
	}
	// The budget of a window is 3 * 143 flows (the mean) * 0.8 (the capacity share) * 1.5 s / 60 s, or 9 attempts, and rises
	// with the mean. All budget since the start would be 3 * 143 * (0.8*0.8 - 0.2*0.2) / 1.6, or 161 attempts. If three
	// balancers spent the budget of six windows at once, they would overload the server.
	if s.attemptsTo[3] < 5 || s.attemptsTo[3] > 14 {
		t.Errorf("%d attempts at the warming server, want 5 to 14", s.attemptsTo[3])
	}
}

// A saved budget of less than one attempt expires later than a larger one, after up to three windows instead of one: each
// of many balancers places a flow in few windows only.
func TestPartOfOneAttemptExpiresLater(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 3)
	s.adopt("a", 2, "", 1)
	s.adopt("b", 2, "", 2)
	s.updateServer(3, Ready, 0)
	s.balancer.list.byID[3].budgetDue = 0.99 // the random fraction from the start
	s.setTime(6 * sec)
	if !s.balancer.hasSlowStartBudget(s.balancer.list.byID[3], s.balancer.viewFor(&flow{}, s.balancer.list.ready)) {
		t.Error("the fraction of an attempt expired within four windows")
	}
}

// Budget that was due before the balancer learned of the server's start is not spent, so that a balancer that restarts
// does not spend it twice.
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
		t.Errorf("%d attempts from budget that was due before the start was known, want none", s.attemptsTo[3])
	}
}

// With quotas, the capacity of a server is derived from them and the baseline size of the fleet.
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
	// Without quotas, the capacity of a server is the mean, which rises from 3 to 44 flows. With them, it is 300 for each
	// of the two initial servers.
	if sent[0] > 10 || sent[1] < 3*sent[0] || sent[1] > 60 {
		t.Errorf("%d attempts without quotas, want at most 10; %d with, want at least three times as many and at most 60", sent[0], sent[1])
	}
}

// The unit of sizes makes no difference.
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
		t.Errorf("%d attempts if each size is 1, %d if each is 3; want the same number, at least 5", sent[0], sent[1])
	}
}

// Two hundred balancers with few flows each do not overload a warming server in total.
func TestSlowStartBudgetOverManyBalancers(t *testing.T) {
	sent := 0
	for n := range 200 {
		s := newHarness(t, Idempotent, DeduplicatedByFleet, 9)
		s.balancer.random = seeded(uint64(n))
		s.adopt("a", 2, "", ServerID(1+n%9))
		s.updateServer(10, Ready, 0)
		for i := range 9 {
			s.balancer.reduceLimit(s.balancer.list.byID[ServerID(i+1)]) // all other servers are at their limits
		}
		for i := range 50 {
			s.setTime(time.Duration(i) * 100 * ms)
			s.request(FlowID(fmt.Sprint("f", i)), "", sec)
		}
		sent += s.attemptsTo[10]
	}
	// In 5 s the capacity share rises from 0.2 to 0.4, and the budget of each balancer grows by 3 (OverloadMultiple) * 3/9.4
	// flows (the mean) * (0.4*0.4 - 0.2*0.2) / 1.6, or 0.07 attempts: 14 in total. The upper bound is what a server holds
	// at full capacity: 200 balancers with 3 flows each (2 adopted, 1 being placed), over 10 servers.
	if sent < 3 || sent > 60 {
		t.Errorf("%d attempts of all balancers at the warming server, want 3 to 60", sent)
	}
}

// The attempt of a flow is returned to the slow-start budget, once, if nothing reached the server, whether the client
// left or the flow is placed again. It is not returned otherwise.
func TestBudgetOfUnsentAttemptIsRefunded(t *testing.T) {
	for _, c := range []struct {
		name       string
		end        func(b *Balancer)
		isRefunded bool
	}{
		{"the client left before anything was sent", func(b *Balancer) {
			b.OnClientLeft("a")
			b.OnEnded("a", NeverSent, 0, true)
		}, true},
		{"the client left during the attempt, whose end is reported twice", func(b *Balancer) {
			b.OnClientLeft("a")
			b.OnEnded("a", NeverSent, ms, true)
			b.OnEnded("a", NeverSent, ms, true)
		}, true},
		{"the server drains", func(b *Balancer) { b.OnEnded("a", NeverSent, ms, false) }, true},
		{"unreachable", func(b *Balancer) { b.OnEnded("a", Unreachable, ms, false) }, false},
		{"full", func(b *Balancer) { b.OnEnded("a", Full, ms, false) }, false},
		{"the client left after the connection was opened", func(b *Balancer) {
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
				t.Fatalf("%d spent, want some; %d attempts at the server, want 1; actions %v", server.budgetSpent, s.attemptsTo[1], s.performed)
			}
			if c.end(s.balancer); c.isRefunded {
				want--
			}
			if server.budgetSpent != want || server.openFlows != 0 || len(s.balancer.flows.connecting) != 0 {
				t.Errorf("%d spent, want %d; %d in the tally and %d connecting, want none",
					server.budgetSpent, want, server.openFlows, len(s.balancer.flows.connecting))
			}
		})
	}
}

// Guards against a small server that is pushed over at its start because the sizes of the list shrink under load: it
// counts as smaller than the mean by the largest sizes that were listed, also after a hand-over, and none as larger.
func TestSlowStartSizeOfShrinkingSizes(t *testing.T) {
	s := newHarness(t, Idempotent, DeduplicatedByFleet, 0)
	s.balancer.ConfigureShrinkingSizes()
	list := func(factor float64) {
		s.balancer.BeginEndpoints(DeltaUpdate)
		for i, size := range []float64{6, 3.6, 2.4} {
			s.balancer.OnEndpoint(Endpoint{ID: ServerID(i + 1), Size: size * factor, StartedAt: LongAgo})
		}
		s.balancer.EndEndpoints()
	}
	restart := func(id ServerID, size float64) {
		s.balancer.BeginEndpoints(DeltaUpdate)
		s.balancer.OnEndpoint(Endpoint{ID: id, Size: size, StartedAt: s.balancer.now})
		s.balancer.EndEndpoints()
	}
	check := func(when string, b *Balancer) {
		t.Helper()
		for id, want := range map[ServerID]float64{1: 1, 2: 0.9, 3: 0.6} {
			if got := b.slowStartSize(b.list.byID[id]); math.Abs(got-want) > 1e-9 {
				t.Errorf("%s: server %d counts as %v, want %v", when, id, got, want)
			}
		}
	}
	list(1)
	s.setTime(sec)
	list(0.05)
	restart(3, 2.4)
	check("after a restart", s.balancer)
	successor := newHarness(t, Idempotent, DeduplicatedByFleet, 0)
	successor.balancer.ConfigureShrinkingSizes()
	successor.setTime(sec)
	successor.balancer.Restore(s.balancer.Snapshot())
	check("after a hand-over", successor.balancer)
}
