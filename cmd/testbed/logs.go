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
		Usage: "count over the logs of all balancers (`serve --verbose`, one file *.log each), second by second",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fault(errors.New("logs: want one folder"))
			}
			seconds, other, err := logs.Count(os.DirFS(c.Args().First()))
			if err != nil {
				return fault(err)
			}
			if other > 0 {
				fmt.Fprintf(os.Stderr, "%d lines of another form passed over\n", other)
			}
			return logs.Print(os.Stdout, seconds)
		}}
}
