package decide

import (
	"math"
	"time"
)

// Sums, means and counts over servers.

const (
	minSize = 1e-9 // divisor without servers, to avoid division by 0
	maxSize = 1e15 // a larger size counts as unknown, so that no sum over servers is infinite
)

// fleetTotals are sums over servers.
type fleetTotals struct {
	openFlows    float64 // of this balancer
	size         float64
	reportedLoad float64 // weighted by size
	reportedSize float64 // total size of the servers that reported their load
}

// noServers are the initial totals of a sum over servers. Sizes start above 0, so that they can be divisors.
var noServers = fleetTotals{size: minSize, reportedSize: minSize}

// means returns a view with the means alone, for comparisons without a flow to place.
func (t fleetTotals) means() placementView {
	mean := max(t.openFlows, 0) / t.size
	return placementView{meanOpen: mean, meanWithFlow: mean, meanLoad: t.reportedLoad / t.reportedSize}
}

func (b *Balancer) addToTotals(totals *fleetTotals, server *serverState) {
	totals.openFlows += float64(server.openFlows)
	totals.size += b.effectiveSize(server)
	if load, ok := b.reportedLoad(server); ok {
		totals.reportedLoad += load * b.effectiveSize(server)
		totals.reportedSize += b.effectiveSize(server)
	}
}

// setMeans computes the means over the servers with the lowest extra cost for the flow. For a long list it uses the
// totals over all servers if there are no constraints. If there are, it sums over the candidates only and weights the
// flow by their share of the total size.
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

// totalsWithout returns the totals over all ready servers without the flow.
func (b *Balancer) totalsWithout(f *flow) fleetTotals {
	totals := b.list.totals
	if f.leased && f.server.readiness == Ready {
		totals.openFlows--
	}
	return totals
}

// totalsFor returns the totals over those servers that have the lowest extra cost for the flow, without that flow.
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

// updateTotals computes the figures that decisions use until the next tick. It does not apply constraints, as these
// differ between flows.
func (b *Balancer) updateTotals() {
	l := &b.list
	l.totals = noServers
	for _, server := range l.ready {
		b.addToTotals(&l.totals, server)
	}
	l.lowestLoad = b.lowestLoad(l.totals.means())
}

// lowestLoad returns the lowest load of the servers that a flow could be migrated to, or +Inf if there are none.
func (b *Balancer) lowestLoad(view placementView) float64 {
	lowest := math.Inf(1)
	for _, server := range b.list.ready {
		if b.isMigrationTarget(server, view) {
			lowest = min(lowest, b.load(server, server.openFlows, view))
		}
	}
	return lowest
}

// isMigrationTarget reports whether a flow could be migrated to the server before the next tick.
func (b *Balancer) isMigrationTarget(server *serverState, view placementView) bool {
	isEjected := server.ejected && b.now < server.ejectedUntil
	return !b.isOverloaded(server) && !isEjected && b.hasSlowStartBudget(server, view)
}

// isCurrent reports whether a figure cached at the given time may still be used. Figures are cached for long lists only,
// for less than tickInterval.
func (b *Balancer) isCurrent(at time.Duration) bool {
	return b.list.isLong() && at > 0 && b.now-at < tickInterval
}

// serverSubset is a set of servers, with the time when it was computed.
type serverSubset struct {
	at      time.Duration
	servers []*serverState
}

// healthyServers returns the servers without faults that have capacity for a flow without a group or earlier attempts.
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

// failureRateMedian is the median of the servers' failure rates, with the time when it was computed.
type failureRateMedian struct {
	at     time.Duration
	median float64
}

// medianFailureRate returns the median of the servers' failure rates.
func (b *Balancer) medianFailureRate() float64 {
	last := &b.health.medianFailureRate
	if b.isCurrent(last.at) {
		return last.median
	}
	var shares []float64
	for _, server := range b.list.ready {
		if share, n := failureRate(server.samples, b.now-outcomeMaxAge); n > 0 {
			shares = append(shares, share)
		}
	}
	last.at = b.now
	last.median = median(shares)
	return last.median
}

// fleetOverview holds counts over the ready servers, with the time when they were computed.
type fleetOverview struct {
	at         time.Duration
	overloaded float64
	observed   float64 // overloaded, or with flows of this balancer
	ejected    int
}

// fleetOverview returns the counts over the ready servers, cached if they are current.
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
