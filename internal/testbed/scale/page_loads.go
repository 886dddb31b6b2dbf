package scale

import "math"

const (
	heartbeatRate = 0.5      // a second; internal/protocol heartbeat
	sweepHeld     = 20_000.0 // connections that the sweeps over servers hold
)

func listLoad(p *page, s situation, servers float64) load {
	l := noLoad()
	l.messagesIn = reckoned(s.changes+s.wholeLists+heartbeatRate, inRate)
	l.bytesIn = p.listTraffic(s, servers)
	l.processor = p.at(changeTime, servers).times(s.changes, inCores).
		plus(p.at(listTime, servers).times(s.wholeLists, inCores))
	l.memory = p.at(listMemory, servers)
	return l
}

func (p *page) listTraffic(s situation, servers float64) figure {
	changes := p.at(changeBytes, servers).times(s.changes, inTraffic)
	whole := p.at(listBytes, servers).times(s.wholeLists, inTraffic)
	return changes.plus(whole)
}

func decisionLoad(p *page, s situation, servers float64) load {
	l := noLoad()
	placed := p.placementTime(s.held, servers).times(s.placements, inCores)
	l.processor = placed.plus(p.unevenTime(s.held, servers))
	l.memory = p.decisionMemory(s.held)
	return l
}

// decisionMemory is what the decisions have beside the list, for the groups that a balancer sees; it goes with the
// connections held.
func (p *page) decisionMemory(held float64) figure {
	list := p.at(decidedList, smallestServers)
	flows := p.at(decidedGroups, math.Round(groupsSeen())).plus(list.times(-1, inBytes))
	return flows.times(held/heldConnections, inBytes)
}

// placementTime is the processor time of one flow placed and ended: by servers, corrected by what the connections held
// change.
func (p *page) placementTime(held, servers float64) figure {
	more := p.at(placementTimeHeld, held).over(p.at(placementTimeHeld, sweepHeld), inCount)
	return p.at(placementTime, servers).scaled(more)
}

// restTime is the processor time a second that flows cost which only stand, evenly: no recheck of them can win.
func (p *page) restTime(held, servers float64) figure {
	more := p.at(restTimeHeld, held).over(p.at(restTimeHeld, sweepHeld), inCount)
	return p.at(restTime, servers).scaled(more)
}

// unevenTime is the same where connections stand anywhere, so that rechecks are made, as many as a tick may have. It is what
// a real process comes to whose connections stand where decisions placed them.
func (p *page) unevenTime(held, servers float64) figure {
	more := p.at(unevenTimeHeld, held).over(p.at(unevenTimeHeld, sweepHeld), inCount)
	return p.at(unevenTime, servers).scaled(more)
}

// probeLoad is with leases: those who hold a server's lease at a time, as they see it, ask it once a round.
func probeLoad(p *page, s situation, servers float64) load {
	l := noLoad()
	rate := p.at(leaseHolders, s.members).times(servers/probeRound/s.members, inRate)
	l.messagesOut, l.messagesIn = rate, rate
	l.bytesOut = rate.times(probeBytes/2, inTraffic)
	l.bytesIn = l.bytesOut
	l.processor, l.memory = unmeasured("probes"), unmeasured("probes")
	return l
}

// signalLoad is without the datagrams that records travel in, which are the engine's.
func signalLoad(p *page, s situation, _ float64) load {
	l := noLoad()
	l.messagesIn = p.at(signalMessages, s.members)
	l.bytesOut = p.at(signalTraffic, s.members)
	l.bytesIn = l.bytesOut
	heard := p.at(signalHear, s.members).scaled(l.messagesIn).times(1, inCores)
	l.processor = heard.plus(p.at(signalGather, s.members), p.at(signalTell, s.members), p.at(signalHandOn, s.members))
	l.memory = p.at(signalOwn, s.members).plus(p.at(signalHeard, s.members))
	return l
}

func leaseLoad(p *page, s situation, servers float64) load {
	l := noLoad()
	seen := p.at(leaseTime, s.members).over(p.at(leaseTime, fleetBalancers), inCount)
	// The series are for the ordinary day's changes of members; at the most, all is reckoned anew in each round of probes.
	often := min(s.joins, 1/probeRound) / memberChangesAtRest
	l.processor = p.at(leaseTimeServers, servers).scaled(seen).times(often, inCores).plus(p.at(leaseView, s.members))
	l.memory = p.at(leaseMemory, s.members)
	return l
}

func engineLoad(p *page, s situation, _ float64) load {
	l := unknownLoad()
	l.messagesOut = p.at(engineMessages, s.members)
	l.messagesIn = l.messagesOut
	l.bytesOut = p.at(probeTraffic, s.members).plus(p.at(exchangeTraffic, s.members))
	l.bytesIn = l.bytesOut
	l.processor = p.at(exchangeTime, s.members).plus(p.at(frameTime, s.members))
	l.memory = p.at(engineMemory, s.members)
	return l
}

func dataPathLoad(p *page, s situation, _ float64) load {
	l := noLoad()
	l.messagesIn, l.messagesOut = reckoned(s.deliveries, inRate), reckoned(s.deliveries, inRate)
	l.bytesIn = reckoned(s.deliveries*lineBytes, inTraffic)
	l.bytesOut = l.bytesIn
	l.processor = p.at(realDeliveryTime, s.held).times(s.deliveries, inCores).
		plus(p.at(realPlacementsTime, likelyServers).times(s.placements, inCores))
	l.memory = p.heldMemory(s.held)
	return l
}

// controlMachineLoad is one of the machines that tell the balancers of changes, with all balancers split evenly.
func controlMachineLoad(p *page, s situation, servers float64) load {
	l := unknownLoad()
	each := fleetBalancers / s.machines
	starts := replacedADay / daySeconds / s.machines
	whole := p.at(listBytes, servers)
	l.messagesIn = reckoned(s.changes, inRate)
	l.messagesOut = reckoned(each*s.changes+starts, inRate)
	l.bytesIn = p.at(changeBytes, servers).times(s.changes, inTraffic)
	l.bytesOut = p.at(changeBytes, servers).times(each*s.changes, inTraffic).plus(whole.times(starts, inTraffic))
	return l
}

func agentLoad(p *page, s situation, servers float64) load {
	l := unknownLoad()
	l.messagesIn = reckoned(s.changes, inRate)
	l.messagesOut = reckoned(s.changes+s.wholeLists+heartbeatRate, inRate)
	l.bytesOut = p.listTraffic(s, servers)
	l.bytesIn = l.bytesOut
	return l
}

// serverLoad is what one server hears of probes, and what it delivers.
func serverLoad(p *page, s situation, servers float64) load {
	l := unknownLoad()
	probes := p.at(leaseHolders, s.members).times(fleetBalancers/s.members/probeRound, inRate)
	deliveries := s.deliveries * fleetBalancers / servers
	if s.deliveries > 0 {
		deliveries = fleetDeliveries / servers
	}
	l.messagesIn = probes
	l.messagesOut = probes.plus(reckoned(deliveries, inRate))
	l.bytesIn = probes.times(probeBytes/2, inTraffic)
	l.bytesOut = l.bytesIn.plus(reckoned(deliveries*lineBytes, inTraffic))
	return l
}

func toolsLoad(_ *page, _ situation, _ float64) load { return unknownLoad() }
