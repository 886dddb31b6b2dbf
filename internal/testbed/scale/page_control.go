package scale

import "math"

// ordinaryDay is the situation of an ordinary day.
func ordinaryDay(servers float64) situation { return situations(servers)[situationOrdinaryDay] }

// connectionMemory is the memory of the data path for a number of connections.
func (p *page) connectionMemory(connections float64) figure {
	return p.valueAt(realConnectionMemory, connections)
}

// groupMemory is the memory of the tallies for a balancer's groups and connections.
func (p *page) groupMemory() figure { return p.decisionMemory(connectionsPerBalancer) }

// controlProcessor is the processor time of all parts of control.
func (p *page) controlProcessor(s situation, servers float64) figure {
	return p.sumControlParts(controlParts, s, servers, processorOf, inCores)
}

// controlTrafficOf is the larger of the traffic that all parts of control send and of what they receive.
func (p *page) controlTrafficOf(s situation, servers float64) figure {
	sent := p.sumControlParts(controlParts, s, servers, bytesOutOf, inTraffic)
	received := p.sumControlParts(controlParts, s, servers, bytesInOf, inTraffic)
	if received.value > sent.value {
		return received
	}
	return sent
}

// controlMemory is the memory of all parts of control in an idle balancer.
func (p *page) controlMemory(servers float64) figure {
	return p.sumControlParts(controlParts, situations(servers)[situationIdle], servers, memoryOf, inBytes)
}

// standaloneProcessor is the processor time of control in a balancer without peers and without health checks.
func (p *page) standaloneProcessor(s situation, servers float64) figure {
	return p.sumControlParts(controlParts[:standaloneParts], s, servers, processorOf, inCores)
}

// standaloneMemory is the memory of control in an idle balancer without peers and without health checks.
func (p *page) standaloneMemory(servers float64) figure {
	return p.sumControlParts(controlParts[:standaloneParts], situations(servers)[situationIdle], servers, memoryOf, inBytes)
}

// sumControlParts adds a quantity over parts of control. The sum records the parts that it omits for lack of a figure.
func (p *page) sumControlParts(parts []part, s situation, servers float64, quantity func(load) figure, in unit) figure {
	sum := calculated(0, in)
	for _, part := range parts {
		sum = sum.plusIfKnown(part.name, quantity(part.load(p, s, servers)))
	}
	if len(sum.omitted) == len(parts) {
		return unmeasured("control")
	}
	return sum
}

// replacementProcessor is the processor time of decisions for the clients of replaced and failed balancers.
func (p *page) replacementProcessor(servers float64) figure {
	failed := failuresPerDay * connectionsPerBalancer / daySeconds / fleetBalancers
	return p.placementProcessor(connectionsPerBalancer, servers).times(replacementPlacementRate+failed, inCores)
}

// burstProcessor is the processor time of decisions while a number of additional clients reconnect to a balancer within
// reconnectSeconds.
func (p *page) burstProcessor(connections, servers float64) figure {
	return p.placementProcessor(connectionsPerBalancer+connections, servers).times(connections/reconnectSeconds, inCores)
}

// sizesTable is the cost of control for a balancer on an ordinary day, by part and number of servers.
func (p *page) sizesTable() *table {
	t := newTable("part", "servers", "processor time", "memory", "bytes in, out", "origin", "slopes")
	for _, part := range controlParts {
		for _, servers := range serverCounts {
			l := part.load(p, ordinaryDay(servers), servers)
			combined := l.processor.plus(l.memory, l.bytesIn, l.bytesOut) // only its series are shown, as the units differ
			t.addRow(part.name, digits(servers), l.processor.String(), l.memory.String(), pair(l.bytesIn, l.bytesOut), l.origins(),
				combined.SeriesNames())
		}
	}
	return t
}

// partRequirements are the requirements on control that a part exceeds by itself.
func (p *page) partRequirements() (list []requirement) {
	for _, controlPart := range controlParts {
		variants := func(quantity func(load) figure) []variant {
			return forEachServerCount(func(servers float64) figure { return quantity(controlPart.load(p, ordinaryDay(servers), servers)) })
		}
		requirements := []requirement{
			{quantity: "processor time", bound: calculated(controlCores, inCores), values: variants(processorOf)},
			{quantity: "memory", bound: calculated(controlBytes, inBytes), values: variants(memoryOf)},
			{quantity: "traffic", bound: calculated(controlTraffic, inTraffic), values: variants(bytesOutOf)},
		}
		for _, r := range requirements {
			r.quantity, r.mechanism, r.dependents = "control, "+controlPart.name+" alone: "+r.quantity, controlPart.mechanism,
				controlPart.dependents
			r.proposal = controlPart.proposal
			if ratio, ok := r.ratio(); ok && ratio > 1 {
				list = append(list, r)
			}
		}
	}
	return list
}

// zonedTable is the cost of gossip in groups of a zone or a region, which is not implemented.
func (p *page) zonedTable() *table {
	t := newTable("members of a group", "sent by a member", "of the limit of control traffic", "have a record within 5 s", "origin")
	for _, members := range []float64{zoneBalancers, math.Floor(regionBalancers)} {
		sent, reach := p.valueAt(zonedTraffic, members), p.valueAt(zonedReachedShare, members)
		share := sent.times(1/controlTraffic, inShare)
		t.addRow(digits(members), sent.String(), share.String(), reach.String(), sent.Origin())
	}
	return t
}
