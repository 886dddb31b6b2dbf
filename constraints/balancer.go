package constraints

import (
	"time"

	"yardwinch/decide"
)

// trackedFlow is a flow that may still have events.
type trackedFlow struct {
	explanation   *Explanation
	server        decide.ServerID // server of the last attempt
	isEstablished bool
	isOutstanding bool // its last attempt, or its connection, has not ended
}

// interventionKey identifies a count: how often a constraint objected, or added a cost, for one reason.
type interventionKey struct {
	constraint string
	reason     Reason
}

// ConstrainedBalancer is a decide.Balancer whose decisions constraints restrict.
type ConstrainedBalancer struct {
	balancer      *decide.Balancer
	actions       decide.Actions
	constraints   []Constraint
	now           time.Duration
	flows         map[decide.FlowID]*trackedFlow
	zones         map[decide.ServerID]decide.Zone
	listed        map[decide.ServerID]listing
	explanations  explanationRing
	interventions map[interventionKey]int
	nextName      string // name that the client gave to the next flow
}

// New wraps a new decide.Balancer, which configure sets up. The constraints are queried in the order given. If one of
// them objects, its objection is recorded and those after it are not queried; extra costs add up; the longest
// Retry-After is used.
func New(seed uint64, actions decide.Actions, constraints []Constraint, configure func(*decide.Balancer)) *ConstrainedBalancer {
	b := &ConstrainedBalancer{
		actions:       actions,
		constraints:   constraints,
		flows:         map[decide.FlowID]*trackedFlow{},
		zones:         map[decide.ServerID]decide.Zone{},
		listed:        map[decide.ServerID]listing{},
		interventions: map[interventionKey]int{},
	}
	b.balancer = decide.New(seed, observedActions{b})
	b.balancer.SetConstraints(queries{b})
	configure(b.balancer)
	return b
}

// NameNextFlow sets the name that the client gave to the next flow, by which Explain finds that flow.
func (b *ConstrainedBalancer) NameNextFlow(name string) { b.nextName = name }

// track begins to track a flow and its explanation.
func (b *ConstrainedBalancer) track(request decide.FlowRequest) *trackedFlow {
	flow := &trackedFlow{explanation: &Explanation{
		Flow:      request.ID,
		Name:      b.nextName,
		ArrivedAt: b.now.Seconds(),
		Group:     request.Group,
	}}
	b.nextName = ""
	b.explanations.add(flow.explanation)
	b.flows[request.ID] = flow
	return flow
}

func (b *ConstrainedBalancer) remove(id decide.FlowID) {
	if b.flows[id] == nil {
		return
	}
	delete(b.flows, id)
	for _, constraint := range b.constraints {
		constraint.OnFlowRemoved(id)
	}
}

// SetTime sets the time of the calls that follow.
func (b *ConstrainedBalancer) SetTime(now time.Duration) {
	b.now = now
	for _, constraint := range b.constraints {
		constraint.SetTime(now)
	}
	b.balancer.SetTime(now)
}

// OnFlow handles a new flow.
func (b *ConstrainedBalancer) OnFlow(request decide.FlowRequest) {
	b.track(request)
	for _, constraint := range b.constraints {
		constraint.OnFlow(request)
	}
	b.balancer.OnFlow(request)
}

// AdoptFlow takes over a connection that is already established at a server.
func (b *ConstrainedBalancer) AdoptFlow(request decide.FlowRequest, server decide.ServerID) {
	flow := b.track(request)
	flow.server = server
	flow.isEstablished = true
	flow.isOutstanding = true
	flow.explanation.Answer = answeredBeforeStart
	flow.explanation.Attempts = []Attempt{{Server: server, Zone: b.zones[server]}}
	for _, constraint := range b.constraints {
		constraint.OnFlow(request)
		constraint.OnAttempt(request.ID, server)
		constraint.OnEstablished(request.ID, server, AdoptedFlow)
	}
	b.balancer.AdoptFlow(request, server)
}

// OnEstablished handles an attempt that was established; took is its set-up time.
func (b *ConstrainedBalancer) OnEstablished(id decide.FlowID, took time.Duration) {
	if flow := b.flows[id]; flow != nil && flow.isOutstanding {
		flow.isEstablished = true
		flow.explanation.Answer = answeredEstablished
		for _, constraint := range b.constraints {
			constraint.OnEstablished(id, flow.server, took)
		}
	}
	b.balancer.OnEstablished(id, took)
}

// OnEnded handles the end of an attempt or a connection; took is how long it lasted. If isAnswered is false, the client
// still waits for its answer.
func (b *ConstrainedBalancer) OnEnded(id decide.FlowID, outcome decide.Outcome, took time.Duration, isAnswered bool) {
	flow := b.flows[id]
	if flow != nil && flow.isOutstanding {
		flow.isOutstanding = false
		flow.explanation.endAttempt(outcome)
		for _, constraint := range b.constraints {
			constraint.OnEnded(id, flow.server, outcome, flow.isEstablished)
		}
	}
	wasEstablished := flow != nil && flow.isEstablished
	b.balancer.OnEnded(id, outcome, took, isAnswered)
	if isAnswered || wasEstablished {
		b.remove(id)
	}
}

// OnClientLeft handles the departure of a flow's client.
func (b *ConstrainedBalancer) OnClientLeft(id decide.FlowID) {
	if flow := b.flows[id]; flow != nil && flow.explanation.Answer == "" {
		flow.explanation.Answer = answeredClientLeft
	}
	b.balancer.OnClientLeft(id)
	if flow := b.flows[id]; flow != nil && !flow.isOutstanding {
		b.remove(id)
	}
}

// OnFlowLoad handles a report of a connection's load.
func (b *ConstrainedBalancer) OnFlowLoad(id decide.FlowID) { b.balancer.OnFlowLoad(id) }

// OnLatencySample handles a sample of the message latency at the flow's server.
func (b *ConstrainedBalancer) OnLatencySample(id decide.FlowID, took time.Duration) {
	if flow := b.flows[id]; flow != nil && flow.isEstablished {
		for _, constraint := range b.constraints {
			constraint.OnLatencySample(flow.server, took)
		}
	}
	b.balancer.OnLatencySample(id, took)
}

// OnHealthCheck handles the result of a health check.
func (b *ConstrainedBalancer) OnHealthCheck(server decide.ServerID, outcome decide.Outcome) {
	b.balancer.OnHealthCheck(server, outcome)
}

// OnLoadReport handles a server's own report of its load, as a share of its capacity.
func (b *ConstrainedBalancer) OnLoadReport(server decide.ServerID, load float64) {
	for _, constraint := range b.constraints {
		constraint.OnLoadReport(server, load)
	}
	b.balancer.OnLoadReport(server, load)
}

// SetHandedOver sets whether a successor continues from a snapshot of this instance; false: the successor has
// ended.
func (b *ConstrainedBalancer) SetHandedOver(handedOver bool) { b.balancer.SetHandedOver(handedOver) }

// OnTimer handles the expiry of a timer that decide set.
func (b *ConstrainedBalancer) OnTimer(timer decide.TimerID) { b.balancer.OnTimer(timer) }
