package scale

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func sampleRunReport() *Report {
	return &Report{Format: reportFormat, Experiment: "x", Command: "testbed scale run x.toml", Commit: "0123", Seed: 1,
		Series: oneSeries(1, 2, 3), Checks: []Check{{Name: "a check", Passed: true}}}
}

func TestReportRoundTrip(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "new", "directory")
	file, err := WriteReport(directory, sampleRunReport())
	if err != nil {
		t.Fatal(err)
	}
	read, err := ReadReport(file)
	if err != nil || !reflect.DeepEqual(read, sampleRunReport()) {
		t.Errorf("read %+v, error %v, want the report that was written", read, err)
	}
	if files, _ := os.ReadDir(directory); len(files) != 1 {
		t.Errorf("%d files in the directory, want only the report", len(files))
	}
}

// A failed write leaves the existing report unchanged and no temporary file behind.
func TestReportIsWrittenAtomically(t *testing.T) {
	directory := t.TempDir()
	file, err := WriteReport(directory, sampleRunReport())
	if err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadFile(file)
	bad := sampleRunReport()
	bad.Series[0].Points[0].Value = nan()
	if _, err := WriteReport(directory, bad); err == nil {
		t.Error("a report with a NaN value was written")
	}
	blocked := sampleRunReport()
	blocked.Experiment = "taken"
	if err := os.Mkdir(filepath.Join(directory, "taken.json"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, err := WriteReport(directory, blocked); err == nil {
		t.Error("a report was written over a directory")
	}
	var typed *Error
	if _, err := WriteReport(file, sampleRunReport()); !errors.As(err, &typed) || typed.Advice() == "" {
		t.Errorf("error %v, want an Error, as the path of the directory is a file", err)
	}
	if after, _ := os.ReadFile(file); string(after) != string(before) {
		t.Error("the existing report was changed")
	}
	if files, _ := os.ReadDir(directory); len(files) != 2 {
		t.Errorf("%d files in the directory, want only the report and the subdirectory", len(files))
	}
}

func nan() float64 {
	zero := 0.0
	return zero / zero
}

func TestTruncatedReport(t *testing.T) {
	directory := t.TempDir()
	file, err := WriteReport(directory, sampleRunReport())
	if err != nil {
		t.Fatal(err)
	}
	complete, _ := os.ReadFile(file)
	// The last two bytes are the closing brace and a newline. A report without only the newline is complete.
	for n := range len(complete) - 2 {
		if err := os.WriteFile(file, complete[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := ReadReport(file)
		var typed *Error
		if !errors.As(err, &typed) || !strings.HasPrefix(typed.Where, file+":") {
			t.Fatalf("truncated after %d bytes: error %v, want an Error that names file and line", n, err)
		}
	}
}

func TestInvalidReports(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.json")
	for _, c := range []struct{ name, text, want string }{
		{"another format", `{"format": 2, "series": []}`, ": format: want 1, got 2"},
		{"no format", `{}`, ": format: want 1, got 0"},
		{"unknown key", "{\"format\": 1,\n\"colour\": 3}", ":2: is not a complete report"},
		{"wrong type", "{\"format\": 1,\n\n\"seed\": \"x\"}", ":3: is not a complete report"},
		{"two reports", `{"format": 1} {"format": 1}`, ":1: is not a complete report"},
		{"no series", `{"format": 1}`, ": series"},
		{"empty file", ``, ":1: is not a complete report"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(c.text), 0o644); err != nil {
				t.Fatal(err)
			}
			_, err := ReadReport(file)
			var typed *Error
			if !errors.As(err, &typed) || !strings.HasPrefix(err.Error(), file+c.want) {
				t.Errorf("error %v, want an Error that begins with the file and %q", err, c.want)
			}
		})
	}
	var typed *Error
	if _, err := ReadReport(file + ".nowhere"); !errors.As(err, &typed) {
		t.Errorf("reading a missing file returned %v, want an Error", err)
	}
}
