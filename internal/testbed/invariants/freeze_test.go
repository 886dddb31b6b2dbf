package invariants

import (
	"testing"
	"time"
)

// A frozen balancer owes nothing; one that resumes owes every flow that has not ended.
func TestFrozenAndKilledBalancers(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	accepted := func(at, due int) Event { return Event{At: ms(at), Kind: FlowAccepted, Flow: 1, Deadline: ms(due)} }
	for _, test := range []struct {
		name   string
		events []Event
		broken Rule
		cost   Cost
	}{
		{"came due while frozen", []Event{
			accepted(100, 1000),
			{At: ms(200), Kind: BalancerFrozen},
			{At: ms(1000), Kind: ClientLeft, Flow: 1},
			{At: ms(5000), Kind: BalancerResumed},
		}, 0, Cost{Expired: 1}},
		{"accepted while frozen", []Event{
			{At: ms(50), Kind: BalancerFrozen},
			accepted(100, 1000),
			{At: ms(5000), Kind: BalancerResumed},
		}, 0, Cost{Expired: 1, AcceptedFrozen: 1}},
		{"resumed just before it was due", []Event{
			accepted(100, 1000),
			{At: ms(200), Kind: BalancerFrozen},
			{At: ms(900), Kind: BalancerResumed},
		}, 0, Cost{Expired: 1}},
		{"resumed in time and did not answer", []Event{
			accepted(100, 1000),
			{At: ms(200), Kind: BalancerFrozen},
			{At: ms(400), Kind: BalancerResumed},
		}, OneAnswer, Cost{}},
		{"an answer after the deadline is none", []Event{
			accepted(100, 1000),
			{At: ms(200), Kind: BalancerFrozen},
			{At: ms(3000), Kind: BalancerResumed},
			{At: ms(3010), Kind: FlowAnswered, Flow: 1},
		}, 0, Cost{Expired: 1, AnsweredLate: 1}},
		{"a connect before it could see", []Event{
			accepted(100, 1000),
			{At: ms(200), Kind: BalancerFrozen},
			{At: ms(3000), Kind: BalancerResumed},
			{At: ms(3010), Kind: ConnectSent, Flow: 1, Connect: 1},
		}, 0, Cost{Expired: 1, SentLate: 1}},
		{"a connect long after", []Event{accepted(100, 1000), {At: ms(200), Kind: BalancerFrozen}, {At: ms(3000), Kind: BalancerResumed},
			{At: ms(3200), Kind: ConnectSent, Flow: 1, Connect: 1}}, OneAnswer, Cost{Expired: 1, SentLate: 1}},
		{"a drain announced while frozen", []Event{
			accepted(100, 4000),
			{At: ms(200), Kind: BalancerFrozen},
			{At: ms(300), Kind: ServerAnnounced, Readiness: Draining},
			{At: ms(3000), Kind: BalancerResumed},
			{At: ms(3100), Kind: ConnectSent, Flow: 1, Connect: 1},
			{At: ms(3200), Kind: FlowAnswered, Flow: 1},
		}, 0, Cost{}},
		{"and sent after the grace", []Event{
			accepted(100, 5000),
			{At: ms(200), Kind: BalancerFrozen},
			{At: ms(300), Kind: ServerAnnounced, Readiness: Draining},
			{At: ms(3000), Kind: BalancerResumed},
			{At: ms(4000), Kind: ConnectSent, Flow: 1, Connect: 1},
			{At: ms(4100), Kind: FlowAnswered, Flow: 1},
		}, DrainsRespected, Cost{}},
		{"killed with one established and one waiting", []Event{
			accepted(100, 1000),
			{At: ms(200), Kind: FlowAnswered, Flow: 1},
			{At: ms(300), Kind: FlowAccepted, Flow: 2, Deadline: ms(900)},
			{At: ms(400), Kind: BalancerDied},
		}, 0, Cost{Cut: 1, Unanswered: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(Limits{
				Slack:             ms(50),
				DrainGrace:        ms(750),
				SlowStartMultiple: 3,
				SlowStartWindow:   time.Second,
				SlowStart:         time.Second,
				MeanLoad:          1,
			})
			for _, e := range test.events {
				c.Observe(e)
			}
			found := c.Finish(ms(10000))
			got := Rule(0)
			if len(found) > 0 {
				got = found[0].Rule
			}
			if got != test.broken || len(found) > 1 {
				t.Errorf("found %v, want rule %d", found, test.broken)
			}
			if cost := c.Costs()[0]; cost != test.cost {
				t.Errorf("costs %+v, want %+v", cost, test.cost)
			}
		})
	}
}
