package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/daemon"
)

func migrateCommand() *cli.Command {
	return &cli.Command{
		Name: "migrate", Usage: "convert a configuration for a deployment of another shape; see docs/migration.md",
		ArgsUsage: "OLD.json NEW.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Required: true, Usage: "read the settings that are specific to the new deployment, a partial configuration, from `FILE`"},
			&cli.BoolFlag{Name: "dry-run", Usage: "print what would become of each key, without writing any file"},
			&cli.BoolFlag{Name: "force", Usage: "overwrite NEW.json if it exists"},
		},
		Action: migrate,
	}
}

func migrate(ctx context.Context, command *cli.Command) error {
	if command.NArg() != 2 {
		return errors.New("migrate: want OLD.json and NEW.json")
	}
	return withExitCode(daemon.Migrate(ctx, command.Root().Writer, daemon.Migration{
		ShapePath: command.String("shape"),
		OldPath:   command.Args().Get(0),
		NewPath:   command.Args().Get(1),
		DryRun:    command.Bool("dry-run"),
		Overwrite: command.Bool("force"),
	}))
}
