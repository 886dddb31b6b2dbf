package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"yardwinch/internal/config"
)

// Migrate makes the counterpart of a configuration for another shape of deployment, and says what became of each key. It
// writes the file whole, or nothing at all: the code that serves it checks the text first.
func Migrate(say io.Writer, shape, from, to string, dry, force bool) error {
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
		if isSameFile(path, to) {
			return fmt.Errorf("migrate: %s: would be written over, and is never changed", path)
		}
	}
	if _, err := os.Lstat(to); err == nil && !force {
		return fmt.Errorf("migrate: %s: exists already, and --force is not given", to)
	} else if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("migrate: %w", err)
	}
	text, lines, alike, err := config.Migrate(from, shape, old, wanted)
	if err != nil {
		return configurationError{fmt.Errorf("migrate: %w", err)}
	}
	if err := checkText(to, text, os.Getenv); err != nil {
		return configurationError{fmt.Errorf("migrate: what would be written can't be served: %w", err)}
	}
	if !dry {
		if err := replaceFile(to, text, info.Mode().Perm()); err != nil {
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

func isSameFile(a, b string) bool {
	x, err := os.Stat(a)
	if err != nil {
		return false
	}
	y, err := os.Stat(b)
	return err == nil && os.SameFile(x, y)
}

// replaceFile puts a file in its place whole, whatever happens meanwhile: a balancer that starts reads the one or the other.
func replaceFile(path string, text []byte, mode os.FileMode) (err error) {
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
