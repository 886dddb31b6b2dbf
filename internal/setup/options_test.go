package setup

import (
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
				if err != nil || (len(o.Deciders(Pairs(map[string]string{"az": "a"}), 1)) > 0) != strings.Contains(c.text, "halls") {
					t.Errorf("%+v, %v", o, err)
				}
			} else if err == nil || !strings.HasPrefix(err.Error(), path+c.want) {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
	if o, err := ReadOptions(""); err != nil || len(o.Deciders(Pairs(nil), 1)) != 0 || o.Explain() != "" {
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
	g := Pairs(map[string]string{"az": "a"})
	on := read("[halls]\nspill = 0.2\n")
	on.Deciders(g, 1)
	for _, c := range []struct{ name, text, want string }{
		{"figures of halls", "[halls]\nspill = 0.9\n", ""},
		{"halls off", "", "halls"},
		{"a socket", "[halls]\n[explain]\nsocket = \"/x\"\n", "explain.socket"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if keys := strings.Join(on.Take(read(c.text), g), " "); keys != c.want {
				t.Errorf("needs a restart: %q, want %q", keys, c.want)
			}
		})
	}
}
