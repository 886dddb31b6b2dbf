package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

const (
	testTimeout  = 10 * time.Second // fails a test that hangs
	pollInterval = time.Millisecond
)

// built is the daemon, which is built once for all tests.
var built struct {
	once sync.Once
	root string // contains bin/yardwinch
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if built.root != "" {
		_ = os.RemoveAll(built.root)
	}
	os.Exit(code)
}

// buildDaemon returns a directory with the daemon in bin, built in the same way as for the platform.
func buildDaemon(t *testing.T) (root string) {
	t.Helper()
	built.once.Do(func() { built.root, built.err = build(t.Context()) })
	if built.err != nil {
		t.Fatal(built.err)
	}
	return built.root
}

func build(ctx context.Context) (root string, err error) {
	if root, err = os.MkdirTemp("", "yardwinch-daemon-"); err != nil {
		return "", err
	}
	program := filepath.Join(root, "bin", "yardwinch")
	build := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", program, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		return root, fmt.Errorf("build the daemon: %w: %s", err, output)
	}
	return root, nil
}
