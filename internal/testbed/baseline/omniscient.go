package baseline

import (
	"math"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
)

const (
	maxUtilization     = 0.95 // that a flow may bring a server to
	overloadedFrom     = 1.05 // utilization from which flows are migrated away
	maxStoreWait       = 0.25 // seconds
	reliefInterval     = 250 * time.Millisecond
	reliefTimer        = decide.TimerID(1)
	reliefShare        = 0.4 // of the excess, at each interval
	maxReliefShare     = 0.5 // of a server's flows, at each interval
	deadServerShare    = 0.25
	setupLoadAllowance = 2 // times the load of a group, as a set-up costs as much again
)

// omniscient sees the true state of all servers, of the store and of what others send. It takes the server that is left with most to
// spare, pays for a group once where it can, keeps starting servers within what they can bear and rejects what would make others late.
func omniscient(p *Policy, f *flow, ready []*server) *server {
	if p.World.StoreWait() > maxStoreWait {
		return nil
	}
	var best *server
	least := math.Inf(1)
	group := p.GroupOf(f.group)
	for _, s := range ready {
		if cost, ok := p.costOn(p.ServerOf(s.id), group); ok && cost < least {
			best, least = s, cost
		}
	}
	return best
}

// costOn is what a flow of a group would cost on a server; not ok where the server can't bear it.
func (p *Policy) costOn(s *simulation.Server, group simulation.GroupID) (cost float64, ok bool) {
	if !s.IsServing() || s.SlowStartBudget() < setupLoadAllowance*s.GroupLoad {
		return 0, false
	}
	utilization, added := utilization(s), 0.0
	if !s.HoldsGroup(group) {
		added = s.GroupLoad / s.CurrentCapacity()
	}
	if utilization+added > maxUtilization {
		return 0, false
	}
	return utilization + setupLoadAllowance*added + setupLoadAllowance*s.QueueDelay(), true
}

// utilization is what a server is asked for over its capacity. What is being set up there counts as established.
func utilization(s *simulation.Server) float64 {
	settingUp := float64(s.ConnectionCount()-s.Established()) * s.GroupLoad
	return (s.Demand()+settingUp)/s.CurrentCapacity() + s.QueueDelay()
}

// migrateFromOverloaded migrates a part of the flows on overloaded and dead servers. Each balancer does its part.
func (p *Policy) migrateFromOverloaded() {
	p.act.SetTimer(reliefTimer, reliefInterval)
	shares := p.reliefShares()
	if len(shares) == 0 {
		return
	}
	var affected []decide.FlowID
	for id, f := range p.flows {
		if f.established && shares[f.server] > 0 {
			affected = append(affected, id)
		}
	}
	slices.Sort(affected)
	for _, id := range affected {
		if p.random.Float64() < shares[p.flows[id].server] {
			p.act.Migrate(id)
		}
	}
}

// reliefShares are the shares of their flows that servers are to lose.
func (p *Policy) reliefShares() map[*server]float64 {
	shares := map[*server]float64{}
	for _, s := range p.servers {
		actual := p.ServerOf(s.id)
		switch {
		case !actual.IsServing():
			if s.open > 0 {
				shares[s] = deadServerShare
			}
		case s.readiness == decide.Ready:
			if u := utilization(actual); u > overloadedFrom {
				shares[s] = min(maxReliefShare, (u-maxUtilization)/u*reliefShare)
			}
		}
	}
	return shares
}
