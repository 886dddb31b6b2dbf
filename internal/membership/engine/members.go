package engine

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

const (
	maxDeparted      = 1000        // members that are gone or have left and are still listed
	refutationPeriod = time.Second // within which a member that was wrongly declared gone refutes it
)

// member is a member as this instance sees it. Times are relative to the start of the group.
type member struct {
	address         string
	state           membership.State
	stateAt         time.Duration // when it entered its state
	previousStateAt time.Duration // when it entered the state before that
}

// refutable reports whether the member was declared gone so recently that it may still refute that.
func (m *member) refutable(now time.Duration) bool {
	return m.state == membership.Gone && now-m.stateAt < refutationPeriod
}

// transition changes the state of the member. A transition to the same state changes nothing.
func (m *member) transition(to membership.State, now time.Duration) {
	if m.state == to {
		return
	}
	if to == membership.Alive && m.refutable(now) {
		m.stateAt = m.previousStateAt // it has been alive all along
	} else {
		m.previousStateAt = m.stateAt
		m.stateAt = now
	}
	m.state = to
}

// setState records the state of a member as the gossip library reports it.
func (g *Group) setState(node *memberlist.Node, state membership.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := membership.Name(node.Name)
	m := g.members[name]
	if m == nil {
		if len(g.members) >= maxDeparted {
			g.forgetOldestDeparted()
		}
		m = &member{}
		g.members[name] = m
	}
	if m.state != state {
		m.transition(state, time.Since(g.started))
		slog.Info("member state changed", "member", name, "state", string(state))
	}
	m.address = node.Address()
}

// forgetOldestDeparted removes the member that departed first if too many departed ones are listed. Members that are
// alive are never removed, whatever their number. Callers hold the mutex.
func (g *Group) forgetOldestDeparted() {
	var oldest membership.Name
	departed := 0
	for name, m := range g.members {
		if m.state == membership.Alive {
			continue
		}
		departed++
		if oldest == "" || m.stateAt < g.members[oldest].stateAt {
			oldest = name
		}
	}
	if departed >= maxDeparted {
		delete(g.members, oldest)
	}
}

// Members returns all known members, sorted by name.
func (g *Group) Members() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Since(g.started)
	var members []membership.Member
	for name, m := range g.members {
		seen := membership.Member{Name: name, Addr: m.address, State: m.state, Since: now - m.stateAt}
		if m.refutable(now) { // the member that declared it gone may itself have been cut off, and is now connected again
			seen.State = membership.Alive
			seen.Since = now - m.previousStateAt
		}
		members = append(members, seen)
	}
	slices.SortFunc(members, membership.CompareByName)
	return members
}

// AliveCount returns the number of members that are alive, including this one.
func (g *Group) AliveCount() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.state == membership.Alive {
			count++
		}
	}
	return max(count, 1)
}
