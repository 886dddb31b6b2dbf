package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/scenario"
)

var (
	seedFlag      = &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"}
	seedsFlag     = &cli.IntFlag{Name: "seeds", Usage: "number of seeds; 0: as in the file"}
	policyFlag    = &cli.StringSliceFlag{Name: "policy", Usage: "run only this policy: " + strings.Join(experiment.Policies, ", ")}
	jsonFlag      = &cli.StringFlag{Name: "json", Usage: "write the results to `FILE`; - is standard output"}
	htmlFlag      = &cli.StringFlag{Name: "html", Usage: "write an HTML page with plots to `FILE`"}
	workersFlag   = &cli.IntFlag{Name: "workers", Usage: "days run concurrently; 0: one per core"}
	partFlag      = &cli.FloatFlag{Name: "part", Value: 1, Usage: "scale the day's length, and the times of its faults, by this factor"}
	balancersFlag = &cli.IntFlag{Name: "balancers", Usage: "number of balancers; 0: as in the file"}
	serversFlag   = &cli.IntFlag{Name: "servers", Usage: "number of servers; 0: as in the file"}
)

func runCommand() *cli.Command {
	return &cli.Command{Name: "run", ArgsUsage: "FILE", Usage: "run an experiment in virtual time, with all its policies and seeds",
		Flags:  []cli.Flag{seedFlag, seedsFlag, policyFlag, jsonFlag, htmlFlag, workersFlag, partFlag, balancersFlag, serversFlag},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, false) }}
}

func compareCommand() *cli.Command {
	return &cli.Command{Name: "compare", ArgsUsage: "FILE", Usage: "compare ours with each other policy, paired by seed",
		Flags:  []cli.Flag{seedFlag, seedsFlag, policyFlag, jsonFlag, htmlFlag, workersFlag, partFlag, balancersFlag, serversFlag},
		Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, true) }}
}

// selection is the experiment of a command, with its flags applied.
type selection struct {
	experiment *experiment.Experiment
	policies   []string
	seeds      int
}

func openSelection(c *cli.Command) (selection, error) {
	if c.Args().Len() != 1 {
		return selection{}, fmt.Errorf("want one experiment file, got %d arguments", c.Args().Len())
	}
	e, err := experiment.Open(c.Args().First())
	if err != nil {
		return selection{}, err
	}
	result := selection{policies: e.Policies, seeds: e.Seeds}
	if policies := c.StringSlice("policy"); len(policies) > 0 {
		result.policies = policies
	}
	for _, policy := range result.policies {
		if !slices.Contains(experiment.Policies, policy) {
			return selection{}, fmt.Errorf("--policy: want one of %s, got %q", strings.Join(experiment.Policies, ", "), policy)
		}
	}
	if seeds := c.Int("seeds"); seeds > 0 {
		result.seeds = seeds
	}
	if part := c.Float("part"); part > 0 && part != 1 {
		e = e.WithScaledTimes(part)
	}
	result.experiment = e.WithSize(c.Int("balancers"), c.Int("servers"))
	return result, nil
}

func run(ctx context.Context, c *cli.Command, isCompared bool) error {
	selected, err := openSelection(c)
	if err != nil {
		return inputError(err)
	}
	if isCompared && !slices.Contains(selected.policies, experiment.Ours) {
		selected.policies = append([]string{experiment.Ours}, selected.policies...)
	}
	jobs := scenario.NewJobs(selected.policies, c.Uint64("seed"), selected.seeds)
	step, end := progressBar(selected.experiment.Name, len(jobs))
	start := time.Now()
	results, err := scenario.RunAll(ctx, selected.experiment, jobs, c.Int("workers"), step)
	end()
	if err != nil {
		return err
	}
	if err := writeResults(c, selected.experiment, results); err != nil {
		return err
	}
	if c.String("json") != "-" {
		printf(os.Stdout, "%s: %s\n", selected.experiment.Name, selected.experiment.About)
		printTable(os.Stdout, selected.policies, results, isCompared)
		fmt.Printf("%d days in %v\n", len(jobs), time.Since(start).Round(10*time.Millisecond))
	}
	return ruleVerdict(results)
}

// ruleVerdict returns an error if the project's own policy broke a rule. Baselines may break rules; the table shows it.
func ruleVerdict(results []*count.Result) error {
	for _, r := range results {
		if strings.HasPrefix(r.Policy, experiment.Ours) && r.ViolationCount > 0 {
			return cli.Exit(fmt.Sprintf("seed %d: a rule was broken: %s", r.Seed, r.Violations[0]), ruleBroken)
		}
	}
	return nil
}

// tableRow is a policy's row of the table.
type tableRow struct {
	service float64
	text    string
}

// printTable prints one row per policy with means over the seeds, ordered by descending service.
func printTable(to io.Writer, policies []string, results []*count.Result, isCompared bool) {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	head := "policy\tservice\twhole\tworst 10 s\tcustomer\tset-up p50/p99 ms\tconnects/client\tmoves\trejects\tbroken rules"
	if isCompared {
		head += "\tours better by"
	}
	printf(t, "%s\n", head)
	var rows []tableRow
	for _, policy := range policies {
		rows = append(rows, rowOf(policy, results, isCompared))
	}
	slices.SortStableFunc(rows, func(a, b tableRow) int { return cmp.Compare(b.service, a.service) })
	for _, row := range rows {
		printf(t, "%s\n", row.text)
	}
	_ = t.Flush() // errors are ignored as in printf
}

func rowOf(policy string, results []*count.Result, isCompared bool) tableRow {
	mean, days := count.Mean(results, policy)
	perDay := func(sum int) float64 { return float64(sum) / float64(max(days, 1)) }
	connectsPerClient := float64(mean.Connects) / float64(max(mean.Clients, 1))
	text := fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f / %.1f\t%.2f\t%.0f\t%.0f\t%d",
		policy, mean.Service, mean.ServedShare, mean.WorstWindow, mean.WorstCustomer, mean.SetupTimes.P50, mean.SetupTimes.P99,
		connectsPerClient, perDay(mean.Migrations), perDay(mean.Rejected), mean.ViolationCount)
	switch {
	case isCompared && policy == experiment.Ours:
		text += "\t"
	case isCompared:
		difference, half := count.PairedDifference(servicesOf(experiment.Ours, results), servicesOf(policy, results))
		text += fmt.Sprintf("\t%+.3f ± %.3f", difference, half)
	}
	return tableRow{mean.Service, text}
}

func servicesOf(policy string, results []*count.Result) (services []float64) {
	for _, r := range results {
		if r.Policy == policy {
			services = append(services, r.Service)
		}
	}
	return services
}
