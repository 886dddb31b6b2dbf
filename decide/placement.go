package decide

import (
	"math"
	"slices"
)

// Which server a flow goes to: the guarded least-cost choice.

const (
	groupingWeight     = 1.0 // of grouping in the cost
	loadWeight         = 1.0 // of the load in the cost
	transferCostWeight = 10.0
	openFlowsPrior     = 2.0  // flows that a load is computed from at least, as few flows say little
	loadPrior          = 0.2  // the same for load reports, or a mean near 0 would make all look full
	groupingLoadBound  = 1.25 // times the mean, above which a server attracts no groups
	costTolerance      = 1e-9 // costs within it are equal

	randomCandidates = 24 // of a long list, half of them local
	preferredBuckets = 8  // of servers that may be preferred by a group
	holderCandidates = 8  // servers that hold the group already

	recentOverload       = 2 * limitRecoveryTime
	recentOverloadWeight = 1e-6 // of a server as preferred, behind all others

	// Ranks add up. Servers of a higher rank are chosen only where there is no other.
	overloadedRank = 1
	ejectedRank    = 2
	attemptedRank  = 4 // for each attempt of the flow there
)

// placementCosts are the prices of placement.
type placementCosts struct {
	zoneCrossing float64
	migration    float64
	hasSizes     bool // the sizes in the list mean something
}

// placementView is what one placement or recheck sees of the fleet: its candidates, and the means and marks that each
// candidate is compared with.
type placementView struct {
	candidates       []*serverState
	preferredCount   int            // so many of the candidates, the first, may be preferred
	holders          []*serverState // of the group, at this balancer
	meanOpen         float64        // open flows of this balancer per unit of size
	meanWithFlow     float64        // the same with the flow in hand
	meanLoad         float64        // over capacity, of servers that report it
	someBelowBound   bool           // some server is below the guard
	holderBelowBound bool           // such a server holds the group
	preferred        *serverState   // by rendezvous hashing; nil: none
}

// groupFlows is how many flows of the group the server holds.
func (v placementView) groupFlows(server *serverState, group GroupKey) int {
	if len(v.holders) <= maxHolderScan && !slices.Contains(v.holders, server) {
		return 0
	}
	return server.groupTallies[group]
}

// choose is the guarded least-cost choice. Where the candidates from a long list all have faults, others are drawn from
// the servers that had none at the last tick.
func (b *Balancer) choose(f *flow) *serverState {
	best, rank := b.cheapest(f, b.viewFor(f, b.list.ready))
	if b.list.isLong() && (best == nil || rank > 0) {
		if other, otherRank := b.cheapest(f, b.viewFor(f, b.healthyServers())); otherRank < rank {
			best = other
		}
	}
	return best
}

