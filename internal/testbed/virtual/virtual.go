// Package virtual drives the world in virtual time: many balancers, their decisions made by whoever is put there, one
// goroutine, one seed, one result.
package virtual

import (
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

// Decider makes the decisions of one balancer: the decision module, with or without others round it, or a baseline in
// its place.
type Decider = constraints.Balancer

// Maker makes the decider of a balancer that starts; it acts through act alone.
type Maker func(seed uint64, b simulation.BalancerID, act decide.Actions) Decider

const (
	lineCost  = 5 * time.Millisecond   // what a balancer keeps of a client's time for the way there and back
	moveFrom  = 400 * time.Millisecond // after the signal to stop, clients are asked to move from then on
	moveUntil = 600 * time.Millisecond // until so much before the end
	moveEvery = 50 * time.Millisecond
)

// Drive is the network and the balancers between a world's clients and servers.
type Drive struct {
	d       *experiment.Day
	w       *simulation.World
	checker *invariants.Checker
	maker   Maker
	inst    []*instance
	flows   map[simulation.FlowID]*flow
	conns   map[simulation.ConnID]*connect
	numbers []decide.ServerID
	byNum   map[decide.ServerID]simulation.ServerID
	connMax int
	up      time.Duration
	Tally   Tally
}

// Tally counts what balancers did.
type Tally struct {
	Connects, Crossings, Moves, Rejects, Aborts, Probes int
	MovedAt, ConnectAt                                  []time.Duration
}

// New prepares a drive; the day must not have begun.
func New(d *experiment.Day, ref *invariants.Checker, maker Maker) *Drive {
	dr := &Drive{d: d, w: d.World, checker: ref, maker: maker, flows: map[simulation.FlowID]*flow{}, conns: map[simulation.ConnID]*connect{},
		byNum: map[decide.ServerID]simulation.ServerID{}}
	terms := d.Experiment.Terms()
	dr.connMax, dr.up = terms.MaxConnects, terms.ConnectTimeout
	d.World.Driver = dr
	return dr
}

// Run plays the whole day; progress hears how far it is, each virtual second.
func (dr *Drive) Run(progress func(time.Duration)) {
	w := dr.w
	for _, b := range w.Balancers {
		dr.inst = append(dr.inst, &instance{dr: dr, id: b.ID, hall: b.Locality})
		dr.StartBalancer(b.ID)
	}
	dr.d.Begin()
	end := w.Accounting.Length
	for t := time.Duration(0); t < end; t += time.Second {
		w.Schedule.RunTo(min(t+time.Second, end))
		dr.checker.Advance(w.Schedule.Now())
		if progress != nil {
			progress(w.Schedule.Now())
		}
	}
	// What was taken before the end is answered after it.
	w.Schedule.RunTo(end + 5*time.Second)
	w.End()
	dr.checker.Finish(w.Schedule.Now())
}

func (dr *Drive) see(e invariants.Event) {
	e.At = dr.w.Schedule.Now()
	dr.checker.Observe(e)
}
