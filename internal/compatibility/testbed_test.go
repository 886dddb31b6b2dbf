package compatibility

import (
	"fmt"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// Experiment files of the build before the renaming play the same days: whatever is judged afterwards is compared
// with figures from before.
func TestExperimentsOfAnEarlierBuild(t *testing.T) {
	files, err := filepath.Glob("testdata/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %d files", err, len(files))
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			r := runCommand(t, "testbed", "", "", "run", "--seeds", "1", "--part", "0.05", "--json", "-", file)
			if r.code != 0 {
				t.Errorf("exit code %d: %s", r.code, r.err)
			}
			goldenPacked(t, strings.TrimSuffix(strings.TrimPrefix(file, "testdata/"), ".toml")+".json.gz", r.out)
		})
	}
}

// Plans of fleets, and what a seed of a soak stands for, are kept with failures that are to be played again.
func TestPlansOfAnEarlierBuild(t *testing.T) {
	files, err := filepath.Glob("testdata/plans/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %d files", err, len(files))
	}
	for _, file := range files {
		if err := readPlan(file, []byte(readFile(t, file))); err != nil {
			t.Error(err)
		}
	}
	var all strings.Builder
	for seed := range uint64(30) {
		plan := soakPlan(seed)
		if err := readPlan("soak.toml", []byte(plan)); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		fmt.Fprintf(&all, "# seed %d\n%s", seed, plan)
	}
	goldenPacked(t, "plans/soak.txt.gz", all.String())
}

// The dissemination of gossip is simulated in virtual time: its figures stay the same.
func TestDisseminationFigures(t *testing.T) {
	t.Parallel()
	r := runCommand(t, "testbed", "", "", "spread", "--seeds", "1", "--members", "5", "--members", "50", "--json", "-")
	golden(t, "testbed/spread.json", r.out)
}

// Logs of daemons of an earlier build are counted as they were.
func TestLogsOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	r := runCommand(t, "testbed", "", "", "logs", "testdata/logs")
	golden(t, "logs/counted.txt", fmt.Sprintf("exit code %d\n%s%s", r.code, r.out, r.err))
}

// Configurations that the testbed writes for daemons keep their keys.
func TestServersConfiguration(t *testing.T) {
	t.Parallel()
	r := runCommand(t, "testbed", "", "", "servers", "--for", "1s")
	golden(t, "testbed/configuration.txt", jsonKeys(t, r.out))
}

// goldenPacked is golden for long texts, whose files are compressed.
func goldenPacked(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		pack(t, path, got)
		return
	}
	requireSame(t, name, unpack(t, path), got)
}

// The log lines of this build's daemon have the messages and keys that are counted.
func TestLogLines(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	conn, _ := d.sendLine("OPEN 1 k c=live,d=800,g=one")
	d.waitUntil("the flow is up in the log", func() bool { return strings.Contains(d.log.String(), `msg="flow established" `) })
	_ = conn.Close()
	d.waitUntil("its end is in the log", func() bool {
		return strings.Contains(d.log.String(), `msg="flow ended" `) && strings.Contains(d.log.String(), "relay ended")
	})
	for _, call := range []string{"servers/a/offline", "servers/a/online", "out-of-service", "in-service"} {
		d.call("POST", "/control/"+call)
	}
	d.waitUntil("the list is known to be lost", func() bool { return strings.Contains(d.log.String(), "endpoint watch lost") })
	d.waitUntil("the last call is in the log", func() bool { return strings.Count(d.log.String(), "phase=serving") == 2 })
	log := d.log.String()
	d.stop(syscall.SIGTERM)
	seen := map[string]bool{}
	for line := range strings.Lines(d.log.String()) {
		form := quotedValue.ReplaceAllString(line, "=#")
		if m := message.FindStringSubmatch(line); m != nil {
			form = strings.Replace(form, "msg=#", "msg="+m[1], 1)
		}
		seen[strings.TrimSpace(form)] = true
	}
	golden(t, "logs/lines.txt", strings.Join(slices.Sorted(maps.Keys(seen)), "\n")+"\n")
	folder := writeFiles(t, map[string]string{"a.log": log})
	r := runCommand(t, "testbed", "", "", "logs", folder)
	for _, word := range []string{"phase serving", "phase emptying", "server list", "server by hand", "up", "relay ended", "flow cancelled"} {
		if !regexp.MustCompile(`(: |, )` + word + ` \d`).MatchString(r.out) {
			t.Errorf("%s is not counted: exit code %d: %s%s", word, r.code, r.out, r.err)
		}
	}
}

var (
	quotedValue = regexp.MustCompile(`=("(?:[^"\\]|\\.)*"|\S+)`)
	message     = regexp.MustCompile(` msg=("(?:[^"\\]|\\.)*"|\S+)`)
)
