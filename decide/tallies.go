package decide

import "slices"

// tallies are the leased tallies over all servers: flows that this balancer placed, by group.
type tallies struct {
	holders map[GroupKey][]*serverState // servers on which the tally of the group is above 0
	pairs   int                         // of group and holder
}

// maxHolderScan is how many holders of a group are searched faster than the tallies of a server.
const maxHolderScan = 4

// lease counts the flow at its server. Its counterpart is release.
func (b *Balancer) lease(f *flow) {
	f.leased = true
	f.incarnation = f.server.incarnation
	b.addToTally(f.server, f.group, 1)
	if f.onProbation {
		f.server.probationFlows++
	}
}

// release ends a lease once, whether its flow was rejected, failed, migrated or closed.
func (b *Balancer) release(f *flow) {
	// The tallies of a server that restarted since were cleared then.
	if f.leased && f.incarnation == f.server.incarnation {
		b.addToTally(f.server, f.group, -1)
		if f.onProbation {
			f.server.probationFlows--
		}
	}
	f.leased = false
}

// addToTally adds n flows of a group to the tally of a server, or subtracts them, and keeps all sums over tallies.
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

// clearTallies forgets the flows of a server that restarted in place.
func (b *Balancer) clearTallies(server *serverState) {
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

// groupSpread is 0 where each group is at one server, the ideal, and approaches 1/2 as groups spread over more: half the
// gap between 1 and the average count of servers per group, as a share of that average.
func (b *Balancer) groupSpread() float64 {
	if b.tallies.pairs == 0 {
		return 0
	}
	return (1 - float64(len(b.tallies.holders))/float64(b.tallies.pairs)) / 2
}
