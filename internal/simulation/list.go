package simulation

import (
	"math/rand/v2"
	"time"
)

// ListConfig sets the delays of the server list.
type ListConfig struct {
	Notice        Interval // until the list notices a drain, a stop or a crash
	NoticeSilent  Interval // until the list notices that a server has become unresponsive
	NoticeAdded   Interval // until the list notices that a server has started
	DeliveryDelay Interval // from the notice until a balancer receives the update
	MustSubscribe bool     // balancers receive no updates until they subscribe
}

// List is the discovery service that sends balancers the list of servers. Its updates are delayed, and tell only whether a server's process
// runs or drains, not how it performs.
type List struct {
	config      ListConfig
	w           *World
	random      *rand.Rand
	entries     []Entry
	changedIn   []int // the revision in which each entry last changed
	revision    int
	subscribers []subscriber
	outages     int // number of active faults that keep it from sending
	extraDelay  time.Duration
}

// subscriber is the state of one balancer's subscription.
type subscriber struct {
	revision     int // the revision of the list that the balancer last received
	isSubscribed bool
	needsFull    bool // the next update is the whole list
	isPending    bool // an update is scheduled
}

func newList(w *World) *List { return &List{w: w, random: RandomSource(w.Seed, "list", 0)} }

// ConfigureList sets the delays of the list, and whether balancers must subscribe.
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

// entry is the list entry that reflects a server's true state.
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

// changed sets a server's entry to its true state at once.
func (l *List) changed(s *Server) {
	l.revision++
	if int(s.ID) < len(l.entries) {
		l.entries[s.ID], l.changedIn[s.ID] = entry(s), l.revision
		return
	}
	l.entries, l.changedIn = append(l.entries, entry(s)), append(l.changedIn, l.revision)
}

// updateAfter makes the list take up, after a delay, the state that a server has by then.
func (l *List) updateAfter(s *Server, delay time.Duration) {
	l.w.Schedule.After(delay, ListUpdate, func() {
		if l.entries[s.ID] != entry(s) {
			l.changed(s)
			l.sendAll()
		}
	})
}

// sendAll schedules an update for each balancer.
func (l *List) sendAll() {
	for b := range l.subscribers {
		l.scheduleSend(BalancerID(b))
	}
}

// scheduleSend sends a balancer, after a delay, the changes that it has not received yet.
func (l *List) scheduleSend(b BalancerID) {
	if l.subscribers[b].isPending || !l.subscribers[b].isSubscribed {
		return
	}
	l.subscribers[b].isPending = true
	l.w.Schedule.After(l.config.DeliveryDelay.Draw(l.random), ListUpdate, func() { l.send(b) })
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

// Known returns the listed entries that have not changed since a balancer last received an update. A balancer that restarts loads them from
// its cache.
func (l *List) Known(b BalancerID) (known []Entry) {
	for i, e := range l.entries {
		if l.changedIn[i] <= l.subscribers[b].revision && e.Readiness != Gone {
			known = append(known, e)
		}
	}
	return known
}

// IsUnavailable reports whether an outage makes calls to the list fail now.
func (l *List) IsUnavailable() bool { return l.outages > 0 }

// Subscribe sends a balancer the whole list, and its changes from then on. It returns false where the call fails, during an outage.
func (l *List) Subscribe(b BalancerID) bool {
	if l.outages > 0 {
		return false
	}
	l.subscribers[b].isSubscribed, l.subscribers[b].needsFull = true, true
	l.scheduleSend(b)
	return true
}

// restart sends a restarted balancer the whole list, unless it must subscribe first.
func (l *List) restart(b BalancerID) {
	l.subscribers[b].needsFull, l.subscribers[b].isSubscribed = true, !l.config.MustSubscribe
	l.scheduleSend(b)
}

// MarkDelivered marks the current list as received by all balancers: they know it when a day begins.
func (l *List) MarkDelivered() {
	for b := range l.subscribers {
		l.subscribers[b].revision = l.revision
	}
}
