package fleet

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var reportText string

var reportTemplate = template.Must(template.New("fleet").Parse(reportText))

// JSON writes the result as JSON. The error is the writer's.
func (r *Result) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// Layout of the report, in units of the SVG view box.
const (
	pageWidth      = 960.0
	leftMargin     = 74.0
	rightMargin    = 8.0
	topMargin      = 6.0
	innerWidth     = pageWidth - leftMargin - rightMargin
	rowHeight      = 22.0
	barHeight      = rowHeight - 5
	countHeight    = rowHeight - 6
	thinBarHeight  = 4.0
	minSpanWidth   = 1.5
	labelGap       = 6.0
	baselineOffset = 14.0
	axisHeight     = 20.0
	maxTimeTicks   = 16
	rowColour      = "#f1f4f7"
	countColour    = "#8fb7a0"
	otherColour    = "#7d8aa5"
)

// spanColours maps what a span shows to its colour.
var spanColours = map[string]string{"frozen": "#4c78a8", "starved": "#9c7bb8", "ending": "#c9a227", "down": "#55606b", "died": "#b3261e",
	"left out": "#e8a33d", "struck": "#d9653b"}

// legend lists the spans of the legend in order.
var legend = []string{"down", "died", "ending", "frozen", "starved", "left out", "struck"}

type shape struct {
	X, Y, W, H float64
	Colour     string
	Title      string
}

type label struct {
	X, Y float64
	Text string
}

// htmlReport is the data of the report's template.
type htmlReport struct {
	*Result
	W, H         float64
	Rects        []shape
	Marks        []shape
	Labels       []label
	Ticks        []label
	Legend       []shape
	Bottom       float64
	TimelineRows []string

	y float64 // top of the next row
}

// HTML writes a page that shows each process in a row, with its states and events over time. The error is the writer's.
func (r *Result) HTML(w io.Writer) error {
	h := &htmlReport{Result: r, W: pageWidth, y: topMargin}
	for _, process := range r.Processes {
		h.addProcess(process)
	}
	for _, server := range r.FaultySpans {
		h.addRow(server.Name)
		h.addSpans(server.Name, server.Spans, barHeight)
		h.y += rowHeight
	}
	for i, span := range r.Paths {
		name := fmt.Sprintf("way %d", i+1)
		h.addRow(name)
		h.addSpans(name, []Span{span}, barHeight)
		h.y += rowHeight
	}
	h.addTimeline()
	h.addTimeTicks()
	h.Bottom, h.H = h.y, h.y+axisHeight
	for _, what := range legend {
		h.Legend = append(h.Legend, shape{Colour: spanColours[what], Title: what})
	}
	return reportTemplate.Execute(w, h)
}

func (h *htmlReport) x(t time.Duration) float64 { return leftMargin + innerWidth*t.Seconds()/h.Length }

func (h *htmlReport) addRow(name string) {
	h.Labels = append(h.Labels, label{leftMargin - labelGap, h.y + baselineOffset, name})
	h.Rects = append(h.Rects, shape{leftMargin, h.y, innerWidth, barHeight, rowColour, ""})
}

func (h *htmlReport) addProcess(process Process) {
	h.addRow(process.Name)
	h.addCounts(process.Name, process.PerSecond)
	h.addSpans(process.Name, process.States, barHeight)
	h.addSpans(process.Name, process.LeftOut, thinBarHeight)
	h.y += rowHeight
}

// addCounts draws a bar for each second, scaled to the greatest count.
func (h *htmlReport) addCounts(name string, counts []int) {
	most := 1
	for _, count := range counts {
		most = max(most, count)
	}
	width := max(1, innerWidth/h.Length-1)
	for second, count := range counts {
		height := float64(count) / float64(most) * countHeight
		title := fmt.Sprintf("%s: %d established in second %d", name, count, second)
		h.Rects = append(h.Rects, shape{h.x(time.Duration(second) * time.Second), h.y + barHeight - height, width, height, countColour, title})
	}
}

func (h *htmlReport) addSpans(name string, spans []Span, height float64) {
	for _, span := range spans {
		colour := spanColours[span.What]
		if colour == "" {
			colour = otherColour
		}
		width := max(minSpanWidth, h.x(span.To)-h.x(span.From))
		title := fmt.Sprintf("%s: %s from %.2fs to %.2fs", name, span.What, span.From.Seconds(), span.To.Seconds())
		h.Rects = append(h.Rects, shape{h.x(span.From), h.y, width, height, colour, title})
	}
}

// addTimeline draws a line across all rows for each event of the timeline, and lists the events as text.
func (h *htmlReport) addTimeline() {
	for _, m := range h.Timeline {
		h.Marks = append(h.Marks, shape{X: h.x(m.At), Y: 0, W: 1, H: h.y, Title: fmt.Sprintf("%.2fs %s %s", m.At.Seconds(), m.Who, m.What)})
		h.TimelineRows = append(h.TimelineRows, fmt.Sprintf("%.2fs  %s  %s", m.At.Seconds(), m.Who, m.What))
	}
}

// addTimeTicks adds a tick every 1, 2, 5, 10, 20 ... seconds, the shortest interval that keeps to maxTimeTicks.
func (h *htmlReport) addTimeTicks() {
	step := 1
	for h.Length/float64(step) > maxTimeTicks {
		step *= 2
		if step == 4 {
			step = 5
		}
	}
	for second := 0; float64(second) <= h.Length; second += step {
		h.Ticks = append(h.Ticks, label{h.x(time.Duration(second) * time.Second), h.y + baselineOffset, fmt.Sprintf("%ds", second)})
	}
}
