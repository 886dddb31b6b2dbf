package scale

import (
	"context"
	"reflect"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// smallFaults are settings with few connections: one with a short list, and one with a list so long that decisions
// consider only a part of it.
var smallFaults = []Settings{
	{Balancers: 10, Servers: 20, Connections: 40, Groups: 50, Zones: 5},
	{Balancers: 5, Servers: 200, Connections: 120, Groups: 50, Zones: 5},
}

func TestFaultsViolateNoInvariant(t *testing.T) {
	for _, s := range smallFaults {
		for _, one := range faults {
			o, err := one.run(t.Context(), s, 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, broken := range o.violations[:min(len(o.violations), 3)] {
				t.Errorf("%s with %d servers: %s", one.name, s.Servers, broken)
			}
			if disturbs := one.name != "calm" && one.name != "two-lists" && one.name != "list-of-one"; disturbs && o.checkedFlows == 0 {
				t.Errorf("%s with %d servers: no flow was checked", one.name, s.Servers)
			}
			if one.name == "calm" && (o.checkedFlows > 0 || o.stats.migrated > 0) {
				t.Errorf("calm: %d flows were checked and %d migrated, want none", o.checkedFlows, o.stats.migrated)
			}
		}
	}
}

func TestFaultRunsAreDeterministic(t *testing.T) {
	zone := faults[1]
	run := func(seed uint64) faultOutcome {
		o, err := zone.run(t.Context(), smallFaults[0], seed)
		if err != nil {
			t.Fatal(err)
		}
		o.processor = 0
		return o
	}
	first := run(1)
	if second := run(1); !reflect.DeepEqual(first, second) {
		t.Errorf("seed 1 gave %+v and then %+v", first, second)
	}
	if other := run(2); reflect.DeepEqual(first.stats, other.stats) {
		t.Error("seed 2 gave the same as seed 1")
	}
	if first.stats.disconnected == 0 || first.stats.recoveryQuantile(0.99) == 0 || first.unserved > 0 {
		t.Errorf("a lost zone disconnected %d clients, 99 %% of them for up to %v, and left %d unserved; want some, above 0, and none",
			first.stats.disconnected, first.stats.recoveryQuantile(0.99), first.unserved)
	}
}

func TestFaultStopsWithItsContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := faults[0].run(ctx, smallFaults[0], 1); err == nil {
		t.Error("the run returned no error, though its context was cancelled")
	}
}

// violatedRules runs a fleet in which announce changes the list, and may do so differently for the invariant checker and
// for the balancers. It returns the violated rules.
func violatedRules(t *testing.T, announce func(*fleet)) map[invariants.Rule]bool {
	t.Helper()
	f := newFleet(smallFaults[0], smallFaults[0].Balancers, 1)
	f.schedule.at(faultAt, func() { announce(f) })
	for i := range 4000 {
		c := f.addClient(f.balancers[i%len(f.balancers)], i)
		f.schedule.at(time.Duration(i)*4*time.Millisecond, c.arrive)
	}
	f.run(20*time.Second, func() bool { return false })
	broken := map[invariants.Rule]bool{}
	for _, v := range f.violations() {
		broken[v.Rule] = true
	}
	return broken
}

// The fleet passes its events to the invariant checker: when balancers don't receive what the checker receives, the
// checker reports violations.
func TestInvariantCheckerObservesTheFleet(t *testing.T) {
	if broken := violatedRules(t, func(*fleet) {}); len(broken) > 0 {
		t.Errorf("rules %v violated, though the balancers received all updates", broken)
	}
	drained := violatedRules(t, func(f *fleet) {
		for _, b := range f.balancers {
			for _, s := range f.servers[:10] {
				b.observeListed(s.id, decide.Draining, s.since)
			}
		}
	})
	if !drained[invariants.DrainsRespected] {
		t.Errorf("rules %v violated by balancers that were not notified of drains, want DrainsRespected", drained)
	}
	flooded := violatedRules(t, func(f *fleet) {
		for _, s := range f.servers {
			f.startServer(s)
			for _, b := range f.balancers {
				b.observeListed(s.id, decide.Ready, s.since)
			}
		}
		for _, s := range f.servers[1:] { // all flows go to the first, which the balancers consider warm
			s.listedState = decide.Gone
		}
		list := entries(f.servers)
		list[0].since = invariants.LongAgo
		for _, b := range f.balancers {
			m := b.event()
			m.BeginEndpoints(decide.FullUpdate)
			m.OnEndpoint(decide.Endpoint{
				ID:        list[0].id,
				Zone:      zoneName(0),
				Size:      1,
				Readiness: decide.Ready,
				StartedAt: decide.LongAgo,
			})
			m.EndEndpoints()
		}
	})
	if !flooded[invariants.SlowStartRespected] {
		t.Errorf("rules %v violated by balancers that were not notified of cold servers, want SlowStartRespected", flooded)
	}
}
