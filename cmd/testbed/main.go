// Testbed is the proving yard: it plays days of trouble on yardwinch and on baselines, in virtual time or on sockets, and
// judges them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
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
		Name:           "testbed",
		Usage:          "prove yardwinch: play days of trouble, on sockets or in virtual time, and judge them by the four rules",
		Commands:       []*cli.Command{tryCommand(), serversCommand(), loadCommand(), runCommand(), compareCommand(), huntCommand(), agreeCommand(), logsCommand(), fleetCommand(), spreadCommand(), scaleCommand(), balancerCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // said once, below
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

// printf writes for the operator. Where the reader of the output is gone there is nobody to tell of it, and the exit code still says
// what the run found.
func printf(to io.Writer, format string, values ...any) { _, _ = fmt.Fprintf(to, format, values...) }

// fault is an error of what was asked for.
func fault(err error) error { return coded{err, badInput} }

// coded is an error with the exit code that goes with it.
type coded struct {
	error
	code int
}

func (c coded) ExitCode() int { return c.code }
func (c coded) Unwrap() error { return c.error }
