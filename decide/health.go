package decide

import (
	"math"
	"slices"
	"time"
)

// The health of servers, from outcomes, latencies, health checks and load reports: outlier detection, ejection and
// overload.

const (
	outcomeMaxAge = 10 * time.Second
	latencyMaxAge = 2500 * time.Millisecond // latency samples arrive every second while a server is slow

	serverSampleWindow = 4   // outcomes kept of each server
	outlierSample      = 2   // recent outcomes required to eject a server
	outlierMargin      = 0.5 // by which the failure rate must exceed the fleet's median

	baseEjectionTime      = time.Second
	maxEjectionTime       = 16 * time.Second
	unreachableThreshold  = 2  // consecutive attempts that end as Unreachable, after which a server counts as unreachable
	maxProbationLimit     = 16 // highest probation limit; see serverState.probationLimit
	passedProbationLimit  = 8  // probation limit above which probation ends
	initialProbationLimit = 1  // probation limit right after an ejection

	backlogDrainTime         = 1400 * time.Millisecond // time within which a backlog should be drained
	overloadedLatencyDivisor = 3                       // a latency above objective/3 is overload
	scarceCapacityDivisor    = 5                       // capacity is scarce when 1/5 of the observed servers are overloaded

	loadReportMaxAge   = 3 * recheckInterval
	checksPerConnect   = 4.0 // credit of health checks per attempt
	checksPerRound     = 4   // maximum number of health checks per server in a round of rechecks
	lightLoad          = 0.7 // load, as a share of capacity, up to which a server meets its objectives even if others are less loaded
	fullLoad           = 1.0 // load, as a share of capacity, above which a backlog builds up
	openFlowsAgeFactor = 2   // factor on the age of the last health check of a server with open flows
)

// health holds what is known of the fleet as a whole.
type health struct {
	setupTimes       []time.Duration // of the most recent set-ups at any server
	lastSetupAt      time.Duration   // end of the last one, or outcomeMaxAge later if it timed out; see onSetupFailed
	checksReturnLoad bool            // health checks are answered with load reports
	checkCredit      float64         // health checks that may be sent
	flowLimit        flowLimit       // on all flows

	// Cached figures over all servers; see isCurrent.
	overview          fleetOverview
	medianFailureRate failureRateMedian
	healthy           serverSubset
}

func (h *health) addSetupTime(took, countedAt time.Duration) {
	h.setupTimes = appendWindow(h.setupTimes, took, sampleWindow)
	h.lastSetupAt = countedAt
}

// isUnavailable reports whether the server is in its ejection time, or on probation with its limit reached. It is then used
// only if there is no usable server of a lower rank.
func (b *Balancer) isUnavailable(server *serverState) bool {
	return server.ejected && (b.now < server.ejectedUntil || server.probationFlows >= server.probationLimit)
}

// isUnreachable reports whether the last attempts failed to reach the server.
func (s *serverState) isUnreachable() bool { return s.consecutiveUnreachable >= unreachableThreshold }

// recordOutcome records an outcome at the flow's server. It ejects the server if it is an outlier or fails on
// probation, and raises the probation limit after a success.
func (b *Balancer) recordOutcome(f *flow, failed bool) {
	server := f.server
	if f.incarnation != server.incarnation {
		return
	}
	server.samples = appendWindow(server.samples, sample{b.now, failed}, serverSampleWindow)
	switch {
	case !failed:
		if server.isUnreachable() { // it was down, even if the list does not say so yet, and must warm up
			b.beginSlowStart(server, b.now)
		}
		server.consecutiveUnreachable = 0
		server.probationLimit = min(2*server.probationLimit, maxProbationLimit)
		server.ejected = server.ejected && server.probationLimit <= passedProbationLimit
	case server.ejected && b.now >= server.ejectedUntil:
		b.eject(server)
	case !server.ejected && b.isOutlier(server):
		b.eject(server)
	}
}

