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

// sources says where each command's main package is, from the root of the module. Golden files know commands by
// the names on the left, which stay; a renaming changes the right side only.
var sources = map[string]string{
	"wirehost": "./cmd/wirehost",
	"daemon":   "./cmd/yardwinch",
	"testbed":  "./cmd/testbed",
	"gossip":   "./cmd/yardwinch-gossip",
}

const moduleRoot = "../.."

var update = flag.Bool("update", false, "write the golden files from what the commands do now")

// binDirectory holds the built commands.
var binDirectory string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(withCommands(m.Run))
}

// withCommands builds all commands once for all tests, as a build for each test would take longer than the tests.
func withCommands(run func() int) int {
	directory, err := os.MkdirTemp("", "compatibility-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binDirectory = filepath.Join(directory, "bin")
	packages := []string{"build", "-p", "2", "-o", binDirectory + "/"}
	for _, source := range sources {
		packages = append(packages, source)
	}
	slices.Sort(packages[5:])
	build := exec.CommandContext(context.Background(), "go", packages...)
	build.Dir = moduleRoot
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return run()
}

// command is the path of a built command.
func command(t *testing.T, name string) string {
	t.Helper()
	source, isKnown := sources[name]
	if !isKnown {
		t.Fatalf("no command is called %q", name)
	}
	return filepath.Join(binDirectory, filepath.Base(source))
}

// result is the output and exit code of a command.
type result struct {
	out, err string
	code     int
}

// runCommand runs a command to its end.
func runCommand(t *testing.T, name, folder, input string, arguments ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	c := exec.CommandContext(t.Context(), command(t, name), arguments...)
	c.Dir, c.Stdin, c.Stdout, c.Stderr = folder, strings.NewReader(input), &out, &errs
	c.Env = environment(t)
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return result{out.String(), errs.String(), c.ProcessState.ExitCode()}
}

// environment is the caller's without the variables that stand in for flags.
func environment(t *testing.T) []string {
	t.Helper()
	inherited := slices.DeleteFunc(os.Environ(), func(s string) bool {
		return strings.HasPrefix(s, "PROXY_") || strings.HasPrefix(s, "YARDWINCH_") || strings.HasPrefix(s, "TMPDIR=")
	})
	return append(inherited, "TMPDIR="+t.TempDir())
}

// golden compares with a file under testdata byte for byte, and writes that file instead where the flag asks for it.
func golden(t *testing.T, name, got string) {
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
	requireSame(t, name, string(want), got)
}

// requireSame fails with the first line that differs: whole outputs are too long to read.
func requireSame(t *testing.T, name, want, got string) {
	t.Helper()
	if want == got {
		return
	}
	wants, gots := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range min(len(wants), len(gots)) {
		if wants[i] != gots[i] {
			t.Errorf("%s: line %d: %q, want %q", name, i+1, gots[i], wants[i])
			return
		}
	}
	t.Errorf("%s: %d lines, want %d", name, len(gots), len(wants))
}
