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

// Commit is the revision of the program that runs, with "-dirty" where the tree it was built from had changes: from what
// the build noted, else from the repository that it runs in, as that was when first asked: reports that are written
// meanwhile change nothing of what is measured.
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

// Command gives the report of an experiment file again. It names no place of this machine.
func Command(file string) string {
	if filepath.IsAbs(file) {
		file = filepath.Join("experiments", "scale", filepath.Base(file))
	}
	return "testbed scale run " + filepath.ToSlash(file)
}
