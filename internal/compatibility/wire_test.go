package compatibility

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The scenarios were recorded in the simulator's wire format with the build before the module's identifiers were
// renamed. The recorded input must give the same output byte for byte, so any change of a decision, of the order of
// decisions, of a random draw or of the format of a line fails the test.
func TestRecordedScenarios(t *testing.T) {
	for _, d := range scenarios {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			in, out := filepath.Join("testdata", "wire", d.name+".in.gz"), filepath.Join("testdata", "wire", d.name+".out.gz")
			if *update {
				input, output := d.record(t)
				writeCompressed(t, in, input)
				writeCompressed(t, out, output)
			}
			r := runCommand(t, "wirehost", "", readCompressed(t, in))
			if r.exitCode != 0 || r.stderr != "" {
				t.Errorf("exit code %d: %s", r.exitCode, r.stderr)
			}
			compareLines(t, d.name, readCompressed(t, out), r.stdout)
		})
	}
}

// The recorded scenarios must contain each kind of event and action, as only recorded kinds are compared.
func TestRecordedScenariosCoverWire(t *testing.T) {
	seen := map[string]int{}
	for _, d := range scenarios {
		for _, kind := range []string{".in.gz", ".out.gz"} {
			for line := range strings.Lines(readCompressed(t, filepath.Join("testdata", "wire", d.name+kind))) {
				f := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
				seen[f[0]]++
				switch f[0] {
				case "CLOSED_ATTEMPT":
					seen[f[0]+" "+f[4]]++
				case "HEALTH_RESULT":
					seen[f[0]+" "+f[2]]++
				case "CHANGE":
					seen[f[0]+" "+f[4]]++
				case "UPDATE":
					seen[f[0]+" "+f[1]]++
				case "SERVER":
					seen[f[0]+" "+f[4]]++
				}
			}
		}
	}
	for _, what := range []string{"FORWARD", "SHIFT", "OVERLOAD_REPLY", "DROP_REQUEST", "HEALTH_CHECK", "TIMER", "TAIL", "SPAWN", "KILL", "OPEN", "JOB_IN",
		"FIRST", "HANGUP", "WAKE", "CHANGE 1", "CHANGE 2", "UPDATE C", "UPDATE D", "UPDATE F", "UPDATE X", "SERVER LAME", "SERVER OUT",
		"CLOSED_ATTEMPT OK", "CLOSED_ATTEMPT INTERNAL", "CLOSED_ATTEMPT RESOURCE_EXHAUSTED", "CLOSED_ATTEMPT DEADLINE_EXCEEDED",
		"CLOSED_ATTEMPT UNAVAILABLE", "CLOSED_ATTEMPT ABORTED", "HEALTH_RESULT OK", "HEALTH_RESULT UNAVAILABLE"} {
		if seen[what] == 0 {
			t.Errorf("no scenario contains %s", what)
		}
	}
	t.Logf("lines of each kind: %v", seen)
}

