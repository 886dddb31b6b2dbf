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

func fleetCommand() *cli.Command {
	return &cli.Command{Name: "fleet", ArgsUsage: "FILE...",
		Usage: "real processes by the dozen, faults of them and of the ways between them, and what must hold",
		Flags: []cli.Flag{seedFlag, &cli.IntFlag{Name: "seeds", Value: 1, Usage: "so many runs of each file, of seeds one after the other"}, programFlag,
			&cli.StringFlag{Name: "old", Usage: "the earlier build's `PROGRAM`, in place of building the revision that the file names"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "runs side by side; more than the machine can carry make all of them void"},
			&cli.IntFlag{Name: "again", Value: 2, Usage: "play a void run again so many times"}, logsFlag, jsonFlag, htmlFlag},
		Commands: []*cli.Command{soakCommand()},
		Action:   playFleet}
}

func playFleet(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return fault(&fleet.Error{Where: "fleet", What: "want one file at the least", Remedy: "name files of experiments/fleet"})
	}
	var plans []*fleet.Plan
	for _, f := range c.Args().Slice() {
		p, err := fleet.Open(f)
		if err != nil {
			return fault(err)
		}
		plans = append(plans, p)
	}
	program, err := balancerProgram(c)
	if err != nil {
		return err
	}
	type job struct {
		p    *fleet.Plan
		seed uint64
		old  []string
	}
	var jobs []job
	for _, p := range plans {
		old, err := oldProgram(ctx, c, p)
		if err != nil {
			return err
		}
		for s := range max(c.Int("seeds"), 1) {
			jobs = append(jobs, job{p, c.Uint64("seed") + uint64(s), old})
		}
	}
	results := make([]*fleet.Result, len(jobs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(c.Int("jobs"), 1))
	var say sync.Mutex
	for i, j := range jobs {
		g.Go(func() error {
			var progress func(time.Duration)
			if c.Int("jobs") <= 1 {
				progress = clock(os.Stderr, j.p.Experiment)
			}
			for try := 0; results[i] == nil || results[i].Void != "" && try <= c.Int("again"); try++ {
				r, err := playOnce(ctx, c, j.p, j.seed, program, j.old, progress)
				if err != nil {
					return err
				}
				results[i] = r
			}
			if c.String("json") != "-" {
				say.Lock()
				defer say.Unlock()
				sayFleet(os.Stdout, results[i])
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if path := c.String("json"); path != "" {
		if err := put(path, func(w io.Writer) error {
			enc := json.NewEncoder(w)
			enc.SetIndent("", " ")
			return enc.Encode(results)
		}); err != nil {
			return err
		}
	}
	if path := c.String("html"); path != "" {
		if err := put(path, results[0].HTML); err != nil {
			return err
		}
	}
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
		return cli.Exit(fmt.Sprintf("fleet: in %d of %d runs something that must hold did not", fails, len(results)), ruleBroken)
	case voids > 0:
		return cli.Exit(fmt.Sprintf("fleet: %d of %d runs are void, as the machine was too busy", voids, len(results)), voidRun)
	}
	return nil
}

func oldProgram(ctx context.Context, c *cli.Command, p *fleet.Plan) ([]string, error) {
	if given := c.String("old"); given != "" {
		return []string{given, "serve"}, nil
	}
	if p.Old == "" {
		return nil, nil
	}
	program, err := fleet.Build(ctx, ".", p.Old)
	if err != nil {
		return nil, err
	}
	return []string{program, "serve"}, nil
}

func playOnce(ctx context.Context, c *cli.Command, p *fleet.Plan, seed uint64, program, old []string, progress func(time.Duration)) (*fleet.Result, error) {
	folder := c.String("logs")
	var err error
	if folder == "" {
		if folder, err = os.MkdirTemp("", "fleet"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(folder) }() // what is left of a temporary directory harms nobody
	} else {
		folder = filepath.Join(folder, fmt.Sprintf("%s-%d", p.Name(), seed))
		if err = os.MkdirAll(folder, 0o755); err != nil {
			return nil, err
		}
	}
	return fleet.Run(ctx, p, seed, program, old, folder, progress)
}

func sayFleet(to io.Writer, r *fleet.Result) {
	word := "holds"
	if r.Void != "" {
		word = "VOID: " + r.Void
	} else if !r.Holds {
		word = "FAILS"
	}
	f := r.Figures
	printf(to, "%s, seed %d: %s\n", r.Name, r.Seed, word)
	printf(to, "  %d processes, %d clients (%d never up), %d flows: %d established, %d rejected, %d aborted; %d cut, %d moved; service %.3f over %v\n",
		len(r.Processes), f.Clients, f.NeverUp, f.Flows, f.Established, f.Rejected, f.Aborted, f.Cut, f.Moved, f.Service, time.Duration(r.Length*float64(time.Second)))
	if f.Probes > 0 {
		printf(to, "  %d probes of servers\n", f.Probes)
	}
	for _, x := range r.Troubles {
		printf(to, "  %s in trouble from %.1fs: the last balancer stopped choosing it after %.2fs, %d connects went to it meanwhile\n", x.Server, x.From, x.LastStops, x.Sent)
	}
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, m := range r.Musts {
		word := "holds"
		if !m.Holds {
			word = "FAILS"
		}
		printf(t, "  %s\t%s\t%s\n", word, m.Must, m.Seen)
	}
	_ = t.Flush()
	for i, v := range r.Violations {
		if i == 3 {
			break
		}
		printf(to, "  broken: %s\n", v)
	}
}
