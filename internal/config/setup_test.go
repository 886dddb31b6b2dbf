package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"maps"
	"slices"
	"yardwinch/decide"
)

const settings = `"settings":{"az":"z1","discovery":"ask","weights":"rough","peers-total":3,"ordinal":1,
	"family-info":{"mode":"proxy","message-aim":[250000000,60000000],"tells-load":true,"tells-delay":true},
	"guarantees":{"cold-from":0.16,"fall-multiple":3.0,"warm-after":23000000000,"drain-grace":750000000},
	"policy-limits":{"connect-timeout":200000000,"max-connects":6,"peers":true,"probes":true},
	"reporting":{"how":"pull"},"tenants":[{"name":"acme"}],
	"service-types":[{"name":"live","effect":"free","group":"all","hard-limit":1800000000,"setup-target":300000000},
		{"name":"pay","effect":"guarded","group":"cell","hard-limit":2500000000,"setup-target":500000000}]}`

const config = `{"name":"n1","listen":"127.0.0.1:8080","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.5,"memory_mb":192,"sockets":1436},"known":{"revision":1,"complete":true,"members":[]},
	"peer_listen":"127.0.0.1:7946","peers":["127.0.1.1:7946","127.0.1.2:7946"],"peers_all":"127.0.1.9:7946",` + settings + "}"

// read goes through all that a balancer reads, and gives the first fault.
func read(t *testing.T, text string, env func(string) string) (Values, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g, _, err := Load(path, env)
	if err != nil {
		return g, err
	}
	s := g.DecisionSettings()
	g.Addr("listen")
	g.Addr("discovery")
	AdminAddress(g)
	Seed(g)
	ResourceLimits(g)
	ConnectTimeout(s)
	MaxClientTimeout(s)
	ConfigureBalancer(s, decide.New(1, nobody{}))
	return g, g.Err()
}

type nobody struct{ decide.Actions }

func (nobody) SetTimer(decide.TimerID, time.Duration) {}
func (nobody) WatchEndpoints(bool)                    {}

func none(string) string { return "" }

func TestRead(t *testing.T) {
	g, err := read(t, config, none)
	if err != nil {
		t.Fatal(err)
	}
	s := g.DecisionSettings()
	cores, memory, descriptors := ResourceLimits(g)
	load, delay := ServerMetrics(s)
	for _, c := range []struct {
		name      string
		got, want any
	}{
		{"seed", Seed(g), uint64(0x8c1f30d27a5be964)},
		{"cores", cores, 2},
		{"memory", memory, int64(192 << 20)},
		{"descriptors", descriptors, 1436},
		{"handshake", ConnectTimeout(s), 200 * time.Millisecond},
		{"longest wait", MaxClientTimeout(s), 2500 * time.Millisecond},
		{"message target", MessageTarget(s), 60 * time.Millisecond},
		{"probing", HealthChecksEnabled(s), true},
		{"asking", DiscoveryIsPolled(s), true},
		{"tellings", load && delay, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("%v, want %v", c.got, c.want)
			}
		})
	}
	t.Run("names", func(t *testing.T) {
		services, customers := ConfigureBalancer(s, decide.New(1, nobody{}))
		if services["pay"] != 1 || len(services) != 2 || customers["acme"] != 0 || len(customers) != 1 {
			t.Errorf("%v, %v", services, customers)
		}
	})
	t.Run("the environment stands in", func(t *testing.T) {
		env := func(name string) string { return map[string]string{"PROXY_LISTEN": "127.0.0.9:1"}[name] }
		g, err := read(t, strings.Replace(config, `"listen":"127.0.0.1:8080",`, "", 1), env)
		if err != nil || g.Addr("listen") != "127.0.0.9:1" {
			t.Errorf("%q, %v", g.Addr("listen"), err)
		}
	})
}

