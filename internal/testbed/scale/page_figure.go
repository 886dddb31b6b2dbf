package scale

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	notMeasured = "not measured"
	poorFit     = 0.20 // an error of the held-out point that a row says
)

// figure is a value of the page with where it comes from. One that rests on a series which is not there has no value.
type figure struct {
	value   float64
	unit    unit
	origin  Origin
	bases   []Origin // what a reckoned figure was worked out from, beside the operators' sizes
	series  []string
	missing []string
	without []string // parts that are not in a sum, as nothing was measured of them
	old     bool     // a series behind it was measured before the mechanism alone
	doubt   float64  // the largest error of a held-out point among the fits behind it
}

// unit is what a figure counts, in the base that it is held in.
type unit string

const (
	inCount   unit = ""
	inBytes   unit = "B"
	inTraffic unit = "B/s"
	inRate    unit = "/s"
	inSeconds unit = "s"
	inCores   unit = "cores" // seconds of processor time a second
	inShare   unit = "share"
)

// reckoned is a figure of the operators' sizes and the assumptions alone.
func reckoned(value float64, in unit) figure {
	return figure{value: value, unit: in, origin: Reckoned}
}

// times is the figure multiplied by a size.
func (f figure) times(factor float64, in unit) figure {
	f.value *= factor
	f.unit = in
	return f.worked()
}

// plus is the sum of figures of one unit; it is known when all of them are.
func (f figure) plus(others ...figure) figure {
	for _, other := range others {
		f.value += other.value
		f.join(other)
	}
	return f.worked()
}

// plusKnown adds the figure of a named part, or notes that it is not there.
func (f figure) plusKnown(name string, part figure) figure {
	if !part.known() {
		f.without = union(f.without, []string{name})
		return f
	}
	f.without = union(f.without, part.without)
	return f.plus(part)
}

// scaled is the figure times another that has no unit.
func (f figure) scaled(by figure) figure {
	f.value *= by.value
	f.join(by)
	return f.worked()
}

// over is the figure divided by another.
func (f figure) over(by figure, in unit) figure {
	f.value /= by.value
	f.unit = in
	f.join(by)
	return f.worked()
}

func (f *figure) join(other figure) {
	f.series = union(f.series, other.series)
	f.missing = union(f.missing, other.missing)
	f.bases = union(f.bases, other.bases)
	f.doubt = max(f.doubt, other.doubt)
	f.old = f.old || other.old
	if other.origin != Reckoned {
		f.bases = union(f.bases, []Origin{other.origin})
	}
}

// worked marks the figure as worked out from what it was.
func (f figure) worked() figure {
	if f.origin != Reckoned {
		f.bases = union(f.bases, []Origin{f.origin})
		f.origin = Reckoned
	}
	return f
}

func (f figure) known() bool { return len(f.missing) == 0 }

func (f figure) String() string {
	text := f.sum()
	if f.known() && len(f.without) > 0 {
		text += atLeast + ", without " + strings.Join(f.without, ", ")
	}
	return text
}

// sum is the figure without the names of what it lacks.
func (f figure) sum() string {
	if !f.known() {
		return notMeasured
	}
	return show(f.value, f.unit)
}

// Origin tells measured, simulated and reckoned apart.
func (f figure) Origin() string {
	if !f.known() {
		return notMeasured
	}
	text := string(f.origin)
	if len(f.bases) > 0 {
		var bases []string
		for _, base := range f.bases {
			bases = append(bases, string(base))
		}
		text += " from " + strings.Join(bases, ", ")
	}
	if f.old {
		text += "; **before the mechanism**"
	}
	if f.doubt > poorFit {
		text += fmt.Sprintf("; its fit misses the largest point by %s", show(f.doubt, inShare))
	}
	return text
}

// Slopes names the series behind a figure.
func (f figure) Slopes() string {
	var names []string
	for _, name := range f.series {
		names = append(names, "`"+name+"`")
	}
	return strings.Join(names, ", ")
}

func union[T ~string](a, b []T) []T {
	both := slices.Concat(a, b)
	slices.Sort(both)
	return slices.Compact(both)
}

const significant = 3 // digits of a figure

// show prints three digits of a value with a unit that fits its size.
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

type step struct {
	from float64
	name string
}

func showBytes(value float64) string {
	return stepped(value, []step{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}})
}

func showSeconds(value float64) string {
	if value == 0 {
		return "0 s"
	}
	if value >= 2*cutSeconds {
		return digits(value/cutSeconds) + " h"
	}
	return stepped(value, []step{{1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}, {1e-9, "ns"}})
}

func stepped(value float64, steps []step) string {
	size := math.Abs(value)
	for _, s := range steps {
		if size >= s.from {
			return digits(value/s.from) + " " + s.name
		}
	}
	last := steps[len(steps)-1]
	return digits(value/last.from) + " " + last.name
}

// digits prints a number to three digits, whole where it has more, with a comma before each three.
func digits(value float64) string {
	if value == 0 {
		return "0"
	}
	magnitude := math.Floor(math.Log10(math.Abs(value)))
	if magnitude < -4 {
		return strconv.FormatFloat(value, 'e', significant-1, 64)
	}
	decimals := max(0, significant-1-int(magnitude))
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return grouped(text)
}

// grouped puts a comma before each three digits of the whole part.
func grouped(text string) string {
	whole, rest, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if rest != "" {
		whole += "." + rest
	}
	return sign + whole
}
