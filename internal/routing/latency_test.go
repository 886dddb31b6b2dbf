package routing

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// latencySample is a sample as reported to the balancer.
type latencySample struct {
	flow    decide.FlowID
	latency time.Duration
}

// sampleRecorder forwards all calls to a balancer and records its latency samples.
type sampleRecorder struct {
	constraints.Balancer
	samples []latencySample
}

func (r *sampleRecorder) OnLatencySample(id decide.FlowID, latency time.Duration) {
	r.samples = append(r.samples, latencySample{id, latency})
	r.Balancer.OnLatencySample(id, latency)
}

// checkModel holds the expected results of a latency check, computed from all flows and all servers.
type checkModel struct {
	waits          map[*server][]time.Duration
	reportingFlows map[*server]decide.FlowID
	migrating      map[decide.FlowID]bool // clients that have been asked to reconnect
	samples        []latencySample
}

func expectedCheck(r *Router, now time.Duration) checkModel {
	m := checkModel{map[*server][]time.Duration{}, map[*server]decide.FlowID{}, map[decide.FlowID]bool{}, nil}
	for id, f := range r.flows {
		if f.isEstablished {
			m.addFlow(id, f, r.latency.threshold, now)
		}
	}
	for _, s := range r.serverOrder {
		m.addServer(s, r.latency.threshold, now)
	}
	return m
}

func (m *checkModel) addFlow(id decide.FlowID, f *Flow, threshold, now time.Duration) {
	if first, ok := m.reportingFlows[f.server]; !ok || id < first {
		m.reportingFlows[f.server] = id
	}
	isWaiting := f.awaitingSince != 0
	if isWaiting && now-f.awaitingSince > threshold {
		m.waits[f.server] = append(m.waits[f.server], now-f.awaitingSince)
	}
	if f.isMigrating || isWaiting && now-f.awaitingSince > replyTimeout || now-f.lastRequestAt > clientSilenceTimeout {
		m.migrating[id] = true
	}
}

func (m *checkModel) addServer(s *server, threshold, now time.Duration) {
	id, hasFlows := m.reportingFlows[s]
	latencies := m.waits[s]
	for i, at := range s.roundTrips.receivedAt {
		if now-at < roundTripMaxAge {
			latencies = append(latencies, s.roundTrips.durations[i])
		}
	}
	if !hasFlows || len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	median := latencies[len(latencies)/2]
	reportedAt := s.roundTrips.reportedAt
	hasRecovered := median <= threshold && reportedAt != 0
	isDue := reportedAt == 0 || now-reportedAt >= latencySampleInterval-latencyCheckInterval/2
	if hasRecovered || median > threshold && isDue {
		m.samples = append(m.samples, latencySample{id, median})
	}
}

// A check reports the samples and requests the migrations that a model computes from all flows and servers.
func TestLatencyChecksMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := make([]string, rapid.IntRange(1, 5).Draw(rt, "servers"))
		for i := range names {
			names[i] = fmt.Sprint("s", i)
		}
		r := newRouter(t, true, true, names...)
		recorder := &sampleRecorder{Balancer: r.balancer}
		r.balancer = recorder
		var established []*Flow
		reported := 0
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			switch event := rapid.IntRange(0, 9).Draw(rt, "event"); {
			case event == 0 || len(established) == 0:
				f, err := r.AdoptFlow(FlowRequest{Service: "live", Group: rapid.SampledFrom([]string{"", "g", "h"}).Draw(rt, "group")},
					rapid.SampledFrom(names).Draw(rt, "server"), FlowTiming{
						AwaitingReply: rapid.SampledFrom([]time.Duration{0, ms, 90 * ms, 3900 * ms, 5 * sec}).Draw(rt, "awaiting reply"),
						ClientSilent:  rapid.SampledFrom([]time.Duration{0, ms, 5 * sec, 29 * sec, 31 * sec}).Draw(rt, "client silent"),
					})
				if err != nil {
					rt.Fatal(err)
				}
				established = append(established, f)
			case event <= 3:
				rapid.SampledFrom(established).Draw(rt, "requesting flow").OnRequest()
			case event <= 5:
				rapid.SampledFrom(established).Draw(rt, "replied flow").OnReply()
			case event == 6:
				i := rapid.IntRange(0, len(established)-1).Draw(rt, "ended flow")
				established[i].OnEnded(Cancelled)
				established[i].OnRequest() // a last line may be recorded after the end
				established = slices.Delete(established, i, i+1)
			default:
				elapsed := rapid.SampledFrom([]time.Duration{10 * ms, 90 * ms, 250 * ms, 990 * ms, 3 * sec, 20 * sec}).Draw(rt, "elapsed")
				r.startedAt = r.startedAt.Add(-elapsed)
				if rapid.Bool().Draw(rt, "check") { // requests and replies may also occur between two checks
					reported += checkAgainstModel(rt, r, recorder)
				}
			}
		}
		rt.Logf("%d samples", reported)
	})
}

// checkAgainstModel runs one check and returns the number of samples that it reported.
func checkAgainstModel(rt *rapid.T, r *Router, recorder *sampleRecorder) int {
	now := r.lockForEvent()
	defer r.mu.Unlock()
	want := expectedCheck(r, now)
	migrating := map[decide.FlowID]bool{}
	recorder.samples = nil
	r.checkLatencies(now)
	for id, f := range r.flows {
		if f.isMigrating {
			migrating[id] = true
		}
	}
	if !slices.Equal(recorder.samples, want.samples) {
		rt.Fatalf("reported %v, want %v", recorder.samples, want.samples)
	}
	for id := range want.migrating {
		if !migrating[id] {
			rt.Fatalf("no migration of flow %s was requested; requested were %v", id, slices.Sorted(maps.Keys(migrating)))
		}
	}
	return len(want.samples)
}

// A check allocates nothing for flows and servers that are on time, and looks at none of them, however many there are.
func TestLatencyCheckSkipsServersOnTime(t *testing.T) {
	for _, size := range []struct{ servers, flows int }{{60, 100}, {1000, 6000}} {
		r := routerWithFlows(t, size.servers, size.flows)
		r.mu.Lock()
		allocations := testing.AllocsPerRun(10, func() { r.checkLatencies(time.Since(r.startedAt)) })
		suspects := len(r.latency.suspects)
		r.mu.Unlock()
		if allocations > 0 || suspects > 0 {
			t.Errorf("%d servers and %d flows on time: %v allocations, %d suspects", size.servers, size.flows, allocations, suspects)
		}
	}
}
