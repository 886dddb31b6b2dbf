package decide

import "slices"

// tallies indexes the leased tallies of all servers: this balancer's flows by group.
type tallies struct {
	holders map[GroupKey][]*serverState // servers where the tally of the group is above 0
	pairs   int                         // number of pairs of a group and a holder
}

// maxHolderScan is the number of holders up to which a scan of them is faster than a lookup in a server's tallies.
const maxHolderScan = 4

// lease adds the flow to the tallies of its server.
func (b *Balancer) lease(f *flow) {
	f.leased = true
	f.incarnation = f.server.incarnation
	b.addToTally(f.server, f.group, 1)
	if f.onProbation {
		f.server.probationFlows++
	}
}

// release ends the flow's lease, if it has one.
func (b *Balancer) release(f *flow) {
	// If the server has restarted since, its tallies were already cleared.
	if f.leased && f.incarnation == f.server.incarnation {
		b.addToTally(f.server, f.group, -1)
		if f.onProbation {
			f.server.probationFlows--
		}
	}
	f.leased = false
}

// addToTally adds n, which may be negative, to a server's tally of a group and updates all sums over tallies.
func (b *Balancer) addToTally(server *serverState, group GroupKey, n int) {
	server.openFlows += n
	if server.readiness == Ready {
		b.list.totals.openFlows += float64(n)
	}
	if group == "" {
		return
	}
	if server.groupTallies == nil {
		server.groupTallies = map[GroupKey]int{}
	}
	before := server.groupTallies[group]
	after := before + n
	server.groupTallies[group] = after
	if after == 0 {
		delete(server.groupTallies, group)
	}
	switch {
	case before == 0 && after != 0:
		b.tallies.addHolder(group, server)
	case before != 0 && after == 0:
		b.tallies.removeHolder(group, server)
	}
}

// clearGroupTallies clears the group tallies of a server that restarted and begins a new incarnation of it. The
// server's flows without a group still count in openFlows; the caller resets openFlows.
func (b *Balancer) clearGroupTallies(server *serverState) {
	for group, n := range server.groupTallies {
		b.addToTally(server, group, -n)
	}
	server.incarnation++
}

// addHolder records that the server holds the group.
func (t *tallies) addHolder(group GroupKey, server *serverState) {
	t.pairs++
	t.holders[group] = append(t.holders[group], server)
}

// removeHolder records that the server no longer holds the group.
func (t *tallies) removeHolder(group GroupKey, server *serverState) {
	t.pairs--
	holders := t.holders[group]
	if len(holders) == 1 {
		delete(t.holders, group)
		return
	}
	i := slices.Index(holders, server)
	holders[i] = holders[len(holders)-1]
	t.holders[group] = holders[:len(holders)-1]
}

// groupSpread returns a measure of how far groups are spread: (1 - 1/n)/2, where n is the average number of servers per
// group. It is 0 if each group is at one server, which is ideal, and approaches 1/2 as n grows.
func (b *Balancer) groupSpread() float64 {
	if b.tallies.pairs == 0 {
		return 0
	}
	return (1 - float64(len(b.tallies.holders))/float64(b.tallies.pairs)) / 2
}
