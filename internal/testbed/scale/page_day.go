package scale

import (
	"fmt"
	"math"
	"slices"
)

// dayTables returns the tables of one day and of the largest topic, by their names in the template.
func (p *page) dayTables() map[string]*table {
	return map[string]*table{
		"replacements": p.replacementsTable(),
		"zone":         p.zoneTable(),
		"changes":      p.changesTable(),
		"deliveries":   p.deliveriesTable(),
		"apart":        p.partitionTable(),
		"topic":        p.topicTable(),
		"topic fills":  topicLoadTable(),
	}
}

// quantityRow is a row of a quantityTable.
type quantityRow struct {
	label string
	figure
}

// quantityTable shows quantities with their origins and the series that they are derived from.
func quantityTable(rows ...quantityRow) *table {
	t := newTable("quantity", "figure", "origin", "slopes")
	for _, row := range rows {
		t.addRow(row.label, row.String(), row.Origin(), row.SeriesNames())
	}
	return t
}

// quantityRowsByServers returns a row for each of serverCounts.
func quantityRowsByServers(label string, figureFor func(servers float64) figure) (rows []quantityRow) {
	for _, servers := range serverCounts {
		rows = append(rows, quantityRow{fmt.Sprintf("%s, %s servers", label, digits(servers)), figureFor(servers)})
	}
	return rows
}

func (p *page) replacementsTable() *table {
	rows := []quantityRow{
		{"from one replacement to the next", calculated(replacementInterval, inSeconds)},
		{"from one failed machine to the next", calculated(failureInterval, inSeconds)},
		{"clients that reconnect after each replacement", calculated(connectionsPerBalancer, inCount)},
		{"reconnects, over the fleet", calculated(fleetReconnectRate, inRate)},
		{"reconnects at each balancer", calculated(replacementPlacementRate, inRate)},
		{"other arrivals at each balancer, as connections end by themselves", calculated(ordinaryPlacementRate, inRate)},
		{"connection setups in flight on average at each balancer",
			calculated((ordinaryPlacementRate+replacementPlacementRate)*setupSeconds, inCount)},
		{"connection setups that a balancer may have in flight", calculated(setupLimit(), inCount)},
	}
	rows = append(rows, quantityRowsByServers("control's processor time for these reconnects at each balancer",
		p.replacementProcessor)...)
	rows = append(rows, quantityRow{
		"a balancer that starts: processor time until its list is in force, 6,400 servers",
		p.valueAt(realStartTime, likelyServers),
	})
	return quantityTable(rows...)
}

func (p *page) zoneTable() *table {
	connectionsAfter := connectionsPerBalancer + zoneTakeover
	otherBalancers := fleetBalancers - zoneBalancers
	rows := []quantityRow{
		{"balancers lost", calculated(zoneBalancers, inCount)},
		{"connections lost", calculated(zoneConnections, inCount)},
		{"surviving balancers of the region", calculated(zoneSurvivors, inCount)},
		{"connections that each of them takes over", calculated(zoneTakeover, inCount)},
		{"connections that each of them then holds", calculated(connectionsAfter, inCount)},
		{"more than before", calculated(zoneTakeover/connectionsPerBalancer, inShare)},
		{"connections that each takes over, if spread over all regions", calculated(zoneConnections/otherBalancers, inCount)},
		{"more than before, if spread over all regions", calculated(zoneConnections/otherBalancers/connectionsPerBalancer, inShare)},
		{"spare capacity that each balancer of a region needs", calculated(zoneBalancers/regionBalancers, inShare)},
		{"reconnects at each surviving balancer of the region", calculated(zoneTakeover/reconnectSeconds, inRate)},
		{"reconnects over the region", calculated(zoneConnections/reconnectSeconds, inRate)},
		{"memory of the data path at each", p.connectionMemory(connectionsAfter)},
		{"descriptors at each", calculated(2*connectionsAfter, inCount)},
		{"connection setups in flight on average at each", calculated(zoneTakeover/reconnectSeconds*setupSeconds, inCount)},
		{"connection setups that a balancer may have in flight", calculated(setupLimit(), inCount)},
		{"time until all are established, with so many in flight", calculated(zoneTakeover*setupSeconds/setupLimit(), inSeconds)},
		{"interval between setups of one balancer once half of them fail: 8 ms for each balancer, at most 16 s",
			calculated(min(setupSpacingPerBalancer*fleetBalancers, maxSetupSpacing), inSeconds)},
	}
	rows = append(rows, p.lostZoneRows()...)
	rows = append(rows, quantityRowsByServers("processor time of decisions for all of them at one balancer", func(servers float64) figure {
		return p.placementProcessor(connectionsAfter, servers).times(zoneTakeover, inSeconds)
	})...)
	return quantityTable(rows...)
}

// lostZoneRows returns the results of a simulated fleet of 25 balancers that loses one balancer with its servers; the
// clients of that balancer reconnect evenly to all others.
func (p *page) lostZoneRows() []quantityRow {
	const prefix = "hollow fleet of 25 balancers, one lost with its servers, its clients spread evenly over the others: "
	busiest := p.valueAt(lostZoneBusiest, connectionsPerBalancer)
	return []quantityRow{
		{prefix + "clients taken over by each surviving balancer", p.valueAt(lostZoneClients, connectionsPerBalancer)},
		{prefix + "connects of the busiest balancer in one second", busiest},
		{"at that rate, time for the clients of a lost zone at each surviving balancer of its region",
			calculated(zoneTakeover, inCount).dividedBy(busiest, inSeconds)},
		{prefix + "half of the clients are established again after", p.valueAt(lostZoneHalfRecovered, connectionsPerBalancer)},
		{prefix + "99 in 100 are established again after", p.valueAt(lostZoneMostRecovered, connectionsPerBalancer)},
		{prefix + "attempts rejected for each client", p.valueAt(lostZoneRejections, connectionsPerBalancer)},
		{prefix + "clients without a connection at the end", p.valueAt(lostZoneUnserved, connectionsPerBalancer)},
		{prefix + "processor time in the busiest second, at most", p.valueAt(lostZoneProcessor, connectionsPerBalancer)},
	}
}