// Whoever mends a configuration is told which key is at fault.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"not JSON", config, "{", "PROXY_CONFIG: "},
		{"not an object", config, "[1]", "PROXY_CONFIG: "},
		{"no address", `"127.0.0.1:8080"`, `"here"`, `listen: no address with a port: "here"`},
		{"address missing", `"discovery":"127.0.0.2:8500",`, "", "discovery: is missing"},
		{"a bad control", `"discovery":`, `"control":"here","discovery":`, `control: no address with a port: "here"`},
		{"bad seed", "8c1f30d27a5be964", "x", "seed: "},
		{"no memory", `"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb: must be above 0"},
		{"words for a number", "1436", `"many"`, `limits.sockets: bad number "many"`},
		{"bad handshake", `"connect-timeout":200000000`, `"connect-timeout":-1`, "settings.policy-limits.connect-timeout: must"},
		{"no service types", `"service-types"`, `"service-kinds"`, "settings.service-types: is missing or empty"},
		{"a type without a name", `"name":"live",`, "", "settings.service-types.0.name: is missing"},
		{"an unknown effect", `"guarded"`, `"maybe"`, `settings.service-types.1.effect: unknown word "maybe"`},
		{"an unknown group", `"cell"`, `"shelf"`, `settings.service-types.1.group: unknown word "shelf"`},
		{"a bad list", "[250000000,60000000]", `[250000000,"x"]`, `settings.family-info.message-aim: bad number "x"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := read(t, strings.Replace(config, c.from, c.to, 1), none); err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("fault %v, want %s", err, c.want)
			}
		})
	}
	t.Run("no file", func(t *testing.T) {
		for _, path := range []string{"", filepath.Join(t.TempDir(), "none")} {
			if _, _, err := Load(path, none); err == nil || !strings.HasPrefix(err.Error(), "PROXY_CONFIG: ") {
				t.Errorf("fault %v", err)
			}
		}
	})
}

// The wire's flat pairs and the nested JSON are one and the same to what reads them.
func TestFlatten(t *testing.T) {
	g, err := FromJSON([]byte(`{"a":{"b":[1,null,"x"],"c":true},"d":[{"e":1.50},{"e":12345678901234567890}],"f":null,"g":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"a.b": "1,null,x", "a.c": "true", "d.count": "2", "d.0.e": "1.50",
		"d.1.e": "12345678901234567890", "f": "absent", "g": "absent", "g.count": "0"} {
		t.Run(path, func(t *testing.T) {
			if got := g.String(path, "absent"); got != want {
				t.Errorf("%q, want %q", got, want)
			}
		})
	}
}

// Whoever reads the log after a reload must see what did not take effect, and nothing that did.
func TestChanged(t *testing.T) {
	for _, c := range []struct{ name, old, now, want string }{
		{"nothing", "", "", ""},
		{"what takes effect", "127.0.0.2:8500", "127.0.0.9:8500", ""},
		{"what is told anew at each start", "8c1f30d27a5be964", "1", ""},
		{"the list as last held", `"revision":1`, `"revision":9`, ""},
		{"a limit", `"sockets":1436`, `"sockets":99`, "limits.sockets"},
		{"two, one of them new", `"memory_mb":192`, `"memory_mb":64,"more":1`, "limits.memory_mb limits.more"},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, err := read(t, config, none)
			now, err2 := read(t, strings.Replace(config, c.old, c.now, 1), none)
			if err != nil || err2 != nil {
				t.Fatal(err, err2)
			}
			if got := strings.Join(old.ChangedKeys(now), " "); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// What one deployment never had must not be taken from another's: a message target that is not stated, and names that mean something elsewhere.
func TestOtherDeployments(t *testing.T) {
	for _, c := range []struct {
		name, text string
		target     time.Duration
		services   string
	}{
		{"a message target of one type alone", `{"family-info":{"message-aim":[250000000,null]},"service-types":[
			{"name":"a","setup-target":900000000},{"name":"b","setup-target":700000000}]}`, 250 * time.Millisecond, "a b"},
		{"of none", `{"service-types":[{"name":"a","setup-target":900000000},{"name":"b","setup-target":700000000}]}`, 700 * time.Millisecond, "a b"},
		{"one for all", `{"family-info":{"message-aim":[50000000]},"service-types":[{"name":"a","setup-target":900000000}]}`, 50 * time.Millisecond, "a"},
		{"names", `{"service-types":[{"name":"null","setup-target":1},{"name":"0","setup-target":1},{"name":"A","setup-target":1},
			{"name":"a","setup-target":1}],"tenants":[{"name":"null"},{"name":"true"}]}`, 1, "0 A a null"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, err := FromJSON([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			services, _ := ConfigureBalancer(g, decide.New(1, nowhere{}))
			if names := strings.Join(slices.Sorted(maps.Keys(services)), " "); names != c.services || MessageTarget(g) != c.target || g.Err() != nil {
				t.Errorf("service types %q, target %v, fault %v", names, MessageTarget(g), g.Err())
			}
		})
	}
}

type nowhere struct{ decide.Actions }

func (nowhere) SetTimer(decide.TimerID, time.Duration) {}
func (nowhere) WatchEndpoints(bool)                    {}
