package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/testbed/scale"
)

// scaleCommands are the subcommands of testbed scale.
var scaleCommands = []func() *cli.Command{
	scaleRunCommand,
	scaleListCommand,
	scalePageCommand,
}

const (
	scaleDirectory = "experiments/scale"
	scaleResults   = scaleDirectory + "/results"
)

func scaleCommand() *cli.Command {
	command := &cli.Command{Name: "scale", Usage: "measure what yardwinch costs as a fleet grows: sweeps over one size each"}
	for _, sub := range scaleCommands {
		command.Commands = append(command.Commands, sub())
	}
	return command
}

func scaleRunCommand() *cli.Command {
	return &cli.Command{Name: "run", ArgsUsage: "FILE...",
		Usage:  "run the sweeps of experiment files, one after the other, and write a report of each",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "out", Value: scaleResults, Usage: "write NAME.json into `DIR`, whole or not at all"}},
		Action: runScale}
}

func runScale(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return fault(&scale.Error{Where: "scale run", What: "want one file at the least", Remedy: "name files of " + scaleDirectory})
	}
	var experiments []*scale.Experiment
	for _, file := range c.Args().Slice() {
		e, err := scale.Open(file)
		if err != nil {
			return fault(err)
		}
		experiments = append(experiments, e)
	}
	failed := 0
	for _, e := range experiments {
		report, err := runScaleExperiment(ctx, e)
		if err != nil {
			return err
		}
		file, err := scale.Write(c.String("out"), report)
		if err != nil {
			return err
		}
		failed += printScale(report, file)
	}
	if failed > 0 {
		return cli.Exit(fmt.Sprintf("scale: %d checks failed", failed), ruleBroken)
	}
	return nil
}

func runScaleExperiment(ctx context.Context, e *scale.Experiment) (*scale.Report, error) {
	progress, end := scaleProgress(e.Name)
	defer end()
	report, err := scale.Run(ctx, e, scale.OperatorsBounds, progress)
	if errors.Is(err, context.Canceled) {
		return nil, &scale.Error{Where: e.Name, What: "was stopped, and nothing is written", Remedy: "run it again", Err: err}
	}
	return report, err
}

// printScale prints a line a series and a check, and counts the checks that failed.
func printScale(r *scale.Report, file string) (failed int) {
	fmt.Printf("%s, seed %d, commit %s: %v, written to %s\n", r.Experiment, r.Seed, r.Commit, r.Took.Round(time.Millisecond), file)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		printf(t, "  %s\t%s\t%s\n", s.Name, s.Unit, strings.Join(points, "  "))
	}
	for _, check := range r.Checks {
		if !check.Held {
			failed++
		}
		printf(t, "  %s\t%s\t%s\n", check.Name, holdsText(check.Held), check.Detail)
	}
	_ = t.Flush() // as printf
	return failed
}

// scaleProgress shows how far a sweep is: a bar on a terminal, else a line a step.
func scaleProgress(name string) (progress scale.Progress, end func()) {
	if isTerminal(os.Stderr) {
		drawn, bar := newBar(name, 0)
		return func(done, all int) {
			bar.SetTotal(int64(all), false)
			bar.SetCurrent(int64(done))
		}, func() { bar.Abort(false); drawn.Wait() }
	}
	start := time.Now()
	return func(done, all int) {
		printf(os.Stderr, "%s: %d of %d after %v\n", name, done, all, time.Since(start).Round(time.Millisecond))
	}, func() {}
}

func scaleListCommand() *cli.Command {
	return &cli.Command{Name: "list", Usage: "list the sweeps that there are, and the experiment files of " + scaleDirectory,
		Action: func(context.Context, *cli.Command) error { return listScale() }}
}

func listScale() error {
	fmt.Println("sweeps:", strings.Join(scale.Names(), ", "))
	files, err := filepath.Glob(filepath.Join(scaleDirectory, "*.toml"))
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printf(t, "file\tsweep\tsizes\n")
	for _, file := range files {
		e, err := scale.Open(file)
		if err != nil {
			return fault(err)
		}
		printf(t, "%s\t%s\t%s %v\n", file, e.Settings.Sweep, e.Settings.Against, e.Settings.Sizes)
	}
	return t.Flush()
}
