package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/scenario"
	"yardwinch/internal/testbed/sockets"
)

const configMode = 0o600

func serversCommand() *cli.Command {
	return &cli.Command{
		Name:      "servers",
		ArgsUsage: "[FILE]",
		Usage:     "run an experiment's stand-in servers and discovery only, and print a configuration for yardwinch serve",
		Flags: []cli.Flag{
			seedFlag,
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "listen address in the configuration of the balancer"},
			&cli.StringFlag{Name: "config", Usage: "write the configuration to `FILE` (default: standard output)"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Minute, Usage: "duration of the run"},
			serversFlag,
		},
		Action: serveStandIns,
	}
}

func serveStandIns(ctx context.Context, c *cli.Command) error {
	e, err := standInExperiment(c)
	if err != nil {
		return inputError(err)
	}
	day := e.Day(c.Uint64("seed"))
	slack, reordering := sockets.CheckerTolerances()
	driver := sockets.New(ctx, day, scenario.NewChecker(day, slack, reordering), nil, "")
	err = driver.Serve(func() error {
		text, err := driver.Config(0, c.String("listen"), 1)
		if err != nil {
			return err
		}
		return writeConfig(c.String("config"), append(text, '\n'), len(day.World.Servers))
	})
	if errors.Is(err, context.Canceled) {
		return nil // stopped by a signal
	}
	return err
}

// standInExperiment returns the experiment of the file argument, or by default that of testbed try, with one balancer.
func standInExperiment(c *cli.Command) (*experiment.Experiment, error) {
	e, err := experiment.Read("try.toml", tryFile)
	if c.Args().Len() > 0 {
		e, err = experiment.Open(c.Args().First())
	}
	if err != nil {
		return nil, err
	}
	if _, err := netip.ParseAddrPort(c.String("listen")); err != nil {
		return nil, fmt.Errorf("--listen: want an address with a port, got %q", c.String("listen"))
	}
	if c.Duration("for") < time.Second {
		return nil, fmt.Errorf("--for: want at least 1s, got %v", c.Duration("for"))
	}
	return e.WithSize(1, c.Int("servers")).WithLength(c.Duration("for")), nil
}

// writeConfig writes a configuration to a file, or to standard output if the path is empty.
func writeConfig(path string, text []byte, servers int) error {
	if path == "" {
		_, err := os.Stdout.Write(text)
		return err
	}
	if err := os.WriteFile(path, text, configMode); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%d servers and discovery are listening; start the balancer with: yardwinch serve --config %s\n", servers, path)
	return nil
}
