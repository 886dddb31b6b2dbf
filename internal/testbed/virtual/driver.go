// Package virtual runs a simulated world in virtual time with many balancers, whose decisions are made by whatever is put in their place.
// One goroutine and one seed give one result.
package virtual

import (
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

const answersWithin = 5 * time.Second // after the end of a day its last flows have been answered

// Decider makes the decisions of one balancer: the decision module, with or without constraints of others, or a baseline in its place.
type Decider = constraints.Balancer

// NewDecider makes the decider of a balancer that starts, which acts through act alone.
type NewDecider func(seed uint64, b simulation.BalancerID, act decide.Actions) Decider

// Driver is the network and the balancers between a world's clients and servers.
type Driver struct {
	Tally Tally

	day            *experiment.Day
	world          *simulation.World
	checker        *invariants.Checker
	newDecider     NewDecider
	maxConnects    int // of a flow
	connectTimeout time.Duration

	balancers []*balancer
	flows     map[simulation.FlowID]*flow
	connects  map[simulation.ConnID]*connect
	ids       []decide.ServerID // of servers
	serverOf  map[decide.ServerID]simulation.ServerID
}

// Tally counts what all balancers did.
type Tally struct {
	Connects     int
	Crossings    int // connects to another locality
	Migrations   int
	Rejects      int
	Aborts       int
	HealthChecks int
	MigratedAt   []time.Duration
	ConnectedAt  []time.Duration
}

// New prepares a driver for a day that has not begun.
func New(day *experiment.Day, checker *invariants.Checker, newDecider NewDecider) *Driver {
	terms := day.Experiment.Terms()
	d := &Driver{day: day, world: day.World, checker: checker, newDecider: newDecider,
		maxConnects: terms.MaxConnects, connectTimeout: terms.ConnectTimeout,
		flows: map[simulation.FlowID]*flow{}, connects: map[simulation.ConnID]*connect{},
		serverOf: map[decide.ServerID]simulation.ServerID{}}
	day.World.Driver = d
	return d
}

// Run runs the whole day. progress, which may be nil, gets the time each virtual second.
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
	w.Schedule.RunTo(end + answersWithin)
	w.End()
	d.checker.Finish(w.Schedule.Now())
}

func (d *Driver) observe(e invariants.Event) {
	e.At = d.world.Schedule.Now()
	d.checker.Observe(e)
}

// sendToClient has something happen when a message has reached a client, or come from it.
func (d *Driver) sendToClient(do func()) {
	d.world.Schedule.After(d.world.Network.Client, simulation.Message, do)
}
