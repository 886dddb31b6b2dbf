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
var page string

var pageTemplate = template.Must(template.New("fleet").Parse(page))

// JSON writes a result for programs.
func (r *Result) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

const (
	pageWidth, marginLeft, rowHeight = 960.0, 74.0, 22.0
)

var colours = map[string]string{"frozen": "#4c78a8", "starved": "#9c7bb8", "ending": "#c9a227", "down": "#55606b", "died": "#b3261e",
	"left out": "#e8a33d", "struck": "#d9653b"}

type drawn struct {
	X, Y, W, H float64
	Colour     string
	Title      string
}
type written struct {
	X, Y float64
	Text string
}

// HTML draws one line a process, faults and events over time.
func (r *Result) HTML(w io.Writer) error {
	data := struct {
		*Result
		W, H       float64
		Rects      []drawn
		Marks      []drawn
		Labels     []written
		Ticks      []written
		Legend     []drawn
		Bottom     float64
		MomentRows []string
	}{Result: r, W: pageWidth}
	length := r.Length
	x := func(t time.Duration) float64 { return marginLeft + (pageWidth-marginLeft-8)*t.Seconds()/length }
	y := 6.0
	row := func(name string, spans []Span, over []Span, counts []int) {
		data.Labels = append(data.Labels, written{marginLeft - 6, y + 14, name})
		data.Rects = append(data.Rects, drawn{marginLeft, y, pageWidth - marginLeft - 8, rowHeight - 5, "#f1f4f7", ""})
		most := 1
		for _, n := range counts {
			most = max(most, n)
		}
		for s, n := range counts {
			h := float64(n) / float64(most) * (rowHeight - 6)
			data.Rects = append(data.Rects, drawn{x(time.Duration(s) * time.Second), y + rowHeight - 5 - h, max(1, (pageWidth-marginLeft-8)/length-1), h, "#8fb7a0",
				fmt.Sprintf("%s: %d established in second %d", name, n, s)})
		}
		bars := func(list []Span, h float64) {
			for _, s := range list {
				c := colours[s.What]
				if c == "" {
					c = "#7d8aa5"
				}
				data.Rects = append(data.Rects, drawn{x(s.From), y, max(1.5, x(s.To)-x(s.From)), h, c, fmt.Sprintf("%s: %s from %.2fs to %.2fs", name, s.What, s.From.Seconds(), s.To.Seconds())})
			}
		}
		bars(spans, rowHeight-5)
		bars(over, 4)
		y += rowHeight
	}
	for _, p := range r.Processes {
		row(p.Name, p.Spans, p.Front, p.PerSecond)
	}
	for _, s := range r.Struck {
		row(s.Name, s.Spans, nil, nil)
	}
	for i, s := range r.Ways {
		row(fmt.Sprintf("way %d", i+1), []Span{s}, nil, nil)
	}
	for _, m := range r.Moments {
		data.Marks = append(data.Marks, drawn{X: x(m.At), Y: 0, W: 1, H: y, Title: fmt.Sprintf("%.2fs %s %s", m.At.Seconds(), m.Who, m.What)})
		data.MomentRows = append(data.MomentRows, fmt.Sprintf("%.2fs  %s  %s", m.At.Seconds(), m.Who, m.What))
	}
	step := 1
	for length/float64(step) > 16 {
		step *= 2
		if step == 4 {
			step = 5
		}
	}
	for s := 0; float64(s) <= length; s += step {
		data.Ticks = append(data.Ticks, written{x(time.Duration(s) * time.Second), y + 14, fmt.Sprintf("%ds", s)})
	}
	data.Bottom, data.H = y, y+20
	for _, name := range []string{"down", "died", "ending", "frozen", "starved", "left out", "struck"} {
		data.Legend = append(data.Legend, drawn{Colour: colours[name], Title: name})
	}
	return pageTemplate.Execute(w, data)
}
