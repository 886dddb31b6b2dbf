package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/scenario"
	"yardwinch/internal/testbed/sockets"
)

const (
	maxArrivalRate = 5000 // per second; higher rates need several machines
	lifetimeSigma  = 1    // of the clients' lifetimes
)

// loadDay is the format of an experiment with a given length, number of balancers, service type and connect timeout. Its server is not
// used.
const loadDay = `name = "load"
length = %q
[fleet]
servers = 1
balancers = %d
[[service]]
name = %q
setup-target = "1ms"
connect-timeout = %q
`

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		ArgsUsage: "ADDR...",
		Usage:     "run clients only, against balancers on loopback; open loop: arrivals don't wait for answers",
		Flags: []cli.Flag{
			seedFlag,
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "arrivals per second"},
			&cli.DurationFlag{Name: "life", Value: 10 * time.Second, Usage: "mean lifetime of a client's connection"},
			&cli.IntFlag{Name: "groups", Value: 20, Usage: "number of groups that the clients belong to"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "duration of the run"},
			&cli.StringFlag{Name: "service", Value: "live", Usage: "name of the service type"},
			&cli.DurationFlag{Name: "timeout", Value: 1800 * time.Millisecond, Usage: "connect timeout of an attempt"},
			jsonFlag,
		},
		Action: load,
	}
}

func load(ctx context.Context, c *cli.Command) error {
	addresses := c.Args().Slice()
	if err := checkLoad(c, addresses); err != nil {
		return inputError(err)
	}
	text := fmt.Sprintf(loadDay, c.Duration("for"), len(addresses), c.String("service"), c.Duration("timeout"))
	e, err := experiment.Read("flags", []byte(text))
	if err != nil {
		return inputError(err)
	}
	result, err := runLoad(ctx, c, e, addresses)
	if err != nil {
		return err
	}
	if c.String("json") != "" {
		return printJSON(result)
	}
	printLoad(result)
	return voidVerdict([]*count.Result{result})
}

func checkLoad(c *cli.Command, addresses []string) error {
	if len(addresses) == 0 {
		return errors.New("want the address of at least one balancer")
	}
	for _, address := range addresses {
		if parsed, err := netip.ParseAddrPort(address); err != nil || !parsed.Addr().IsLoopback() {
			return fmt.Errorf("%q: want a loopback address with a port: load is only sent to loopback", address)
		}
	}
	if rate := c.Float("rate"); !(rate > 0 && rate <= maxArrivalRate) {
		return fmt.Errorf("--rate: want above 0 and at most %d, got %g", maxArrivalRate, rate)
	}
	if length := c.Duration("for"); length < time.Second || length > time.Hour {
		return fmt.Errorf("--for: want 1s to 1h, got %v", length)
	}
	return nil
}

// runLoad runs clients only. The service score, the served share and the worst window are set to 0, as the servers' side is not observed.
func runLoad(ctx context.Context, c *cli.Command, e *experiment.Experiment, addresses []string) (*count.Result, error) {
	seed := c.Uint64("seed")
	day := e.Day(seed)
	slack, reordering := sockets.CheckerTolerances()
	checker := scenario.NewChecker(day, slack, reordering)
	driver := sockets.NewLoadDriver(ctx, day, checker, addresses)
	source := experiment.NewSteadySource(experiment.SteadyConfig{
		Seed:          seed,
		Rate:          c.Float("rate"),
		Lifetime:      c.Duration("life"),
		LifetimeSigma: lifetimeSigma,
		Groups:        c.Int("groups"),
		Localities:    len(day.World.Localities),
	})
	void, err := driver.RunLoad(source, showProgress(os.Stderr, e))
	if err != nil {
		return nil, err
	}
	result := &count.Result{Policy: experiment.Ours, Seed: seed, Migrations: driver.Counts.Migrations, Void: void}
	scenario.FillResult(result, day, checker)
	result.ServedShare, result.WorstWindow, result.Service = 0, 0, 0
	return result, nil
}

func printLoad(r *count.Result) {
	fmt.Printf("clients      %d, tries %d\n", r.Clients, r.Attempts)
	fmt.Printf("answers      established %d, rejected %d, aborted %d, none within the timeout %d, no balancer %d\n",
		r.Established, r.Rejected, r.Aborted, r.TimedOut, r.NoBalancer)
	fmt.Printf("first up     p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, from when each meant to come; %d never were\n",
		r.FirstSetupTimes.P50, r.FirstSetupTimes.P90, r.FirstSetupTimes.P99, r.NeverEstablished)
	fmt.Printf("moves        %d, cut off %d\n", r.Migrations, r.Cut)
}
