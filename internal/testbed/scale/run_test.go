package scale

import (
	"context"
	"errors"
	"math"
	"strings"
	"testing"
)

// standIn is an experiment whose sweep is given.
func standIn(t *testing.T, sweep Sweep) *Experiment {
	name := "stand-in of " + t.Name()
	sweeps[name] = sweep
	t.Cleanup(func() { delete(sweeps, name) })
	return &Experiment{Name: "stand-in", File: "stand-in.toml", Settings: Settings{Sweep: name, Sizes: []int{1}}}
}

func noProgress(int, int) {}

// waits is a sweep that ends only when it is told to.
func waits(ctx context.Context, _ Settings, _ Progress) ([]Series, []Check, error) {
	<-ctx.Done()
	return nil, nil, ctx.Err()
}

func TestBoundsEndTheRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds Bounds
		want   string
	}{
		{"memory", Bounds{Memory: 1 << 20, Processes: 300}, "MiB of memory in use, and the bound is 1 MiB"},
		{"processes", Bounds{Memory: 12 << 30, Processes: 0}, "1 processes, and the bound is 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			report, err := Run(context.Background(), standIn(t, waits), c.bounds, noProgress)
			var typed *Error
			if report != nil || !errors.As(err, &typed) || !strings.Contains(err.Error(), c.want) || typed.Advice() == "" {
				t.Errorf("report %v, error %v, want an Error with %q", report, err, c.want)
			}
		})
	}
}

// A sweep that looks away from its context gives no report either once a bound is passed.
func TestBoundPassedAtTheLastMoment(t *testing.T) {
	passed := func(ctx context.Context, _ Settings, _ Progress) ([]Series, []Check, error) {
		<-ctx.Done()
		return oneSeries(1), nil, nil
	}
	if report, err := Run(context.Background(), standIn(t, passed), Bounds{Memory: 1, Processes: 1}, noProgress); report != nil || err == nil {
		t.Errorf("report %v, error %v", report, err)
	}
}

func TestStoppedRunGivesNoReport(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stops := func(ctx context.Context, s Settings, p Progress) ([]Series, []Check, error) {
		stop()
		return waits(ctx, s, p)
	}
	report, err := Run(ctx, standIn(t, stops), OperatorsBounds, noProgress)
	if report != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("report %v, error %v", report, err)
	}
}

func oneSeries(values ...float64) []Series {
	s := Series{Name: "one", Unit: "looks"}
	for i, v := range values {
		s.add(i+1, v)
	}
	return []Series{s}
}

func TestSeriesThatCanNotBeFitted(t *testing.T) {
	twice := append(oneSeries(1), oneSeries(1)...)
	falling := oneSeries(1, 2)
	falling[0].Points[1].Size = 0.5
	for name, series := range map[string][]Series{
		"none":         nil,
		"no name":      {{Points: []Point{{1, 1}}}},
		"no points":    {{Name: "one"}},
		"twice":        twice,
		"falling":      falling,
		"no number":    oneSeries(math.NaN()),
		"beyond all":   oneSeries(math.Inf(1)),
		"last is none": oneSeries(1, 2, math.NaN()),
	} {
		t.Run(name, func(t *testing.T) {
			gives := func(context.Context, Settings, Progress) ([]Series, []Check, error) { return series, nil, nil }
			report, err := Run(context.Background(), standIn(t, gives), OperatorsBounds, noProgress)
			var typed *Error
			if report != nil || !errors.As(err, &typed) {
				t.Errorf("report %v, error %v", report, err)
			}
		})
	}
}

func TestReportNamesItsCommand(t *testing.T) {
	gives := func(context.Context, Settings, Progress) ([]Series, []Check, error) { return oneSeries(1, 2), nil, nil }
	e := standIn(t, gives)
	e.File = "/somewhere/of/this/machine/x.toml"
	report, err := Run(context.Background(), e, OperatorsBounds, noProgress)
	if err != nil {
		t.Fatal(err)
	}
	if report.Command != "testbed scale run experiments/scale/x.toml" || report.Commit == "" || report.Format != reportFormat {
		t.Errorf("report %+v", report)
	}
}
