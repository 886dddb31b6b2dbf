package scale

import (
	"context"
	"math"
	"reflect"
	"testing"
)

// growthBound bounds the growth of a counted quantity from the smallest to the largest size: its value grows at most
// with the size to the power of maxExponent.
type growthBound struct {
	series      string
	maxExponent float64
}

const (
	tolerance = 0.05 // of an exponent, for the growth of slices and maps in steps, and for random samples

	// A decision evaluates a bounded number of candidates. Some of them coincide among 150 servers, hardly any among
	// thousands, so the number of distinct candidates grows a little.
	distinctCandidatesGrowth = 0.15
)

// shortSweeps are short forms of the sweeps, with bounds on their growth. Except in the sweep balancers, lists have more
// servers than decide fullScanServers, so decisions evaluate only a part of them.
var shortSweeps = []struct {
	settings Settings
	bounds   []growthBound
}{
	{
		Settings{
			Sweep:       "placement",
			Against:     keyServers,
			Sizes:       []int{150, 400, 1200, 4000, 15_000},
			Connections: 6000,
			Groups:      300,
			Zones:       25,
		},
		[]growthBound{{"placement.servers-looked-at.by-servers", distinctCandidatesGrowth}, {"placement.allocations.by-servers", 0.1}},
	},
	{
		Settings{Sweep: "placement", Against: keyConnections, Sizes: []int{800, 2500, 8000, 25_000}, Servers: 400, Groups: 300, Zones: 25},
		[]growthBound{
			{"placement.servers-looked-at.by-connections-at-400-servers", 0},
			{"placement.allocations.by-connections-at-400-servers", 0.1},
		},
	},
	{
		Settings{Sweep: "rechecks", Against: keyServers, Sizes: []int{150, 400, 1200, 4000}, Connections: 2500, Groups: 300, Zones: 25},
		[]growthBound{{"rechecks.servers-looked-at.by-servers", distinctCandidatesGrowth}, {"rechecks.allocations.by-servers", 0}},
	},
	{
		Settings{Sweep: "rechecks", Against: keyConnections, Sizes: []int{800, 2500, 8000, 25_000}, Servers: 200, Groups: 300, Zones: 25},
		[]growthBound{{"rechecks.servers-looked-at.by-connections-at-200-servers", 1}, {"rechecks.allocations.by-connections-at-200-servers", 0}},
	},
	{
		Settings{Sweep: "list", Against: keyServers, Sizes: []int{150, 400, 1000, 2500}, Zones: 25},
		[]growthBound{
			{"list.memory.by-servers", 1},
			{"list.routed-memory.by-servers", 1},
			{"list.parse-bytes.by-servers", 1},
			{"list.change-allocations.by-servers", 0.1},
		},
	},
	{
		Settings{Sweep: "groups", Against: keyGroups, Sizes: []int{20, 60, 200, 600, 2000}, Servers: 200, Connections: 4000, Zones: 25},
		[]growthBound{{"groups.memory.by-groups-at-200-servers", 0.2}, {"groups.servers-a-group.by-groups-at-200-servers", 0}},
	},
	{
		Settings{Sweep: "balancers", Against: keyBalancers, Sizes: []int{10, 30, 100}, Servers: 30, Connections: 30, Groups: 500, Zones: 5},
		[]growthBound{{"balancers.memory.by-balancers-at-30-servers", 0}, {"balancers.unevenness.by-balancers-at-30-servers", 0}},
	},
	{
		Settings{Sweep: "topic", Against: keyBalancers, Sizes: []int{3, 10, 30}, Servers: 150, Connections: 1130, Groups: 150, Zones: 5},
		[]growthBound{{"topic.unevenness.by-balancers-at-150-servers", 0}, {"topic.share-of-the-fullest.by-balancers-at-150-servers", 0}},
	},
}

// The counted quantities of each sweep grow within their bounds. They are not read from a clock, so a busy machine does not
// change them.
func TestGrowthStaysWithinItsBound(t *testing.T) {
	for _, short := range shortSweeps {
		short.settings.Seed = 1
		series, checks, err := sweeps[short.settings.Sweep](t.Context(), short.settings, noProgress)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range checks {
			if !c.Passed {
				t.Errorf("%s: failed check %q: %s", short.settings.Sweep, c.Name, c.Detail)
			}
		}
		for _, bound := range short.bounds {
			points := pointsNamed(t, series, bound.series)
			if exponent := growthExponent(points); exponent > bound.maxExponent+tolerance {
				t.Errorf("%s grows with exponent %.2f, want at most %g: %v", bound.series, exponent, bound.maxExponent, points)
			}
		}
	}
}

func pointsNamed(t *testing.T, all []Series, name string) []Point {
	t.Helper()
	for _, s := range all {
		if s.Name == name {
			if !s.Counted {
				t.Errorf("%s is read from a clock, not counted", name)
			}
			return s.Points
		}
	}
	t.Fatalf("no series %s", name)
	return nil
}

// growthExponent returns the power of the size with which a quantity grows from the first point to the last. Values
// below one count as one.
func growthExponent(points []Point) float64 {
	first, last := points[0], points[len(points)-1]
	return math.Log(max(last.Value, 1)/max(first.Value, 1)) / math.Log(last.Size/first.Size)
}

// Counted quantities other than memory and allocations are the same for the same seed.
func TestSweepsAreDeterministic(t *testing.T) {
	for _, s := range []Settings{
		{Sweep: "placement", Against: keyServers, Sizes: []int{20, 200}, Connections: 400, Groups: 30, Zones: 5, Seed: 3},
		{Sweep: "rechecks", Against: keyServers, Sizes: []int{20, 200}, Connections: 400, Groups: 30, Zones: 5, Seed: 3},
		{Sweep: "groups", Against: keyGroups, Sizes: []int{20, 200}, Servers: 200, Connections: 400, Zones: 5, Seed: 3},
		{Sweep: "balancers", Against: keyBalancers, Sizes: []int{2, 6}, Servers: 20, Connections: 30, Groups: 50, Zones: 5, Seed: 3},
		{Sweep: "topic", Against: keyBalancers, Sizes: []int{2, 6}, Servers: 30, Connections: 300, Groups: 50, Zones: 5, Seed: 3},
		{Sweep: "lost-zone", Against: keyConnections, Sizes: []int{20, 60}, Balancers: 5, Servers: 150, Groups: 50, Zones: 5, Seed: 3},
	} {
		run := func() (counted []Series) {
			series, _, err := sweeps[s.Sweep](t.Context(), s, noProgress)
			if err != nil {
				t.Fatal(err)
			}
			for _, one := range series {
				if one.Counted && one.Unit != unitAllocations && one.Unit != "bytes" {
					counted = append(counted, one)
				}
			}
			return counted
		}
		if first, second := run(), run(); len(first) == 0 || !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs with one seed yielded %+v and %+v", s.Sweep, first, second)
		}
	}
}

func TestDecisionSweepsStopWithTheirContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	for _, short := range shortSweeps {
		if _, _, err := sweeps[short.settings.Sweep](ctx, short.settings, noProgress); err == nil {
			t.Errorf("%s returned no error, though its context was cancelled", short.settings.Sweep)
		}
	}
}
