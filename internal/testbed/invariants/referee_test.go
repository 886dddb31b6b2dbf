package invariants

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func at(t time.Duration, k Kind) Event { return Event{At: t, Kind: k, Flow: 7, Server: 1, Balancer: 0} }

func taken(t time.Duration, e Effect) Event {
	x := at(t, Taken)
	x.Due, x.Effect, x.Window = t+time.Second, e, 500*ms
	return x
}

func sent(t time.Duration, c Connect, s Server) Event {
	x := at(t, Sent)
	x.Connect, x.Server, x.Zone, x.Cell = c, s, int(s), int(s)
	return x
}

func connectOver(t time.Duration, c Connect, ran bool) Event {
	x := at(t, ConnectOver)
	x.Connect, x.Ran = c, ran
	return x
}

func said(t time.Duration, v Verdict) Event {
	x := at(t, Answered)
	x.Verdict = v
	return x
}

func told(t time.Duration, b Balancer, s Server, st State, since time.Duration) Event {
	return Event{At: t, Kind: Told, Balancer: b, Server: s, State: st, Since: since}
}

func group(r Reach, e Event) Event { e.Reach = r; return e }

func TestVerdicts(t *testing.T) {
	var flood []Event
	for b := range Balancer(20) {
		flood = append(flood, told(10*ms, b, 1, Ready, 5*ms))
	}
	for b := range Balancer(20) { // one each: within any single balancer's part
		flood = append(flood, Event{At: 100*ms + time.Duration(b)*ms, Kind: Arrived, Balancer: b, Server: 1, Since: 5 * ms, Load: 1, Takes: 2})
	}
	var unaware []Event
	for _, e := range flood {
		if e.Kind == Arrived {
			unaware = append(unaware, e)
		}
	}
	for _, c := range []struct {
		name   string
		events []Event
		rule   Rule // 0: sound
		what   string
	}{
		{"established and ended", []Event{taken(0, Repeatable), sent(ms, 1, 1), said(20*ms, Established), at(5*time.Second, Left)}, 0, ""},
		{"refused by one, established at the next", []Event{taken(0, OnceOnly), sent(ms, 1, 1), connectOver(5*ms, 1, false), sent(6*ms, 2, 2), said(20*ms, Established)}, 0, ""},
		{"rejected", []Event{taken(0, Repeatable), said(ms, Rejected)}, 0, ""},
		{"client went first", []Event{taken(0, Repeatable), at(300*ms, Left)}, 0, ""},
		{"its balancer died", []Event{taken(0, Repeatable), at(300*ms, Died)}, 0, ""},
		{"an answer seen before the line that caused it", []Event{said(5*ms, Rejected), taken(0, Repeatable)}, 0, ""},
		{"an end seen just after the next send", []Event{taken(0, Repeatable), sent(ms, 1, 1), sent(100*ms, 2, 2), connectOver(110*ms, 1, true), said(200*ms, Established)}, 0, ""},
		{"a referenced flow within its window and zone", []Event{group(ReachZone, taken(0, Referenced)), sent(ms, 1, 1), connectOver(5*ms, 1, true), sent(6*ms, 2, 1), said(20*ms, Established)}, 0, ""},
		{"sent within the grace", []Event{told(0, 0, 1, Draining, 0), taken(0, Repeatable), sent(700*ms, 1, 1), said(720*ms, Established)}, 0, ""},
		{"sent to one that is back", []Event{told(0, 0, 1, Gone, 0), told(500*ms, 0, 1, Ready, 400*ms), taken(1900*ms, Repeatable), sent(2*time.Second, 1, 1), said(2100*ms, Established)}, 0, ""},
		{"a cold server pushed by those who can't know", unaware, 0, ""},

		{"no answer", []Event{taken(0, Repeatable), sent(ms, 1, 1)}, OneAnswer, "no answer in time"},
		{"two answers", []Event{taken(0, Repeatable), said(ms, Rejected), said(2*ms, Aborted)}, OneAnswer, "answered twice"},
		{"rejected after established", []Event{taken(0, Repeatable), said(ms, Established), said(20*ms, Rejected)}, OneAnswer, "answered twice"},
		{"late", []Event{taken(0, Repeatable), said(1200*ms, Rejected)}, OneAnswer, "no answer in time"},
		{"after the end", []Event{taken(0, Repeatable), said(ms, Established), at(time.Second, Ended), said(2*time.Second, Aborted)}, OneAnswer, "an answer after the end"},
		{"after its client went", []Event{taken(0, Repeatable), at(100*ms, Left), said(800*ms, Rejected)}, OneAnswer, "an answer after the end"},
		{"never taken", []Event{said(ms, Rejected)}, OneAnswer, "not held"},
		{"sent after the answer", []Event{taken(0, Repeatable), said(ms, Rejected), sent(100*ms, 1, 1)}, OneAnswer, "sent after the answer"},
		{"two connects out", []Event{taken(0, Repeatable), sent(ms, 1, 1), sent(2*ms, 2, 2), connectOver(400*ms, 1, true), said(500*ms, Established)}, NoSecondEffect, "two connects out"},
		{"once-only again", []Event{taken(0, OnceOnly), sent(ms, 1, 1), connectOver(5*ms, 1, true), sent(6*ms, 2, 2), said(20*ms, Established)}, NoSecondEffect, "once-only"},
		{"once-only rejected", []Event{taken(0, OnceOnly), sent(ms, 1, 1), connectOver(5*ms, 1, true), said(20*ms, Rejected)}, NoSecondEffect, "rejected as harmless"},
		{"referenced, window over", []Event{taken(0, Referenced), sent(ms, 1, 1), connectOver(700*ms, 1, true), sent(701*ms, 2, 1), said(720*ms, Established)}, NoSecondEffect, "window"},
		{"referenced, other zone", []Event{group(ReachZone, taken(0, Referenced)), sent(ms, 1, 1), connectOver(5*ms, 1, true), sent(6*ms, 2, 2), said(20*ms, Established)}, NoSecondEffect, "group"},
		{"sent after the grace", []Event{told(0, 0, 1, Draining, 0), taken(900*ms, Repeatable), sent(901*ms, 1, 1), said(920*ms, Established)}, DrainsKept, "after the grace"},
		{"the grace runs from the first word", []Event{told(0, 0, 1, Draining, 0), told(800*ms, 0, 1, Gone, 0), taken(900*ms, Repeatable), sent(901*ms, 1, 1), said(920*ms, Established)}, DrainsKept, "after the grace"},
		{"a cold server flooded by many, each within its part", flood, NoneFloodedCold, "times what it can take"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(50*ms, 100*ms, 750*ms, 3, 1, 1500*ms, 20*time.Second)
			for _, e := range c.events {
				r.Observe(e)
				r.Advance(e.At)
			}
			found := r.Finish(10 * time.Second)
			if c.rule == 0 {
				if len(found) > 0 {
					t.Errorf("a sound run is called broken: %v", found[0])
				}
				return
			}
			if len(found) == 0 || found[0].Rule != c.rule || !strings.Contains(found[0].What, c.what) {
				t.Fatalf("found %v, want rule %d, %s", found, c.rule, c.what)
			}
			if len(found[0].Proof) == 0 || !strings.Contains(found[0].String(), "seen: ") {
				t.Error("no event proves it")
			}
		})
	}
}

