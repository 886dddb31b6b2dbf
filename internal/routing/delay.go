package routing

import (
	"slices"
	"time"

	"yardwinch/decide"
)

// The module lives on notes of how long a message takes at a server. On sockets nobody tells: it shows in the
// lines' round trips, and while a server answers nothing, in how long its lines have waited by now.

const (
	checkEvery = 250 * time.Millisecond
	noteEvery  = time.Second     // the module's notes come that often while a server is late
	tripAge    = 2 * time.Second // clients send about that often; older trips speak of another time
	tripsKept  = 16
	// A line that waits this long has no answer coming: the client is asked to come again before its wait counts
	// as ours.
	deadAfter = 4 * time.Second
)

type lateness struct {
	from, next time.Duration
}

// roundTrips is what the last lines to a server took.
type roundTrips struct {
	at, took []time.Duration
	noted    time.Duration // when the last note went out; 0: the server is in time
}

func (t *roundTrips) add(at, took time.Duration) {
	if len(t.at) == tripsKept {
		t.at, t.took = t.at[:copy(t.at, t.at[1:])], t.took[:copy(t.took, t.took[1:])]
	}
	t.at, t.took = append(t.at, at), append(t.took, took)
}

// Asked notes that a line goes to the server; the oldest unanswered one counts.
func (f *Flow) Asked() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.asked == 0 {
		f.asked = time.Since(f.r.start)
	}
}

// Replied notes that a line came back.
func (f *Flow) Replied() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.asked != 0 {
		now := time.Since(f.r.start)
		f.server.lines.add(now, now-f.asked)
		f.asked = 0
	}
}

// noteDelays looks at all servers and tells the module of those late, once a second, and once when that is over.
func (r *Router) noteDelays(now time.Duration) {
	r.late.next = now + checkEvery
	waits, flows := map[*server][]time.Duration{}, map[*server]decide.FlowID{}
	for id, f := range r.flows {
		if !f.up {
			continue
		}
		if first, ok := flows[f.server]; !ok || id < first {
			flows[f.server] = id // any will do, but the same one whatever the map's order
		}
		if f.asked != 0 && now-f.asked > r.late.from {
			waits[f.server] = append(waits[f.server], now-f.asked)
		}
		if f.asked != 0 && now-f.asked > deadAfter {
			f.move()
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
		switch delay := took[len(took)/2]; {
		case delay <= r.late.from:
			if s.lines.noted != 0 {
				s.lines.noted = 0
				r.b.DelayNote(id, delay)
			}
		case s.lines.noted == 0 || now-s.lines.noted >= noteEvery-checkEvery/2:
			s.lines.noted = now
			r.b.DelayNote(id, delay)
		}
	}
}
