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

// latencySample is one as the decisions got it.
type latencySample struct {
	flow  decide.FlowID
	delay time.Duration
}

// sampleRecorder passes everything on to the decisions and records their latency samples.
type sampleRecorder struct {
	constraints.Balancer
	samples []latencySample
}

func (r *sampleRecorder) OnLatencySample(id decide.FlowID, delay time.Duration) {
	r.samples = append(r.samples, latencySample{id, delay})
	r.Balancer.OnLatencySample(id, delay)
}

// checkModel is what a check does, computed from all flows and all servers.
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
	delays := m.waits[s]
	for i, at := range s.roundTrips.receivedAt {
		if now-at < roundTripMaxAge {
			delays = append(delays, s.roundTrips.durations[i])
		}
	}
	if !hasFlows || len(delays) == 0 {
		return
	}
	slices.Sort(delays)
	median := delays[len(delays)/2]
	reportedAt := s.roundTrips.reportedAt
	hasRecovered := median <= threshold && reportedAt != 0
	isDue := reportedAt == 0 || now-reportedAt >= latencySampleInterval-latencyCheckInterval/2
	if hasRecovered || median > threshold && isDue {
		m.samples = append(m.samples, latencySample{id, median})
	}
}

// A check reports the late servers and asks the clients to reconnect that the model names.
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
					rapid.SampledFrom(names).Draw(rt, "server"))
				if err != nil {
					rt.Fatal(err)
				}
				established = append(established, f)
			case event <= 3:
				rapid.SampledFrom(established).Draw(rt, "asks").OnRequest()
			case event <= 5:
				rapid.SampledFrom(established).Draw(rt, "hears").OnReply()
			case event == 6:
				i := rapid.IntRange(0, len(established)-1).Draw(rt, "ends")
				established[i].OnEnded(Cancelled)
				established[i].OnRequest() // a last line may cross its end
				established = slices.Delete(established, i, i+1)
			default:
				passes := rapid.SampledFrom([]time.Duration{10 * ms, 90 * ms, 250 * ms, 990 * ms, 3 * sec, 20 * sec}).Draw(rt, "passes")
				r.startedAt = r.startedAt.Add(-passes)
				if rapid.Bool().Draw(rt, "looks") { // lines may come and go between two checks
					reported += checkAgainstModel(rt, r, recorder)
				}
			}
		}
		rt.Logf("%d samples", reported)
	})
}

// checkAgainstModel runs one check and returns how many samples it reported.
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
			rt.Fatalf("%s was not asked to come again; asked are %v", id, slices.Sorted(maps.Keys(migrating)))
		}
	}
	return len(want.samples)
}

// Flows and servers that are on time cost a check nothing, however many there are.
func TestLatencyCheckCostsOnlyLateServers(t *testing.T) {
	for _, size := range []struct{ servers, flows int }{{60, 100}, {1000, 6000}} {
		r := routerWithFlows(t, size.servers, size.flows)
		r.mu.Lock()
		allocations := testing.AllocsPerRun(10, func() { r.checkLatencies(time.Since(r.startedAt)) })
		suspects := len(r.latency.suspects)
		r.mu.Unlock()
		if allocations > 0 || suspects > 0 {
			t.Errorf("%d servers and %d flows on time: %v allocations, %d servers looked at", size.servers, size.flows, allocations, suspects)
		}
	}
}
