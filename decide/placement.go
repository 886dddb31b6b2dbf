package decide

import (
	"math"
	"slices"
)

// Placement: a flow goes to the server of least cost, with bounded loads.

const (
	groupingWeight     = 1.0  // of grouping in the cost
	loadWeight         = 1.0  // of the load in the cost
	transferCostWeight = 10.0 // of the prices of a zone crossing and a migration
	openFlowsPrior     = 2.0  // added to flow counts when loads are compared, as small counts say little
	loadPrior          = 0.2  // added to reported loads; without it, any load would seem high relative to a mean near 0
	groupingLoadBound  = 1.25 // multiple of the mean load above which a server attracts no groups
	costTolerance      = 1e-9 // costs that differ by less are equal

	randomCandidates = 24 // of a long list, half of them local
	preferredBuckets = 8  // buckets from which a group's preferred server is chosen
	holderCandidates = 8  // servers that already hold the group

	overloadMemory       = 2 * limitRecoveryTime // how long after an overload a server counts as overloaded recently
	recentOverloadWeight = 1e-6                  // factor on the rendezvous weight, to put the server behind all others

	// Ranks add up. A server is chosen only if there is none of a lower rank.
	overloadedRank = 1
	ejectedRank    = 2
	attemptedRank  = 4 // for each attempt of the flow there
)

// placementCosts are the prices of placement.
type placementCosts struct {
	zoneCrossing float64
	migration    float64
	hasSizes     bool // the sizes of the endpoint list are capacities
	sizesShrink  bool // they are not, but shrink from the capacity of a server as it gets flows
}

// placementView is the input of one placement or recheck: the candidates, and figures over all servers that each
// candidate is compared with.
type placementView struct {
	candidates       []*serverState
	preferredCount   int            // only this many candidates, the first ones, may be preferred
	holders          []*serverState // servers that hold the group at this balancer
	meanOpen         float64        // open flows of this balancer per unit of size, without the flow being placed
	meanWithFlow     float64        // the same with the flow being placed
	meanLoad         float64        // mean load, as a share of capacity, of the servers that report it
	someBelowBound   bool           // some candidate may attract groups; see mayAttractGroup
	holderBelowBound bool           // some such candidate holds the group and was not overloaded recently
	preferred        *serverState   // by rendezvous hashing; nil: none
}

// groupFlows returns how many flows of the group the server holds.
func (v placementView) groupFlows(server *serverState, group GroupKey) int {
	if len(v.holders) <= maxHolderScan && !slices.Contains(v.holders, server) {
		return 0
	}
	return server.groupTallies[group]
}

// choose returns the usable server of the lowest rank and, within that rank, of the lowest cost, or nil. If all candidates
// from a long list have faults, it draws others from healthyServers, which were computed at most tickInterval ago.
func (b *Balancer) choose(f *flow) *serverState {
	best, rank := b.cheapest(f, b.viewFor(f, b.list.ready))
	if b.list.isLong() && (best == nil || rank > 0) {
		if other, otherRank := b.cheapest(f, b.viewFor(f, b.healthyServers())); otherRank < rank {
			best = other
		}
	}
	return best
}

// cheapest returns the usable candidate of the lowest rank and, within that rank, of the lowest cost. It breaks ties at
// random.
func (b *Balancer) cheapest(f *flow, view placementView) (best *serverState, bestRank int) {
	bestRank = math.MaxInt
	bestCost, ties := 0.0, 0.0
	for _, server := range view.candidates {
		if !b.isUsable(f, server, view) {
			continue
		}
		rank := b.rank(f, server)
		cost := b.cost(f, server, view)
		switch {
		case rank < bestRank || rank == bestRank && cost < bestCost-costTolerance:
			best = server
			bestRank = rank
			bestCost = cost
			ties = 1
		case rank == bestRank && cost < bestCost+costTolerance:
			if ties++; b.replacesEqual(ties) {
				best = server
			}
		}
	}
	return best, bestRank
}

// chooseForced returns the server of a forced attempt: of those that satisfy the restrictions, one of the lowest rank. It
// breaks ties at random.
func (b *Balancer) chooseForced(f *flow) (best *serverState) {
	view := b.viewFor(f, b.list.ready)
	bestRank := math.MaxInt
	ties := 0.0
	for _, server := range view.candidates {
		if !b.satisfiesRestrictions(f, server, view) {
			continue
		}
		switch rank := b.rank(f, server); {
		case rank < bestRank:
			best = server
			bestRank = rank
			ties = 1
		case rank == bestRank:
			if ties++; b.replacesEqual(ties) {
				best = server
			}
		}
	}
	return best
}

// replacesEqual reports whether the n-th of several equal servers replaces the current choice, so that each is chosen
// with the same probability (reservoir sampling).
func (b *Balancer) replacesEqual(n float64) bool { return b.random.uniform()*n < 1 }

