package report

import (
	"fmt"
	"math"
	"strings"

	"yardwinch/internal/testbed/count"
)

// The layout of a plot, in the units of its SVG drawing.
const (
	leftMargin   = 52.0
	rightMargin  = 26.0
	topMargin    = 10.0
	bottomMargin = 26.0
	plotWidth    = 900.0
	plotHeight   = 240.0
	innerWidth   = plotWidth - leftMargin - rightMargin

	secondsPerTick        = 10
	valueTicks            = 4   // in addition to the tick at 0
	integerLabelsFrom     = 8.0 // greatest value from which labels have no decimals
	faultLabelRows        = 4   // labels of consecutive faults are staggered over this many rows
	faultLabelHeight      = 13.0
	firstFaultLabelOffset = 12.0
	minFaultWidth         = 2.0

	maxRowsHeight     = 420.0 // limit of the height of all rows of a load plot together, unless that takes rows below minRowHeight
	minRowHeight      = 3.0
	maxRowHeight      = 16.0
	labelledRowHeight = 9.0 // from this height on, each row has a label
	rowsPerLabel      = 10
	labelOffset       = 3.0 // from the middle of a row to its label's baseline
	cellOverlap       = 0.3 // hides gaps between adjacent cells

	scaleToFit = 0 // value of maxValue that scales an axis to its data
)

// plot is the data of one drawing in pageTemplate.
type plot struct {
	Title, Unit string
	W, H        float64
	Bands       []band
	Lines       []line
	Cells       []cell
	XTicks      []tick
	YTicks      []tick
	Legend      []legendEntry
	Note        string
}

type band struct {
	X, W  float64
	Y     float64
	Label string
}

type line struct{ Points, Colour, Dash string }

type cell struct {
	X, Y, W, H float64
	Colour     string
}

type tick struct {
	X, Y  float64
	Label string
}

type legendEntry struct{ Name, Colour string }

// axes are the ranges of a plot's axes.
type axes struct {
	seconds  int
	maxValue float64 // 0: the plot has no value axis
	height   float64 // of the plot
}

func (a axes) x(seconds float64) float64 {
	return leftMargin + innerWidth*seconds/float64(max(a.seconds, 1))
}

func (a axes) y(share float64) float64 {
	return a.height - bottomMargin - (a.height-topMargin-bottomMargin)*share
}

// newPlot draws the axes and marks the faults.
func newPlot(title, unit string, a axes, faults []count.Fault) plot {
	p := plot{Title: title, Unit: unit, W: plotWidth, H: a.height}
	p.addTimeTicks(a)
	if a.maxValue > 0 {
		p.addValueTicks(a)
	}
	p.addFaults(a, faults)
	return p
}

func (p *plot) addTimeTicks(a axes) {
	for second := 0; second <= a.seconds; second += secondsPerTick {
		p.XTicks = append(p.XTicks, tick{a.clampedX(float64(second)), a.height - bottomMargin, fmt.Sprintf("%d s", second)})
	}
}

func (a axes) clampedX(second float64) float64 {
	return leftMargin + innerWidth*math.Min(1, second/float64(max(a.seconds, 1)))
}

func (p *plot) addValueTicks(a axes) {
	format := "%.2f"
	if a.maxValue >= integerLabelsFrom {
		format = "%.0f"
	}
	for i := range valueTicks + 1 {
		value := a.maxValue * float64(i) / valueTicks
		y := a.height - bottomMargin - (a.height-topMargin-bottomMargin)*float64(i)/valueTicks
		p.YTicks = append(p.YTicks, tick{leftMargin, y, fmt.Sprintf(format, value)})
	}
}

func (p *plot) addFaults(a axes, faults []count.Fault) {
	for i, fault := range faults {
		from := a.clampedX(fault.Start)
		if from >= plotWidth-rightMargin {
			continue
		}
		width := math.Max(minFaultWidth, a.clampedX(fault.End)-from)
		y := topMargin + firstFaultLabelOffset + faultLabelHeight*float64(i%faultLabelRows)
		p.Bands = append(p.Bands, band{from, width, y, fault.Kind})
	}
}

