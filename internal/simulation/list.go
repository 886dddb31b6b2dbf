package simulation

import (
	"math/rand/v2"
	"time"
)

// ListConfig says how late the server list is.
type ListConfig struct {
	Notice        Interval // until a change is noticed of a process that runs and says so
	NoticeSilent  Interval // until a server that fell silent is noticed
	NoticeAdded   Interval // until a server that started is noticed
	Spread        Interval // from there until a balancer receives it
	MustSubscribe bool     // balancers receive nothing until they subscribe
}

// List is the service that sends balancers the list of servers: late, and knowing only whether their processes run.
type List struct {
	config      ListConfig
	w           *World
	random      *rand.Rand
	entries     []Entry
	changedIn   []int // the revision in which each entry last changed
	revision    int
	subscribers []subscriber
	outages     int // faults that keep it silent
	extraDelay  time.Duration
}

// subscriber is what one balancer has received.
type subscriber struct {
	revision     int
	isSubscribed bool
	needsFull    bool // the next update is the whole list
	isPending    bool // an update is on its way
}

func newList(w *World) *List { return &List{w: w, random: RandomSource(w.Seed, "list", 0)} }

// ConfigureList sets how late the list is.
func (w *World) ConfigureList(c ListConfig) {
	w.List.config = c
	for i := range w.List.subscribers {
		w.List.subscribers[i].isSubscribed = !c.MustSubscribe
	}
}

func (l *List) noticeDelay() time.Duration { return l.config.Notice.Draw(l.random) + l.extraDelay }
func (l *List) silentDelay() time.Duration {
	return l.config.NoticeSilent.Draw(l.random) + l.extraDelay
}
func (l *List) addDelay() time.Duration { return l.config.NoticeAdded.Draw(l.random) + l.extraDelay }

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

// changed puts a server as it is into the list at once.
func (l *List) changed(s *Server) {
	l.revision++
	if int(s.ID) < len(l.entries) {
		l.entries[s.ID], l.changedIn[s.ID] = entry(s), l.revision
		return
	}
	l.entries, l.changedIn = append(l.entries, entry(s)), append(l.changedIn, l.revision)
}

// updateAfter has the list notice a server as it is by then.
func (l *List) updateAfter(s *Server, delay time.Duration) {
	l.w.Schedule.After(delay, ListUpdate, func() {
		if l.entries[s.ID] != entry(s) {
			l.changed(s)
			l.sendAll()
		}
	})
}

// sendAll sends all balancers the changes that they lack.
func (l *List) sendAll() {
	for b := range l.subscribers {
		l.scheduleSend(BalancerID(b))
	}
}

// scheduleSend sends a balancer the changes that it lacks, after a delay.
func (l *List) scheduleSend(b BalancerID) {
	if l.subscribers[b].isPending || !l.subscribers[b].isSubscribed {
		return
	}
	l.subscribers[b].isPending = true
	l.w.Schedule.After(l.config.Spread.Draw(l.random), ListUpdate, func() { l.send(b) })
}

func (l *List) send(b BalancerID) {
	to := &l.subscribers[b]
	to.isPending = false
	isCurrent := to.revision == l.revision && !to.needsFull
	if l.outages > 0 || !l.w.Balancers[b].IsUp || !to.isSubscribed || isCurrent {
		return
	}
	isFull := to.needsFull
	update := l.updateFor(to)
	to.revision, to.needsFull = l.revision, false
	l.w.Driver.UpdateList(b, isFull, update)
}

func (l *List) updateFor(to *subscriber) (update []Entry) {
	for i, e := range l.entries {
		if to.needsFull && e.Readiness != Gone || !to.needsFull && l.changedIn[i] > to.revision {
			update = append(update, e)
		}
	}
	return update
}

// Known is the list as a balancer last received it, which it still has when it starts again.
func (l *List) Known(b BalancerID) (known []Entry) {
	for i, e := range l.entries {
		if l.changedIn[i] <= l.subscribers[b].revision && e.Readiness != Gone {
			known = append(known, e)
		}
	}
	return known
}

// IsUnavailable reports whether the list answers nobody now.
func (l *List) IsUnavailable() bool { return l.outages > 0 }

// Subscribe sends a balancer the whole list, and its changes from then on. False: the call fails.
func (l *List) Subscribe(b BalancerID) bool {
	if l.outages > 0 {
		return false
	}
	l.subscribers[b].isSubscribed, l.subscribers[b].needsFull = true, true
	l.scheduleSend(b)
	return true
}

// restart sends a balancer that starts again the whole list, unless it must subscribe.
func (l *List) restart(b BalancerID) {
	l.subscribers[b].needsFull, l.subscribers[b].isSubscribed = true, !l.config.MustSubscribe
	l.scheduleSend(b)
}

// Begin gives every balancer the current list at once: a day starts with it known.
func (l *List) Begin() {
	for b := range l.subscribers {
		l.subscribers[b].revision = l.revision
	}
}
