package engine

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

const (
	maxDeparted    = 1000        // members that are gone or have left and are still known
	refutationTime = time.Second // within which a member that is declared gone by mistake refutes it
)

// member is a member as it is seen here. Times are since the start of the group.
type member struct {
	address         string
	state           membership.State
	stateAt         time.Duration // since when it is in this state
	previousStateAt time.Duration // since when it was in the state before
}

// refutable reports whether a member was declared gone so recently that it may still refute it.
func (m *member) refutable(now time.Duration) bool {
	return m.state == membership.Gone && now-m.stateAt < refutationTime
}

// transition changes the state of a member; to the same state it changes nothing.
func (m *member) transition(to membership.State, now time.Duration) {
	if m.state == to {
		return
	}
	if to == membership.Alive && m.refutable(now) {
		m.stateAt = m.previousStateAt // it was alive all the time
	} else {
		m.previousStateAt = m.stateAt
		m.stateAt = now
	}
	m.state = to
}

// setState records the state of a member that the gossip reports.
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

// forgetOldestDeparted forgets the member that departed first, where too many departed ones are known. Members
// that are alive are never forgotten, however many there are. The mutex is held.
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

// Members is all members as they are seen now, by name.
func (g *Group) Members() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Since(g.started)
	var members []membership.Member
	for name, m := range g.members {
		seen := membership.Member{Name: name, Addr: m.address, State: m.state, Since: now - m.stateAt}
		if m.refutable(now) { // it may have been declared gone by a member that was cut off itself and is back
			seen.State = membership.Alive
			seen.Since = now - m.previousStateAt
		}
		members = append(members, seen)
	}
	slices.SortFunc(members, membership.CompareByName)
	return members
}

// AliveCount is the number of members that are alive, this one too.
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
