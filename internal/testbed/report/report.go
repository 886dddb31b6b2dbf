// Package report writes what a run came to: as JSON for programs, and as one page with drawn plots that needs nothing
// beside itself.
package report

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"yardwinch/internal/testbed/count"
)

// JSON writes all results. The bytes depend on the results alone.
func JSON(w io.Writer, name, about string, results []*count.Result) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(struct {
		Name    string          `json:"name"`
		About   string          `json:"about"`
		Results []*count.Result `json:"results"`
	}{name, about, results})
}

//go:embed page.html
var page string

var pageTemplate = template.Must(template.New("page").Parse(page))

// colours of policies; ours is the strongest.
var colours = map[string]string{"ours": "#0b5fa5", "random": "#b5b5b5", "least": "#d08c2f", "two-choices": "#8a6fb0",
	"hashing": "#3f9b6c", "top": "#222222"}

func colour(policy string) string {
	if c := colours[policy]; c != "" {
		return c
	}
	return "#a33"
}

// plot is one drawing, laid out in units of the page.
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

const (
	left, right, top, bottom = 52.0, 26.0, 10.0, 26.0
	width, height            = 900.0, 240.0
)

// HTML draws the first seed of each policy, and a table of all.
func HTML(w io.Writer, name, about string, results []*count.Result) error {
	type row struct {
		Policy, Service, Whole, Window, Customer, Setup, Connects string
		Moves, Rejects, Broken, Days                              int
		Colour                                                    string
	}
	data := struct {
		Name, About string
		Seed        uint64
		Rows        []row
		Plots       []plot
		Broken      []string
	}{Name: name, About: about}
	if len(results) == 0 {
		return fmt.Errorf("report: no results")
	}
	data.Seed = results[0].Seed
	var shown []*count.Result // the first seed of each
	var policies []string
	for _, r := range results {
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
			shown = append(shown, r)
		}
		for _, v := range r.Violations {
			if len(data.Broken) < 20 {
				data.Broken = append(data.Broken, fmt.Sprintf("%s, seed %d: %s", r.Policy, r.Seed, v))
			}
		}
	}
	for _, p := range policies {
		m, days := count.Mean(results, p)
		x := row{Policy: p, Colour: colour(p), Days: days, Moves: m.Migrations, Rejects: m.Rejected, Broken: m.Broken}
		x.Service, x.Whole, x.Window = fmt.Sprintf("%.3f", m.Service), fmt.Sprintf("%.3f", m.ServedShare), fmt.Sprintf("%.3f", m.WorstWindow)
		x.Customer, x.Setup = fmt.Sprintf("%.3f", m.WorstCustomer), fmt.Sprintf("%.0f / %.0f", m.SetupTimes.P50, m.SetupTimes.P99)
		x.Connects = fmt.Sprintf("%.2f", float64(m.Connects)/float64(max(m.Clients, 1)))
		data.Rows = append(data.Rows, x)
	}
	slices.SortStableFunc(data.Rows, func(a, b row) int { return strings.Compare(b.Service, a.Service) })
	data.Plots = append(data.Plots, series("Service by second", "share of the value asked for", shown, 1,
		func(r *count.Result) []float64 { return r.BySecond }))
	for _, r := range shown {
		if r.Policy == "ours" || len(shown) == 1 {
			data.Plots = append(data.Plots, heat(r), setups(r))
		}
	}
	data.Plots = append(data.Plots,
		series("Moves by second", "moves", shown, 0, func(r *count.Result) []float64 { return floats(r.MigrationsBySecond) }),
		series("Rejects by second", "rejects", shown, 0, func(r *count.Result) []float64 { return floats(r.RejectsBySecond) }),
		series("Connects for each try", "connects over tries, by second", shown, 0, func(r *count.Result) []float64 {
			per := floats(r.ConnectsBySecond)
			for i := range per {
				per[i] /= math.Max(1, float64(r.AttemptsBySecond[i]))
			}
			return per
		}))
	return pageTemplate.Execute(w, data)
}

func floats(n []int) []float64 {
	f := make([]float64, len(n))
	for i, v := range n {
		f[i] = float64(v)
	}
	return f
}

