package invariants

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

const testWindow = 1500 * ms

func testLimits(multiple, meanLoad float64) Limits {
	return Limits{Slack: 50 * ms, Reordering: 100 * ms, DrainGrace: 750 * ms, SlowStartMultiple: multiple, SlowStartWindow: testWindow,
		SlowStart: 20 * time.Second, MeanLoad: meanLoad}
}

func eventAt(t time.Duration, k Kind) Event {
	return Event{At: t, Kind: k, Flow: 7, Server: 1, Balancer: 0}
}

func acceptedAt(t time.Duration, effect Effect) Event {
	e := eventAt(t, FlowAccepted)
	e.Deadline, e.Effect, e.KeyWindow = t+time.Second, effect, 500*ms
	return e
}

func withScope(scope KeyScope, e Event) Event {
	e.KeyScope = scope
	return e
}

// sentAt is the send of a connect to a server that is alone in its zone and cell.
func sentAt(t time.Duration, c Connect, s Server) Event {
	e := eventAt(t, ConnectSent)
	e.Connect, e.Server, e.Zone, e.Cell = c, s, int(s), int(s)
	return e
}

// firstEnded is the end of connect 1.
func firstEnded(t time.Duration, mayHaveRun bool) Event {
	e := eventAt(t, ConnectEnded)
	e.Connect, e.MayHaveRun = 1, mayHaveRun
	return e
}

func answeredAt(t time.Duration, a Answer) Event {
	e := eventAt(t, FlowAnswered)
	e.Answer = a
	return e
}

// announced is the announcement of server 1 to a balancer.
func announced(t time.Duration, b Balancer, readiness Readiness, startedAt time.Duration) Event {
	return Event{At: t, Kind: ServerAnnounced, Balancer: b, Server: 1, Readiness: readiness, StartedAt: startedAt}
}

