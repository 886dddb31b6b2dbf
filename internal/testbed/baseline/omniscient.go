package baseline

import (
	"math"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
)

const (
	maxLoadScore    = 0.95                   // upper bound of a server's load score, with the flow that is being placed
	overloadedFrom  = 1.05                   // load score above which flows are migrated away
	maxStoreWait    = 0.25                   // in seconds; a longer wait for the store rejects flows
	reliefInterval  = 250 * time.Millisecond // between migrations away from overloaded and dead servers
	reliefTimer     = decide.TimerID(1)
	reliefShare     = 0.4  // part of the excess load that is migrated at each interval
	maxReliefShare  = 0.5  // upper bound of the share of a server's flows that is migrated at each interval
	deadServerShare = 0.25 // share of a dead server's flows that is migrated at each interval
	setupLoadFactor = 2    // multiple of a group's load that a new flow is counted with, as its set-up costs as much again; also the weight of QueueDelay
)

// leastCost is the rule that uses the true state of all servers and of the store, including the load that other balancers send. It chooses
// the server with the lowest placementCost, which prefers one that has the flow's group, and keeps starting servers within their budget. It
// rejects a flow where the store or all servers are too busy, as the flow would delay others.
func leastCost(p *Policy, f *flow, ready []*server) *server {
	if p.World.StoreWait() > maxStoreWait {
		return nil
	}
	var best *server
	least := math.Inf(1)
	group := p.GroupOf(f.group)
	for _, s := range ready {
		if cost, ok := p.placementCost(p.ServerOf(s.id), group); ok && cost < least {
			best, least = s, cost
		}
	}
	return best
}

// placementCost is the cost of placing a flow of a group on a server: the server's load score, and the load that the group adds and the
// queueing delay, both weighted by setupLoadFactor. The queueing delay thus counts in addition to its part of the load score. ok is false
// where the server can't take the flow.
func (p *Policy) placementCost(s *simulation.Server, group simulation.GroupID) (cost float64, ok bool) {
	if !s.IsServing() || s.SlowStartBudget() < setupLoadFactor*s.GroupLoad {
		return 0, false
	}
	score, added := loadScore(s), 0.0
	if !s.HoldsGroup(group) {
		added = s.GroupLoad / s.CurrentCapacity()
	}
	if score+added > maxLoadScore {
		return 0, false
	}
	return score + setupLoadFactor*added + setupLoadFactor*s.QueueDelay(), true
}

// loadScore is a server's demand divided by its capacity, plus its queueing delay in seconds. The demand includes a group's load for
// each connection that is being set up.
func loadScore(s *simulation.Server) float64 {
	settingUp := float64(s.ConnectionCount()-s.Established()) * s.GroupLoad
	return (s.Demand()+settingUp)/s.CurrentCapacity() + s.QueueDelay()
}

// migrateFromOverloaded migrates a share of the balancer's own flows from overloaded and dead servers. The balancers don't coordinate: each
// migrates this share of its own flows.
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

// reliefShares returns the share of its flows that each overloaded or dead server is to lose.
func (p *Policy) reliefShares() map[*server]float64 {
	shares := map[*server]float64{}
	for _, s := range p.servers {
		actual := p.ServerOf(s.id)
		switch {
		case !actual.IsServing():
			if s.connections > 0 {
				shares[s] = deadServerShare
			}
		case s.readiness == decide.Ready:
			if score := loadScore(actual); score > overloadedFrom {
				shares[s] = min(maxReliefShare, (score-maxLoadScore)/score*reliefShare)
			}
		}
	}
	return shares
}