// frame draws axes and marks the troubles.
func frame(title, unit string, seconds int, most, h float64, r *count.Result) plot {
	p := plot{Title: title, Unit: unit, W: width, H: h}
	x := func(s float64) float64 { return left + (width-left-right)*math.Min(1, s/float64(max(seconds, 1))) }
	for s := 0; s <= seconds; s += 10 {
		p.XTicks = append(p.XTicks, tick{x(float64(s)), h - bottom, fmt.Sprintf("%d s", s)})
	}
	for i := 0; i <= 4 && most > 0; i++ {
		v := most * float64(i) / 4
		label := fmt.Sprintf("%.2f", v)
		if most >= 8 {
			label = fmt.Sprintf("%.0f", v)
		}
		p.YTicks = append(p.YTicks, tick{left, h - bottom - (h-top-bottom)*float64(i)/4, label})
	}
	for i, t := range r.Faults {
		if from := x(t.Start); from < width-right {
			p.Bands = append(p.Bands, band{from, math.Max(2, x(t.End)-from), top + 12 + 13*float64(i%4), t.Kind})
		}
	}
	return p
}

func series(title, unit string, shown []*count.Result, most float64, of func(*count.Result) []float64) plot {
	seconds := 0
	if most == 0 {
		for _, r := range shown {
			for _, v := range of(r) {
				most = math.Max(most, v)
			}
		}
		most = math.Max(1, math.Ceil(most/4)*4)
	}
	for _, r := range shown {
		seconds = max(seconds, len(of(r)))
	}
	p := frame(title, unit, seconds, most, height, shown[0])
	for _, r := range shown {
		p.Lines = append(p.Lines, line{points(of(r), seconds, most, height), colour(r.Policy), ""})
		p.Legend = append(p.Legend, key{r.Policy, colour(r.Policy)})
	}
	return p
}

func points(values []float64, seconds int, most, h float64) string {
	var b strings.Builder
	for i, v := range values {
		x := left + (width-left-right)*(float64(i)+0.5)/float64(max(seconds, 1))
		y := h - bottom - (h-top-bottom)*math.Min(1, v/most)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return b.String()
}

func setups(r *count.Result) plot {
	most := 0.0
	for _, q := range r.SetupTimesBySecond {
		most = math.Max(most, q[2])
	}
	most = math.Max(10, math.Ceil(most/100)*100)
	p := frame("Set-up latency by second, "+r.Policy, "ms", len(r.SetupTimesBySecond), most, height, r)
	for i, q := range []string{"p50", "p90", "p99"} {
		values := make([]float64, len(r.SetupTimesBySecond))
		for k := range r.SetupTimesBySecond {
			values[k] = r.SetupTimesBySecond[k][i]
		}
		c := []string{"#0b5fa5", "#d08c2f", "#a33"}[i]
		p.Lines = append(p.Lines, line{points(values, len(values), most, height), c, ""})
		p.Legend = append(p.Legend, key{q, c})
	}
	return p
}

// heat shows what is asked of every server over what it can do, a row a server.
func heat(r *count.Result) plot {
	rows := len(r.LoadByServer)
	each := math.Min(16, math.Max(3, 420/float64(max(rows, 1))))
	h := top + bottom + each*float64(rows)
	seconds := len(r.BySecond)
	p := frame("Load by server, "+r.Policy, "asked over what it can do; grey: no process", seconds, 0, h, &count.Result{})
	w := (width - left - right) / float64(max(seconds, 1))
	for i, row := range r.LoadByServer {
		for s, v := range row {
			if s < seconds {
				p.Cells = append(p.Cells, cell{left + w*float64(s), top + each*float64(i), w + 0.3, each, shade(v)})
			}
		}
		if each >= 9 || i%10 == 0 {
			p.YTicks = append(p.YTicks, tick{left, top + each*(float64(i)+0.5) + 3, fmt.Sprintf("s-%03d", i)})
		}
	}
	for _, k := range []struct {
		v    float64
		name string
	}{{0.1, "0.1"}, {0.5, "0.5"}, {0.9, "0.9"}, {1.1, "over 1"}, {2, "2 and more"}, {-1, "none"}} {
		p.Legend = append(p.Legend, key{k.name, shade(k.v)})
	}
	return p
}

// shade goes from pale to blue up to what a server can do, and from orange to dark red beyond.
func shade(v float64) string {
	mix := func(a, b [3]float64, t float64) string {
		t = math.Max(0, math.Min(1, t))
		return fmt.Sprintf("#%02x%02x%02x", int(a[0]+(b[0]-a[0])*t), int(a[1]+(b[1]-a[1])*t), int(a[2]+(b[2]-a[2])*t))
	}
	switch {
	case v < 0:
		return "#8d8d8d"
	case v <= 1:
		return mix([3]float64{244, 248, 251}, [3]float64{20, 90, 150}, v)
	}
	return mix([3]float64{240, 150, 40}, [3]float64{110, 0, 20}, v-1)
}
