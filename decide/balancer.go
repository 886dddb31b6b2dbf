package decide

import "time"

// Balancer makes the decisions of one balancer. Each concern keeps its own state; the other fields are shared.
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

// New returns a Balancer without settings or servers. The seed initializes its random number generator.
func New(seed uint64, actions Actions) *Balancer {
	b := &Balancer{actions: actions, random: seeded(seed)}
	b.flows.byID = map[FlowID]*flow{}
	b.tallies.holders = map[GroupKey][]*serverState{}
	b.list.byID = map[ServerID]*serverState{}
	b.customerFlows = map[CustomerID]int{}
	b.actions.SetTimer(tickTimer, tickInterval)
	return b
}

// SetTime sets the time of the calls that follow, on a clock with any origin. All times passed to a Balancer are on this
// clock.
func (b *Balancer) SetTime(now time.Duration) { b.now = now }

// SetConstraints sets the constraints on decisions; the default is none.
func (b *Balancer) SetConstraints(constraints Constraints) { b.constraints = constraints }
