package decide

import (
	"math"
	"slices"
	"time"
)

// What is learned of servers from outcomes, latencies, health checks and load reports: outlier detection, ejection and
// overload.

const (
	outcomeMaxAge = 10 * time.Second
	latencyMaxAge = 2500 * time.Millisecond // latency samples come every second while a server is slow

	serverSampleWindow = 4   // outcomes kept of each server
	outlierSample      = 2   // recent outcomes needed to eject a server
	outlierMargin      = 0.5 // share of failures above the fleet's median

	baseEjectionTime      = time.Second
	maxEjectionTime       = 16 * time.Second
	unreachableThreshold  = 2  // attempts in a row that end as Unreachable, from which a server is silent
	maxProbationLimit     = 16 // flows out at once
	passedProbationLimit  = 8  // probation limit beyond which probation ends
	initialProbationLimit = 1  // flows out at once

	backlogDrainTime         = 1400 * time.Millisecond // in which a backlog is to be gone
	overloadedLatencyDivisor = 3                       // latency above objective/3 is overload
	scarceCapacityDivisor    = 5                       // capacity is scarce when servers/5 are overloaded

	loadReportMaxAge   = 3 * recheckInterval
	checksPerConnect   = 4.0 // health checks that one attempt pays for
	checksPerRound     = 4   // of each server, at most, in a round of rechecks
	lightLoad          = 0.7 // load over capacity up to which a server meets its objectives, whatever others have
	fullLoad           = 1.0 // load over capacity beyond which work piles up
	openFlowsAgeFactor = 2   // by which the last check counts as older where flows are open
)

// health is what is known of the fleet as a whole.
type health struct {
	setupTimes  []time.Duration // of the last set-ups, over all servers
	lastSetupAt time.Duration   // when the last of them ended; later than now after one that timed out
	checksLoad  bool            // health checks bring load reports
	checkCredit float64         // health checks that may be sent
	flowLimit   flowLimit       // on all flows

	// The last figures over all servers; see isCurrent.
	overview       fleetOverview
	medianFailures failureMedian
	healthy        serverSubset
}

func (h *health) addSetupTime(took, endedAt time.Duration) {
	h.setupTimes = appendWindow(h.setupTimes, took, sampleWindow)
	h.lastSetupAt = endedAt
}

// isEjected reports whether the server gets no flows now: it is ejected, or on probation with its probation limit used.
func (b *Balancer) isEjected(server *serverState) bool {
	return server.ejected && (b.now < server.ejectedUntil || server.probationFlows >= server.probationLimit)
}

// isUnreachable reports whether the last attempts could not reach the server.
func (s *serverState) isUnreachable() bool { return s.consecutiveUnreachable >= unreachableThreshold }

