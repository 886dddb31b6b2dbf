package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/scenario"
	"yardwinch/internal/testbed/sockets"
)

func serversCommand() *cli.Command {
	return &cli.Command{Name: "servers", ArgsUsage: "[FILE]",
		Usage: "stand-in servers and discovery alone, as an experiment has them; prints a configuration for yardwinch serve",
		Flags: []cli.Flag{seedFlag, &cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "where the balancer is to listen"},
			&cli.StringFlag{Name: "config", Usage: "write the configuration to `FILE`; standard output where not given"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Minute, Usage: "how long"}, fleetFlag},
		Action: servers}
}

func servers(ctx context.Context, c *cli.Command) error {
	e, err := experiment.Read("try.toml", tryFile)
	if c.Args().Len() > 0 {
		e, err = experiment.Open(c.Args().First())
	}
	if err != nil {
		return fault(err)
	}
	if _, err := netip.ParseAddrPort(c.String("listen")); err != nil {
		return fault(fmt.Errorf("--listen: no address with a port: %q", c.String("listen")))
	}
	if c.Duration("for") < time.Second {
		return fault(fmt.Errorf("--for: want 1s at the least, got %v", c.Duration("for")))
	}
	e = e.Sized(1, c.Int("servers")).Lasting(c.Duration("for"))
	d := e.Day(c.Uint64("seed"))
	slack, hold := sockets.CheckerTimes()
	dr := sockets.New(ctx, d, scenario.NewChecker(d, slack, hold), nil, "")
	err = dr.Serve(func() error {
		text, err := dr.Config(0, c.String("listen"), 1)
		if err != nil {
			return err
		}
		text = append(text, '\n')
		if path := c.String("config"); path != "" {
			err = os.WriteFile(path, text, 0o600)
			fmt.Fprintf(os.Stderr, "%d servers and discovery are open; start with: yardwinch serve --config %s\n", len(d.World.Servers), path)
			return err
		}
		_, err = os.Stdout.Write(text)
		return err
	})
	if errors.Is(err, context.Canceled) {
		return nil // it was asked to end
	}
	return err
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

const mostRate = 5000 // a second; more wants more than one machine

func load(ctx context.Context, c *cli.Command) error {
	addrs := c.Args().Slice()
	if len(addrs) == 0 {
		return fault(errors.New("want the address of a balancer at the least"))
	}
	for _, a := range addrs {
		if p, err := netip.ParseAddrPort(a); err != nil || !p.Addr().IsLoopback() {
			return fault(fmt.Errorf("%q: want an address on loopback with its port: load goes nowhere else", a))
		}
	}
	rate := c.Float("rate")
	if !(rate > 0 && rate <= mostRate) {
		return fault(fmt.Errorf("--rate: want above 0 and at most %d, got %g", mostRate, rate))
	}
	if c.Duration("for") < time.Second || c.Duration("for") > time.Hour {
		return fault(fmt.Errorf("--for: want 1s to 1h, got %v", c.Duration("for")))
	}
	text := fmt.Sprintf("name = \"load\"\nlength = %q\n[fleet]\nservers = 1\nbalancers = %d\n[[service]]\nname = %q\nsetup-target = \"1ms\"\nconnect-timeout = %q\n",
		c.Duration("for"), len(addrs), c.String("service"), c.Duration("timeout"))
	e, err := experiment.Read("flags", []byte(text))
	if err != nil {
		return fault(err)
	}
	r, err := Load(ctx, e, c.Uint64("seed"), addrs, rate, c.Duration("life"), c.Int("groups"), clock(os.Stderr, e))
	if err != nil {
		return err
	}
	if c.String("json") != "" {
		return printJSON(r)
	}
	fmt.Printf("clients      %d, tries %d\n", r.Clients, r.Attempts)
	fmt.Printf("answers      established %d, rejected %d, aborted %d, none within the timeout %d, no balancer %d\n", r.Established, r.Rejected, r.Aborted, r.TimedOut, r.NoBalancer)
	fmt.Printf("first up     p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, from when each meant to come; %d never were\n", r.FirstSetupTimes.P50, r.FirstSetupTimes.P90, r.FirstSetupTimes.P99, r.NeverEstablished)
	fmt.Printf("moves        %d, cut off %d\n", r.Migrations, r.Cut)
	return judged([]*count.Result{r})
}

// Load plays clients alone.
func Load(ctx context.Context, e *experiment.Experiment, seed uint64, addrs []string, rate float64, life time.Duration, groups int, progress func(time.Duration)) (*count.Result, error) {
	d := e.Day(seed)
	slack, hold := sockets.CheckerTimes()
	ref := scenario.NewChecker(d, slack, hold)
	dr := sockets.Load(ctx, d, ref, addrs)
	void, err := dr.RunLoad(experiment.NewSteady(experiment.SteadyConfig{Seed: seed, Rate: rate, Lifetime: life, LifetimeSigma: 1,
		Groups: groups, Localities: len(d.World.Localities)}), progress)
	if err != nil {
		return nil, err
	}
	r := &count.Result{Policy: "ours", Seed: seed, Migrations: dr.Tally.Migrations, Void: void}
	scenario.FillResult(r, d, ref)
	r.ServedShare, r.WorstWindow, r.Service = 0, 0, 0 // what servers made of it is not seen from here
	return r, nil
}

var _ simulation.ArrivalSource = (*experiment.Steady)(nil)
