package scale

import (
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	agreementTolerance    = 0.20        // apart at the most, of the real figure
	modelSuffix           = "-of-model" // of a series that stands beside one of real engines
	busyEngines           = "the machine was too busy at that size: engines that answer late are suspected, probed by others and asked anew"
	unexplainedDifference = "not traced" // why two figures are apart
)

// comparedPair is a quantity of hollow balancers beside the same of real processes.
type comparedPair struct {
	quantity  string
	simulated seriesReference
	real      seriesReference
	whyBelow  string // why the hollow one may be far below the real one, where that is known
	whyAbove  string // why it may be far above
}

// simulatedAgainstRealTable has hollow and real figures at the sizes of the real ones that the hollow ones reach over.
func (p *page) simulatedAgainstRealTable() *table {
	t := newTable("quantity", "at", "hollow", "real", "hollow over real", "apart by more than 20 %")
	for _, pair := range append(p.comparedPairs(), p.modelPairs()...) {
		for _, point := range p.current.series[pair.real.name].Points {
			simulated, realFigure := p.valueAt(pair.simulated, point.Size), p.valueAt(pair.real, point.Size)
			if simulated.value == 0 && realFigure.value == 0 {
				continue // the smallest size of a growth
			}
			ratio := simulated.value / realFigure.value
			at := digits(point.Size) + " " + p.current.series[pair.real.name].Against
			t.row(pair.quantity, at, simulated.String(), realFigure.String(), digits(ratio), pair.difference(ratio))
		}
	}
	return t
}

// comparedPairs are those of the sweep that measures real processes and hollow balancers side by side.
func (p *page) comparedPairs() (pairs []comparedPair) {
	for _, c := range comparisons {
		simulated, realSlope := seriesReference{name: "compare." + c.name + ".hollow"}, seriesReference{name: "compare." + c.name + ".real"}
		if p.current.series[simulated.name] != nil && p.current.series[realSlope.name] != nil {
			pairs = append(pairs, comparedPair{quantity: c.quantity, simulated: simulated, real: realSlope, whyBelow: c.whyBelow, whyAbove: c.whyAbove})
		}
	}
	return pairs
}

// difference says why two figures differ, where they differ by much.
func (h comparedPair) difference(ratio float64) string {
	why := h.whyAbove
	if ratio < 1 {
		why = h.whyBelow
	}
	switch {
	case math.Abs(ratio-1) <= agreementTolerance:
		return "no"
	case why != "":
		return why
	default:
		return unexplainedDifference
	}
}

// modelPairs are the series of real engines that have the model's beside them.
func (p *page) modelPairs() (pairs []comparedPair) {
	for _, name := range slices.Sorted(maps.Keys(p.current.series)) {
		of, isModel := strings.CutSuffix(name, modelSuffix)
		if isModel && p.current.series[of] != nil {
			pairs = append(pairs, comparedPair{quantity: p.current.series[of].Quantity, simulated: seriesReference{name, false}, real: seriesReference{of, false}, whyBelow: busyEngines})
		}
	}
	return pairs
}
