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

// Experiment files from before the module's identifiers were renamed give the same results. Otherwise, later results
// could not be compared with earlier ones.
func TestExperimentsOfAnEarlierBuild(t *testing.T) {
	files, err := filepath.Glob("testdata/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("error %v, %d experiment files", err, len(files))
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			r := runCommand(t, "testbed", "", "", "run", "--seeds", "1", "--part", "0.05", "--json", "-", file)
			if r.exitCode != 0 {
				t.Errorf("exit code %d: %s", r.exitCode, r.stderr)
			}
			compareCompressedGolden(t, strings.TrimSuffix(strings.TrimPrefix(file, "testdata/"), ".toml")+".json.gz", r.stdout)
		})
	}
}

// Plans of fleet tests and seeds of soak tests are stored with failures, so that these can be reproduced. So plans must
// stay valid, and a seed must give the same plan.
func TestPlansOfAnEarlierBuild(t *testing.T) {
	files, err := filepath.Glob("testdata/plans/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("error %v, %d plans", err, len(files))
	}
	for _, file := range files {
		if err := readPlan(file, []byte(readFile(t, file))); err != nil {
			t.Error(err)
		}
	}
	var output strings.Builder
	for seed := range uint64(30) {
		plan := soakPlan(seed)
		if err := readPlan("soak.toml", []byte(plan)); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		fmt.Fprintf(&output, "# seed %d\n%s", seed, plan)
	}
	compareCompressedGolden(t, "plans/soak.txt.gz", output.String())
}

// The spread command, which simulates the dissemination of gossip in virtual time, writes the recorded results.
func TestDisseminationFigures(t *testing.T) {
	t.Parallel()
	r := runCommand(t, "testbed", "", "", "spread", "--seeds", "1", "--members", "5", "--members", "50", "--json", "-")
	compareGolden(t, "testbed/spread.json", r.stdout)
}

// The logs command counts log lines of an earlier build's daemons as before.
func TestLogsOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	r := runCommand(t, "testbed", "", "", "logs", "testdata/logs")
	compareGolden(t, "logs/counted.txt", fmt.Sprintf("exit code %d\n%s%s", r.exitCode, r.stdout, r.stderr))
}

// The configuration that the testbed writes for daemons keeps its keys.
func TestServersConfiguration(t *testing.T) {
	t.Parallel()
	r := runCommand(t, "testbed", "", "", "servers", "--for", "1s")
	compareGolden(t, "testbed/configuration.txt", jsonKeys(t, r.stdout))
}

// compareCompressedGolden is like compareGolden, for long texts whose files are compressed.
func compareCompressedGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		writeCompressed(t, path, got)
		return
	}
	compareLines(t, name, readCompressed(t, path), got)
}

// The log lines of this build's daemon have the recorded messages and keys, and the logs command counts them.
func TestLogLines(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	conn, _ := d.sendLine("OPEN 1 k c=live,d=800,g=one")
	d.waitUntil("the flow is logged as established", func() bool { return strings.Contains(d.log.String(), `msg="flow established" `) })
	_ = conn.Close()
	d.waitUntil("the end of the flow is logged", func() bool {
		return strings.Contains(d.log.String(), `msg="flow ended" `) && strings.Contains(d.log.String(), "relay ended")
	})
	for _, call := range []string{"servers/a/offline", "servers/a/online", "out-of-service", "in-service"} {
		d.call("POST", "/control/"+call)
	}
	d.waitUntil("the loss of the endpoint watch is logged", func() bool { return strings.Contains(d.log.String(), "endpoint watch lost") })
	d.waitUntil("the effect of the last call is logged", func() bool { return strings.Count(d.log.String(), "phase=serving") == 2 })
	log := d.log.String()
	d.stop(syscall.SIGTERM)
	lines := map[string]bool{}
	for line := range strings.Lines(d.log.String()) {
		normalized := valuePattern.ReplaceAllString(line, "=#")
		if match := messagePattern.FindStringSubmatch(line); match != nil {
			normalized = strings.Replace(normalized, "msg=#", "msg="+match[1], 1)
		}
		lines[strings.TrimSpace(normalized)] = true
	}
	compareGolden(t, "logs/lines.txt", strings.Join(slices.Sorted(maps.Keys(lines)), "\n")+"\n")
	directory := writeFiles(t, map[string]string{"a.log": log})
	r := runCommand(t, "testbed", "", "", "logs", directory)
	for _, word := range []string{"phase serving", "phase emptying", "server list", "server by hand", "up", "relay ended", "flow cancelled"} {
		if !regexp.MustCompile(`(: |, )` + word + ` \d`).MatchString(r.stdout) {
			t.Errorf("%q is not counted: exit code %d: %s%s", word, r.exitCode, r.stdout, r.stderr)
		}
	}
}

var (
	valuePattern   = regexp.MustCompile(`=("(?:[^"\\]|\\.)*"|\S+)`)
	messagePattern = regexp.MustCompile(` msg=("(?:[^"\\]|\\.)*"|\S+)`)
)
