package locality

import (
	"slices"
	"time"

	"yardwinch/decide"
)

// The detection of unavailable localities, and their recovery.

const (
	sampleMaxAge = 5 * time.Second
	sampleWindow = 24 // samples kept of each locality

	// A locality is unavailable when a third of its ready servers failed, within these bounds on their number.
	minFailedServers = 2
	maxFailedServers = 4
	minFailures      = 2 // failed attempts and broken connections, however few servers there are

	firstProbeBackoff          = time.Second // between probes of an unavailable locality; doubled after each failed one
	maxProbeBackoff            = 8 * time.Second
	maxProbeBackoffNoneHealthy = time.Second     // while no locality is healthy
	probeTimeout               = 2 * time.Second // after which the next probe may go out

	recoverySteps    = 5           // equal parts of the warm-up time
	maxStepFactor    = 4           // by which slow set-ups may prolong a step
	flappingInterval = time.Minute // a locality that becomes unavailable within this time after its last recovery began is flapping
	maxSlowdown      = 4           // factor by which the recovery of a flapping locality takes longer
)

// recoveryShares are the shares of its usual flows that a locality may admit, by the step of its recovery.
var recoveryShares = [recoverySteps]float64{0.1, 0.25, 0.5, 0.75, 1}

// sample is the result of one attempt, or a broken connection.
type sample struct {
	at          time.Duration
	server      decide.ServerID
	isReached   bool          // the server answered, whatever its answer
	isAmbiguous bool          // a timeout, which may have a cause outside the locality
	took        time.Duration // set-up time; 0: not established
}

func (p *Policy) isRecent(s sample) bool { return p.now-s.at < sampleMaxAge }

// addSample adds a sample, and makes the locality unavailable if its samples now show that it is unreachable.
func (p *Policy) addSample(l *locality, s sample) {
	if len(l.samples) >= sampleWindow {
		l.samples = append(l.samples[:0], l.samples[len(l.samples)-sampleWindow+1:]...)
	}
	l.samples = append(l.samples, s)
	if !s.isReached && l.state != Unavailable && p.isUnreachable(l) {
		p.transition(l, Unavailable, reasonUnreachable)
	}
}

// isUnreachable reports whether, among the recent samples since the last answer, there are at least minFailures failures,
// at a third of the ready servers or more. The number of servers needed is at least minFailedServers, if there are so
// many, and at most maxFailedServers, so that a few outliers do not make a locality unavailable. For a recovering
// locality, minFailedServers servers are enough. Timeouts count only while attempts succeed elsewhere.
func (p *Policy) isUnreachable(l *locality) bool {
	failed := map[decide.ServerID]bool{}
	failures := 0
	countsTimeouts := p.succeedsElsewhere(l)
	for _, s := range slices.Backward(l.samples) {
		if s.isReached || !p.isRecent(s) {
			break
		}
		if !s.isAmbiguous || countsTimeouts {
			failed[s.server] = true
			failures++
		}
	}
	needed := min(max((l.ready+2)/3, minFailedServers), maxFailedServers)
	if l.state == Recovering {
		needed = min(needed, minFailedServers)
	}
	return len(failed) >= min(needed, max(l.ready, 1)) && failures >= minFailures
}

// succeedsElsewhere reports whether attempts recently reached servers of a locality other than the excluded one.
func (p *Policy) succeedsElsewhere(excluded *locality) bool {
	isSuccess := func(s sample) bool { return s.isReached && p.isRecent(s) }
	return slices.ContainsFunc(p.ordered, func(l *locality) bool {
		return l != excluded && slices.ContainsFunc(l.samples, isSuccess)
	})
}

func (p *Policy) noneHealthy() bool {
	return !slices.ContainsFunc(p.ordered, func(l *locality) bool { return l.state == Healthy })
}

// endProbe handles the end of a probe flow of an unavailable locality before it was established.
func (p *Policy) endProbe(l *locality, outcome decide.Outcome, isFailure bool) {
	l.probe = ""
	switch {
	case isFailure || outcome == decide.Cancelled:
		maxBackoff := maxProbeBackoff
		if p.noneHealthy() {
			maxBackoff = maxProbeBackoffNoneHealthy
		}
		l.probeBackoff = min(2*l.probeBackoff, maxBackoff)
		l.nextProbeAt = p.now + p.jitter(l.probeBackoff)
	case outcome == decide.Full || outcome == decide.Error:
		p.transition(l, Recovering, reasonProbeAnswered)
	}
}

// mayProbe reports whether a probe flow may go to an unavailable locality now.
func (p *Policy) mayProbe(l *locality) bool {
	isProbed := l.probe != "" && p.now-l.probeSentAt < probeTimeout
	return !isProbed && p.now >= l.nextProbeAt
}

// advanceRecovery advances a recovering locality to its next step when the current one has lasted long enough. Slow
// set-ups there prolong a step.
func (p *Policy) advanceRecovery(l *locality) {
	length := time.Duration(float64(p.config.WarmUp) / recoverySteps * l.slowdown)
	elapsed := p.now - l.stepBeganAt
	if elapsed < length || elapsed < maxStepFactor*length && p.areSetupsSlow(l) {
		return
	}
	l.stepBeganAt = p.now
	l.step++
	if l.step == recoverySteps {
		p.transition(l, Healthy, "")
	}
}

// areSetupsSlow reports whether more than half of the recent samples of a locality are failures or set-ups that missed
// their target.
func (p *Policy) areSetupsSlow(l *locality) bool {
	slow, n := 0, 0
	for _, s := range l.samples {
		if !p.isRecent(s) {
			continue
		}
		n++
		if !s.isReached || s.took > p.config.SetupTarget {
			slow++
		}
	}
	return n > 0 && 2*slow > n
}

// recoveryLimit returns how many flows a recovering locality may admit up to the end of its current step.
func (p *Policy) recoveryLimit(l *locality) float64 {
	return p.usualFlows(l) * recoveryShares[l.step] / l.slowdown
}

// isRecoveryStepFull reports whether a recovering locality has admitted all flows that its step allows. In the last step
// one more is allowed, so that the locality does not stay below its usual flows.
func (p *Policy) isRecoveryStepFull(l *locality) bool {
	limit := p.recoveryLimit(l)
	if l.step == recoverySteps-1 {
		limit++
	}
	return float64(l.admitted)+l.randomRounding >= limit
}
