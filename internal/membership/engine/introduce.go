package engine

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"yardwinch/internal/membership"
)

const (
	// In larger fleets each member sends a state to more others, and an exchange with each would cost too much.
	maxIntroductions   = 16
	introductionPeriod = 5 * time.Second // after a join, in which members that become known are introduced to
)

// introducer makes this member known to each of the others, after it has joined through some of them, by an exchange
// of full states. In a small fleet gossip sends a state so few times that some members would learn of this one only
// by the next periodic exchange.
type introducer struct {
	group      *Group
	until      time.Time
	introduced map[membership.Name]bool
}

// begin starts the introductions; now is when this member joined.
func (i *introducer) begin(now time.Time) {
	i.until = now.Add(introductionPeriod)
	i.introduced = map[membership.Name]bool{i.group.instance.Name: true}
}

// attemptNext introduces this member to the next other one, and reports whether there was one.
func (i *introducer) attemptNext(now time.Time) bool {
	if now.After(i.until) {
		return false
	}
	name, address := i.nextMember()
	if name == "" {
		return false
	}
	i.introduced[name] = true
	if _, err := i.group.list.Join([]string{address}); err != nil {
		slog.Debug("introduction failed; the member learns of this one later", "member", name, "error", oneLine(err))
	}
	return true
}

// nextMember is the first member by name that is alive and has not been introduced to; its name is empty where there is
// none, or where the fleet is too large.
func (i *introducer) nextMember() (name membership.Name, address string) {
	g := i.group
	if g.AliveCount() > maxIntroductions+1 {
		return "", ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, candidate := range slices.Sorted(maps.Keys(g.members)) {
		m := g.members[candidate]
		if m.state == membership.Alive && !i.introduced[candidate] {
			return candidate, m.address
		}
	}
	return "", ""
}