// The simulator command reports malformed input with its line number and exits with an error code.
func TestWireMalformed(t *testing.T) {
	settings := strings.Join(spawnSettings(scenario{}, 0), "\t")
	begin := "BEGIN_BATCH\t1000\nFOR\t1\n"
	up := begin + "SPAWN\t1\t" + settings + "\nDIRECTORY\t0\t1\nSERVER\t1\thall-a\t7\tIN\tlarge\t0\t-\nUPDATE\tC\t1\t0\n"
	var output strings.Builder
	for _, c := range []struct{ name, input string }{
		{"nothing", ""},
		{"empty batch", "BEGIN_BATCH\t1\nFLUSH\n"},
		{"no batch", "FLUSH\n"},
		{"ends within a batch", begin},
		{"no clock", "BEGIN_BATCH\nFLUSH\n"},
		{"bad clock", "BEGIN_BATCH\tx\nFLUSH\n"},
		{"event without FOR", "BEGIN_BATCH\t1\nKILL\nFLUSH\n"},
		{"unknown instance", begin + "KILL\nFLUSH\n"},
		{"FOR without a number", "BEGIN_BATCH\t1\nFOR\nFLUSH\n"},
		{"unknown message", up + "WHAT\t1\nFLUSH\n"},
		{"spawn without a seed", begin + "SPAWN\nFLUSH\n"},
		{"spawn with a bad pair", begin + "SPAWN\t1\tx\nFLUSH\n"},
		{"spawn with an unknown effect", begin + "SPAWN\t1\t" + strings.Replace(settings, "effect=free", "effect=maybe", 1) + "\nFLUSH\n"},
		{"spawn with an unknown group", begin + "SPAWN\t1\t" + strings.Replace(settings, "group=all", "group=shelf", 1) + "\nFLUSH\n"},
		{"spawn with a bad number", begin + "SPAWN\t1\t" + strings.Replace(settings, "cold-from=0.16", "cold-from=x", 1) + "\nFLUSH\n"},
		{"spawn alone", begin + "SPAWN\t1\nFLUSH\n"},
		{"directory out of range", "BEGIN_BATCH\t1\nDIRECTORY\t16\t0\nFLUSH\n"},
		{"directory too short", "BEGIN_BATCH\t1\nDIRECTORY\t0\t2\nSERVER\t1\thall-a\t7\tIN\tlarge\t0\t-\nFLUSH\n"},
		{"directory at the end", "BEGIN_BATCH\t1\nDIRECTORY\t0\t2\n"},
		{"server without a number", "BEGIN_BATCH\t1\nDIRECTORY\t0\t1\nSERVER\t1\thall-a\t-\tIN\tlarge\t0\t-\nFLUSH\n"},
		{"server too high", "BEGIN_BATCH\t1\nDIRECTORY\t0\t1\nSERVER\t1\thall-a\t4294967296\tIN\tlarge\t0\t-\nFLUSH\n"},
		{"server of no readiness", "BEGIN_BATCH\t1\nDIRECTORY\t0\t1\nSERVER\t1\thall-a\t7\tMAYBE\tlarge\t0\t-\nFLUSH\n"},
		{"server of a bad size", "BEGIN_BATCH\t1\nDIRECTORY\t0\t1\nSERVER\tbig\thall-a\t7\tIN\tlarge\t0\t-\nFLUSH\n"},
		{"update of no list", up + "UPDATE\tD\t2\t5\nFLUSH\n"},
		{"update of no kind", up + "UPDATE\tQ\t2\t0\nFLUSH\n"},
		{"job without an id", up + "JOB_IN\nFLUSH\n"},
		{"job of no type", up + "JOB_IN\tt/a\tnone\t-\t-\t1\t-\t-\t0\nFLUSH\n"},
		{"job without time", up + "JOB_IN\tt/a\tlive-config\t-\t-\t-\t-\t-\t0\nFLUSH\n"},
		{"open without a server", up + "OPEN\tt/a\tlive-config\t-\t-\t1\t-\t-\t0\nFLUSH\n"},
		{"outcome unknown", up + "CLOSED_ATTEMPT\tt/a\t0\t7\tWELL\t1\t1\t-\nFLUSH\n"},
		{"outcome without an attempt", up + "CLOSED_ATTEMPT\tt/a\t-\t7\tOK\t1\t1\t-\nFLUSH\n"},
		{"first without an attempt", up + "FIRST\tt/a\nFLUSH\n"},
		{"change without an amount", up + "CHANGE\tt/a\t0\t7\t1\nFLUSH\n"},
		{"change of a bad amount", up + "CHANGE\tt/a\t0\t7\t1\tmuch\nFLUSH\n"},
		{"wake without a mark", up + "WAKE\nFLUSH\n"},
		{"hangup without an id", up + "HANGUP\nFLUSH\n"},
		{"health result of a server never listed", up + "HEALTH_RESULT\t99\tOK\t1\t-\nFLUSH\n"},
		{"events for flows that are not held", up + "FIRST\tt/x\t0\t7\t1\nHANGUP\tt/x\nCLOSED_ATTEMPT\tt/x\t0\t7\tOK\t1\t1\t-\nFLUSH\n"},
		{"a neighbour is not heard", up + "NEIGHBOUR_SAYS\t1\taGk=\nFLUSH\n"},
		{"killed, then an event", up + "KILL\nWAKE\t1\nFLUSH\n"},
		{"blank lines and carriage returns", "\n\r\nBEGIN_BATCH\t1\r\n\nFLUSH\r\n\n"},
		{"no line end at the end", "BEGIN_BATCH\t1\nFLUSH"},
	} {
		r := runCommand(t, "wirehost", "", c.input)
		fmt.Fprintf(&output, "== %s: exit code %d\n%s%s", c.name, r.exitCode, r.stdout, r.stderr)
	}
	compareGolden(t, "wire/malformed.txt", output.String())
}

func writeCompressed(t *testing.T, path, text string) {
	t.Helper()
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(z, text); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readCompressed(t *testing.T, path string) string {
	t.Helper()
	packed, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
