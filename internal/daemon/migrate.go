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

// Migration describes the migration of a configuration file to another type of deployment.
type Migration struct {
	ShapePath string // partial configuration with the settings that only the new deployment defines
	OldPath   string
	NewPath   string
	DryRun    bool // write nothing
	Overwrite bool // replace NewPath if it exists
}

// Migrate converts a configuration file to another type of deployment, and prints what became of each key. The new
// configuration is checked by the code that serves it, and the file is written atomically. The error matches
// ErrConfiguration if the new configuration can't be served.
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
		return configurationError{fmt.Errorf("migrate: the resulting configuration can't be served: %w", err)}
	}
	if !m.DryRun {
		if err := replaceFile(m.NewPath, migrated.Text, old.mode); err != nil {
			return fmt.Errorf("migrate: %w", err)
		}
	}
	for _, line := range migrated.Report {
		_, _ = fmt.Fprintln(output, line) // the migration has succeeded even if the output fails
	}
	if migrated.IsUnchanged {
		_, _ = fmt.Fprintln(output, "the old file already has the new shape; the new file is a copy of it")
	}
	return nil
}

// oldFile is the configuration file to migrate.
type oldFile struct {
	config.File
	mode os.FileMode // also for the new file
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

// checkTarget returns nil if the new file may be written, else the reason why not.
func (m Migration) checkTarget() error {
	for _, path := range []string{m.OldPath, m.ShapePath} {
		if isSameFile(path, m.NewPath) {
			return fmt.Errorf("%s: is an input file and is never overwritten", path)
		}
	}
	_, err := os.Lstat(m.NewPath)
	switch {
	case err == nil && !m.Overwrite:
		return fmt.Errorf("%s: already exists, and --force is not given", m.NewPath)
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

// replaceFile replaces a file atomically: a balancer that starts meanwhile reads either the old or the new content.
func replaceFile(path string, text []byte, mode os.FileMode) (err error) {
	file, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = file.Close() // the file is removed in any case
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
