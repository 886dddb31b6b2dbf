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

// jsonKeys returns the paths and types of all values in a JSON text, one per line and each only once. The elements of a
// list have the same path, which ends in []. Keys in objects whose paths are in free are data, and replaced by *.
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

// collectKeys adds the paths and types of a value's leaves to paths. The parameter at is the path of the value itself.
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

var numberPattern = regexp.MustCompile(`[0-9][0-9.]*(µs|ms|s)?`)

// tableShape replaces numbers by # and runs of spaces by one space, as both differ between runs.
func tableShape(text string) string {
	text = numberPattern.ReplaceAllString(text, "#")
	lines := strings.Split(text, "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	return strings.Join(lines, "\n")
}

// useAllOptions makes the daemon use an options file with every section.
func (d *daemon) useAllOptions() {
	d.t.Helper()
	text := readFile(d.t, "testdata/options/all.toml")
	d.write(d.options, strings.NewReplacer("/run/balancer/explain.sock", d.socket, "127.0.0.7:7946", d.gossipAddress()).Replace(text))
}

// Operators' scripts read the output of explain and members, so its keys must stay.
func TestExplainKeys(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.useAllOptions()
	d.start()
	d.waitReady()
	if _, answer := d.sendLine("OPEN 1 k c=live,d=800,g=one"); answer != "UP 1\r\n" {
		t.Fatalf("reply to OPEN is %q", answer)
	}
	runWithOptions := func(arguments ...string) commandResult {
		r := runCommand(t, "daemon", "", "", append(arguments, "--options", d.options)...)
		if r.exitCode != 0 {
			t.Errorf("%v: exit code %d: %s", arguments, r.exitCode, r.stderr)
		}
		return r
	}
	d.waitUntil("the daemon lists itself as a member", func() bool {
		r := runCommand(t, "daemon", "", "", "members", "--json", "--socket", d.socket)
		return strings.Contains(r.stdout, `"alive"`) && strings.Contains(r.stdout, `"held"`) && strings.Contains(r.stdout, `"incarnation"`)
	})
	d.waitUntil("the flow is established", func() bool {
		return strings.Contains(runCommand(t, "daemon", "", "", "explain", "--json", "--socket", d.socket, "1").stdout, `"established"`)
	})
	if code, answer := d.call("POST", "/control/servers/a/offline"); code != 200 {
		t.Error("the call of offline failed:", answer)
	}
	compareGolden(t, "keys/explain.txt", jsonKeys(t, runWithOptions("explain", "--json").stdout, ".bounds_acted"))
	compareGolden(t, "keys/why.txt", jsonKeys(t, runWithOptions("explain", "--json", "1").stdout, ".barred"))
	compareGolden(t, "keys/members.txt", jsonKeys(t, runWithOptions("members", "--json").stdout, ".passed_over"))
	compareGolden(t, "keys/explain-table.txt", tableShape(runWithOptions("explain").stdout))
	compareGolden(t, "keys/why-table.txt", tableShape(runWithOptions("explain", "1").stdout))
	var state struct {
		Members []struct{ Build, Settings string }
	}
	if err := json.Unmarshal([]byte(runWithOptions("members", "--json").stdout), &state); err != nil || len(state.Members) != 1 {
		t.Fatalf("error %v, %d members, want 1", err, len(state.Members))
	}
	// Different builds must compute the same digest of the same settings, as operators use it to find balancers with
	// other settings. They must also derive the same number for a server, which they exchange instead of its name.
	var why struct{ Connects []struct{ Server uint32 } }
	if err := json.Unmarshal([]byte(runWithOptions("explain", "--json", "1").stdout), &why); err != nil || len(why.Connects) != 1 {
		t.Fatalf("error %v, %d connects, want 1", err, len(why.Connects))
	}
	compareGolden(t, "keys/digest.txt", fmt.Sprintf("settings %s\nserver a %d\n", state.Members[0].Settings, why.Connects[0].Server))
	table := runWithOptions("members").stdout
	for _, own := range []string{d.gossipAddress(), state.Members[0].Build, state.Members[0].Settings} {
		table = strings.Replace(table, own, "#", 1)
	}
	compareGolden(t, "keys/members-table.txt", tableShape(table))
	r := runCommand(t, "daemon", "", "", "explain", "--socket", d.socket, "nobody")
	compareGolden(t, "keys/unknown-flow.txt", fmt.Sprintf("%d %s%s", r.exitCode, r.stdout, r.stderr))
}

// The members command reports that gossip is disabled if the options name no peers.
func TestMembersWithoutPeers(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	r := runCommand(t, "daemon", "", "", "members", "--socket", d.socket)
	compareGolden(t, "keys/members-off.txt", fmt.Sprintf("%d %s%s", r.exitCode, r.stdout, r.stderr))
}
