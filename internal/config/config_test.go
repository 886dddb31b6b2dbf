package config

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"yardwinch/decide"
)

const settingsText = `"settings":{"az":"z1","discovery":"ask","weights":"rough","peers-total":3,"ordinal":1,
	"family-info":{"mode":"proxy","message-aim":[250000000,60000000],"tells-load":true,"tells-delay":true},
	"guarantees":{"cold-from":0.16,"fall-multiple":3.0,"warm-after":23000000000,"drain-grace":750000000},
	"policy-limits":{"connect-timeout":200000000,"max-connects":6,"peers":true,"probes":true},
	"reporting":{"how":"pull"},"tenants":[{"name":"acme"}],
	"service-types":[{"name":"live","effect":"free","group":"all","hard-limit":1800000000,"setup-target":300000000},
		{"name":"pay","effect":"guarded","group":"cell","hard-limit":2500000000,"setup-target":500000000}]}`

const configText = `{"name":"n1","listen":"127.0.0.1:8080","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.5,"memory_mb":192,"sockets":1436},"known":{"revision":1,"complete":true,"members":[]},
	"peer_listen":"127.0.0.1:7946","peers":["127.0.1.1:7946","127.0.1.2:7946"],"peers_all":"127.0.1.9:7946",` + settingsText + "}"

// readAll reads all values that a balancer reads, and returns the first error.
func readAll(t *testing.T, text string, env func(string) string) (Values, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	values, _, err := Load(path, env)
	if err != nil {
		return values, err
	}
	settings := values.DecisionSettings()
	values.Addr("listen")
	values.Addr("discovery")
	AdminAddress(values)
	Seed(values)
	ResourceLimits(values)
	ConnectTimeout(settings)
	MaxClientTimeout(settings)
	ConfigureBalancer(settings, decide.New(1, noopActions{}))
	return values, values.Err()
}

// noopActions implements the actions that are called while a balancer is configured; they do nothing.
type noopActions struct{ decide.Actions }

func (noopActions) SetTimer(decide.TimerID, time.Duration) {}
func (noopActions) WatchEndpoints(bool)                    {}

// noEnvironment is an empty environment.
func noEnvironment(string) string { return "" }

func TestConfiguration(t *testing.T) {
	values, err := readAll(t, configText, noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	settings := values.DecisionSettings()
	cores, memory, descriptors := ResourceLimits(values)
	load, latency := ServerMetrics(settings)
	for _, c := range []struct {
		name      string
		got, want any
	}{
		{"seed", Seed(values), uint64(0x8c1f30d27a5be964)},
		{"cores", cores, 2},
		{"memory", memory, int64(192 << 20)},
		{"descriptors", descriptors, 1436},
		{"connect timeout", ConnectTimeout(settings), 200 * time.Millisecond},
		{"longest client timeout", MaxClientTimeout(settings), 2500 * time.Millisecond},
		{"message target", MessageTarget(settings), 60 * time.Millisecond},
		{"health checks", HealthChecksEnabled(settings), true},
		{"polled discovery", DiscoveryIsPolled(settings), true},
		{"server metrics", load && latency, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("%v, want %v", c.got, c.want)
			}
		})
	}
	t.Run("names", func(t *testing.T) {
		services, customers := ConfigureBalancer(settings, decide.New(1, noopActions{}))
		if services["pay"] != 1 || len(services) != 2 || customers["acme"] != 0 || len(customers) != 1 {
			t.Errorf("service types %v, customers %v; want live and pay, with the id 1 for pay, and acme with the id 0", services, customers)
		}
	})
	t.Run("the environment replaces absent keys", func(t *testing.T) {
		env := func(name string) string { return map[string]string{"PROXY_LISTEN": "127.0.0.9:1"}[name] }
		values, err := readAll(t, strings.Replace(configText, `"listen":"127.0.0.1:8080",`, "", 1), env)
		if err != nil || values.Addr("listen") != "127.0.0.9:1" {
			t.Errorf("listen is %q, error %v; want the address from PROXY_LISTEN", values.Addr("listen"), err)
		}
	})
}

