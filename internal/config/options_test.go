package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestOptions(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"nothing", "", ""},
		{"all", "[halls]\nspill = 0.5\nhome-per-minute = 30\nagain = \"400ms\"\n[[halls.from]]\nhall = \"a\"\ntiers = [[\"a\"], [\"b\", \"c\"]]\n[explain]\nsocket = \"/run/y\"\n", ""},
		{"unknown part", "[hall]\nspill = 1\n", ":1: hall: unknown key"},
		{"unknown key", "[halls]\nspil = 1\n", ":2: halls.spil: unknown key"},
		{"out of range", "[halls]\nspill = -1\n", ":2: halls.spill: want a number from 0 to 10, got -1"},
		{"a hall twice in an order", "[halls]\n[[halls.from]]\nhall = \"a\"\ntiers = [[\"a\"], [\"a\"]]\n", ":4: halls.from.0.tiers: names \"a\" twice"},
		{"two orders for a hall", "[[halls.from]]\nhall = \"a\"\ntiers = [[\"a\"]]\n[[halls.from]]\nhall = \"a\"\ntiers = [[\"a\"]]\n", ":5: halls.from.1.hall: \"a\" has an order already"},
		{"no order", "[[halls.from]]\nhall = \"a\"\n", ":1: halls.from.0.tiers: is missing"},
		{"a flat order", "[[halls.from]]\nhall = \"a\"\ntiers = [\"a\"]\n", ":3: halls.from.0.tiers: want lists of texts"},
		{"a path that is none", "[explain]\nsocket = \"y\"\n", ":2: explain.socket: want the absolute path"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "own.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			o, err := ReadOptions(path)
			if c.want == "" {
				if err != nil || (len(o.Constraints(FromPairs(map[string]string{"az": "a"}), 1)) > 0) != strings.Contains(c.text, "halls") {
					t.Errorf("%+v, %v", o, err)
				}
			} else if err == nil || !strings.HasPrefix(err.Error(), path+c.want) {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
	if o, err := ReadOptions(""); err != nil || len(o.Constraints(FromPairs(nil), 1)) != 0 || o.ExplainSocket() != "" {
		t.Errorf("without a file something is on: %+v, %v", o, err)
	}
}

func TestWhatNewerOptionsChange(t *testing.T) {
	read := func(text string) *Options {
		path := filepath.Join(t.TempDir(), "own.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := ReadOptions(path)
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	g := FromPairs(map[string]string{"az": "a"})
	on := read("[halls]\nspill = 0.2\n")
	on.Constraints(g, 1)
	for _, c := range []struct{ name, text, want string }{
		{"figures of halls", "[halls]\nspill = 0.9\n", ""},
		{"halls off", "", "halls"},
		{"a socket", "[halls]\n[explain]\nsocket = \"/x\"\n", "explain.socket"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if keys := strings.Join(on.Apply(read(c.text), g), " "); keys != c.want {
				t.Errorf("needs a restart: %q, want %q", keys, c.want)
			}
		})
	}
}

func TestPeersOfTheFile(t *testing.T) {
	const good = "[peers]\nname = \"a\"\nlabel = \"prod\"\nbind = \"10.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]\n"
	read := func(text string) (*Options, error) {
		path := filepath.Join(t.TempDir(), "o.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		o, err := ReadOptions(path)
		if err != nil {
			err = errors.New(strings.TrimPrefix(err.Error(), path))
		}
		return o, err
	}
	o, err := read(good + "[signals]\n")
	if err != nil || o.Peers() == nil || !o.Peers().Signals || o.Peers().Leases || o.Peers().Advertise != o.Peers().Bind {
		t.Fatalf("%+v, %v", o.Peers(), err)
	}
	if o, err := read("[explain]\nsocket = \"/x\"\n"); err != nil || o.Peers() != nil || o.Signals() != nil {
		t.Errorf("%+v, %v", o.Peers(), err)
	}
	for _, x := range []struct{ from, to, want string }{
		{"name = \"a\"\n", "", ":1: peers.name: want a name"},
		{"name = \"a\"", "name = \"a b\"", ":2: peers.name: want a name"},
		{"bind = \"10.0.0.1:7946\"", "bind = \"0.0.0.0:7946\"", ":4: peers.bind: want an address that the others can reach"},
		{"bind = \"10.0.0.1:7946\"", "bind = \"10.0.0.1:0\"", ":4: peers.bind: want an address"},
		{"seeds = [\"10.0.0.2:7946\"]", "seeds = [\"there\"]", ":5: peers.seeds: want addresses"},
		{"label", "lable", ":1: peers.label: want a name"},
		{good, "[signals]\non = true\n", ":1: signals: needs [peers]"},
		{good, "[duties]\n", ":1: duties: needs [peers]"},
	} {
		if _, err := read(strings.Replace(good, x.from, x.to, 1)); err == nil || !strings.HasPrefix(err.Error(), x.want) {
			t.Errorf("%q: got %v, want %q", x.to, err, x.want)
		}
	}
}
