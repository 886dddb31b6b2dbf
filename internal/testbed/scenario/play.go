// Package scenario runs days: one seed and one policy in virtual time, or many of them over all cores.
package scenario

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/baseline"
	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
	"yardwinch/internal/testbed/virtual"
)

// NewChecker makes the one that a day is judged by; slack is what the way of a message may take, hold how long events wait
// to be put in order.
func NewChecker(d *experiment.Day, slack, hold time.Duration) *invariants.Checker {
	terms := d.Experiment.Terms()
	return invariants.New(invariants.Limits{Slack: slack, Reordering: hold, DrainGrace: terms.DrainGrace,
		SlowStartMultiple: terms.SlowStartMultiple, SlowStartWindow: terms.SlowStartWindow, SlowStart: terms.SlowStart, MeanLoad: d.MeanLoad()})
}

// Maker makes the deciders of a policy for a day.
func Maker(d *experiment.Day, policy string) (virtual.NewDecider, error) {
	if policy == "ours+halls" {
		return func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
			g := config.FromPairs(d.Settings(b))
			return constraints.New(seed, act, []constraints.Constraint{d.Experiment.Halls.NewPolicy(g, seed)},
				func(dec *decide.Balancer) { config.ConfigureBalancer(g, dec) })
		}, nil
	}
	if policy == "ours+signals" {
		return tells(d), nil
	}
	if policy == "ours" {
		return func(seed uint64, b simulation.BalancerID, act decide.Actions) virtual.Decider {
			dec := decide.New(seed, act)
			config.ConfigureBalancer(config.FromPairs(d.Settings(b)), dec)
			return dec
		}, nil
	}
	rule := baseline.Rules[policy]
	if rule == nil {
		return nil, fmt.Errorf("unknown policy %q; want one of %s", policy, strings.Join(experiment.Policies, ", "))
	}
	effects := map[string]decide.Effect{"free": decide.Idempotent, "guarded": decide.IdempotentByKey, "single_shot": decide.NotIdempotent}
	var of []decide.Effect
	for _, s := range d.World.Services {
		of = append(of, effects[s.Effect])
	}
	group := func(g decide.GroupKey) simulation.GroupID {
		if n, err := strconv.Atoi(strings.TrimPrefix(string(g), "g-")); err == nil {
			return simulation.GroupID(n)
		}
		return simulation.NoGroup
	}
	connects := d.Experiment.Terms().MaxConnects
	numbers := virtual.ServerIDs(len(d.World.Servers) + 4096)
	return func(seed uint64, _ simulation.BalancerID, act decide.Actions) virtual.Decider {
		var all *simulation.World
		if policy == "top" {
			all = d.World
		}
		return baseline.New(rule, seed, act, connects, d.Experiment.RetryAfter(), of, all,
			func(id decide.ServerID) *simulation.Server { return d.World.Servers[numbers[id]] }, group)
	}, nil
}

// Day plays one seed under one policy. wrap, where there is one, stands between the policy and its balancer.
func Day(e *experiment.Experiment, seed uint64, policy string, progress func(time.Duration), wrap func(virtual.NewDecider) virtual.NewDecider) (*count.Result, error) {
	d := e.Day(seed)
	maker, err := Maker(d, policy)
	if err != nil {
		return nil, err
	}
	if wrap != nil {
		maker = wrap(maker)
	}
	ref := NewChecker(d, 8*time.Millisecond, 0)
	dr := virtual.New(d, ref, maker)
	loads := Loads(d.World)
	dr.Run(progress)
	r := &count.Result{Policy: policy, Seed: seed, Load: *loads, Crossings: dr.Tally.Crossings, Moves: dr.Tally.Migrations, Connects: dr.Tally.Connects}
	seconds := len(d.World.Accounting.Requested[0])
	r.MovesBy, r.ConnectsBy = count.PerSecond(dr.Tally.MigratedAt, seconds), count.PerSecond(dr.Tally.ConnectedAt, seconds)
	Finish(r, d, ref)
	return r, nil
}

// Finish counts a day that is over.
func Finish(r *count.Result, d *experiment.Day, ref *invariants.Checker) {
	for _, v := range ref.Violations() {
		r.Violations = append(r.Violations, v.String())
	}
	r.Broken, r.Judged, r.Fell = len(r.Violations)+ref.Omitted(), ref.Judged, len(d.World.Collapsed)
	r.Pushed = d.World.MaxSlowStartExcess
	for _, t := range d.Troubles {
		r.Troubles = append(r.Troubles, count.Trouble{Kind: string(t.Kind), Start: t.Start.Seconds(), End: t.End().Seconds()})
	}
	r.Count(d.World.Accounting, &d.World.Totals, len(d.World.Services), len(d.World.Customers), d.Experiment.Weights())
}

// Loads gathers, each second, what is asked of every server over what it can do.
func Loads(w *simulation.World) *[][]float64 {
	rows := &[][]float64{}
	w.EverySecond(func() {
		for i, s := range w.Servers {
			for len(*rows) <= i {
				*rows = append(*rows, nil)
			}
			load := -1.0 // no process
			if s.IsServing() {
				load = min(s.Demand()/max(s.CurrentCapacity(), 1e-9)+s.QueueDelay(), 9)
			}
			sec := int(w.Schedule.Now()/time.Second) - 1
			for len((*rows)[i]) < sec {
				(*rows)[i] = append((*rows)[i], -1)
			}
			(*rows)[i] = append((*rows)[i], load)
		}
	})
	return rows
}

// Job is one day to play.
type Job struct {
	Seed   uint64
	Policy string
}

// All plays jobs side by side; the results stand in the order of the jobs, whatever came first. done hears of each.
func All(ctx context.Context, e *experiment.Experiment, jobs []Job, workers int, done func()) ([]*count.Result, error) {
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	results := make([]*count.Result, len(jobs))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(workers)
	for i, j := range jobs {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			r, err := Day(e, j.Seed, j.Policy, nil, nil)
			if err != nil {
				return err
			}
			results[i] = r
			if done != nil {
				done()
			}
			return nil
		})
	}
	return results, g.Wait()
}

// Jobs are all policies on the seeds from first on.
func Jobs(policies []string, first uint64, seeds int) (jobs []Job) {
	for _, p := range policies {
		for s := range seeds {
			jobs = append(jobs, Job{first + uint64(s), p})
		}
	}
	return jobs
}
