package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/testbed/scale"
)

const capacityPage = "docs/CAPACITY.md"

func scalePageCommand() *cli.Command {
	return &cli.Command{Name: "page", Usage: "write " + capacityPage + " from the reports of the experiments",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "results", Value: scaleResults,
				Usage: "read the reports in `DIR`, and those of the code before the bounded-candidates mechanism in DIR/before"},
			&cli.StringFlag{Name: "out", Value: capacityPage, Usage: "write `FILE`, atomically"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			err := scale.WritePage(c.String("results"), c.String("out"))
			var bad *scale.Error
			if errors.As(err, &bad) {
				return inputError(err)
			}
			return err
		}}
}