// isOutlier reports whether a server is to be ejected: its failure rate exceeds the fleet's median by at least
// outlierMargin, and no more than half of the servers would be ejected then. The rate is compared with the median because a
// failure of all servers has a shared cause, and ejecting some of them would overload the rest.
func (b *Balancer) isOutlier(server *serverState) bool {
	share, n := failureRate(server.samples, b.now-outcomeMaxAge)
	return n >= outlierSample && share >= b.medianFailureRate()+outlierMargin &&
		2*(b.fleetOverview().ejected+1) <= len(b.list.ready)
}

// eject ejects a server, for twice as long as the last time if that ejection was recent.
func (b *Balancer) eject(server *serverState) {
	server.ejectionTime = min(2*server.ejectionTime, maxEjectionTime)
	if server.ejectionTime == 0 || b.now > server.ejectedUntil+outcomeMaxAge {
		server.ejectionTime = baseEjectionTime
	}
	if !server.ejected {
		b.health.overview.ejected++
	}
	server.ejected = true
	server.probationLimit = initialProbationLimit
	server.ejectedUntil = b.now + server.ejectionTime
}

// isCapacityScarce reports whether at least a fifth of the observed servers, plus an allowance for random variation,
// are overloaded.
func (b *Balancer) isCapacityScarce() bool {
	overview := b.fleetOverview()
	scarce := overview.observed / scarceCapacityDivisor
	return overview.overloaded > 0 &&
		overview.overloaded >= scarce+significantDeviations*math.Sqrt(scarce*(1-overview.observed/float64(len(b.list.ready)+1)))
}

// onSetupFailed handles a failed set-up.
func (b *Balancer) onSetupFailed(f *flow, outcome Outcome, took time.Duration) {
	server := f.server
	switch outcome {
	case Unreachable:
		// The attempt failed before the part that all set-ups share, so the server is judged without regard to the others.
		server.consecutiveUnreachable++
		if server.isUnreachable() && !server.ejected {
			b.eject(server)
		}
	case Full:
		b.reduceLimit(server)
	case TimedOut:
		// The set-up counts as recent for longer: after a mass reconnect no new ones follow, but servers stay slow for a while.
		b.health.addSetupTime(took, b.now+outcomeMaxAge)
	}
	b.recordOutcome(f, true)
	b.recordSetup(true)
	if b.sharedFailure() {
		b.decreaseConcurrency()
	}
}

// OnFlowLoad handles a report of a connection's load. The load fluctuates too much to be used in placement, but the
// report shows that the server is alive.
func (b *Balancer) OnFlowLoad(id FlowID) {
	if f := b.flows.byID[id]; f != nil && f.server != nil {
		f.server.consecutiveUnreachable = 0
	}
}

// latencyTrend compares a latency sample of a server with the previous one.
type latencyTrend struct {
	isLate     bool // above the latency objective
	isRepeated bool // the previous sample was above the objective too
	isGrowing  bool
	excess     float64 // share of the server's flows that must migrate for its backlog to stop growing and drain
}

// OnLatencySample handles a sample of the message latency at the flow's server.
func (b *Balancer) OnLatencySample(id FlowID, took time.Duration) {
	f := b.flows.byID[id]
	if f == nil || f.state != established {
		return
	}
	server := f.server
	trend := b.latencyTrend(server, took)
	server.consecutiveUnreachable = 0
	server.latency = took
	server.latencyAt = b.now
	if b.isOverloaded(server) {
		server.overloadedAt = b.now
	}
	// In a fleet within its objective, a single late message may be a short pause of the server. A second one that is no
	// faster, or a first one while capacity is scarce, is overload.
	if trend.isLate && (trend.isGrowing || !trend.isRepeated && b.isCapacityScarce()) {
		b.reduceLimit(server)
	}
	wanted := migration{share: trend.excess}
	if trend.isLate {
		wanted.minSaving = noMinSaving
	}
	// Without spare capacity it is better to serve fewer flows within the objective than all of them late.
	wanted.shed = trend.isLate && trend.isGrowing && b.isCapacityScarce()
	if wanted.shed {
		wanted.share = min(wanted.share, migrationShare)
	}
	if wanted.shed || b.isOverloaded(server) && b.areSetupsFast() {
		b.migrateAway(server, wanted)
	}
}

