package compatibility

import (
	"bytes"
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

var update = flag.Bool("update", false, "write the golden files anew, from what the commands do now")

// built is the folder of the commands.
var built string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(withCommands(m.Run))
}

// withCommands builds all commands once for all tests, as a build for each test would take longer than the tests.
func withCommands(run func() int) int {
	folder, err := os.MkdirTemp("", "compatibility-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	built = filepath.Join(folder, "bin")
	packages := []string{"build", "-p", "2", "-o", built + "/"}
	for _, source := range sources {
		packages = append(packages, source)
	}
	slices.Sort(packages[5:])
	build := exec.Command("go", packages...)
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
	source, there := sources[name]
	if !there {
		t.Fatalf("no command is called %q", name)
	}
	return filepath.Join(built, filepath.Base(source))
}

// result is all that a command that ran to its end showed.
type result struct {
	out, err string
	code     int
}

// ran runs a command to its end.
func ran(t *testing.T, name, folder, input string, arguments ...string) result {
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

// environment is one in which nothing of the caller's stands in for flags.
func environment(t *testing.T) []string {
	t.Helper()
	kept := slices.DeleteFunc(os.Environ(), func(s string) bool {
		return strings.HasPrefix(s, "PROXY_") || strings.HasPrefix(s, "YARDWINCH_") || strings.HasPrefix(s, "TMPDIR=")
	})
	return append(kept, "TMPDIR="+t.TempDir())
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
	same(t, name, string(want), got)
}

// same fails with the first line that differs: whole outputs are too long to read.
func same(t *testing.T, name, want, got string) {
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
