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

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// jsonKeys returns the paths of all keys of a JSON text, one a line; each element of a list has the path [].
func jsonKeys(t *testing.T, text string, free ...string) string {
	t.Helper()
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	paths := map[string]bool{}
	collectKeys(v, "", free, paths)
	return strings.Join(slices.Sorted(maps.Keys(paths)), "\n") + "\n"
}

// collectKeys collects the paths of a value's keys; below a path in free the keys are data.
func collectKeys(v any, at string, free []string, paths map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		if len(v) == 0 {
			paths[at+" {}"] = true
		}
		for k, x := range v {
			if slices.Contains(free, at) {
				k = "*"
			}
			collectKeys(x, at+"."+k, free, paths)
		}
	case []any:
		for _, x := range v {
			collectKeys(x, at+"[]", free, paths)
		}
	default:
		paths[fmt.Sprintf("%s %T", at, v)] = true
	}
}

var figures = regexp.MustCompile(`[0-9][0-9.]*(µs|ms|s)?`)

// tableShape replaces figures by # and runs of spaces by one, as both differ from run to run.
func tableShape(text string) string {
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
	text := readFile(d.t, "testdata/options/all.toml")
	d.write(d.options, strings.NewReplacer("/run/balancer/explain.sock", d.socket, "127.0.0.7:7946", d.gossip()).Replace(text))
}

// What explain and members tell is read by operators' scripts: its keys stay.
func TestExplainKeys(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.allOptions()
	d.start()
	d.waitReady()
	if _, answer := d.sendLine("OPEN 1 k c=live,d=800,g=one"); answer != "UP 1\r\n" {
		t.Fatalf("answered %q", answer)
	}
	command := func(arguments ...string) result {
		r := runCommand(t, "daemon", "", "", append(arguments, "--options", d.options)...)
		if r.code != 0 {
			t.Errorf("%v: exit code %d: %s", arguments, r.code, r.err)
		}
		return r
	}
	d.waitUntil("it sees itself as a member", func() bool {
		r := runCommand(t, "daemon", "", "", "members", "--json", "--socket", d.socket)
		return strings.Contains(r.out, `"alive"`) && strings.Contains(r.out, `"held"`) && strings.Contains(r.out, `"incarnation"`)
	})
	d.waitUntil("the flow stands", func() bool {
		return strings.Contains(runCommand(t, "daemon", "", "", "explain", "--json", "--socket", d.socket, "1").out, `"established"`)
	})
	if code, answer := d.call("POST", "/control/servers/a/offline"); code != 200 {
		t.Error(answer)
	}
	golden(t, "keys/explain.txt", jsonKeys(t, command("explain", "--json").out, ".bounds_acted"))
	golden(t, "keys/why.txt", jsonKeys(t, command("explain", "--json", "1").out, ".barred"))
	golden(t, "keys/members.txt", jsonKeys(t, command("members", "--json").out, ".passed_over"))
	golden(t, "keys/explain-table.txt", tableShape(command("explain").out))
	golden(t, "keys/why-table.txt", tableShape(command("explain", "1").out))
	var seen struct {
		Members []struct{ Build, Settings string }
	}
	if err := json.Unmarshal([]byte(command("members", "--json").out), &seen); err != nil || len(seen.Members) != 1 {
		t.Fatalf("%v, %d members", err, len(seen.Members))
	}
	// Balancers of two builds that were told the same must say the same digest: staff find those told otherwise by it.
	// So must their number for a server, which passes in place of its name.
	var why struct{ Connects []struct{ Server uint32 } }
	if err := json.Unmarshal([]byte(command("explain", "--json", "1").out), &why); err != nil || len(why.Connects) != 1 {
		t.Fatalf("%v, %d connects", err, len(why.Connects))
	}
	golden(t, "keys/digest.txt", fmt.Sprintf("settings %s\nserver a %d\n", seen.Members[0].Settings, why.Connects[0].Server))
	table := command("members").out
	for _, own := range []string{d.gossip(), seen.Members[0].Build, seen.Members[0].Settings} {
		table = strings.Replace(table, own, "#", 1)
	}
	golden(t, "keys/members-table.txt", tableShape(table))
	r := runCommand(t, "daemon", "", "", "explain", "--socket", d.socket, "nobody")
	golden(t, "keys/unknown-flow.txt", fmt.Sprintf("%d %s%s", r.code, r.out, r.err))
}

// Where no peers are named, members says so.
func TestMembersWithoutPeers(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	r := runCommand(t, "daemon", "", "", "members", "--socket", d.socket)
	golden(t, "keys/members-off.txt", fmt.Sprintf("%d %s%s", r.code, r.out, r.err))
}
