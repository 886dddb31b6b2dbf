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

	secondsPerTick    = 10
	valueTicks        = 4   // beside that at 0
	integerLabelsFrom = 8.0 // values from which labels have no decimals
	faultLines        = 4   // labels of faults, one below the other
	faultLineHeight   = 13.0
	firstFaultLine    = 12.0
	minFaultWidth     = 2.0

	maxRowsHeight     = 420.0 // of a plot of loads
	minRowHeight      = 3.0
	maxRowHeight      = 16.0
	labelledRowHeight = 9.0 // from which each row has a label
	rowsPerLabel      = 10
	labelOffset       = 3.0 // from the middle of a row to its label's baseline
	cellOverlap       = 0.3 // so that no gaps show between cells

	scaleToFit = 0 // in place of the greatest value of an axis
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
	Legend      []key
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

type key struct{ Name, Colour string }

// axes are the greatest values of a plot.
type axes struct {
	seconds int
	most    float64 // 0: the plot has no values by height
	height  float64 // of the plot
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
	if a.most > 0 {
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
	if a.most >= integerLabelsFrom {
		format = "%.0f"
	}
	for i := range valueTicks + 1 {
		value := a.most * float64(i) / valueTicks
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
		y := topMargin + firstFaultLine + faultLineHeight*float64(i%faultLines)
		p.Bands = append(p.Bands, band{from, width, y, fault.Kind})
	}
}

// plotSeries draws a line a result. most is the greatest value shown, or scaleToFit.
func plotSeries(title, unit string, shown []*count.Result, most float64, valuesOf func(*count.Result) []float64) plot {
	if most == scaleToFit {
		most = greatest(shown, valuesOf)
	}
	seconds := 0
	for _, r := range shown {
		seconds = max(seconds, len(valuesOf(r)))
	}
	a := axes{seconds, most, plotHeight}
	p := newPlot(title, unit, a, shown[0].Faults)
	for _, r := range shown {
		p.addLine(r.Policy, colourOf(r.Policy), pointsOf(valuesOf(r), a))
	}
	return p
}

// greatest is the greatest value, raised to a multiple of the ticks.
func greatest(shown []*count.Result, valuesOf func(*count.Result) []float64) float64 {
	most := 0.0
	for _, r := range shown {
		for _, value := range valuesOf(r) {
			most = math.Max(most, value)
		}
	}
	return math.Max(1, math.Ceil(most/valueTicks)*valueTicks)
}

func (p *plot) addLine(name, colour, points string) {
	p.Lines = append(p.Lines, line{points, colour, ""})
	p.Legend = append(p.Legend, key{name, colour})
}

// pointsOf places each value in the middle of its second.
func pointsOf(values []float64, a axes) string {
	var text strings.Builder
	for i, value := range values {
		fmt.Fprintf(&text, "%.1f,%.1f ", a.x(float64(i)+0.5), a.y(math.Min(1, value/a.most)))
	}
	return text.String()
}

// plotSetupTimes draws quantiles of the set-up times.
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

// plotLoads shows what is asked of every server over its capacity, a row a server.
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
		p.Legend = append(p.Legend, key{entry.name, loadColour(entry.load)})
	}
	return p
}

func (p *plot) addLoads(a axes, loads []float64, y, height float64) {
	width := innerWidth / float64(max(a.seconds, 1))
	for second, load := range loads[:min(len(loads), a.seconds)] {
		p.Cells = append(p.Cells, cell{leftMargin + width*float64(second), y, width + cellOverlap, height, loadColour(load)})
	}
}
