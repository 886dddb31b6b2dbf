package locality

import (
	"slices"
	"time"

	"yardwinch/decide"
)

// When a locality becomes unavailable, and how it recovers.

const (
	sampleMaxAge = 5 * time.Second
	sampleWindow = 24 // of each locality

	// A locality is unavailable when a third of its ready servers failed, within these bounds on their number.
	minFailedServers = 2
	maxFailedServers = 4
	minFailures      = 2 // attempts or connections, however few servers there are

	firstProbeBackoff    = time.Second // between probes of an unavailable locality
	maxProbeBackoff      = 8 * time.Second
	maxProbeBackoffAlone = time.Second     // while no locality is healthy
	probeTimeout         = 2 * time.Second // after which the next probe may go out

	recoverySteps    = 5           // over the warm-up time
	maxStepFactor    = 4           // times a step's length, while set-ups are slow
	flappingInterval = time.Minute // from the beginning of a recovery: a locality that is lost within it is flapping
	maxSlowdown      = 4
)

// recoveryShares are the shares of its usual flows that a locality may take, by the steps of its recovery.
var recoveryShares = [recoverySteps]float64{0.1, 0.25, 0.5, 0.75, 1}

// sample is the result of one attempt, or a connection that broke.
type sample struct {
	at          time.Duration
	server      decide.ServerID
	isReached   bool
	isAmbiguous bool          // a timeout: what all set-ups share may be the cause
	took        time.Duration // to be established; 0: it was not
}

func (p *Policy) isRecent(s sample) bool { return p.now-s.at < sampleMaxAge }

// addSample adds a sample. A locality that it shows to be unreachable becomes unavailable.
func (p *Policy) addSample(l *locality, s sample) {
	if len(l.samples) >= sampleWindow {
		l.samples = append(l.samples[:0], l.samples[len(l.samples)-sampleWindow+1:]...)
	}
	l.samples = append(l.samples, s)
	if !s.isReached && l.state != Unavailable && p.isUnreachable(l) {
		p.transition(l, Unavailable, reasonNoReach)
	}
}

// isUnreachable reports whether the last recent samples are failures at several servers, as many as a locality of its
// size can show. A few outliers do not make a locality unavailable.
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

// succeedsElsewhere reports whether attempts reached servers of another locality recently.
func (p *Policy) succeedsElsewhere(than *locality) bool {
	isSuccess := func(s sample) bool { return s.isReached && p.isRecent(s) }
	return slices.ContainsFunc(p.ordered, func(l *locality) bool {
		return l != than && slices.ContainsFunc(l.samples, isSuccess)
	})
}

func (p *Policy) noneHealthy() bool {
	return !slices.ContainsFunc(p.ordered, func(l *locality) bool { return l.state == Healthy })
}

// endProbe handles the end of the probe of an unavailable locality.
func (p *Policy) endProbe(l *locality, outcome decide.Outcome, isFailure bool) {
	l.probe = ""
	switch {
	case isFailure || outcome == decide.Cancelled:
		longest := maxProbeBackoff
		if p.noneHealthy() {
			longest = maxProbeBackoffAlone
		}
		l.probeBackoff = min(2*l.probeBackoff, longest)
		l.nextProbeAt = p.now + p.jitter(l.probeBackoff)
	case outcome == decide.Full || outcome == decide.Error:
		p.transition(l, Recovering, reasonProbeMet)
	}
}

// mayProbe reports whether a probe flow may go to an unavailable locality.
func (p *Policy) mayProbe(l *locality) bool {
	isProbed := l.probe != "" && p.now-l.probeSentAt < probeTimeout
	return !isProbed && p.now >= l.nextProbeAt
}

// advanceRecovery takes a recovering locality to its next step once its time has passed. The step is prolonged while
// set-ups there are slow.
func (p *Policy) advanceRecovery(l *locality) {
	length := time.Duration(float64(p.config.WarmUp) / recoverySteps * l.slowdown)
	elapsed := p.now - l.stepAt
	if elapsed < length || elapsed < maxStepFactor*length && p.areSetupsSlow(l) {
		return
	}
	l.stepAt = p.now
	l.step++
	if l.step == recoverySteps {
		p.transition(l, Healthy, "")
	}
}

// areSetupsSlow reports whether most recent set-ups in a locality failed or missed their target.
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

// recoveryLimit is how many flows a recovering locality may have admitted by its step.
func (p *Policy) recoveryLimit(l *locality) float64 {
	return p.usualFlows(l) * recoveryShares[l.step] / l.slowdown
}

// isRecoveryStepFull reports whether a recovering locality has admitted what its step allows. In its last step it may
// admit one more, so that it does not stay below what is usual.
func (p *Policy) isRecoveryStepFull(l *locality) bool {
	limit := p.recoveryLimit(l)
	if l.step == recoverySteps-1 {
		limit++
	}
	return float64(l.admitted)+l.rounding >= limit
}
