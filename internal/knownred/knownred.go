// Package knownred evaluates the results of a test run against a list of known failures: tests that fail because of a real fault that
// isn't fixed yet. Listed tests run and their output is shown; only their failures are ignored.
package knownred

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrFailed means that the run does not pass. Errors of Evaluate that wrap it list the reasons, one a line.
var ErrFailed = errors.New("the tests do not pass")

// event is a line of the output of go test -json. The field names are the keys.
type event struct{ Action, Package, Test, Output string }

func (e event) qualifiedName() string { return e.Package + " " + e.Test }

func (e event) topLevelTest() string {
	name, _, _ := strings.Cut(e.Test, "/")
	return name
}

// packageRun holds the results of a package's tests so far.
type packageRun struct {
	failed         bool // go test reported the package itself as failed
	panicked       bool
	listedFailed   int
	unlistedFailed int
}

// testRun holds the results of all tests so far.
type testRun struct {
	entries       []Entry
	out           io.Writer
	outcomes      map[string]string // last action of each listed test; once "fail" in any package, it stays
	outputs       map[string]string // by qualified name, of tests that have not ended
	packages      map[string]*packageRun
	packagesEnded int // number of packages that have passed or failed
	reasons       []string
}

// Evaluate reads the output of go test -json and writes the output of failed tests and packages to show. It returns an error that
// wraps ErrFailed unless every listed test runs and fails and all other tests pass. A listed test that passes is an error too, as its
// entry would hide the next failure.
func Evaluate(goTestJSON io.Reader, entries []Entry, show io.Writer) error {
	r := &testRun{entries: entries, out: show, outcomes: map[string]string{}, outputs: map[string]string{}, packages: map[string]*packageRun{}}
	events := json.NewDecoder(goTestJSON)
	for {
		var e event
		err := events.Decode(&e)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("decode the output of go test -json: %w", err)
		}
		r.observe(e)
	}
	r.checkPackages()
	r.checkEntries()
	if len(r.reasons) > 0 {
		return fmt.Errorf("%w:\n%s", ErrFailed, strings.Join(r.reasons, "\n"))
	}
	return nil
}

func (r *testRun) observe(e event) {
	switch e.Action {
	case "output", "build-output":
		r.observeOutput(e)
	case "fail":
		r.observeFailure(e)
		r.observeEnd(e)
	case "pass", "skip":
		r.observeEnd(e)
	}
}

func (r *testRun) observeOutput(e event) {
	if strings.HasPrefix(e.Output, "panic: ") {
		r.packageRun(e.Package).panicked = true
	}
	if e.Test == "" {
		r.print(e.Output)
		return
	}
	r.outputs[e.qualifiedName()] += e.Output
}

func (r *testRun) observeFailure(e event) {
	tests := r.packageRun(e.Package)
	switch {
	case e.Test == "":
		tests.failed = true
	case isListed(r.entries, e.topLevelTest()):
		tests.listedFailed++
	default:
		tests.unlistedFailed++
		r.reasons = append(r.reasons, e.qualifiedName()+" fails")
	}
	r.print(r.outputs[e.qualifiedName()])
}

func (r *testRun) observeEnd(e event) {
	if e.Test == "" && e.Action != "skip" { // a package without tests is skipped
		r.packagesEnded++
	}
	if isListed(r.entries, e.Test) && r.outcomes[e.Test] != "fail" {
		r.outcomes[e.Test] = e.Action
	}
	delete(r.outputs, e.qualifiedName())
}

// checkPackages reports packages whose failure no failed test explains: they did not build, or ended before all of their tests had run.
func (r *testRun) checkPackages() {
	for name, tests := range r.packages {
		if tests.failed && tests.unlistedFailed == 0 && (tests.listedFailed == 0 || tests.panicked) {
			r.reasons = append(r.reasons, "package "+name+" fails although none of its unlisted tests does: it did not build, or it ended before all of its tests had run")
		}
	}
	if r.packagesEnded == 0 {
		r.reasons = append(r.reasons, "no package was tested")
	}
}

func (r *testRun) checkEntries() {
	for _, entry := range r.entries {
		switch r.outcomes[entry.Test] {
		case "fail":
			r.print(fmt.Sprintf("known failure, ignored: %s — %s — %s\n", entry.Test, entry.Cause, entry.Issue))
		case "pass":
			r.reasons = append(r.reasons, entry.Test+" is listed as a known failure but passes: remove it from the list")
		case "skip":
			r.reasons = append(r.reasons, entry.Test+" is listed as a known failure but was skipped")
		default:
			r.reasons = append(r.reasons, entry.Test+" is listed as a known failure but no test has that name")
		}
	}
}

func (r *testRun) packageRun(name string) *packageRun {
	if r.packages[name] == nil {
		r.packages[name] = &packageRun{}
	}
	return r.packages[name]
}

// print ignores write errors: the result doesn't depend on whether the output can be written.
func (r *testRun) print(text string) { _, _ = io.WriteString(r.out, text) }
