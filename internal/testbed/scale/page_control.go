package scale

import "math"

// ordinaryDay is the situation of that name.
func ordinaryDay(servers float64) situation { return situations(servers)[onOrdinaryDay] }

// heldMemory is the memory of the data path for connections held.
func (p *page) heldMemory(held float64) figure { return p.at(realHeldMemory, held) }

// groupMemory is the memory of tallies for the groups that a balancer sees, with those of its connections.
func (p *page) groupMemory() figure { return p.decisionMemory(heldConnections) }

// controlProcessor is the processor time of all parts of control.
func (p *page) controlProcessor(s situation, servers float64) figure {
	return p.sumOfControl(controlParts, s, servers, func(l load) figure { return l.processor }, inCores)
}

// controlTrafficOf is what all parts of control send.
func (p *page) controlTrafficOf(s situation, servers float64) figure {
	sent := p.sumOfControl(controlParts, s, servers, func(l load) figure { return l.bytesOut }, inTraffic)
	heard := p.sumOfControl(controlParts, s, servers, func(l load) figure { return l.bytesIn }, inTraffic)
	if heard.value > sent.value {
		return heard
	}
	return sent
}

// controlMemory is the memory of all parts of control at rest.
func (p *page) controlMemory(servers float64) figure {
	return p.sumOfControl(controlParts, situations(servers)[atRest], servers, func(l load) figure { return l.memory }, inBytes)
}

// aloneProcessor and aloneMemory are those of a balancer that has no peers and asks servers for no load.
func (p *page) aloneProcessor(s situation, servers float64) figure {
	return p.sumOfControl(controlParts[:aloneParts], s, servers, func(l load) figure { return l.processor }, inCores)
}

func (p *page) aloneMemory(servers float64) figure {
	return p.sumOfControl(controlParts[:aloneParts], situations(servers)[atRest], servers, func(l load) figure { return l.memory }, inBytes)
}

// sumOfControl adds a quantity over the parts of control, and notes the parts of which nothing was measured.
func (p *page) sumOfControl(parts []part, s situation, servers float64, of func(load) figure, in unit) figure {
	sum := reckoned(0, in)
	for _, part := range parts {
		sum = sum.plusKnown(part.name, of(part.load(p, s, servers)))
	}
	if len(sum.without) == len(parts) {
		return unmeasured("control")
	}
	return sum
}

// replacementProcessor is the processor time of decisions for the clients of replaced and failed balancers.
func (p *page) replacementProcessor(servers float64) figure {
	failed := failedADay * heldConnections / daySeconds / fleetBalancers
	return p.placementTime(heldConnections, servers).times(replacedPlacements+failed, inCores)
}

// burstProcessor is the processor time of decisions while so many connections come back.
func (p *page) burstProcessor(connections, servers float64) figure {
	return p.placementTime(heldConnections+connections, servers).times(connections/reconnectSeconds, inCores)
}

// sizesTable is what control costs a balancer on the ordinary day, by part and size of the list.
func (p *page) sizesTable() *table {
	t := newTable("part", "servers", "processor time", "memory", "bytes in, out", "origin", "slopes")
	for _, part := range controlParts {
		for _, servers := range pageServers {
			l := part.load(p, ordinaryDay(servers), servers)
			all := l.processor.plus(l.memory, l.bytesIn, l.bytesOut)
			t.row(part.name, digits(servers), l.processor.String(), l.memory.String(), pair(l.bytesIn, l.bytesOut), l.origins(), all.Slopes())
		}
	}
	return t
}

// partLimits are control's limits for each part alone, as far as one is over: what the list of the missing needs.
func (p *page) partLimits() (list []limit) {
	for _, part := range controlParts {
		of := func(quantity func(load) figure) []variant {
			return byServersOf(func(servers float64) figure { return quantity(part.load(p, ordinaryDay(servers), servers)) })
		}
		alone := []limit{
			{name: "processor time", allowed: reckoned(controlCores, inCores), worked: of(func(l load) figure { return l.processor })},
			{name: "memory", allowed: reckoned(controlBytes, inBytes), worked: of(func(l load) figure { return l.memory })},
			{name: "traffic", allowed: reckoned(controlTraffic, inTraffic), worked: of(func(l load) figure { return l.bytesOut })},
		}
		for _, l := range alone {
			l.name, l.mechanism, l.rests = "of control, "+part.name+" alone: "+l.name, part.carried, part.rests
			l.wants = part.wants
			if ratio, ok := l.ratio(); ok && ratio > 1 {
				list = append(list, l)
			}
		}
	}
	return list
}

// zonedTable is what gossip in groups of a zone or a region would cost, which is not built.
func (p *page) zonedTable() *table {
	t := newTable("members of a group", "sent by a member", "of control's traffic", "have a record within 5 s", "origin")
	for _, members := range []float64{zoneBalancers, math.Floor(regionBalancers)} {
		sent, reach := p.at(zonedTraffic, members), p.at(zonedReach, members)
		part := sent.times(1/controlTraffic, inShare)
		t.row(digits(members), sent.String(), part.String(), reach.String(), sent.Origin())
	}
	return t
}
