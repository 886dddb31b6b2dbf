package scale

import "math"

const (
	heartbeatRate    = 0.5      // per second; the inverse of internal/protocol heartbeatInterval
	sweepConnections = 20_000.0 // held in the sweeps over servers
)

func listLoad(p *page, s situation, servers float64) load {
	l := zeroLoad()
	l.messagesIn = calculated(s.changes+s.fullLists+heartbeatRate, inRate)
	l.bytesIn = p.listTraffic(s, servers)
	l.processor = p.valueAt(changeTime, servers).times(s.changes, inCores).
		plus(p.valueAt(listTime, servers).times(s.fullLists, inCores))
	l.memory = p.valueAt(listMemory, servers)
	return l
}

func (p *page) listTraffic(s situation, servers float64) figure {
	changes := p.valueAt(changeBytes, servers).times(s.changes, inTraffic)
	fullLists := p.valueAt(listBytes, servers).times(s.fullLists, inTraffic)
	return changes.plus(fullLists)
}

func decisionLoad(p *page, s situation, servers float64) load {
	l := zeroLoad()
	placement := p.placementProcessor(s.connections, servers).times(s.placements, inCores)
	l.processor = placement.plus(p.unevenRecheckProcessor(s.connections, servers))
	l.memory = p.decisionMemory(s.connections)
	return l
}

// decisionMemory is the memory of the decisions without the list. It is calculated for the groups of a balancer of the
// planned fleet, from a series that includes a list of fewestServers, and scaled in proportion to the connections.
func (p *page) decisionMemory(connections float64) figure {
	list := p.valueAt(decisionListMemory, fewestServers)
	withoutList := p.valueAt(decisionGroupMemory, math.Round(groupsPerBalancer())).plus(list.times(-1, inBytes))
	return withoutList.times(connections/connectionsPerBalancer, inBytes)
}

// placementProcessor is the processor time of placing and ending one flow.
func (p *page) placementProcessor(connections, servers float64) figure {
	return p.valueWithConnections(placementTime, servers, placementTimeByConnections, connections)
}

// valueWithConnections is the value of a series over servers, which was measured at sweepConnections, multiplied by the
// ratio of a series over connections at the given number of connections to the same series at sweepConnections.
func (p *page) valueWithConnections(byServers seriesName, servers float64, byConnections seriesName, connections float64) figure {
	correction := p.valueAt(byConnections, connections).dividedBy(p.valueAt(byConnections, sweepConnections), inCount)
	return p.valueAt(byServers, servers).multipliedBy(correction)
}

// idleRecheckProcessor is the processor time of rechecks per second for evenly spread flows, whose rechecks are all
// skipped.
func (p *page) idleRecheckProcessor(connections, servers float64) figure {
	return p.valueWithConnections(idleRecheckTime, servers, idleRecheckTimeByConnections, connections)
}

// unevenRecheckProcessor is the processor time of rechecks per second for flows on random servers, with as many rechecks
// as a tick allows. It stands for a real process, whose connections are on the servers that the decisions chose and not
// evenly spread.
func (p *page) unevenRecheckProcessor(connections, servers float64) figure {
	return p.valueWithConnections(unevenRecheckTime, servers, unevenRecheckTimeByConnections, connections)
}

// healthCheckLoad is the load of health checks with leases: each holder of a server's lease checks the server once a round.
func healthCheckLoad(p *page, s situation, servers float64) load {
	l := zeroLoad()
	rate := p.valueAt(leaseHolders, s.members).times(servers/healthCheckRound/s.members, inRate)
	l.messagesOut, l.messagesIn = rate, rate
	l.bytesOut = rate.times(healthCheckBytes/2, inTraffic)
	l.bytesIn = l.bytesOut
	l.processor, l.memory = unmeasured("health checks"), unmeasured("health checks")
	return l
}

// signalLoad counts received records as messages; engineLoad counts the datagrams that carry them.
func signalLoad(p *page, s situation, _ float64) load {
	l := zeroLoad()
	l.messagesIn = p.valueAt(signalRecords, s.members)
	l.bytesOut = p.valueAt(signalTraffic, s.members)
	l.bytesIn = l.bytesOut
	receiving := p.valueAt(signalReceiveTime, s.members).multipliedBy(l.messagesIn).times(1, inCores)
	l.processor = receiving.plus(
		p.valueAt(signalAggregateTime, s.members),
		p.valueAt(signalPublishTime, s.members),
		p.valueAt(signalExchangeTime, s.members),
	)
	l.memory = p.valueAt(signalOwnMemory, s.members).plus(p.valueAt(signalReceivedMemory, s.members))
	return l
}

