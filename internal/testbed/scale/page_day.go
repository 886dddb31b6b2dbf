package scale

import (
	"fmt"
	"math"
	"slices"
)

// dayTables are the tables of a day by their names in the template.
func (p *page) dayTables() map[string]*table {
	return map[string]*table{
		"replacements": p.replacementsTable(),
		"zone":         p.zoneTable(),
		"changes":      p.changesTable(),
		"deliveries":   p.deliveriesTable(),
		"apart":        p.apartTable(),
		"topic":        p.topicTable(),
		"topic fills":  topicFillsTable(),
	}
}

// quantityRow is one quantity of a table of the day.
type quantityRow struct {
	label string
	figure
}

func quantityTable(lines ...quantityRow) *table {
	t := newTable("quantity", "figure", "origin", "slopes")
	for _, l := range lines {
		t.row(l.label, l.String(), l.Origin(), l.Slopes())
	}
	return t
}

// quantityRowsByServers returns a row for each number of servers.
func quantityRowsByServers(label string, figureFor func(servers float64) figure) (lines []quantityRow) {
	for _, servers := range serverCounts {
		lines = append(lines, quantityRow{fmt.Sprintf("%s, %s servers", label, digits(servers)), figureFor(servers)})
	}
	return lines
}

func (p *page) replacementsTable() *table {
	lines := []quantityRow{
		{"from one replacement to the next", calculated(replacementSeconds, inSeconds)},
		{"from one failed machine to the next", calculated(failureSeconds, inSeconds)},
		{"clients that reconnect after each replacement", calculated(connectionsPerBalancer, inCount)},
		{"reconnects, over the fleet", calculated(fleetReconnects, inRate)},
		{"reconnects at each balancer", calculated(replacedPlacements, inRate)},
		{"other arrivals at each balancer, as connections end by themselves", calculated(ordinaryPlacements, inRate)},
		{"connection setups in flight on average at each balancer", calculated((ordinaryPlacements+replacedPlacements)*setupSeconds, inCount)},
		{"connection setups that a balancer may have in flight", calculated(setupLimit(), inCount)},
	}
	lines = append(lines, quantityRowsByServers("control's processor time for these reconnects at each balancer",
		p.replacementProcessor)...)
	lines = append(lines, quantityRow{
		"a balancer that starts: processor time until its list is in force, 6,400 servers",
		p.valueAt(realStartTime, likelyServers),
	})
	return quantityTable(lines...)
}

func (p *page) zoneTable() *table {
	after := connectionsPerBalancer + zoneShare
	others := fleetBalancers - zoneBalancers
	lines := []quantityRow{
		{"balancers lost", calculated(zoneBalancers, inCount)},
		{"connections lost", calculated(zoneConnections, inCount)},
		{"surviving balancers of the region", calculated(zoneSuccessors, inCount)},
		{"connections that each of them takes over", calculated(zoneShare, inCount)},
		{"connections that each of them then holds", calculated(after, inCount)},
		{"more than before", calculated(zoneShare/connectionsPerBalancer, inShare)},
		{"connections that each takes over, if spread over all regions", calculated(zoneConnections/others, inCount)},
		{"more than before, if spread over all regions", calculated(zoneConnections/others/connectionsPerBalancer, inShare)},
		{"spare capacity that each balancer of a region needs", calculated(zoneBalancers/regionBalancers, inShare)},
		{"reconnects at each surviving balancer of the region", calculated(zoneShare/reconnectSeconds, inRate)},
		{"reconnects over the region", calculated(zoneConnections/reconnectSeconds, inRate)},
		{"memory of the data path at each", p.connectionMemory(after)},
		{"descriptors at each", calculated(2*after, inCount)},
		{"connection setups in flight on average at each", calculated(zoneShare/reconnectSeconds*setupSeconds, inCount)},
		{"connection setups that a balancer may have in flight", calculated(setupLimit(), inCount)},
		{"time until all are established, with so many in flight", calculated(zoneShare*setupSeconds/setupLimit(), inSeconds)},
		{"interval between setups of one balancer once half of them fail: 8 ms for each balancer, at most 16 s",
			calculated(min(gapPerBalancer*fleetBalancers, maxSetupGap), inSeconds)},
	}
	lines = append(lines, p.lostZoneRows()...)
	lines = append(lines, quantityRowsByServers("processor time of decisions for all of them at one balancer", func(servers float64) figure {
		return p.placementProcessor(after, servers).times(zoneShare, inSeconds)
	})...)
	return quantityTable(lines...)
}