func (p *page) changesTable() *table {
	startRate := replacementsPerDay / daySeconds
	rows := []quantityRow{
		{"from one change to the next", calculated(changeInterval, inSeconds)},
		{"messages that publish them, over the fleet", calculated(changeMessageRate, inRate)},
		{"the same, from each control machine", calculated(changeMessageRate/fleetControlMachines, inRate)},
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
		rows,
		quantityRowsByServers("changes only: in force, the last", p.seriesBySize(changeMaxLatencyByServers)),
		quantityRowsByServers("full lists: in force, the last", p.seriesBySize(fullListMaxLatencyByServers)),
		quantityRowsByServers("bytes of a full list", p.seriesBySize(listBytes)),
		quantityRowsByServers("full lists at each change: bytes a second at each balancer",
			p.rateBySize(listBytes, changeRate, inTraffic)),
		quantityRowsByServers("full lists for balancers that start without state: bytes a second over the fleet",
			p.rateBySize(listBytes, startRate, inTraffic)),
		quantityRowsByServers("processor time of changes at each balancer", p.rateBySize(changeTime, changeRate, inCores)),
	)...)
}

// seriesBySize returns the values of a series as a function of the size.
func (p *page) seriesBySize(name seriesName) func(size float64) figure {
	return func(size float64) figure { return p.valueAt(name, size) }
}

// rateBySize returns the values of a series times a rate per second, in the given unit, as a function of the size.
func (p *page) rateBySize(name seriesName, rate float64, in unit) func(size float64) figure {
	return func(size float64) figure { return p.valueAt(name, size).times(rate, in) }
}

func (p *page) deliveriesTable() *table {
	perDelivery := p.valueAt(realDeliveryTime, connectionsPerBalancer)
	rows := []quantityRow{
		{"deliveries at each balancer", calculated(deliveryRatePerBalancer, inRate)},
		{"processor time of one", perDelivery},
		{"processor time of all at each balancer", perDelivery.times(deliveryRatePerBalancer, inCores)},
		{"the same on the ordinary day while a zone is lost",
			perDelivery.times(deliveryRatePerBalancer*(1+zoneTakeover/connectionsPerBalancer), inCores)},
		{"messages a second to the largest topic that would be all deliveries", calculated(fleetDeliveryRate/largestTopic, inRate)},
		{"within 210 ms for 99 in 100", unmeasured("delay")},
	}
	rows = append(rows, quantityRowsByServers("deliveries from each server", func(servers float64) figure {
		return calculated(fleetDeliveryRate/servers, inRate)
	})...)
	return quantityTable(rows...)
}

func (p *page) partitionTable() *table {
	missed := math.Round(missedChanges)
	oneByOneBytes := p.valueAt(catchUpOneByOneBytes, missed)
	return quantityTable(
		quantityRow{"changes missed", calculated(missedChanges, inCount)},
		quantityRow{"bytes of them, one by one", oneByOneBytes},
		quantityRow{"bytes of them, merged to the last state of each server", p.valueAt(catchUpBytes, missed)},
		quantityRow{"bytes of the full list instead, 6,400 servers", p.valueAt(listBytes, likelyServers)},
		quantityRow{"time to read them one by one within the limit of control traffic", oneByOneBytes.times(1/controlTraffic, inSeconds)},
		quantityRow{"until the last balancer has them, merged to the last state of each server", p.valueAt(catchUpLatency, missed)},
		quantityRow{"processor time of a balancer that applies them merged", p.valueAt(catchUpTime, missed)},
		quantityRow{"processor time of a balancer that applies the full list, 6,400 servers", p.valueAt(listTime, likelyServers)},
		quantityRow{"balancers that start in each region meanwhile", calculated(replacementsPerHour/fleetRegions, inCount)},
		quantityRow{"members that each region sees as gone", calculated(fleetBalancers-regionBalancers, inCount)},
		quantityRow{"longest time until a change is in force everywhere", calculated(partitionSeconds, inSeconds)},
	)
}

// topicTable shows how the listeners of the largest topic spread over servers as the number of balancers grows, each of
// which holds its share of the listeners. It ends at the largest size of the sweep: the number of servers bounds the
// spread, and no form of a fit has such a bound.
func (p *page) topicTable() *table {
	t := newTable("balancers", "listeners", "servers that hold some", "share of the topic on the most loaded of them",
		"most loaded server relative to the mean, all connections", "origin")
	sweep, _ := p.findSeries(topicUnevenness)
	if sweep == nil {
		return t
	}
	for _, point := range sweep.Points {
		servers := p.valueAt(topicServers, point.Size)
		largestShare := p.valueAt(topicLargestShare, point.Size)
		unevenness := p.valueAt(topicUnevenness, point.Size)
		t.addRow(digits(point.Size), digits(point.Size*math.Round(listenersPerBalancer)),
			servers.String(), largestShare.String(), unevenness.String(), unevenness.Origin())
	}
	return t
}

// topicLoadTable shows how many servers the largest topic fills, and the load of a server that holds all of it.
func topicLoadTable() *table {
	t := newTable("servers", "connections a server", "servers that the topic fills",
		"load of a single preferred server relative to the mean", "origin")
	for _, servers := range serverCounts {
		filled := serversFilledByTopic(servers)
		t.addRow(digits(servers), digits(fleetConnections/servers), filled.String(), filled.String()+" times", filled.Origin())
	}
	return t
}