// A cold server is judged by what all balancers send it together: beyond a budget of N connects 2√N + 2 are chance, one more is not.
func TestColdServersBearTheSum(t *testing.T) {
	const multiple, mean, window = 3, 0.04, 1500 * ms
	for _, n := range []float64{0.3, 1.2, 2.5, 4.3, 9.1, 30} {
		for _, balancers := range []int{3, 20, 30, 300} {
			t.Run(fmt.Sprintf("%v connects, %d balancers", n, balancers), func(t *testing.T) {
				bears := int(n + 2*math.Sqrt(n) + 2)
				for _, sent := range []int{bears, bears + 1} {
					r := New(50*ms, 100*ms, 750*ms, multiple, mean, window, 20*time.Second)
					for b := range balancers {
						r.Observe(told(10*ms, Balancer(b), 1, Ready, 5*ms))
					}
					for i := range sent {
						r.Observe(Event{At: 100*ms + time.Duration(i)*10*ms, Kind: Arrived, Balancer: Balancer(i % balancers), Server: 1, Since: 5 * ms,
							Load: mean, Takes: n * mean / multiple / window.Seconds()})
					}
					if found := r.Finish(10 * time.Second); (len(found) > 0) != (sent > bears) {
						t.Errorf("%d connects: %d rules broken", sent, len(found))
					}
				}
			})
		}
	}
}

// The rule counts requests of mean work: light ones count in full, and one whose load nobody could know counts as one. Two
// such ones are judged by what they bring.
func TestColdServersAreJudgedByRequestsOfMeanWork(t *testing.T) {
	const multiple, mean, window = 3, 0.04, 1500 * ms
	const budget = 9.1 // connects of the mean load; the rule bears 9.1 + 2√9.1 + 2 of them: 17
	many := func(n int, load float64) []float64 { return slices.Repeat([]float64{load}, n) }
	for _, c := range []struct {
		name   string
		loads  []float64 // in mean loads
		broken bool
	}{
		{"as many light ones as it bears", many(17, 0.1), false},
		{"one light one more", many(18, 0.1), true},
		{"one heavy one alone", []float64{40}, false},
		{"a heavy one among few", []float64{1, 0.3, 40, 1}, false},
		{"a heavy one among as much as it bears", append(many(16, 1), 40), false},
		{"a heavy one among more", append(many(17, 1), 40), true},
		{"two heavy ones", []float64{20, 20}, true},
		{"few, heavier than it bears together", many(7, 3), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(50*ms, 100*ms, 750*ms, multiple, mean, window, 20*time.Second)
			r.Observe(told(10*ms, 1, 1, Ready, 5*ms))
			for i, load := range c.loads {
				r.Observe(Event{At: 100*ms + time.Duration(i)*10*ms, Kind: Arrived, Balancer: 1, Server: 1, Since: 5 * ms,
					Load: load * mean, Takes: budget * mean / multiple / window.Seconds()})
			}
			if found := r.Finish(10 * time.Second); (len(found) > 0) != c.broken {
				t.Errorf("broken: %v, wanted %v: %v", len(found) > 0, c.broken, found)
			}
		})
	}
}
