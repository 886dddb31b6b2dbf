// Package lease assigns tasks that one balancer can perform for all, such as the health checks of a server. It does
// no I/O and has no clock.
//
// No coordinator grants a lease: for each task, each balancer ranks the members that it sees. The first of them is
// the preferred holder, and the results that the holder publishes renew its lease. Balancers may see different members,
// so that two of them hold a task for a while. That only duplicates work, and the epochs resolve it.
package lease

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Holder is the name of a balancer.
	Holder string
	// Task identifies what one balancer performs for all: the health checks of one server.
	Task uint32
	// Epoch counts the changes of a task's lease holder.
	Epoch uint64
)

// maxStandbys is how many members stand by for the preferred holder. Each of them takes over one term later than the
// one ranked before it. Before the last standby takes over, all balancers see the same members again.
const maxStandbys = 3

// state is the state of a lease, as far as this balancer knows.
type state int

const (
	heldByOther state = iota // another balancer holds it, and this one does not stand by
	standby                  // another balancer holds it, and this one takes it over when it expires
	held                     // this balancer holds it
	unsure                   // this balancer was suspended: another one may hold it by now
	unclaimed                // new: this balancer has not decided yet whether to take it
)

// String returns the state as the control interface shows it.
func (s state) String() string {
	return [...]string{"another's", "next in line", "held", "unsure", "nobody's"}[s]
}

// lease is what this balancer knows of the lease of a task.
type lease struct {
	state     state
	epoch     Epoch // the highest that this balancer has observed or held
	holder    Holder
	renewedAt time.Duration // last renewal; or when this balancer learned of the task or was suspended, if that is later

	rank      int // of this balancer: 0 is the preferred holder, 1 to maxStandbys are standbys
	preferred Holder
	rankedIn  int // the Manager's view from which rank and preferred were computed; 0: none yet
}

// Manager decides which tasks one balancer performs. Its methods must not be called concurrently.
type Manager struct {
	own     Holder
	term    time.Duration // after which a lease that is not renewed expires
	members []Member
	view    int // version of the set of members, from 1; it increases with each change of the set
	leases  map[Task]*lease
}

// New returns the manager of one balancer. A lease that is not renewed for a term expires.
func New(own Holder, term time.Duration) *Manager {
	return &Manager{
		own:     own,
		term:    term,
		members: []Member{ownMember(own)},
		view:    1,
		leases:  map[Task]*lease{},
	}
}

// lease returns the lease of a task, ranked by the current view. A new one counts as renewed now.
func (m *Manager) lease(task Task, now time.Duration) *lease {
	l := m.leases[task]
	if l == nil {
		l = &lease{state: unclaimed, renewedAt: now}
		m.leases[task] = l
	}
	m.updateRank(task, l)
	return l
}

// transition changes the state of a lease. A balancer that takes a lease begins a new epoch.
func (m *Manager) transition(l *lease, to state) {
	if to == held && l.state != held {
		l.epoch++
		l.holder = m.own
	}
	l.state = to
}

// Holds reports whether this balancer is to perform a task now. It updates the lease's state, and has to be called just
// before the task is performed.
func (m *Manager) Holds(task Task, now time.Duration) bool {
	l := m.lease(task, now)
	m.transition(l, m.nextState(l, now))
	return l.state == held
}

// nextState returns the state that a lease has now, by its rank and the time since its renewal.
func (m *Manager) nextState(l *lease, now time.Duration) state {
	sinceRenewal := now - l.renewedAt
	expired := sinceRenewal > m.term
	switch {
	case l.state == unsure && !expired:
		return unsure // a new holder, if there is one, publishes within a term
	case l.rank == 0:
		return held // even if another holder has a higher epoch: this balancer then begins the next one
	case l.rank <= maxStandbys && sinceRenewal > m.term*time.Duration(l.rank):
		return held
	case l.state == held && !expired && l.holder == m.own:
		return held // as a standby, until the preferred holder is observed
	}
	return l.stateUnderOtherHolder()
}

// stateUnderOtherHolder returns the state of a lease that another balancer holds.
func (l *lease) stateUnderOtherHolder() state {
	if l.rank > 0 && l.rank <= maxStandbys {
		return standby
	}
	return heldByOther
}

// Renew records that this balancer has performed a task, and returns the epoch to publish with the result.
func (m *Manager) Renew(task Task, now time.Duration) Epoch {
	l := m.lease(task, now)
	if l.holder == m.own {
		l.renewedAt = now
	}
	return l.epoch
}

// Observe records that another balancer performed a task in an epoch, and how long ago.
func (m *Manager) Observe(task Task, epoch Epoch, holder Holder, age, now time.Duration) {
	if holder == m.own || age > m.term {
		return
	}
	l := m.lease(task, now)
	if epoch < l.epoch {
		return // that balancer has not learned yet that it lost the lease
	}
	if l.state == held && epoch == l.epoch && l.holder == m.own && l.rank == 0 {
		return // of two holders in one epoch, the preferred one continues
	}
	l.epoch = epoch
	l.holder = holder
	l.renewedAt = max(l.renewedAt, now-age)
	m.transition(l, l.stateUnderOtherHolder()) // if this balancer is the preferred holder, Holds takes the lease back, in the next epoch
}

// OnSuspended handles a suspension of this process. Its leases may have passed to other balancers, so it waits for a
// term before it performs a task.
func (m *Manager) OnSuspended(now time.Duration) {
	for _, l := range m.leases {
		m.transition(l, unsure)
		l.renewedAt = now
	}
}

// Remove removes a task that no longer exists.
func (m *Manager) Remove(task Task) { delete(m.leases, task) }

// Status is the lease of a task as operators are shown it.
type Status struct {
	Task      Task   `json:"server"`
	State     string `json:"is"`
	Epoch     Epoch  `json:"epoch"`
	Holder    Holder `json:"by,omitempty"`
	Preferred Holder `json:"first_in_line"`
}

// Statuses returns all leases, ordered by task.
func (m *Manager) Statuses() (list []Status) {
	for task, l := range m.leases {
		list = append(list, Status{
			Task:      task,
			State:     l.state.String(),
			Epoch:     l.epoch,
			Holder:    l.holder,
			Preferred: l.preferred,
		})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Task, b.Task) })
	return list
}
