package scale

import (
	"math"
	"strings"
	"testing"
)

// Figures derived from the fleet's sizes match values calculated by hand.
func TestDerivedFleetFigures(t *testing.T) {
	for _, c := range []struct {
		what  string
		got   float64
		shown string
	}{
		{"connections of a balancer", connectionsPerBalancer, "79,012"},
		{"seconds between replacements", replacementInterval, "37.6"},
		{"reconnects a second over the fleet", fleetReconnectRate, "2,103"},
		{"balancers of a zone", zoneBalancers, "324"},
		{"connections of a zone", zoneConnections, "25,600,000"},
		{"seconds between changes", changeInterval, "5.08"},
		{"messages a second for changes", changeMessageRate, "1,594"},
		{"changes missed in an hour", missedChanges, "708"},
		{"deliveries a second at each balancer", deliveryRatePerBalancer, "6,049"},
		{"listeners of the largest topic at each balancer", listenersPerBalancer, "370"},
		{"health checks a second at each server", fleetBalancers / healthCheckRound, "540"},
		{"balancers for each control machine", balancersPerControlMachine, "405"},
		{"connections of a lost zone for each surviving balancer", zoneTakeover, "37,182"},
	} {
		if got := digits(c.got); got != c.shown {
			t.Errorf("%s: %s, want %s", c.what, got, c.shown)
		}
	}
	if taken := zoneTakeover * zoneSurvivors; math.Abs(taken-zoneConnections) > 1 {
		t.Errorf("the surviving balancers take over %v connections of a lost zone, want %v", taken, zoneConnections)
	}
	if groups := groupsPerBalancer(); groups > connectionsPerBalancer || groups < groupsPerBalancerInRegion() {
		t.Errorf("%v groups at a balancer, want at most its %v connections and at least %v, the number if groups are of one region",
			groups, connectionsPerBalancer, groupsPerBalancerInRegion())
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

// Each operation on figures keeps measured, simulated and calculated origins distinct.
func TestFigureOrigins(t *testing.T) {
	measured := figure{value: 2, origin: Measured, series: []string{"a"}}
	simulated := figure{value: 3, origin: Simulated, series: []string{"b"}}
	missing := unmeasured("c")
	for _, c := range []struct {
		what   string
		figure figure
		value  float64
		origin string
	}{
		{"unchanged", measured, 2, "measured"},
		{"multiplied by a number", measured.times(10, inCount), 20, "calculated from measured"},
		{"sum", measured.plus(simulated), 5, "calculated from measured, simulated"},
		{"product", measured.multipliedBy(simulated), 6, "calculated from measured, simulated"},
		{"ratio", simulated.dividedBy(measured, inCount), 1.5, "calculated from measured, simulated"},
		{"sum of calculated figures", calculated(7, inCount).plus(calculated(1, inCount)), 8, "calculated"},
		{"sum with an unmeasured figure", measured.plus(missing), 2, notMeasured},
		{"sum without an unmeasured part", measured.plusIfKnown("part", missing), 2, "measured"},
	} {
		if c.figure.value != c.value || c.figure.Origin() != c.origin {
			t.Errorf("%s: value %v, origin %q, want %v, %q", c.what, c.figure.value, c.figure.Origin(), c.value, c.origin)
		}
	}
	if text := measured.plusIfKnown("part", missing).String(); !strings.Contains(text, "at least, without part") {
		t.Errorf("%q does not name the omitted part", text)
	}
	if text := measured.plus(missing).String(); text != notMeasured {
		t.Errorf("a sum with an unmeasured figure is shown as %q, want %q", text, notMeasured)
	}
}

// The value of a series at a size is that of the measured point, or is interpolated between neighbouring points, or is
// extrapolated by the fit. An extrapolated value states "calculated" as its origin.
func TestFigureFromSeries(t *testing.T) {
	points := pointsOf(testSizes, func(n float64) float64 { return 10 + 2*n })
	points[2].Value *= 1.01
	fit, err := FitPoints(points)
	if err != nil {
		t.Fatal(err)
	}
	current := &reportedSeries{Series: Series{Name: "one", Unit: "µs", Origin: Simulated, Points: points}, Fit: fit}
	baseline := &reportedSeries{Series: Series{Name: "two", Unit: "bytes", Origin: Measured, Points: points}, Fit: fit}
	p := &page{
		current:  &reportSet{series: map[string]*reportedSeries{"one": current}},
		baseline: &reportSet{series: map[string]*reportedSeries{"one": baseline, "two": baseline}},
	}
	if got := p.valueAt("two", testSizes[0]); got.Origin() != "measured; **before the bounded candidates**" {
		t.Errorf("the origin of a series that only the baseline has is %q, want measured before the bounded candidates", got.Origin())
	}
	for _, c := range []struct {
		size, want float64
		origin     string
	}{
		{testSizes[2], points[2].Value * microsecond, "simulated"},
		{2000, (points[3].Value + points[4].Value) / 2 * microsecond, "simulated"},
		{50_000, fit.At(50_000) * microsecond, "calculated from simulated"},
	} {
		got := p.valueAt("one", c.size)
		checkNear(t, digits(c.size), got.value, c.want, 1e-9)
		if got.Origin() != c.origin || got.unit != inSeconds {
			t.Errorf("size %v: origin %q, unit %q, want %q, %q", c.size, got.Origin(), got.unit, c.origin, inSeconds)
		}
	}
	// Outside the range of sizes, a figure states the error of its fit if that is above poorFitError.
	current.Points[len(points)-1].Value *= 3
	if current.Fit, err = FitPoints(current.Points); err != nil {
		t.Fatal(err)
	}
	checkNear(t, "between two points", p.valueAt("one", 9400).value, (points[5].Value+points[6].Value)/2*microsecond, 1e-9)
	want := "misses the largest point by " + show(current.Fit.absHeldOutError(), inShare)
	if text := p.valueAt("one", 50_000).Origin(); current.Fit.absHeldOutError() < 0.6 || !strings.Contains(text, want) {
		t.Errorf("%q does not state that the fit %s", text, want)
	}
}

func TestVerdicts(t *testing.T) {
	partlyKnown := func(known float64) figure { return calculated(known, inCount).plusIfKnown("p", unmeasured("x")) }
	for _, c := range []struct {
		what        string
		requirement requirement
		want        verdict
		ratio       string
		unmet       bool
	}{
		{"under", requirement{bound: calculated(10, inCount), values: single(calculated(5, inCount)), mechanism: "m"},
			verdictHolds, "0.5", false},
		{"over", requirement{bound: calculated(10, inCount), values: single(calculated(50, inCount)), mechanism: "m"},
			verdictFails, "5", true},
		{"over for one variant",
			requirement{bound: calculated(10, inCount), values: []variant{{"a", calculated(5, inCount)}, {"b", calculated(20, inCount)}}},
			verdictPartly, "0.5 / 2", true},
		{"unmeasured", requirement{bound: calculated(10, inCount), values: single(unmeasured("x")), mechanism: "m"},
			verdictUnknown, notMeasured, false},
		{"unmeasured, no mechanism", requirement{bound: calculated(10, inCount), values: single(unmeasured("x"))},
			verdictUnknown, notMeasured, true},
		{"under, a part omitted",
			requirement{bound: calculated(10, inCount), values: single(partlyKnown(5)), mechanism: "m"},
			verdictUnknown, "0.5 at least", false},
		{"over, a part omitted",
			requirement{bound: calculated(10, inCount), values: single(partlyKnown(50)), mechanism: "m"},
			verdictFails, "5 at least", true},
		{"no bound", requirement{values: single(calculated(5, inCount))}, verdictUnbounded, "–", false},
		{"unmeasured bound", requirement{bound: unmeasured("x"), values: single(calculated(5, inCount)), mechanism: "m"},
			verdictUnknown, "–", false},
		{"infeasible", requirement{bound: calculated(1, inCount), infeasible: true, values: single(calculated(5, inCount))},
			verdictInfeasible, "5", false},
	} {
		if got := c.requirement.verdict(); got != c.want {
			t.Errorf("%s: %s, want %s", c.what, got, c.want)
		}
		if got := c.requirement.ratioText(); got != c.ratio {
			t.Errorf("%s: ratio %q, want %q", c.what, got, c.ratio)
		}
		if got := c.requirement.isUnmet(); got != c.unmet {
			t.Errorf("%s: unmet: %v, want %v", c.what, got, c.unmet)
		}
	}
}

// Unmet requirements are sorted by decreasing excess; those whose excess is unknown come last.
func TestUnmetRequirementsAreSorted(t *testing.T) {
	empty := &reportSet{series: map[string]*reportedSeries{}}
	p := &page{current: empty, baseline: empty}
	list := p.unmetRequirements()
	if len(list) < 2 {
		t.Fatalf("%d unmet requirements, want several", len(list))
	}
	for i := range list[1:] {
		if list[i].excess() < list[i+1].excess() {
			t.Errorf("%s (excess %v) is listed before %s (excess %v)", list[i].quantity, list[i].excess(), list[i+1].quantity, list[i+1].excess())
		}
	}
}

func TestTableEscapesColumns(t *testing.T) {
	made := newTable("a", "b")
	made.addRow("x | y", "z")
	want := "| a | b |\n| --- | --- |\n| x \\| y | z |\n"
	if got := made.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
