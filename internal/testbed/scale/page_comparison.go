package scale

import (
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	agreementTolerance    = 0.20        // share of the real figure
	modelSuffix           = "-of-model" // of a model's series, beside the series of real engines
	busyEngines           = "the machine was too busy at that size: engines that answer late are suspected and pinged again"
	unexplainedDifference = "cause unknown" // reason for a difference
)

// comparedPair is a quantity of simulated balancers and of real processes.
type comparedPair struct {
	quantity  string
	simulated seriesName
	real      seriesName
	whyBelow  string // known reason for a simulated figure far below the real one
	whyAbove  string // known reason for one far above
}

// simulatedAgainstRealTable compares figures at the sizes of the real ones that the simulated ones cover.
func (p *page) simulatedAgainstRealTable() *table {
	t := newTable("quantity", "at", "hollow", "real", "hollow / real", "differ by more than 20 %")
	for _, pair := range append(p.comparedPairs(), p.modelPairs()...) {
		for _, point := range p.current.series[string(pair.real)].Points {
			simulated, realFigure := p.valueAt(pair.simulated, point.Size), p.valueAt(pair.real, point.Size)
			if simulated.value == 0 && realFigure.value == 0 {
				continue // the smallest size of a growth
			}
			ratio := simulated.value / realFigure.value
			at := digits(point.Size) + " " + p.current.series[string(pair.real)].Against
			t.row(pair.quantity, at, simulated.String(), realFigure.String(), digits(ratio), pair.difference(ratio))
		}
	}
	return t
}

// comparedPairs are the pairs of the sweep that runs real processes and simulated balancers side by side.
func (p *page) comparedPairs() (pairs []comparedPair) {
	for _, c := range comparisons {
		simulated := seriesName("compare." + c.name + ".hollow")
		realSeries := seriesName("compare." + c.name + ".real")
		if p.current.series[string(simulated)] != nil && p.current.series[string(realSeries)] != nil {
			pairs = append(pairs, comparedPair{
				quantity:  c.quantity,
				simulated: simulated,
				real:      realSeries,
				whyBelow:  c.reasonBelow,
				whyAbove:  c.reasonAbove,
			})
		}
	}
	return pairs
}

// difference gives the reason why two figures differ by more than agreementTolerance.
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

// modelPairs are the series of real engines beside those of the gossip model.
func (p *page) modelPairs() (pairs []comparedPair) {
	for _, name := range slices.Sorted(maps.Keys(p.current.series)) {
		of, isModel := strings.CutSuffix(name, modelSuffix)
		if isModel && p.current.series[of] != nil {
			pairs = append(pairs, comparedPair{
				quantity:  p.current.series[of].Quantity,
				simulated: seriesName(name),
				real:      seriesName(of),
				whyBelow:  busyEngines,
			})
		}
	}
	return pairs
}