// plotSeries draws one line per result. maxValue is the upper end of the value axis, or scaleToFit.
func plotSeries(title, unit string, shown []*count.Result, maxValue float64, valuesOf func(*count.Result) []float64) plot {
	if maxValue == scaleToFit {
		maxValue = roundedMax(shown, valuesOf)
	}
	seconds := 0
	for _, r := range shown {
		seconds = max(seconds, len(valuesOf(r)))
	}
	a := axes{seconds, maxValue, plotHeight}
	p := newPlot(title, unit, a, shown[0].Faults)
	for _, r := range shown {
		p.addLine(r.Policy, colourOf(r.Policy), pointsOf(valuesOf(r), a))
	}
	return p
}

// roundedMax returns the greatest value, rounded up to a multiple of valueTicks so that tick labels are integers; 1 if all values are 0.
func roundedMax(shown []*count.Result, valuesOf func(*count.Result) []float64) float64 {
	largest := 0.0
	for _, r := range shown {
		for _, value := range valuesOf(r) {
			largest = math.Max(largest, value)
		}
	}
	return math.Max(1, math.Ceil(largest/valueTicks)*valueTicks)
}

func (p *plot) addLine(name, colour, points string) {
	p.Lines = append(p.Lines, line{points, colour, ""})
	p.Legend = append(p.Legend, legendEntry{name, colour})
}

// pointsOf places each value in the middle of its second.
func pointsOf(values []float64, a axes) string {
	var text strings.Builder
	for i, value := range values {
		fmt.Fprintf(&text, "%.1f,%.1f ", a.x(float64(i)+0.5), a.y(math.Min(1, value/a.maxValue)))
	}
	return text.String()
}

// plotSetupTimes draws quantiles of the set-up times by second.
func plotSetupTimes(r *count.Result) plot {
	const least, step = 10, 100 // milliseconds
	quantiles := []struct{ name, colour string }{{"p50", blue}, {"p90", amber}, {"p99", red}}
	most := 0.0
	for _, second := range r.SetupTimesBySecond {
		most = math.Max(most, second[len(second)-1])
	}
	a := axes{len(r.SetupTimesBySecond), math.Max(least, math.Ceil(most/step)*step), plotHeight}
	p := newPlot("Set-up latency by second, "+r.Policy, "ms", a, r.Faults)
	for i, quantile := range quantiles {
		var values []float64
		for _, second := range r.SetupTimesBySecond {
			values = append(values, second[i])
		}
		p.addLine(quantile.name, quantile.colour, pointsOf(values, a))
	}
	return p
}

// plotLoads draws the load over capacity of every server by second, one row per server.
func plotLoads(r *count.Result) plot {
	rows := len(r.LoadByServer)
	rowHeight := math.Min(maxRowHeight, math.Max(minRowHeight, maxRowsHeight/float64(max(rows, 1))))
	a := axes{seconds: len(r.BySecond), height: topMargin + bottomMargin + rowHeight*float64(rows)}
	p := newPlot("Load by server, "+r.Policy, "asked over what it can do; grey: no process", a, nil)
	for i, loads := range r.LoadByServer {
		p.addLoads(a, loads, topMargin+rowHeight*float64(i), rowHeight)
		if rowHeight >= labelledRowHeight || i%rowsPerLabel == 0 {
			p.YTicks = append(p.YTicks, tick{leftMargin, topMargin + rowHeight*(float64(i)+0.5) + labelOffset, fmt.Sprintf("s-%03d", i)})
		}
	}
	for _, entry := range []struct {
		load float64
		name string
	}{{0.1, "0.1"}, {0.5, "0.5"}, {0.9, "0.9"}, {1.1, "over 1"}, {2, "2 and more"}, {-1, "none"}} {
		p.Legend = append(p.Legend, legendEntry{entry.name, loadColour(entry.load)})
	}
	return p
}

func (p *plot) addLoads(a axes, loads []float64, y, height float64) {
	width := innerWidth / float64(max(a.seconds, 1))
	for second, load := range loads[:min(len(loads), a.seconds)] {
		p.Cells = append(p.Cells, cell{leftMargin + width*float64(second), y, width + cellOverlap, height, loadColour(load)})
	}
}
