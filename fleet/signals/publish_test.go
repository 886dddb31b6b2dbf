package signals

import (
	"testing"
	"time"

	"yardwinch/decide"
)

// A balancer publishes its own observations at once, and then at intervals.
func TestPublishOwnObservations(t *testing.T) {
	const onTime = 20 * time.Millisecond
	fail := func(outcome decide.Outcome) func(*Exchange) {
		return func(exchange *Exchange) {
			exchange.OnAttempt("f", server)
			exchange.OnEnded("f", server, outcome, false)
		}
	}
	establish := func(took time.Duration) func(*Exchange) {
		return func(exchange *Exchange) { exchange.OnEstablished("f", server, took) }
	}
	message := func(delay time.Duration) func(*Exchange) {
		return func(exchange *Exchange) { exchange.OnLatencySample(server, delay) }
	}
	type events []func(*Exchange)
	for _, c := range []struct {
		name     string
		events   events
		want     Fault
		reported bool
	}{
		{"no observation", nil, Healthy, false},
		{"a connection", events{establish(onTime)}, Healthy, true},
		{"a connection that was set up late", events{establish(time.Second)}, Late, true},
		{"a late message", events{establish(onTime), message(time.Second)}, Late, true},
		{"a late message, then one on time", events{establish(onTime), message(time.Second), message(time.Millisecond)}, Healthy, true},
		{"a single failure, which may be chance", events{fail(decide.Error)}, Healthy, false},
		{"two failures", events{fail(decide.Error), fail(decide.Reset)}, Failing, true},
		{"a full server is not faulty", events{fail(decide.Full), fail(decide.Full)}, Healthy, false},
		{"two attempts without an answer", events{fail(decide.TimedOut), fail(decide.Unreachable)}, Silent, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			exchange := newExchange("me")
			for _, event := range c.events {
				event(exchange)
			}
			exchange.SetTime(start + gatherDelay)
			record, isDue := exchange.Publish(3)
			if !isDue || (len(record.Reports) == 1) != c.reported || c.reported && record.Reports[0].Fault != c.want {
				t.Errorf("record due: %v, reports %+v; want a report: %v, with the fault %v", isDue, record.Reports, c.reported, c.want)
			}
			// Without a change the next record is due after an interval that grows with the fleet.
			exchange.SetTime(start + 600*time.Millisecond)
			if _, isDue := exchange.Publish(3); isDue {
				t.Error("published again too early")
			}
			exchange.SetTime(start + 3*time.Second)
			if _, isDue := exchange.Publish(3); !isDue {
				t.Error("not published again after the interval")
			}
			exchange.SetTime(start + 6*time.Second)
			if _, isDue := exchange.Publish(300); isDue {
				t.Error("published as often in a large fleet as in a small one")
			}
		})
	}
}
