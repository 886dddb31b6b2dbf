package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"yardwinch/internal/testbed/fleet"
)

const maxPrintedViolations = 3

func newJobsFlag() cli.Flag {
	return &cli.IntFlag{Name: "jobs", Value: 1, Usage: "concurrent runs; too many for the machine make all of them void"}
}

func newRepeatVoidFlag() cli.Flag {
	return &cli.IntFlag{Name: "again", Value: 2, Usage: "how many times a void run is repeated"}
}

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:      "fleet",
		ArgsUsage: "FILE...",
		Usage:     "run many balancer processes with faults of processes and network paths, and check requirements",
		Flags: []cli.Flag{
			seedFlag,
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "runs of each file, with consecutive seeds"},
			programFlag,
			&cli.StringFlag{Name: "old", Usage: "use `PROGRAM` as the earlier build instead of building the revision that the file names"},
			newJobsFlag(),
			newRepeatVoidFlag(),
			logsFlag,
			jsonFlag,
			htmlFlag,
		},
		Commands: []*cli.Command{soakCommand()},
		Action:   runFleet,
	}
}

// fleetJob is one run of a plan.
type fleetJob struct {
	plan         *fleet.Plan
	seed         uint64
	program, old []string
}

func runFleet(ctx context.Context, c *cli.Command) error {
	jobs, err := fleetJobs(ctx, c)
	if err != nil {
		return err
	}
	results, err := runFleetJobs(ctx, c, jobs)
	if err != nil {
		return err
	}
	if err := writeFleetResults(c, results); err != nil {
		return err
	}
	return fleetVerdict(results)
}

func fleetJobs(ctx context.Context, c *cli.Command) (jobs []fleetJob, err error) {
	plans, err := openPlans(c.Args().Slice())
	if err != nil {
		return nil, err
	}
	program, err := balancerProgram(c)
	if err != nil {
		return nil, err
	}
	for _, plan := range plans {
		old, err := oldProgram(ctx, c, plan)
		if err != nil {
			return nil, err
		}
		for s := range max(c.Int("seeds"), 1) {
			jobs = append(jobs, fleetJob{plan, c.Uint64("seed") + uint64(s), program, old})
		}
	}
	return jobs, nil
}

func openPlans(files []string) (plans []*fleet.Plan, err error) {
	if len(files) == 0 {
		return nil, inputError(&fleet.Error{Where: "fleet", What: "want at least one file", Remedy: "name files of experiments/fleet"})
	}
	for _, file := range files {
		plan, err := fleet.Open(file)
		if err != nil {
			return nil, inputError(err)
		}
		plans = append(plans, plan)
	}
	return plans, nil
}

// oldProgram returns the command line of the earlier build that a plan needs; nil if it needs none.
func oldProgram(ctx context.Context, c *cli.Command, p *fleet.Plan) ([]string, error) {
	if program := c.String("old"); program != "" {
		return []string{program, "serve"}, nil
	}
	if p.OldRevision == "" {
		return nil, nil
	}
	program, err := fleet.Build(ctx, ".", p.OldRevision)
	if err != nil {
		return nil, err
	}
	return []string{program, "serve"}, nil
}

func runFleetJobs(ctx context.Context, c *cli.Command, jobs []fleetJob) ([]*fleet.Result, error) {
	results := make([]*fleet.Result, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Int("jobs"), 1))
	var printing sync.Mutex
	for i, job := range jobs {
		group.Go(func() error {
			var progress func(time.Duration)
			if c.Int("jobs") <= 1 {
				progress = showProgress(os.Stderr, job.plan.Experiment)
			}
			result, err := job.run(ctx, c, progress)
			if err != nil {
				return err
			}
			results[i] = result
			if c.String("json") != "-" {
				printing.Lock()
				defer printing.Unlock()
				printFleetResult(os.Stdout, result)
			}
			return nil
		})
	}
	return results, group.Wait()
}

// run runs a job, and repeats it while the run is void.
func (j fleetJob) run(ctx context.Context, c *cli.Command, progress func(time.Duration)) (result *fleet.Result, err error) {
	for attempt := 0; result == nil || result.Void != "" && attempt <= c.Int("again"); attempt++ {
		if result, err = j.runOnce(ctx, c, progress); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func (j fleetJob) runOnce(ctx context.Context, c *cli.Command, progress func(time.Duration)) (*fleet.Result, error) {
	directory, remove, err := logDirectory(c)
	if err != nil {
		return nil, err
	}
	defer remove()
	if c.String("logs") != "" {
		directory = filepath.Join(directory, fmt.Sprintf("%s-%d", j.plan.Name(), j.seed))
		if err := os.MkdirAll(directory, directoryMode); err != nil {
			return nil, err
		}
	}
	return fleet.Run(ctx, j.plan, fleet.Settings{Seed: j.seed, Program: j.program, OldProgram: j.old, Directory: directory, Progress: progress})
}

// writeFleetResults writes all results to the file of --json, and the first result to the file of --html, if these flags are given.
func writeFleetResults(c *cli.Command, results []*fleet.Result) error {
	if path := c.String("json"); path != "" {
		if err := writeFile(path, func(w io.Writer) error {
			encoder := json.NewEncoder(w)
			encoder.SetIndent("", " ")
			return encoder.Encode(results)
		}); err != nil {
			return err
		}
	}
	if path := c.String("html"); path != "" {
		return writeFile(path, results[0].HTML)
	}
	return nil
}

func fleetVerdict(results []*fleet.Result) error {
	fails, voids := 0, 0
	for _, r := range results {
		if r.Void != "" {
			voids++
		} else if !r.Holds {
			fails++
		}
	}
	switch {
	case fails > 0:
		return cli.Exit(fmt.Sprintf("fleet: requirements were not met in %d of %d runs", fails, len(results)), ruleBroken)
	case voids > 0:
		return cli.Exit(fmt.Sprintf("fleet: %d of %d runs are void, as the machine was too busy", voids, len(results)), voidRun)
	}
	return nil
}

// fleetVerdictText returns the verdict on a run for the printed report.
func fleetVerdictText(r *fleet.Result) string {
	if r.Void != "" {
		return "VOID: " + r.Void
	}
	return holdsText(r.Holds)
}

func holdsText(holds bool) string {
	if holds {
		return "holds"
	}
	return "FAILS"
}

func printFleetResult(to io.Writer, r *fleet.Result) {
	f := r.Figures
	printf(to, "%s, seed %d: %s\n", r.Name, r.Seed, fleetVerdictText(r))
	printf(to, "  %d processes, %d clients (%d never up), %d flows: %d established, %d rejected, %d aborted; ",
		len(r.Processes), f.Clients, f.NeverEstablished, f.Flows, f.Established, f.Rejected, f.Aborted)
	printf(to, "%d cut, %d moved; service %.3f over %v\n", f.Cut, f.Migrated, f.Service, time.Duration(r.Length*float64(time.Second)))
	if f.HealthChecks > 0 {
		printf(to, "  %d probes of servers\n", f.HealthChecks)
	}
	for _, s := range r.FaultyServers {
		printf(to, "  %s in trouble from %.1fs: the last balancer stopped choosing it after %.2fs, %d connects went to it meanwhile\n",
			s.Server, s.From, s.LastChosenAfter, s.Sent)
	}
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, v := range r.Requirements {
		printf(t, "  %s\t%s\t%s\n", holdsText(v.Holds), v.Requirement, v.Seen)
	}
	_ = t.Flush() // errors are ignored as in printf
	for _, v := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		printf(to, "  broken: %s\n", v)
	}
}
