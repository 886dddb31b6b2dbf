package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"yardwinch/internal/testbed/fleet"
)

const (
	maxSoakSeeds = 10_000
	planMode     = 0o644
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run random fault schedules: restarts, repeated signals, bursts of clients, failing directories, faults of servers and discovery",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1-5", Usage: "seeds `FROM-TO`, one run each"},
			&cli.StringFlag{Name: "keep", Value: ".", Usage: "keep the plans of failed runs in `DIR`; testbed fleet repeats them"},
			newJobsFlag(),
			newRepeatVoidFlag(),
			programFlag,
			logsFlag,
		},
		Action: soak,
	}
}

// seedRange parses FROM-TO, or a single seed.
func seedRange(text string) (from, to uint64, err error) {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	from, err = strconv.ParseUint(first, 10, 64)
	if err == nil {
		to, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || to < from || to-from >= maxSoakSeeds {
		return 0, 0, inputError(&fleet.Error{
			Where:  "soak",
			What:   fmt.Sprintf("invalid range of seeds %q", text),
			Remedy: "give a range such as 1-50, of at most 10,000 seeds",
		})
	}
	return from, to, nil
}

// soakTally counts the runs of a soak.
type soakTally struct {
	mu                          sync.Mutex // also held while a run is printed
	held, failed, voids, notRun int
}

func soak(ctx context.Context, c *cli.Command) error {
	from, to, err := seedRange(c.String("seeds"))
	if err != nil {
		return err
	}
	program, err := balancerProgram(c)
	if err != nil {
		return err
	}
	tally := &soakTally{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Int("jobs"), 1))
	for seed := from; seed <= to; seed++ {
		group.Go(func() error {
			result, err := soakOnce(ctx, c, seed, program)
			return tally.add(ctx, c.String("keep"), seed, result, err)
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d held, %d failed, %d void, %d not played\n", tally.held, tally.failed, tally.voids, tally.notRun)
	return tally.verdict(to - from + 1)
}

func soakOnce(ctx context.Context, c *cli.Command, seed uint64, program []string) (*fleet.Result, error) {
	plan, err := fleet.Read(fmt.Sprintf("soak-%d.toml", seed), []byte(fleet.SoakPlan(seed)))
	if err != nil {
		return nil, err
	}
	return fleetJob{plan: plan, seed: seed, program: program}.run(ctx, c, nil)
}

// add counts and prints a run. A run that failed to execute doesn't stop the others, unless the context has ended.
func (t *soakTally) add(ctx context.Context, keep string, seed uint64, result *fleet.Result, err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		fmt.Printf("seed %d: NOT PLAYED: %v\n", seed, err)
		t.notRun++
		return ctx.Err()
	}
	switch {
	case result.Void != "":
		t.voids++
	case result.Holds:
		t.held++
	default:
		t.failed++
	}
	return printSoak(os.Stdout, keep, seed, result)
}

func (t *soakTally) verdict(runs uint64) error {
	switch {
	case t.failed > 0:
		return cli.Exit(fmt.Sprintf("soak: requirements were not met in %d of %d runs", t.failed, runs), ruleBroken)
	case t.voids+t.notRun > 0:
		return cli.Exit(fmt.Sprintf("soak: %d of %d runs are void, as the machine was too busy, or failed to execute",
			t.voids+t.notRun, runs), voidRun)
	}
	return nil
}

// printSoak prints a line for a run. For a failed run it also prints the unmet requirements and saves the plan.
func printSoak(to io.Writer, keep string, seed uint64, r *fleet.Result) error {
	f := r.Figures
	printf(to, "seed %d: %s; %d flows: %d established, %d rejected, %d aborted; %d cut, %d moved\n",
		seed, fleetVerdictText(r), f.Flows, f.Established, f.Rejected, f.Aborted, f.Cut, f.Migrated)
	if r.Holds || r.Void != "" {
		return nil
	}
	for _, v := range r.Requirements {
		if !v.Holds {
			printf(to, "  %s: %s\n", v.Requirement, v.Seen)
		}
	}
	if len(r.Violations) > 0 {
		printf(to, "  first: %s\n", r.Violations[0])
	}
	path := filepath.Join(keep, fmt.Sprintf("soak-%d.toml", seed))
	if err := os.WriteFile(path, []byte(fleet.SoakPlan(seed)), planMode); err != nil {
		return err
	}
	printf(to, "  kept: testbed fleet %s --seed %d\n", path, seed)
	return nil
}