// connectsToStartingServer returns connects of many balancers to a starting server. Each sends one, which alone would be within the rule.
func connectsToStartingServer(balancers int, areInformed bool) (events []Event) {
	for b := range Balancer(balancers) {
		if areInformed {
			events = append(events, announced(10*ms, b, Ready, 5*ms))
		}
		events = append(events, Event{
			At:        100*ms + time.Duration(b)*ms,
			Kind:      ConnectArrived,
			Balancer:  b,
			Server:    1,
			StartedAt: 5 * ms,
			Load:      1,
			Capacity:  2,
		})
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// violationsOf observes events as they happen and returns the violations.
func violationsOf(events []Event) []Violation {
	c := New(testLimits(3, 1))
	for _, e := range events {
		c.Observe(e)
		c.Advance(e.At)
	}
	return c.Finish(10 * time.Second)
}

// validRuns are runs that break no rule.
var validRuns = []struct {
	name   string
	events []Event
}{
	{"established and ended", []Event{
		acceptedAt(0, Idempotent),
		sentAt(ms, 1, 1),
		answeredAt(20*ms, Established),
		eventAt(5*time.Second, ClientLeft),
	}},
	{"refused by one, established at the next", []Event{
		acceptedAt(0, NotIdempotent),
		sentAt(ms, 1, 1),
		firstEnded(5*ms, false),
		sentAt(6*ms, 2, 2),
		answeredAt(20*ms, Established),
	}},
	{"rejected", []Event{acceptedAt(0, Idempotent), answeredAt(ms, Rejected)}},
	{"the client left first", []Event{acceptedAt(0, Idempotent), eventAt(300*ms, ClientLeft)}},
	{"the balancer died", []Event{acceptedAt(0, Idempotent), eventAt(300*ms, BalancerDied)}},
	{"an answer observed before the request that caused it", []Event{answeredAt(5*ms, Rejected), acceptedAt(0, Idempotent)}},
	{"an end observed just after the next send", []Event{
		acceptedAt(0, Idempotent),
		sentAt(ms, 1, 1),
		sentAt(100*ms, 2, 2),
		firstEnded(110*ms, true),
		answeredAt(200*ms, Established),
	}},
	{"idempotent by key, within its window and zone", []Event{
		withScope(ZoneServers, acceptedAt(0, IdempotentByKey)),
		sentAt(ms, 1, 1),
		firstEnded(5*ms, true),
		sentAt(6*ms, 2, 1),
		answeredAt(20*ms, Established),
	}},
	{"sent within the grace", []Event{
		announced(0, 0, Draining, 0),
		acceptedAt(0, Idempotent),
		sentAt(700*ms, 1, 1),
		answeredAt(720*ms, Established),
	}},
	{"sent to a restarted server", []Event{
		announced(0, 0, Gone, 0),
		announced(500*ms, 0, Ready, 400*ms),
		acceptedAt(1900*ms, Idempotent),
		sentAt(2*time.Second, 1, 1),
		answeredAt(2100*ms, Established),
	}},
	{"a starting server overloaded by balancers that weren't told of the start", connectsToStartingServer(20, false)},
}

func TestValidRunsBreakNoRule(t *testing.T) {
	for _, test := range validRuns {
		t.Run(test.name, func(t *testing.T) {
			if violations := violationsOf(test.events); len(violations) > 0 {
				t.Errorf("violation reported in a valid run: %v", violations[0])
			}
		})
	}
}

// violatingRuns are runs that break one rule each.
var violatingRuns = []struct {
	name   string
	events []Event
	rule   Rule
	what   string
}{
	{"no answer", []Event{acceptedAt(0, Idempotent), sentAt(ms, 1, 1)}, OneAnswer, "no answer in time"},
	{"two answers", []Event{
		acceptedAt(0, Idempotent),
		answeredAt(ms, Rejected),
		answeredAt(2*ms, Aborted),
	}, OneAnswer, "answered twice"},
	{"rejected after established", []Event{
		acceptedAt(0, Idempotent),
		answeredAt(ms, Established),
		answeredAt(20*ms, Rejected),
	}, OneAnswer, "answered twice"},
	{"answered late", []Event{acceptedAt(0, Idempotent), answeredAt(1200*ms, Rejected)}, OneAnswer, "no answer in time"},
	{"answered after the end", []Event{
		acceptedAt(0, Idempotent),
		answeredAt(ms, Established),
		eventAt(time.Second, FlowEnded),
		answeredAt(2*time.Second, Aborted),
	}, OneAnswer, "answer after the flow ended"},
	{"answered after its client left", []Event{
		acceptedAt(0, Idempotent),
		eventAt(100*ms, ClientLeft),
		answeredAt(800*ms, Rejected),
	}, OneAnswer, "answer after the client left"},
	{"answered though never accepted", []Event{answeredAt(ms, Rejected)}, OneAnswer, "answer for an unknown flow"},
	{"sent after the answer", []Event{
		acceptedAt(0, Idempotent),
		answeredAt(ms, Rejected),
		sentAt(100*ms, 1, 1),
	}, OneAnswer, "connect sent after the final answer"},
	{"two connects outstanding", []Event{
		acceptedAt(0, Idempotent),
		sentAt(ms, 1, 1),
		sentAt(2*ms, 2, 2),
		firstEnded(400*ms, true),
		answeredAt(500*ms, Established),
	}, NoDuplicateEffect, "two connects outstanding"},
	{"not idempotent, sent again", []Event{
		acceptedAt(0, NotIdempotent),
		sentAt(ms, 1, 1),
		firstEnded(5*ms, true),
		sentAt(6*ms, 2, 2),
		answeredAt(20*ms, Established),
	}, NoDuplicateEffect, "non-idempotent"},
	{"not idempotent, rejected", []Event{
		acceptedAt(0, NotIdempotent),
		sentAt(ms, 1, 1),
		firstEnded(5*ms, true),
		answeredAt(20*ms, Rejected),
	}, NoDuplicateEffect, "rejected as safe to retry"},
	{"idempotent by key, after its window", []Event{
		acceptedAt(0, IdempotentByKey),
		sentAt(ms, 1, 1),
		firstEnded(700*ms, true),
		sentAt(701*ms, 2, 1),
		answeredAt(720*ms, Established),
	}, NoDuplicateEffect, "window"},
	{"idempotent by key, other zone", []Event{
		withScope(ZoneServers, acceptedAt(0, IdempotentByKey)),
		sentAt(ms, 1, 1),
		firstEnded(5*ms, true),
		sentAt(6*ms, 2, 2),
		answeredAt(20*ms, Established),
	}, NoDuplicateEffect, "scope"},
	{"sent after the drain grace", []Event{
		announced(0, 0, Draining, 0),
		acceptedAt(900*ms, Idempotent),
		sentAt(901*ms, 1, 1),
		answeredAt(920*ms, Established),
	}, DrainsRespected, "after the drain grace"},
	{"the grace runs from the first announcement", []Event{
		announced(0, 0, Draining, 0),
		announced(800*ms, 0, Gone, 0),
		acceptedAt(900*ms, Idempotent),
		sentAt(901*ms, 1, 1),
		answeredAt(920*ms, Established),
	}, DrainsRespected, "after the drain grace"},
	{"a starting server overloaded by many balancers, each within its part", connectsToStartingServer(20, true), SlowStartRespected, "times what it can take"},
}

func TestViolationsAreFoundWithTheirEvents(t *testing.T) {
	for _, test := range violatingRuns {
		t.Run(test.name, func(t *testing.T) {
			violations := violationsOf(test.events)
			if len(violations) == 0 || violations[0].Rule != test.rule || !strings.Contains(violations[0].Description, test.what) {
				t.Fatalf("violations %v, want the first to break rule %d with %q", violations, test.rule, test.what)
			}
			if len(violations[0].Events) == 0 || !strings.Contains(violations[0].String(), "seen: ") {
				t.Error("the violation lists no events")
			}
		})
	}
}

// The rule bounds what all balancers together send a starting server: a budget of N connects plus 2√N + 2 is allowed, one more is not.
func TestSlowStartBoundsTheSumOfAllBalancers(t *testing.T) {
	const multiple, mean = 3, 0.04
	for _, n := range []float64{0.3, 1.2, 2.5, 4.3, 9.1, 30} {
		for _, balancers := range []int{3, 20, 30, 300} {
			t.Run(fmt.Sprintf("%v connects, %d balancers", n, balancers), func(t *testing.T) {
				allowed := int(n + 2*math.Sqrt(n) + 2)
				for _, sent := range []int{allowed, allowed + 1} {
					c := New(testLimits(multiple, mean))
					for b := range balancers {
						c.Observe(announced(10*ms, Balancer(b), Ready, 5*ms))
					}
					for i := range sent {
						c.Observe(Event{
							At:        100*ms + time.Duration(i)*10*ms,
							Kind:      ConnectArrived,
							Balancer:  Balancer(i % balancers),
							Server:    1,
							StartedAt: 5 * ms,
							Load:      mean,
							Capacity:  n * mean / multiple / testWindow.Seconds(),
						})
					}
					if found := c.Finish(10 * time.Second); (len(found) > 0) != (sent > allowed) {
						t.Errorf("%d connects: %d violations; up to %d connects are allowed", sent, len(found), allowed)
					}
				}
			})
		}
	}
}

// A connect lighter than the mean load counts as one of the mean load, and so does a single heavy one, as balancers can't know a load in
// advance. With several heavy ones, the sum of their loads counts.
func TestSlowStartCountsConnectsOfMeanLoad(t *testing.T) {
	const multiple, mean = 3, 0.04
	const budget = 9.1 // connects of the mean load; the rule allows 9.1 + 2√9.1 + 2 of them: 17
	many := func(n int, load float64) []float64 { return slices.Repeat([]float64{load}, n) }
	for _, test := range []struct {
		name   string
		loads  []float64 // as multiples of the mean load
		broken bool
	}{
		{"light ones up to the bound", many(17, 0.1), false},
		{"one light one beyond the bound", many(18, 0.1), true},
		{"one heavy one alone", []float64{40}, false},
		{"a heavy one among few", []float64{1, 0.3, 40, 1}, false},
		{"a heavy one, up to the bound", append(many(16, 1), 40), false},
		{"a heavy one, beyond the bound", append(many(17, 1), 40), true},
		{"two heavy ones", []float64{20, 20}, true},
		{"few with a total load beyond the bound", many(7, 3), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := New(testLimits(multiple, mean))
			c.Observe(announced(10*ms, 1, Ready, 5*ms))
			for i, load := range test.loads {
				c.Observe(Event{At: 100*ms + time.Duration(i)*10*ms, Kind: ConnectArrived, Balancer: 1, Server: 1, StartedAt: 5 * ms,
					Load: load * mean, Capacity: budget * mean / multiple / testWindow.Seconds()})
			}
			if found := c.Finish(10 * time.Second); (len(found) > 0) != test.broken {
				t.Errorf("broken = %v, want %v; violations: %v", len(found) > 0, test.broken, found)
			}
		})
	}
}
