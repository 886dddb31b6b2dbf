package main

import (
	"context"
	"fmt"
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

const agreesWithin = 0.03

func agreeCommand() *cli.Command {
	return &cli.Command{Name: "agree", ArgsUsage: "FILE...", Usage: "play a day of each file in virtual time and on sockets, and tell whether both say the same",
		Flags: []cli.Flag{seedFlag, &cli.StringFlag{Name: "policy", Value: "ours", Usage: "ours or ours+halls"}, &cli.IntFlag{Name: "seeds", Value: 1, Usage: "days of each file"}, programFlag, logsFlag,
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "runs on sockets at once"}, partFlag, sizeFlag, fleetFlag, jsonFlag},
		Action: agree}
}

// pair is one day on both drives.
type pair struct {
	Name    string        `json:"name"`
	Seed    uint64        `json:"seed"`
	Virtual *count.Result `json:"virtual"`
	Mean    float64       `json:"virtual_mean"` // of the day under other chances of the balancers
	Least   float64       `json:"virtual_least"`
	Most    float64       `json:"virtual_most"`
	Sockets *count.Result `json:"sockets"`
	Agrees  bool          `json:"agrees"`
}

func agree(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return fault(fmt.Errorf("want one experiment file at the least"))
	}
	start, err := balancerProgram(c)
	if err != nil {
		return err
	}
	folder := c.String("logs")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "yard"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }() // what is left of a temporary directory harms nobody
	}
	var pairs []*pair
	var files []*experiment.Experiment
	for _, f := range c.Args().Slice() {
		e, err := experiment.Open(f)
		if err != nil {
			return fault(err)
		}
		if p := c.Float("part"); p > 0 && p != 1 {
			e = e.Stretched(p)
		}
		e = e.Sized(c.Int("balancers"), c.Int("servers"))
		for s := range c.Int("seeds") {
			pairs = append(pairs, &pair{Name: e.Name, Seed: c.Uint64("seed") + uint64(s)})
			files = append(files, e)
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, c.Int("jobs")))
	step, end := bar("days", len(pairs))
	for i, p := range pairs {
		g.Go(func() error {
			err := p.virtual(files[i], c.String("policy"))
			if err != nil {
				return err
			}
			at := filepath.Join(folder, fmt.Sprintf("%s-%d", p.Name, p.Seed))
			if err := os.MkdirAll(at, 0o755); err != nil {
				return err
			}
			if p.Sockets, err = Sockets(ctx, files[i], p.Seed, c.String("policy"), start, at, nil); err != nil {
				return fmt.Errorf("%s, seed %d: %w", p.Name, p.Seed, err)
			}
			p.Agrees = math.Abs(p.Mean-p.Sockets.Service) <= agreesWithin && (p.Virtual.Broken > 0) == (p.Sockets.Broken > 0)
			step()
			return nil
		})
	}
	err = g.Wait()
	end()
	if err != nil {
		return err
	}
	if c.String("json") != "" {
		if err := printJSON(pairs); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printf(t, "day\tseed\tservice virtual (least, most)\tsockets\tworst 10 s virtual\tsockets\tconnects virtual\tsockets\tbroken virtual\tsockets\tagrees\n")
	differ, void := 0, 0
	for _, p := range pairs {
		v, s := p.Virtual, p.Sockets
		word := "yes"
		if s.Void != "" {
			word = "void: " + s.Void
			void++
		} else if !p.Agrees {
			word = "NO"
			differ++
		}
		printf(t, "%s\t%d\t%.3f (%.3f, %.3f)\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%s\n", p.Name, p.Seed, p.Mean, p.Least, p.Most, s.Service, v.WorstWindow, s.WorstWindow,
			v.Connects, s.Connects, v.Broken, s.Broken, word)
		if s.Broken > 0 {
			printf(t, "\t\t%s\n", s.Violations[0])
		}
	}
	_ = t.Flush()
	switch {
	case differ > 0:
		return cli.Exit(fmt.Sprintf("%d of %d days differ", differ, len(pairs)), ruleBroken)
	case void > 0:
		return cli.Exit(fmt.Sprintf("%d of %d days are void", void, len(pairs)), voidRun)
	}
	return nil
}

const chances = 5 // of the balancers, on the same day: on sockets every run has another, as no two are alike in time

// virtual plays the day under several chances of the balancers: a day near tipping has no single figure.
func (p *pair) virtual(e *experiment.Experiment, policy string) error {
	p.Least = math.Inf(1)
	for k := range uint64(chances) {
		r, err := scenario.RunDay(e, p.Seed, policy, nil, func(m virtual.NewDecider) virtual.NewDecider {
			return func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
				return m(seed+k, b, act)
			}
		})
		if err != nil {
			return err
		}
		if k == 0 {
			p.Virtual = r
		}
		p.Virtual.Broken = max(p.Virtual.Broken, r.Broken)
		p.Mean += r.Service / chances
		p.Least, p.Most = min(p.Least, r.Service), max(p.Most, r.Service)
	}
	return nil
}
