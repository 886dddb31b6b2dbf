package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	reportsDirectory = "../../../experiments/scale/results"
	committedPage    = "../../../docs/CAPACITY.md"
)

// The committed page matches the reports, byte for byte.
func TestPageAgreesWithTheReports(t *testing.T) {
	want, err := Page(reportsDirectory)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(committedPage)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("docs/CAPACITY.md disagrees with experiments/scale/results from line %d on; run testbed scale page",
			firstDifferentLine(got, want))
	}
}

func firstDifferentLine(a, b []byte) int {
	aLines, bLines := bytes.Split(a, []byte("\n")), bytes.Split(b, []byte("\n"))
	for i := range min(len(aLines), len(bLines)) {
		if !bytes.Equal(aLines[i], bLines[i]) {
			return i + 1
		}
	}
	return min(len(aLines), len(bLines)) + 1
}

// shippedReports returns a directory with a copy of the reports that the page is generated from.
func shippedReports(t *testing.T) (directory string) {
	t.Helper()
	directory = t.TempDir()
	if err := os.CopyFS(directory, os.DirFS(reportsDirectory)); err != nil {
		t.Fatal(err)
	}
	return directory
}

func TestPageIsDeterministic(t *testing.T) {
	directory := shippedReports(t)
	first, err := Page(directory)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		second, err := Page(directory)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, second) {
			t.Fatalf("the same reports resulted in a different page, from line %d on", firstDifferentLine(first, second))
		}
	}
}

// A changed figure changes the page, so TestPageIsDeterministic does not compare pages that are always the same.
func TestPageDependsOnItsReports(t *testing.T) {
	directory := shippedReports(t)
	report, err := ReadReport(filepath.Join(directory, "placement-servers.json"))
	if err != nil {
		t.Fatal(err)
	}
	first, err := Page(directory)
	if err != nil {
		t.Fatal(err)
	}
	report.Series[0].Points[0].Value *= 1.5
	writeReport(t, directory, report)
	second, err := Page(directory)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(first, second) {
		t.Error("a changed figure did not change the page")
	}
}

func sampleReport() *Report {
	return &Report{
		Format:     reportFormat,
		Experiment: "sample",
		Command:    "testbed scale run experiments/scale/sample.toml",
		Commit:     "0123456789abcdef0123456789abcdef01234567",
		Series: []Series{
			{Name: string(placementTime), Unit: "µs", Against: "servers", Origin: Measured,
				Points: pointsOf(testSizes, func(n float64) float64 { return 9 + 0.2*n })},
			{Name: string(placementTimeByConnections), Unit: "µs", Against: "connections", Origin: Measured,
				Points: pointsOf([]float64{800, 2500, 8000, 25000, 79012}, func(n float64) float64 { return 200 + n/1000 })},
		},
		Checks: []Check{{Name: "every flow is placed", Passed: true}, {Name: "a rule", Passed: false, Detail: "broken twice"}},
	}
}

func writeReport(t *testing.T, directory string, r *Report) {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, r.Experiment+".json"), text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// An invalid report results in one error that names file and key, and an existing page stays unchanged.
func TestInvalidReportsOverwriteNothing(t *testing.T) {
	complete, err := json.Marshal(sampleReport())
	if err != nil {
		t.Fatal(err)
	}
	changed := func(from, to string) []byte { return bytes.Replace(complete, []byte(from), []byte(to), 1) }
	for _, c := range []struct {
		name, key string
		text      []byte
	}{
		{"cut short", "bad.json", complete[:len(complete)/2]},
		{"empty", "bad.json", nil},
		{"unknown format", "format", changed(`"format":1`, `"format":7`)},
		{"unknown key", "bad.json", changed(`"format":1`, `"format":1,"shape":2`)},
		{"no points", string(placementTime), bytes.Replace(complete, mustJSON(t, sampleReport().Series[0].Points), []byte("[]"), 1)},
		{"unknown origin", "origin", changed(`"origin":"measured"`, `"origin":"guessed"`)},
		{"no name", "series", changed(`"name":"`+string(placementTime)+`"`, `"name":""`)},
		{"text after it", "bad.json", append(bytes.Clone(complete), '{')},
	} {
		t.Run(c.name, func(t *testing.T) {
			directory := t.TempDir()
			if err := os.WriteFile(filepath.Join(directory, "bad.json"), c.text, 0o644); err != nil {
				t.Fatal(err)
			}
			checkRejected(t, directory, "bad.json", c.key)
		})
	}
}

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkRejected fails unless WritePage returns an *Error that names file and key on one line and writes nothing.
func checkRejected(t *testing.T, directory, file, key string) {
	t.Helper()
	out := filepath.Join(t.TempDir(), "CAPACITY.md")
	if err := os.WriteFile(out, []byte("as it was"), 0o644); err != nil {
		t.Fatal(err)
	}
	err := WritePage(directory, out)
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want an *Error", err)
	}
	if text := err.Error(); !strings.Contains(text, file) || !strings.Contains(text, key) || strings.Contains(text, "\n") {
		t.Errorf("%q does not name %s and %s on one line", text, file, key)
	}
	if failure.Advice() == "" {
		t.Errorf("%v: no advice", err)
	}
	content, readErr := os.ReadFile(out)
	if readErr != nil || string(content) != "as it was" {
		t.Errorf("the existing page is now %q, error %v when reading it; want it unchanged", content, readErr)
	}
	if files, _ := os.ReadDir(filepath.Dir(out)); len(files) != 1 {
		t.Errorf("%d files were left beside the page", len(files)-1)
	}
}

