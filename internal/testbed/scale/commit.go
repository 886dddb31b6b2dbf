package scale

import (
	"context"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
)

const unknownCommit = "unknown"

// Commit returns the revision of the running program, with the suffix "-dirty" if its source tree had uncommitted
// changes. It comes from the build information, else from the repository in the working directory. The latter is read
// once: reports that are written later would make the tree dirty.
var Commit = sync.OnceValue(findCommit)

func findCommit() string {
	revision, dirty := "", false
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch setting.Key {
			case "vcs.revision":
				revision = setting.Value
			case "vcs.modified":
				dirty = setting.Value == "true"
			}
		}
	}
	if revision == "" {
		head, err := exec.CommandContext(context.Background(), "git", "rev-parse", "HEAD").Output()
		if err != nil {
			return unknownCommit
		}
		changed, err := exec.CommandContext(context.Background(), "git", "status", "--porcelain").Output()
		revision, dirty = strings.TrimSpace(string(head)), err != nil || len(changed) > 0
	}
	if dirty {
		revision += "-dirty"
	}
	return revision
}

// Command returns the command that reproduces the report of an experiment file, without machine-specific paths.
func Command(file string) string {
	if filepath.IsAbs(file) {
		file = filepath.Join("experiments", "scale", filepath.Base(file))
	}
	return "testbed scale run " + filepath.ToSlash(file)
}
