package scale

import (
	"errors"
	"strings"
	"testing"
)

const validPlacement = `sweep = "placement"
against = "servers"
sizes = [60, 128]
connections = 800
groups = 10
zones = 5
`

func TestInvalidExperiments(t *testing.T) {
	replaced := func(old, put string) string { return strings.Replace(validPlacement, old, put, 1) }
	for _, c := range []struct{ name, text, want string }{
		{"valid", validPlacement, ""},
		{"empty file", "", "f.toml:0: sweep: is missing"},
		{"no sweep", replaced(`sweep = "placement"`, ""), "f.toml:0: sweep: is missing"},
		{"unknown sweep", replaced(`"placement"`, `"unknown"`), "f.toml:1: sweep: want one of "},
		{"unknown key", validPlacement + "colour = 3\n", "f.toml:7: colour: unknown key"},
		{"unknown table", validPlacement + "[more]\na = 3\n", "f.toml:7: more: unknown key"},
		{"duplicate key", validPlacement + "zones = 3\n", "f.toml: not a valid experiment file: f.toml:7: "},
		{"invalid TOML", "sweep = \n", "f.toml: not a valid experiment file: f.toml:1: "},
		{"truncated", validPlacement[:len(validPlacement)/2], "f.toml: not a valid experiment file: f.toml:"},
		{"no sizes", replaced("sizes = [60, 128]", ""), "f.toml:0: sizes: is missing"},
		{"empty sizes", replaced("[60, 128]", "[]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"size of zero", replaced("[60, 128]", "[0, 128]"), "f.toml:3: sizes: want a list of whole numbers from 1 to 32768"},
		{"negative size", replaced("[60, 128]", "[-60, 128]"), "f.toml:3: sizes: want a list of whole numbers from 1"},
		{"size over the bound", replaced("[60, 128]", "[60, 32769]"), "f.toml:3: sizes: want a list of whole numbers from 1 to 32768"},
		{"size beyond the integer range", replaced("[60, 128]", "[60, 99999999999999999999]"), "f.toml: not a valid experiment file: f.toml:3: "},
		{"fractional size", replaced("[60, 128]", "[60.5, 128]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"decreasing sizes", replaced("[60, 128]", "[128, 60]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"duplicate size", replaced("[60, 128]", "[60, 60]"), "f.toml:3: sizes: want a list of whole numbers"},
		{"size that is not a list", replaced("[60, 128]", "60"), "f.toml:3: sizes: want a list of whole numbers"},
		{"against a key that the sweep does not allow", replaced(`"servers"`, `"groups"`), "f.toml:2: against: want one of servers, connections"},
		{"missing key", replaced("groups = 10\n", ""), "f.toml:0: groups: is missing; the sweep placement needs it"},
		{"unused key", validPlacement + "balancers = 3\n",
			"f.toml:7: balancers: must be omitted, as the sweep placement does not use it"},
		{"key that the sizes replace", validPlacement + "servers = 3\n", "f.toml:7: servers: must be omitted, as the sizes replace it"},
		{"no connections", replaced("connections = 800", "connections = 0"),
			"f.toml:4: connections: want a whole number from 1 to 200000, got 0"},
		{"negative groups", replaced("groups = 10", "groups = -10"), "f.toml:5: groups: want a whole number from 1"},
		{"too many connections", replaced("connections = 800", "connections = 200001"),
			"f.toml:4: connections: want a whole number from 1"},
		{"string for a number", replaced("zones = 5", `zones = "many"`), "f.toml:6: zones: want a whole number from 1 to 1000, got many"},
		{"negative seed", validPlacement + "seed = -1\n", "f.toml:7: seed: want a whole number from 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, err := Read("f.toml", []byte(c.text))
			if c.want == "" {
				if err != nil || e.Name != "f" || e.Settings.Seed != 1 || e.Settings.Sizes[1] != 128 {
					t.Fatalf("read %+v, error %v, want the name f, the seed 1, a second size of 128 and no error", e, err)
				}
				return
			}
			var typed *Error
			if !errors.As(err, &typed) || typed.Advice() == "" || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want an Error with advice that begins with %q", err, c.want)
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
