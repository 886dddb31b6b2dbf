package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The re-evaluation of established flows, and their migration away from overloaded, unreachable and departing servers.

const (
	recheckInterval    = 5 * time.Second  // duration of one round of rechecks over all established flows
	maxRechecksPerTick = 128              // maximum number of rechecks that consider other servers
	migrationMargin    = 1.75             // cost that a migration must save; larger than 1.5, the most that grouping can save
	migrationShare     = 1.0 / 8          // share of a departing or unreachable server's flows to migrate at a time; maximum share to shed at a time
	noMinSaving        = -math.MaxFloat64 // minSaving that accepts any other server without faults, even at a higher cost
	slowSetupDivisor   = 2                // set-ups that take longer than target/2 are slow
)

// areSetupsFast reports whether set-ups are fast enough for migrations, as the client of a migrated flow has to set up its
// connection again: their median is less than half of the set-up target of the first service type. Slow set-ups count only
// while they are recent; otherwise a mass reconnect would keep flows on slow servers.
func (b *Balancer) areSetupsFast() bool {
	if len(b.services) == 0 {
		return false
	}
	isOld := b.now-b.health.lastSetupAt > latencyMaxAge
	return isOld || median(b.health.setupTimes) < b.services[0].SetupTarget/slowSetupDivisor
}

// recheck migrates an established flow if another server without faults costs less by more than minSaving.
func (b *Balancer) recheck(f *flow, minSaving float64) (migrated bool) {
	return b.recheckOrShed(f, minSaving, false)
}

// recheckOrShed does the same as recheck, but migrates the flow in any case if shed is set.
func (b *Balancer) recheckOrShed(f *flow, minSaving float64, shed bool) (migrated bool) {
	view := b.viewFor(f, b.list.ready)
	currentCost := b.cost(f, f.server, view)
	isBetter := func(server *serverState) bool {
		return server != f.server && b.isUsable(f, server, view) && b.rank(f, server) == 0 &&
			b.cost(f, server, view) < currentCost-minSaving
	}
	if !shed && !slices.ContainsFunc(view.candidates, isBetter) {
		return false
	}
	b.actions.Migrate(f.id)
	b.transition(f, migrating)
	return true
}

// cannotImprove reports whether a recheck can be skipped because no server can cost less by more than minSaving. It does
// so without iterating over servers: an upper bound of the flow's present cost, less minSaving, is compared with a lower
// bound of its cost at any server, which assumes that the group prefers that server.
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

// recheckSlice continues the round of rechecks with the flows that are due in one tick.
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

// nextToRecheck returns the next flow in the round of rechecks. There must be an established flow.
func (t *flowTable) nextToRecheck() *flow {
	t.lastRechecked = (t.lastRechecked + 1) % len(t.established)
	return t.established[t.lastRechecked]
}

func (b *Balancer) allowsMigration(id FlowID) bool {
	return b.constraints == nil || b.constraints.AllowMigration(id)
}

// recheckFirst rechecks the flows that the constraints return by MigrateFirst. Any saving is enough to migrate them.
func (b *Balancer) recheckFirst(ids []FlowID) {
	for _, id := range ids {
		if f := b.flows.byID[id]; f != nil && f.state == established && b.constraints.AllowMigration(id) {
			b.recheck(f, 0)
		}
	}
}

// migration says how many flows of a server to migrate, and which.
type migration struct {
	share     float64 // of the server's flows; more than 1: all
	minSaving float64 // cost that each migration must save; may be noMinSaving
	shed      bool    // migrate even if no other server can take the flow
}

// migrateAway rechecks a server's flows until the wanted share of them is migrated. The number of flows is rounded at
// random: if it were rounded up and each of many balancers held one flow there, all of the server's flows would migrate.
func (b *Balancer) migrateAway(server *serverState, wanted migration) {
	// Smallest groups first, as a group costs its server extra work until its last flow leaves.
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

// migrateFromDepartingAndUnreachable migrates a share of the flows of each departing or unreachable server.
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
