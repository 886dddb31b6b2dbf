package scale

import (
	"maps"
	"slices"
	"strings"
)

const faultPrefix = "faults."

// faultQuantities are the series of a fault, in the order of the table's columns.
var faultQuantities = []string{"cut", "turned-away", "back-after", "slowest-setup", "unserved"}

// faultsTable shows the results of each fault of a simulated fleet at its largest size.
func (p *page) faultsTable() *table {
	t := newTable("fault", "at, a balancer", "clients disconnected", "rejected or aborted", "99 in 100 established again after",
		"longest setup", "without a connection at the end", "the four invariants", "origin")
	for _, name := range p.faultNames() {
		t.addRow(p.faultRow(name)...)
	}
	return t
}

// faultNames returns the names of the faults in the reports.
func (p *page) faultNames() (names []string) {
	for _, name := range slices.Concat(slices.Collect(maps.Keys(p.current.series)), slices.Collect(maps.Keys(p.baseline.series))) {
		if rest, ok := strings.CutPrefix(name, faultPrefix); ok {
			fault, _, _ := strings.Cut(rest, ".")
			names = append(names, fault)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// faultRow returns the cells of a fault's row. The last cell is the origin of the number of disconnected clients.
func (p *page) faultRow(fault string) []string {
	size, against := 0.0, ""
	var cells []string
	disconnected := figure{}
	for i, quantity := range faultQuantities {
		found := p.faultSeries(fault, quantity)
		if found == nil {
			cells = append(cells, notMeasured)
			continue
		}
		size, against = found.largestSize(), found.Against
		value := p.valueAt(seriesName(found.Name), size)
		cells = append(cells, show(value.value, shownUnit(value.unit)))
		if i == 0 {
			disconnected = value
		}
	}
	row := append([]string{fault, digits(size) + " " + against}, cells...)
	return append(row, p.invariantsCell(fault), disconnected.Origin())
}

// shownUnit omits the units that the table's header states: only seconds are shown.
func shownUnit(u unit) unit {
	if u == inSeconds {
		return u
	}
	return inCount
}

// faultSeries returns the series of a quantity of a fault, of the current code or else of the baseline.
func (p *page) faultSeries(fault, quantity string) *reportedSeries {
	prefix := faultPrefix + fault + "." + quantity + "."
	for _, reports := range []*reportSet{p.current, p.baseline} {
		for _, name := range slices.Sorted(maps.Keys(reports.series)) {
			if strings.HasPrefix(name, prefix) {
				return reports.series[name]
			}
		}
	}
	return nil
}

// invariantsCell states in how many runs of a fault an invariant was violated.
func (p *page) invariantsCell(fault string) string {
	runs, violated := faultRuns(p.current, fault)
	if runs == 0 {
		runs, violated = faultRuns(p.baseline, fault)
	}
	all := digits(float64(runs))
	switch {
	case runs == 0:
		return notMeasured
	case violated == 0:
		return "held in " + all + " of " + all + " runs"
	default:
		return "**violated** in " + digits(float64(violated)) + " of " + all + " runs"
	}
}

// faultRuns counts the checked runs of a fault, and those that violated an invariant.
func faultRuns(reports *reportSet, fault string) (runs, violated int) {
	for _, r := range reports.reports {
		for _, check := range r.checks {
			if !strings.HasPrefix(check.Name, fault+", ") {
				continue
			}
			runs++
			if !check.Passed {
				violated++
			}
		}
	}
	return runs, violated
}