func TestSeriesInTwoReports(t *testing.T) {
	directory := t.TempDir()
	report := sampleReport()
	writeReport(t, directory, report)
	report.Experiment = "twice"
	writeReport(t, directory, report)
	checkRejected(t, directory, "twice.json", string(placementTime))
}

func TestInvalidBaselineReport(t *testing.T) {
	directory := t.TempDir()
	writeReport(t, directory, sampleReport())
	if err := os.Mkdir(filepath.Join(directory, baselineDirectory), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, baselineDirectory, "old.json"), []byte(`{"format":1,`), 0o644); err != nil {
		t.Fatal(err)
	}
	checkRejected(t, directory, "old.json", baselineDirectory)
}

// A missing required series is an error; a missing optional one makes its figures "not measured".
func TestMissingSeries(t *testing.T) {
	empty := &reportSet{directory: "results", series: map[string]*reportedSeries{}}
	p := &page{current: empty, baseline: empty}
	if got := p.valueAt(startMaxLatency, 5); got.String() != notMeasured || got.Origin() != notMeasured || p.err != nil {
		t.Errorf("missing optional series: figure %v, origin %v, error %v, want %q for figure and origin, and no error",
			got, got.Origin(), p.err, notMeasured)
	}
	p.valueAt("needed.one", 5)
	p.valueAt("needed.two", 5)
	var bad *Error
	if !errors.As(p.err, &bad) || !strings.Contains(bad.Error(), "results: series needed.one: is missing") {
		t.Errorf("error %v, want an Error about the first missing series, needed.one", p.err)
	}
	if _, err := p.render("whole"); !errors.As(err, &bad) {
		t.Errorf("rendering with a missing series returned %v, want an Error", err)
	}
}

// The error for a missing report names a series that only that report has.
func TestMissingReport(t *testing.T) {
	directory := shippedReports(t)
	if err := os.Remove(filepath.Join(directory, "placement-servers.json")); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(directory, baselineDirectory)); err != nil {
		t.Fatal(err)
	}
	checkRejected(t, directory, directory, string(placementTime))
}

func TestUnwritablePage(t *testing.T) {
	directory := shippedReports(t)
	var bad *Error
	if err := WritePage(directory, filepath.Join(directory, "absent", "CAPACITY.md")); !errors.As(err, &bad) {
		t.Errorf("writing to a directory that does not exist returned %v, want an Error", err)
	}
}

// The listed copies of constants of the code match their sources.
func TestCodeConstantsMatch(t *testing.T) {
	for _, c := range []struct {
		directory, name string
		want            float64
	}{
		{"../../protocol", "maxServers", maxListedServers},
		{"../../../decide", "fleetSetupLimit", fleetSetupLimit},
		{"../../../decide", "minSetupSpacing", setupSpacingPerBalancer * 1000},
		{"../../../decide", "groupingLoadBound", overloadFactor},
		{"../../../decide", "checksPerConnect", healthChecksPerFlow},
	} {
		pattern := regexp.MustCompile(`(?m)^\s*` + c.name + `\s*=\s*([0-9._]+)`)
		if got := constantIn(t, c.directory, pattern); got != c.want {
			t.Errorf("%s is %v in the code, %v in the copy for the page", c.name, got, c.want)
		}
	}
}

// constantIn returns the first number that the pattern matches in the Go files of a directory.
func constantIn(t *testing.T, directory string, pattern *regexp.Regexp) float64 {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if found := pattern.FindSubmatch(text); found != nil {
			value, err := strconv.ParseFloat(strings.ReplaceAll(string(found[1]), "_", ""), 64)
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	t.Fatalf("no match for %s in %s", pattern, directory)
	return 0
}