func (b *Balancer) latencyTrend(server *serverState, took time.Duration) latencyTrend {
	objective := b.list.MessageTarget
	trend := latencyTrend{isLate: took > objective, excess: took.Seconds() / backlogDrainTime.Seconds()}
	trend.isRepeated = server.latency > objective && b.now-server.latencyAt < latencyMaxAge
	if trend.isRepeated {
		trend.isGrowing = took >= server.latency
		trend.excess += (took - server.latency).Seconds() / max(b.now-server.latencyAt, tickInterval).Seconds()
	}
	return trend
}

// isOverloaded reports whether the last latency sample is recent and exceeds a third of the shortest objective. Samples
// are sent while the latency is above that threshold, and once more when the latency falls below the threshold.
func (b *Balancer) isOverloaded(server *serverState) bool {
	return server.latency > 0 && b.now-server.latencyAt < latencyMaxAge &&
		server.latency > b.list.MessageTarget/overloadedLatencyDivisor
}

// OnHealthCheck handles the result of a health check. An ejected server that answers goes on probation.
func (b *Balancer) OnHealthCheck(server ServerID, outcome Outcome) {
	if state := b.list.byID[server]; state != nil && outcome == OK {
		state.consecutiveUnreachable = 0
		state.ejectedUntil = min(state.ejectedUntil, b.now)
	}
}

// OnLoadReport handles a server's report of its load as a share of its capacity; 1 is full utilization. A load that is
// negative, infinite or not a number is ignored, and so is that of a server that no list has named: another balancer may
// know the server earlier.
func (b *Balancer) OnLoadReport(server ServerID, load float64) {
	state := b.list.byID[server]
	if state == nil || !(load >= 0) || math.IsInf(load, 0) {
		return
	}
	state.reportedLoad = load
	state.loadReportedAt = b.now
	if load > fullLoad && b.areSetupsFast() {
		b.migrateAway(state, migration{share: 1 - lightLoad/load})
	}
}

// reportedLoad returns the last load report of a server; ok is false if there is no recent one. The reports of a server
// that is warming up are ignored, as its load near 0 would make it attract flows of all groups.
func (b *Balancer) reportedLoad(server *serverState) (load float64, ok bool) {
	isRecent := server.loadReportedAt > 0 && b.now-server.loadReportedAt < loadReportMaxAge
	return server.reportedLoad, isRecent && b.capacityShare(server) == 1
}

// sendHealthChecks sends health checks as far as the credit allows, which accrues with time, attempts and new servers.
// The credit is capped at what the established flows and this balancer's share of the servers require.
func (b *Balancer) sendHealthChecks() {
	h := &b.health
	servers := float64(len(b.list.ready))
	held := float64(len(b.flows.established))
	ownShare := servers / float64(b.slowStart.Balancers)
	h.checkCredit += min(servers, max(held, ownShare)) * float64(tickInterval) / float64(loadReportMaxAge)
	h.checkCredit = min(h.checkCredit, servers, 1+held+ownShare)
	// Servers reject most of the checks if all balancers send theirs at once.
	maxChecks := 1 + checksPerRound*servers*float64(tickInterval)/float64(recheckInterval)
	if h.checksReturnLoad && h.checkCredit >= 1 {
		b.checkOldest(int(min(maxChecks, h.checkCredit)))
	}
}

// checkOldest sends a health check to each of the count servers whose last check is oldest.
func (b *Balancer) checkOldest(count int) {
	oldest := slices.Clone(b.list.ready)
	slices.SortStableFunc(oldest, func(one, other *serverState) int {
		return b.healthCheckAge(other) - b.healthCheckAge(one)
	})
	for _, server := range oldest[:count] {
		b.health.checkCredit--
		server.healthCheckedAt = b.now
		b.actions.HealthCheck(server.id)
	}
}

// healthCheckAge returns the time since a server's last health check in nanoseconds, multiplied by openFlowsAgeFactor
// if flows are open there.
func (b *Balancer) healthCheckAge(server *serverState) int {
	age := int(b.now - server.healthCheckedAt)
	if server.openFlows > 0 {
		age *= openFlowsAgeFactor
	}
	return age
}
