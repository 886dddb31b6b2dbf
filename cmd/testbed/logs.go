package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/testbed/logs"
)

func logsCommand() *cli.Command {
	return &cli.Command{Name: "logs", ArgsUsage: "FOLDER",
		Usage: "count events in the logs of all balancers (`serve --verbose`, one file *.log each), by second",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return inputError(errors.New("logs: want one folder"))
			}
			seconds, other, err := logs.Count(os.DirFS(c.Args().First()))
			if err != nil {
				return inputError(err)
			}
			if other > 0 {
				fmt.Fprintf(os.Stderr, "%d lines in another format were ignored\n", other)
			}
			return logs.Print(os.Stdout, seconds)
		}}
}