// An error in a configuration names the key.
func TestConfigurationErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"not JSON", configText, "{", "PROXY_CONFIG: "},
		{"not an object", configText, "[1]", "PROXY_CONFIG: "},
		{"no address", `"127.0.0.1:8080"`, `"here"`, `listen: want an address with a port, got "here"`},
		{"address missing", `"discovery":"127.0.0.2:8500",`, "", "discovery: is missing"},
		{"bad admin address", `"discovery":`, `"control":"here","discovery":`, `control: want an address with a port, got "here"`},
		{"bad seed", "8c1f30d27a5be964", "x", "seed: "},
		{"no memory", `"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb: must be above 0"},
		{"a word for a number", "1436", `"many"`, `limits.sockets: bad number "many"`},
		{"bad connect timeout", `"connect-timeout":200000000`, `"connect-timeout":-1`, "settings.policy-limits.connect-timeout: must"},
		{"no service types", `"service-types"`, `"service-kinds"`, "settings.service-types: is missing or empty"},
		{"a type without a name", `"name":"live",`, "", "settings.service-types.0.name: is missing"},
		{"an unknown effect", `"guarded"`, `"maybe"`, `settings.service-types.1.effect: unknown word "maybe"`},
		{"an unknown group", `"cell"`, `"shelf"`, `settings.service-types.1.group: unknown word "shelf"`},
		{"a bad list", "[250000000,60000000]", `[250000000,"x"]`, `settings.family-info.message-aim: bad number "x"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := readAll(t, strings.Replace(configText, c.from, c.to, 1), noEnvironment)
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
	t.Run("no file", func(t *testing.T) {
		for _, path := range []string{"", filepath.Join(t.TempDir(), "none")} {
			if _, _, err := Load(path, noEnvironment); err == nil || !strings.HasPrefix(err.Error(), "PROXY_CONFIG: ") {
				t.Errorf("path %q: error %v, want one that names PROXY_CONFIG", path, err)
			}
		}
	})
}

// Values from nested JSON are read like the flat pairs that the simulator sends.
func TestFlatten(t *testing.T) {
	values, err := fromJSON([]byte(`{"a":{"b":[1,null,"x"],"c":true},"d":[{"e":1.50},{"e":12345678901234567890}],"f":null,"g":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"a.b": "1,null,x", "a.c": "true", "d.count": "2", "d.0.e": "1.50",
		"d.1.e": "12345678901234567890", "f": "absent", "g": "absent", "g.count": "0"} {
		t.Run(path, func(t *testing.T) {
			if got := values.String(path, "absent"); got != want {
				t.Errorf("%q, want %q", got, want)
			}
		})
	}
}

// Only changes that require a restart are reported after a reload.
func TestChangedKeys(t *testing.T) {
	for _, c := range []struct{ name, old, newer, want string }{
		{"nothing", "", "", ""},
		{"a reloadable key", "127.0.0.2:8500", "127.0.0.9:8500", ""},
		{"a key that differs at each start", "8c1f30d27a5be964", "1", ""},
		{"the cached endpoint list", `"revision":1`, `"revision":9`, ""},
		{"a limit", `"sockets":1436`, `"sockets":99`, "limits.sockets"},
		{"two limits, one of them new", `"memory_mb":192`, `"memory_mb":64,"more":1`, "limits.memory_mb limits.more"},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, err := readAll(t, configText, noEnvironment)
			newer, err2 := readAll(t, strings.Replace(configText, c.old, c.newer, 1), noEnvironment)
			if err != nil || err2 != nil {
				t.Fatal(err, err2)
			}
			if got := strings.Join(old.ChangedKeys(newer), " "); got != c.want {
				t.Errorf("changed keys %q, want %q", got, c.want)
			}
		})
	}
}

// A message target that is not stated defaults to the setup target, and names such as "null" or "0" are ordinary names.
func TestMessageTargetDefaultsAndNames(t *testing.T) {
	for _, c := range []struct {
		name, text string
		target     time.Duration
		services   string
	}{
		{"a message target for one type only", `{"family-info":{"message-aim":[250000000,null]},"service-types":[
			{"name":"a","setup-target":900000000},{"name":"b","setup-target":700000000}]}`, 250 * time.Millisecond, "a b"},
		{"no message target", `{"service-types":[{"name":"a","setup-target":900000000},{"name":"b","setup-target":700000000}]}`,
			700 * time.Millisecond, "a b"},
		{"one message target for all types", `{"family-info":{"message-aim":[50000000]},"service-types":[{"name":"a","setup-target":900000000}]}`,
			50 * time.Millisecond, "a"},
		{"names", `{"service-types":[{"name":"null","setup-target":1},{"name":"0","setup-target":1},{"name":"A","setup-target":1},
			{"name":"a","setup-target":1}],"tenants":[{"name":"null"},{"name":"true"}]}`, 1, "0 A a null"},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings, err := fromJSON([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			services, _ := ConfigureBalancer(settings, decide.New(1, noopActions{}))
			names := strings.Join(slices.Sorted(maps.Keys(services)), " ")
			target := MessageTarget(settings)
			if names != c.services || target != c.target || settings.Err() != nil {
				t.Errorf("service types %q, target %v, error %v; want %q and %v", names, target, settings.Err(), c.services, c.target)
			}
		})
	}
}
