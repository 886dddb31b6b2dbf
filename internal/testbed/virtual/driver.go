// Package virtual runs a simulated world with many balancers in virtual time. The decisions of the balancers come from a Decider, which the
// caller chooses. A run uses one goroutine, and its seed determines the result.
package virtual

import (
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

const finalAnswersWithin = 5 * time.Second // how long a run continues after the end of the day, so that the last flows are answered

// Decider makes the decisions of one balancer: the decision module, with or without additional constraints, or a baseline policy.
type Decider = constraints.Balancer

// NewDecider creates the decider of a balancer that starts. The decider acts only through act.
type NewDecider func(seed uint64, b simulation.BalancerID, act decide.Actions) Decider

// Driver models the network and the balancers between a world's clients and servers.
type Driver struct {
	Counts Counts

	day            *experiment.Day
	world          *simulation.World
	checker        *invariants.Checker
	newDecider     NewDecider
	maxConnects    int // per flow
	connectTimeout time.Duration

	balancers []*balancer
	flows     map[simulation.FlowID]*flow
	connects  map[simulation.ConnID]*connect
	decideIDs []decide.ServerID // by simulation.ServerID
	serverOf  map[decide.ServerID]simulation.ServerID
}

// Counts are the numbers of actions of all balancers, and the times of some of them.
type Counts struct {
	Connects     int
	Crossings    int // connects to another locality
	Migrations   int
	Rejects      int
	Aborts       int
	HealthChecks int
	MigratedAt   []time.Duration
	ConnectedAt  []time.Duration
}

// New creates a driver for a day that has not begun.
func New(day *experiment.Day, checker *invariants.Checker, newDecider NewDecider) *Driver {
	limits := day.Experiment.Limits()
	d := &Driver{day: day, world: day.World, checker: checker, newDecider: newDecider,
		maxConnects: limits.MaxConnects, connectTimeout: limits.ConnectTimeout,
		flows: map[simulation.FlowID]*flow{}, connects: map[simulation.ConnID]*connect{},
		serverOf: map[decide.ServerID]simulation.ServerID{}}
	day.World.Driver = d
	return d
}

// Run runs the whole day. It calls progress, which may be nil, after each virtual second.
func (d *Driver) Run(progress func(time.Duration)) {
	w := d.world
	for _, b := range w.Balancers {
		d.balancers = append(d.balancers, &balancer{driver: d, id: b.ID, locality: b.Locality})
		d.StartBalancer(b.ID)
	}
	d.day.Begin()
	end := w.Accounting.Length
	for t := time.Duration(0); t < end; t += time.Second {
		w.Schedule.RunTo(min(t+time.Second, end))
		d.checker.Advance(w.Schedule.Now())
		if progress != nil {
			progress(w.Schedule.Now())
		}
	}
	w.Schedule.RunTo(end + finalAnswersWithin)
	w.End()
	d.checker.Finish(w.Schedule.Now())
}

func (d *Driver) observe(e invariants.Event) {
	e.At = d.world.Schedule.Now()
	d.checker.Observe(e)
}

// afterClientDelay runs an action after the one-way delay between clients and balancers, in either direction.
func (d *Driver) afterClientDelay(do func()) {
	d.world.Schedule.After(d.world.Network.Client, simulation.Message, do)
}
