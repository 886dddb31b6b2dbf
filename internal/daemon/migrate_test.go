package daemon

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
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
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// migrationDirectory is a folder with the files of a move; all tells what it holds, names, modes and texts.
type migrationDirectory string

func (m migrationDirectory) path(name string) string { return filepath.Join(string(m), name) }

func (m migrationDirectory) contents(t *testing.T) string {
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
		fmt.Fprintln(&b, f, info.Mode(), info.ModTime(), readFile(t, f))
	}
	return b.String()
}

// Whatever goes wrong, one line names file and key and nothing is written; what goes well is written whole.
func TestMigrate(t *testing.T) {
	old, shape, fresh, list := readFile(t, migrateFiles+"old.json"), readFile(t, migrateFiles+"shape.json"), readFile(t, migrateFiles+"new.json"), readFile(t, migrateFiles+"list.txt")
	for _, c := range []struct {
		name, old, shape, to string
		dry, force           bool
		said, fault          string
	}{
		{name: "written", said: list},
		{name: "a dry run", dry: true, said: list},
		{name: "of the new shape already", old: fresh, said: "the old file is of the new shape already"},
		{name: "over another file by force", to: "there.json", force: true, said: list},
		{name: "over another file", to: "there.json", fault: "there.json: exists already"},
		{name: "over the old file", to: "old.json", force: true, fault: "old.json: would be written over"},
		{name: "an empty file", old: " ", fault: "old.json: is empty"},
		{name: "no JSON", old: "{", fault: "old.json: the whole: no JSON"},
		{name: "a key twice in a list", shape: `{"settings":{"tenants":[{"name":"a","name":"b"}]}}`, fault: "shape.json: settings.tenants.0.name: stands twice"},
		{name: "an unknown key", shape: `{"settings":{"reporting":{"who":1}}}`, fault: "shape.json: settings.reporting.who: unknown key"},
		{name: "an unknown key in a list", shape: `{"settings":{"tenants":[{"nmae":"a"}]}}`, fault: "shape.json: settings.tenants.0.nmae: unknown key"},
		{name: "servers in the shape", shape: `{"known":{"members":[]}}`, fault: "shape.json: known: can't be taken over"},
		{name: "a word for a number", shape: `{"settings":{"peers-total":"many"}}`, fault: `settings.peers-total: bad number "many"`},
		{name: "a word for a yes", shape: `{"settings":{"reporting":{"how":"pull"},"policy-limits":{"probes":"maybe"}}}`, fault: `settings.policy-limits.probes: unknown word "maybe"`},
		{name: "an unknown word", shape: `{"settings":{"reporting":{"how":"loudly"}}}`, fault: `settings.reporting.how: unknown word "loudly"`},
		{name: "nines out of range", shape: `{"settings":{"goal":{"nines-part":0.3}}}`, fault: "settings.goal.top-nines: must be above 0"},
		{name: "no service types", old: strings.Replace(old, `"service-types"`, `"service-kinds"`, 1), fault: "settings.service-types: is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := migrationDirectory(t.TempDir())
			for name, text := range map[string]string{"old.json": cmp.Or(c.old, old), "shape.json": cmp.Or(c.shape, shape), "there.json": "precious"} {
				if err := os.WriteFile(m.path(name), []byte(text), 0o640); err != nil {
					t.Fatal(err)
				}
			}
			to := m.path(cmp.Or(c.to, "new.json"))
			before, said := m.contents(t), bytes.Buffer{}
			err := Migrate(&said, m.path("shape.json"), m.path("old.json"), to, c.dry, c.force)
			if c.fault != "" {
				if err == nil || !strings.Contains(err.Error(), c.fault) || strings.Contains(err.Error(), "\n") || errors.Is(err, ErrConfiguration) != (c.to == "") || said.Len() > 0 {
					t.Errorf("%v, said %q, want %s", err, said.String(), c.fault)
				}
			} else if err != nil || !strings.HasSuffix(said.String(), c.said) && !strings.Contains(said.String(), "\n"+c.said) {
				t.Errorf("%v, said %s", err, said.String())
			}
			if c.fault != "" || c.dry {
				if after := m.contents(t); after != before {
					t.Errorf("was %s, is %s", before, after)
				}
				return
			}
			if info, err := os.Stat(to); err != nil || info.Mode() != 0o640 || readFile(t, to) != fresh {
				t.Errorf("%v, wrote %s", err, readFile(t, to))
			}
		})
	}
}

// A daemon serves from the written file: it finds its server through discovery, asks it for its load, and holds a flow.
func TestServeMigratedConfiguration(t *testing.T) {
	asked := make(chan struct{}, 1000)
	server := startEchoServer(t, asked)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]}`+"\n", server)
		w.(http.Flusher).Flush()
		if q.URL.Query().Get("stream") != "" {
			<-q.Context().Done()
		}
	}))
	t.Cleanup(agent.Close)
	g := newHarness(t)
	at := strings.NewReplacer("127.0.0.1:8080", g.listenAddress, "127.0.0.2:8500", strings.TrimPrefix(agent.URL, "http://"), `"seed"`, fmt.Sprintf(`"control":%q,"seed"`, g.adminAddress))
	if err := os.WriteFile(g.path, []byte(at.Replace(readFile(t, migrateFiles+"old.json"))), 0o600); err != nil {
		t.Fatal(err)
	}
	from := g.path
	g.path += ".new"
	if err := Migrate(&bytes.Buffer{}, migrateFiles+"shape.json", from, g.path, false, false); err != nil {
		t.Fatal(err)
	}
	g.start(func(string) string { return "" })
	defer g.end()
	if _, up := g.openFlow(); up != "UP 1" {
		t.Errorf("a client hears %q", up)
	}
	select {
	case <-asked:
	case <-time.After(20 * time.Second):
		t.Error("the server was never asked for its load")
	}
}
