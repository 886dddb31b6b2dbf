package simulation

import (
	"math/rand/v2"
	"time"
)

// List is the service that tells balancers of servers: late, and only whether a process runs.
type List struct {
	w              *World
	entries        []Entry
	changedIn      []int // revision at which each entry last changed
	revision       int
	subscribers    []subscriber
	noticeMin      time.Duration
	noticeMax      time.Duration
	silentMin      time.Duration
	silentMax      time.Duration
	addMin, addMax time.Duration
	spreadMin      time.Duration
	spreadMax      time.Duration
	outages        int // troubles that keep it silent
	extraDelay     time.Duration
	mustSubscribe  bool
	random         *rand.Rand
}

// subscriber is what one balancer has been told.
type subscriber struct {
	revision   int
	subscribed bool
	needsFull  bool // the next news is the whole list
	pending    bool
}

func newList(w *World) *List { return &List{w: w, random: RandomSource(w.Seed, "list", 0)} }

// ConfigureList sets how late changes are noticed (of processes that run and say so, that went silent, that started), how
// long news takes from there, and whether balancers must ask.
func (w *World) ConfigureList(noticeMin, noticeMax, silentMin, silentMax, addMin, addMax, spreadMin, spreadMax time.Duration, asked bool) {
	l := w.List
	l.noticeMin, l.noticeMax, l.silentMin, l.silentMax = noticeMin, noticeMax, silentMin, silentMax
	l.addMin, l.addMax, l.spreadMin, l.spreadMax, l.mustSubscribe = addMin, addMax, spreadMin, spreadMax, asked
	for i := range l.subscribers {
		l.subscribers[i].subscribed = !asked
	}
}

func (l *List) noticeDelay() time.Duration {
	return UniformDuration(l.random, l.noticeMin, l.noticeMax) + l.extraDelay
}

// entry is what the list would say of a server if it knew all.
func entry(s *Server) Entry {
	e := Entry{Server: s.ID, Locality: s.Locality, Cell: s.Cell, Size: s.Size, StartedAt: s.startedAt}
	switch s.phase {
	case Leaving:
		e.Readiness = Draining
	case Down, Silent, Collapsed:
		e.Readiness = Gone
	}
	return e
}

// changed takes a server as it is into the list at once, for the start of a day.
func (l *List) changed(s *Server) {
	l.revision++
	if int(s.ID) < len(l.entries) {
		l.entries[s.ID], l.changedIn[s.ID] = entry(s), l.revision
		return
	}
	l.entries, l.changedIn = append(l.entries, entry(s)), append(l.changedIn, l.revision)
}

// updateAfter has the list take in a server as it is by then.
func (l *List) updateAfter(s *Server, after time.Duration) {
	l.w.Schedule.After(after, News, func() {
		if l.entries[s.ID] == entry(s) {
			return
		}
		l.changed(s)
		for b := range l.subscribers {
			l.scheduleSend(BalancerID(b))
		}
	})
}

// addDelay is when a server that starts is seen, silent when one that only stopped answering is.
func (l *List) addDelay() time.Duration {
	return UniformDuration(l.random, l.addMin, l.addMax) + l.extraDelay
}
func (l *List) silentDelay() time.Duration {
	return UniformDuration(l.random, l.silentMin, l.silentMax) + l.extraDelay
}

// scheduleSend sends a balancer what it lacks, a little later.
func (l *List) scheduleSend(b BalancerID) {
	if l.subscribers[b].pending || !l.subscribers[b].subscribed {
		return
	}
	l.subscribers[b].pending = true
	l.w.Schedule.After(UniformDuration(l.random, l.spreadMin, l.spreadMax), News, func() { l.send(b) })
}

func (l *List) send(b BalancerID) {
	h := &l.subscribers[b]
	h.pending = false
	if l.outages > 0 || !l.w.Balancers[b].IsUp || !h.subscribed || h.revision == l.revision && !h.needsFull {
		return
	}
	var news []Entry
	for i, e := range l.entries {
		if h.needsFull && e.Readiness != Gone || !h.needsFull && l.changedIn[i] > h.revision {
			news = append(news, e)
		}
	}
	full := h.needsFull
	h.revision, h.needsFull = l.revision, false
	l.w.Driver.UpdateList(b, full, news)
}

// Known is what a balancer that starts has: the list as it last held it.
func (l *List) Known(b BalancerID) (known []Entry) {
	for i, e := range l.entries {
		if l.changedIn[i] <= l.subscribers[b].revision && e.Readiness != Gone {
			known = append(known, e)
		}
	}
	return known
}

// Snapshot is the list as it is now.
func (l *List) Snapshot() (revision int, all []Entry) {
	for _, e := range l.entries {
		if e.Readiness != Gone {
			all = append(all, e)
		}
	}
	return l.revision, all
}

// IsUnavailable tells whether the list answers nobody now.
func (l *List) IsUnavailable() bool { return l.outages > 0 }

// Subscribe has a balancer subscribe, or want the list once. False: the call fails.
func (l *List) Subscribe(b BalancerID) bool {
	if l.outages > 0 {
		return false
	}
	l.subscribers[b].subscribed, l.subscribers[b].needsFull = true, true
	l.scheduleSend(b)
	return true
}

// restart: a balancer that starts anew is told all, where it need not ask.
func (l *List) restart(b BalancerID) {
	l.subscribers[b].needsFull, l.subscribers[b].subscribed = true, !l.mustSubscribe
	l.scheduleSend(b)
}

// catchUp tells all what they missed.
func (l *List) catchUp() {
	for b := range l.subscribers {
		l.scheduleSend(BalancerID(b))
	}
}

// Begin tells every balancer the list as it stands: a day starts from what is known.
func (l *List) Begin() {
	for b := range l.subscribers {
		l.subscribers[b].revision = l.revision
	}
}