// cheapest is the allowed candidate of the lowest rank, among those the one of the lowest cost, and among equals one
// by chance.
func (b *Balancer) cheapest(f *flow, view placementView) (best *serverState, bestRank int) {
	bestRank = math.MaxInt
	bestCost, ties := 0.0, 0.0
	for _, server := range view.candidates {
		if !b.allowed(f, server, view) {
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

// chooseForced is the server of a forced attempt: a permitted one of the lowest rank, by chance among equals.
func (b *Balancer) chooseForced(f *flow) (best *serverState) {
	view := b.viewFor(f, b.list.ready)
	bestRank := math.MaxInt
	ties := 0.0
	for _, server := range view.candidates {
		if !b.permitted(f, server, view) {
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

// replacesEqual reports whether the n-th of equal servers takes the place of the one chosen so far, so that each of them
// is chosen with the same probability.
func (b *Balancer) replacesEqual(n float64) bool { return b.random.uniform()*n < 1 }

// candidates are the servers that a decision looks at: all of a short list. Of a long one they are those that the group
// prefers at all balancers, some that hold it here, and some by chance.
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

// allowed reports whether the flow may go to the server now. Silent servers are excluded outright: with all others
// full, every flow would go there as soon as they return.
func (b *Balancer) allowed(f *flow, server *serverState, view placementView) bool {
	return server.readiness == Ready && (!server.isUnreachable() || !b.isEjected(server)) &&
		b.hasCapacity(f, server, view) && b.permitted(f, server, view)
}

// permitted reports whether the flow may go to the server whatever its health and load.
func (b *Balancer) permitted(f *flow, server *serverState, view placementView) bool {
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

// isConfined reports whether another attempt may go only where servers drop its repeats.
func (f *flow) isConfined(service *ServiceType) bool {
	return f.mayHaveRun && service.Effect != Idempotent && service.Deduplication != DeduplicatedByFleet
}

// rank orders servers by their faults, so that a flow goes to a faulty server rather than to none.
func (b *Balancer) rank(f *flow, server *serverState) int {
	rank := 0
	for _, id := range f.attempted {
		if id == server.id {
			rank += attemptedRank
		}
	}
	if b.isEjected(server) {
		rank += ejectedRank
	}
	if b.isOverloaded(server) {
		rank += overloadedRank
	}
	return rank
}

// viewFor prepares a placement of the flow among these servers or a part of them. The flow itself is left out of the
// means. By tallies alone each balancer would hold a group at another server; the preferred server, the highest by
// a hash of group and id of those below the guard, is the same at all.
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
		wasOverloaded := server.overloadedAt > 0 && b.now-server.overloadedAt < recentOverload
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
	if view.holderBelowBound && view.meanLoad == 0 {
		view.preferred = nil
	}
	return view
}

// mayAttractGroup reports whether a server below the guard could be chosen. Flows forwarded from one that could not
// would spread its groups over the fleet.
func (b *Balancer) mayAttractGroup(f *flow, server *serverState, view placementView, leastExtra float64) bool {
	if extra, _ := b.serverCost(f, server); extra > leastExtra {
		return false
	}
	return !server.ejected && b.rank(f, server) == 0 && b.allowed(f, server, view) &&
		!b.isAboveLoadBound(server, flowCounts{open: server.openFlows, group: view.groupFlows(server, f.group)}, view)
}

// preferredWeight is the rendezvous weight of a server. One that was overloaded recently would, as preferred, attract
// again what overloaded it.
func (b *Balancer) preferredWeight(group uint64, server *serverState, wasOverloaded bool) float64 {
	weight := rendezvousWeight(group, server.id) * b.size(server)
	if wasOverloaded {
		weight *= recentOverloadWeight
	}
	if server.zone == b.list.Zone {
		weight *= b.localWeight()
	}
	return weight
}

// localWeight is the weight of a server of the own zone as preferred, beside 1 of one elsewhere.
func (b *Balancer) localWeight() float64 {
	factor := 1 + transferCostWeight*b.placement.zoneCrossing
	return factor * factor
}

// flowCounts are flows of this balancer at a server.
type flowCounts struct {
	open  int // of any group
	group int // of the group of the flow in hand
}

// isAboveLoadBound reports whether a server attracts no groups: by its load report, though not while it is lightly loaded,
// or else by this balancer's flows and what chance may add to them where balancers are many.
func (b *Balancer) isAboveLoadBound(server *serverState, flows flowCounts, view placementView) bool {
	if load, ok := b.reportedLoad(server); ok {
		return load > max(groupingLoadBound*view.meanLoad, lightLoad)
	}
	fairShare := view.meanOpen * b.size(server)
	othersShare := 1 - 1/float64(b.slowStart.Balancers)
	return float64(flows.open) > groupingLoadBound*fairShare+significantDeviations*math.Sqrt(fairShare*othersShare)+othersShare*float64(flows.group)
}

// size is what a server counts for in means: its listed size, where sizes mean something, times its capacity share.
func (b *Balancer) size(server *serverState) float64 {
	if b.placement.hasSizes && server.size > 0 {
		return server.size * b.capacityShare(server)
	}
	return b.capacityShare(server)
}

// load is the load of a server with so many open flows, relative to the mean.
func (b *Balancer) load(server *serverState, open int, view placementView) float64 {
	if load, ok := b.reportedLoad(server); ok {
		return (load + loadPrior) / (view.meanLoad + loadPrior)
	}
	mean := view.meanOpen*b.size(server) + openFlowsPrior
	if b.capacityShare(server) < 1 { // its budget holds it back; the prior would do so again
		return float64(open) / mean
	}
	return (float64(open) + openFlowsPrior) / mean
}

// cost is the cost of the flow at the server, by grouping, load, the price of a zone crossing and constraints.
func (b *Balancer) cost(f *flow, server *serverState, view placementView) float64 {
	held := view.groupFlows(server, f.group)
	open, group := server.openFlows, held
	if f.leased && f.server == server { // without the flow itself
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
	extra, _ := b.serverCost(f, server) // its ok is checked where the server becomes a candidate
	return cost + extra
}

// serverCost is the extra cost that constraints give a server, or false where they exclude it.
func (b *Balancer) serverCost(f *flow, server *serverState) (extra float64, ok bool) {
	if b.constraints == nil {
		return 0, true
	}
	return b.constraints.ServerCost(f.id, server.id)
}

// leastExtra is the least extra cost of any candidate. Servers that cost more are left out of the means: empty ones far
// off would make near ones look full.
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
