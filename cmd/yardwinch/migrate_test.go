package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yardwinch/internal/program"
)

const oldShape = `{"listen":"127.0.0.1:8080","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":64,"sockets":384},"peers":["127.0.1.1:7946"],"spare":{"a":1},
 "known":{"revision":1,"complete":true,"members":[]},
 "settings":{"areas":["a","b","c"],"az":"a","peers-total":200,"reporting":{"how":"silent","columns":[]},
  "family-info":{"mode":"proxy","tells-load":true,"tells-delay":true},
  "policy-limits":{"max-connects":6,"peers":false,"probes":true},
  "service-types":[{"name":"live","effect":"free","group":"all","hard-limit":1800000000,"setup-target":300000000}]}}`

const newPlace = `{"settings":{"areas":["room"],"az":"room","peers-total":45,
 "reporting":{"how":"pull","columns":["x0","throughput","outstanding"]},
 "family-info":{"tells-delay":true},"policy-limits":{"max-connects":3},"tariffs":{"probe":0.002}}}`

const counterpart = `{
  "discovery": "127.0.0.2:8500",
  "limits": {
    "cores": 1,
    "memory_mb": 64,
    "sockets": 384
  },
  "listen": "127.0.0.1:8080",
  "seed": "8c1f30d27a5be964",
  "settings": {
    "areas": [
      "room"
    ],
    "az": "room",
    "family-info": {
      "mode": "proxy",
      "tells-delay": true
    },
    "peers-total": 45,
    "policy-limits": {
      "max-connects": 3,
      "probes": true
    },
    "reporting": {
      "columns": [
        "x0",
        "throughput",
        "outstanding"
      ],
      "how": "pull"
    },
    "service-types": [
      {
        "effect": "free",
        "group": "all",
        "hard-limit": 1800000000,
        "name": "live",
        "setup-target": 300000000
      }
    ],
    "tariffs": {
      "probe": 0.002
    }
  }
}
`

const becameOf = `discovery: carried over
known: left behind, names servers of the old fleet
limits.cores: carried over
limits.memory_mb: carried over
limits.sockets: carried over
listen: carried over
peers: left behind, balancers send each other nothing any more
seed: carried over
settings.areas: taken from the shape
settings.az: taken from the shape
settings.family-info.mode: carried over
settings.family-info.tells-delay: taken from the shape
settings.family-info.tells-load: left behind, true of the old place alone, and the shape doesn't state it
settings.peers-total: taken from the shape
settings.policy-limits.max-connects: taken from the shape
settings.policy-limits.peers: left behind, balancers send each other nothing any more
settings.policy-limits.probes: carried over
settings.reporting.columns: taken from the shape
settings.reporting.how: taken from the shape
settings.service-types: carried over
settings.tariffs.probe: taken from the shape, not in the old file
spare.a: left behind, unknown key
`

// moved is a folder with an old file and a shape.
type moved struct {
	t            *testing.T
	dir          string
	old, shape   string
	fresh        string
	said         bytes.Buffer
	dry, instead bool
}

func folder(t *testing.T, old, shape string) *moved {
	m := &moved{t: t, dir: t.TempDir()}
	m.old, m.shape, m.fresh = filepath.Join(m.dir, "old.json"), filepath.Join(m.dir, "shape.json"), filepath.Join(m.dir, "new.json")
	m.write(m.old, old, 0o640)
	m.write(m.shape, shape, 0o600)
	return m
}

func (m *moved) write(path, text string, mode os.FileMode) {
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		m.t.Fatal(err)
	}
}

func (m *moved) migrate() error {
	m.said.Reset()
	return migrate(&m.said, m.shape, m.old, m.fresh, m.dry, m.instead)
}

// all is what the folder holds, names, modes and texts.
func (m *moved) all() string {
	var b strings.Builder
	files, err := os.ReadDir(m.dir)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, f := range files {
		info, err := f.Info()
		text, err2 := os.ReadFile(filepath.Join(m.dir, f.Name()))
		if err != nil || err2 != nil {
			m.t.Fatal(err, err2)
		}
		fmt.Fprintln(&b, f.Name(), info.Mode(), info.ModTime(), string(text))
	}
	return b.String()
}

