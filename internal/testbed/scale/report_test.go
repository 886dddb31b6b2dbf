package scale

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func someReport() *Report {
	return &Report{Format: reportFormat, Experiment: "x", Command: "testbed scale run x.toml", Commit: "0123", Seed: 1,
		Series: oneSeries(1, 2, 3), Checks: []Check{{Name: "a check", Held: true}}}
}

func TestReportIsWrittenAndRead(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new", "folder")
	file, err := Write(folder, someReport())
	if err != nil {
		t.Fatal(err)
	}
	read, err := ReadReport(file)
	if err != nil || !reflect.DeepEqual(read, someReport()) {
		t.Errorf("read %+v, error %v", read, err)
	}
	if files, _ := os.ReadDir(folder); len(files) != 1 {
		t.Errorf("%d files in the folder, want the report alone", len(files))
	}
}

// A report that can't be written leaves the one before as it was, and nothing else.
func TestReportIsWrittenAtomically(t *testing.T) {
	folder := t.TempDir()
	file, err := Write(folder, someReport())
	if err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadFile(file)
	bad := someReport()
	bad.Series[0].Points[0].Value = nan()
	if _, err := Write(folder, bad); err == nil {
		t.Error("a report with no number was written")
	}
	taken := someReport()
	taken.Experiment = "taken"
	if err := os.Mkdir(filepath.Join(folder, "taken.json"), 0o755); err != nil {
		t.Fatal(err)
	}
	if _, err := Write(folder, taken); err == nil {
		t.Error("a report was written over a folder")
	}
	var typed *Error
	if _, err := Write(file, someReport()); !errors.As(err, &typed) || typed.Advice() == "" {
		t.Errorf("error %v, want an Error, as the folder is a file", err)
	}
	if after, _ := os.ReadFile(file); string(after) != string(before) {
		t.Error("the report before was changed")
	}
	if files, _ := os.ReadDir(folder); len(files) != 2 {
		t.Errorf("%d files in the folder, want the report and the folder alone", len(files))
	}
}

func nan() float64 {
	zero := 0.0
	return zero / zero
}

func TestReportCutShort(t *testing.T) {
	folder := t.TempDir()
	file, err := Write(folder, someReport())
	if err != nil {
		t.Fatal(err)
	}
	whole, _ := os.ReadFile(file)
	for n := range len(whole) - 2 { // the last two are the bracket and the end of its line
		if err := os.WriteFile(file, whole[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := ReadReport(file)
		var typed *Error
		if !errors.As(err, &typed) || !strings.HasPrefix(typed.Where, file+":") {
			t.Fatalf("cut after %d bytes: error %v, want an Error that names file and line", n, err)
		}
	}
}

func TestReportsThatAreWrong(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.json")
	for _, c := range []struct{ name, text, want string }{
		{"another format", `{"format": 2, "series": []}`, ": format: want 1, got 2"},
		{"no format", `{}`, ": format: want 1, got 0"},
		{"unknown key", "{\"format\": 1,\n\"colour\": 3}", ":2: no whole report"},
		{"another kind", "{\"format\": 1,\n\n\"seed\": \"x\"}", ":3: no whole report"},
		{"two reports", `{"format": 1} {"format": 1}`, ":1: no whole report"},
		{"no series", `{"format": 1}`, ": series"},
		{"no text", ``, ":1: no whole report"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(c.text), 0o644); err != nil {
				t.Fatal(err)
			}
			_, err := ReadReport(file)
			var typed *Error
			if !errors.As(err, &typed) || !strings.HasPrefix(err.Error(), file+c.want) {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
	var typed *Error
	if _, err := ReadReport(file + ".nowhere"); !errors.As(err, &typed) {
		t.Errorf("error %v, want an Error", err)
	}
}
