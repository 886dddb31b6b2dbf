package scale

import (
	"context"
	"reflect"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// smallFaults are few connections before a short list and before one that decisions look at in part.
var smallFaults = []Settings{
	{Balancers: 10, Servers: 20, Connections: 40, Groups: 50, Zones: 5},
	{Balancers: 5, Servers: 200, Connections: 120, Groups: 50, Zones: 5},
}

func TestNoFaultBreaksARule(t *testing.T) {
	for _, s := range smallFaults {
		for _, one := range faults {
			o, err := one.play(context.Background(), s, 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, broken := range o.broken[:min(len(o.broken), 3)] {
				t.Errorf("%s before %d servers: %s", one.name, s.Servers, broken)
			}
			if disturbs := one.name != "calm" && one.name != "two-lists" && one.name != "list-of-one"; disturbs && o.judged == 0 {
				t.Errorf("%s before %d servers: no flow came", one.name, s.Servers)
			}
			if one.name == "calm" && (o.judged > 0 || o.figures.moved > 0) {
				t.Errorf("calm: %d flows came and %d were asked to move", o.judged, o.figures.moved)
			}
		}
	}
}

func TestOneSeedGivesOneFault(t *testing.T) {
	zone := faults[1]
	play := func(seed uint64) outcome {
		o, err := zone.play(context.Background(), smallFaults[0], seed)
		if err != nil {
			t.Fatal(err)
		}
		o.processor = 0
		return o
	}
	first := play(1)
	if again := play(1); !reflect.DeepEqual(first, again) {
		t.Errorf("seed 1 gave %+v and then %+v", first, again)
	}
	if other := play(2); reflect.DeepEqual(first.figures, other.figures) {
		t.Error("seed 2 gave the same as seed 1")
	}
	if first.figures.cut == 0 || first.figures.backAfter(0.99) == 0 || first.unserved > 0 {
		t.Errorf("a lost zone cut %d, who stood again after %v but for %d", first.figures.cut, first.figures.backAfter(0.99), first.unserved)
	}
}

func TestFaultStopsWithItsContext(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if _, err := faults[0].play(ctx, smallFaults[0], 1); err == nil {
		t.Error("it went on")
	}
}

// brokenBy plays the list's news to the referee alone, or to the balancers with another content, and tells what broke.
func brokenBy(t *testing.T, tell func(*fleet)) map[invariants.Rule]bool {
	t.Helper()
	f := newFleet(smallFaults[0], smallFaults[0].Balancers, 1)
	f.schedule.at(faultAt, func() { tell(f) })
	for i := range 4000 {
		c := f.addClient(f.balancers[i%len(f.balancers)], i)
		f.schedule.at(time.Duration(i)*4*time.Millisecond, c.come)
	}
	f.run(20*time.Second, func() bool { return false })
	broken := map[invariants.Rule]bool{}
	for _, v := range f.finish() {
		broken[v.Rule] = true
	}
	return broken
}

// The drive shows the referee what it judges by: with balancers that are not told what it is told, rules break.
func TestCheckerSeesTheDriver(t *testing.T) {
	if broken := brokenBy(t, func(*fleet) {}); len(broken) > 0 {
		t.Errorf("rules %v broken though nothing was kept back", broken)
	}
	drained := brokenBy(t, func(f *fleet) {
		for _, b := range f.balancers {
			for _, s := range f.servers[:10] {
				b.told(s.id, decide.Draining, s.since)
			}
		}
	})
	if !drained[invariants.DrainsRespected] {
		t.Errorf("rules %v broken by balancers that were not told of drains", drained)
	}
	flooded := brokenBy(t, func(f *fleet) {
		for _, s := range f.servers {
			f.rise(s)
			for _, b := range f.balancers {
				b.told(s.id, decide.Ready, s.since)
			}
		}
		for _, s := range f.servers[1:] { // all that comes goes to the first, which they take for warm
			s.listed = decide.Gone
		}
		list := entries(f.servers)
		list[0].since = invariants.LongAgo
		for _, b := range f.balancers {
			m := b.event()
			m.BeginEndpoints(decide.FullUpdate)
			m.OnEndpoint(decide.Endpoint{ID: list[0].id, Zone: zoneName(0), Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
			m.EndEndpoints()
		}
	})
	if !flooded[invariants.SlowStartRespected] {
		t.Errorf("rules %v broken by balancers that were not told of cold servers", flooded)
	}
}
