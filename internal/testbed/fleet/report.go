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
var pageText string

var pageTemplate = template.Must(template.New("fleet").Parse(pageText))

// JSON writes a result for programs. Its error is the writer's.
func (r *Result) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// The layout of the page, in its own units.
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

// spanColours by what a span is.
var spanColours = map[string]string{"frozen": "#4c78a8", "starved": "#9c7bb8", "ending": "#c9a227", "down": "#55606b", "died": "#b3261e",
	"left out": "#e8a33d", "struck": "#d9653b"}

// legend is the order in which the colours are explained.
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

// page is what the page's template shows.
type page struct {
	*Result
	W, H       float64
	Rects      []shape
	Marks      []shape
	Labels     []label
	Ticks      []label
	Legend     []shape
	Bottom     float64
	MomentRows []string

	y float64 // of the next row
}

// HTML writes a page with a row a process, faults and events over time.
func (r *Result) HTML(w io.Writer) error {
	p := &page{Result: r, W: pageWidth, y: topMargin}
	for _, process := range r.Processes {
		p.addProcess(process)
	}
	for _, server := range r.FaultySpans {
		p.addRow(server.Name)
		p.addSpans(server.Name, server.Spans, barHeight)
		p.y += rowHeight
	}
	for i, span := range r.Paths {
		name := fmt.Sprintf("way %d", i+1)
		p.addRow(name)
		p.addSpans(name, []Span{span}, barHeight)
		p.y += rowHeight
	}
	p.addMoments()
	p.addTimeTicks()
	p.Bottom, p.H = p.y, p.y+axisHeight
	for _, what := range legend {
		p.Legend = append(p.Legend, shape{Colour: spanColours[what], Title: what})
	}
	return pageTemplate.Execute(w, p)
}

func (p *page) x(t time.Duration) float64 { return leftMargin + innerWidth*t.Seconds()/p.Length }

func (p *page) addRow(name string) {
	p.Labels = append(p.Labels, label{leftMargin - labelGap, p.y + baselineOffset, name})
	p.Rects = append(p.Rects, shape{leftMargin, p.y, innerWidth, barHeight, rowColour, ""})
}

func (p *page) addProcess(process Process) {
	p.addRow(process.Name)
	p.addCounts(process.Name, process.PerSecond)
	p.addSpans(process.Name, process.States, barHeight)
	p.addSpans(process.Name, process.LeftOut, thinBarHeight)
	p.y += rowHeight
}

// addCounts draws a bar a second, up to the greatest count.
func (p *page) addCounts(name string, counts []int) {
	most := 1
	for _, count := range counts {
		most = max(most, count)
	}
	width := max(1, innerWidth/p.Length-1)
	for second, count := range counts {
		height := float64(count) / float64(most) * countHeight
		title := fmt.Sprintf("%s: %d established in second %d", name, count, second)
		p.Rects = append(p.Rects, shape{p.x(time.Duration(second) * time.Second), p.y + barHeight - height, width, height, countColour, title})
	}
}

func (p *page) addSpans(name string, spans []Span, height float64) {
	for _, span := range spans {
		colour := spanColours[span.What]
		if colour == "" {
			colour = otherColour
		}
		width := max(minSpanWidth, p.x(span.To)-p.x(span.From))
		title := fmt.Sprintf("%s: %s from %.2fs to %.2fs", name, span.What, span.From.Seconds(), span.To.Seconds())
		p.Rects = append(p.Rects, shape{p.x(span.From), p.y, width, height, colour, title})
	}
}

// addMoments draws a line over all rows for each moment, and lists them.
func (p *page) addMoments() {
	for _, m := range p.Moments {
		p.Marks = append(p.Marks, shape{X: p.x(m.At), Y: 0, W: 1, H: p.y, Title: fmt.Sprintf("%.2fs %s %s", m.At.Seconds(), m.Who, m.What)})
		p.MomentRows = append(p.MomentRows, fmt.Sprintf("%.2fs  %s  %s", m.At.Seconds(), m.Who, m.What))
	}
}

// addTimeTicks marks every 1, 2, 5, 10, 20 ... seconds, so that there are not too many.
func (p *page) addTimeTicks() {
	step := 1
	for p.Length/float64(step) > maxTimeTicks {
		step *= 2
		if step == 4 {
			step = 5
		}
	}
	for second := 0; float64(second) <= p.Length; second += step {
		p.Ticks = append(p.Ticks, label{p.x(time.Duration(second) * time.Second), p.y + baselineOffset, fmt.Sprintf("%ds", second)})
	}
}
