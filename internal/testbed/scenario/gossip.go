package scenario

import (
	"fmt"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/virtual"
)

const (
	gossipInterval = 250 * time.Millisecond

	// gossipDelay is the time from a record's publication until all other balancers have it, which this model takes as fixed. According to
	// the command testbed spread, a record reaches half of a fleet of several hundred balancers in this time.
	gossipDelay = 600 * time.Millisecond
)

// gossip replaces the gossip protocol between balancers in virtual time: a published record reaches all others after a fixed delay. Variable
// delays and losses of gossip are covered by the commands testbed spread and testbed fleet.
type gossip struct {
	world        *simulation.World
	exchanges    map[simulation.BalancerID]*signals.Exchange
	incarnations map[simulation.BalancerID]signals.Incarnation
	isScheduled  bool
}

// newSignalDeciders creates the deciders of a day on which balancers exchange signals.
func newSignalDeciders(d *experiment.Day) virtual.NewDecider {
	g := &gossip{
		world:        d.World,
		exchanges:    map[simulation.BalancerID]*signals.Exchange{},
		incarnations: map[simulation.BalancerID]signals.Incarnation{},
	}
	return func(seed uint64, id simulation.BalancerID, act decide.Actions) virtual.Decider {
		settings := config.FromPairs(d.Settings(id))
		return newConstrainedDecider(seed, act, g.newExchange(id, settings), settings)
	}
}

// newExchange creates the signal exchange of a balancer that starts, with a new incarnation.
func (g *gossip) newExchange(id simulation.BalancerID, settings config.Values) *signals.Exchange {
	g.incarnations[id]++
	exchange := signals.New(signals.Config{
		Origin:           signals.Origin(fmt.Sprintf("b%d", id)),
		Incarnation:      g.incarnations[id],
		LatencyThreshold: config.LatencyThreshold(settings),
		SetupLimit:       config.MinSetupTarget(settings),
		Enabled:          true,
	})
	g.exchanges[id] = exchange
	if !g.isScheduled {
		g.isScheduled = true
		g.world.Schedule.After(gossipInterval, simulation.Measure, g.publish)
	}
	return exchange
}

// publish collects the records that are due from the running balancers and schedules their delivery. It goes by the order of balancer IDs,
// so that map iteration does not make a run depend on chance.
func (g *gossip) publish() {
	now := g.world.Schedule.Now()
	for id, b := range g.world.Balancers {
		exchange := g.exchanges[simulation.BalancerID(id)]
		if exchange == nil || !b.IsUp {
			continue
		}
		exchange.SetTime(now)
		if record, isDue := exchange.Publish(len(g.world.Balancers)); isDue {
			g.world.Schedule.After(gossipDelay, simulation.ListUpdate, func() { g.deliver(exchange, record) })
		}
	}
	if now+gossipInterval <= g.world.Accounting.Length {
		g.world.Schedule.After(gossipInterval, simulation.Measure, g.publish)
	}
}

// deliver merges a record at all running balancers except its publisher.
func (g *gossip) deliver(from *signals.Exchange, record signals.Record) {
	for id, b := range g.world.Balancers {
		if to := g.exchanges[simulation.BalancerID(id)]; to != nil && to != from && b.IsUp {
			to.SetTime(g.world.Schedule.Now())
			to.Merge(record)
		}
	}
}
