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
	old, shape, err := m.read()
	if err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	if err := m.checkTarget(); err != nil {
		return fmt.Errorf("migrate: %w", err)
	}
	migrated, err := config.Migrate(old.File, shape)
	if err != nil {
		return configurationError{fmt.Errorf("migrate: %w", err)}
	}
	if err := checkText(ctx, Source{ConfigPath: m.NewPath, Environment: os.Getenv}, migrated.Text); err != nil {
		return configurationError{fmt.Errorf("migrate: what would be written can't be served: %w", err)}
	}
	if !m.DryRun {
		if err := replaceFile(m.NewPath, migrated.Text, old.mode); err != nil {
			return fmt.Errorf("migrate: %w", err)
		}
	}
	for _, line := range migrated.Report {
		_, _ = fmt.Fprintln(output, line) // the file is written, whether or not anybody reads this
	}
	if migrated.IsUnchanged {
		_, _ = fmt.Fprintln(output, "the old file is of the new shape already; it comes out as it is")
	}
	return nil
}

// oldFile is the file that is migrated.
type oldFile struct {
	config.File
	mode os.FileMode // the new file gets the same
}

func (m Migration) read() (old oldFile, shape config.File, err error) {
	old.Name, shape.Name = m.OldPath, m.ShapePath
	if old.Text, err = os.ReadFile(old.Name); err != nil {
		return old, shape, err
	}
	if shape.Text, err = os.ReadFile(shape.Name); err != nil {
		return old, shape, err
	}
	info, err := os.Stat(old.Name)
	if err != nil {
		return old, shape, err
	}
	old.mode = info.Mode().Perm()
	return old, shape, nil
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
