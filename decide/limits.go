package decide

import "time"

// Limits on the number of flows, for each server and over all servers.

const (
	reducedLimitShare      = 0.7                    // limit of an overloaded server, as a share of the flows that it has
	limitReductionInterval = 900 * time.Millisecond // minimum time between reductions
	limitRecoveryTime      = 20 * time.Second       // in which a limit grows, quadratically, by flowLimit.growth

	// overloadScale and overloadOffset interpolate the reduction of the limit on all flows: none if
	// 1/scarceCapacityDivisor of the observed servers are overloaded, and down to reducedLimitShare if all are.
	overloadScale  = 1.25
	overloadOffset = 0.25
)

// flowLimit limits the number of flows to a share of those held when overload was last observed. The limit then grows
// with the square of the time since.
type flowLimit struct {
	flows     float64       // the limit at the last reduction
	growth    float64       // by which the limit grows in limitRecoveryTime: the limit at the first reduction of a series
	reducedAt time.Duration // 0: no limit
}

// reduce sets the limit to the given number of flows, unless it was reduced within limitReductionInterval.
func (l *flowLimit) reduce(flows float64, now time.Duration) {
	if l.reducedAt != 0 && now-l.reducedAt <= limitReductionInterval {
		return
	}
	if l.reducedAt == 0 || now-l.reducedAt > limitRecoveryTime {
		l.growth = flows
	}
	l.flows = flows
	l.reducedAt = max(now, 1) // 0 means that there is no limit
}

// hasCapacity reports whether the limit allows one more flow than those open. The limit grows by at least minGrowth in
// limitRecoveryTime.
func (l *flowLimit) hasCapacity(open int, minGrowth float64, now time.Duration) bool {
	t := (now - l.reducedAt).Seconds() / limitRecoveryTime.Seconds()
	return l.reducedAt == 0 || float64(open+1) <= l.flows+max(l.growth, minGrowth, 1)*t*t
}

// reduceLimit reduces the limit of an overloaded server, as flows dropped by that server would overload the next one.
// While capacity is scarce, reduceLimit also reduces the limit on all flows of this balancer, by more the more servers are
// overloaded.
func (b *Balancer) reduceLimit(server *serverState) {
	server.limit.reduce(reducedLimitShare*float64(server.openFlows), b.now)
	overview := b.fleetOverview()
	if !b.isCapacityScarce() {
		return
	}
	excess := max(0, overloadScale*overview.overloaded/overview.observed-overloadOffset)
	b.health.flowLimit.reduce((1-(1-reducedLimitShare)*excess)*float64(len(b.flows.established)), b.now)
}

// hasCapacity reports whether the server may take one more flow. The limit on all flows applies only if the server is
// warm and holds no flow of the same group yet, as the first flow of a group costs a server extra work. A load report
// below lightLoad overrides the server's own limit, which was inferred from latencies and failures. Such a report
// overrides the limit on all flows only if the mean load is below lightLoad too.
func (b *Balancer) hasCapacity(f *flow, server *serverState, view placementView) bool {
	load, isReported := b.reportedLoad(server)
	isLight := isReported && load < lightLoad
	held := len(b.flows.established)
	fleetAllows := isLight && view.meanLoad < lightLoad || b.health.flowLimit.hasCapacity(held, 1, b.now)
	meanFlows := float64(held) / float64(len(b.list.ready)+1)
	serverAllows := isLight || server.limit.hasCapacity(server.openFlows, meanFlows, b.now)
	return serverAllows && (fleetAllows || view.groupFlows(server, f.group) > 0 || b.capacityShare(server) < 1)
}
