package routing

import (
	"math"
	"slices"
	"time"

	"yardwinch/decide"
)

// A server's metric lines carry either the load of a connection or the latency of a message at the server, in the same
// format. Where servers report both, a metric is classified by its timing: a latency, in milliseconds, is sent once a
// second while the server is late, on any one of its connections; a load, in microseconds of work a second, is sent at
// no such regular interval.
const (
	// sampleIntervalTolerance is how far the interval between two latencies may deviate from latencySampleInterval.
	sampleIntervalTolerance = 2 * time.Millisecond
	// A series is the run of latency samples, one a second, that a late server sends. seriesPhaseMaxAge is how long
	// after a server's last series its phase, the point within the second at which the samples were sent, is
	// remembered.
	seriesPhaseMaxAge = time.Minute
	// maxUnconfirmedLatency is the highest value that can start a series, except shortly after a reset. maxLatency is
	// the highest value that can be a latency at all.
	maxUnconfirmedLatency = replyTimeout
	maxLatency            = 16 * time.Second
	maxCandidates         = 16
	loadWindowSize        = 64
	// loadOutlierFactor is how many times smaller than all recent loads a metric must be to be ruled out as a load.
	loadOutlierFactor = 4
	// resetProximity is how long after a reset a metric above the threshold counts as a latency: late servers reset
	// connections.
	resetProximity = 20 * time.Millisecond
)

// metric is a value from one of a server's metric lines.
type metric struct {
	at                 time.Duration
	flow               decide.FlowID
	latency            time.Duration // the value, if it is a latency
	isBelowRecentLoads bool
}

// latencyCandidate is a metric that may have been the first sample of a series.
type latencyCandidate struct {
	at        time.Duration
	flow      decide.FlowID
	flowEnded bool
}

// metricClassifier distinguishes one server's latency samples from its loads. Its times are on the router's clock; 0
// means none.
type metricClassifier struct {
	candidates            []latencyCandidate
	currentSeriesSampleAt time.Duration // when the last sample of the current series was received
	lastSampleAt          time.Duration // when the last sample of any series was received
	lastResetAt           time.Duration // when the server last reset a connection
}

// onFlowEnded marks the candidates of a flow that ended: the rest of its series is sent on another connection.
func (c *metricClassifier) onFlowEnded(id decide.FlowID) {
	for i := range c.candidates {
		c.candidates[i].flowEnded = c.candidates[i].flowEnded || c.candidates[i].flow == id
	}
}

// classify reports whether a metric is a latency rather than a load, and records it for the classification of later
// ones.
func (c *metricClassifier) classify(m metric, threshold time.Duration) (isLatency bool) {
	if m.latency > maxLatency {
		return false
	}
	if gap := m.at - c.currentSeriesSampleAt; c.currentSeriesSampleAt != 0 && gap < 2*latencySampleInterval+sampleIntervalTolerance {
		if !isSampleInterval(gap) && !isSampleInterval(gap-latencySampleInterval) {
			return false // a load between two samples
		}
		c.currentSeriesSampleAt, c.lastSampleAt = m.at, m.at
		if m.latency <= threshold {
			c.currentSeriesSampleAt = 0 // the sample that ends the series
		}
		return true
	}
	if m.latency <= threshold {
		return false
	}
	isNearReset := c.lastResetAt != 0 && m.at-c.lastResetAt <= resetProximity
	if m.latency > maxUnconfirmedLatency && !isNearReset {
		return false
	}
	if m.isBelowRecentLoads || isNearReset || c.isInPhase(m.at) || c.confirmsCandidate(m) {
		c.currentSeriesSampleAt, c.lastSampleAt, c.candidates = m.at, m.at, c.candidates[:0]
		return true
	}
	c.addCandidate(m)
	return false
}

// isInPhase reports whether a time is at the same phase of the second as the server's last series: a server keeps its
// phase, and a load falls there by chance only once in hundreds.
func (c *metricClassifier) isInPhase(now time.Duration) bool {
	gap := now - c.lastSampleAt
	if c.lastSampleAt == 0 || gap >= seriesPhaseMaxAge {
		return false
	}
	return (gap+sampleIntervalTolerance)%latencySampleInterval <= 2*sampleIntervalTolerance
}

// confirmsCandidate reports whether a metric is the second sample of a series. A single metric never starts a series,
// otherwise every load that happened to be low would make a server lose its clients. Nor does a pair on two
// connections, which occurs by chance every few seconds when there are many connections, unless the server reset
// connections in between or the first of the two connections ended.
func (c *metricClassifier) confirmsCandidate(m metric) bool {
	return slices.ContainsFunc(c.candidates, func(first latencyCandidate) bool {
		return isSampleInterval(m.at-first.at) &&
			(first.flow == m.flow || first.flowEnded || c.lastResetAt > first.at-resetProximity)
	})
}

func (c *metricClassifier) addCandidate(m metric) {
	if len(c.candidates) == maxCandidates {
		c.candidates = c.candidates[:copy(c.candidates, c.candidates[1:])]
	}
	c.candidates = append(c.candidates, latencyCandidate{at: m.at, flow: m.flow})
}

func isSampleInterval(gap time.Duration) bool {
	return (gap - latencySampleInterval).Abs() <= sampleIntervalTolerance
}

// loadWindow holds the last loads that any server reported, in microseconds of work a second.
type loadWindow []float64

func (w *loadWindow) add(load float64) {
	if len(*w) == loadWindowSize {
		*w = (*w)[:copy(*w, (*w)[1:])]
	}
	*w = append(*w, load)
}

// isFarAbove reports whether the window is full and all its loads are more than loadOutlierFactor times a value.
func (w loadWindow) isFarAbove(value float64) bool {
	return len(w) == loadWindowSize && value*loadOutlierFactor < slices.Min(w)
}

// OnServerMetric reports a value from one of the server's metric lines: a latency in milliseconds, or a load in
// microseconds of work a second. Where servers report both, the value is classified first. Before the connection is
// established, every value is taken as a load. A value that is neither is ignored: one that is negative, infinite or not
// a number.
func (f *Flow) OnServerMetric(value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		return
	}
	r := f.router
	now := r.lockForEvent()
	defer r.mu.Unlock()
	if f.isEstablished && r.latency.classify(f, value, now) {
		r.reportLatency(f.server, f.id, metricLatency(value))
		return
	}
	r.latency.recentLoads.add(value)
	r.balancer.OnFlowLoad(f.id)
}

// classify reports whether a metric on a flow's connection is a latency. Where servers report both, the server's
// classifier records it.
func (t *latencyTracker) classify(f *Flow, value float64, now time.Duration) (isLatency bool) {
	if !t.serversReportLatency || !t.serversReportLoad {
		return t.serversReportLatency
	}
	m := metric{
		at:                 now,
		flow:               f.id,
		latency:            metricLatency(value),
		isBelowRecentLoads: t.recentLoads.isFarAbove(value),
	}
	return f.server.metrics.classify(m, t.threshold)
}

// metricLatency converts a latency in milliseconds. Values beyond any possible latency are clamped, to keep the
// conversion from overflowing time.Duration.
func metricLatency(value float64) time.Duration {
	const maxValue = 2 * float64(maxLatency/time.Millisecond)
	return time.Duration(min(value, maxValue) * float64(time.Millisecond))
}
