package scale

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"
)

// testExperiment returns an experiment that runs the given sweep, registered for the duration of the test.
func testExperiment(t *testing.T, sweep Sweep) *Experiment {
	name := "stub of " + t.Name()
	sweeps[name] = sweep
	t.Cleanup(func() { delete(sweeps, name) })
	return &Experiment{Name: "stub", File: "stub.toml", Settings: Settings{Sweep: name, Sizes: []int{1}}}
}

func noProgress(int, int) {}

// blockUntilCancelled is a sweep that ends only with its context.
func blockUntilCancelled(ctx context.Context, _ Settings, _ Progress) ([]Series, []Check, error) {
	<-ctx.Done()
	return nil, nil, ctx.Err()
}

func TestBoundsEndTheRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds Bounds
		want   string
	}{
		{"memory", Bounds{Memory: 1 << 20, Processes: 300}, "MiB of memory in use exceed the bound of 1 MiB"},
		{"processes", Bounds{Memory: 12 << 30, Processes: 0}, "1 processes exceed the bound of 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			report, err := Run(t.Context(), testExperiment(t, blockUntilCancelled), c.bounds, noProgress)
			var typed *Error
			if report != nil || !errors.As(err, &typed) || !strings.Contains(err.Error(), c.want) || typed.Advice() == "" {
				t.Errorf("report %v, error %v, want an Error with %q", report, err, c.want)
			}
		})
	}
}

// No report is returned after a bound is exceeded, even if the sweep ignores the cancelled context and succeeds.
func TestBoundExceededAtTheEnd(t *testing.T) {
	ignoresContext := func(ctx context.Context, _ Settings, _ Progress) ([]Series, []Check, error) {
		<-ctx.Done()
		return oneSeries(1), nil, nil
	}
	report, err := Run(t.Context(), testExperiment(t, ignoresContext), Bounds{Memory: 1, Processes: 1}, noProgress)
	if report != nil || err == nil {
		t.Errorf("report %v, error %v, want an error and no report", report, err)
	}
}

func TestCancelledRunGivesNoReport(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	cancelsItself := func(ctx context.Context, s Settings, p Progress) ([]Series, []Check, error) {
		stop()
		return blockUntilCancelled(ctx, s, p)
	}
	report, err := Run(ctx, testExperiment(t, cancelsItself), DefaultBounds, noProgress)
	if report != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("report %v, error %v, want no report and the error of the context", report, err)
	}
}

func oneSeries(values ...float64) []Series {
	s := Series{Name: "one", Unit: "looks"}
	for i, v := range values {
		s.addPoint(i+1, v)
	}
	return []Series{s}
}

func TestInvalidSeries(t *testing.T) {
	twice := append(oneSeries(1), oneSeries(1)...)
	decreasing := oneSeries(1, 2)
	decreasing[0].Points[1].Size = 0.5
	for name, series := range map[string][]Series{
		"none":        nil,
		"no name":     {{Points: []Point{{1, 1}}}},
		"no points":   {{Name: "one"}},
		"duplicate":   twice,
		"decreasing":  decreasing,
		"NaN":         oneSeries(math.NaN()),
		"infinite":    oneSeries(math.Inf(1)),
		"last is NaN": oneSeries(1, 2, math.NaN()),
	} {
		t.Run(name, func(t *testing.T) {
			returnsSeries := func(context.Context, Settings, Progress) ([]Series, []Check, error) { return series, nil, nil }
			report, err := Run(t.Context(), testExperiment(t, returnsSeries), DefaultBounds, noProgress)
			var typed *Error
			if report != nil || !errors.As(err, &typed) {
				t.Errorf("report %v, error %v, want an Error and no report", report, err)
			}
		})
	}
}

func TestReportHasCommandAndCommit(t *testing.T) {
	returnsSeries := func(context.Context, Settings, Progress) ([]Series, []Check, error) { return oneSeries(1, 2), nil, nil }
	e := testExperiment(t, returnsSeries)
	e.File = "/somewhere/of/this/machine/x.toml"
	report, err := Run(t.Context(), e, DefaultBounds, noProgress)
	if err != nil {
		t.Fatal(err)
	}
	if report.Command != "testbed scale run experiments/scale/x.toml" || report.Commit == "" || report.Format != reportFormat {
		t.Errorf("report %+v, want the command without the machine's path, a commit and format %d", report, reportFormat)
	}
}
