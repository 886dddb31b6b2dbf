package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"yardwinch/internal/testbed/dissemination"
)

const (
	minMembers        = 2
	maxMembers        = 5000
	minAfterFault     = 5 * time.Second // least duration of a run after the fault begins
	simulationsAtOnce = 4
)

func spreadCommand() *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "simulate in virtual time how fast, and at what cost, a report of a fault spreads through fleets of several sizes",
		Flags: []cli.Flag{
			seedFlag,
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "runs of each fleet size, with consecutive seeds"},
			&cli.IntSliceFlag{Name: "members", Value: []int{5, 50, 300, 1000}, Usage: "fleet sizes to simulate, in members"},
			&cli.FloatFlag{Name: "share", Value: 0.1, Usage: "share of members that detect the fault themselves; at least two do"},
			&cli.FloatFlag{Name: "loss", Usage: "share of packets that are lost"},
			&cli.DurationFlag{Name: "delay", Value: 2 * time.Millisecond, Usage: "least network delay; up to as much again is added at random"},
			&cli.BoolFlag{Name: "split", Usage: "partition the network into two halves until 10 s after the fault begins"},
			&cli.DurationFlag{Name: "from", Value: 20 * time.Second, Usage: "when the fault begins"},
			&cli.DurationFlag{Name: "for", Value: 35 * time.Second, Usage: "duration of a run"},
			jsonFlag,
			htmlFlag,
		},
		Action: spread,
	}
}

func spread(ctx context.Context, c *cli.Command) error {
	configs, err := disseminationConfigs(c)
	if err != nil {
		return inputError(err)
	}
	results, err := simulateAll(ctx, configs)
	if err != nil {
		return err
	}
	if path := c.String("json"); path != "" {
		if err := writeFile(path, func(w io.Writer) error { return json.NewEncoder(w).Encode(results) }); err != nil {
			return err
		}
	}
	if path := c.String("html"); path != "" {
		if err := writeFile(path, func(w io.Writer) error { return drawDissemination(w, results) }); err != nil {
			return err
		}
	}
	if c.String("json") == "-" {
		return nil
	}
	return printDissemination(os.Stdout, results)
}

// disseminationConfigs returns a configuration for each number of members and each seed.
func disseminationConfigs(c *cli.Command) (configs []dissemination.Config, err error) {
	for _, members := range c.IntSlice("members") {
		if members < minMembers || members > maxMembers {
			return nil, fmt.Errorf("--members: want %d to %d, got %d", minMembers, maxMembers, members)
		}
		for seed := range max(1, c.Int("seeds")) {
			configs = append(configs, dissemination.Config{
				Members:       members,
				Seed:          c.Uint64("seed") + uint64(seed),
				ObserverShare: c.Float("share"),
				Network:       dissemination.Network{Delay: c.Duration("delay"), Jitter: c.Duration("delay"), Loss: c.Float("loss")},
				FaultAt:       c.Duration("from"),
				Duration:      c.Duration("for"),
				Partition:     c.Bool("split"),
			})
		}
	}
	if from, length := c.Duration("from"), c.Duration("for"); from < time.Second || length < from+minAfterFault || length > time.Hour {
		return nil, fmt.Errorf("want --from of at least 1s, and --for from 5s more than that to 1h; got --for %v and --from %v", length, from)
	}
	return configs, nil
}

func simulateAll(ctx context.Context, configs []dissemination.Config) ([]*dissemination.Result, error) {
	results := make([]*dissemination.Result, len(configs))
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(simulationsAtOnce)
	step, end := progressBar("runs", len(results))
	defer end()
	for i, config := range configs {
		group.Go(func() error {
			result, err := dissemination.Simulate(config)
			results[i] = result
			step()
			return err
		})
	}
	return results, group.Wait()
}

func printDissemination(to io.Writer, results []*dissemination.Result) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	printf(t, "members\tseed\thalf know after\t99 %% after\tquiet: bytes/s, packets/s, messages heard/s\t"+
		"first 5 s: bytes/s, the most\tdear before\n")
	for _, r := range results {
		printf(t, "%d\t%d\t%s\t%s\t%.0f  %.1f  %.0f\t%.0f  %.0f\t%d\n", r.Members, r.Seed, orNever(r.TimeToHalf), orNever(r.TimeToMost),
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
