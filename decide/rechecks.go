package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The re-evaluation of established flows, and their migration away from overloaded, silent and departing servers.

const (
	recheckInterval    = 5 * time.Second // of one round over all established flows
	maxRechecksPerTick = 128             // of those that look at other servers
	migrationMargin    = 1.75            // cost that a migration has to save: more than grouping is ever worth
	migrationShare     = 1.0 / 8         // of a server's flows, at a time, where nothing says how many
	noMinSaving        = -math.MaxFloat64
	slowSetupDivisor   = 2 // set-ups beyond target/2 are slow
)

// areSetupsWithinObjective reports whether migrations are affordable: the client of a migrated flow pays its set-up
// again. Slow set-ups count only while they are recent, or a mass reconnect would hold flows on slow servers.
func (b *Balancer) areSetupsWithinObjective() bool {
	if len(b.services) == 0 {
		return false
	}
	isOld := b.now-b.health.lastSetupAt > latencyMaxAge
	return isOld || median(b.health.setupTimes) < b.services[0].SetupTarget/slowSetupDivisor
}

// recheck migrates an established flow if another server without faults costs less by minSaving.
func (b *Balancer) recheck(f *flow, minSaving float64) (migrated bool) {
	return b.recheckOrShed(f, minSaving, false)
}

// recheckOrShed does the same, or migrates the flow in any case if it is to be shed.
func (b *Balancer) recheckOrShed(f *flow, minSaving float64, shed bool) (migrated bool) {
	view := b.viewFor(f, b.list.ready)
	currentCost := b.cost(f, f.server, view)
	isBetter := func(server *serverState) bool {
		return server != f.server && b.allowed(f, server, view) && b.rank(f, server) == 0 &&
			b.cost(f, server, view) < currentCost-minSaving
	}
	if !shed && !slices.ContainsFunc(view.candidates, isBetter) {
		return false
	}
	b.actions.Migrate(f.id)
	b.transition(f, migrating)
	return true
}

// cannotImprove reports, without a look at other servers, that none can cost less by minSaving: what the flow costs at
// its server at most, less minSaving, is no more than the least that any could cost if it were preferred.
func (b *Balancer) cannotImprove(f *flow, minSaving float64) bool {
	if b.constraints != nil {
		return false
	}
	totals := b.list.totals
	totals.openFlows--
	view := totals.means()
	others := f.server.openFlows - 1
	currentCost := b.load(f.server, others, view)
	minCostElsewhere := b.list.lowestLoad
	flows := flowCounts{open: others, group: f.server.groupTallies[f.group]}
	if flows.group > 1 && !b.isAboveLoadBound(f.server, flows, view) {
		currentCost -= groupingWeight
		minCostElsewhere -= groupingWeight
	} else if f.group != "" {
		currentCost += groupingWeight * b.groupSpread()
		minCostElsewhere -= groupingWeight
	}
	if f.server.zone != b.list.Zone {
		currentCost += transferCostWeight * b.placement.zoneCrossing
	}
	return currentCost-minSaving < minCostElsewhere-costTolerance
}

// recheckSlice continues the round of rechecks.
func (b *Balancer) recheckSlice() {
	due := int(float64(len(b.flows.established))*float64(tickInterval)/float64(recheckInterval)) + 1
	minSaving := migrationMargin + transferCostWeight*b.placement.migration
	for rechecksLeft := maxRechecksPerTick; due > 0 && rechecksLeft > 0 && len(b.flows.established) > 0; due-- {
		f := b.flows.nextToRecheck()
		if f.server.readiness != Ready || b.cannotImprove(f, minSaving) || !b.allowsMigration(f.id) {
			continue
		}
		rechecksLeft--
		server := f.server
		if b.recheck(f, minSaving) {
			b.list.lowestLoad = min(b.list.lowestLoad, b.load(server, server.openFlows, b.list.totals.means()))
		}
	}
}

// nextToRecheck advances the round over the established flows, of which there must be one.
func (t *flowTable) nextToRecheck() *flow {
	t.lastRechecked = (t.lastRechecked + 1) % len(t.established)
	return t.established[t.lastRechecked]
}

func (b *Balancer) allowsMigration(id FlowID) bool {
	return b.constraints == nil || b.constraints.AllowMigration(id)
}

// recheckFirst rechecks the flows that constraints name.
func (b *Balancer) recheckFirst(ids []FlowID) {
	for _, id := range ids {
		if f := b.flows.byID[id]; f != nil && f.state == established && b.constraints.AllowMigration(id) {
			b.recheck(f, 0)
		}
	}
}

// migration says how many flows of a server are to be migrated, and which may be.
type migration struct {
	share     float64 // of the server's flows; more than 1: all
	minSaving float64 // cost that each has to save; atAnyCost: it may cost more
	shed      bool    // each may go even if no other server could take it
}

// migrateAway rechecks a server's flows until the share is migrated. Its number is rounded by chance: rounded up, it
// would be all flows of a server at which each of many balancers holds one.
func (b *Balancer) migrateAway(server *serverState, wanted migration) {
	// Smallest groups first: a group costs its server extra work as long as one of its flows is there.
	flows := slices.SortedFunc(slices.Values(server.established), func(one, other *flow) int {
		return cmp.Or(server.groupTallies[one.group]-server.groupTallies[other.group], one.listIndex-other.listIndex)
	})
	left := int(float64(server.openFlows)*min(wanted.share, 1) + b.random.uniform())
	for _, f := range flows {
		if left <= 0 {
			return
		}
		if b.recheckOrShed(f, wanted.minSaving, wanted.shed) {
			left--
		}
	}
}

// migrateFromDepartingAndUnreachable migrates some of the flows of each server that is departing or silent.
func (b *Balancer) migrateFromDepartingAndUnreachable() {
	wanted := migration{share: migrationShare, minSaving: noMinSaving}
	for _, server := range b.list.departing {
		b.migrateAway(server, wanted)
	}
	for _, server := range b.list.ready {
		if server.isUnreachable() {
			b.migrateAway(server, wanted)
		}
	}
}