func leaseLoad(p *page, s situation, servers float64) load {
	l := zeroLoad()
	fleetFactor := p.valueAt(leaseScoringTime, s.members).dividedBy(p.valueAt(leaseScoringTime, fleetBalancers), inCount)
	// The series assume the rate of membership changes of an ordinary day. At most, all scores are calculated again in
	// each round of health checks.
	changeRatio := min(s.membershipChanges, 1/healthCheckRound) / ordinaryMembershipChangeRate
	scoring := p.valueAt(leaseScoringTimeByServers, servers).multipliedBy(fleetFactor).times(changeRatio, inCores)
	l.processor = scoring.plus(p.valueAt(leaseMembershipTime, s.members))
	l.memory = p.valueAt(leaseMemory, s.members)
	return l
}

func engineLoad(p *page, s situation, _ float64) load {
	l := unknownLoad()
	l.messagesOut = p.valueAt(engineMessages, s.members)
	l.messagesIn = l.messagesOut
	l.bytesOut = p.valueAt(probeTraffic, s.members).plus(p.valueAt(exchangeTraffic, s.members))
	l.bytesIn = l.bytesOut
	l.processor = p.valueAt(exchangeTime, s.members).plus(p.valueAt(frameTime, s.members))
	l.memory = p.valueAt(engineMemory, s.members)
	return l
}

func dataPathLoad(p *page, s situation, _ float64) load {
	l := zeroLoad()
	l.messagesIn, l.messagesOut = calculated(s.deliveries, inRate), calculated(s.deliveries, inRate)
	l.bytesIn = calculated(s.deliveries*lineBytes, inTraffic)
	l.bytesOut = l.bytesIn
	l.processor = p.valueAt(realDeliveryTime, s.connections).times(s.deliveries, inCores).
		plus(p.valueAt(realPlacementTime, likelyServers).times(s.placements, inCores))
	l.memory = p.connectionMemory(s.connections)
	return l
}

// controlMachineLoad is the load of one of the machines that publish changes, among which the balancers are split evenly.
func controlMachineLoad(p *page, s situation, servers float64) load {
	l := unknownLoad()
	balancers := fleetBalancers / s.controlMachines
	startRate := replacementsPerDay / daySeconds / s.controlMachines
	fullList := p.valueAt(listBytes, servers)
	l.messagesIn = calculated(s.changes, inRate)
	l.messagesOut = calculated(balancers*s.changes+startRate, inRate)
	l.bytesIn = p.valueAt(changeBytes, servers).times(s.changes, inTraffic)
	l.bytesOut = p.valueAt(changeBytes, servers).times(balancers*s.changes, inTraffic).plus(fullList.times(startRate, inTraffic))
	return l
}

func discoveryAgentLoad(p *page, s situation, servers float64) load {
	l := unknownLoad()
	l.messagesIn = calculated(s.changes, inRate)
	l.messagesOut = calculated(s.changes+s.fullLists+heartbeatRate, inRate)
	l.bytesOut = p.listTraffic(s, servers)
	l.bytesIn = l.bytesOut
	return l
}

// serverLoad is the load of health checks and deliveries on one server.
func serverLoad(p *page, s situation, servers float64) load {
	l := unknownLoad()
	checks := p.valueAt(leaseHolders, s.members).times(fleetBalancers/s.members/healthCheckRound, inRate)
	deliveries := s.deliveries * fleetBalancers / servers
	if s.deliveries > 0 {
		deliveries = fleetDeliveryRate / servers
	}
	l.messagesIn = checks
	l.messagesOut = checks.plus(calculated(deliveries, inRate))
	l.bytesIn = checks.times(healthCheckBytes/2, inTraffic)
	l.bytesOut = l.bytesIn.plus(calculated(deliveries*lineBytes, inTraffic))
	return l
}

func toolsLoad(_ *page, _ situation, _ float64) load { return unknownLoad() }
