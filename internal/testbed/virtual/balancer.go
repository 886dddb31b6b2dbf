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
	drainStart    = 400 * time.Millisecond // after the signal to stop, clients are asked to reconnect
	drainMargin   = 600 * time.Millisecond // so long before the end of the process, all have been asked
	drainInterval = 50 * time.Millisecond
)

// balancer is one balancer's process, through its restarts.
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

// StopBalancer has a balancer ask its clients to reconnect, spread evenly, from a little after the signal until shortly before its end,
// as the program does. Clients that come meanwhile are served and asked in turn.
func (d *Driver) StopBalancer(id simulation.BalancerID) {
	b := d.balancers[id]
	until := d.world.Schedule.Now() + d.world.StopWithin() - drainMargin
	var drain func()
	step := b.whileRunning(func() { drain() })
	drain = func() {
		open := sorted(b.flows, func(f *flow) bool { return f.established != nil && !f.clientLeft })
		stepsLeft := max(1, int((until-d.world.Schedule.Now())/drainInterval))
		for _, f := range open[:(len(open)+stepsLeft-1)/stepsLeft] {
			b.endConnect(f.established, decide.Cancelled)
		}
		d.world.Schedule.After(drainInterval, simulation.Wake, step)
	}
	d.world.Schedule.After(drainStart, simulation.Wake, step)
}

// KillBalancer ends a balancer at once.
func (d *Driver) KillBalancer(id simulation.BalancerID) {
	b := d.balancers[id]
	b.isUp = false
	d.observe(b.event(invariants.BalancerDied))
	for _, f := range sorted(b.flows, func(*flow) bool { return true }) {
		for _, c := range f.outstanding {
			c.transition(over)
			delete(d.connects, c.id)
			d.closeAtServer(c)
		}
		delete(d.flows, f.id)
		clientLeft := f.clientLeft
		d.sendToClient(func() {
			if !clientLeft {
				d.world.BreakFlow(f.id, simulation.Cut)
			}
		})
	}
	b.flows, b.established = nil, nil
}

// sorted has the flows that match in the order of their ids, as the order of a map must not decide anything.
func sorted(flows map[simulation.FlowID]*flow, matches func(*flow) bool) (found []*flow) {
	for _, f := range flows {
		if matches(f) {
			found = append(found, f)
		}
	}
	slices.SortFunc(found, func(a, b *flow) int { return cmp.Compare(a.id, b.id) })
	return found
}

// whileRunning is something that doesn't happen if the balancer has ended or restarted meanwhile.
func (b *balancer) whileRunning(do func()) func() {
	incarnation := b.incarnation
	return func() {
		if b.isUp && b.incarnation == incarnation {
			do()
		}
	}
}

// decide is the decider with its clock set to now.
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
