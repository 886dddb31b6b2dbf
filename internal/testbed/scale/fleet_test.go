package scale

import (
	"context"
	"reflect"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// smallFaults are few connections with a short list, and with one of which decisions consider a part.
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
				t.Errorf("%s before %d servers: %s", one.name, s.Servers, broken)
			}
			if disturbs := one.name != "calm" && one.name != "two-lists" && one.name != "list-of-one"; disturbs && o.judgedFlows == 0 {
				t.Errorf("%s before %d servers: no flow came", one.name, s.Servers)
			}
			if one.name == "calm" && (o.judgedFlows > 0 || o.figures.migrated > 0) {
				t.Errorf("calm: %d flows came and %d were asked to move", o.judgedFlows, o.figures.migrated)
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
	if other := run(2); reflect.DeepEqual(first.figures, other.figures) {
		t.Error("seed 2 gave the same as seed 1")
	}
	if first.figures.disconnected == 0 || first.figures.recoveryQuantile(0.99) == 0 || first.unserved > 0 {
		t.Errorf("a lost zone cut %d, who stood again after %v but for %d",
			first.figures.disconnected, first.figures.recoveryQuantile(0.99), first.unserved)
	}
}

func TestFaultStopsWithItsContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := faults[0].run(ctx, smallFaults[0], 1); err == nil {
		t.Error("it went on")
	}
}

// violatedRules runs a fleet whose invariant checker, or whose balancers, announce changes the list, and returns the
// violated rules.
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

// The fleet feeds the invariant checker: rules are violated when balancers don't receive what the checker receives.
func TestInvariantCheckerObservesTheFleet(t *testing.T) {
	if broken := violatedRules(t, func(*fleet) {}); len(broken) > 0 {
		t.Errorf("rules %v broken though nothing was kept back", broken)
	}
	drained := violatedRules(t, func(f *fleet) {
		for _, b := range f.balancers {
			for _, s := range f.servers[:10] {
				b.observeListed(s.id, decide.Draining, s.since)
			}
		}
	})
	if !drained[invariants.DrainsRespected] {
		t.Errorf("rules %v broken by balancers that were not notified of drains", drained)
	}
	flooded := violatedRules(t, func(f *fleet) {
		for _, s := range f.servers {
			f.startServer(s)
			for _, b := range f.balancers {
				b.observeListed(s.id, decide.Ready, s.since)
			}
		}
		for _, s := range f.servers[1:] { // all that comes goes to the first, which they take for warm
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
		t.Errorf("rules %v broken by balancers that were not notified of cold servers", flooded)
	}
}
