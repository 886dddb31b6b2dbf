package routing

import (
	"cmp"
	"slices"
	"time"

	"yardwinch/decide"
)

// A balancer holds tens of thousands of flows, nearly all of them in time: who may be late is kept as lines come and go, and a look at the
// delays costs what is late, not what is held.

// flowList is a list of flows in the order in which they came into it, linked through the flows: none is ever searched for.
type flowList struct {
	which       int // of a flow's links
	first, last *Flow
}

const inAsking, inQuiet = 0, 1

// link is a flow's place in a list.
type link struct {
	before, after *Flow
	in            bool
}

func (l *flowList) after(f *Flow) *Flow { return f.links[l.which].after }

// push puts a flow that is not in the list at its end.
func (l *flowList) push(f *Flow) {
	f.links[l.which] = link{before: l.last, in: true}
	if l.last == nil {
		l.first = f
	} else {
		l.last.links[l.which].after = f
	}
	l.last = f
}

// remove takes a flow out, if it is there.
func (l *flowList) remove(f *Flow) {
	at := f.links[l.which]
	if !at.in {
		return
	}
	f.links[l.which] = link{}
	if at.before == nil {
		l.first = at.after
	} else {
		at.before.links[l.which].after = at.after
	}
	if at.after == nil {
		l.last = at.before
	} else {
		at.after.links[l.which].before = at.before
	}
}

// watch begins with a flow whose connection stands, unwatch ends with it; the mutex is held.
func (r *Router) watch(f *Flow) {
	r.quiet.push(f)
	f.place = len(f.server.up)
	f.server.up = append(f.server.up, f)
}

func (r *Router) unwatch(f *Flow) {
	r.quiet.remove(f)
	r.asking.remove(f)
	up := f.server.up
	last := len(up) - 1
	up[f.place] = up[last]
	up[f.place].place = f.place
	up[last] = nil
	f.server.up = up[:last]
}

// suspect has the next looks at delays see to a server.
func (r *Router) suspect(s *server) {
	if !s.suspect {
		s.suspect = true
		r.suspects = append(r.suspects, s)
	}
}

// OnRequest notes that a line goes to the server; the oldest unanswered one counts.
func (f *Flow) OnRequest() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	f.heard = time.Since(f.r.start)
	if f.up {
		f.r.quiet.remove(f)
		f.r.quiet.push(f)
	}
	if f.asked == 0 {
		f.asked = f.heard
		if f.up {
			f.r.asking.push(f)
		}
	}
}

// OnReply notes that a line came back.
func (f *Flow) OnReply() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.asked == 0 {
		return
	}
	now := time.Since(f.r.start)
	took := now - f.asked
	f.server.lines.add(now, took)
	f.asked = 0
	f.r.asking.remove(f)
	if took > f.r.late.from {
		f.r.suspect(f.server)
	}
}

// noteDelays tells the module of all servers that are late, once a second, and once when that is over.
func (r *Router) noteDelays(now time.Duration) {
	r.late.next = now + checkEvery
	r.moveDead(now)
	waits := r.longWaits(now)
	slices.SortFunc(r.suspects, func(a, b *server) int { return cmp.Compare(a.place, b.place) })
	seen := r.suspects
	r.suspects = r.suspects[:0]
	for _, s := range seen {
		if s.suspect = r.noteDelay(s, waits[s], now); s.suspect {
			r.suspects = append(r.suspects, s)
		}
	}
	clear(seen[len(r.suspects):])
}

// moveDead asks clients to come again whose server answers nothing, and those that say nothing themselves.
func (r *Router) moveDead(now time.Duration) {
	for f := r.asking.first; f != nil && now-f.asked > deadAfter; f = r.asking.after(f) {
		f.move()
	}
	for f := r.quiet.first; f != nil && now-f.heard > goneAfter; f = r.quiet.after(f) {
		f.move()
	}
}

// longWaits are how long lines have waited for their answers that are late by now; their servers are suspects.
func (r *Router) longWaits(now time.Duration) map[*server][]time.Duration {
	var waits map[*server][]time.Duration
	for f := r.asking.first; f != nil && now-f.asked > r.late.from; f = r.asking.after(f) {
		if waits == nil {
			waits = map[*server][]time.Duration{}
		}
		waits[f.server] = append(waits[f.server], now-f.asked)
		r.suspect(f.server)
	}
	return waits
}

// noteDelay tells the module how late a server is, if it is, and whether it has to be looked at again.
func (r *Router) noteDelay(s *server, waits []time.Duration, now time.Duration) (again bool) {
	took, late := waits, len(waits) > 0
	for i, at := range s.lines.at {
		if now-at < tripAge {
			took = append(took, s.lines.took[i])
			late = late || s.lines.took[i] > r.late.from
		}
	}
	if len(s.up) > 0 && len(took) > 0 {
		slices.Sort(took)
		delay := took[len(took)/2]
		switch {
		case delay <= r.late.from:
			if s.lines.noted != 0 {
				s.lines.noted = 0
				r.note(s, s.firstFlow(), delay)
			}
		case s.lines.noted == 0 || now-s.lines.noted >= noteEvery-checkEvery/2:
			s.lines.noted = now
			r.note(s, s.firstFlow(), delay)
		}
	}
	return late || s.lines.noted != 0
}

// firstFlow is the flow by which a server's delay is told: any would do, but the same one whatever the order in which they came.
func (s *server) firstFlow() decide.FlowID {
	return slices.MinFunc(s.up, func(a, b *Flow) int { return cmp.Compare(a.id, b.id) }).id
}
