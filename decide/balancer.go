package decide

import "time"

// Balancer is one instance: the concerns, each owning its state, and what they share.
type Balancer struct {
	actions     Actions
	now         time.Duration
	random      pcg
	constraints Constraints // nil: none

	flows         flowTable
	tallies       tallies
	admission     admission
	placement     placementCosts
	health        health
	slowStart     slowStart
	list          endpointList
	services      []ServiceType
	customerFlows map[CustomerID]int // established flows of each customer
}

// New returns a Balancer that knows no settings and no servers yet. The seed starts its random generator.
func New(seed uint64, actions Actions) *Balancer {
	b := &Balancer{actions: actions, random: seeded(seed)}
	b.flows.byID = map[FlowID]*flow{}
	b.tallies.holders = map[GroupKey][]*serverState{}
	b.list.byID = map[ServerID]*serverState{}
	b.customerFlows = map[CustomerID]int{}
	b.actions.SetTimer(tickTimer, tickInterval)
	return b
}

// SetTime sets the time of the calls that follow, on a clock of any start. All times that a Balancer is told are on it.
func (b *Balancer) SetTime(now time.Duration) { b.now = now }

// SetConstraints sets the constraints within which decisions choose; without it there are none.
func (b *Balancer) SetConstraints(constraints Constraints) { b.constraints = constraints }
