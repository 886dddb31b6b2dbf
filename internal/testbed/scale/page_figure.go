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
	poorFitError = 0.20 // relative error of the held-out point from which a row states it
)

// figure is a value with its origin. One without a required series has no value.
type figure struct {
	value        float64
	unit         unit
	origin       Origin
	derivedFrom  []Origin // origins that a calculated figure was derived from, besides the fleet's sizes
	series       []string
	missing      []string
	omitted      []string // parts missing in a sum for lack of a series
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

// calculated is a figure of the fleet's sizes and the assumptions only.
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

// plusIfKnown adds the figure of a named part, or records that the part is omitted.
func (f figure) plusIfKnown(name string, part figure) figure {
	if !part.known() {
		f.omitted = unionOf(f.omitted, []string{name})
		return f
	}
	f.omitted = unionOf(f.omitted, part.omitted)
	return f.plus(part)
}

// multipliedBy multiplies the figure by a dimensionless figure.
func (f figure) multipliedBy(by figure) figure {
	f.value *= by.value
	f.addSources(by)
	return f.derived()
}

// dividedBy divides the figure by another; the result is in the given unit.
func (f figure) dividedBy(by figure, in unit) figure {
	f.value /= by.value
	f.unit = in
	f.addSources(by)
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

// derived marks the figure as calculated from its origin.
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

// valueText is the figure without the names of omitted parts.
func (f figure) valueText() string {
	if !f.known() {
		return notMeasured
	}
	return show(f.value, f.unit)
}

// Origin states how the figure was obtained, and from which others it is derived.
func (f figure) Origin() string {
	if !f.known() {
		return notMeasured
	}
	text := currentTerm(originTerms, f.origin)
	if len(f.derivedFrom) > 0 {
		var bases []string
		for _, base := range f.derivedFrom {
			bases = append(bases, currentTerm(originTerms, base))
		}
		text += " from " + strings.Join(bases, ", ")
	}
	if f.fromBaseline {
		text += "; **before the bounded candidates**"
	}
	if f.fitError > poorFitError {
		text += fmt.Sprintf("; its fit misses the largest point by %s", show(f.fitError, inShare))
	}
	return text
}

// Slopes names the figure's series.
func (f figure) Slopes() string {
	var names []string
	for _, name := range f.series {
		names = append(names, "`"+name+"`")
	}
	return strings.Join(names, ", ")
}

func unionOf[T ~string](a, b []T) []T {
	both := slices.Concat(a, b)
	slices.Sort(both)
	return slices.Compact(both)
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

// digits prints a number with significantDigits, without fraction if it has more, and with commas between thousands.
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
