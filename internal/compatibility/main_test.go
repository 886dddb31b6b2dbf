package compatibility

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// commandPackages maps the name of each command in golden files to its main package, relative to the root of the
// module. The names stay the same; a rename of a package changes its path only.
var commandPackages = map[string]string{
	"wirehost": "./cmd/wirehost",
	"daemon":   "./cmd/yardwinch",
	"testbed":  "./cmd/testbed",
	"gossip":   "./cmd/yardwinch-gossip",
}

const moduleRoot = "../.."

var update = flag.Bool("update", false, "write the golden files from the current output")

// binDirectory holds the built commands.
var binDirectory string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(withCommands(m.Run))
}

// withCommands builds all commands and runs the tests. One build serves all tests, as a build for each test would take
// longer than the tests.
func withCommands(run func() int) int {
	directory, err := os.MkdirTemp("", "compatibility-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binDirectory = filepath.Join(directory, "bin")
	arguments := []string{"build", "-p", "2", "-o", binDirectory + "/"}
	for _, path := range commandPackages {
		arguments = append(arguments, path)
	}
	slices.Sort(arguments[5:])
	build := exec.CommandContext(context.Background(), "go", arguments...)
	build.Dir = moduleRoot
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return run()
}

// commandPath returns the path of a built command.
func commandPath(t *testing.T, name string) string {
	t.Helper()
	packagePath, isKnown := commandPackages[name]
	if !isKnown {
		t.Fatalf("unknown command %q", name)
	}
	return filepath.Join(binDirectory, filepath.Base(packagePath))
}

// commandResult is the output and exit code of a command.
type commandResult struct {
	stdout, stderr string
	exitCode       int
}

// runCommand runs a command in a directory until it exits.
func runCommand(t *testing.T, name, directory, input string, arguments ...string) commandResult {
	t.Helper()
	var stdout, stderr bytes.Buffer
	c := exec.CommandContext(t.Context(), commandPath(t, name), arguments...)
	c.Dir, c.Stdin, c.Stdout, c.Stderr = directory, strings.NewReader(input), &stdout, &stderr
	c.Env = commandEnvironment(t)
	err := c.Run()
	var exitError *exec.ExitError
	if err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return commandResult{stdout.String(), stderr.String(), c.ProcessState.ExitCode()}
}

// commandEnvironment returns the environment of the test process without the variables that set flags, and with a
// temporary directory of the test.
func commandEnvironment(t *testing.T) []string {
	t.Helper()
	inherited := slices.DeleteFunc(os.Environ(), func(s string) bool {
		return strings.HasPrefix(s, "PROXY_") || strings.HasPrefix(s, "YARDWINCH_") || strings.HasPrefix(s, "TMPDIR=")
	})
	return append(inherited, "TMPDIR="+t.TempDir())
}

// compareGolden compares a text with a file below testdata byte for byte, or writes the file if -update is set.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	compareLines(t, name, string(want), got)
}

// compareLines fails if two texts differ, and reports only the first line that differs, as whole outputs are too long
// to read.
func compareLines(t *testing.T, name, want, got string) {
	t.Helper()
	if want == got {
		return
	}
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range min(len(wantLines), len(gotLines)) {
		if wantLines[i] != gotLines[i] {
			t.Errorf("%s: line %d is %q, want %q", name, i+1, gotLines[i], wantLines[i])
			return
		}
	}
	t.Errorf("%s: %d lines, want %d", name, len(gotLines), len(wantLines))
}
