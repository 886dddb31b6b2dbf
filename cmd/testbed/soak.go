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

const mostSoakSeeds = 10_000

func soakCommand() *cli.Command {
	return &cli.Command{Name: "soak", Usage: "timelines drawn from seeds: restarts, signals in a row, crowds, failing folders, troubles of servers and discovery",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1-5", Usage: "`FROM-TO`, a run each"},
			&cli.StringFlag{Name: "keep", Value: ".", Usage: "`DIR` for the plans of runs that fail; testbed fleet plays them again"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "runs side by side; more than the machine can carry make all of them void"},
			&cli.IntFlag{Name: "again", Value: 2, Usage: "play a void run again so many times"}, programFlag, logsFlag},
		Action: soak}
}

// seedRange reads FROM-TO, or one seed.
func seedRange(text string) (from, to uint64, err error) {
	first, last, ranged := strings.Cut(text, "-")
	if !ranged {
		last = first
	}
	from, err = strconv.ParseUint(first, 10, 64)
	if err == nil {
		to, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || to < from || to-from >= mostSoakSeeds {
		return 0, 0, fault(&fleet.Error{Where: "soak", What: fmt.Sprintf("seeds %q", text), Remedy: "give them as 1-50, 10,000 at the most"})
	}
	return from, to, nil
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
	var say sync.Mutex
	held, failed, voids, unplayed := 0, 0, 0, 0
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(c.Int("jobs"), 1))
	for seed := from; seed <= to; seed++ {
		g.Go(func() error {
			result, err := soakOnce(ctx, c, seed, program)
			say.Lock()
			defer say.Unlock()
			if err != nil { // the others are played all the same
				fmt.Printf("seed %d: NOT PLAYED: %v\n", seed, err)
				unplayed++
				return ctx.Err()
			}
			switch {
			case result.Void != "":
				voids++
			case result.Holds:
				held++
			default:
				failed++
			}
			return saySoak(os.Stdout, c.String("keep"), seed, result)
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d held, %d failed, %d void, %d not played\n", held, failed, voids, unplayed)
	switch {
	case failed > 0:
		return cli.Exit(fmt.Sprintf("soak: in %d of %d runs something that must hold did not", failed, to-from+1), ruleBroken)
	case voids+unplayed > 0:
		return cli.Exit(fmt.Sprintf("soak: %d of %d runs are void, as the machine was too busy, or could not be played", voids+unplayed, to-from+1), voidRun)
	}
	return nil
}

func soakOnce(ctx context.Context, c *cli.Command, seed uint64, program []string) (result *fleet.Result, err error) {
	plan, err := fleet.Read(fmt.Sprintf("soak-%d.toml", seed), []byte(fleet.SoakPlan(seed)))
	if err != nil {
		return nil, err
	}
	for try := 0; result == nil || result.Void != "" && try <= c.Int("again"); try++ {
		if result, err = playOnce(ctx, c, plan, seed, program, nil, nil); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// saySoak is one line for a run that held; one that failed has its plan kept, and says what broke first and on which ids.
func saySoak(to io.Writer, keep string, seed uint64, r *fleet.Result) error {
	f := r.Figures
	word := "holds"
	if r.Void != "" {
		word = "VOID: " + r.Void
	} else if !r.Holds {
		word = "FAILS"
	}
	printf(to, "seed %d: %s; %d flows: %d established, %d rejected, %d aborted; %d cut, %d moved\n",
		seed, word, f.Flows, f.Established, f.Rejected, f.Aborted, f.Cut, f.Moved)
	if r.Holds || r.Void != "" {
		return nil
	}
	for _, must := range r.Musts {
		if !must.Holds {
			printf(to, "  %s: %s\n", must.Must, must.Seen)
		}
	}
	if len(r.Violations) > 0 {
		printf(to, "  first: %s\n", r.Violations[0])
	}
	path := filepath.Join(keep, fmt.Sprintf("soak-%d.toml", seed))
	if err := os.WriteFile(path, []byte(fleet.SoakPlan(seed)), 0o644); err != nil {
		return err
	}
	printf(to, "  kept: testbed fleet %s --seed %d\n", path, seed)
	return nil
}
