package virtual

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

const (
	drainStart    = 400 * time.Millisecond // from the stop signal until the first clients are asked to reconnect
	drainMargin   = 600 * time.Millisecond // from the time by which all clients have been asked until the end of the process
	drainInterval = 50 * time.Millisecond
)

// balancer is one balancer and the current incarnation of its process.
type balancer struct {
	driver      *Driver
	id          simulation.BalancerID
	locality    simulation.LocalityID
	startedAt   time.Duration
	incarnation int
	isUp        bool
	decider     Decider
	established map[simulation.ServerID][]*flow // in the order in which they were established
	flows       map[simulation.FlowID]*flow
}

// StartBalancer starts a balancer with the server list as it last knew it.
func (d *Driver) StartBalancer(id simulation.BalancerID) {
	b := d.balancers[id]
	b.incarnation++
	b.isUp, b.startedAt = true, d.world.Schedule.Now()
	b.established, b.flows = map[simulation.ServerID][]*flow{}, map[simulation.FlowID]*flow{}
	d.observe(b.event(invariants.BalancerStarted))
	seed := simulation.RandomSource(d.day.Seed, "balancer "+strconv.Itoa(b.incarnation), int(id)).Uint64()
	b.decider = d.newDecider(seed, id, b)
	b.decider.SetTime(0)
	b.updateList(decide.CachedUpdate, d.world.List.Known(id))
}

// StopBalancer makes a balancer ask its clients to reconnect, spread evenly from drainStart after the signal until drainMargin before its
// end, as the real process does. Clients that arrive meanwhile are served and asked too.
func (d *Driver) StopBalancer(id simulation.BalancerID) {
	b := d.balancers[id]
	until := d.world.Schedule.Now() + d.world.StopDuration() - drainMargin
	var drain func()
	step := b.whileRunning(func() { drain() })
	drain = func() {
		open := sortedFlows(b.flows, func(f *flow) bool { return f.established != nil && !f.clientLeft })
		stepsLeft := max(1, int((until-d.world.Schedule.Now())/drainInterval))
		for _, f := range open[:(len(open)+stepsLeft-1)/stepsLeft] {
			b.endConnect(f.established, decide.Cancelled)
		}
		d.world.Schedule.After(drainInterval, simulation.Wake, step)
	}
	d.world.Schedule.After(drainStart, simulation.Wake, step)
}

// KillBalancer ends a balancer's process at once, with all its connections.
func (d *Driver) KillBalancer(id simulation.BalancerID) {
	b := d.balancers[id]
	b.isUp = false
	d.observe(b.event(invariants.BalancerDied))
	for _, f := range sortedFlows(b.flows, func(*flow) bool { return true }) {
		for _, c := range f.outstanding {
			c.transition(ended)
			delete(d.connects, c.id)
			d.closeAtServer(c)
		}
		delete(d.flows, f.id)
		clientLeft := f.clientLeft
		d.afterClientDelay(func() {
			if !clientLeft {
				d.world.BreakFlow(f.id, simulation.Cut)
			}
		})
	}
	b.flows, b.established = nil, nil
}

// sortedFlows returns the flows that match in the order of their IDs, so that map iteration does not make a run depend on chance.
func sortedFlows(flows map[simulation.FlowID]*flow, matches func(*flow) bool) (found []*flow) {
	for _, f := range flows {
		if matches(f) {
			found = append(found, f)
		}
	}
	slices.SortFunc(found, func(a, b *flow) int { return cmp.Compare(a.id, b.id) })
	return found
}

// whileRunning wraps an action so that it is skipped if the balancer has ended or restarted since.
func (b *balancer) whileRunning(do func()) func() {
	incarnation := b.incarnation
	return func() {
		if b.isUp && b.incarnation == incarnation {
			do()
		}
	}
}

// decide returns the decider with its clock set to the current time.
func (b *balancer) decide() Decider {
	b.decider.SetTime(b.driver.world.Schedule.Now() - b.startedAt)
	return b.decider
}

func (b *balancer) event(kind invariants.Kind) invariants.Event {
	return invariants.Event{Kind: kind, Balancer: invariants.Balancer(b.id)}
}

func (b *balancer) flowEvent(kind invariants.Kind, id simulation.FlowID) invariants.Event {
	e := b.event(kind)
	e.Flow = invariants.Flow(id)
	return e
}

func (b *balancer) connectEvent(kind invariants.Kind, c *connect) invariants.Event {
	e := b.flowEvent(kind, c.flow.id)
	e.Connect = invariants.Connect(c.id)
	return e
}
