package scale

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	notMeasured  = "not measured"
	poorFitError = 0.20 // relative error of the held-out point above which a row states the error
)

// figure is a value with its origin. If a series that it is derived from is missing, it has no value.
type figure struct {
	value        float64
	unit         unit
	origin       Origin
	derivedFrom  []Origin // origins that a calculated figure was derived from, besides the fleet's sizes
	series       []string // names of the series that it is derived from
	missing      []string // series or quantities without values that it would be derived from
	omitted      []string // parts that a sum does not include for lack of a series
	fromBaseline bool     // one of its series exists in the baseline only
	fitError     float64  // the largest error of a held-out point among its fits
}

// unit is what a figure counts, in base units.
type unit string

const (
	inCount   unit = ""
	inBytes   unit = "B"
	inTraffic unit = "B/s"
	inRate    unit = "/s"
	inSeconds unit = "s"
	inCores   unit = "cores" // seconds of processor time per second
	inShare   unit = "share"
)

// calculated is a figure derived only from the fleet's sizes and the assumptions.
func calculated(value float64, in unit) figure {
	return figure{value: value, unit: in, origin: Calculated}
}

// times multiplies the figure by a factor; the result is in the given unit.
func (f figure) times(factor float64, in unit) figure {
	f.value *= factor
	f.unit = in
	return f.derived()
}

// plus adds figures of one unit; the sum is known if all of them are.
func (f figure) plus(others ...figure) figure {
	for _, other := range others {
		f.value += other.value
		f.addSources(other)
	}
	return f.derived()
}

// plusIfKnown adds the figure of a named part if it is known; otherwise it records that the sum omits the part.
func (f figure) plusIfKnown(name string, part figure) figure {
	if !part.known() {
		f.omitted = unionOf(f.omitted, []string{name})
		return f
	}
	f.omitted = unionOf(f.omitted, part.omitted)
	return f.plus(part)
}

// multipliedBy multiplies the figure by a dimensionless figure.
func (f figure) multipliedBy(factor figure) figure {
	f.value *= factor.value
	f.addSources(factor)
	return f.derived()
}

// dividedBy divides the figure by another; the result is in the given unit.
func (f figure) dividedBy(divisor figure, in unit) figure {
	f.value /= divisor.value
	f.unit = in
	f.addSources(divisor)
	return f.derived()
}

func (f *figure) addSources(other figure) {
	f.series = unionOf(f.series, other.series)
	f.missing = unionOf(f.missing, other.missing)
	f.derivedFrom = unionOf(f.derivedFrom, other.derivedFrom)
	f.fitError = max(f.fitError, other.fitError)
	f.fromBaseline = f.fromBaseline || other.fromBaseline
	if other.origin != Calculated {
		f.derivedFrom = unionOf(f.derivedFrom, []Origin{other.origin})
	}
}

// derived marks the figure as calculated, and keeps its previous origin in derivedFrom.
func (f figure) derived() figure {
	if f.origin != Calculated {
		f.derivedFrom = unionOf(f.derivedFrom, []Origin{f.origin})
		f.origin = Calculated
	}
	return f
}

func (f figure) known() bool { return len(f.missing) == 0 }

func (f figure) String() string {
	text := f.valueText()
	if f.known() && len(f.omitted) > 0 {
		text += atLeast + ", without " + strings.Join(f.omitted, ", ")
	}
	return text
}

// valueText is the text of the figure without the names of omitted parts.
func (f figure) valueText() string {
	if !f.known() {
		return notMeasured
	}
	return show(f.value, f.unit)
}

// Origin states how the figure was obtained, and the origins of the figures that it is derived from.
func (f figure) Origin() string {
	if !f.known() {
		return notMeasured
	}
	text := currentTerm(originTerms, f.origin)
	if len(f.derivedFrom) > 0 {
		var origins []string
		for _, origin := range f.derivedFrom {
			origins = append(origins, currentTerm(originTerms, origin))
		}
		text += " from " + strings.Join(origins, ", ")
	}
	if f.fromBaseline {
		text += "; **before the bounded candidates**"
	}
	if f.fitError > poorFitError {
		text += fmt.Sprintf("; its fit misses the largest point by %s", show(f.fitError, inShare))
	}
	return text
}

// SeriesNames lists the names of the figure's series.
func (f figure) SeriesNames() string {
	var names []string
	for _, name := range f.series {
		names = append(names, "`"+name+"`")
	}
	return strings.Join(names, ", ")
}

func unionOf[T ~string](a, b []T) []T {
	union := slices.Concat(a, b)
	slices.Sort(union)
	return slices.Compact(union)
}

const significantDigits = 3 // of a printed figure

// show prints a value with significantDigits and a unit that fits its size.
func show(value float64, in unit) string {
	switch in {
	case inBytes:
		return showBytes(value)
	case inTraffic:
		return showBytes(value) + "/s"
	case inSeconds:
		return showSeconds(value)
	case inCores:
		return digits(100*value) + " % of a core"
	case inShare:
		return digits(100*value) + " %"
	case inRate:
		return digits(value) + "/s"
	case inCount:
		return digits(value)
	default:
		return digits(value) + " " + string(in)
	}
}

// unitStep is a unit for values from a magnitude on.
type unitStep struct {
	from float64
	name string
}

func showBytes(value float64) string {
	return scaleUnit(value, []unitStep{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}})
}

func showSeconds(value float64) string {
	if value == 0 {
		return "0 s"
	}
	if value >= 2*partitionSeconds {
		return digits(value/partitionSeconds) + " h"
	}
	return scaleUnit(value, []unitStep{{1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}, {1e-9, "ns"}})
}

// scaleUnit prints a value in the first unit whose magnitude it reaches, or in the last one.
func scaleUnit(value float64, steps []unitStep) string {
	size := math.Abs(value)
	for _, s := range steps {
		if size >= s.from {
			return digits(value/s.from) + " " + s.name
		}
	}
	last := steps[len(steps)-1]
	return digits(value/last.from) + " " + last.name
}

// digits prints a number with significantDigits, or as an integer if its integer part has more digits than that, with
// commas between thousands. Numbers below 1e-4 are in scientific notation.
func digits(value float64) string {
	if value == 0 {
		return "0"
	}
	magnitude := math.Floor(math.Log10(math.Abs(value)))
	if magnitude < -4 {
		return strconv.FormatFloat(value, 'e', significantDigits-1, 64)
	}
	decimals := max(0, significantDigits-1-int(magnitude))
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return groupThousands(text)
}

// groupThousands puts commas between the thousands of a number's integer part.
func groupThousands(text string) string {
	integer, fraction, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(integer, "-") {
		sign, integer = "-", integer[1:]
	}
	for i := len(integer) - 3; i > 0; i -= 3 {
		integer = integer[:i] + "," + integer[i:]
	}
	if fraction != "" {
		integer += "." + fraction
	}
	return sign + integer
}
