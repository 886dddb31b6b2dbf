// Testbed runs days with faults on yardwinch and on baselines, in virtual time, on sockets or with many processes, and checks them against
// the rules. It also measures how the resource costs of yardwinch grow with the size of a fleet.
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

// Exit codes other than 0.
const (
	ruleBroken = 1 // or a requirement or check was not met, or the run failed
	badInput   = 2
	voidRun    = 3 // the machine was too busy for meaningful results
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "testbed",
		Usage: "test yardwinch: run days with faults, on sockets or in virtual time, and check them against the four rules",
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

// inputError marks an error as caused by the command's arguments or input files.
func inputError(err error) error { return codedError{err, badInput} }

// codedError is an error with an exit code.
type codedError struct {
	error
	code int
}

// ExitCode implements cli.ExitCoder.
func (c codedError) ExitCode() int { return c.code }

// Unwrap returns the error without its exit code.
func (c codedError) Unwrap() error { return c.error }
