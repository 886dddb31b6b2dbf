package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	term     = 6 * time.Second
	task     = Task(1)
	aliveFor = time.Minute // how long the members of a test have been alive
)

func newManager(own Holder, members ...Holder) *Manager {
	m := New(own, term)
	m.SetMembers(aliveMembers(members...))
	return m
}

func aliveMembers(names ...Holder) (members []Member) {
	for _, name := range names {
		members = append(members, Member{Name: name, Weight: 1, AliveFor: aliveFor})
	}
	return members
}

// ranking returns the members, ordered by their rank for the task.
func ranking(t *testing.T, members ...Holder) (ranked []Holder) {
	t.Helper()
	for rank := range members {
		for _, name := range members {
			m := newManager(name, members...)
			m.Holds(task, 0)
			if m.leases[task].rank == rank {
				ranked = append(ranked, name)
			}
		}
	}
	return ranked
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// The first standby takes over an expired lease, the others wait, and the preferred holder takes it back on its return.
func TestStandbyTakesOverAndGivesBack(t *testing.T) {
	members := []Holder{"a", "b", "c", "d", "e"}
	ranked := ranking(t, members...)
	firstStandby := newManager(ranked[1], members...)
	secondStandby := newManager(ranked[2], members...)
	firstStandby.Observe(task, 1, ranked[0], 0, seconds(1))
	secondStandby.Observe(task, 1, ranked[0], 0, seconds(1))
	if firstStandby.Holds(task, seconds(6.9)) || secondStandby.Holds(task, seconds(6.9)) {
		t.Error("a standby took over before the lease expired")
	}
	if !firstStandby.Holds(task, seconds(7.1)) || secondStandby.Holds(task, seconds(7.1)) {
		t.Error("want the first standby to take over when the lease has expired, and not the second")
	}
	epoch := firstStandby.Renew(task, seconds(7.1))
	secondStandby.Observe(task, epoch, ranked[1], 0, seconds(7.2))
	if secondStandby.Holds(task, seconds(12)) || !firstStandby.Holds(task, seconds(12)) {
		t.Error("want the first standby to continue, and the second to wait")
	}
	preferred := newManager(ranked[0], members...)
	preferred.Holds(task, seconds(11))
	preferred.Observe(task, epoch, ranked[1], 0, seconds(12.1))
	if !preferred.Holds(task, seconds(12.2)) || preferred.Renew(task, seconds(12.2)) <= epoch {
		t.Error("want the preferred holder to begin a later epoch")
	}
	firstStandby.Observe(task, preferred.Renew(task, seconds(12.2)), ranked[0], 0, seconds(12.3))
	if firstStandby.Holds(task, seconds(12.4)) {
		t.Error("the standby continues beside the preferred holder")
	}
	firstStandby.Observe(task, 1, ranked[3], 0, seconds(12.5))
	if firstStandby.leases[task].holder != ranked[0] {
		t.Error("an observation of an older epoch changed the holder")
	}
}

// A balancer that was suspended waits for a term, and takes a lease back in a later epoch than the one that it observes.
func TestSuspendedBalancerWaits(t *testing.T) {
	members := []Holder{"a", "b", "c"}
	ranked := ranking(t, members...)
	m := newManager(ranked[0], members...)
	if !m.Holds(task, time.Second) {
		t.Fatal("the preferred holder does not hold the task")
	}
	epoch := m.Renew(task, time.Second)
	m.OnSuspended(20 * time.Second)
	if m.Holds(task, 20*time.Second) || m.Holds(task, 25*time.Second) {
		t.Error("the suspended balancer performs the task within a term")
	}
	m.Observe(task, epoch+1, ranked[1], 0, 21*time.Second)
	if !m.Holds(task, 22*time.Second) || m.Renew(task, 22*time.Second) <= epoch+1 {
		t.Error("want the suspended balancer to take the lease back in a later epoch than the holder's")
	}
}

// faultyFleet simulates balancers that share one task while some are down and messages are lost.
type faultyFleet struct {
	t        *rapid.T
	names    []Holder
	managers []*Manager
	down     map[int]bool
	now      time.Duration
}

func newFaultyFleet(t *rapid.T) *faultyFleet {
	f := &faultyFleet{t: t, names: []Holder{"a", "b", "c", "d"}, down: map[int]bool{}, now: time.Second}
	for _, name := range f.names {
		f.managers = append(f.managers, newManager(name, f.names...))
	}
	return f
}

// run advances the time in steps. It returns the number of steps at the end in which no balancer performed the task, and
// which balancers performed it in the last step.
func (f *faultyFleet) run(steps int, losesMessages bool) (undone int, holders []int) {
	for range steps {
		f.now += 500 * time.Millisecond
		holders = f.performTask(losesMessages)
		if len(holders) > 0 {
			undone = 0
		} else {
			undone++
		}
	}
	return undone, holders
}

// performTask lets all holders perform the task, and the others observe it.
func (f *faultyFleet) performTask(losesMessages bool) (holders []int) {
	for i, m := range f.managers {
		if f.down[i] || !m.Holds(task, f.now) {
			continue
		}
		holders = append(holders, i)
		epoch := m.Renew(task, f.now)
		for j, other := range f.managers {
			if j == i || f.down[j] {
				continue
			}
			if losesMessages && rapid.IntRange(0, 2).Draw(f.t, "lost") == 0 {
				continue
			}
			other.Observe(task, epoch, f.names[i], 0, f.now)
		}
	}
	return holders
}

// toggle takes a balancer down, or up again as after a suspension. Once three balancers were toggled, it takes none down any
// more, so that at most three are down at a time, and treats one that is up as suspended.
func (f *faultyFleet) toggle(i int) {
	f.down[i] = !f.down[i] && len(f.down) < 3
	if !f.down[i] {
		f.managers[i].OnSuspended(f.now)
	}
}

func (f *faultyFleet) allDown() bool {
	for i := range f.managers {
		if !f.down[i] {
			return false
		}
	}
	return true
}

// After any faults: once no more messages are lost, the task is left undone no longer than until the last standby takes
// over, and then exactly one balancer performs it.
func TestNoTaskIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaultyFleet(t)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			f.toggle(rapid.IntRange(0, 3).Draw(t, "who"))
			f.run(rapid.IntRange(1, 30).Draw(t, "steps"), true)
		}
		if f.allDown() {
			return
		}
		// Twice the time until the last standby takes over, in steps of 0.5 s.
		undone, holders := f.run(2*(maxStandbys+1)*int(term/time.Second)*2, false)
		if undone > 0 || len(holders) != 1 {
			t.Fatalf("not performed in the last %d steps, and held by %v at the end; want exactly one holder; down: %v", undone, holders, f.down)
		}
	})
}
