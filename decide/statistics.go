package decide

import (
	"math"
	"time"
)

// Figures over many servers, computed from what is kept of each.

const minSize = 1e-9 // a divisor where there are no servers

// fleetTotals are sums over servers.
type fleetTotals struct {
	openFlows    float64 // of this balancer
	size         float64
	reportedLoad float64 // times size
	reportedSize float64 // of the servers that reported their load
}

// noServers are the totals over no servers. They can be divided by. Sums start from them.
var noServers = fleetTotals{size: minSize, reportedSize: minSize}

// means are what loads are compared with where no flow is in hand.
func (t fleetTotals) means() placementView {
	mean := max(t.openFlows, 0) / t.size
	return placementView{meanOpen: mean, meanWithFlow: mean, meanLoad: t.reportedLoad / t.reportedSize}
}

func (b *Balancer) addToTotals(totals *fleetTotals, server *serverState) {
	totals.openFlows += float64(server.openFlows)
	totals.size += b.size(server)
	if load, ok := b.reportedLoad(server); ok {
		totals.reportedLoad += load * b.size(server)
		totals.reportedSize += b.size(server)
	}
}

// setMeans computes the means over the servers of the least extra cost for the flow. A long list without constraints has
// the totals of all servers at hand; with them only its candidates are asked, and the flow counts by their part of all.
func (b *Balancer) setMeans(view *placementView, f *flow, leastExtra float64) {
	var totals fleetTotals
	flowWeight := 1.0
	switch isLong := b.list.isLong(); {
	case isLong && b.constraints == nil:
		totals = b.totalsWithout(f)
	case isLong:
		totals = b.totalsFor(f, view.candidates, leastExtra)
		flowWeight = min(1, totals.size/b.list.totals.size)
	default:
		totals = b.totalsFor(f, view.candidates, leastExtra)
	}
	view.meanOpen = totals.openFlows / totals.size
	view.meanWithFlow = (totals.openFlows + flowWeight) / totals.size
	view.meanLoad = totals.reportedLoad / totals.reportedSize
}

// totalsWithout are the totals over all ready servers without the flow.
func (b *Balancer) totalsWithout(f *flow) fleetTotals {
	totals := b.list.totals
	if f.leased && f.server.readiness == Ready {
		totals.openFlows--
	}
	return totals
}

// totalsFor are the totals over the servers of the least extra cost for the flow, without that flow.
func (b *Balancer) totalsFor(f *flow, servers []*serverState, leastExtra float64) fleetTotals {
	totals := noServers
	for _, server := range servers {
		if extra, ok := b.serverCost(f, server); !ok || extra > leastExtra {
			continue
		}
		b.addToTotals(&totals, server)
		if f.leased && f.server == server {
			totals.openFlows--
		}
	}
	return totals
}

// updateTotals computes what the decisions until the next tick share. Constraints are left out: their answers differ
// from flow to flow.
func (b *Balancer) updateTotals() {
	l := &b.list
	l.totals = noServers
	for _, server := range l.ready {
		b.addToTotals(&l.totals, server)
	}
	l.lowestLoad = b.lowestLoad(l.totals.means())
}

// lowestLoad is the lowest load of any server that a flow could be migrated to; infinite if there is none.
func (b *Balancer) lowestLoad(view placementView) float64 {
	lowest := math.Inf(1)
	for _, server := range b.list.ready {
		if b.isMigrationTarget(server, view) {
			lowest = min(lowest, b.load(server, server.openFlows, view))
		}
	}
	return lowest
}

// isMigrationTarget reports whether some flow could be migrated to the server before the next tick.
func (b *Balancer) isMigrationTarget(server *serverState, view placementView) bool {
	isEjected := server.ejected && b.now < server.ejectedUntil
	return !b.isOverloaded(server) && !isEjected && b.hasSlowStartBudget(server, view)
}

// isCurrent reports whether a figure computed at that time still counts: for a long list each is computed at most
// once in a tick.
func (b *Balancer) isCurrent(at time.Duration) bool {
	return b.list.isLong() && at > 0 && b.now-at < tickInterval
}

// serverSubset is a set of servers as of a time.
type serverSubset struct {
	at      time.Duration
	servers []*serverState
}

// healthyServers are the servers without faults that have capacity for a flow that has no group and no attempt yet.
func (b *Balancer) healthyServers() []*serverState {
	last := &b.health.healthy
	if b.isCurrent(last.at) {
		return last.servers
	}
	last.at = b.now
	last.servers = last.servers[:0]
	view := b.list.totals.means()
	anyFlow := &flow{}
	for _, server := range b.list.ready {
		if b.rank(anyFlow, server) == 0 && b.hasCapacity(anyFlow, server, view) && b.hasSlowStartBudget(server, view) {
			last.servers = append(last.servers, server)
		}
	}
	return last.servers
}

// failureMedian is the median over servers of their share of failures, as of a time.
type failureMedian struct {
	at     time.Duration
	median float64
}

// medianFailures is the median over servers of their share of failures.
func (b *Balancer) medianFailures() float64 {
	last := &b.health.medianFailures
	if b.isCurrent(last.at) {
		return last.median
	}
	var shares []float64
	for _, server := range b.list.ready {
		if share, n := failedShare(server.samples, b.now-outcomeMaxAge); n > 0 {
			shares = append(shares, share)
		}
	}
	last.at = b.now
	last.median = median(shares)
	return last.median
}

// fleetOverview counts what is observed of all ready servers, as of a time.
type fleetOverview struct {
	at         time.Duration
	overloaded float64
	observed   float64 // overloaded, or with flows of this balancer
	ejected    int
}

// fleetOverview counts what is observed, or returns the last counts while they are current.
func (b *Balancer) fleetOverview() fleetOverview {
	last := &b.health.overview
	if b.isCurrent(last.at) {
		return *last
	}
	*last = fleetOverview{at: b.now}
	for _, server := range b.list.ready {
		isOverloaded := b.isOverloaded(server)
		if isOverloaded {
			last.overloaded++
		}
		if isOverloaded || server.openFlows > 0 {
			last.observed++
		}
		if server.ejected {
			last.ejected++
		}
	}
	return *last
}
