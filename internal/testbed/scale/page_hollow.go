package scale

import (
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	agreed      = 0.20        // apart at the most, of the real figure
	modelSuffix = "-of-model" // of a series that stands beside one of real engines
	busyEngines = "the machine was too busy at that size: engines that answer late are suspected, probed by others and asked anew"
	unexplained = "not traced" // why two figures are apart
)

// heldAgainst is a quantity of hollow balancers beside the same of real processes.
type heldAgainst struct {
	what   string
	hollow slope
	real   slope
	less   string // why the hollow one may be far below the real one, where that is known
	more   string // why it may be far above
}

// hollowTable has hollow and real figures at the sizes of the real ones that the hollow ones reach over.
func (p *page) hollowTable() *table {
	t := newTable("quantity", "at", "hollow", "real", "hollow over real", "apart by more than 20 %")
	for _, pair := range append(p.comparedPairs(), p.modelPairs()...) {
		for _, point := range p.after.series[pair.real.name].Points {
			hollow, realFigure := p.at(pair.hollow, point.Size), p.at(pair.real, point.Size)
			if hollow.value == 0 && realFigure.value == 0 {
				continue // the smallest size of a growth
			}
			ratio := hollow.value / realFigure.value
			at := digits(point.Size) + " " + p.after.series[pair.real.name].Against
			t.row(pair.what, at, hollow.String(), realFigure.String(), digits(ratio), pair.apart(ratio))
		}
	}
	return t
}

// comparedPairs are those of the sweep that measures real processes and hollow balancers side by side.
func (p *page) comparedPairs() (pairs []heldAgainst) {
	for _, c := range comparisons {
		hollow, realSlope := slope{name: "compare." + c.name + ".hollow"}, slope{name: "compare." + c.name + ".real"}
		if p.after.series[hollow.name] != nil && p.after.series[realSlope.name] != nil {
			pairs = append(pairs, heldAgainst{what: c.quantity, hollow: hollow, real: realSlope, less: c.less, more: c.more})
		}
	}
	return pairs
}

// apart says why two figures differ, where they differ by much.
func (h heldAgainst) apart(ratio float64) string {
	why := h.more
	if ratio < 1 {
		why = h.less
	}
	switch {
	case math.Abs(ratio-1) <= agreed:
		return "no"
	case why != "":
		return why
	default:
		return unexplained
	}
}

// modelPairs are the series of real engines that have the model's beside them.
func (p *page) modelPairs() (pairs []heldAgainst) {
	for _, name := range slices.Sorted(maps.Keys(p.after.series)) {
		of, isModel := strings.CutSuffix(name, modelSuffix)
		if isModel && p.after.series[of] != nil {
			pairs = append(pairs, heldAgainst{what: p.after.series[of].Quantity, hollow: slope{name, false}, real: slope{of, false}, less: busyEngines})
		}
	}
	return pairs
}
