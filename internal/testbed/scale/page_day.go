package scale

import (
	"fmt"
	"math"
)

// dayTables are the tables of the day, by the names that the template calls them by.
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

// pageLine is one quantity of a table of the day.
type pageLine struct {
	what string
	figure
}

func linesTable(lines ...pageLine) *table {
	t := newTable("quantity", "figure", "origin", "slopes")
	for _, l := range lines {
		t.row(l.what, l.String(), l.Origin(), l.Slopes())
	}
	return t
}

// eachServers is a line for each size of the list.
func eachServers(what string, work func(servers float64) figure) (lines []pageLine) {
	for _, servers := range pageServers {
		lines = append(lines, pageLine{fmt.Sprintf("%s, %s servers", what, digits(servers)), work(servers)})
	}
	return lines
}

func (p *page) replacementsTable() *table {
	lines := []pageLine{
		{"from one replacement to the next", reckoned(replacementSeconds, inSeconds)},
		{"from one failed machine to the next", reckoned(failureSeconds, inSeconds)},
		{"connections that come back after each replacement", reckoned(heldConnections, inCount)},
		{"reconnects, over the fleet", reckoned(fleetReconnects, inRate)},
		{"reconnects at each balancer", reckoned(replacedPlacements, inRate)},
		{"other arrivals at each balancer, as connections end by themselves", reckoned(restingPlacements, inRate)},
		{"set-ups out on average at each balancer", reckoned((restingPlacements+replacedPlacements)*setupSeconds, inCount)},
		{"set-ups that a balancer may have out", reckoned(setupsOut(), inCount)},
	}
	lines = append(lines, eachServers("control's processor time for these reconnects at each balancer", p.replacementProcessor)...)
	lines = append(lines, pageLine{"a balancer that starts anew: processor time until its list is in force, 6,400 servers", p.at(realListStart, likelyServers)})
	return linesTable(lines...)
}

func (p *page) zoneTable() *table {
	after := heldConnections + zoneShare
	others := fleetBalancers - zoneBalancers
	lines := []pageLine{
		{"balancers lost", reckoned(zoneBalancers, inCount)},
		{"connections lost", reckoned(zoneConnections, inCount)},
		{"balancers of the region that are left", reckoned(zoneHeirs, inCount)},
		{"taken by each of them", reckoned(zoneShare, inCount)},
		{"held by each of them then", reckoned(after, inCount)},
		{"more than before", reckoned(zoneShare/heldConnections, inShare)},
		{"taken by each, if all regions took their part", reckoned(zoneConnections/others, inCount)},
		{"more than before, if all regions took their part", reckoned(zoneConnections/others/heldConnections, inShare)},
		{"reserve that each balancer of a region must have free, of what it can hold", reckoned(zoneBalancers/regionBalancers, inShare)},
		{"rate at each balancer of the region that is left", reckoned(zoneShare/reconnectSeconds, inRate)},
		{"rate over the region", reckoned(zoneConnections/reconnectSeconds, inRate)},
		{"memory of the data path at each then", p.heldMemory(after)},
		{"descriptors at each then", reckoned(2*after, inCount)},
		{"set-ups out on average at each", reckoned(zoneShare/reconnectSeconds*setupSeconds, inCount)},
		{"set-ups that a balancer may have out", reckoned(setupsOut(), inCount)},
		{"time until all are taken, with so many out", reckoned(zoneShare*setupSeconds/setupsOut(), inSeconds)},
		{"gap between set-ups of one balancer once half of them fail: 8 ms for each balancer, 16 s at the most", reckoned(min(gapABalancer*fleetBalancers, longestGap), inSeconds)},
	}
	lines = append(lines, p.lostZoneLines()...)
	lines = append(lines, eachServers("decisions for all of them at one balancer, processor time", func(servers float64) figure {
		return p.placementTime(after, servers).times(zoneShare, inSeconds)
	})...)
	return linesTable(lines...)
}

// lostZoneLines are what a hollow fleet did that lost one zone of 25, each balancer left taking an even part.
func (p *page) lostZoneLines() []pageLine {
	const hollow = "hollow fleet of 25 balancers, one lost with its servers, all others taking an even part: "
	busiest := p.at(lostBusiest, heldConnections)
	return []pageLine{
		{hollow + "clients taken by each balancer left", p.at(lostClients, heldConnections)},
		{hollow + "connects of the busiest balancer in one second", busiest},
		{"at that rate, time for the clients of a lost zone at each heir of its region", reckoned(zoneShare, inCount).over(busiest, inSeconds)},
		{hollow + "half of the clients stand again after", p.at(lostHalfBack, heldConnections)},
		{hollow + "99 in 100 stand again after", p.at(lostMostBack, heldConnections)},
		{hollow + "tries turned away for each client", p.at(lostTurnedAway, heldConnections)},
		{hollow + "clients without a connection at the end", p.at(lostUnserved, heldConnections)},
		{hollow + "processor time in the busiest second, at most", p.at(lostProcessor, heldConnections)},
	}
}