// lostZoneRows are the results of a simulated fleet that lost one zone of 25, whose connections all others took
// evenly.
func (p *page) lostZoneRows() []quantityRow {
	const prefix = "hollow fleet of 25 balancers, one lost with its servers, its clients spread evenly over the others: "
	busiest := p.valueAt(lostZoneBusiest, connectionsPerBalancer)
	return []quantityRow{
		{prefix + "clients taken over by each surviving balancer", p.valueAt(lostZoneClients, connectionsPerBalancer)},
		{prefix + "connects of the busiest balancer in one second", busiest},
		{"at that rate, time for the clients of a lost zone at each surviving balancer of its region",
			calculated(zoneShare, inCount).dividedBy(busiest, inSeconds)},
		{prefix + "half of the clients are established again after", p.valueAt(lostZoneHalfRecovered, connectionsPerBalancer)},
		{prefix + "99 in 100 are established again after", p.valueAt(lostZoneMostRecovered, connectionsPerBalancer)},
		{prefix + "attempts rejected for each client", p.valueAt(lostZoneRejections, connectionsPerBalancer)},
		{prefix + "clients without a connection at the end", p.valueAt(lostZoneUnserved, connectionsPerBalancer)},
		{prefix + "processor time in the busiest second, at most", p.valueAt(lostZoneProcessor, connectionsPerBalancer)},
	}
}

func (p *page) changesTable() *table {
	starts := replacementsPerDay / daySeconds
	lines := []quantityRow{
		{"from one change to the next", calculated(changeInterval, inSeconds)},
		{"messages that publish them, over the fleet", calculated(changeMessages, inRate)},
		{"the same, from each control machine", calculated(changeMessages/fleetControlMachines, inRate)},
		{"changes only: in force, 99 in 100", p.valueAt(changeP99Latency, changesPerDay)},
		{"changes only: in force, the last", p.valueAt(changeMaxLatency, changesPerDay)},
		{"the same with half of the control machines lost", p.valueAt(changeHalfLostLatency, changesPerDay)},
		{"until every balancer of a lost control machine has its list from another", p.valueAt(changeTakeoverTime, changesPerDay)},
		{"full lists: in force, the last", p.valueAt(fullListMaxLatency, changesPerDay)},
		{"share of time that a control machine is sending, changes only", p.valueAt(machineUtilization, changesPerDay)},
		{"share of time that a control machine is sending, full lists", p.valueAt(machineFullListUtilization, changesPerDay)},
		{"a balancer that starts without state has its list, the longest", p.valueAt(startMaxLatency, changesPerDay)},
		{"changes only: bytes a second from each control machine", p.valueAt(machineChangeTraffic, changesPerDay)},
		{"full lists: bytes a second from each control machine", p.valueAt(machineFullListTraffic, changesPerDay)},
		{"bytes of one change", p.valueAt(changeBytes, likelyServers)},
		{"changes only: bytes a second at each balancer", p.valueAt(changeBytes, likelyServers).times(changeRate, inTraffic)},
	}
	return quantityTable(slices.Concat(
		lines,
		quantityRowsByServers("changes only: in force, the last", p.seriesBySize(changeMaxLatencyByServers)),
		quantityRowsByServers("full lists: in force, the last", p.seriesBySize(fullListMaxLatencyByServers)),
		quantityRowsByServers("bytes of a full list", p.seriesBySize(listBytes)),
		quantityRowsByServers("full lists at each change: bytes a second at each balancer",
			p.rateBySize(listBytes, changeRate, inTraffic)),
		quantityRowsByServers("full lists for balancers that start without state: bytes a second over the fleet",
			p.rateBySize(listBytes, starts, inTraffic)),
		quantityRowsByServers("processor time of changes at each balancer", p.rateBySize(changeTime, changeRate, inCores)),
	)...)
}

