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
	maxArrivalRate = 5000 // a second; more needs more than one machine
	configMode     = 0o600
	lifetimeSigma  = 1 // of the clients of testbed load
)

func serversCommand() *cli.Command {
	return &cli.Command{Name: "servers", ArgsUsage: "[FILE]",
		Usage: "stand-in servers and discovery alone, as an experiment has them; prints a configuration for yardwinch serve",
		Flags: []cli.Flag{seedFlag, &cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "where the balancer is to listen"},
			&cli.StringFlag{Name: "config", Usage: "write the configuration to `FILE`; standard output where not given"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Minute, Usage: "how long"}, fleetFlag},
		Action: serveStandIns}
}

func serveStandIns(ctx context.Context, c *cli.Command) error {
	e, err := standInExperiment(c)
	if err != nil {
		return fault(err)
	}
	day := e.Day(c.Uint64("seed"))
	slack, reordering := sockets.CheckerTimes()
	driver := sockets.New(ctx, day, scenario.NewChecker(day, slack, reordering), nil, "")
	err = driver.Serve(func() error {
		text, err := driver.Config(0, c.String("listen"), 1)
		if err != nil {
			return err
		}
		return writeConfig(c.String("config"), append(text, '\n'), len(day.World.Servers))
	})
	if errors.Is(err, context.Canceled) {
		return nil // it was asked to end
	}
	return err
}

// standInExperiment is the experiment of a file, or that of testbed try, with one balancer.
func standInExperiment(c *cli.Command) (*experiment.Experiment, error) {
	e, err := experiment.Read("try.toml", tryFile)
	if c.Args().Len() > 0 {
		e, err = experiment.Open(c.Args().First())
	}
	if err != nil {
		return nil, err
	}
	if _, err := netip.ParseAddrPort(c.String("listen")); err != nil {
		return nil, fmt.Errorf("--listen: no address with a port: %q", c.String("listen"))
	}
	if c.Duration("for") < time.Second {
		return nil, fmt.Errorf("--for: want 1s at the least, got %v", c.Duration("for"))
	}
	return e.Sized(1, c.Int("servers")).Lasting(c.Duration("for")), nil
}

// writeConfig writes a configuration to a file, or to standard output where none is named.
func writeConfig(path string, text []byte, servers int) error {
	if path == "" {
		_, err := os.Stdout.Write(text)
		return err
	}
	if err := os.WriteFile(path, text, configMode); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%d servers and discovery are open; start with: yardwinch serve --config %s\n", servers, path)
	return nil
}

func loadCommand() *cli.Command {
	return &cli.Command{Name: "load", ArgsUsage: "ADDR...", Usage: "clients alone, against balancers on loopback; arrivals never wait for answers",
		Flags: []cli.Flag{seedFlag, &cli.FloatFlag{Name: "rate", Value: 10, Usage: "arrivals a second"},
			&cli.DurationFlag{Name: "life", Value: 10 * time.Second, Usage: "how long a client wants its connection, on average"},
			&cli.IntFlag{Name: "groups", Value: 20}, &cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "how long"},
			&cli.StringFlag{Name: "service", Value: "live", Usage: "the service type's name"},
			&cli.DurationFlag{Name: "timeout", Value: 1800 * time.Millisecond, Usage: "a try is given up after this"}, jsonFlag},
		Action: load}
}

func load(ctx context.Context, c *cli.Command) error {
	addresses := c.Args().Slice()
	if err := checkLoad(c, addresses); err != nil {
		return fault(err)
	}
	text := fmt.Sprintf("name = \"load\"\nlength = %q\n[fleet]\nservers = 1\nbalancers = %d\n[[service]]\nname = %q\nsetup-target = \"1ms\"\nconnect-timeout = %q\n",
		c.Duration("for"), len(addresses), c.String("service"), c.Duration("timeout"))
	e, err := experiment.Read("flags", []byte(text))
	if err != nil {
		return fault(err)
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
		return errors.New("want the address of a balancer at the least")
	}
	for _, address := range addresses {
		if parsed, err := netip.ParseAddrPort(address); err != nil || !parsed.Addr().IsLoopback() {
			return fmt.Errorf("%q: want an address on loopback with its port: load goes nowhere else", address)
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

// runLoad runs clients alone. What servers made of their load is not seen from here.
func runLoad(ctx context.Context, c *cli.Command, e *experiment.Experiment, addresses []string) (*count.Result, error) {
	seed := c.Uint64("seed")
	day := e.Day(seed)
	slack, reordering := sockets.CheckerTimes()
	checker := scenario.NewChecker(day, slack, reordering)
	driver := sockets.Load(ctx, day, checker, addresses)
	source := experiment.NewSteady(experiment.SteadyConfig{Seed: seed, Rate: c.Float("rate"), Lifetime: c.Duration("life"), LifetimeSigma: lifetimeSigma,
		Groups: c.Int("groups"), Localities: len(day.World.Localities)})
	void, err := driver.RunLoad(source, showProgress(os.Stderr, e))
	if err != nil {
		return nil, err
	}
	result := &count.Result{Policy: experiment.Ours, Seed: seed, Migrations: driver.Tally.Migrations, Void: void}
	scenario.FillResult(result, day, checker)
	result.ServedShare, result.WorstWindow, result.Service = 0, 0, 0
	return result, nil
}

func printLoad(r *count.Result) {
	fmt.Printf("clients      %d, tries %d\n", r.Clients, r.Attempts)
	fmt.Printf("answers      established %d, rejected %d, aborted %d, none within the timeout %d, no balancer %d\n", r.Established, r.Rejected, r.Aborted, r.TimedOut, r.NoBalancer)
	fmt.Printf("first up     p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, from when each meant to come; %d never were\n",
		r.FirstSetupTimes.P50, r.FirstSetupTimes.P90, r.FirstSetupTimes.P99, r.NeverEstablished)
	fmt.Printf("moves        %d, cut off %d\n", r.Migrations, r.Cut)
}
