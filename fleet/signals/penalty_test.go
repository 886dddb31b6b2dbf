package signals

import (
	"testing"
	"time"

	"yardwinch/decide"
)

// Which reports lead to a penalty of a server, and which do not.
func TestWhoseReportsCount(t *testing.T) {
	late := func(origins ...Origin) (records []Record) {
		for _, origin := range origins {
			records = append(records, reportOf(origin, 1, Late, 3))
		}
		return records
	}
	lateAndHealthy := func(late []Record, healthy ...Origin) []Record {
		for _, origin := range healthy {
			late = append(late, reportOf(origin, 1, Healthy, 1))
		}
		return late
	}
	observeNothing := func(*Exchange) {}
	establish := func(exchange *Exchange) { exchange.OnEstablished("f", server, 10*time.Millisecond) }
	observeLate := func(exchange *Exchange) {
		establish(exchange)
		exchange.OnLatencySample(server, time.Second)
	}
	moreHealthy := append(lateAndHealthy(late("a", "b"), "c", "d"), reportOf("e", 1, Healthy, 9))
	manyConnections := reportOf("a", 1, Late, 1<<20)
	ownName := reportOf("me", 9, Late, 3)
	for _, c := range []struct {
		name      string
		records   []Record
		observe   func(*Exchange)
		penalised bool
	}{
		{"one report, which may be wrong or from behind a bad link", late("a"), observeNothing, false},
		{"two reports", append(late("a"), reportOf("b", 1, Failing, 0)), observeNothing, true},
		{"two reports, and as many of a healthy server", lateAndHealthy(late("a", "b"), "c", "d"), observeNothing, true},
		{"two reports, and more of a healthy server", moreHealthy, observeNothing, false},
		{"one report that claims many connections", lateAndHealthy([]Record{manyConnections}, "c", "d"), observeNothing, false},
		{"one report, and an own observation", late("a"), observeLate, true},
		{"two reports, and a healthy own connection", late("a", "b"), establish, false},
		{"one report, and one under the own name", append([]Record{ownName}, late("b")...), observeNothing, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			exchange := newExchange("me")
			c.observe(exchange)
			exchange.mergeAll(c.records...)
			exchange.SetTime(start + gatherDelay)
			cost, reason := exchange.ServerCost("g", server)
			if (cost > 0) != c.penalised || reason != "" {
				t.Errorf("cost %g, reason %q, want it penalised: %v", cost, reason, c.penalised)
			}
			if c.penalised && exchange.ExplainCost(server) == "" {
				t.Error("the penalty is not explained")
			}
			exchange.enabled = false
			if cost, _ := exchange.ServerCost("g", server); cost != 0 {
				t.Error("the server is penalised though the exchange is not enabled")
			}
		})
	}
}

// A penalty ends some time after the last report of a fault, lasts longer when the fault recurs, and ends at once when
// two origins with connections report the server as healthy.
func TestPenaltyTime(t *testing.T) {
	const step = 50 * time.Millisecond
	exchange := newExchange("me")
	penaltyFrom := func(from time.Duration, sequence Sequence) time.Duration {
		exchange.SetTime(from)
		exchange.mergeAll(reportOf("a", sequence, Late, 1), reportOf("b", sequence, Late, 1))
		now := from
		for exchange.penalises(now + gatherDelay) {
			now += step
		}
		return now - from
	}
	first := penaltyFrom(start, 1)
	shortest := faultValidity + initialPenaltyTime - time.Second
	longest := faultValidity + initialPenaltyTime + minReleaseFleet*releaseInterval + time.Second
	if first < shortest || first > longest {
		t.Errorf("penalised for %v, want %v to %v", first, shortest, longest)
	}
	second := penaltyFrom(start+first+time.Second, 2)
	if second < first+initialPenaltyTime/2 {
		t.Errorf("penalised for %v, then again for %v, want longer", first, second)
	}
	const third = 500 * time.Second
	exchange.SetTime(third)
	exchange.mergeAll(reportOf("a", 3, Late, 1), reportOf("b", 3, Late, 1))
	if !exchange.penalises(third + gatherDelay) {
		t.Fatal("not penalised again")
	}
	exchange.mergeAll(reportOf("a", 4, Healthy, 1), reportOf("b", 4, Healthy, 1))
	if exchange.penalises(third + 2*gatherDelay) {
		t.Error("penalised though two origins with connections report it as healthy")
	}
}

// If more than one server and more than a tenth of the servers are faulty, none is penalised: avoiding them all would
// overload the rest.
func TestWidespreadFaultPenalisesNone(t *testing.T) {
	for _, c := range []struct {
		servers, faulty int
		penalised       bool
	}{{4, 1, true}, {4, 2, false}, {40, 4, true}, {40, 5, false}} {
		exchange := newExchange("me")
		for i := range c.servers {
			exchange.OnEndpoint(decide.Endpoint{ID: decide.ServerID(i), Zone: "a", Size: 1, Readiness: decide.Ready})
		}
		for _, origin := range []Origin{"a", "b"} {
			record := Record{Origin: origin, Incarnation: 1, Sequence: 1}
			for i := range c.faulty {
				record.Reports = append(record.Reports, Report{Server: decide.ServerID(i), Fault: Late, Connections: 1})
			}
			exchange.Merge(record)
		}
		exchange.SetTime(start + gatherDelay)
		if cost, _ := exchange.ServerCost("f", 0); (cost > 0) != c.penalised {
			t.Errorf("%d of %d faulty: cost %g, want it penalised: %v", c.faulty, c.servers, cost, c.penalised)
		}
	}
}
