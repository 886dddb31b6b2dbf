package main

import (
	"context"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"yardwinch/internal/testbed/dissemination"
)

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "in virtual time: how fast, and at what cost, a word of trouble spreads over fleets of several sizes",
		Flags: []cli.Flag{
			seedFlag,
			&cli.IntFlag{Name: "seeds", Value: 3},
			&cli.IntSliceFlag{Name: "members", Value: []int{5, 50, 300, 1000}},
			&cli.FloatFlag{Name: "share", Value: 0.1, Usage: "of members that see the trouble at first hand; two at the least"},
			&cli.FloatFlag{Name: "loss"},
			&cli.DurationFlag{Name: "delay", Value: 2 * time.Millisecond},
			&cli.BoolFlag{Name: "split", Usage: "two halves until 10 s after the trouble begins"},
			&cli.DurationFlag{Name: "from", Value: 20 * time.Second, Usage: "when the trouble begins"},
			&cli.DurationFlag{Name: "for", Value: 35 * time.Second},
			jsonFlag,
			htmlFlag,
		},
		Action: simulateDissemination,
	}
}

func simulateDissemination(ctx context.Context, c *cli.Command) error {
	var results []*dissemination.Result
	for _, n := range c.IntSlice("members") {
		if n < 2 || n > 5000 {
			return fault(fmt.Errorf("--members: want 2 to 5000, got %d", n))
		}
		for range max(1, c.Int("seeds")) {
			results = append(results, nil)
		}
	}
	if f, l := c.Duration("from"), c.Duration("for"); f < time.Second || l < f+5*time.Second || l > time.Hour {
		return fault(fmt.Errorf("--for: want 5s more than --from at the least, got %v and %v", l, f))
	}
	g, _ := errgroup.WithContext(ctx)
	g.SetLimit(4)
	step, end := bar("runs", len(results))
	seeds := max(1, c.Int("seeds"))
	for i := range results {
		g.Go(func() error {
			result, err := dissemination.Simulate(dissemination.Config{
				Members:     c.IntSlice("members")[i/seeds],
				Seed:        c.Uint64("seed") + uint64(i%seeds),
				DirectShare: c.Float("share"),
				Network: dissemination.Network{
					Delay:  c.Duration("delay"),
					Jitter: c.Duration("delay"),
					Loss:   c.Float("loss"),
				},
				FaultAt:   c.Duration("from"),
				Duration:  c.Duration("for"),
				Partition: c.Bool("split"),
			})
			results[i] = result
			step()
			return err
		})
	}
	err := g.Wait()
	end()
	if err != nil {
		return err
	}
	if path := c.String("json"); path != "" {
		if err := put(path, func(w io.Writer) error { return json.NewEncoder(w).Encode(results) }); err != nil {
			return err
		}
	}
	if path := c.String("html"); path != "" {
		if err := put(path, func(w io.Writer) error { return drawDissemination(w, results) }); err != nil {
			return err
		}
	}
	if c.String("json") == "-" {
		return nil
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printf(t, "members\tseed\thalf know after\t99 %% after\tquiet: bytes/s, packets/s, messages heard/s\tfirst 5 s: bytes/s, the most\tdear before\n")
	for _, r := range results {
		printf(t, "%d\t%d\t%s\t%s\t%.0f  %.1f  %.0f\t%.0f  %.0f\t%d\n", r.Members, r.Seed, orNever(r.Half), orNever(r.Most),
			r.QuietBytes, r.QuietPackets, r.QuietMessages, r.BusyBytes, r.MaxBusyBytes, r.FalsePenalties)
	}
	printf(t, "all simulated; an instance's own figures\n")
	return t.Flush()
}

func orNever(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.String()
}

var disseminationPage = template.Must(template.New("dissemination").Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>How a word spreads</title>
<style>body{font:15px/1.45 system-ui,sans-serif;color:#1d2733;max-width:960px;margin:24px auto}text{font:11px system-ui;fill:#51606e}</style>
<h1>How a word of trouble spreads</h1><p>Share of members that know of it, by seconds since it began. Simulated.</p>
<svg viewBox="0 0 900 320">{{range .Ticks}}<line x1="{{.X}}" x2="{{.X}}" y1="10" y2="280" stroke="#e2e7ec"/><text x="{{.X}}" y="296" text-anchor="middle">{{.T}}</text>{{end}}
{{range .Lines}}<polyline points="{{.Points}}" fill="none" stroke="{{.Colour}}" stroke-width="1.8"/>{{end}}
{{range $i, $l := .Legend}}<text x="{{$l.X}}" y="314" style="fill:{{$l.Colour}}">{{$l.Name}}</text>{{end}}</svg></html>`))

// drawDissemination draws who knows over time, a line a run.
func drawDissemination(w io.Writer, results []*dissemination.Result) error {
	type tick struct {
		X float64
		T string
	}
	type line struct{ Points, Colour string }
	type key struct {
		X            float64
		Name, Colour string
	}
	var data struct {
		Ticks  []tick
		Lines  []line
		Legend []key
	}
	colours := []string{"#0b5fa5", "#d08c2f", "#3f9b6c", "#8a6fb0", "#a33", "#222"}
	colour := map[int]string{}
	most := 1
	for _, r := range results {
		most = max(most, len(r.Knowing))
	}
	for _, r := range results {
		if colour[r.Members] == "" {
			colour[r.Members] = colours[len(colour)%len(colours)]
			data.Legend = append(data.Legend, key{40 + 120*float64(len(colour)-1), fmt.Sprintf("%d members", r.Members), colour[r.Members]})
		}
		var points []string
		for i, n := range r.Knowing {
			points = append(points, fmt.Sprintf("%.1f,%.1f", 40+840*float64(i)/float64(most), 280-270*float64(n)/float64(r.Members)))
		}
		data.Lines = append(data.Lines, line{strings.Join(points, " "), colour[r.Members]})
	}
	for s := 0; s <= most/10; s++ {
		data.Ticks = append(data.Ticks, tick{40 + 840*float64(s*10)/float64(most), fmt.Sprintf("%ds", s)})
	}
	return disseminationPage.Execute(w, data)
}
