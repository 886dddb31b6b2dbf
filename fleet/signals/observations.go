package signals

import (
	"time"

	"yardwinch/decide"
)

const (
	evidenceValidity = 2500 * time.Millisecond // of late messages, whose samples come every second
	failureValidity  = 2 * evidenceValidity    // of failed set-ups and broken connections, which are less frequent
	maxSamples       = 4                       // kept for each server
	minFailures      = 2                       // a single failure may be chance
	minUnanswered    = 2                       // value of observation.unanswered from which a server is silent
)

// observation is what this balancer itself observes of a server.
type observation struct {
	samples      []sample // newest last
	lateAt       time.Duration
	healthyAt    time.Duration
	connections  int
	unanswered   int // attempts that ended as Unreachable or TimedOut since the last one established
	unansweredAt time.Duration
}

// sample is the outcome of a set-up, or a broken connection.
type sample struct {
	at     time.Duration
	failed bool
}

// observation returns the observation of a server. It adds one if there is none.
func (e *Exchange) observation(id decide.ServerID) *observation {
	observed := e.observations[id]
	if observed == nil {
		observed = &observation{lateAt: never, healthyAt: never, unansweredAt: never}
		e.observations[id] = observed
	}
	return observed
}

// OnFlow counts a new flow.
func (e *Exchange) OnFlow(decide.FlowRequest) {
	e.newFlows++
}

// OnEstablished handles a connection that was established, and how long its set-up took. The time is negative if it was
// established before this process started (constraints.AdoptedFlow): its set-up was not observed.
func (e *Exchange) OnEstablished(_ decide.FlowID, server decide.ServerID, took time.Duration) {
	observed := e.observation(server)
	observed.connections++
	if took < 0 {
		return
	}
	observed.unanswered = 0
	observed.addSample(e.now, false)
	if took > e.setupLimit {
		observed.lateAt = e.now
	} else {
		observed.healthyAt = e.now
	}
	e.changed = true
}

// addSample adds a sample, and drops the oldest one beyond maxSamples.
func (o *observation) addSample(now time.Duration, failed bool) {
	o.samples = append(o.samples, sample{at: now, failed: failed})
	o.samples = o.samples[max(0, len(o.samples)-maxSamples):]
}

// OnEnded handles the end of an attempt, or of a connection that was established.
func (e *Exchange) OnEnded(_ decide.FlowID, server decide.ServerID, outcome decide.Outcome, wasEstablished bool) {
	observed := e.observation(server)
	switch {
	case wasEstablished:
		observed.connections = max(0, observed.connections-1)
		if outcome == decide.Reset {
			observed.addSample(e.now, true)
		}
	case outcome == decide.Unreachable || outcome == decide.TimedOut:
		observed.unanswered++
		observed.unansweredAt = e.now
		observed.addSample(e.now, true)
	case outcome == decide.Error || outcome == decide.Reset:
		observed.addSample(e.now, true)
	}
	e.changed = true
}

// OnLatencySample handles how long a message took. Samples arrive while messages are late, and once when they no longer
// are.
func (e *Exchange) OnLatencySample(server decide.ServerID, latency time.Duration) {
	observed := e.observation(server)
	if latency > e.latencyThreshold {
		observed.lateAt = e.now
	} else {
		observed.lateAt = never
		observed.healthyAt = e.now
	}
	e.changed = true
}

// fault returns the fault that this balancer observes at a server now, and the age of the evidence.
func (o *observation) fault(now time.Duration) (Fault, time.Duration) {
	failures, lastFailureAt := o.failures(now)
	switch {
	case o.unanswered >= minUnanswered && now-o.unansweredAt < failureValidity:
		return Silent, now - o.unansweredAt
	case failures >= minFailures && 2*failures >= len(o.samples):
		return Failing, now - lastFailureAt
	case now-o.lateAt < evidenceValidity:
		return Late, now - o.lateAt
	}
	return Healthy, now - o.healthyAt
}

// failures returns how many samples failed recently, and when the last one did.
func (o *observation) failures(now time.Duration) (count int, lastAt time.Duration) {
	lastAt = never
	for _, s := range o.samples {
		if s.failed && now-s.at < failureValidity {
			count++
			lastAt = s.at
		}
	}
	return count, lastAt
}

// observesHealthy reports whether this balancer itself has observed that a server is healthy: it observes no fault, and
// it has a connection there or had a healthy observation within ownHealthyValidity.
func (e *Exchange) observesHealthy(id decide.ServerID) bool {
	observed := e.observations[id]
	if observed == nil {
		return false
	}
	fault, _ := observed.fault(e.now)
	return fault == Healthy && (observed.connections > 0 || e.now-observed.healthyAt < ownHealthyValidity)
}
