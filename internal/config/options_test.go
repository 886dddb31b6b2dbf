package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeOptions writes an options file and returns its path.
func writeOptions(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "options.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const allOptions = `[halls]
spill = 0.5
home-per-minute = 30
again = "400ms"
[[halls.from]]
hall = "a"
tiers = [["a"], ["b", "c"]]
[explain]
socket = "/run/y"
`

const zoneTwiceInTiers = `[halls]
[[halls.from]]
hall = "a"
tiers = [["a"], ["a"]]
`

const tiersOfZoneTwice = `[[halls.from]]
hall = "a"
tiers = [["a"]]
[[halls.from]]
hall = "a"
tiers = [["a"]]
`

func TestOptions(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"nothing", "", ""},
		{"all options", allOptions, ""},
		{"unknown table", "[hall]\nspill = 1\n", ":1: hall: unknown key"},
		{"unknown key", "[halls]\nspil = 1\n", ":2: halls.spil: unknown key"},
		{"out of range", "[halls]\nspill = -1\n", ":2: halls.spill: want a number from 0 to 10, got -1"},
		{"a zone twice in its tiers", zoneTwiceInTiers, ":4: halls.from.0.tiers: names \"a\" twice"},
		{"tiers of a zone twice", tiersOfZoneTwice, ":5: halls.from.1.hall: \"a\" has tiers already"},
		{"no tiers", "[[halls.from]]\nhall = \"a\"\n", ":1: halls.from.0.tiers: is missing"},
		{"tiers that are not lists", "[[halls.from]]\nhall = \"a\"\ntiers = [\"a\"]\n", ":3: halls.from.0.tiers: want lists of strings"},
		{"a relative path", "[explain]\nsocket = \"y\"\n", ":2: explain.socket: want the absolute path"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeOptions(t, c.text)
			options, err := ReadOptions(path)
			if c.want != "" {
				if err == nil || !strings.HasPrefix(err.Error(), path+c.want) {
					t.Errorf("error %v, want %s", err, c.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			list := options.Constraints(FromPairs(map[string]string{"az": "a"}), 1)
			if (len(list) > 0) != strings.Contains(c.text, "halls") {
				t.Errorf("%+v: %d constraints, want one with a table [halls], else none", options, len(list))
			}
		})
	}
	if options, err := ReadOptions(""); err != nil || len(options.Constraints(FromPairs(nil), 1)) != 0 || options.ExplainSocket() != "" {
		t.Errorf("without a file: options %+v, error %v; want all off", options, err)
	}
}

func TestApplyNewerOptions(t *testing.T) {
	read := func(text string) *Options {
		options, err := ReadOptions(writeOptions(t, text))
		if err != nil {
			t.Fatal(err)
		}
		return options
	}
	settings := FromPairs(map[string]string{"az": "a"})
	running := read("[halls]\nspill = 0.2\n")
	running.Constraints(settings, 1)
	for _, c := range []struct{ name, text, want string }{
		{"values of the locality policy", "[halls]\nspill = 0.9\n", ""},
		{"locality off", "", "halls"},
		{"a socket", "[halls]\n[explain]\nsocket = \"/x\"\n", "explain.socket"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if keys := strings.Join(running.Apply(read(c.text), settings), " "); keys != c.want {
				t.Errorf("keys that require a restart: %q, want %q", keys, c.want)
			}
		})
	}
}

func TestPeerOptions(t *testing.T) {
	const good = "[peers]\nname = \"a\"\nlabel = \"prod\"\nbind = \"10.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]\n"
	read := func(text string) (*Options, error) {
		path := writeOptions(t, text)
		options, err := ReadOptions(path)
		if err != nil {
			err = errors.New(strings.TrimPrefix(err.Error(), path))
		}
		return options, err
	}
	options, err := read(good + "[signals]\n")
	if err != nil || options.Peers() == nil {
		t.Fatalf("peers %+v, error %v; want peers", options.Peers(), err)
	}
	if peers := options.Peers(); !peers.Signals || peers.Leases || peers.Advertise != peers.Bind {
		t.Fatalf("peers %+v, want signals on, leases off, and the bind address as the advertised one", peers)
	}
	if options, err := read("[explain]\nsocket = \"/x\"\n"); err != nil || options.Peers() != nil || options.Signals() != nil {
		t.Errorf("without a table [peers]: peers %+v, error %v; want neither peers nor signals", options.Peers(), err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"name = \"a\"\n", "", ":1: peers.name: want a name"},
		{"name = \"a\"", "name = \"a b\"", ":2: peers.name: want a name"},
		{"bind = \"10.0.0.1:7946\"", "bind = \"0.0.0.0:7946\"", ":4: peers.bind: want an address and port that other balancers can reach"},
		{"bind = \"10.0.0.1:7946\"", "bind = \"10.0.0.1:0\"", ":4: peers.bind: want an address"},
		{"seeds = [\"10.0.0.2:7946\"]", "seeds = [\"there\"]", ":5: peers.seeds: want addresses"},
		{"label", "lable", ":1: peers.label: want a name"},
		{good, "[signals]\non = true\n", ":1: signals: needs [peers]"},
		{good, "[duties]\n", ":1: duties: needs [peers]"},
	} {
		if _, err := read(strings.Replace(good, c.from, c.to, 1)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.to, err, c.want)
		}
	}
}
