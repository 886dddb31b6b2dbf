package daemon

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const migrateFiles = "testdata/migrate/"

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// migrationDirectory is the path of a directory with the files of a migration.
type migrationDirectory string

func (m migrationDirectory) path(name string) string { return filepath.Join(string(m), name) }

// contents returns the names, modes, modification times and texts of all files.
func (m migrationDirectory) contents(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	files, err := filepath.Glob(m.path("*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintln(&b, f, info.Mode(), info.ModTime(), readFile(t, f)) // a builder never fails
	}
	return b.String()
}

// migrationCase is one migration and its expected result.
type migrationCase struct {
	name, old, shape string // file contents; empty: those in testdata
	to               string // name of the new file; empty: new.json
	dryRun, force    bool
	output           string // its end, or the beginning of a line after the first
	err              string // part of the error text; empty: no error
}

// A migration that fails writes nothing and returns an error of one line that names the file and the key. A migration
// that succeeds writes the complete file.
func TestMigrate(t *testing.T) {
	old := readFile(t, migrateFiles+"old.json")
	fresh := readFile(t, migrateFiles+"new.json")
	list := readFile(t, migrateFiles+"list.txt")
	for _, c := range []migrationCase{
		{name: "written", output: list},
		{name: "a dry run", dryRun: true, output: list},
		{name: "an old file of the new shape", old: fresh, output: "the old file already has the new shape"},
		{name: "another file, with overwrite", to: "there.json", force: true, output: list},
		{name: "another file, without overwrite", to: "there.json", err: "there.json: already exists"},
		{name: "the old file, with overwrite", to: "old.json", force: true, err: "old.json: is an input file"},
		{name: "an empty file", old: " ", err: "old.json: is empty"},
		{name: "invalid JSON", old: "{", err: "old.json: top level: invalid JSON"},
		{
			name:  "a duplicate key in a list",
			shape: `{"settings":{"tenants":[{"name":"a","name":"b"}]}}`,
			err:   "shape.json: settings.tenants.0.name: duplicate key",
		},
		{
			name:  "an unknown key",
			shape: `{"settings":{"reporting":{"who":1}}}`,
			err:   "shape.json: settings.reporting.who: unknown key",
		},
		{
			name:  "an unknown key in a list",
			shape: `{"settings":{"tenants":[{"nmae":"a"}]}}`,
			err:   "shape.json: settings.tenants.0.nmae: unknown key",
		},
		{
			name:  "servers in the shape",
			shape: `{"known":{"members":[]}}`,
			err:   "shape.json: known: not allowed in a shape",
		},
		{
			name:  "text for a number",
			shape: `{"settings":{"peers-total":"many"}}`,
			err:   `settings.peers-total: bad number "many"`,
		},
		{
			name:  "text for a boolean",
			shape: `{"settings":{"reporting":{"how":"pull"},"policy-limits":{"probes":"maybe"}}}`,
			err:   `settings.policy-limits.probes: unknown word "maybe"`,
		},
		{
			name:  "an unknown enum value",
			shape: `{"settings":{"reporting":{"how":"loudly"}}}`,
			err:   `settings.reporting.how: unknown word "loudly"`,
		},
		{
			name:  "a goal out of range",
			shape: `{"settings":{"goal":{"nines-part":0.3}}}`,
			err:   "settings.goal.top-nines: must be above 0",
		},
		{
			name: "no service types",
			old:  strings.Replace(old, `"service-types"`, `"service-kinds"`, 1),
			err:  "settings.service-types: is missing",
		},
	} {
		t.Run(c.name, func(t *testing.T) { c.test(t, fresh) })
	}
}

func (c migrationCase) test(t *testing.T, fresh string) {
	directory := migrationDirectory(t.TempDir())
	for name, text := range map[string]string{
		"old.json":   cmp.Or(c.old, readFile(t, migrateFiles+"old.json")),
		"shape.json": cmp.Or(c.shape, readFile(t, migrateFiles+"shape.json")),
		"there.json": "precious",
	} {
		if err := os.WriteFile(directory.path(name), []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
	}
	to := directory.path(cmp.Or(c.to, "new.json"))
	before := directory.contents(t)
	var output bytes.Buffer
	err := Migrate(t.Context(), &output, Migration{
		ShapePath: directory.path("shape.json"),
		OldPath:   directory.path("old.json"),
		NewPath:   to,
		DryRun:    c.dryRun,
		Overwrite: c.force,
	})
	if c.err != "" {
		c.wantError(t, err, output.String())
	} else if got := output.String(); err != nil || !strings.HasSuffix(got, c.output) && !strings.Contains(got, "\n"+c.output) {
		t.Errorf("Migrate: %v, output %s", err, got)
	}
	if c.err != "" || c.dryRun {
		if after := directory.contents(t); after != before {
			t.Errorf("files before: %s, after: %s", before, after)
		}
		return
	}
	if info, err := os.Stat(to); err != nil || info.Mode() != 0o640 || readFile(t, to) != fresh {
		t.Errorf("Migrate: stat %v, wrote %s", err, readFile(t, to))
	}
}

// wantError checks that a migration failed with an error of one line and no output, and that the error is
// ErrConfiguration unless it concerns the target file.
func (c migrationCase) wantError(t *testing.T, err error, output string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), c.err) || strings.Contains(err.Error(), "\n") || output != "" {
		t.Errorf("Migrate: error %v, output %q, want an error with %s and no output", err, output, c.err)
	}
	if got, want := errors.Is(err, ErrConfiguration), c.to == ""; got != want {
		t.Errorf("error %v matches ErrConfiguration: %v, want the opposite", err, got)
	}
}

// A daemon runs with a migrated configuration: it gets its server from discovery, makes health checks, and serves a
// flow.
func TestServeMigratedConfiguration(t *testing.T) {
	checked := make(chan struct{}, 1000)
	server := startEchoServer(t, checked)
	list := fmt.Sprintf(`{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]}`, server)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, list+"\n")
		w.(http.Flusher).Flush()
		if r.URL.Query().Get("stream") != "" {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(agent.Close)
	h := newHarness(t)
	addresses := strings.NewReplacer("127.0.0.1:8080", h.listenAddress, "127.0.0.2:8500", strings.TrimPrefix(agent.URL, "http://"),
		`"seed"`, fmt.Sprintf(`"control":%q,"seed"`, h.adminAddress))
	oldPath := h.path
	h.path += ".new"
	writeConfig(t, oldPath, addresses.Replace(readFile(t, migrateFiles+"old.json")))
	migration := Migration{ShapePath: migrateFiles + "shape.json", OldPath: oldPath, NewPath: h.path}
	if err := Migrate(t.Context(), io.Discard, migration); err != nil {
		t.Fatal(err)
	}
	h.start(func(string) string { return "" })
	defer h.end()
	h.wantFlow("with the migrated configuration", "UP 1")
	select {
	case <-checked:
	case <-time.After(2 * testTimeout):
		t.Error("no health check was made")
	}
}
