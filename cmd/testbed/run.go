package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/report"
	"yardwinch/internal/testbed/scenario"
)

var (
	seedFlag    = &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"}
	seedsFlag   = &cli.IntFlag{Name: "seeds", Usage: "how many seeds; as the file says where not given"}
	policyFlag  = &cli.StringSliceFlag{Name: "policy", Usage: "play only this policy: " + strings.Join(experiment.Policies, ", ")}
	jsonFlag    = &cli.StringFlag{Name: "json", Usage: "write the results to `FILE`; - is standard output"}
	htmlFlag    = &cli.StringFlag{Name: "html", Usage: "write a page with drawn plots to `FILE`"}
	workersFlag = &cli.IntFlag{Name: "workers", Usage: "days at once; all cores where not given"}
	partFlag    = &cli.FloatFlag{Name: "part", Value: 1, Usage: "play this part of the day's length, the troubles with it"}
	sizeFlag    = &cli.IntFlag{Name: "balancers", Usage: "so many balancers in place of the file's"}
	fleetFlag   = &cli.IntFlag{Name: "servers", Usage: "so many servers in place of the file's"}
)

func runCommand() *cli.Command {
	return &cli.Command{Name: "run", ArgsUsage: "FILE", Usage: "play an experiment in virtual time, all its policies and seeds",
		Flags:  []cli.Flag{seedFlag, seedsFlag, policyFlag, jsonFlag, htmlFlag, workersFlag, partFlag, sizeFlag, fleetFlag},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, false) }}
}

func compareCommand() *cli.Command {
	return &cli.Command{Name: "compare", ArgsUsage: "FILE", Usage: "ours beside each other policy, paired by seed, with the interval",
		Flags:  []cli.Flag{seedFlag, seedsFlag, policyFlag, jsonFlag, htmlFlag, workersFlag, partFlag, sizeFlag, fleetFlag},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, true) }}
}

// open reads the experiment that a command names and what its flags change.
func open(c *cli.Command) (*experiment.Experiment, []string, int, error) {
	if c.Args().Len() != 1 {
		return nil, nil, 0, fmt.Errorf("want one experiment file, got %d arguments", c.Args().Len())
	}
	e, err := experiment.Open(c.Args().First())
	if err != nil {
		return nil, nil, 0, err
	}
	policies, seeds := e.Policies, e.Seeds
	if p := c.StringSlice("policy"); len(p) > 0 {
		policies = p
	}
	for _, p := range policies {
		if !slices.Contains(experiment.Policies, p) {
			return nil, nil, 0, fmt.Errorf("--policy: want one of %s, got %q", strings.Join(experiment.Policies, ", "), p)
		}
	}
	if n := c.Int("seeds"); n > 0 {
		seeds = n
	}
	if p := c.Float("part"); p > 0 && p != 1 {
		e = e.Stretched(p)
	}
	return e.Sized(c.Int("balancers"), c.Int("servers")), policies, seeds, nil
}

// bar draws progress on standard error, where that is a terminal; elsewhere it says a line now and then.
func bar(name string, total int) (step func(), end func()) {
	if s, err := os.Stderr.Stat(); err != nil || s.Mode()&os.ModeCharDevice == 0 {
		done, began, said := make(chan struct{}, total), time.Now(), time.Now()
		n := 0
		return func() { done <- struct{}{} }, func() {
			n = len(done)
			_ = said
			fmt.Fprintf(os.Stderr, "%s: %d of %d in %v\n", name, n, total, time.Since(began).Round(time.Millisecond))
		}
	}
	p := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(48))
	b := p.AddBar(int64(total), mpb.PrependDecorators(decor.Name(name+" "), decor.CountersNoUnit("%d of %d")),
		mpb.AppendDecorators(decor.Elapsed(decor.ET_STYLE_GO)))
	return func() { b.Increment() }, func() { b.Abort(false); p.Wait() }
}

func run(ctx context.Context, c *cli.Command, compare bool) error {
	e, policies, seeds, err := open(c)
	if err != nil {
		return fault(err)
	}
	if compare && !slices.Contains(policies, "ours") {
		policies = append([]string{"ours"}, policies...)
	}
	jobs := scenario.NewJobs(policies, c.Uint64("seed"), seeds)
	step, end := bar(e.Name, len(jobs))
	began := time.Now()
	results, err := scenario.RunAll(ctx, e, jobs, c.Int("workers"), step)
	end()
	if err != nil {
		return err
	}
	if err := write(c, e, results); err != nil {
		return err
	}
	if c.String("json") != "-" {
		table(os.Stdout, e, policies, results, compare)
		fmt.Printf("%d days in %v\n", len(jobs), time.Since(began).Round(10*time.Millisecond))
	}
	return verdict(results)
}

// write puts results where the flags name places for them.
func write(c *cli.Command, e *experiment.Experiment, results []*count.Result) error {
	if path := c.String("json"); path != "" {
		if err := put(path, func(w io.Writer) error { return report.JSON(w, e.Name, e.About, results) }); err != nil {
			return err
		}
	}
	if path := c.String("html"); path != "" {
		return put(path, func(w io.Writer) error { return report.HTML(w, e.Name, e.About, results) })
	}
	return nil
}

func put(path string, do func(io.Writer) error) error {
	if path == "-" {
		return do(os.Stdout)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := do(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("%s: %w", path, err)
	}
	return f.Close()
}

// verdict fails a run in which ours broke a rule; baselines may, and the table says so.
func verdict(results []*count.Result) error {
	for _, r := range results {
		if strings.HasPrefix(r.Policy, "ours") && r.Broken > 0 {
			return cli.Exit(fmt.Sprintf("seed %d: a rule was broken: %s", r.Seed, r.Violations[0]), ruleBroken)
		}
	}
	return nil
}

// table prints a line a policy: means over the seeds.
func table(to io.Writer, e *experiment.Experiment, policies []string, results []*count.Result, compare bool) {
	printf(to, "%s: %s\n", e.Name, e.About)
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	head := "policy\tservice\twhole\tworst 10 s\tcustomer\tset-up p50/p99 ms\tconnects/client\tmoves\trejects\tbroken rules"
	if compare {
		head += "\tours better by"
	}
	printf(t, "%s\n", head)
	var ours []float64
	for _, r := range results {
		if r.Policy == "ours" {
			ours = append(ours, r.Service)
		}
	}
	type line struct {
		service float64
		text    string
	}
	var lines []line
	for _, p := range policies {
		m, days := count.Mean(results, p)
		var service []float64
		for _, r := range results {
			if r.Policy == p {
				service = append(service, r.Service)
			}
		}
		n := float64(max(days, 1))
		text := fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f / %.1f\t%.2f\t%.0f\t%.0f\t%d", p, m.Service, m.ServedShare, m.WorstWindow, m.WorstCustomer,
			m.SetupTimes.P50, m.SetupTimes.P99, float64(m.Connects)/float64(max(m.Clients, 1)), float64(m.Migrations)/n, float64(m.Rejected)/n, m.Broken)
		if compare {
			if p == "ours" {
				text += "\t"
			} else {
				mean, half := count.PairedDifference(ours, service)
				text += fmt.Sprintf("\t%+.3f ± %.3f", mean, half)
			}
		}
		lines = append(lines, line{m.Service, text})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(b.service, a.service) })
	for _, l := range lines {
		printf(t, "%s\n", l.text)
	}
	_ = t.Flush()
}

// printJSON is for commands whose result is one object.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
