package routing

import (
	"log/slog"
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
	// A client that sends nothing for this long vanished with its machine, and would hold its descriptors for ever.
	goneAfter = 30 * time.Second

	// A server's own word on its delay comes in the same form as one on a connection's load. Seen on simulated
	// servers: a delay comes once a second, on any one of the connections held there, in milliseconds; a load at
	// no such beat, in microseconds of work a second.
	beatWithin  = 2 * time.Millisecond
	pointKept   = time.Minute      // a server's point of the second is known for that long
	longestSaid = deadAfter        // a greater figure is a load, if nothing but the beat speaks against it
	longestLate = 16 * time.Second // and in any case
	saidKept    = 16
	// A figure this far below the least of the last loads is no load: it is believed alone.
	loadsKept, farBelow = 64, 4
	// Nor is one that comes as the server drops connections, which it does when it is late.
	dropNear = 20 * time.Millisecond
)

type lateness struct {
	from, next        time.Duration
	tellLoad, tellLag bool // what the servers' own lines speak of
	loads             []float64
}

// load keeps what was told as a load, by any server.
func (l *lateness) load(amount float64) {
	if len(l.loads) == loadsKept {
		l.loads = l.loads[:copy(l.loads, l.loads[1:])]
	}
	l.loads = append(l.loads, amount)
}

// noLoad tells whether a figure lies far below all loads told of late.
func (l *lateness) noLoad(amount float64) bool {
	return len(l.loads) == loadsKept && amount*farBelow < slices.Min(l.loads)
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

func (r *Router) note(s *server, id decide.FlowID, delay time.Duration) {
	slog.Debug("delay note", "server", s.name, "takes", delay)
	r.b.OnLatencySample(id, delay)
}

// said is when a figure was told that may have been a delay, and on which connection.
type said struct {
	at    time.Duration
	by    decide.FlowID
	ended bool
}

// ends marks what was told on a connection that ended: what goes on comes on another.
func (s *server) ends(id decide.FlowID) {
	for i := range s.said {
		s.said[i].ended = s.said[i].ended || s.said[i].by == id
	}
}

func onBeat(gap time.Duration) bool { return (gap - noteEvery).Abs() <= beatWithin }

// onPoint tells whether now is the point of a second at which the server told its last row of delays: it keeps to
// it, and a load falls there by chance only once in hundreds.
func (s *server) onPoint(now time.Duration) bool {
	gap := now - s.point
	return s.point != 0 && gap < pointKept && (gap+beatWithin)%noteEvery <= 2*beatWithin
}

// OnServerMetric takes a figure that the server sent among its lines: the connection's load, or the delay of a message at the
// server. Only where servers tell both is it to be found out which.
func (f *Flow) OnServerMetric(amount float64) {
	now := f.r.enter()
	r, s := f.r, f.server
	defer r.mu.Unlock()
	delay := time.Duration(min(amount, 2*longestLate.Seconds()*1000) * float64(time.Millisecond))
	if f.up && r.late.tellLag &&
		(!r.late.tellLoad || s.beats(f.id, now, delay, r.late.from, r.late.noLoad(amount))) {
		r.note(s, f.id, delay)
		return
	}
	r.late.load(amount)
	r.b.OnFlowLoad(f.id)
}

// beats tells whether a figure goes on with the beat of delays, or starts one with the figure a second before. A
// lone first one is not believed: each load that happened to be low would empty a server. Nor is a pair on two
// connections, which chance brings every few seconds where many are held, unless the server dropped some between or
// the first of the two ended. A row that begins where the last one was told is believed from its first figure.
func (s *server) beats(id decide.FlowID, now, delay, from time.Duration, noLoad bool) bool {
	if delay > longestLate {
		return false
	}
	if gap := now - s.beat; s.beat != 0 && gap < 2*noteEvery+beatWithin {
		if !onBeat(gap) && !onBeat(gap-noteEvery) {
			return false // a load told between two beats
		}
		if s.beat, s.point = now, now; delay <= from {
			s.beat = 0 // the last word of the row
		}
		return true
	}
	if delay <= from {
		return false
	}
	dropping := s.dropped != 0 && now-s.dropped <= dropNear
	if delay > longestSaid && !dropping {
		return false
	}
	if noLoad || dropping || s.onPoint(now) || slices.ContainsFunc(s.said, func(x said) bool {
		return onBeat(now-x.at) && (x.by == id || x.ended || s.dropped > x.at-dropNear)
	}) {
		s.beat, s.point, s.said = now, now, s.said[:0]
		return true
	}
	if len(s.said) == saidKept {
		s.said = s.said[:copy(s.said, s.said[1:])]
	}
	s.said = append(s.said, said{at: now, by: id})
	return false
}