func TestMigrate(t *testing.T) {
	t.Run("the counterpart, and what became of each key", func(t *testing.T) {
		m := folder(t, oldShape, newPlace)
		if err := m.migrate(); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(m.fresh)
		if err != nil || string(got) != counterpart {
			t.Errorf("%v, wrote %s", err, got)
		}
		if m.said.String() != becameOf {
			t.Errorf("said %s", m.said.String())
		}
		if info, err := os.Stat(m.fresh); err != nil || info.Mode() != 0o640 {
			t.Errorf("%v, mode %v", err, info.Mode())
		}
	})
	t.Run("a dry run says the same and leaves the folder as it was", func(t *testing.T) {
		m := folder(t, oldShape, newPlace)
		before := m.all()
		m.dry = true
		if err := m.migrate(); err != nil || m.said.String() != becameOf {
			t.Errorf("%v, said %s", err, m.said.String())
		}
		if after := m.all(); after != before {
			t.Errorf("was %s, is %s", before, after)
		}
	})
	t.Run("a file of the new shape comes out alike and says so", func(t *testing.T) {
		m := folder(t, counterpart, newPlace)
		if err := m.migrate(); err != nil || !strings.Contains(m.said.String(), "of the new shape already") {
			t.Errorf("%v, said %s", err, m.said.String())
		}
		if got, _ := os.ReadFile(m.fresh); string(got) != counterpart {
			t.Errorf("wrote %s", got)
		}
	})
	t.Run("an existing target only by force, the old file and the shape never", func(t *testing.T) {
		m := folder(t, oldShape, newPlace)
		m.write(m.fresh, "precious", 0o600)
		before := m.all()
		for _, to := range []string{m.fresh, m.old, m.shape} {
			m.instead = to != m.fresh
			if err := migrate(&m.said, m.shape, m.old, to, false, m.instead); err == nil || errors.Is(err, errFault) || m.all() != before {
				t.Errorf("%s: %v", to, err)
			}
		}
		m.instead = true
		if err := m.migrate(); err != nil {
			t.Error(err)
		}
		if got, _ := os.ReadFile(m.fresh); string(got) != counterpart {
			t.Errorf("wrote %s", got)
		}
	})
	t.Run("files that can't be read", func(t *testing.T) {
		m := folder(t, oldShape, newPlace)
		m.old += "x"
		if err := m.migrate(); err == nil || errors.Is(err, errFault) {
			t.Error(err)
		}
	})
}

func TestMigrateFaults(t *testing.T) {
	for _, c := range []struct{ name, old, shape, want string }{
		{"an empty old file", "", newPlace, "old.json: is empty"},
		{"no JSON", "{", newPlace, "old.json: the whole: no JSON"},
		{"no object", "[1]", newPlace, "old.json: want an object"},
		{"two objects", oldShape + "{}", newPlace, "old.json: more follows"},
		{"a key twice", strings.Replace(oldShape, `"seed":`, `"seed":"1","seed":`, 1), newPlace, "old.json: seed: stands twice"},
		{"an empty shape", oldShape, "  ", "shape.json: is empty"},
		{"a key twice, deep in the shape", oldShape, `{"settings":{"service-types":[{"name":"a","name":"b"}]}}`, "shape.json: settings.service-types.0.name: stands twice"},
		{"an unknown key", oldShape, `{"settings":{"reporting":{"who":1}}}`, "shape.json: settings.reporting.who: unknown key"},
		{"a list of servers in the shape", oldShape, `{"known":{"members":[]}}`, "shape.json: known: can't be taken over"},
		{"a wrong type", oldShape, `{"settings":{"peers-total":"many"}}`, `settings.peers-total: bad number "many"`},
		{"an unknown word", oldShape, `{"settings":{"reporting":{"how":"loudly"}}}`, `settings.reporting.how: unknown word "loudly"`},
		{"nines out of range", oldShape, `{"settings":{"goal":{"nines-part":0.3}}}`, "settings.goal.top-nines: must be above 0"},
		{"no service types", strings.Replace(oldShape, `"service-types"`, `"service-kinds"`, 1), newPlace, "settings.service-types: is missing"},
		{"a type without a name", strings.Replace(oldShape, `"name":"live",`, "", 1), newPlace, "settings.service-types.0.name: is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := folder(t, c.old, c.shape)
			before := m.all()
			err := m.migrate()
			if !errors.Is(err, errFault) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want %s", err, c.want)
			}
			if m.all() != before || m.said.Len() > 0 {
				t.Errorf("wrote or said something: %s", m.said.String())
			}
		})
	}
}

// A daemon serves from the written file: it finds its server through discovery, asks it for its load, and holds a flow.
func TestServeFromTheWrittenFile(t *testing.T) {
	server, asked := standIn(t), make(chan struct{}, 64)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				switch line, _ := in.ReadString('\n'); {
				case line == "STATS\r\n":
					_, _ = io.WriteString(c, "PONG x0:0.4,throughput:1,outstanding:2\r\n")
					select {
					case asked <- struct{}{}:
					default:
					}
				case strings.HasPrefix(line, "OPEN "):
					_, _ = io.WriteString(c, "UP 1\r\n")
					_, _ = io.Copy(c, in)
				}
			}()
		}
	}()
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]}`+"\n", server.Addr())
		w.(http.Flusher).Flush()
		if q.URL.Query().Get("stream") != "" {
			<-q.Context().Done()
		}
	}))
	t.Cleanup(agent.Close)
	clients := standIn(t)
	addr := clients.Addr().String()
	clients.Close()
	m := folder(t, strings.NewReplacer("127.0.0.1:8080", addr, "127.0.0.2:8500", strings.TrimPrefix(agent.URL, "http://")).Replace(oldShape), newPlace)
	if err := m.migrate(); err != nil {
		t.Fatal(err)
	}
	p, err := program.Load(m.fresh, "", func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	stop, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Serve(stop, nil) }()
	end := time.Now().Add(20 * time.Second)
	up := ""
	for id := 1; up != "UP 1\r\n" && time.Now().Before(end); id++ { // until it listens and has its list
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(end)
		_, _ = fmt.Fprintf(c, "OPEN %d 2 c=live,d=1800\r\n", id)
		up, _ = bufio.NewReader(c).ReadString('\n')
		defer c.Close()
	}
	if up != "UP 1\r\n" {
		t.Errorf("a client hears %q", up)
	}
	select {
	case <-asked:
	case <-time.After(time.Until(end)):
		t.Error("the server was never asked for its load")
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("ended with %v", err)
	}
}

func standIn(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}