// candidates returns the servers that a decision considers. Of a short list these are all servers; of a long one, those
// that the group may prefer, some that hold it at this balancer, and some at random.
func (b *Balancer) candidates(f *flow, holders, from []*serverState) (selected []*serverState, preferredCount int) {
	l := &b.list
	if !l.isLong() {
		return l.ready, len(l.ready)
	}
	from = l.retryScope(f, &b.services[f.service], from)
	local := l.local
	if b.placement.zoneCrossing == 0 || len(from) < len(l.ready) {
		local = from
	}
	l.selection++
	l.candidates = l.candidates[:0]
	if f.group != "" {
		preferredCount = l.selectPreferred(f.group.hash(), preferredBuckets)
		l.selectRandom(holders, min(holderCandidates, len(holders)), &b.random)
	}
	l.selectRandom(local, randomCandidates/2, &b.random)
	l.selectRandom(from, randomCandidates/2, &b.random)
	return l.candidates, preferredCount
}

// isUsable reports whether the flow may go to the server now. An ejected server that is unreachable is excluded and not
// merely ranked lower: if all others were full, every flow would go there as soon as it is reachable again.
func (b *Balancer) isUsable(f *flow, server *serverState, view placementView) bool {
	return server.readiness == Ready && (!server.isUnreachable() || !b.isUnavailable(server)) &&
		b.hasCapacity(f, server, view) && b.satisfiesRestrictions(f, server, view)
}

// satisfiesRestrictions reports whether the server's readiness and slow-start budget, the constraints and the deduplication
// scope permit the flow there. Limits, load and health are not considered.
func (b *Balancer) satisfiesRestrictions(f *flow, server *serverState, view placementView) bool {
	if server.readiness != Ready || !b.hasSlowStartBudget(server, view) {
		return false
	}
	if _, ok := b.serverCost(f, server); !ok {
		return false
	}
	service := &b.services[f.service]
	if !f.isConfined(service) {
		return true
	}
	switch service.Deduplication {
	case DeduplicatedByZone:
		return server.zone == f.firstRunZone
	case DeduplicatedByCell:
		return server.cell == f.firstRunCell
	default:
		return false
	}
}

// isConfined reports whether a retry may go only to servers that drop its duplicates.
func (f *flow) isConfined(service *ServiceType) bool {
	return f.mayHaveRun && service.Effect != Idempotent && service.Deduplication != DeduplicatedByFleet
}

// rank returns the server's rank by its faults. Servers with faults remain candidates, as a flow should rather go to
// one of them than to none.
func (b *Balancer) rank(f *flow, server *serverState) int {
	rank := 0
	for _, id := range f.attempted {
		if id == server.id {
			rank += attemptedRank
		}
	}
	if b.isUnavailable(server) {
		rank += ejectedRank
	}
	if b.isOverloaded(server) {
		rank += overloadedRank
	}
	return rank
}

// viewFor prepares the placement of the flow on one of these servers, or on one of a selection of them. The means do not
// include the flow itself, except for meanWithFlow.
//
// If each balancer went by its own tallies alone, balancers would hold a group at different servers. Therefore a group has
// a preferred server: of the servers that may attract it, the one with the highest rendezvous weight. It is the same at all
// balancers of a zone that have the same list and agree on these servers.
func (b *Balancer) viewFor(f *flow, from []*serverState) (view placementView) {
	view.holders = b.tallies.holders[f.group]
	view.candidates, view.preferredCount = b.candidates(f, view.holders, from)
	leastExtra := b.leastExtra(f, view.candidates)
	b.setMeans(&view, f, leastExtra)
	highest := 0.0
	group := f.group.hash()
	for i, server := range view.candidates {
		if !b.mayAttractGroup(f, server, view, leastExtra) {
			continue
		}
		wasOverloaded := server.overloadedAt > 0 && b.now-server.overloadedAt < overloadMemory
		view.someBelowBound = true
		view.holderBelowBound = view.holderBelowBound || view.groupFlows(server, f.group) > 0 && !wasOverloaded
		if i >= view.preferredCount || f.group == "" {
			continue
		}
		if weight := b.preferredWeight(group, server, wasOverloaded); weight > highest {
			view.preferred = server
			highest = weight
		}
	}
	// Without load reports, a server that already holds the group is used instead of the preferred one.
	if view.holderBelowBound && view.meanLoad == 0 {
		view.preferred = nil
	}
	return view
}

// mayAttractGroup reports whether the server is below the load bound and could be chosen. If servers that cannot be
// chosen were preferred, their groups would spread over the fleet.
func (b *Balancer) mayAttractGroup(f *flow, server *serverState, view placementView, leastExtra float64) bool {
	if extra, _ := b.serverCost(f, server); extra > leastExtra {
		return false
	}
	return !server.ejected && b.rank(f, server) == 0 && b.isUsable(f, server, view) &&
		!b.isAboveLoadBound(server, flowCounts{open: server.openFlows, group: view.groupFlows(server, f.group)}, view)
}

