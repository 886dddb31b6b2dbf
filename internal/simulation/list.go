package simulation

import (
	"math/rand/v2"
	"time"
)

// List is the service that tells balancers of servers: late, and only whether a process runs.
type List struct {
	w              *World
	entries        []Entry
	revised        []int // revision at which each entry last changed
	revision       int
	heldBy         []holding
	noticeMin      time.Duration
	noticeMax      time.Duration
	silentMin      time.Duration
	silentMax      time.Duration
	addMin, addMax time.Duration
	spreadMin      time.Duration
	spreadMax      time.Duration
	dark           int // troubles that keep it silent
	late           time.Duration
	asked          bool
	chance         *rand.Rand
}

// holding is what one balancer has been told.
type holding struct {
	revision int
	asked    bool
	full     bool // the next news is the whole list
	pending  bool
}

func newList(w *World) *List { return &List{w: w, chance: Chance(w.Seed, "list", 0)} }

// StartList sets how late changes are noticed (of processes that run and say so, that went silent, that started), how
// long news takes from there, and whether balancers must ask.
func (w *World) StartList(noticeMin, noticeMax, silentMin, silentMax, addMin, addMax, spreadMin, spreadMax time.Duration, asked bool) {
	l := w.List
	l.noticeMin, l.noticeMax, l.silentMin, l.silentMax = noticeMin, noticeMax, silentMin, silentMax
	l.addMin, l.addMax, l.spreadMin, l.spreadMax, l.asked = addMin, addMax, spreadMin, spreadMax, asked
	for i := range l.heldBy {
		l.heldBy[i].asked = !asked
	}
}

func (l *List) notice() time.Duration {
	return BetweenTimes(l.chance, l.noticeMin, l.noticeMax) + l.late
}

// entry is what the list would say of a server if it knew all.
func entry(s *Server) Entry {
	e := Entry{Server: s.ID, Hall: s.Hall, Cell: s.Cell, Size: s.Size, Since: s.since}
	switch s.phase {
	case Leaving:
		e.State = Draining
	case Down, Silent, Fallen:
		e.State = Gone
	}
	return e
}

// changed takes a server as it is into the list at once, for the start of a day.
func (l *List) changed(s *Server) {
	l.revision++
	if int(s.ID) < len(l.entries) {
		l.entries[s.ID], l.revised[s.ID] = entry(s), l.revision
		return
	}
	l.entries, l.revised = append(l.entries, entry(s)), append(l.revised, l.revision)
}

// noticed has the list take in a server as it is by then.
func (l *List) noticed(s *Server, after time.Duration) {
	l.w.Agenda.After(after, News, func() {
		if l.entries[s.ID] == entry(s) {
			return
		}
		l.changed(s)
		for b := range l.heldBy {
			l.spread(BalancerID(b))
		}
	})
}

// added is when a server that starts is seen, silent when one that only stopped answering is.
func (l *List) added() time.Duration { return BetweenTimes(l.chance, l.addMin, l.addMax) + l.late }
func (l *List) silent() time.Duration {
	return BetweenTimes(l.chance, l.silentMin, l.silentMax) + l.late
}

// spread sends a balancer what it lacks, a little later.
func (l *List) spread(b BalancerID) {
	if l.heldBy[b].pending || !l.heldBy[b].asked {
		return
	}
	l.heldBy[b].pending = true
	l.w.Agenda.After(BetweenTimes(l.chance, l.spreadMin, l.spreadMax), News, func() { l.tell(b) })
}

func (l *List) tell(b BalancerID) {
	h := &l.heldBy[b]
	h.pending = false
	if l.dark > 0 || !l.w.Balancers[b].Up || !h.asked || h.revision == l.revision && !h.full {
		return
	}
	var news []Entry
	for i, e := range l.entries {
		if h.full && e.State != Gone || !h.full && l.revised[i] > h.revision {
			news = append(news, e)
		}
	}
	full := h.full
	h.revision, h.full = l.revision, false
	l.w.Carrier.News(b, full, news)
}

// Known is what a balancer that starts has: the list as it last held it.
func (l *List) Known(b BalancerID) (known []Entry) {
	for i, e := range l.entries {
		if l.revised[i] <= l.heldBy[b].revision && e.State != Gone {
			known = append(known, e)
		}
	}
	return known
}

// Whole is the list as it is now.
func (l *List) Whole() (revision int, all []Entry) {
	for _, e := range l.entries {
		if e.State != Gone {
			all = append(all, e)
		}
	}
	return l.revision, all
}

// Dark tells whether the list answers nobody now.
func (l *List) Dark() bool { return l.dark > 0 }

// Ask has a balancer subscribe, or want the list once. False: the call fails.
func (l *List) Ask(b BalancerID) bool {
	if l.dark > 0 {
		return false
	}
	l.heldBy[b].asked, l.heldBy[b].full = true, true
	l.spread(b)
	return true
}

// restart: a balancer that starts anew is told all, where it need not ask.
func (l *List) restart(b BalancerID) {
	l.heldBy[b].full, l.heldBy[b].asked = true, !l.asked
	l.spread(b)
}

// catchUp tells all what they missed.
func (l *List) catchUp() {
	for b := range l.heldBy {
		l.spread(BalancerID(b))
	}
}

// Begin tells every balancer the list as it stands: a day starts from what is known.
func (l *List) Begin() {
	for b := range l.heldBy {
		l.heldBy[b].revision = l.revision
	}
}
