package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"
)

// Run runs an experiment's sweep within bounds. It returns no report if ctx ends or a bound is exceeded.
func Run(ctx context.Context, e *Experiment, bounds Bounds, progress Progress) (*Report, error) {
	sweep := sweeps[e.Settings.Sweep]
	if sweep == nil {
		return nil, &Error{
			Where:  e.File,
			What:   fmt.Sprintf("sweep: no sweep %q", e.Settings.Sweep),
			Remedy: "see testbed scale list",
		}
	}
	began, commit := time.Now(), Commit()
	watched, stop := bounds.watch(ctx, e.Name)
	defer stop()
	series, checks, err := sweep(watched, e.Settings, progress)
	if err := context.Cause(watched); err != nil {
		return nil, err // an exceeded bound, or the caller's cancellation
	}
	if err != nil {
		return nil, err
	}
	if err := validateSeries(series); err != nil {
		return nil, &Error{Where: e.Name, What: "the sweep returned invalid series", Remedy: "correct the sweep", Err: err}
	}
	return &Report{
		Format:     reportFormat,
		Experiment: e.Name,
		Command:    Command(e.File),
		Commit:     commit,
		Seed:       e.Settings.Seed,
		Took:       time.Since(began),
		Series:     series,
		Checks:     checks,
	}, nil
}

// validateSeries returns an error unless there are series, each with a unique name and points of finite values and
// increasing sizes.
func validateSeries(series []Series) error {
	if len(series) == 0 {
		return errors.New("no series")
	}
	seen := map[string]bool{}
	for _, s := range series {
		if s.Name == "" || seen[s.Name] {
			return fmt.Errorf("series %q: want a unique name that is not empty", s.Name)
		}
		seen[s.Name] = true
		if len(s.Points) == 0 {
			return fmt.Errorf("series %s: no points", s.Name)
		}
		for i, p := range s.Points {
			if math.IsNaN(p.Value) || math.IsInf(p.Value, 0) {
				return fmt.Errorf("series %s: value %v at size %v is not finite", s.Name, p.Value, p.Size)
			}
			if i > 0 && p.Size <= s.Points[i-1].Size {
				return fmt.Errorf("series %s: size %v follows size %v, want increasing sizes", s.Name, p.Size, s.Points[i-1].Size)
			}
		}
	}
	return nil
}
