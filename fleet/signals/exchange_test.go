package signals

import (
	"testing"
	"time"

	"yardwinch/decide"
)

const server = decide.ServerID(7)

// start is the time at which the exchange of a test starts, and of the first reports.
const start = 100 * time.Second

// gatherDelay is a time after which new reports are taken into account.
const gatherDelay = 300 * time.Millisecond

func newExchange(origin Origin) *Exchange {
	exchange := New(Config{
		Origin:           origin,
		Incarnation:      1,
		Build:            "b",
		Settings:         "s",
		LatencyThreshold: 80 * time.Millisecond,
		SetupLimit:       300 * time.Millisecond,
		Enabled:          true,
	})
	exchange.SetTime(start)
	return exchange
}

// reportOf returns a record with one report, on the server.
func reportOf(origin Origin, sequence Sequence, fault Fault, connections int) Record {
	report := Report{Server: server, Fault: fault, Connections: connections}
	return Record{Origin: origin, Incarnation: 1, Sequence: sequence, Reports: []Report{report}}
}

func (e *Exchange) mergeAll(records ...Record) {
	for _, record := range records {
		e.Merge(record)
	}
}

// penalises reports whether the server is penalised at a time.
func (e *Exchange) penalises(now time.Duration) bool {
	e.SetTime(now)
	cost, _ := e.ServerCost("g", server)
	return cost > 0
}

// A balancer that restarts without its state, or with a clock that went back, publishes as a later incarnation than
// before.
func TestOwnRecordOfEarlierIncarnation(t *testing.T) {
	exchange := newExchange("me")
	exchange.Merge(reportOf("me", 9, Late, 1))
	record, isDue := exchange.Publish(3)
	if !isDue || record.Incarnation != 2 {
		t.Errorf("record due: %v, incarnation %d; want true and 2", isDue, record.Incarnation)
	}
}

// Reports of origins that are not members do not count, however many names they use.
func TestOnlyMembersReportsCount(t *testing.T) {
	exchange := newExchange("me")
	exchange.SetReporters([]Origin{"me", "a"})
	for _, origin := range []Origin{"a", "a-2", "a-3", "gone"} {
		exchange.Merge(reportOf(origin, 1, Silent, 5))
	}
	if exchange.penalises(start + gatherDelay) {
		t.Error("the server is penalised by the reports of one member and three unknown origins")
	}
	exchange.SetReporters([]Origin{"me", "a", "gone"})
	if !exchange.penalises(start + 2*gatherDelay) {
		t.Error("the server is not penalised by the reports of two members")
	}
}
