package routing

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// noteTaken is a delay as the module was told it.
type noteTaken struct {
	flow  decide.FlowID
	delay time.Duration
}

// noteTaker stands before the module and keeps the delays that it is told.
type noteTaker struct {
	constraints.Balancer
	notes []noteTaken
}

func (n *noteTaker) OnLatencySample(id decide.FlowID, took time.Duration) {
	n.notes = append(n.notes, noteTaken{id, took})
	n.Balancer.OnLatencySample(id, took)
}

// plainNotes is the plain reckoning of what is told now, over all flows and all servers.
func plainNotes(r *Router, now time.Duration) (notes []noteTaken, moved map[decide.FlowID]bool) {
	waits, flows := map[*server][]time.Duration{}, map[*server]decide.FlowID{}
	moved = map[decide.FlowID]bool{}
	for id, f := range r.flows {
		if !f.up {
			continue
		}
		if first, ok := flows[f.server]; !ok || id < first {
			flows[f.server] = id
		}
		if f.asked != 0 && now-f.asked > r.late.from {
			waits[f.server] = append(waits[f.server], now-f.asked)
		}
		if f.moving || f.asked != 0 && now-f.asked > deadAfter || now-f.heard > goneAfter {
			moved[id] = true
		}
	}
	for _, s := range r.order {
		id, holds := flows[s]
		took := waits[s]
		for i, at := range s.lines.at {
			if now-at < tripAge {
				took = append(took, s.lines.took[i])
			}
		}
		if !holds || len(took) == 0 {
			continue
		}
		slices.Sort(took)
		delay, noted := took[len(took)/2], s.lines.noted
		if delay <= r.late.from && noted != 0 || delay > r.late.from && (noted == 0 || now-noted >= noteEvery-checkEvery/2) {
			notes = append(notes, noteTaken{id, delay})
		}
	}
	return notes, moved
}

// What is told of late servers, and who is asked to come again, is what the plain reckoning over all flows and servers gives.
func TestDelaysAsPlainlyReckoned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := make([]string, rapid.IntRange(1, 5).Draw(rt, "servers"))
		for i := range names {
			names[i] = fmt.Sprint("s", i)
		}
		r := router(t, true, true, names...)
		taker := &noteTaker{Balancer: r.b}
		r.b = taker
		var up []*Flow
		told := 0
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			switch event := rapid.IntRange(0, 9).Draw(rt, "event"); {
			case event == 0 || len(up) == 0:
				f, err := r.AdoptFlow("live", "", "", rapid.SampledFrom([]string{"", "g", "h"}).Draw(rt, "group"), rapid.SampledFrom(names).Draw(rt, "server"))
				if err != nil {
					rt.Fatal(err)
				}
				up = append(up, f)
			case event <= 3:
				rapid.SampledFrom(up).Draw(rt, "asks").OnRequest()
			case event <= 5:
				rapid.SampledFrom(up).Draw(rt, "hears").OnReply()
			case event == 6:
				i := rapid.IntRange(0, len(up)-1).Draw(rt, "ends")
				up[i].OnEnded(Cancelled)
				up[i].OnRequest() // a last line may cross its end
				up = slices.Delete(up, i, i+1)
			default:
				passes := rapid.SampledFrom([]time.Duration{10 * ms, 90 * ms, 250 * ms, 990 * ms, 3 * sec, 20 * sec}).Draw(rt, "passes")
				r.start = r.start.Add(-passes)
				if rapid.Bool().Draw(rt, "looks") { // lines may come and go between two looks
					told += checkNotes(rt, r, taker)
				}
			}
		}
		rt.Logf("%d notes", told)
	})
}

func checkNotes(rt *rapid.T, r *Router, taker *noteTaker) int {
	now := r.enter()
	defer r.mu.Unlock()
	want, wantMoved := plainNotes(r, now)
	moved := map[decide.FlowID]bool{}
	taker.notes = nil
	r.noteDelays(now)
	for id, f := range r.flows {
		if f.moving {
			moved[id] = true
		}
	}
	if !slices.Equal(taker.notes, want) {
		rt.Fatalf("told %v, want %v", taker.notes, want)
	}
	for id := range wantMoved {
		if !moved[id] {
			rt.Fatalf("%s was not asked to come again; asked are %v", id, slices.Sorted(maps.Keys(moved)))
		}
	}
	return len(want)
}

// Flows and servers that are in time cost a look at the delays nothing, however many there are.
func TestDelaysCostWhatIsLate(t *testing.T) {
	for _, size := range []struct{ servers, flows int }{{60, 100}, {1000, 6000}} {
		r := holding(t, size.servers, size.flows)
		r.mu.Lock()
		made := testing.AllocsPerRun(10, func() { r.noteDelays(time.Since(r.start)) })
		looked := len(r.suspects)
		r.mu.Unlock()
		if made > 0 || looked > 0 {
			t.Errorf("%d servers and %d flows in time: %v objects made, %d servers looked at", size.servers, size.flows, made, looked)
		}
	}
}
