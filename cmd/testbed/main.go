// Testbed runs days with faults on yardwinch and on baselines, in virtual time, on sockets or with many processes, and checks them against
// the rules. It also measures what yardwinch costs as a fleet grows.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes beside 0.
const (
	ruleBroken = 1 // or the run failed
	badInput   = 2
	voidRun    = 3 // the machine was too busy for the figures to say anything
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "testbed",
		Usage: "prove yardwinch: play days of trouble, on sockets or in virtual time, and judge them by the four rules",
		Commands: []*cli.Command{
			tryCommand(),
			serversCommand(),
			loadCommand(),
			runCommand(),
			compareCommand(),
			huntCommand(),
			agreeCommand(),
			logsCommand(),
			fleetCommand(),
			spreadCommand(),
			scaleCommand(),
			balancerCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // the error is printed once, below
	}
	err := app.Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "testbed:", err)
	var advice interface{ Advice() string }
	if errors.As(err, &advice) {
		fmt.Fprintln(os.Stderr, "what helps:", advice.Advice())
	}
	var code cli.ExitCoder
	if errors.As(err, &code) {
		os.Exit(code.ExitCode())
	}
	os.Exit(ruleBroken)
}

// fault is an error in what the operator asked for.
func fault(err error) error { return coded{err, badInput} }

// coded is an error with its exit code.
type coded struct {
	error
	code int
}

// ExitCode is the process's exit code.
func (c coded) ExitCode() int { return c.code }

// Unwrap is the error without its code.
func (c coded) Unwrap() error { return c.error }
