package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
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
	programFlag = &cli.StringFlag{Name: "yardwinch", Usage: "the balancer `PROGRAM` to start; this program's own where not given"}
	logsFlag    = &cli.StringFlag{Name: "logs", Usage: "keep the balancers' configurations and logs in `DIR`"}
)

// balancerCommand lets this program be the balancer that it starts, so that a newcomer builds nothing by hand.
func balancerCommand() *cli.Command {
	return &cli.Command{Name: "balancer", Hidden: true, Usage: "serve as yardwinch does; the configuration's path is in PROXY_CONFIG",
		Action: func(context.Context, *cli.Command) error {
			return daemon.Run(os.Getenv("PROXY_CONFIG"), os.Getenv("YARDWINCH_OPTIONS"), os.Getenv)
		}}
}

func tryCommand() *cli.Command {
	return &cli.Command{Name: "try", Usage: "see it work: 9 stand-in servers, 3 balancers and some clients on loopback, one drain, one slow server, 20 s",
		Flags:  []cli.Flag{seedFlag, programFlag, logsFlag, jsonFlag, htmlFlag},
		Action: try}
}

func try(ctx context.Context, c *cli.Command) error {
	e, err := experiment.Read("try.toml", tryFile)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "9 servers in 3 halls, discovery and 3 balancers on loopback; a server is slow from 4 s on, one is replaced from 9 s on")
	r, err := onSockets(ctx, c, e, c.Uint64("seed"))
	if err != nil {
		return err
	}
	if err := write(c, e, []*count.Result{r}); err != nil {
		return err
	}
	if c.String("json") != "-" {
		fmt.Printf("clients      %d, tries %d, connects %d, of them over to another hall %d\n", r.Clients, r.Attempts, r.Connects, r.Crossings)
		fmt.Printf("answers      established %d, rejected %d, aborted %d, gave up %d\n", r.Established, r.Rejected, r.Aborted, r.TimedOut)
		fmt.Printf("service      %.3f of the seconds asked for, %.3f in the worst 10 s\n", r.ServedShare, r.WorstWindow)
		fmt.Printf("set-up       p50 %.1f ms, p99 %.1f ms\n", r.SetupTimes.P50, r.SetupTimes.P99)
		fmt.Printf("moves        %d, cut off %d\n", r.Migrations, r.Cut)
		fmt.Printf("rules        %d flows judged, %d breaches\n", r.Judged, r.Broken)
	}
	return judged([]*count.Result{r})
}

// judged is the verdict on runs that may be void.
func judged(results []*count.Result) error {
	for _, r := range results {
		if r.Void != "" {
			return cli.Exit(fmt.Sprintf("seed %d: void: %s", r.Seed, r.Void), voidRun)
		}
	}
	return verdict(results)
}

// onSockets plays one day with real processes.
func onSockets(ctx context.Context, c *cli.Command, e *experiment.Experiment, seed uint64) (*count.Result, error) {
	folder := c.String("logs")
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "yard"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(folder) }() // what is left of a temporary directory harms nobody
	} else if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	start, err := balancerProgram(c)
	if err != nil {
		return nil, err
	}
	return Sockets(ctx, e, seed, "ours", start, folder, clock(os.Stderr, e))
}

func balancerProgram(c *cli.Command) ([]string, error) {
	if p := c.String("yardwinch"); p != "" {
		p, err := exec.LookPath(p)
		if err != nil {
			return nil, fault(fmt.Errorf("--yardwinch: %w", err))
		}
		p, err = filepath.Abs(p)
		return []string{p, "serve"}, err
	}
	self, err := os.Executable()
	return []string{self, "balancer"}, err
}

// Sockets plays one day and counts it.
func Sockets(ctx context.Context, e *experiment.Experiment, seed uint64, policy string, start []string, folder string, progress func(time.Duration)) (*count.Result, error) {
	d := e.Day(seed)
	slack, hold := sockets.CheckerTimes()
	ref := scenario.NewChecker(d, slack, hold)
	dr := sockets.New(ctx, d, ref, start, folder)
	switch policy {
	case "ours":
	case "ours+halls":
		if err := dr.SetOptions(e.Locality.Text()); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("on sockets only ours and ours+halls can be played, not %q", policy)
	}
	loads := scenario.RecordLoads(d.World)
	void, err := dr.Run(progress)
	if err != nil {
		return nil, err
	}
	r := &count.Result{Policy: policy, Seed: seed, LoadByServer: *loads, Crossings: dr.Tally.Crossings, Migrations: dr.Tally.Migrations, Connects: dr.Tally.Connects, Void: void}
	seconds := len(d.World.Accounting.Requested[0])
	r.MigrationsBySecond, r.ConnectsBySecond = count.PerSecond(dr.Tally.MigratedAt, seconds), count.PerSecond(dr.Tally.ConnectedAt, seconds)
	scenario.FillResult(r, d, ref)
	return r, nil
}

// clock draws how far a run in real time is, where somebody looks.
func clock(to *os.File, e *experiment.Experiment) func(time.Duration) {
	if s, err := to.Stat(); err != nil || s.Mode()&os.ModeCharDevice == 0 {
		return func(now time.Duration) {
			if now%(5*time.Second) < 500*time.Millisecond {
				printf(to, "%s: %v of %v\n", e.Name, now.Truncate(time.Second), e.Length)
			}
		}
	}
	return func(now time.Duration) {
		bar := make([]byte, 40)
		for i := range bar {
			bar[i] = ' '
			if time.Duration(i)*e.Length/time.Duration(len(bar)) < now {
				bar[i] = '='
			}
		}
		end := ""
		if now+time.Second > e.Length {
			end = "\n"
		}
		_, _ = io.WriteString(to, fmt.Sprintf("\r[%s] %v of %v %s", bar, now.Truncate(100*time.Millisecond), e.Length, end))
	}
}
