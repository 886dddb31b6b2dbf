package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/program"
	"yardwinch/internal/setup"
)

func migrateCommand() *cli.Command {
	return &cli.Command{
		Name: "migrate", Usage: "write the counterpart of a configuration for a deployment of another shape; see docs/migration.md",
		ArgsUsage: "OLD.json NEW.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Required: true, Usage: "what only the new place can tell: a part of a configuration, in `FILE`"},
			&cli.BoolFlag{Name: "dry-run", Usage: "print what would become of each key; create and change no file"},
			&cli.BoolFlag{Name: "force", Usage: "write over NEW.json where it exists"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 2 {
				return errors.New("migrate: want OLD.json and NEW.json")
			}
			err := migrate(c.Root().Writer, c.String("shape"), c.Args().Get(0), c.Args().Get(1), c.Bool("dry-run"), c.Bool("force"))
			if errors.Is(err, errFault) {
				return cli.Exit(fmt.Sprint("yardwinch: ", err), faultyConfiguration)
			}
			return err
		},
	}
}

// errFault marks what is wrong within a file, rather than with reading or writing one.
var errFault = errors.New("migrate")

// migrate reads two files and writes the third, or nothing at all: the result is checked by the code that serves it first.
func migrate(say io.Writer, shape, from, to string, dry, force bool) error {
	old, err := os.ReadFile(from)
	if err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	wanted, err := os.ReadFile(shape)
	if err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	info, err := os.Stat(from)
	if err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	for _, path := range []string{from, shape} {
		if same(path, to) {
			return fmt.Errorf("migrate: %s: would be written over, and is never changed", path)
		}
	}
	if _, err := os.Lstat(to); err == nil && !force {
		return fmt.Errorf("migrate: %s: exists already, and --force is not given", to)
	} else if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("migrate: %w", err)
	}
	text, lines, alike, err := setup.Migrate(from, shape, old, wanted)
	if err != nil {
		return fmt.Errorf("%w: %w", errFault, err)
	}
	if err := program.CheckText(to, text, os.Getenv); err != nil {
		return fmt.Errorf("%w: what would be written can't be served: %w", errFault, err)
	}
	if !dry {
		if err := replace(to, text, info.Mode().Perm()); err != nil {
			return fmt.Errorf("migrate: %w", err)
		}
	}
	for _, line := range lines {
		fmt.Fprintln(say, line)
	}
	if alike {
		fmt.Fprintln(say, "the old file is of the new shape already; it comes out as it is")
	}
	return nil
}

func same(a, b string) bool {
	x, err := os.Stat(a)
	if err != nil {
		return false
	}
	y, err := os.Stat(b)
	return err == nil && os.SameFile(x, y)
}

// replace puts a file in its place whole, whatever happens meanwhile: a balancer that starts reads the one or the other.
func replace(path string, text []byte, mode os.FileMode) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = f.Close()
			_ = os.Remove(f.Name())
		}
	}()
	if _, err = f.Write(text); err != nil {
		return err
	}
	if err = f.Chmod(mode); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
