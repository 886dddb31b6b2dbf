package main

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"yardwinch/internal/testbed/dissemination"
)

//go:embed spread.html
var disseminationPageText string

var disseminationPage = template.Must(template.New("dissemination").Parse(disseminationPageText))

// The layout of the plot, in the units of its SVG drawing.
const (
	plotLeft         = 40.0
	plotWidth        = 840.0
	plotBottom       = 280.0
	plotHeight       = 270.0
	legendWidth      = 120.0
	samplesPerSecond = 10
)

var lineColours = []string{"#0b5fa5", "#d08c2f", "#3f9b6c", "#8a6fb0", "#a33", "#222"}

// disseminationPlot is the data of disseminationPage.
type disseminationPlot struct {
	Ticks  []timeTick
	Lines  []plotLine
	Legend []legendEntry

	samples int // number of samples of the longest run
	colours map[int]string
}

type timeTick struct {
	X float64
	T string
}

type plotLine struct{ Points, Colour string }

type legendEntry struct {
	X            float64
	Name, Colour string
}

// drawDissemination draws the share of informed members over time, one line per run.
func drawDissemination(w io.Writer, results []*dissemination.Result) error {
	p := &disseminationPlot{samples: 1, colours: map[int]string{}}
	for _, r := range results {
		p.samples = max(p.samples, len(r.InformedMembers))
	}
	for _, r := range results {
		p.addLine(r)
	}
	for second := 0; second <= p.samples/samplesPerSecond; second++ {
		p.Ticks = append(p.Ticks, timeTick{p.x(second * samplesPerSecond), fmt.Sprintf("%ds", second)})
	}
	return disseminationPage.Execute(w, p)
}

func (p *disseminationPlot) x(sample int) float64 {
	return plotLeft + plotWidth*float64(sample)/float64(p.samples)
}

func (p *disseminationPlot) addLine(r *dissemination.Result) {
	if p.colours[r.Members] == "" {
		colour := lineColours[len(p.colours)%len(lineColours)]
		x := plotLeft + legendWidth*float64(len(p.colours))
		p.Legend = append(p.Legend, legendEntry{x, fmt.Sprintf("%d members", r.Members), colour})
		p.colours[r.Members] = colour
	}
	var points []string
	for sample, informed := range r.InformedMembers {
		points = append(points, fmt.Sprintf("%.1f,%.1f", p.x(sample), plotBottom-plotHeight*float64(informed)/float64(r.Members)))
	}
	p.Lines = append(p.Lines, plotLine{strings.Join(points, " "), p.colours[r.Members]})
}
