package invariants

import (
	"testing"
	"time"
)

// flowDueAt is the acceptance of flow 1 at 100 ms.
func flowDueAt(deadline time.Duration) Event {
	return Event{At: 100 * ms, Kind: FlowAccepted, Flow: 1, Deadline: deadline}
}

// frozenRuns are runs with a balancer that is frozen or killed. broken is the rule that is broken; 0: none.
var frozenRuns = []struct {
	name   string
	events []Event
	broken Rule
	cost   Cost
}{
	{"deadline passed while frozen", []Event{
		flowDueAt(1000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 1000 * ms, Kind: ClientLeft, Flow: 1},
		{At: 5000 * ms, Kind: BalancerResumed},
	}, 0, Cost{Expired: 1}},
	{"accepted while frozen", []Event{
		{At: 50 * ms, Kind: BalancerFrozen},
		flowDueAt(1000 * ms),
		{At: 5000 * ms, Kind: BalancerResumed},
	}, 0, Cost{Expired: 1, AcceptedFrozen: 1}},
	{"resumed just before the deadline", []Event{
		flowDueAt(1000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 900 * ms, Kind: BalancerResumed},
	}, 0, Cost{Expired: 1}},
	{"resumed well before the deadline and did not answer", []Event{
		flowDueAt(1000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 400 * ms, Kind: BalancerResumed},
	}, OneAnswer, Cost{}},
	{"answered after resuming, past the deadline", []Event{
		flowDueAt(1000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 3000 * ms, Kind: BalancerResumed},
		{At: 3010 * ms, Kind: FlowAnswered, Flow: 1},
	}, 0, Cost{Expired: 1, AnsweredLate: 1}},
	{"connect sent just after resuming", []Event{
		flowDueAt(1000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 3000 * ms, Kind: BalancerResumed},
		{At: 3010 * ms, Kind: ConnectSent, Flow: 1, Connect: 1},
	}, 0, Cost{Expired: 1, SentLate: 1}},
	{"connect sent long after resuming", []Event{
		flowDueAt(1000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 3000 * ms, Kind: BalancerResumed},
		{At: 3200 * ms, Kind: ConnectSent, Flow: 1, Connect: 1},
	}, OneAnswer, Cost{Expired: 1, SentLate: 1}},
	{"drain announced while frozen, connect sent within the grace after resuming", []Event{
		flowDueAt(4000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 300 * ms, Kind: ServerAnnounced, Readiness: Draining},
		{At: 3000 * ms, Kind: BalancerResumed},
		{At: 3100 * ms, Kind: ConnectSent, Flow: 1, Connect: 1},
		{At: 3200 * ms, Kind: FlowAnswered, Flow: 1},
	}, 0, Cost{}},
	{"drain announced while frozen, connect sent after the grace", []Event{
		flowDueAt(5000 * ms),
		{At: 200 * ms, Kind: BalancerFrozen},
		{At: 300 * ms, Kind: ServerAnnounced, Readiness: Draining},
		{At: 3000 * ms, Kind: BalancerResumed},
		{At: 4000 * ms, Kind: ConnectSent, Flow: 1, Connect: 1},
		{At: 4100 * ms, Kind: FlowAnswered, Flow: 1},
	}, DrainsRespected, Cost{}},
	{"killed with one flow established and one waiting", []Event{
		flowDueAt(1000 * ms),
		{At: 200 * ms, Kind: FlowAnswered, Flow: 1},
		{At: 300 * ms, Kind: FlowAccepted, Flow: 2, Deadline: 900 * ms},
		{At: 400 * ms, Kind: BalancerDied},
	}, 0, Cost{Cut: 1, Unanswered: 1}},
}

// No rule applies to a balancer while it is frozen. Once it resumes, it must answer every flow that has not expired.
func TestFrozenAndKilledBalancers(t *testing.T) {
	for _, test := range frozenRuns {
		t.Run(test.name, func(t *testing.T) {
			c := New(Limits{
				Slack:             50 * ms,
				DrainGrace:        750 * ms,
				SlowStartMultiple: 3,
				SlowStartWindow:   time.Second,
				SlowStart:         time.Second,
				MeanLoad:          1,
			})
			for _, e := range test.events {
				c.Observe(e)
			}
			found := c.Finish(10000 * ms)
			got := Rule(0)
			if len(found) > 0 {
				got = found[0].Rule
			}
			if got != test.broken || len(found) > 1 {
				t.Errorf("violations %v, want at most one, of rule %d (0: none)", found, test.broken)
			}
			if cost := c.Costs()[0]; cost != test.cost {
				t.Errorf("costs %+v, want %+v", cost, test.cost)
			}
		})
	}
}
