package lease

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// settleTime is how long a member must have been seen alive before it is ranked.
const settleTime = 3 * time.Second

// Member is a balancer that this one sees alive.
type Member struct {
	Name     Holder
	Weight   float64       // its share of all tasks, relative to others; one that is not positive and finite counts as 1
	AliveFor time.Duration // how long it has been seen alive
}

// ownMember returns the balancer itself as a member, which is always ranked.
func ownMember(own Holder) Member { return Member{Name: own, Weight: 1, AliveFor: settleTime} }

// SetMembers sets the members that are alive now. This balancer itself is always added.
func (m *Manager) SetMembers(alive []Member) {
	members := m.rankedMembers(alive)
	changed := !slices.EqualFunc(members, m.members, func(a, b Member) bool {
		return a.Name == b.Name && a.Weight == b.Weight
	})
	m.members = members
	if changed {
		m.view++
	}
}

// rankedMembers returns the members that are ranked, ordered by name and without duplicates.
func (m *Manager) rankedMembers(alive []Member) (members []Member) {
	hasOwn := false
	for _, member := range alive {
		if !(member.Weight > 0) || math.IsInf(member.Weight, 1) { // NaN is not above 0
			member.Weight = 1
		}
		if member.Name == m.own {
			hasOwn = true
			member.AliveFor = settleTime
		}
		if member.AliveFor >= settleTime {
			members = append(members, member)
		}
	}
	if !hasOwn {
		members = append(members, ownMember(m.own))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(members, func(a, b Member) bool { return a.Name == b.Name })
}

// updateRank ranks this balancer for a task, unless its rank is from the current view.
func (m *Manager) updateRank(task Task, l *lease) {
	if l.rankedIn == m.view {
		return
	}
	l.rankedIn = m.view
	l.rank = 0
	ownScore := 0.0
	for _, member := range m.members {
		if member.Name == m.own {
			ownScore = score(member, task)
		}
	}
	highest := -1.0
	for _, member := range m.members {
		s := score(member, task)
		if s > ownScore {
			l.rank++
		}
		if s > highest {
			highest = s
			l.preferred = member.Name
		}
	}
}

// score returns the score of weighted rendezvous hashing. The member with the highest score is preferred for the task,
// and when a member joins or leaves, only its own tasks move.
func score(member Member, task Task) float64 {
	const fractionBits = 53 // of a float64
	uniform := (float64(hash(member.Name, task)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -member.Weight / math.Log(uniform)
}

// hash is FNV-1a with the finalizer of MurmurHash3, as the high bits of FNV differ little between names that end alike.
func hash(name Holder, task Task) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(task >> 24), byte(task >> 16), byte(task >> 8), byte(task)}) // never fails
	_, _ = h.Write([]byte(name))
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	sum ^= sum >> 33
	return sum
}
