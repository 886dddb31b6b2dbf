// Package knownred judges a run of all tests of which a few are listed as known to fail for a real fault that isn't fixed yet. Listed
// tests run and are shown, and the run passes over their failures and no others.
package knownred

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrFailed says that the run does not pass. Errors of Judge that wrap it name each reason on a line of its own.
var ErrFailed = errors.New("the tests do not pass")

// event is a line of the output of go test -json, with the names of its keys.
type event struct{ Action, Package, Test, Output string }

func (e event) test() string { return e.Package + " " + e.Test }

func (e event) topLevelTest() string {
	name, _, _ := strings.Cut(e.Test, "/")
	return name
}

// packageRun is what a package's tests have shown so far.
type packageRun struct {
	failed         bool // the package as a whole
	panicked       bool
	listedFailed   int
	unlistedFailed int
}

// run is what go test has told so far.
type run struct {
	entries  []Entry
	show     io.Writer
	outcomes map[string]string // the last action of each listed test; a failure in any package stays
	outputs  map[string]string // of tests that have not ended
	packages map[string]*packageRun
	ended    int // packages that have passed or failed
	faults   []string
}

// Judge reads the output of go test -json and writes the output of failed tests and packages to show. It returns an error that wraps
// ErrFailed unless all tests pass but for the listed ones, each of which has to run and to fail. An entry that no longer fails is a fault
// too: it hides the next failure.
func Judge(goTestJSON io.Reader, entries []Entry, show io.Writer) error {
	r := &run{entries: entries, show: show, outcomes: map[string]string{}, outputs: map[string]string{}, packages: map[string]*packageRun{}}
	events := json.NewDecoder(goTestJSON)
	for {
		var e event
		err := events.Decode(&e)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read the output of go test: %w", err)
		}
		r.observe(e)
	}
	r.checkPackages()
	r.checkEntries()
	if len(r.faults) > 0 {
		return fmt.Errorf("%w:\n%s", ErrFailed, strings.Join(r.faults, "\n"))
	}
	return nil
}

func (r *run) observe(e event) {
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

func (r *run) observeOutput(e event) {
	if strings.HasPrefix(e.Output, "panic: ") {
		r.packageRun(e.Package).panicked = true
	}
	if e.Test == "" {
		r.print(e.Output)
		return
	}
	r.outputs[e.test()] += e.Output
}

func (r *run) observeFailure(e event) {
	tests := r.packageRun(e.Package)
	switch {
	case e.Test == "":
		tests.failed = true
	case isListed(r.entries, e.topLevelTest()):
		tests.listedFailed++
	default:
		tests.unlistedFailed++
		r.faults = append(r.faults, e.test()+" fails")
	}
	r.print(r.outputs[e.test()])
}

func (r *run) observeEnd(e event) {
	if e.Test == "" && e.Action != "skip" { // a package without tests is skipped
		r.ended++
	}
	if isListed(r.entries, e.Test) && r.outcomes[e.Test] != "fail" {
		r.outcomes[e.Test] = e.Action
	}
	delete(r.outputs, e.test())
}

// checkPackages finds packages whose failure no test explains: they did not build, or ended before all of their tests had run.
func (r *run) checkPackages() {
	for name, tests := range r.packages {
		if tests.failed && tests.unlistedFailed == 0 && (tests.listedFailed == 0 || tests.panicked) {
			r.faults = append(r.faults, name+" fails as a whole")
		}
	}
	if r.ended == 0 {
		r.faults = append(r.faults, "no package was tested")
	}
}

func (r *run) checkEntries() {
	for _, entry := range r.entries {
		switch r.outcomes[entry.Test] {
		case "fail":
			r.print(fmt.Sprintf("known red, passed over: %s — %s — %s\n", entry.Test, entry.Cause, entry.Issue))
		case "pass":
			r.faults = append(r.faults, entry.Test+" is listed as known red and passes: strike it")
		case "skip":
			r.faults = append(r.faults, entry.Test+" is listed as known red and was skipped")
		default:
			r.faults = append(r.faults, entry.Test+" is listed as known red and no test has that name")
		}
	}
}

func (r *run) packageRun(name string) *packageRun {
	if r.packages[name] == nil {
		r.packages[name] = &packageRun{}
	}
	return r.packages[name]
}

// print drops the error of a reader that is gone: the verdict doesn't depend on who reads the output.
func (r *run) print(text string) { _, _ = io.WriteString(r.show, text) }
