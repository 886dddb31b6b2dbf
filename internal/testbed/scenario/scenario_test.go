package scenario

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/report"
)

func open(t *testing.T, name string) *experiment.Experiment {
	t.Helper()
	e, err := experiment.Open(filepath.Join("..", "..", "..", "experiments", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// randomDays runs the days once for the two tests that check them.
var randomDays = sync.OnceValues(func() ([]*count.Result, error) {
	e, err := experiment.Open("../../../experiments/mixed.toml")
	if err != nil {
		return nil, err
	}
	days := 200
	if testing.Short() {
		days = 20
	}
	return RunAll(context.Background(), e, NewJobs([]string{"ours"}, 1, days), 0, nil)
})

// checkRandomDays fails on each violation that matches.
func checkRandomDays(t *testing.T, matches func(violation string) bool) {
	results, err := randomDays()
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, r := range results {
		checked += r.CheckedFlows
		if r.ViolationCount > len(r.Violations) {
			t.Errorf("seed %d: more violations than are listed", r.Seed)
		}
		for _, v := range r.Violations {
			if matches(v) {
				t.Errorf("seed %d: %s", r.Seed, v)
			}
		}
	}
	if checked < 100*len(results) {
		t.Errorf("only %d flows were checked, want at least 100 for each of the %d days", checked, len(results))
	}
}

func TestRulesOverRandomDays(t *testing.T) {
	checkRandomDays(t, func(violation string) bool {
		return !strings.Contains(violation, invariants.SlowStartRespected.String())
	})
}

// Separate from the test of the other rules, so that a known failure of this rule does not hide failures of the others.
func TestSlowStartRespectedOverRandomDays(t *testing.T) {
	checkRandomDays(t, func(violation string) bool {
		return strings.Contains(violation, invariants.SlowStartRespected.String())
	})
}

func TestResultsDoNotDependOnWorkerCount(t *testing.T) {
	e := open(t, "mixed")
	var first []byte
	for i, workers := range []int{1, 8, 8, 1} {
		results, err := RunAll(context.Background(), e, NewJobs([]string{"ours", "two-choices", "top"}, 3, 4), workers, nil)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := report.JSON(&b, e.Name, e.About, results); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = b.Bytes()
		} else if !bytes.Equal(first, b.Bytes()) {
			t.Fatalf("the result of run %d with %d workers differs from that of the first run", i, workers)
		}
	}
}

func TestShippedExperimentsRun(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "..", "experiments", "*.toml"))
	more, _ := filepath.Glob(filepath.Join("..", "..", "..", "experiments", "*", "*.toml")) // the pattern is valid
	if files = append(files, more...); err != nil || len(files) < 28 {
		t.Fatalf("found %d experiment files, want 28 or more; error: %v", len(files), err)
	}
	for _, f := range files {
		switch filepath.Base(filepath.Dir(f)) {
		case "fleet", "scale":
			continue // plans that internal/testbed/fleet and internal/testbed/scale read
		}
		t.Run(filepath.Base(filepath.Dir(f))+"/"+filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			e, err := experiment.Read(f, text)
			if err != nil {
				t.Fatal(err)
			}
			r, err := RunDay(e.WithSize(3, 9).WithScaledTimes(0.3), 1, "ours", nil, nil)
			if err != nil || r.CheckedFlows == 0 || r.ServedShare <= 0 || r.Service > 1 || r.ViolationCount > 0 {
				t.Errorf("error %v; want checked flows, a served share above 0, a service score of at most 1 and no violation, got %+v", err, r)
			}
			var page bytes.Buffer
			if err := report.HTML(&page, e.Name, e.About, []*count.Result{r}); err != nil || !strings.Contains(page.String(), "<polyline") {
				t.Errorf("the HTML report contains no plot; error: %v", err)
			}
		})
	}
}