// preferredWeight returns the rendezvous weight of a server. It is reduced for a server that was overloaded recently,
// which would otherwise attract again the flows that overloaded it.
func (b *Balancer) preferredWeight(group uint64, server *serverState, wasOverloaded bool) float64 {
	weight := rendezvousWeight(group, server.id) * b.effectiveSize(server)
	if wasOverloaded {
		weight *= recentOverloadWeight
	}
	if server.zone == b.list.Zone {
		weight *= b.localWeight()
	}
	return weight
}

// localWeight returns the factor on the rendezvous weight of servers in the local zone; it is 1 for all others.
func (b *Balancer) localWeight() float64 {
	factor := 1 + transferCostWeight*b.placement.zoneCrossing
	return factor * factor
}

// flowCounts counts flows of this balancer at a server.
type flowCounts struct {
	open  int // of any group
	group int // of the group of the flow being placed
}

// isAboveLoadBound reports whether a server has too much load to attract groups. This is judged by its load report, if
// there is one, and a lightly loaded server is never above the bound. Otherwise it is judged by this balancer's flows,
// with an allowance for random variation where balancers are many, as each then places only a sample of all flows.
func (b *Balancer) isAboveLoadBound(server *serverState, flows flowCounts, view placementView) bool {
	if load, ok := b.reportedLoad(server); ok {
		return load > max(groupingLoadBound*view.meanLoad, lightLoad)
	}
	fairShare := view.meanOpen * b.effectiveSize(server)
	othersShare := 1 - 1/float64(b.slowStart.Balancers)
	return float64(flows.open) > groupingLoadBound*fairShare+
		significantDeviations*math.Sqrt(fairShare*othersShare)+othersShare*float64(flows.group)
}

// CapacitySize returns the capacity of a server of the given listed size, relative to that of other servers. It is 1 if
// it is unknown.
func (b *Balancer) CapacitySize(listed float64) float64 {
	if b.placement.hasSizes && isSize(listed) {
		return listed
	}
	return 1
}

// isSize reports whether a listed size can be one.
func isSize(listed float64) bool { return listed > 0 && listed <= maxSize }

// effectiveSize returns the weight of a server in means: its capacity share, times its size.
func (b *Balancer) effectiveSize(server *serverState) float64 {
	return b.CapacitySize(server.size) * b.capacityShare(server)
}

// load returns the load of a server with the given number of open flows, relative to the mean.
func (b *Balancer) load(server *serverState, open int, view placementView) float64 {
	if load, ok := b.reportedLoad(server); ok {
		return (load + loadPrior) / (view.meanLoad + loadPrior)
	}
	mean := view.meanOpen*b.effectiveSize(server) + openFlowsPrior
	if b.capacityShare(server) < 1 { // the slow-start budget already limits the server; the prior would limit it once more
		return float64(open) / mean
	}
	return (float64(open) + openFlowsPrior) / mean
}

// cost returns the cost of the flow at the server, from grouping, load, the price of a zone crossing and constraints.
func (b *Balancer) cost(f *flow, server *serverState, view placementView) float64 {
	held := view.groupFlows(server, f.group)
	open, group := server.openFlows, held
	if f.leased && f.server == server { // do not count the flow itself
		open--
		group--
	}
	cost := loadWeight * b.load(server, open, view)
	mayGroup := !b.isAboveLoadBound(server, flowCounts{open: open, group: held}, view) || !view.someBelowBound
	if f.group != "" && mayGroup && (group > 0 || server == view.preferred) {
		cost -= groupingWeight
	} else if f.group != "" {
		cost += groupingWeight * b.groupSpread()
	}
	if server.zone != b.list.Zone {
		cost += transferCostWeight * b.placement.zoneCrossing
	}
	extra, _ := b.serverCost(f, server) // ok is checked in satisfiesRestrictions
	return cost + extra
}

// serverCost returns the extra cost that the constraints assign to a server; ok is false if they exclude it.
func (b *Balancer) serverCost(f *flow, server *serverState) (extra float64, ok bool) {
	if b.constraints == nil {
		return 0, true
	}
	return b.constraints.ServerCost(f.id, server.id)
}

// leastExtra returns the lowest extra cost of any candidate. Servers that cost more do not count in the means, as empty
// distant servers would make the near ones seem full.
func (b *Balancer) leastExtra(f *flow, candidates []*serverState) (least float64) {
	if b.constraints == nil {
		return 0
	}
	least = math.Inf(1)
	for _, server := range candidates {
		if extra, ok := b.serverCost(f, server); ok {
			least = min(least, extra)
		}
	}
	return least
}
