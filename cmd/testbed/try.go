package main

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/daemon"
	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/scenario"
	"yardwinch/internal/testbed/sockets"
)

//go:embed try.toml
var tryFile []byte

var (
	programFlag = &cli.StringFlag{Name: "yardwinch", Usage: "balancer `PROGRAM` to start (default: the one built into testbed)"}
	logsFlag    = &cli.StringFlag{Name: "logs", Usage: "keep the balancers' configurations and logs in `DIR`"}
)

// balancerCommand runs this program as a balancer, so that testbed needs no separate build of yardwinch.
func balancerCommand() *cli.Command {
	return &cli.Command{Name: "balancer", Hidden: true, Usage: "serve like yardwinch, with the configuration at the path in PROXY_CONFIG",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return daemon.Run(ctx, daemon.Source{
				ConfigPath:  os.Getenv("PROXY_CONFIG"),
				OptionsPath: os.Getenv("YARDWINCH_OPTIONS"),
				Environment: os.Getenv,
			})
		}}
}

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:   "try",
		Usage:  "run a 20 s demonstration on loopback: 9 stand-in servers, 3 balancers and some clients, one drain, one slow server",
		Flags:  []cli.Flag{seedFlag, programFlag, logsFlag, jsonFlag, htmlFlag},
		Action: try,
	}
}

func try(ctx context.Context, c *cli.Command) error {
	e, err := experiment.Read("try.toml", tryFile)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "9 servers in 3 localities, discovery and 3 balancers on loopback; "+
		"a server is slow from 4 s on, one is replaced from 9 s on")
	result, err := tryOnSockets(ctx, c, e)
	if err != nil {
		return err
	}
	results := []*count.Result{result}
	if err := writeResults(c, e, results); err != nil {
		return err
	}
	if c.String("json") != "-" {
		printTry(result)
	}
	return voidVerdict(results)
}

func printTry(r *count.Result) {
	fmt.Printf("clients      %d, tries %d, connects %d, of them over to another hall %d\n", r.Clients, r.Attempts, r.Connects, r.Crossings)
	fmt.Printf("answers      established %d, rejected %d, aborted %d, gave up %d\n", r.Established, r.Rejected, r.Aborted, r.TimedOut)
	fmt.Printf("service      %.3f of the seconds asked for, %.3f in the worst 10 s\n", r.ServedShare, r.WorstWindow)
	fmt.Printf("set-up       p50 %.1f ms, p99 %.1f ms\n", r.SetupTimes.P50, r.SetupTimes.P99)
	fmt.Printf("moves        %d, cut off %d\n", r.Migrations, r.Cut)
	fmt.Printf("rules        %d flows judged, %d breaches\n", r.CheckedFlows, r.ViolationCount)
}

// voidVerdict returns an error if a run is void or the project's own policy broke a rule.
func voidVerdict(results []*count.Result) error {
	for _, r := range results {
		if r.Void != "" {
			return cli.Exit(fmt.Sprintf("seed %d: void: %s", r.Seed, r.Void), voidRun)
		}
	}
	return ruleVerdict(results)
}

func tryOnSockets(ctx context.Context, c *cli.Command, e *experiment.Experiment) (*count.Result, error) {
	directory, remove, err := logDirectory(c)
	if err != nil {
		return nil, err
	}
	defer remove()
	program, err := balancerProgram(c)
	if err != nil {
		return nil, err
	}
	return runOnSockets(ctx, socketsRun{
		experiment: e,
		seed:       c.Uint64("seed"),
		policy:     experiment.Ours,
		program:    program,
		directory:  directory,
		progress:   showProgress(os.Stderr, e),
	})
}

// balancerProgram returns the command line of a balancer: the program of --yardwinch, or by default this program.
func balancerProgram(c *cli.Command) ([]string, error) {
	program := c.String("yardwinch")
	if program == "" {
		self, err := os.Executable()
		return []string{self, "balancer"}, err
	}
	path, err := exec.LookPath(program)
	if err != nil {
		return nil, inputError(fmt.Errorf("--yardwinch: %w", err))
	}
	path, err = filepath.Abs(path)
	return []string{path, "serve"}, err
}

// socketsRun describes one day to run on sockets.
type socketsRun struct {
	experiment *experiment.Experiment
	seed       uint64
	policy     string
	program    []string // command line of a balancer
	directory  string   // for configurations and logs
	progress   func(time.Duration)
}

func runOnSockets(ctx context.Context, run socketsRun) (*count.Result, error) {
	day := run.experiment.Day(run.seed)
	slack, reordering := sockets.CheckerTolerances()
	checker := scenario.NewChecker(day, slack, reordering)
	driver := sockets.New(ctx, day, checker, run.program, run.directory)
	switch run.policy {
	case experiment.Ours:
	case experiment.OursWithLocalities:
		if err := driver.SetOptions(run.experiment.Locality.Text()); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("want policy ours or ours+halls on sockets, got %q", run.policy)
	}
	loads := scenario.RecordLoads(day.World)
	void, err := driver.Run(run.progress)
	if err != nil {
		return nil, err
	}
	counts := driver.Counts
	seconds := len(day.World.Accounting.Requested[0])
	result := &count.Result{Policy: run.policy, Seed: run.seed, Void: void, LoadByServer: *loads,
		Crossings: counts.Crossings, Migrations: counts.Migrations, Connects: counts.Connects,
		MigrationsBySecond: count.PerSecond(counts.MigratedAt, seconds), ConnectsBySecond: count.PerSecond(counts.ConnectedAt, seconds)}
	scenario.FillResult(result, day, checker)
	return result, nil
}