func (p *page) changesTable() *table {
	starts := replacedADay / daySeconds
	lines := []pageLine{
		{"from one change to the next", reckoned(changeEvery, inSeconds)},
		{"messages that tell them, over the fleet", reckoned(changeMessages, inRate)},
		{"the same, from each control machine", reckoned(changeMessages/fleetControlMachines, inRate)},
		{"changes only: in force, 99 in 100", p.at(changesMost, changesADay)},
		{"changes only: in force, the last", p.at(changesLast, changesADay)},
		{"the same with half of the control machines lost", p.at(changesHalved, changesADay)},
		{"until all whose control machine is lost have their list from another", p.at(changesServed, changesADay)},
		{"whole lists: in force, the last", p.at(wholeLast, changesADay)},
		{"of the time that a control machine sends, changes only", p.at(machineBusy, changesADay)},
		{"of the time that a control machine sends, whole lists", p.at(machineBusyWhole, changesADay)},
		{"a balancer that starts with nothing has its list, the longest", p.at(startLast, changesADay)},
		{"changes only: bytes a second from each control machine", p.at(machineTraffic, changesADay)},
		{"whole lists: bytes a second from each control machine", p.at(wholeTraffic, changesADay)},
		{"bytes of one change", p.at(changeBytes, likelyServers)},
		{"changes only: bytes a second at each balancer", p.at(changeBytes, likelyServers).times(changeRate, inTraffic)},
	}
	lines = append(lines, eachServers("changes only: in force, the last", func(servers float64) figure { return p.at(changesLastList, servers) })...)
	lines = append(lines, eachServers("whole lists: in force, the last", func(servers float64) figure { return p.at(wholeLastList, servers) })...)
	lines = append(lines, eachServers("bytes of a whole list", func(servers float64) figure { return p.at(listBytes, servers) })...)
	lines = append(lines, eachServers("whole lists at each change: bytes a second at each balancer", func(servers float64) figure {
		return p.at(listBytes, servers).times(changeRate, inTraffic)
	})...)
	lines = append(lines, eachServers("whole lists for those that start with nothing: bytes a second over the fleet", func(servers float64) figure {
		return p.at(listBytes, servers).times(starts, inTraffic)
	})...)
	lines = append(lines, eachServers("processor time of changes at each balancer", func(servers float64) figure {
		return p.at(changeTime, servers).times(changeRate, inCores)
	})...)
	return linesTable(lines...)
}

func (p *page) deliveriesTable() *table {
	one := p.at(realDeliveryTime, heldConnections)
	lines := []pageLine{
		{"deliveries at each balancer", reckoned(heldDeliveries, inRate)},
		{"processor time of one", one},
		{"processor time of all at each balancer", one.times(heldDeliveries, inCores)},
		{"the same on the ordinary day while a zone is lost", one.times(heldDeliveries*(1+zoneShare/heldConnections), inCores)},
		{"messages a second to the largest topic that would be all deliveries", reckoned(fleetDeliveries/largestTopic, inRate)},
		{"within 210 ms for 99 in 100", unmeasured("delay")},
	}
	lines = append(lines, eachServers("deliveries from each server", func(servers float64) figure {
		return reckoned(fleetDeliveries/servers, inRate)
	})...)
	return linesTable(lines...)
}

func (p *page) apartTable() *table {
	missed := math.Round(missedChanges)
	one := p.at(cutOneByOne, missed)
	return linesTable(
		pageLine{"changes missed", reckoned(missedChanges, inCount)},
		pageLine{"bytes of them, one by one", one},
		pageLine{"bytes of them, as the last word on each server", p.at(cutBytes, missed)},
		pageLine{"bytes of the whole list in their place, 6,400 servers", p.at(listBytes, likelyServers)},
		pageLine{"time for them one by one at control's traffic", one.times(1/controlTraffic, inSeconds)},
		pageLine{"until the last balancer has them, as the last word on each server", p.at(cutInForce, missed)},
		pageLine{"processor time of a balancer that takes them so", p.at(cutTime, missed)},
		pageLine{"processor time of a balancer that takes the whole list, 6,400 servers", p.at(listTime, likelyServers)},
		pageLine{"balancers that start anew in each region meanwhile", reckoned(replacedAnHour/fleetRegions, inCount)},
		pageLine{"members that each region sees as gone", reckoned(fleetBalancers-regionBalancers, inCount)},
		pageLine{"longest that a change can take to be in force everywhere", reckoned(cutSeconds, inSeconds)},
	)
}

// topicTable is how the listeners of the largest topic lie on servers, as more and more balancers hold their part. It ends with
// the sweep: how many servers hold some is bounded by their number, which no form knows.
func (p *page) topicTable() *table {
	t := newTable("balancers", "listeners", "servers that hold some", "share of the topic on the fullest of them", "fullest server over the mean, all connections", "origin")
	found, _ := p.find(topicUneven.name)
	if found == nil {
		return t
	}
	for _, point := range found.Points {
		servers, fullest, uneven := p.at(topicServers, point.Size), p.at(topicFullest, point.Size), p.at(topicUneven, point.Size)
		t.row(digits(point.Size), digits(point.Size*math.Round(heldListeners)), servers.String(), fullest.String(), uneven.String(), uneven.Origin())
	}
	return t
}

// topicFillsTable is what the largest topic is to one server.
func topicFillsTable() *table {
	t := newTable("servers", "connections a server", "servers that the topic fills", "one home would bear, of what a server has on average", "origin")
	for _, servers := range pageServers {
		filled := topicFills(servers)
		t.row(digits(servers), digits(fleetConnections/servers), filled.String(), filled.String()+" times", filled.Origin())
	}
	return t
}
