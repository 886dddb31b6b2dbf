package routing

import (
	"slices"
	"testing"
	"time"

	"yardwinch/decide"
)

const ms, sec = time.Millisecond, time.Second

const (
	firstFlow, otherFlow = decide.FlowID("first"), decide.FlowID("other")
	isLoad, isLatency    = false, true
)

// metricEvent is a metric, or a reset or the end of a flow.
type metricEvent struct {
	at, value time.Duration
	flow      decide.FlowID
	resets    bool // the server resets a connection
	ends      bool // the flow ends
}

func sample(at, value time.Duration) metricEvent {
	return metricEvent{at: at, value: value, flow: firstFlow}
}

func otherSample(at, value time.Duration) metricEvent {
	return metricEvent{at: at, value: value, flow: otherFlow}
}

func reset(at time.Duration) metricEvent { return metricEvent{at: at, resets: true} }

func endFirstFlow(at time.Duration) metricEvent {
	return metricEvent{at: at, flow: firstFlow, ends: true}
}

var classifierCases = []struct {
	name   string
	events []metricEvent
	want   []bool // isLoad or isLatency, by metric
}{
	{"a single metric", []metricEvent{sample(0, 900*ms)}, []bool{isLoad}},
	{"two a second apart", []metricEvent{sample(0, 900*ms), sample(sec+ms, 700*ms)}, []bool{isLoad, isLatency}},
	{"two at another interval", []metricEvent{sample(0, 900*ms), sample(sec+4*ms, 700*ms)}, []bool{isLoad, isLoad}},
	{"two on two connections", []metricEvent{sample(0, 900*ms), otherSample(sec+ms, 701*ms)}, []bool{isLoad, isLoad}},
	{"two on two connections, a reset between", []metricEvent{sample(0, 900*ms), reset(500 * ms), otherSample(sec, 701*ms)},
		[]bool{isLoad, isLatency}},
	{"two on two connections, the first ended", []metricEvent{sample(0, 900*ms), endFirstFlow(500 * ms), otherSample(sec, 701*ms)},
		[]bool{isLoad, isLatency}},
	{"one near a reset", []metricEvent{reset(0), sample(10*ms, 900*ms), otherSample(sec+10*ms, 701*ms)}, []bool{isLatency, isLatency}},
	{"a large one near a reset", []metricEvent{reset(0), sample(10*ms, 9*sec), sample(sec+10*ms, 6*sec)}, []bool{isLatency, isLatency}},
	{"one too large for any server", []metricEvent{reset(0), sample(10*ms, 20*sec)}, []bool{isLoad}},
	{"a reset well before", []metricEvent{reset(0), sample(50*ms, 900*ms), otherSample(sec+50*ms, 700*ms)}, []bool{isLoad, isLoad}},
	{"a series continues on any connection", []metricEvent{sample(0, 900*ms), sample(sec, 700*ms), otherSample(2*sec, 701*ms)},
		[]bool{isLoad, isLatency, isLatency}},
	{"a series up to its last sample",
		[]metricEvent{sample(0, 900*ms), sample(sec, 700*ms), sample(2*sec, 500*ms), sample(3*sec, 20*ms), sample(4*sec, 30*ms)},
		[]bool{isLoad, isLatency, isLatency, isLatency, isLoad}},
	{"a load between two samples",
		[]metricEvent{sample(0, 900*ms), sample(sec, 700*ms), sample(sec+5*ms, 800*ms), sample(2*sec, 700*ms)},
		[]bool{isLoad, isLatency, isLoad, isLatency}},
	{"a missing sample", []metricEvent{sample(0, 900*ms), sample(sec, 700*ms), sample(3*sec, 700*ms)},
		[]bool{isLoad, isLatency, isLatency}},
	{"a value in the range of loads", []metricEvent{sample(0, 5*sec), sample(sec, 5*sec)}, []bool{isLoad, isLoad}},
	{"a series begins above the threshold only", []metricEvent{sample(0, 20*ms), sample(sec, 20*ms)}, []bool{isLoad, isLoad}},
	{"a series begins in the phase of the last one",
		[]metricEvent{sample(0, 900*ms), sample(sec, 700*ms), sample(2*sec, 20*ms), sample(9*sec-2*ms, 700*ms)},
		[]bool{isLoad, isLatency, isLatency, isLatency}},
	{"a value out of the last series' phase", []metricEvent{sample(0, 900*ms), sample(sec, 700*ms), sample(9*sec+3*ms, 700*ms)},
		[]bool{isLoad, isLatency, isLoad}},
	{"a value below the threshold in the last series' phase", []metricEvent{sample(0, 900*ms), sample(sec, 700*ms), sample(9*sec, 20*ms)},
		[]bool{isLoad, isLatency, isLoad}},
	{"the last series' phase after more than seriesPhaseMaxAge", []metricEvent{sample(0, 900*ms), sample(sec, 700*ms), sample(90*sec, 700*ms)},
		[]bool{isLoad, isLatency, isLoad}},
}

