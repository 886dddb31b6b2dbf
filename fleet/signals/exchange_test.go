package signals

import (
	"testing"
	"time"

	"yardwinch/decide"
)

const server = decide.ServerID(7)

// start is the time at which an exchange of a test starts, and later the time of the first reports.
const start = 100 * time.Second

// gathered is a time after which reports that came before are taken into account.
const gathered = 300 * time.Millisecond

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

// reportOf is a record that reports on the server.
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

// A restart whose clock went back, or that has no memory, still publishes as the later one.
func TestOwnRecordFromBefore(t *testing.T) {
	exchange := newExchange("me")
	exchange.Merge(reportOf("me", 9, Late, 1))
	record, isDue := exchange.Publish(3)
	if !isDue || record.Incarnation != 2 {
		t.Errorf("published %v as incarnation %d", isDue, record.Incarnation)
	}
}

// Reports of origins that are not members do not count, under however many names they come.
func TestOnlyMembersReportsCount(t *testing.T) {
	exchange := newExchange("me")
	exchange.SetReporters([]Origin{"me", "a"})
	for _, origin := range []Origin{"a", "a-2", "a-3", "gone"} {
		exchange.Merge(reportOf(origin, 1, Silent, 5))
	}
	if exchange.penalises(start + gathered) {
		t.Error("one member and three strangers had the server penalised")
	}
	exchange.SetReporters([]Origin{"me", "a", "gone"})
	if !exchange.penalises(start + 2*gathered) {
		t.Error("two members did not have the server penalised")
	}
}
