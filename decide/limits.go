package decide

import "time"

// How many flows may be held, by a server and over all servers.

const (
	limitReduction         = 0.7                    // share of its flows that an overloaded server keeps
	limitReductionInterval = 900 * time.Millisecond // reductions within it count as one
	limitRecoveryTime      = 20 * time.Second       // in which the target is added, slowly at first

	// The limit on all flows reduces them by nothing where one server in scarceFraction is overloaded, and to
	// limitReduction where all are.
	overloadScale  = 1.25
	overloadOffset = 0.25
)

// flowLimit bounds how many flows may be held: a part of those held at the last sign of overload, which grows again
// with the square of the time since.
type flowLimit struct {
	flows     float64       // at the last reduction
	target    float64       // at the first reduction of a series
	reducedAt time.Duration // 0: no limit
}

// reduce lowers the limit to so many flows.
func (l *flowLimit) reduce(flows float64, now time.Duration) {
	if l.reducedAt != 0 && now-l.reducedAt <= limitReductionInterval {
		return
	}
	if l.reducedAt == 0 || now-l.reducedAt > limitRecoveryTime {
		l.target = flows
	}
	l.flows = flows
	l.reducedAt = max(now, 1)
}

// hasCapacity reports whether the limit allows one more flow than those open. It recovers by minGrowth at the least.
func (l *flowLimit) hasCapacity(open int, minGrowth float64, now time.Duration) bool {
	t := (now - l.reducedAt).Seconds() / limitRecoveryTime.Seconds()
	return l.reducedAt == 0 || float64(open+1) <= l.flows+max(l.target, minGrowth, 1)*t*t
}

// reduceLimit limits an overloaded server, as the flows that it drops would overload the next one. While capacity is
// scarce all flows of this balancer are limited too, by the share of overloaded servers.
func (b *Balancer) reduceLimit(server *serverState) {
	server.limit.reduce(limitReduction*float64(server.openFlows), b.now)
	overview := b.fleetOverview()
	if !b.isCapacityScarce() {
		return
	}
	excess := max(0, overloadScale*overview.overloaded/overview.observed-overloadOffset)
	b.health.flowLimit.reduce((1-(1-limitReduction)*excess)*float64(len(b.flows.established)), b.now)
}

// hasCapacity reports whether the server may take one more flow. The limit on all flows binds those that would open a
// group on a warm server, which costs it extra work. A low load report overrides limits that were inferred from
// latency, except in a fleet without spare capacity.
func (b *Balancer) hasCapacity(f *flow, server *serverState, view placementView) bool {
	load, isReported := b.reportedLoad(server)
	isLight := isReported && load < lightLoad
	held := len(b.flows.established)
	fleetAllows := isLight && view.meanLoad < lightLoad || b.health.flowLimit.hasCapacity(held, 1, b.now)
	meanFlows := float64(held) / float64(len(b.list.ready)+1)
	serverAllows := isLight || server.limit.hasCapacity(server.openFlows, meanFlows, b.now)
	return serverAllows && (fleetAllows || view.groupFlows(server, f.group) > 0 || b.capacityShare(server) < 1)
}