// Latencies and loads are sent in the same format: a load misclassified as a latency makes a server lose its clients,
// and a latency misclassified as a load leaves clients on a late server.
func TestLatencySamplesAmongLoads(t *testing.T) {
	for _, c := range classifierCases {
		t.Run(c.name, func(t *testing.T) {
			const start, threshold = 100 * sec, 83 * ms
			var classifier metricClassifier
			var got []bool
			for _, e := range c.events {
				switch {
				case e.resets:
					classifier.lastResetAt = start + e.at
				case e.ends:
					classifier.onFlowEnded(e.flow)
				default:
					got = append(got, classifier.classify(metric{at: start + e.at, flow: e.flow, latency: e.value}, threshold))
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("classified as latencies: %v, want %v", got, c.want)
			}
		})
	}
}

// A metric is of the kind that the servers report, and is classified only if they report both. It is a latency only if
// the connection is established.
func TestServerMetricFollowsConfiguredKinds(t *testing.T) {
	const value = 700 // milliseconds, far above the threshold
	for _, c := range []struct {
		name                        string
		reportsLoad, reportsLatency bool
		isEstablished               bool
		wantSamples, wantLoads      int
	}{
		{"loads", true, false, true, 0, 1},
		{"latencies", false, true, true, 1, 0},
		{"latencies, before the connection is established", false, true, false, 0, 1},
		{"both, a single metric", true, true, true, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, c.reportsLoad, c.reportsLatency, "a")
			recorder := &sampleRecorder{Balancer: r.balancer}
			r.balancer = recorder
			f := openFlow(t, r)
			awaitDecision(t, f)
			if c.isEstablished {
				f.OnEstablished()
			}
			f.OnServerMetric(value)
			if len(recorder.samples) != c.wantSamples || len(r.latency.recentLoads) != c.wantLoads {
				t.Errorf("%d latency samples and %d loads, want %d and %d",
					len(recorder.samples), len(r.latency.recentLoads), c.wantSamples, c.wantLoads)
			}
			if c.wantSamples > 0 && recorder.samples[0].latency != value*ms {
				t.Errorf("latency %v, want %v", recorder.samples[0].latency, value*ms)
			}
		})
	}
}

// A first metric alone is classified as a latency only if it is too low for a load.
func TestFirstSampleBelowRecentLoads(t *testing.T) {
	for _, c := range []struct {
		name        string
		earlier     []float64
		loads       int
		load, value float64
		want        bool
	}{
		{"far below all loads", nil, loadWindowSize, 1000, 200, true},
		{"not far enough below", nil, loadWindowSize, 1000, 300, false},
		{"too few loads known", nil, loadWindowSize - 1, 1000, 200, false},
		{"an equally low load that has left the window", []float64{1}, 2 * loadWindowSize, 1000, 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var window loadWindow
			for _, load := range c.earlier {
				window.add(load)
			}
			for range c.loads {
				window.add(c.load)
			}
			if got := window.isFarAbove(c.value); got != c.want {
				t.Errorf("far below all loads: %v, want %v", got, c.want)
			}
		})
	}
	var classifier metricClassifier
	if !classifier.classify(metric{at: sec, flow: "one", latency: 200 * ms, isBelowRecentLoads: true}, 83*ms) ||
		!classifier.classify(metric{at: 2 * sec, flow: "two", latency: 700 * ms}, 83*ms) {
		t.Error("a series that began with a value far below the recent loads was not continued")
	}
}
