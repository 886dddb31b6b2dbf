package scale

import (
	"math"
	"strings"
	"testing"
)

// Figures derived from the fleet's sizes match values computed by hand.
func TestDerivedFleetFigures(t *testing.T) {
	for _, c := range []struct {
		what  string
		got   float64
		shown string
	}{
		{"connections a balancer holds", connectionsPerBalancer, "79,012"},
		{"seconds between replacements", replacementSeconds, "37.6"},
		{"reconnects a second over the fleet", fleetReconnects, "2,103"},
		{"balancers of a zone", zoneBalancers, "324"},
		{"connections of a zone", zoneConnections, "25,600,000"},
		{"seconds between changes", changeInterval, "5.08"},
		{"messages a second for changes", changeMessages, "1,594"},
		{"changes missed in an hour", missedChanges, "708"},
		{"deliveries a second at each", deliveriesPerBalancer, "6,049"},
		{"listeners of the largest topic at each", listenersPerBalancer, "370"},
		{"health checks a second at each server", fleetBalancers / healthCheckRound, "540"},
		{"balancers a control machine", balancersPerMachine, "405"},
		{"share of a lost zone for each heir", zoneShare, "37,182"},
	} {
		if got := digits(c.got); got != c.shown {
			t.Errorf("%s: %s, want %s", c.what, got, c.shown)
		}
	}
	if all := zoneShare * zoneSuccessors; math.Abs(all-zoneConnections) > 1 {
		t.Errorf("the heirs of a zone take %v of %v", all, zoneConnections)
	}
	if seen := groupsPerBalancer(); seen > connectionsPerBalancer || seen < groupsPerRegion() {
		t.Errorf("%v groups seen by %v connections, %v of one region", seen, connectionsPerBalancer, groupsPerRegion())
	}
}

func TestDigits(t *testing.T) {
	for value, want := range map[float64]string{
		0:          "0",
		1:          "1",
		0.5:        "0.5",
		12.34:      "12.3",
		999.96:     "1,000",
		1234567:    "1,234,567",
		-1234.5:    "-1,234",
		0.00123456: "0.00123",
		1e-9:       "1.00e-09",
	} {
		if got := digits(value); got != want {
			t.Errorf("%v: %q, want %q", value, got, want)
		}
	}
}

