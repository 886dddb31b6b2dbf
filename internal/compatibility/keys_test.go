package compatibility

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// keysOf are the paths of all keys of a JSON text, one a line; each element of a list has the path [].
func keysOf(t *testing.T, text string, free ...string) string {
	t.Helper()
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	paths := map[string]bool{}
	walk(v, "", free, paths)
	return strings.Join(slices.Sorted(maps.Keys(paths)), "\n") + "\n"
}

// walk goes through a value; below a path in free the keys are data.
func walk(v any, at string, free []string, paths map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		if len(v) == 0 {
			paths[at+" {}"] = true
		}
		for k, x := range v {
			if slices.Contains(free, at) {
				k = "*"
			}
			walk(x, at+"."+k, free, paths)
		}
	case []any:
		for _, x := range v {
			walk(x, at+"[]", free, paths)
		}
	default:
		paths[fmt.Sprintf("%s %T", at, v)] = true
	}
}

var figures = regexp.MustCompile(`[0-9][0-9.]*(µs|ms|s)?`)

// shape is a table with figures as # and runs of spaces as one, as both differ from run to run.
func shape(text string) string {
	text = figures.ReplaceAllString(text, "#")
	lines := strings.Split(text, "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	return strings.Join(lines, "\n")
}

// allOptions has every section of the operators' file.
func (d *daemon) allOptions() {
	d.t.Helper()
	text := read(d.t, "testdata/options/all.toml")
	d.write(d.options, strings.NewReplacer("/run/balancer/explain.sock", d.socket, "127.0.0.7:7946", d.gossip()).Replace(text))
}

// What explain and members tell is read by operators' scripts: its keys stay.
func TestExplainKeys(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, echo(t))
	d.allOptions()
	d.start()
	d.ready()
	if _, answer := d.says("OPEN 1 k c=live,d=800,g=one"); answer != "UP 1\r\n" {
		t.Fatalf("answered %q", answer)
	}
	asked := func(arguments ...string) result {
		r := ran(t, "daemon", "", "", append(arguments, "--options", d.options)...)
		if r.code != 0 {
			t.Errorf("%v: exit code %d: %s", arguments, r.code, r.err)
		}
		return r
	}
	d.until("it sees itself as a member", func() bool {
		r := ran(t, "daemon", "", "", "members", "--json", "--socket", d.socket)
		return strings.Contains(r.out, `"alive"`) && strings.Contains(r.out, `"held"`) && strings.Contains(r.out, `"incarnation"`)
	})
	d.until("the flow stands", func() bool {
		return strings.Contains(ran(t, "daemon", "", "", "explain", "--json", "--socket", d.socket, "1").out, `"established"`)
	})
	if code, answer := d.call("POST", "/control/servers/a/offline"); code != 200 {
		t.Error(answer)
	}
	golden(t, "keys/explain.txt", keysOf(t, asked("explain", "--json").out, ".bounds_acted"))
	golden(t, "keys/why.txt", keysOf(t, asked("explain", "--json", "1").out, ".barred"))
	golden(t, "keys/members.txt", keysOf(t, asked("members", "--json").out, ".passed_over"))
	golden(t, "keys/explain-table.txt", shape(asked("explain").out))
	golden(t, "keys/why-table.txt", shape(asked("explain", "1").out))
	var seen struct {
		Members []struct{ Build, Settings string }
	}
	if err := json.Unmarshal([]byte(asked("members", "--json").out), &seen); err != nil || len(seen.Members) != 1 {
		t.Fatalf("%v, %d members", err, len(seen.Members))
	}
	// Balancers of two builds that were told the same must say the same digest: staff find those told otherwise by it.
	// So must their number for a server, which passes in place of its name.
	var why struct{ Connects []struct{ Server uint32 } }
	if err := json.Unmarshal([]byte(asked("explain", "--json", "1").out), &why); err != nil || len(why.Connects) != 1 {
		t.Fatalf("%v, %d connects", err, len(why.Connects))
	}
	golden(t, "keys/digest.txt", fmt.Sprintf("settings %s\nserver a %d\n", seen.Members[0].Settings, why.Connects[0].Server))
	table := asked("members").out
	for _, own := range []string{d.gossip(), seen.Members[0].Build, seen.Members[0].Settings} {
		table = strings.Replace(table, own, "#", 1)
	}
	golden(t, "keys/members-table.txt", shape(table))
	r := ran(t, "daemon", "", "", "explain", "--socket", d.socket, "nobody")
	golden(t, "keys/unknown-flow.txt", fmt.Sprintf("%d %s%s", r.code, r.out, r.err))
}

// Where no peers are named, members says so.
func TestMembersWithoutPeers(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, echo(t))
	d.start()
	d.ready()
	r := ran(t, "daemon", "", "", "members", "--socket", d.socket)
	golden(t, "keys/members-off.txt", fmt.Sprintf("%d %s%s", r.code, r.out, r.err))
}
