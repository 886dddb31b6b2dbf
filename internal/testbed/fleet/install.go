package fleet

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

const (
	engineName    = "yardwinch-gossip" // the daemon looks for this name beside its own executable
	publicDirMode = 0o755
	programMode   = 0o755
)

// install copies the programs into the run's directory, where any user can execute them.
func (r *fleetRun) install(s Settings) error {
	for build, program := range map[string][]string{currentBuild: s.Program, oldBuild: s.OldProgram} {
		if len(program) == 0 {
			continue
		}
		path, err := r.copyProgram("program-"+build, program[0])
		if err != nil {
			return err
		}
		r.programs[build] = append([]string{path}, program[1:]...)
	}
	if !r.plan.hasMembership {
		return nil
	}
	engine := r.plan.Engine
	if engine == "" {
		engine = filepath.Join(filepath.Dir(s.Program[0]), engineName)
	}
	_, err := r.copyProgram(engineName, engine)
	return err
}

func (r *fleetRun) copyProgram(name, from string) (to string, err error) {
	to = filepath.Join(r.directory, name)
	if err := copyFile(r.directory, from, to); err != nil {
		return "", &Error{
			Where:  "fleet",
			What:   "cannot install the program " + name,
			Remedy: "build it (README, \"See it work\") and pass its path with --yardwinch",
			Err:    err,
		}
	}
	return to, nil
}

func copyFile(directory, from, to string) error {
	if err := os.Chmod(directory, publicDirMode); err != nil {
		return err
	}
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = source.Close() }() // read only
	_ = os.Remove(to)                     // a copy from an earlier run in the same directory may still be executing
	target, err := os.OpenFile(to, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, programMode)
	if err != nil {
		return err
	}
	_, err = io.Copy(target, source)
	return errors.Join(err, target.Close())
}
