package scale

import (
	"errors"
	"strings"
	"testing"
)

const soundPlacement = `sweep = "placement"
against = "servers"
sizes = [60, 128]
connections = 800
groups = 10
zones = 5
`

func TestInvalidExperiments(t *testing.T) {
	replaced := func(old, put string) string { return strings.Replace(soundPlacement, old, put, 1) }
	for _, c := range []struct{ name, text, want string }{
		{"sound", soundPlacement, ""},
		{"no text", "", "f.toml:0: sweep: is missing"},
		{"no sweep", replaced(`sweep = "placement"`, ""), "f.toml:0: sweep: is missing"},
		{"unknown sweep", replaced(`"placement"`, `"bananas"`), "f.toml:1: sweep: want one of "},
		{"unknown key", soundPlacement + "colour = 3\n", "f.toml:7: colour: unknown key"},
		{"unknown table", soundPlacement + "[more]\na = 3\n", "f.toml:7: more: unknown key"},
		{"key twice", soundPlacement + "zones = 3\n", "f.toml: no experiment: f.toml:7: "},
		{"no TOML", "sweep = \n", "f.toml: no experiment: f.toml:1: "},
		{"cut short", soundPlacement[:len(soundPlacement)/2], "f.toml: no experiment: f.toml:"},
		{"no sizes", replaced("sizes = [60, 128]", ""), "f.toml:0: sizes: is missing"},
		{"empty sizes", replaced("[60, 128]", "[]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"size of zero", replaced("[60, 128]", "[0, 128]"), "f.toml:3: sizes: want a list of whole numbers from 1 to 32768"},
		{"negative size", replaced("[60, 128]", "[-60, 128]"), "f.toml:3: sizes: want a list of whole numbers from 1"},
		{"size over the bound", replaced("[60, 128]", "[60, 32769]"), "f.toml:3: sizes: want a list of whole numbers from 1 to 32768"},
		{"size beyond all numbers", replaced("[60, 128]", "[60, 99999999999999999999]"), "f.toml: no experiment: f.toml:3: "},
		{"part of a server", replaced("[60, 128]", "[60.5, 128]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"sizes that fall", replaced("[60, 128]", "[128, 60]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"a size twice", replaced("[60, 128]", "[60, 60]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"one size, no list", replaced("[60, 128]", "60"), "f.toml:3: sizes: want a list of whole numbers"},
		{"against what can't be", replaced(`"servers"`, `"groups"`), "f.toml:2: against: want one of servers, connections"},
		{"key that is missing", replaced("groups = 10\n", ""), "f.toml:0: groups: is missing; the sweep placement needs it"},
		{"key that is not used", soundPlacement + "balancers = 3\n",
			"f.toml:7: balancers: must be left out, as the sweep placement does not use it"},
		{"key that the sizes go over", soundPlacement + "servers = 3\n", "f.toml:7: servers: must be left out, as the sizes go over it"},
		{"no connections", replaced("connections = 800", "connections = 0"),
			"f.toml:4: connections: want a whole number from 1 to 200000, got 0"},
		{"negative groups", replaced("groups = 10", "groups = -10"), "f.toml:5: groups: want a whole number from 1"},
		{"too many connections", replaced("connections = 800", "connections = 200001"),
			"f.toml:4: connections: want a whole number from 1"},
		{"words for a number", replaced("zones = 5", `zones = "many"`), "f.toml:6: zones: want a whole number from 1 to 1000, got many"},
		{"negative seed", soundPlacement + "seed = -1\n", "f.toml:7: seed: want a whole number from 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, err := Read("f.toml", []byte(c.text))
			if c.want == "" {
				if err != nil || e.Name != "f" || e.Settings.Seed != 1 || e.Settings.Sizes[1] != 128 {
					t.Fatalf("read %+v, error %v", e, err)
				}
				return
			}
			var typed *Error
			if !errors.As(err, &typed) || typed.Advice() == "" || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want an Error that begins with %q and says what helps", err, c.want)
			}
		})
	}
}

func TestMissingExperimentFile(t *testing.T) {
	_, err := Open("nowhere.toml")
	var typed *Error
	if !errors.As(err, &typed) || typed.Where != "nowhere.toml" {
		t.Errorf("error %v, want an Error at nowhere.toml", err)
	}
}
