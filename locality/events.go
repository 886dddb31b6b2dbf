package locality

import (
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// OnEndpoint handles one entry of an update of the endpoint list.
func (p *Policy) OnEndpoint(endpoint decide.Endpoint) {
	s := p.servers[endpoint.ID]
	if s == nil {
		s = &server{id: endpoint.ID, locality: p.locality(endpoint.Zone), readiness: decide.Gone}
		p.servers[endpoint.ID] = s
		s.locality.servers[endpoint.ID] = s
	}
	entryHasZone := endpoint.Zone != "" || endpoint.Readiness != decide.Gone // the entry of a gone server may lack it
	if endpoint.Zone != s.locality.name && entryHasZone {
		p.relocate(s, endpoint.Zone)
	}
	s.size = endpoint.Size
	if s.size <= 0 {
		s.size = 1
	}
	s.readiness = endpoint.Readiness
	s.startedAt = endpoint.StartedAt
}

// relocate moves a server and its flows to another locality.
func (p *Policy) relocate(s *server, zone decide.Zone) {
	from, to := s.locality, p.locality(zone)
	delete(from.servers, s.id)
	for _, f := range p.flows {
		if f.server == s {
			from.ownFlows--
			to.ownFlows++
		}
	}
	s.locality = to
	to.servers[s.id] = s
}

// OnEndpointsUpdated handles the end of an update. A locality becomes unavailable when the list no longer names a ready
// server of the locality. It begins to recover when the list names one again, if it became unavailable for that reason,
// and in any case when most of its ready servers have restarted since it became unavailable. An update without entries
// of a locality leaves its state as it is.
func (p *Policy) OnEndpointsUpdated() {
	p.hasList = true
	for _, l := range p.ordered {
		restarted := l.countServers()
		if to, why := l.stateByList(restarted); to != l.state {
			p.transition(l, to, why)
		}
		l.wasListed = l.wasListed || l.ready > 0
	}
	if current, ok := p.currentPerSize(); ok && p.usualPerSize == 0 {
		p.usualPerSize = current // initial estimate, from the flows that are established at the start
		if current > 0 {
			p.learnedFor = learningTime
		}
	}
}

// countServers counts the ready servers, and returns how many of them started after the last change of state.
func (l *locality) countServers() (restarted int) {
	l.ready = 0
	l.size = 0
	for _, s := range l.servers {
		if s.readiness != decide.Ready {
			continue
		}
		l.ready++
		l.size += s.size
		if s.startedAt != decide.LongAgo && s.startedAt > l.since {
			restarted++
		}
	}
	return restarted
}

// stateByList returns the state that the endpoint list implies, and why.
func (l *locality) stateByList(restarted int) (State, constraints.Reason) {
	switch {
	case l.ready == 0 && l.wasListed:
		return Unavailable, reasonUnlisted
	case l.state == Unavailable && l.ready > 0 && l.why == reasonUnlisted:
		return Recovering, reasonRelisted
	case l.state == Unavailable && 2*restarted > l.ready:
		return Recovering, reasonRestarted
	default:
		return l.state, l.why
	}
}

// OnFlow handles a new flow.
func (p *Policy) OnFlow(request decide.FlowRequest) {
	p.flows[request.ID] = &flow{group: request.Group}
}

// OnAttempt handles an attempt that was sent to a server.
func (p *Policy) OnAttempt(id decide.FlowID, target decide.ServerID) {
	f, s := p.flows[id], p.servers[target]
	if f == nil || s == nil {
		return
	}
	f.server = s
	l := s.locality
	l.ownFlows++
	switch l.state {
	case Unavailable:
		l.probe = id
		l.probeSentAt = p.now
	case Recovering:
		l.admitted++
	}
}

// OnEstablished handles an attempt that was established; took is its set-up time.
func (p *Policy) OnEstablished(id decide.FlowID, target decide.ServerID, took time.Duration) {
	f := p.flows[id]
	if f == nil || f.server == nil {
		return
	}
	f.isEstablished = true
	f.establishedAt = p.now
	if took < 0 { // constraints.AdoptedFlow: flows that were established before the start count as usual
		if current, ok := p.currentPerSize(); ok {
			p.usualPerSize = max(p.usualPerSize, current)
			p.learnedFor = learningTime
		}
		return
	}
	l := f.server.locality
	p.addSample(l, sample{at: p.now, server: target, isReached: true, took: took})
	if l.state == Unavailable {
		p.transition(l, Recovering, reasonProbeEstablished)
		l.admitted = 1 // the probe
	}
}

// OnEnded handles the end of an attempt, or of a connection that was established.
func (p *Policy) OnEnded(id decide.FlowID, target decide.ServerID, outcome decide.Outcome, wasEstablished bool) {
	f := p.flows[id]
	if f == nil || f.server == nil {
		return
	}
	l := f.server.locality
	l.ownFlows--
	f.server = nil
	f.isEstablished = false
	isFailure := isLocalityFailure(outcome, wasEstablished)
	if l.probe == id && l.state == Unavailable {
		p.endProbe(l, outcome, isFailure)
	}
	switch {
	case isFailure:
		p.addSample(l, sample{at: p.now, server: target, isAmbiguous: outcome == decide.TimedOut})
	case !wasEstablished && (outcome == decide.Full || outcome == decide.Error):
		p.addSample(l, sample{at: p.now, server: target, isReached: true})
	}
}

// isLocalityFailure reports whether an attempt or a connection may have ended because its locality is unavailable.
func isLocalityFailure(outcome decide.Outcome, wasEstablished bool) bool {
	return outcome == decide.Unreachable || outcome == decide.Reset || outcome == decide.TimedOut && !wasEstablished
}

// OnFlowRemoved handles the end of a flow.
func (p *Policy) OnFlowRemoved(id decide.FlowID) {
	if f := p.flows[id]; f != nil && f.server != nil {
		f.server.locality.ownFlows--
	}
	delete(p.flows, id)
}

// OnLatencySample handles a sample of the message latency at a server.
func (p *Policy) OnLatencySample(target decide.ServerID, latency time.Duration) {
	if s := p.servers[target]; s != nil && latency > p.config.MessageTarget {
		s.lateAt = max(p.now, 1)
	}
}

// OnMigration handles a migration. It takes a failback token if the flow is not in the nearest tier.
func (p *Policy) OnMigration(id decide.FlowID) {
	if p.isSpilled(p.flows[id]) && p.failbackTokens >= 1 {
		p.failbackTokens--
		p.failbacks++
	}
}
