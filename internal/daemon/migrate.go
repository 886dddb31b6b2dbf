package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"yardwinch/internal/config"
)

// Migration names the files of a migration of a configuration to another shape of deployment.
type Migration struct {
	ShapePath string // what only the new place can tell: a part of a configuration
	OldPath   string
	NewPath   string
	DryRun    bool // write nothing
	Overwrite bool // write over NewPath where it exists
}

// Migrate writes the counterpart of a configuration for another shape of deployment, and prints what became of
// each key. The new configuration is checked by the code that serves it, and is written whole or not at all. One
// that can't be served is ErrConfiguration.
func Migrate(ctx context.Context, output io.Writer, m Migration) error {
	source, err := m.read()
	if err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	if err := m.checkTarget(); err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	text, lines, unchanged, err := config.Migrate(m.OldPath, m.ShapePath, source.old, source.shape)
	if err != nil {
		return configurationError{fmt.Errorf("migrate: %w", err)}
	}
	if err := checkText(ctx, Source{ConfigPath: m.NewPath, Environment: os.Getenv}, text); err != nil {
		return configurationError{fmt.Errorf("migrate: what would be written can't be served: %w", err)}
	}
	if !m.DryRun {
		if err := replaceFile(m.NewPath, text, source.mode); err != nil {
			return fmt.Errorf("migrate: %w", err)
		}
	}
	if unchanged {
		lines = append(lines, "the old file is of the new shape already; it comes out as it is")
	}
	for _, line := range lines {
		_, _ = fmt.Fprintln(output, line) // the file is written, whether or not anybody reads this
	}
	return nil
}

// migrationSource is what a migration starts from.
type migrationSource struct {
	old, shape []byte
	mode       os.FileMode // of the old file, and so of the new one
}

func (m Migration) read() (source migrationSource, err error) {
	if source.old, err = os.ReadFile(m.OldPath); err != nil {
		return source, err
	}
	if source.shape, err = os.ReadFile(m.ShapePath); err != nil {
		return source, err
	}
	info, err := os.Stat(m.OldPath)
	if err != nil {
		return source, err
	}
	source.mode = info.Mode().Perm()
	return source, nil
}

// checkTarget returns why the new file must not be written; nil: it may be.
func (m Migration) checkTarget() error {
	for _, path := range []string{m.OldPath, m.ShapePath} {
		if isSameFile(path, m.NewPath) {
			return fmt.Errorf("%s: would be written over, and is never changed", path)
		}
	}
	_, err := os.Lstat(m.NewPath)
	switch {
	case err == nil && !m.Overwrite:
		return fmt.Errorf("%s: exists already, and --force is not given", m.NewPath)
	case err != nil && !errors.Is(err, os.ErrNotExist):
		return err
	}
	return nil
}

func isSameFile(a, b string) bool {
	infoA, err := os.Stat(a)
	if err != nil {
		return false
	}
	infoB, err := os.Stat(b)
	return err == nil && os.SameFile(infoA, infoB)
}

// replaceFile replaces a file as a whole, whatever happens meanwhile: a balancer that starts reads the content
// before or the content after.
func replaceFile(path string, text []byte, mode os.FileMode) (err error) {
	file, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = file.Close() // it is removed, with whatever it has
			_ = os.Remove(file.Name())
		}
	}()
	if _, err = file.Write(text); err != nil {
		return err
	}
	if err = file.Chmod(mode); err != nil {
		return err
	}
	if err = file.Sync(); err != nil {
		return err
	}
	if err = file.Close(); err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}
