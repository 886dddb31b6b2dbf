// Package knownred judges a run of all tests where a few are known to fail for a real fault that is still to be
// mended: they run, are shown, and they alone are passed over.
package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

const most = 3 // more would be a habit

// Red is a test that is known to fail.
type Red struct{ Test, Cause, Issue string }

// LineError is a line of the list that can't be followed.
type LineError struct {
	Line int
	Why  string
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Why) }

// List reads one test a line, with its cause and its issue: TestName — cause — issue.
func List(r io.Reader) (reds []Red, err error) {
	in := bufio.NewScanner(r)
	for n := 1; in.Scan(); n++ {
		part := strings.Split(in.Text(), " — ")
		if len(part) != 3 || !strings.HasPrefix(part[0], "Test") || strings.ContainsAny(part[0], " /") ||
			strings.TrimSpace(part[1]) == "" || strings.TrimSpace(part[2]) == "" {
			return nil, &LineError{n, "want TestName — cause — issue"}
		}
		if n > most {
			return nil, &LineError{n, fmt.Sprintf("%d tests are listed at most", most)}
		}
		for _, x := range reds {
			if x.Test == part[0] {
				return nil, &LineError{n, x.Test + " is listed twice"}
			}
		}
		reds = append(reds, Red{part[0], part[1], part[2]})
	}
	return reds, in.Err()
}

// event is one of go test -json.
type event struct{ Action, Package, Test, Output string }

// ErrRed says that the run does not pass.
var ErrRed = errors.New("the tests do not pass")

// Judge reads what go test -json says, shows what is worth seeing and says whether the run passes.
func Judge(run io.Reader, reds []Red, show io.Writer) error {
	ended := map[string]string{} // a listed test's end, with failing before all others
	said := map[string]string{}
	// By package: tests that fail and are not listed.
	badTests, badPackages, panicked := map[string]int{}, map[string]bool{}, map[string]bool{}
	listed := map[string]int{} // and those that are
	packages := 0
	var faults []string
	in := json.NewDecoder(run)
	for {
		var e event
		if err := in.Decode(&e); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return fmt.Errorf("what the tests say can't be read: %w", err)
		}
		test := e.Package + " " + e.Test
		top, _, _ := strings.Cut(e.Test, "/")
		red := false
		for _, x := range reds {
			red = red || x.Test == top
		}
		switch e.Action {
		case "output", "build-output":
			if panicked[e.Package] = panicked[e.Package] || strings.HasPrefix(e.Output, "panic: "); e.Test == "" {
				fmt.Fprint(show, e.Output)
			} else {
				said[test] += e.Output
			}
		case "fail":
			switch {
			case e.Test == "":
				packages++
				badPackages[e.Package] = true
			case red:
				listed[e.Package]++
			default:
				badTests[e.Package]++
				faults = append(faults, test+" fails")
			}
			fmt.Fprint(show, said[test])
		case "pass":
			if e.Test == "" {
				packages++
			}
		}
		if e.Action == "pass" || e.Action == "fail" || e.Action == "skip" {
			if red && e.Test == top && ended[top] != "fail" {
				ended[top] = e.Action
			}
			delete(said, test)
		}
	}
	for p := range badPackages {
		// It did not build, or ended before all of its tests had run.
		if badTests[p] == 0 && (listed[p] == 0 || panicked[p]) {
			faults = append(faults, p+" fails as a whole")
		}
	}
	if packages == 0 {
		faults = append(faults, "no package was tested")
	}
	for _, x := range reds {
		switch ended[x.Test] {
		case "fail":
			fmt.Fprintf(show, "known red, passed over: %s — %s — %s\n", x.Test, x.Cause, x.Issue)
		case "pass":
			faults = append(faults, x.Test+" is listed as known red and passes: strike it")
		case "skip":
			faults = append(faults, x.Test+" is listed as known red and was skipped")
		default:
			faults = append(faults, x.Test+" is listed as known red and no test has that name")
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%w:\n%s", ErrRed, strings.Join(faults, "\n"))
	}
	return nil
}
