package scale

import (
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	agreementTolerance = 0.20        // relative to the real figure
	modelSuffix        = "-of-model" // in names of series of the gossip model; the series of real engines have the names without it
	busyMachineReason  = "the machine was too busy at that size: engines that answer late are suspected and pinged again"
	unknownReason      = "cause unknown" // shown for a difference without a known reason
)

// comparedPair is a quantity with its series of simulated balancers, or of the gossip model, and its series of real
// processes.
type comparedPair struct {
	quantity    string
	simulated   seriesName
	real        seriesName
	reasonBelow string // known reason for a simulated figure below the real one by more than agreementTolerance
	reasonAbove string // known reason for a simulated figure above the real one by more than agreementTolerance
}

// simulatedAgainstRealTable compares simulated and real figures at each size of the real series.
func (p *page) simulatedAgainstRealTable() *table {
	t := newTable("quantity", "at", "hollow", "real", "hollow / real", "differ by more than 20 %")
	for _, pair := range append(p.comparedPairs(), p.modelPairs()...) {
		for _, point := range p.current.series[string(pair.real)].Points {
			simulated, realFigure := p.valueAt(pair.simulated, point.Size), p.valueAt(pair.real, point.Size)
			if simulated.value == 0 && realFigure.value == 0 {
				continue // list-memory is relative to its value at the smallest size, so both figures are 0 at that size
			}
			ratio := simulated.value / realFigure.value
			at := digits(point.Size) + " " + p.current.series[string(pair.real)].Against
			t.addRow(pair.quantity, at, simulated.String(), realFigure.String(), digits(ratio), pair.difference(ratio))
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
				quantity:    c.quantity,
				simulated:   simulated,
				real:        realSeries,
				reasonBelow: c.reasonBelow,
				reasonAbove: c.reasonAbove,
			})
		}
	}
	return pairs
}

// difference returns the reason why two figures of the given ratio differ by more than agreementTolerance, or "no" if
// they do not.
func (c comparedPair) difference(ratio float64) string {
	reason := c.reasonAbove
	if ratio < 1 {
		reason = c.reasonBelow
	}
	switch {
	case math.Abs(ratio-1) <= agreementTolerance:
		return "no"
	case reason != "":
		return reason
	default:
		return unknownReason
	}
}

// modelPairs pairs the series of real engines with those of the gossip model.
func (p *page) modelPairs() (pairs []comparedPair) {
	for _, name := range slices.Sorted(maps.Keys(p.current.series)) {
		realName, isModel := strings.CutSuffix(name, modelSuffix)
		if isModel && p.current.series[realName] != nil {
			pairs = append(pairs, comparedPair{
				quantity:    p.current.series[realName].Quantity,
				simulated:   seriesName(name),
				real:        seriesName(realName),
				reasonBelow: busyMachineReason,
			})
		}
	}
	return pairs
}