// seriesBySize returns the values of a series.
func (p *page) seriesBySize(name seriesName) func(size float64) figure {
	return func(size float64) figure { return p.valueAt(name, size) }
}

// rateBySize returns the values of a series times a rate per second, in the given unit.
func (p *page) rateBySize(name seriesName, rate float64, in unit) func(size float64) figure {
	return func(size float64) figure { return p.valueAt(name, size).times(rate, in) }
}

func (p *page) deliveriesTable() *table {
	one := p.valueAt(realDeliveryTime, connectionsPerBalancer)
	lines := []quantityRow{
		{"deliveries at each balancer", calculated(deliveriesPerBalancer, inRate)},
		{"processor time of one", one},
		{"processor time of all at each balancer", one.times(deliveriesPerBalancer, inCores)},
		{"the same on the ordinary day while a zone is lost",
			one.times(deliveriesPerBalancer*(1+zoneShare/connectionsPerBalancer), inCores)},
		{"messages a second to the largest topic that would be all deliveries", calculated(fleetDeliveries/largestTopic, inRate)},
		{"within 210 ms for 99 in 100", unmeasured("delay")},
	}
	lines = append(lines, quantityRowsByServers("deliveries from each server", func(servers float64) figure {
		return calculated(fleetDeliveries/servers, inRate)
	})...)
	return quantityTable(lines...)
}

func (p *page) apartTable() *table {
	missed := math.Round(missedChanges)
	one := p.valueAt(catchUpOneByOneBytes, missed)
	return quantityTable(
		quantityRow{"changes missed", calculated(missedChanges, inCount)},
		quantityRow{"bytes of them, one by one", one},
		quantityRow{"bytes of them, merged to the last state of each server", p.valueAt(catchUpBytes, missed)},
		quantityRow{"bytes of the full list instead, 6,400 servers", p.valueAt(listBytes, likelyServers)},
		quantityRow{"time to read them one by one within the limit of control traffic", one.times(1/controlTraffic, inSeconds)},
		quantityRow{"until the last balancer has them, merged to the last state of each server", p.valueAt(catchUpLatency, missed)},
		quantityRow{"processor time of a balancer that applies them merged", p.valueAt(catchUpTime, missed)},
		quantityRow{"processor time of a balancer that applies the full list, 6,400 servers", p.valueAt(listTime, likelyServers)},
		quantityRow{"balancers that start in each region meanwhile", calculated(replacementsPerHour/fleetRegions, inCount)},
		quantityRow{"members that each region sees as gone", calculated(fleetBalancers-regionBalancers, inCount)},
		quantityRow{"longest time until a change is in force everywhere", calculated(partitionSeconds, inSeconds)},
	)
}

// topicTable shows how the listeners of the largest topic spread over servers, as more balancers hold their part. It
// ends at the sweep's largest size, as the number of servers bounds the spread, which no fit accounts for.
func (p *page) topicTable() *table {
	t := newTable("balancers", "listeners", "servers that hold some", "share of the topic on the most loaded of them",
		"most loaded server relative to the mean, all connections", "origin")
	found, _ := p.findSeries(topicUnevenness)
	if found == nil {
		return t
	}
	for _, point := range found.Points {
		servers := p.valueAt(topicServers, point.Size)
		fullest := p.valueAt(topicLargestShare, point.Size)
		uneven := p.valueAt(topicUnevenness, point.Size)
		t.row(digits(point.Size), digits(point.Size*math.Round(listenersPerBalancer)),
			servers.String(), fullest.String(), uneven.String(), uneven.Origin())
	}
	return t
}

// topicFillsTable is the load of the largest topic on one server.
func topicFillsTable() *table {
	t := newTable("servers", "connections a server", "servers that the topic fills",
		"load of a single preferred server relative to the mean", "origin")
	for _, servers := range serverCounts {
		filled := topicFills(servers)
		t.row(digits(servers), digits(fleetConnections/servers), filled.String(), filled.String()+" times", filled.Origin())
	}
	return t
}
