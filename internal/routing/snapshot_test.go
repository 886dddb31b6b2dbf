package routing

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hostileNumbers are numbers that a faulty server or list may send.
var hostileNumbers = []float64{0, 1, -1, 1e-300, 1e9, 1e15, 1e300, math.MaxFloat64, -math.MaxFloat64,
	math.Inf(1), math.Inf(-1), math.NaN()}

// Guards against a hand-over that fails because of one unsound figure from a server or a list: whatever arrived, the
// state can be encoded, another router accepts it, and hands over the same again.
func TestSnapshotOfUnsoundFiguresIsAccepted(t *testing.T) {
	number := rapid.SampledFrom(hostileNumbers)
	rapid.Check(t, func(rt *rapid.T) {
		r := newRouter(t, true, rapid.Bool().Draw(rt, "latencies too"), "a", "b", "c")
		name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		var flows []*Flow
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				update := r.BeginUpdate(rapid.SampledFrom([]UpdateKind{DeltaUpdate, FullUpdate}).Draw(rt, "kind"))
				for range rapid.IntRange(0, 3).Draw(rt, "entries") {
					update.AddEndpoint(Endpoint{
						Name:      name.Draw(rt, "name"),
						Zone:      "z",
						Cell:      rapid.Int().Draw(rt, "cell"),
						Size:      number.Draw(rt, "size"),
						Readiness: rapid.SampledFrom([]Readiness{Ready, Draining, Gone}).Draw(rt, "readiness"),
						StartedAt: time.UnixMilli(rapid.Int64().Draw(rt, "started")),
					})
				}
				update.Commit(context.Background())
			case 1, 2:
				f, err := r.AdoptFlow(FlowRequest{Service: "live", Group: "g"}, "a", FlowTiming{})
				if err != nil {
					rt.Fatal(err)
				}
				flows = append(flows, f)
			case 3:
				if len(flows) > 0 {
					rapid.SampledFrom(flows).Draw(rt, "flow").OnServerMetric(number.Draw(rt, "metric"))
				}
			default:
				r.onHealthCheck(r.serverIDs["a"], OK, number.Draw(rt, "load"))
				f, _ := r.OpenFlow(FlowRequest{Service: "live", Timeout: sec})
				f.Abandon()
				r.startedAt = r.startedAt.Add(-rapid.SampledFrom([]time.Duration{ms, sec, 10 * sec}).Draw(rt, "elapsed"))
			}
		}
		first := handOver(t, rt, r)
		handOver(t, rt, first)
	})
}

// handOver hands a router's state over to a new one, as JSON.
func handOver(t *testing.T, rt *rapid.T, from *Router) *Router {
	text, err := json.Marshal(from.Snapshot())
	if err != nil {
		rt.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		rt.Fatal(err)
	}
	if err := snapshot.Validate(); err != nil {
		rt.Fatalf("%v: %s", err, text)
	}
	to := newRouter(t, true, true)
	to.Restore(snapshot)
	return to
}

// Guards against a hand-over that becomes too large as servers come and go: those that are gone are not handed over,
// unless flows are open there or operators disabled them.
func TestSnapshotOmitsGoneServers(t *testing.T) {
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	r := newRouter(t, false, false, names...)
	if _, err := r.AdoptFlow(FlowRequest{Service: "live"}, "s7", FlowTiming{}); err != nil {
		t.Fatal(err)
	}
	if err := r.SetDisabled("s9", true); err != nil {
		t.Fatal(err)
	}
	commitEndpoints(r, FullUpdate, Ready, "s1")
	var got []string
	for _, endpoint := range r.Snapshot().Servers {
		got = append(got, endpoint.Name)
	}
	slices.Sort(got)
	if want := []string{"s1", "s7", "s9"}; !slices.Equal(got, want) {
		t.Errorf("%d servers are handed over, want %v: %v", len(got), want, got)
	}
}

// Guards against a process that crashes as it hands over, because another balancer has reported the load of a server that
// no list of this balancer has named.
func TestLoadReportOfUnlistedServer(t *testing.T) {
	r := newRouter(t, false, false, "a")
	r.WithLock(func() {
		r.OnLoadReport(ServerID("unlisted"), 0.5)
		r.OnLoadReport(ServerID("a"), 0.7)
	})
	servers := r.Snapshot().Decisions.Servers
	if len(servers) != 1 || servers[0].ReportedLoad != 0.7 {
		t.Errorf("handed over are %+v, want the listed server with its load", servers)
	}
	commitEndpoints(r, FullUpdate, Ready, "a", "unlisted")
	if n := len(r.Snapshot().Decisions.Servers); n != 2 {
		t.Errorf("%d servers are handed over once the other one is listed, want 2", n)
	}
}
