// Package scenario runs days in virtual time: a single seed under one policy, or many seeds and policies in parallel.
package scenario

import (
	"context"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/virtual"
)

const (
	virtualSlack = 8 * time.Millisecond // how late an answer may be in virtual time, due to the network delay
	maxLoad      = 9.0                  // upper bound of a server's load relative to its capacity, in results
	noProcess    = -1.0                 // recorded as the load of a server without a process
	minCapacity  = 1e-9                 // lower bound of a divisor, against division by 0
)

// NewChecker creates a day's invariant checker. slack is the tolerance for the delay of messages; reordering is how long events are held
// back to be sorted.
func NewChecker(d *experiment.Day, slack, reordering time.Duration) *invariants.Checker {
	limits := d.Experiment.Limits()
	return invariants.New(invariants.Limits{
		Slack:             slack,
		Reordering:        reordering,
		DrainGrace:        limits.DrainGrace,
		SlowStartMultiple: limits.SlowStartMultiple,
		SlowStartWindow:   limits.SlowStartWindow,
		SlowStart:         limits.MaxSlowStart,
		MeanLoad:          d.MeanLoad(),
	})
}

// WrapDeciders wraps the deciders of a policy, to observe or change what they do.
type WrapDeciders func(virtual.NewDecider) virtual.NewDecider

// RunDay runs one seed under one policy. progress and wrap may be nil. It fails for an unknown policy.
func RunDay(e *experiment.Experiment, seed uint64, policy string, progress func(time.Duration), wrap WrapDeciders) (*count.Result, error) {
	day := e.Day(seed)
	newDecider, err := NewDeciders(day, policy)
	if err != nil {
		return nil, err
	}
	if wrap != nil {
		newDecider = wrap(newDecider)
	}
	checker := NewChecker(day, virtualSlack, 0)
	driver := virtual.New(day, checker, newDecider)
	loads := RecordLoads(day.World)
	driver.Run(progress)
	counts := driver.Counts
	seconds := len(day.World.Accounting.Requested[0])
	result := &count.Result{Policy: policy, Seed: seed, LoadByServer: *loads,
		Crossings: counts.Crossings, Migrations: counts.Migrations, Connects: counts.Connects,
		MigrationsBySecond: count.PerSecond(counts.MigratedAt, seconds), ConnectsBySecond: count.PerSecond(counts.ConnectedAt, seconds)}
	FillResult(result, day, checker)
	return result, nil
}

// FillResult adds the findings of the checker and the counts of the world to a result, after the end of the day.
func FillResult(r *count.Result, d *experiment.Day, checker *invariants.Checker) {
	for _, v := range checker.Violations() {
		r.Violations = append(r.Violations, v.String())
	}
	r.ViolationCount = len(r.Violations) + checker.Omitted()
	r.CheckedFlows = checker.CheckedFlows
	r.CollapsedServers = len(d.World.Collapsed)
	r.MaxSlowStartExcess = d.World.MaxSlowStartExcess
	for _, f := range d.Faults {
		r.Faults = append(r.Faults, count.Fault{Kind: string(f.Kind), Start: f.Start.Seconds(), End: f.End().Seconds()})
	}
	r.Count(d.World.Accounting, &d.World.Totals, len(d.World.Services), len(d.World.Customers), d.Experiment.Weights())
}

// RecordLoads records, while a day runs, each server's load relative to its capacity: one row for each server, one column for each second.
func RecordLoads(w *simulation.World) *[][]float64 {
	rows := &[][]float64{}
	w.EverySecond(func() {
		second := int(w.Schedule.Now()/time.Second) - 1 // the second that ends now
		for i, s := range w.Servers {
			for len(*rows) <= i {
				*rows = append(*rows, nil)
			}
			for len((*rows)[i]) < second { // for a server that was added during the day
				(*rows)[i] = append((*rows)[i], noProcess)
			}
			(*rows)[i] = append((*rows)[i], loadOf(s))
		}
	})
	return rows
}

func loadOf(s *simulation.Server) float64 {
	if !s.IsServing() {
		return noProcess
	}
	return min(s.Demand()/max(s.CurrentCapacity(), minCapacity)+s.QueueDelay(), maxLoad)
}

// Job is one day to run.
type Job struct {
	Seed   uint64
	Policy string
}

// NewJobs returns a job for each policy and each of the given number of seeds from first on.
func NewJobs(policies []string, first uint64, seeds int) (jobs []Job) {
	for _, policy := range policies {
		for s := range seeds {
			jobs = append(jobs, Job{first + uint64(s), policy})
		}
	}
	return jobs
}

// RunAll runs jobs in parallel, with GOMAXPROCS workers if workers is not positive. The results are in the order of the jobs. done, which
// may be nil, is called after each job, from several goroutines.
func RunAll(ctx context.Context, e *experiment.Experiment, jobs []Job, workers int, done func()) ([]*count.Result, error) {
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	results := make([]*count.Result, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	for i, job := range jobs {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			result, err := RunDay(e, job.Seed, job.Policy, nil, nil)
			if err != nil {
				return err
			}
			results[i] = result
			if done != nil {
				done()
			}
			return nil
		})
	}
	return results, group.Wait()
}
