package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/scenario"
	"yardwinch/internal/testbed/virtual"
)

const (
	agreementTolerance = 0.03 // largest difference of the service score between virtual time and sockets
	virtualRuns        = 5    // runs in virtual time, with different random sources of the balancers, as runs on sockets differ, too
)

func agreeCommand() *cli.Command {
	return &cli.Command{
		Name:      "agree",
		ArgsUsage: "FILE...",
		Usage:     "run days of each file in virtual time and on sockets, and report whether the results agree",
		Flags: []cli.Flag{
			seedFlag,
			&cli.StringFlag{Name: "policy", Value: experiment.Ours, Usage: "ours or ours+halls"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of days of each file"},
			programFlag,
			logsFlag,
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "concurrent runs on sockets"},
			partFlag,
			balancersFlag,
			serversFlag,
			jsonFlag,
		},
		Action: agree,
	}
}

// pair is one day and its results with both drivers.
type pair struct {
	Name    string        `json:"name"`
	Seed    uint64        `json:"seed"`
	Virtual *count.Result `json:"virtual"`
	Mean    float64       `json:"virtual_mean"` // over the runs with different random sources of the balancers
	Least   float64       `json:"virtual_least"`
	Most    float64       `json:"virtual_most"`
	Sockets *count.Result `json:"sockets"`
	Agrees  bool          `json:"agrees"`

	experiment *experiment.Experiment
}

func agree(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return inputError(fmt.Errorf("want at least one experiment file"))
	}
	program, err := balancerProgram(c)
	if err != nil {
		return err
	}
	directory, remove, err := logDirectory(c)
	if err != nil {
		return err
	}
	defer remove()
	pairs, err := pairsOf(c)
	if err != nil {
		return err
	}
	if err := runPairs(ctx, c, pairs, program, directory); err != nil {
		return err
	}
	if c.String("json") != "" {
		if err := printJSON(pairs); err != nil {
			return err
		}
	}
	printPairs(os.Stdout, pairs)
	return agreement(pairs)
}

func pairsOf(c *cli.Command) (pairs []*pair, err error) {
	for _, file := range c.Args().Slice() {
		e, err := experiment.Open(file)
		if err != nil {
			return nil, inputError(err)
		}
		if part := c.Float("part"); part > 0 && part != 1 {
			e = e.WithScaledTimes(part)
		}
		e = e.WithSize(c.Int("balancers"), c.Int("servers"))
		for s := range c.Int("seeds") {
			pairs = append(pairs, &pair{Name: e.Name, Seed: c.Uint64("seed") + uint64(s), experiment: e})
		}
	}
	return pairs, nil
}

func runPairs(ctx context.Context, c *cli.Command, pairs []*pair, program []string, directory string) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, c.Int("jobs")))
	step, end := progressBar("days", len(pairs))
	defer end()
	for _, p := range pairs {
		group.Go(func() error {
			if err := p.run(ctx, c.String("policy"), program, directory); err != nil {
				return err
			}
			step()
			return nil
		})
	}
	return group.Wait()
}

func (p *pair) run(ctx context.Context, policy string, program []string, directory string) error {
	if err := p.runVirtual(policy); err != nil {
		return err
	}
	runDirectory := filepath.Join(directory, fmt.Sprintf("%s-%d", p.Name, p.Seed))
	if err := os.MkdirAll(runDirectory, directoryMode); err != nil {
		return err
	}
	result, err := runOnSockets(ctx, socketsRun{experiment: p.experiment, seed: p.Seed, policy: policy, program: program, directory: runDirectory})
	if err != nil {
		return fmt.Errorf("%s, seed %d: %w", p.Name, p.Seed, err)
	}
	p.Sockets = result
	p.Agrees = math.Abs(p.Mean-result.Service) <= agreementTolerance && (p.Virtual.ViolationCount > 0) == (result.ViolationCount > 0)
	return nil
}

// runVirtual runs the day in virtual time with several random sources of the balancers, because on a day close to overload a single run
// is not representative.
func (p *pair) runVirtual(policy string) error {
	p.Least = math.Inf(1)
	for k := range uint64(virtualRuns) {
		result, err := scenario.RunDay(p.experiment, p.Seed, policy, nil, func(newDecider virtual.NewDecider) virtual.NewDecider {
			return func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
				return newDecider(seed+k, b, act)
			}
		})
		if err != nil {
			return err
		}
		if k == 0 {
			p.Virtual = result
		}
		p.Virtual.ViolationCount = max(p.Virtual.ViolationCount, result.ViolationCount)
		p.Mean += result.Service / virtualRuns
		p.Least = min(p.Least, result.Service)
		p.Most = max(p.Most, result.Service)
	}
	return nil
}

// verdict returns the last column of the table.
func (p *pair) verdict() string {
	switch {
	case p.Sockets.Void != "":
		return "void: " + p.Sockets.Void
	case !p.Agrees:
		return "NO"
	}
	return "yes"
}

func printPairs(to io.Writer, pairs []*pair) {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	printf(t, "day\tseed\tservice virtual (least, most)\tsockets\tworst 10 s virtual\tsockets\t"+
		"connects virtual\tsockets\tbroken virtual\tsockets\tagrees\n")
	for _, p := range pairs {
		v, s := p.Virtual, p.Sockets
		printf(t, "%s\t%d\t%.3f (%.3f, %.3f)\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%s\n",
			p.Name, p.Seed, p.Mean, p.Least, p.Most, s.Service, v.WorstWindow, s.WorstWindow,
			v.Connects, s.Connects, v.ViolationCount, s.ViolationCount, p.verdict())
		if s.ViolationCount > 0 {
			printf(t, "\t\t%s\n", s.Violations[0])
		}
	}
	_ = t.Flush() // errors are ignored as in printf
}

// agreement returns an error with its exit code if the drivers disagree on a day or a day is void.
func agreement(pairs []*pair) error {
	differ, void := 0, 0
	for _, p := range pairs {
		if p.Sockets.Void != "" {
			void++
		} else if !p.Agrees {
			differ++
		}
	}
	switch {
	case differ > 0:
		return cli.Exit(fmt.Sprintf("%d of %d days differ", differ, len(pairs)), ruleBroken)
	case void > 0:
		return cli.Exit(fmt.Sprintf("%d of %d days are void", void, len(pairs)), voidRun)
	}
	return nil
}
