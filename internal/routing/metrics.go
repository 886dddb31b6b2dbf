package routing

import (
	"slices"
	"time"

	"yardwinch/decide"
)

// A server's metric lines carry either the load of a connection or the latency of a message at the server, in the same
// form. Where servers report both, a metric is classified by its rhythm: a latency comes once a second while the server
// is late, on any one of its connections, in milliseconds; a load comes in no such rhythm, in microseconds of work a
// second.
const (
	// sampleIntervalTolerance is how far the gap between two latencies may be from latencySampleInterval.
	sampleIntervalTolerance = 2 * time.Millisecond
	// seriesMemory is how long the phase of a second is remembered at which a server's last series ran.
	seriesMemory = time.Minute
	// maxUnconfirmedLatency is the most that is taken for a latency on its rhythm alone; maxLatency holds in any case.
	maxUnconfirmedLatency = replyTimeout
	maxLatency            = 16 * time.Second
	maxCandidates         = 16
	loadWindowSize        = 64
	// loadOutlierFactor is how many times smaller than all recent loads a metric is that can't be a load.
	loadOutlierFactor = 4
	// resetProximity is how long after a reset a metric counts as a latency: a server that is late drops connections.
	resetProximity = 20 * time.Millisecond
)

// metric is one figure that a server has sent.
type metric struct {
	at                 time.Duration
	flow               decide.FlowID
	latency            time.Duration // what it means if it is one
	isBelowRecentLoads bool
}

// latencyCandidate is a metric that may have been the first sample of a series.
type latencyCandidate struct {
	at        time.Duration
	flow      decide.FlowID
	flowEnded bool
}

// metricClassifier tells one server's latency samples from its loads. Its times are the router's; 0 is none.
type metricClassifier struct {
	candidates     []latencyCandidate
	seriesSampleAt time.Duration // last sample of the series under way
	lastSampleAt   time.Duration // last sample of any series
	lastResetAt    time.Duration // when the server last reset a connection
}

// onFlowEnded marks the candidates of a flow that ended: the rest of its series comes on another connection.
func (c *metricClassifier) onFlowEnded(id decide.FlowID) {
	for i := range c.candidates {
		c.candidates[i].flowEnded = c.candidates[i].flowEnded || c.candidates[i].flow == id
	}
}

// classify says whether a metric is a latency or a load, and records it: the next ones are judged by it.
func (c *metricClassifier) classify(m metric, threshold time.Duration) (isLatency bool) {
	if m.latency > maxLatency {
		return false
	}
	if gap := m.at - c.seriesSampleAt; c.seriesSampleAt != 0 && gap < 2*latencySampleInterval+sampleIntervalTolerance {
		if !isSampleInterval(gap) && !isSampleInterval(gap-latencySampleInterval) {
			return false // a load between two samples
		}
		c.seriesSampleAt, c.lastSampleAt = m.at, m.at
		if m.latency <= threshold {
			c.seriesSampleAt = 0 // the sample that ends the series
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
		c.seriesSampleAt, c.lastSampleAt, c.candidates = m.at, m.at, c.candidates[:0]
		return true
	}
	c.addCandidate(m)
	return false
}

// isInPhase reports whether now is the phase of a second at which the server's last series ran: a server keeps to it,
// and a load falls there by chance only once in hundreds.
func (c *metricClassifier) isInPhase(now time.Duration) bool {
	gap := now - c.lastSampleAt
	if c.lastSampleAt == 0 || gap >= seriesMemory {
		return false
	}
	return (gap+sampleIntervalTolerance)%latencySampleInterval <= 2*sampleIntervalTolerance
}

// confirmsCandidate reports whether a metric is the second sample of a series. A lone metric never begins one, as each
// load that happened to be low would empty a server. Nor does a pair on two connections, which chance brings every few
// seconds where there are many, unless the server reset connections in between or the first of the two ended.
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

// loadWindow keeps the last loads that any server reported, in microseconds of work a second.
type loadWindow []float64

func (w *loadWindow) add(load float64) {
	if len(*w) == loadWindowSize {
		*w = (*w)[:copy(*w, (*w)[1:])]
	}
	*w = append(*w, load)
}

// isFarAbove reports whether a full window's loads are all far above a value.
func (w loadWindow) isFarAbove(value float64) bool {
	return len(w) == loadWindowSize && value*loadOutlierFactor < slices.Min(w)
}

// OnServerMetric takes a figure from one of the server's metric lines: a latency in milliseconds, or a load in
// microseconds of work a second. Where servers report both it is classified first.
func (f *Flow) OnServerMetric(value float64) {
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

// classify says whether a metric on a flow's connection is a latency. Where servers report both, their classifiers
// record it.
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

// metricLatency is what a metric means if it is a latency, in milliseconds. A value that no latency reaches is cut, as a
// time.Duration could not hold any value.
func metricLatency(value float64) time.Duration {
	const maxValue = 2 * float64(maxLatency/time.Millisecond)
	return time.Duration(min(value, maxValue) * float64(time.Millisecond))
}