// recordOutcome records an outcome at the flow's server, and ejects the server or raises its probation limit.
func (b *Balancer) recordOutcome(f *flow, failed bool) {
	server := f.server
	if f.incarnation != server.incarnation {
		return
	}
	server.samples = appendWindow(server.samples, sample{server, b.now, failed}, serverSampleWindow)
	switch {
	case !failed:
		if server.isUnreachable() { // it was down, whatever the list says so far, and must warm up
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

// isOutlier compares a server with the fleet's median: where all fail the cause is shared, and ejecting some would
// overload the rest. At least half of the servers stay.
func (b *Balancer) isOutlier(server *serverState) bool {
	share, n := failedShare(server.samples, b.now-outcomeMaxAge)
	return n >= outlierSample && share >= b.medianFailures()+outlierMargin &&
		2*(b.fleetOverview().ejected+1) <= len(b.list.ready)
}

// eject ejects a server, for longer each time while ejections follow on each other.
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

// isCapacityScarce reports whether a fifth of the observed servers, and more than chance explains, are overloaded.
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
		// The attempt did not get as far as what all set-ups share, so that the rest of the fleet does not matter.
		server.consecutiveUnreachable++
		if server.isUnreachable() && !server.ejected {
			b.eject(server)
		}
	case Full:
		b.reduceLimit(server)
	case TimedOut:
		// It counts as recent for longer: after a mass reconnect no new set-ups come, and servers are slow for a while.
		b.health.addSetupTime(took, b.now+outcomeMaxAge)
	}
	b.recordOutcome(f, true)
	b.recordSetup(server, true)
	if b.sharedFailure() {
		b.decreaseConcurrency()
	}
}

// OnFlowLoad handles a report of a connection's load. It fluctuates too fast for placement, but shows that the
// server is alive.
func (b *Balancer) OnFlowLoad(id FlowID) {
	if f := b.flows.byID[id]; f != nil && f.server != nil {
		f.server.consecutiveUnreachable = 0
	}
}

// latencyTrend is what a latency sample says beside the one before it.
type latencyTrend struct {
	isLate     bool // beyond the objective
	isRepeated bool // so was the last sample
	isGrowing  bool
	excess     float64 // share of the flows whose migration stops and drains the backlog
}

// OnLatencySample handles how long a message takes at the flow's server.
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
	// One late message in a fleet within its objective may be a pause; a second, or one among many, is overload.
	if trend.isLate && (trend.isGrowing || !trend.isRepeated && b.isCapacityScarce()) {
		b.reduceLimit(server)
	}
	wanted := migration{share: trend.excess}
	if trend.isLate {
		wanted.minSaving = noMinSaving
	}
	// Without spare capacity, fewer flows within the objective are worth more than all of them late.
	wanted.shed = trend.isLate && trend.isGrowing && b.isCapacityScarce()
	if wanted.shed {
		wanted.share = min(wanted.share, migrationShare)
	}
	if wanted.shed || b.isOverloaded(server) && b.areSetupsWithinObjective() {
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

// isOverloaded reports whether the last latency exceeds a third of the shortest objective. Samples are sent from
// there on, and one says when it ends.
func (b *Balancer) isOverloaded(server *serverState) bool {
	return server.latency > 0 && b.now-server.latencyAt < latencyMaxAge &&
		server.latency > b.list.MessageTarget/overloadedLatencyDivisor
}

// OnHealthCheck handles the result of a health check. A server that answers enters probation.
func (b *Balancer) OnHealthCheck(server ServerID, outcome Outcome) {
	if state := b.list.byID[server]; state != nil && outcome == OK {
		state.consecutiveUnreachable = 0
		state.ejectedUntil = min(state.ejectedUntil, b.now)
	}
}

// OnLoadReport handles a server's report of its load over its capacity: 1 is a server that is fully used.
func (b *Balancer) OnLoadReport(server ServerID, load float64) {
	state := b.list.server(server)
	state.reportedLoad = load
	state.loadReportedAt = b.now
	if load > fullLoad && b.areSetupsWithinObjective() {
		b.migrateAway(state, migration{share: 1 - lightLoad/load})
	}
}

// reportedLoad is the last report of a warm server. One that is warming up would, with a load near 0, attract a flow of
// each group.
func (b *Balancer) reportedLoad(server *serverState) (load float64, ok bool) {
	isRecent := server.loadReportedAt > 0 && b.now-server.loadReportedAt < loadReportMaxAge
	return server.reportedLoad, isRecent && b.capacityShare(server) == 1
}

// sendHealthChecks spends the credit that attempts, new servers and the passing of time bring. No more is saved than
// the flows held and this balancer's part of the servers need.
func (b *Balancer) sendHealthChecks() {
	h := &b.health
	servers := float64(len(b.list.ready))
	held := float64(len(b.flows.established))
	ownShare := servers / float64(b.slowStart.Balancers)
	h.checkCredit += min(servers, max(held, ownShare)) * float64(tickInterval) / float64(loadReportMaxAge)
	h.checkCredit = min(h.checkCredit, servers, 1+held+ownShare)
	// Servers reject most of the checks that all balancers send at once.
	maxChecks := 1 + checksPerRound*servers*float64(tickInterval)/float64(recheckInterval)
	if h.checksLoad && h.checkCredit >= 1 {
		b.checkOldest(int(min(maxChecks, h.checkCredit)))
	}
}

// checkOldest sends so many health checks, to the servers whose last one is oldest.
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

// healthCheckAge is the time since a server's last health check in nanoseconds, weighted by openFlowsFactor.
func (b *Balancer) healthCheckAge(server *serverState) int {
	age := int(b.now - server.healthCheckedAt)
	if server.openFlows > 0 {
		age *= openFlowsAgeFactor
	}
	return age
}