func TestShow(t *testing.T) {
	for _, c := range []struct {
		value float64
		unit  unit
		want  string
	}{
		{64e6, inBytes, "64 MB"},
		{10_000, inTraffic, "10 KB/s"},
		{12, inBytes, "12 B"},
		{0.5, inBytes, "0.5 B"},
		{0.036, inCores, "3.6 % of a core"},
		{133e-6, inSeconds, "133 µs"},
		{3600, inSeconds, "3,600 s"},
		{0, inSeconds, "0 s"},
		{7200, inSeconds, "2 h"},
		{0.25, inShare, "25 %"},
		{0.1968, inRate, "0.197/s"},
		{3, "looks", "3 looks"},
	} {
		if got := show(c.value, c.unit); got != c.want {
			t.Errorf("%v %s: %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}

// A figure keeps measured, simulated and calculated origins apart, through all operations.
func TestFigureOrigins(t *testing.T) {
	measured := figure{value: 2, origin: Measured, series: []string{"a"}}
	simulated := figure{value: 3, origin: Simulated, series: []string{"b"}}
	absent := unmeasured("c")
	for _, c := range []struct {
		what   string
		figure figure
		value  float64
		origin string
	}{
		{"as it was", measured, 2, "measured"},
		{"times a size", measured.times(10, inCount), 20, "calculated from measured"},
		{"sum of both", measured.plus(simulated), 5, "calculated from measured, simulated"},
		{"product", measured.multipliedBy(simulated), 6, "calculated from measured, simulated"},
		{"ratio", simulated.dividedBy(measured, inCount), 1.5, "calculated from measured, simulated"},
		{"of the operators' sizes", calculated(7, inCount).plus(calculated(1, inCount)), 8, "calculated"},
		{"with one that is not there", measured.plus(absent), 2, notMeasured},
		{"that part left out", measured.plusIfKnown("part", absent), 2, "measured"},
	} {
		if c.figure.value != c.value || c.figure.Origin() != c.origin {
			t.Errorf("%s: %v, %s", c.what, c.figure.value, c.figure.Origin())
		}
	}
	if text := measured.plusIfKnown("part", absent).String(); !strings.Contains(text, "at least, without part") {
		t.Errorf("%q does not name the part that is left out", text)
	}
	if text := measured.plus(absent).String(); text != notMeasured {
		t.Errorf("got %q of a sum that is not known", text)
	}
}

// A series gives its value at a size, interpolates between neighbours and extrapolates by the fit, with the origin of
// each.
func TestFigureFromSeries(t *testing.T) {
	points := pointsOf(decades, func(n float64) float64 { return 10 + 2*n })
	points[2].Value *= 1.01
	fit, err := FitPoints(points)
	if err != nil {
		t.Fatal(err)
	}
	known := &reportedSeries{Series: Series{Name: "one", Unit: "µs", Origin: Simulated, Points: points}, Fit: fit}
	old := &reportedSeries{Series: Series{Name: "two", Unit: "bytes", Origin: Measured, Points: points}, Fit: fit}
	p := &page{
		current:  &reportSet{series: map[string]*reportedSeries{"one": known}},
		baseline: &reportSet{series: map[string]*reportedSeries{"one": old, "two": old}},
	}
	if got := p.valueAt("two", decades[0]); got.Origin() != "measured; **before the bounded candidates**" {
		t.Errorf("a series of before alone: %s", got.Origin())
	}
	for _, c := range []struct {
		size, want float64
		origin     string
	}{
		{decades[2], points[2].Value * microsecond, "simulated"},
		{2000, (points[3].Value + points[4].Value) / 2 * microsecond, "simulated"},
		{50_000, fit.At(50_000) * microsecond, "calculated from simulated"},
	} {
		got := p.valueAt("one", c.size)
		near(t, digits(c.size), got.value, c.want, 1e-9)
		if got.Origin() != c.origin || got.unit != inSeconds {
			t.Errorf("%v: %s, %s", c.size, got.Origin(), got.unit)
		}
	}
	// Outside of the range a figure states the error of its fit.
	known.Points[len(points)-1].Value *= 3
	if known.Fit, err = FitPoints(known.Points); err != nil {
		t.Fatal(err)
	}
	near(t, "between neighbours", p.valueAt("one", 9400).value, (points[5].Value+points[6].Value)/2*microsecond, 1e-9)
	want := "misses the largest point by " + show(known.Fit.absoluteError(), inShare)
	if text := p.valueAt("one", 50_000).Origin(); known.Fit.absoluteError() < 0.6 || !strings.Contains(text, want) {
		t.Errorf("%q does not say that its fit %s", text, want)
	}
}

func TestVerdicts(t *testing.T) {
	partlyKnown := func(known float64) figure { return calculated(known, inCount).plusIfKnown("p", unmeasured("x")) }
	for _, c := range []struct {
		what   string
		limit  requirement
		want   verdict
		ratio  string
		listed bool
	}{
		{"under", requirement{bound: calculated(10, inCount), values: single(calculated(5, inCount)), mechanism: "m"},
			verdictHolds, "0.5", false},
		{"over", requirement{bound: calculated(10, inCount), values: single(calculated(50, inCount)), mechanism: "m"},
			verdictBreaks, "5", true},
		{"both",
			requirement{bound: calculated(10, inCount), values: []variant{{"a", calculated(5, inCount)}, {"b", calculated(20, inCount)}}},
			verdictPartly, "0.5 / 2", true},
		{"not there", requirement{bound: calculated(10, inCount), values: single(unmeasured("x")), mechanism: "m"},
			verdictUnknown, notMeasured, false},
		{"not there and nothing carries it", requirement{bound: calculated(10, inCount), values: single(unmeasured("x"))},
			verdictUnknown, notMeasured, true},
		{"under, a part left out",
			requirement{bound: calculated(10, inCount), values: single(partlyKnown(5)), mechanism: "m"},
			verdictUnknown, "0.5 at least", false},
		{"over, a part left out",
			requirement{bound: calculated(10, inCount), values: single(partlyKnown(50)), mechanism: "m"},
			verdictBreaks, "5 at least", true},
		{"no bound", requirement{values: single(calculated(5, inCount))}, verdictUnbounded, "–", false},
		{"a bound that is not known", requirement{bound: unmeasured("x"), values: single(calculated(5, inCount)), mechanism: "m"},
			verdictUnknown, "–", false},
		{"never", requirement{bound: calculated(1, inCount), infeasible: true, values: single(calculated(5, inCount))},
			verdictNever, "5", false},
	} {
		if got := c.limit.verdict(); got != c.want {
			t.Errorf("%s: %s, want %s", c.what, got, c.want)
		}
		if got := c.limit.ratioText(); got != c.ratio {
			t.Errorf("%s: ratio %q, want %q", c.what, got, c.ratio)
		}
		if got := c.limit.isUnmet(); got != c.listed {
			t.Errorf("%s: listed as missing: %v", c.what, got)
		}
	}
}

// Unmet requirements are sorted by decreasing excess, unknown ones last.
func TestUnmetRequirementsAreSorted(t *testing.T) {
	absent := &reportSet{series: map[string]*reportedSeries{}}
	p := &page{current: absent, baseline: absent}
	list := p.unmetRequirements()
	if len(list) < 2 {
		t.Fatalf("%d limits are missing", len(list))
	}
	for i := range list[1:] {
		if list[i].excess() < list[i+1].excess() {
			t.Errorf("%s (%v) before %s (%v)", list[i].quantity, list[i].excess(), list[i+1].quantity, list[i+1].excess())
		}
	}
}

func TestTableEscapesColumns(t *testing.T) {
	made := newTable("a", "b")
	made.row("x | y", "z")
	want := "| a | b |\n| --- | --- |\n| x \\| y | z |\n"
	if got := made.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
