// Package lease shares out tasks that one balancer can do for all, such as the health checks of a server. It does
// no I/O and has no clock.
//
// Nobody grants a lease: each balancer ranks the members that it sees for each task, the first of them is the
// preferred holder, and what the holder publishes about its work renews its lease. Views of the members may
// differ, so that two balancers may hold a task for a while; that costs double work and nothing else, and the
// epochs settle it.
package lease

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Holder is the name of a balancer.
	Holder string
	// Task is what one balancer does for all: the health checks of one server.
	Task uint32
	// Epoch counts the changes of a task's lease holder.
	Epoch uint64
)

// maxStandbys is how many members stand by for the preferred holder, each one term after the one before it. Views
// of the members agree again sooner than all standbys are used up.
const maxStandbys = 3

// state is where the lease of a task is, as far as this balancer knows.
type state int

const (
	elsewhere state = iota // another balancer has it, and this one does not stand by
	standby                // another balancer has it, and this one takes it over when it expires
	held                   // this balancer has it
	unsure                 // this balancer was suspended: another one may have it by now
	unclaimed              // this balancer has not yet looked whether to take it
)

// String is the state as the operators' calls show it.
func (s state) String() string {
	return [...]string{"another's", "next in line", "held", "unsure", "nobody's"}[s]
}

// lease is the lease of a task as this balancer knows it.
type lease struct {
	state     state
	epoch     Epoch // the highest that this balancer observed or held
	holder    Holder
	renewedAt time.Duration // or when this balancer first knew the task, or was suspended

	rank      int // of this balancer: 0 is preferred, 1 to maxStandbys stand by
	preferred Holder
	rankedIn  int // the Manager's view that rank and preferred were computed in
}

// Manager decides which tasks one balancer does. Its methods must not be called concurrently.
type Manager struct {
	own     Holder
	term    time.Duration // after which a lease that is not renewed expires
	members []Member
	view    int // counts the changes of members, from 1: a new lease is ranked in none
	leases  map[Task]*lease
}

// New makes the manager of one balancer. A lease that is not renewed for a term expires.
func New(own Holder, term time.Duration) *Manager {
	return &Manager{
		own:     own,
		term:    term,
		members: []Member{ownMember(own)},
		view:    1,
		leases:  map[Task]*lease{},
	}
}

// lease is that of a task, ranked by the current view. One that is new counts as renewed now.
func (m *Manager) lease(task Task, now time.Duration) *lease {
	l := m.leases[task]
	if l == nil {
		l = &lease{state: unclaimed, renewedAt: now}
		m.leases[task] = l
	}
	m.updateRank(task, l)
	return l
}

// transition changes the state of a lease. A balancer that takes a lease begins the next epoch.
func (m *Manager) transition(l *lease, to state) {
	if to == held && l.state != held {
		l.epoch++
		l.holder = m.own
	}
	l.state = to
}

// Holds reports whether this balancer is to do a task now. It is to be asked just before the task is done.
func (m *Manager) Holds(task Task, now time.Duration) bool {
	l := m.lease(task, now)
	m.transition(l, m.nextState(l, now))
	return l.state == held
}

// nextState is the state of a lease after the time since it was renewed.
func (m *Manager) nextState(l *lease, now time.Duration) state {
	sinceRenewal := now - l.renewedAt
	expired := sinceRenewal > m.term
	switch {
	case l.state == unsure && !expired:
		return unsure // a holder that there is by now publishes within a term
	case l.rank == 0:
		return held // even against a holder of a higher epoch: the lease then begins the one above
	case l.rank <= maxStandbys && sinceRenewal > m.term*time.Duration(l.rank):
		return held
	case l.state == held && !expired && l.holder == m.own:
		return held // as a standby, until the preferred holder is observed
	}
	return l.stateUnderOther()
}

// stateUnderOther is the state of a lease that another balancer has.
func (l *lease) stateUnderOther() state {
	if l.rank > 0 && l.rank <= maxStandbys {
		return standby
	}
	return elsewhere
}

// Renew records that this balancer has done a task, and returns the epoch to publish with the result.
func (m *Manager) Renew(task Task, now time.Duration) Epoch {
	l := m.lease(task, now)
	if l.holder == m.own {
		l.renewedAt = now
	}
	return l.epoch
}

// Observe records that another balancer did a task in an epoch, so long ago.
func (m *Manager) Observe(task Task, epoch Epoch, holder Holder, age, now time.Duration) {
	if holder == m.own || age > m.term {
		return
	}
	l := m.lease(task, now)
	if epoch < l.epoch {
		return // that balancer does not know yet that it lost the lease
	}
	if l.state == held && epoch == l.epoch && l.holder == m.own && l.rank == 0 {
		return // of two holders in one epoch the preferred one continues
	}
	l.epoch = epoch
	l.holder = holder
	l.renewedAt = max(l.renewedAt, now-age)
	m.transition(l, l.stateUnderOther()) // a preferred holder takes it back, in the next epoch, when Holds is called
}

// OnSuspended handles that this balancer was suspended. Its leases may have passed to others, so it waits for a term
// before it does a task.
func (m *Manager) OnSuspended(now time.Duration) {
	for _, l := range m.leases {
		m.transition(l, unsure)
		l.renewedAt = now
	}
}

// Remove forgets a task that no longer exists.
func (m *Manager) Remove(task Task) { delete(m.leases, task) }

// Status is the lease of a task as operators see it.
type Status struct {
	Task      Task   `json:"server"`
	State     string `json:"is"`
	Epoch     Epoch  `json:"epoch"`
	Holder    Holder `json:"by,omitempty"`
	Preferred Holder `json:"first_in_line"`
}

// Statuses is every lease, by task.
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
