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
	command := &cli.Command{Name: "scale", Usage: "measure the resource costs of yardwinch in sweeps over the size of a fleet"}
	for _, sub := range scaleCommands {
		command.Commands = append(command.Commands, sub())
	}
	return command
}

func scaleRunCommand() *cli.Command {
	return &cli.Command{Name: "run", ArgsUsage: "FILE...",
		Usage:  "run the sweeps of experiment files in turn, and write a report for each",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "out", Value: scaleResults, Usage: "write NAME.json to `DIR`, atomically"}},
		Action: runScale}
}

func runScale(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return inputError(&scale.Error{Where: "scale run", What: "want at least one file", Remedy: "name files of " + scaleDirectory})
	}
	var experiments []*scale.Experiment
	for _, file := range c.Args().Slice() {
		e, err := scale.Open(file)
		if err != nil {
			return inputError(err)
		}
		experiments = append(experiments, e)
	}
	failed := 0
	for _, e := range experiments {
		report, err := runScaleExperiment(ctx, e)
		if err != nil {
			return err
		}
		file, err := scale.WriteReport(c.String("out"), report)
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
	report, err := scale.Run(ctx, e, scale.DefaultBounds, progress)
	if errors.Is(err, context.Canceled) {
		return nil, &scale.Error{Where: e.Name, What: "stopped before its end, no report written", Remedy: "run it again", Err: err}
	}
	return report, err
}

// printScale prints a line per series and per check, and returns the number of failed checks.
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
		if !check.Passed {
			failed++
		}
		printf(t, "  %s\t%s\t%s\n", check.Name, holdsText(check.Passed), check.Detail)
	}
	_ = t.Flush() // errors are ignored as in printf
	return failed
}

// scaleProgress shows the progress of a sweep: a bar on a terminal, otherwise a line per step.
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
	return &cli.Command{Name: "list", Usage: "list the available sweeps and the experiment files of " + scaleDirectory,
		Action: func(context.Context, *cli.Command) error { return listScale() }}
}

func listScale() error {
	fmt.Println("sweeps:", strings.Join(scale.SweepNames(), ", "))
	files, err := filepath.Glob(filepath.Join(scaleDirectory, "*.toml"))
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printf(t, "file\tsweep\tsizes\n")
	for _, file := range files {
		e, err := scale.Open(file)
		if err != nil {
			return inputError(err)
		}
		printf(t, "%s\t%s\t%s %v\n", file, e.Settings.Sweep, e.Settings.Against, e.Settings.Sizes)
	}
	return t.Flush()
}
