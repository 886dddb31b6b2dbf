package engine

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"yardwinch/internal/membership"
)

const (
	// maxSyncMembers is the largest number of other alive members with which a new member exchanges full states. In
	// larger fleets gossip sends a state to more members anyway, and an exchange with each would cost too much.
	maxSyncMembers     = 16
	postJoinSyncPeriod = 5 * time.Second // after a join; members that become known later are not synced with
)

// postJoinSync exchanges full states with every other member after this one has joined through some of them. In a small
// fleet gossip retransmits a state so few times that some members would otherwise learn of this one only by the next
// periodic exchange.
type postJoinSync struct {
	group  *Group
	until  time.Time
	synced map[membership.Name]bool
}

// begin starts the exchanges; now is when this member joined.
func (s *postJoinSync) begin(now time.Time) {
	s.until = now.Add(postJoinSyncPeriod)
	s.synced = map[membership.Name]bool{s.group.instance.Name: true}
}

// syncNext exchanges full states with the next member, and reports whether there was one.
func (s *postJoinSync) syncNext(now time.Time) bool {
	if now.After(s.until) {
		return false
	}
	name, address := s.nextMember()
	if name == "" {
		return false
	}
	s.synced[name] = true
	if _, err := s.group.list.Join([]string{address}); err != nil {
		slog.Debug("state exchange after the join failed; the member learns of this one later", "member", name, "error", oneLine(err))
	}
	return true
}

// nextMember returns the first member by name that is alive and has not been synced with. The name is empty if there is
// none, or if the fleet is too large.
func (s *postJoinSync) nextMember() (name membership.Name, address string) {
	g := s.group
	if g.AliveCount() > maxSyncMembers+1 {
		return "", ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, candidate := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[candidate]
		if m.state == membership.Alive && !s.synced[candidate] {
			return candidate, m.address
		}
	}
	return "", ""
}
