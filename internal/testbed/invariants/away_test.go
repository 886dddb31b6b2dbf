package invariants

import (
	"testing"
	"time"
)

// A frozen balancer owes nothing; one that runs on owes all that is not over.
func TestFrozenAndKilledBalancers(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	taken := func(at, due int) Event { return Event{At: ms(at), Kind: Taken, Flow: 1, Due: ms(due)} }
	for _, x := range []struct {
		name   string
		events []Event
		broken Rule
		cost   Cost
	}{
		{"came due while frozen", []Event{taken(100, 1000), {At: ms(200), Kind: Stopped}, {At: ms(1000), Kind: Left, Flow: 1}, {At: ms(5000), Kind: Thawed}}, 0, Cost{Unheard: 1}},
		{"taken while frozen", []Event{{At: ms(50), Kind: Stopped}, taken(100, 1000), {At: ms(5000), Kind: Thawed}}, 0, Cost{Unheard: 1, AskedFor: 1}},
		{"ran on just before it was due", []Event{taken(100, 1000), {At: ms(200), Kind: Stopped}, {At: ms(900), Kind: Thawed}}, 0, Cost{Unheard: 1}},
		{"ran on in time and said nothing", []Event{taken(100, 1000), {At: ms(200), Kind: Stopped}, {At: ms(400), Kind: Thawed}}, OneAnswer, Cost{}},
		{"an answer after its time is none", []Event{taken(100, 1000), {At: ms(200), Kind: Stopped}, {At: ms(3000), Kind: Thawed},
			{At: ms(3010), Kind: Answered, Flow: 1}}, 0, Cost{Unheard: 1, TooLate: 1}},
		{"a connect before it could see", []Event{taken(100, 1000), {At: ms(200), Kind: Stopped}, {At: ms(3000), Kind: Thawed},
			{At: ms(3010), Kind: Sent, Flow: 1, Connect: 1}}, 0, Cost{Unheard: 1, Sent: 1}},
		{"a connect long after", []Event{taken(100, 1000), {At: ms(200), Kind: Stopped}, {At: ms(3000), Kind: Thawed},
			{At: ms(3200), Kind: Sent, Flow: 1, Connect: 1}}, OneAnswer, Cost{Unheard: 1, Sent: 1}},
		{"told of a drain while frozen", []Event{taken(100, 4000), {At: ms(200), Kind: Stopped}, {At: ms(300), Kind: Told, State: Draining}, {At: ms(3000), Kind: Thawed},
			{At: ms(3100), Kind: Sent, Flow: 1, Connect: 1}, {At: ms(3200), Kind: Answered, Flow: 1}}, 0, Cost{}},
		{"and sent after the grace", []Event{taken(100, 5000), {At: ms(200), Kind: Stopped}, {At: ms(300), Kind: Told, State: Draining}, {At: ms(3000), Kind: Thawed},
			{At: ms(4000), Kind: Sent, Flow: 1, Connect: 1}, {At: ms(4100), Kind: Answered, Flow: 1}}, DrainsKept, Cost{}},
		{"killed with one standing and one waiting", []Event{taken(100, 1000), {At: ms(200), Kind: Answered, Flow: 1},
			{At: ms(300), Kind: Taken, Flow: 2, Due: ms(900)}, {At: ms(400), Kind: Died}}, 0, Cost{Cut: 1, Waiting: 1}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := New(ms(50), 0, ms(750), 3, 1, time.Second, time.Second)
			for _, e := range x.events {
				r.Observe(e)
			}
			found := r.Finish(ms(10000))
			got := Rule(0)
			if len(found) > 0 {
				got = found[0].Rule
			}
			if got != x.broken || len(found) > 1 {
				t.Errorf("found %v, want rule %d", found, x.broken)
			}
			if c := r.Costs()[0]; c != x.cost {
				t.Errorf("costs %+v, want %+v", c, x.cost)
			}
		})
	}
}
