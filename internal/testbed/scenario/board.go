package scenario

import (
	"fmt"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
	"yardwinch/fleet/signals"
	"yardwinch/internal/config"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/virtual"
)

const (
	boardTell = 250 * time.Millisecond
	boardLag  = 600 * time.Millisecond // from one balancer to all: what half of a fleet of some hundred takes, see testbed spread
)

// board stands in virtual time for the gossip between balancers: what one tells reaches all others a while later. testbed spread and yard
// fleet play what goes wrong on the way.
type board struct {
	w    *simulation.World
	all  map[simulation.BalancerID]*signals.Exchange
	last map[simulation.BalancerID]signals.Incarnation
	runs bool
}

// tells makes the deciders of a day on which balancers tell each other what they see.
func tells(d *experiment.Day) virtual.Maker {
	b := &board{w: d.World, all: map[simulation.BalancerID]*signals.Exchange{}, last: map[simulation.BalancerID]signals.Incarnation{}}
	return func(seed uint64, id simulation.BalancerID, act decide.Actions) virtual.Decider {
		g := config.FromPairs(d.Settings(id))
		b.last[id]++
		s := signals.New(signals.Config{Origin: signals.Origin(fmt.Sprintf("b%d", id)), Incarnation: b.last[id], LatencyThreshold: config.MessageTarget(g) / 3, SetupLimit: config.MinSetupTarget(g), Enabled: true})
		b.all[id] = s
		if !b.runs {
			b.runs = true
			b.w.Agenda.After(boardTell, simulation.Book, b.tell)
		}
		return constraints.New(seed, act, []constraints.Constraint{s}, func(dec *decide.Balancer) { config.ConfigureBalancer(g, dec) })
	}
}

func (b *board) tell() {
	now := b.w.Agenda.Now()
	for i := range b.w.Balancers { // in order: chance must not come from a map
		id := simulation.BalancerID(i)
		s := b.all[id]
		if s == nil || !b.w.Balancers[id].Up {
			continue
		}
		s.SetTime(now)
		r, due := s.Publish(len(b.w.Balancers))
		if !due {
			continue
		}
		b.w.Agenda.After(boardLag, simulation.News, func() {
			for k := range b.w.Balancers {
				if o := b.all[simulation.BalancerID(k)]; o != nil && o != s && b.w.Balancers[k].Up {
					o.SetTime(b.w.Agenda.Now())
					o.Merge(r)
				}
			}
		})
	}
	if now+boardTell <= b.w.Books.Length {
		b.w.Agenda.After(boardTell, simulation.Book, b.tell)
	}
}
