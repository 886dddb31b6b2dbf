package scale

import (
	"strings"
	"testing"
)

// pageFrom returns a page of the given series of the baseline and of the current code, with the checks in both.
func pageFrom(t *testing.T, baseline, current []Series, checks ...Check) *page {
	t.Helper()
	read := func(file string, series []Series) *reportSet {
		reports := &reportSet{directory: "results", series: map[string]*reportedSeries{}}
		if err := reports.addReport(file, &Report{Experiment: strings.TrimSuffix(file, ".json"), Series: series, Checks: checks}); err != nil {
			t.Fatal(err)
		}
		return reports
	}
	return &page{baseline: read("before.json", baseline), current: read("after.json", current)}
}

func seriesOver(name, unit, against string, origin Origin, sizes []float64, value func(float64) float64) Series {
	return Series{Name: name, Unit: unit, Against: against, Origin: origin, Points: pointsOf(sizes, value)}
}

func checkRows(t *testing.T, made *table, want ...string) {
	t.Helper()
	text := made.String()
	for _, row := range want {
		if !strings.Contains(text, row+"\n") {
			t.Errorf("no row\n%s\nin\n%s", row, text)
		}
	}
}

func TestMechanismTable(t *testing.T) {
	sizes := []float64{60, 1000, 12800}
	line := func(slope float64) func(float64) float64 { return func(n float64) float64 { return slope * n } }
	p := pageFrom(t,
		[]Series{seriesOver("a", "µs", "servers", Measured, sizes, line(1)), seriesOver("b", "µs", "servers", Measured, sizes, line(1))},
		[]Series{seriesOver("a", "µs", "servers", Measured, sizes, line(0.1)), seriesOver("c", "µs", "servers", Measured, sizes, line(1))})
	checkRows(t, p.comparisonWithBaseline(),
		"| `a` | µs | 60 / 1,000 / 12,800 servers | 60 / 1,000 / 12,800 | 6 / 100 / 1,280 | 0.1 |",
		"| `b` | µs | 60 / 1,000 / 12,800 servers | 60 / 1,000 / 12,800 | not measured | – |")
	if rows := len(p.comparisonWithBaseline().rows); rows != 2 {
		t.Errorf("%d rows, want one for each series of the baseline", rows)
	}
}

func TestFaultsTable(t *testing.T) {
	sizes := []float64{50, 500}
	constant := func(value float64) func(float64) float64 { return func(float64) float64 { return value } }
	p := pageFrom(t, nil, []Series{
		seriesOver("faults.zone.cut.by-connections-at-100-servers", "clients", "connections", Simulated, sizes, constant(12)),
		seriesOver("faults.zone.back-after.by-connections-at-100-servers", "s", "connections", Simulated, sizes, constant(5.4)),
		seriesOver("faults.rack.cut.by-connections-at-100-servers", "clients", "connections", Simulated, sizes, constant(3)),
	},
		Check{Name: "zone, 50 connections a balancer: no rule is broken", Passed: true},
		Check{Name: "zone, 500 connections a balancer: no rule is broken", Passed: false, Detail: "one"},
		Check{Name: "rack, 50 connections a balancer: no rule is broken", Passed: true})
	checkRows(t, p.faultsTable(),
		"| rack | 500 connections | 3 | not measured | not measured | not measured | not measured | held in 1 of 1 runs | simulated |",
		"| zone | 500 connections | 12 | not measured | 5.4 s | not measured | not measured | **violated** in 1 of 2 runs | simulated |")
}

// Simulated and real figures are compared at the sizes of both, and differences of more than 20 % have a reason.
func TestSimulatedAgainstRealTable(t *testing.T) {
	sizes := []float64{60, 1000, 8000}
	of := func(name, unit string, value func(float64) float64) Series {
		return seriesOver(name, unit, "servers", Measured, sizes, value)
	}
	p := pageFrom(t, nil, []Series{
		of("compare.changes.hollow", "s", func(float64) float64 { return 60e-6 }),
		of("compare.changes.real", "s", func(float64) float64 { return 130e-6 }),
		of("compare.list-memory.hollow", "bytes", func(n float64) float64 { return 500 * (n - 60) }),
		of("compare.list-memory.real", "bytes", func(n float64) float64 { return 1000 * (n - 60) }),
		seriesOver("members-real.bytes", "bytes/s", "balancers", Measured, []float64{10, 200}, func(float64) float64 { return 100 }),
		seriesOver("members-real.bytes"+modelSuffix, "bytes/s", "balancers", Simulated, []float64{10, 200},
			func(float64) float64 { return 99 }),
	})
	made := p.simulatedAgainstRealTable()
	checkRows(t, made,
		"| processor time of a change of one entry, in a batch of twenty | 1,000 servers | 60 µs | 130 µs | 0.462 "+
			"| "+unknownReason+" |",
		"| memory that the list takes beyond that of the smallest size | 8,000 servers | 3.97 MB | 7.94 MB | 0.5 "+
			"| a heap grows to twice what lives on it before it is collected |")
	text := made.String()
	if strings.Count(text, "| 99 B/s | 100 B/s | 0.99 | no |") != 2 {
		t.Errorf("the model is not compared with the real engines at both sizes:\n%s", text)
	}
	if strings.Contains(text, "NaN") {
		t.Errorf("the table has a ratio of zero to zero:\n%s", text)
	}
	if p.err != nil {
		t.Error(p.err)
	}
}

// The table of control costs has a row for each part of control and number of servers. The table of each part of each role
// covers every situation.
func TestRolesAreComplete(t *testing.T) {
	p := pageFrom(t, nil, nil)
	if got, want := len(p.sizesTable().rows), len(controlParts)*len(serverCounts); got != want {
		t.Errorf("%d rows in the table of control costs, want %d", got, want)
	}
	for _, role := range p.roles() {
		if len(role.Parts) == 0 {
			t.Errorf("%s has no part", role.Name)
		}
		for _, part := range role.Parts {
			text := p.partTable(part)
			for _, s := range situations(likelyServers) {
				if !strings.Contains(text, s.name) && !strings.Contains(text, "| each |") {
					t.Errorf("%s, %s: no row for situation %q", role.Name, part.name, s.name)
				}
			}
		}
	}
}

// Without any series, no requirement has a known figure that is derived from a series.
func TestMissingMeasurementsAreMarked(t *testing.T) {
	p := pageFrom(t, nil, nil)
	for _, l := range p.requirements() {
		for _, v := range l.values {
			if v.known() && len(v.derivedFrom) > 0 {
				t.Errorf("%s is %s (%s), want %s without any series", l.quantity, v, v.Origin(), notMeasured)
			}
		}
	}
}
