package locality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// Reasons of objections.
const (
	reasonUnavailable constraints.Reason = "the hall is lost"
	reasonRecovering  constraints.Reason = "the hall returns in steps"
	reasonWarmingUp   constraints.Reason = "a cold server of another hall"
	reasonSpill       constraints.Reason = "the spill into the hall is used up"
	reasonSurge       constraints.Reason = "the own hall grows too fast"
	reasonFailback    constraints.Reason = "moves home are used up"
)

// ServerCost excludes the servers of localities that take no flows now, and adds a cost for each tier.
func (p *Policy) ServerCost(id decide.FlowID, target decide.ServerID) (float64, constraints.Reason) {
	s := p.servers[target]
	if s == nil {
		return 0, ""
	}
	l := s.locality
	extra := tierCost * float64(l.tier)
	if f := p.flows[id]; f != nil && f.server != nil && f.server.locality == l {
		return extra, "" // the flow is in the locality already
	}
	if why := p.objectionByState(l); why != "" {
		return 0, why
	}
	if why := p.objectionByTier(s); why != "" {
		return 0, why
	}
	return extra, ""
}

// objectionByState returns why a locality takes no flows in its present state; empty: it takes them.
func (p *Policy) objectionByState(l *locality) constraints.Reason {
	switch l.state {
	case Unavailable:
		if !p.mayProbe(l) {
			return reasonUnavailable
		}
	case Recovering:
		if p.isRecoveryStepFull(l) {
			return reasonRecovering
		}
	}
	return ""
}

// objectionByTier returns why the limits on a server's tier keep flows from the server; empty: they do not. Servers that
// are warming up are left to the balancers for which they are in the nearest tier.
func (p *Policy) objectionByTier(s *server) constraints.Reason {
	l := s.locality
	if l.tier == 0 {
		if p.exceedsSurge() {
			return reasonSurge
		}
		return ""
	}
	if s.isWarmingUp(p.now, p.config.WarmUp) {
		return reasonWarmingUp
	}
	if float64(l.ownFlows)+l.randomRounding >= p.SpillLimit(l.name) {
		return reasonSpill
	}
	return ""
}

// RetryAfter adds jitter, so that the clients of rejected flows do not all retry at the same time.
func (p *Policy) RetryAfter(_ decide.FlowID, preset time.Duration) time.Duration {
	if p.config.RetryAfter == 0 {
		return preset
	}
	return p.jitter(p.config.RetryAfter)
}

// AllowMigration limits the rate of migrations of spilled flows to a nearer tier.
func (p *Policy) AllowMigration(id decide.FlowID) constraints.Reason {
	if p.isSpilled(p.flows[id]) && p.failbackTokens < 1 {
		return reasonFailback
	}
	return ""
}

// isSpilled reports whether a flow is at a server outside the nearest tier.
func (p *Policy) isSpilled(f *flow) bool {
	return f != nil && f.server != nil && f.server.locality.tier > 0
}

// MigrateFirst returns a few flows that a nearer tier could take: first those of the group with the flow that was
// established earliest.
func (p *Policy) MigrateFirst() []decide.FlowID {
	if p.failbackTokens < 1 {
		return nil
	}
	nearest := p.nearestTier()
	var first []decide.FlowID
	oldest := map[decide.GroupKey]time.Duration{}
	for id, f := range p.flows {
		if !f.isEstablished || f.server == nil || f.server.locality.tier <= nearest {
			continue
		}
		first = append(first, id)
		if at, ok := oldest[f.group]; !ok || f.establishedAt < at {
			oldest[f.group] = f.establishedAt
		}
	}
	slices.SortFunc(first, func(one, other decide.FlowID) int {
		x, y := p.flows[one], p.flows[other]
		return cmp.Or(
			cmp.Compare(oldest[x.group], oldest[y.group]),
			cmp.Compare(x.group, y.group),
			cmp.Compare(x.establishedAt, y.establishedAt),
			cmp.Compare(one, other),
		)
	})
	return first[:min(len(first), int(maxFailbackTokens)+2)]
}

// nearestTier returns the nearest tier that takes flows.
func (p *Policy) nearestTier() int {
	nearest := math.MaxInt
	for _, l := range p.ordered {
		if l.ready > 0 && l.state != Unavailable {
			nearest = min(nearest, l.tier)
		}
	}
	return nearest
}
