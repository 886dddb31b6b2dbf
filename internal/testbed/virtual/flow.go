package virtual

import (
	"slices"
	"strconv"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

const (
	networkAllowance = 5 * time.Millisecond // subtracted from a client's timeout for the network delays to and from the balancer
	flowIDBase       = 36                   // numeral base of a decider's flow IDs
)

// flow is one attempt of a client at a balancer.
type flow struct {
	id          simulation.FlowID
	decideID    decide.FlowID
	balancer    *balancer
	deadline    time.Duration
	outstanding []*connect
	established *connect // nil while no connect is established
	sentCount   int
	isAnswered  bool
	clientLeft  bool
}

// Effects and scopes of idempotency keys by their values in settings.
var (
	effects = map[string]invariants.Effect{
		"free":        invariants.Idempotent,
		"guarded":     invariants.IdempotentByKey,
		"single_shot": invariants.NotIdempotent,
	}
	keyScopes = map[string]invariants.KeyScope{
		"all":  invariants.AllServers,
		"zone": invariants.ZoneServers,
		"cell": invariants.CellServers,
	}
)

func decideFlowID(id simulation.FlowID) decide.FlowID {
	return decide.FlowID(strconv.FormatInt(int64(id), flowIDBase))
}

// flow finds a flow by its decide.FlowID; nil where the balancer has none.
func (b *balancer) flow(name decide.FlowID) *flow {
	id, err := strconv.ParseInt(string(name), flowIDBase, 64)
	if err != nil {
		return nil
	}
	return b.flows[simulation.FlowID(id)]
}

// OpenFlow delivers a client's attempt to a balancer.
func (d *Driver) OpenFlow(attempt simulation.Attempt) {
	b := d.balancers[attempt.Balancer]
	request := newFlowRequest(attempt)
	d.afterClientDelay(func() {
		switch {
		case !b.isUp:
			d.afterClientDelay(func() { d.world.AnswerFlow(attempt.Flow, simulation.NoBalancer, 0) })
		case d.world.Client(attempt.Flow) != nil: // the client has not left meanwhile
			b.acceptFlow(attempt, request)
		}
	})
}

// newFlowRequest returns a decider's request for an attempt, without the timeout.
func newFlowRequest(attempt simulation.Attempt) decide.FlowRequest {
	flags := 0
	if attempt.IsRetry {
		flags |= decide.FlagRetry
	}
	if attempt.IsReturning {
		flags |= decide.FlagReturning
	}
	c := attempt.Client
	return decide.FlowRequest{ID: decideFlowID(attempt.Flow), Service: decide.ServiceID(c.Service), Customer: decide.CustomerID(c.Customer),
		Group: decide.GroupKey(experiment.GroupName(c.Group)), Flags: flags}
}

func (b *balancer) acceptFlow(attempt simulation.Attempt, request decide.FlowRequest) {
	d := b.driver
	now := d.world.Schedule.Now()
	f := &flow{id: attempt.Flow, decideID: request.ID, balancer: b, deadline: now + attempt.Timeout - networkAllowance}
	d.flows[f.id], b.flows[f.id] = f, f
	service := d.world.Services[request.Service]
	e := b.flowEvent(invariants.FlowAccepted, f.id)
	e.Deadline, e.Effect, e.KeyScope, e.KeyWindow = now+attempt.Timeout, effects[service.Effect], keyScopes[service.DeduplicationScope], service.DeduplicationWindow
	d.observe(e)
	request.Timeout = f.deadline - now
	b.decide().OnFlow(request)
}

// AdoptFlow adds to a balancer a flow that is established when the day begins.
func (d *Driver) AdoptFlow(id simulation.FlowID, client *simulation.Client, to simulation.BalancerID, conn simulation.ConnID,
	server simulation.ServerID) {
	b := d.balancers[to]
	f := &flow{id: id, decideID: decideFlowID(id), balancer: b, isAnswered: true, sentCount: 1}
	c := &connect{id: conn, flow: f, server: server, state: established, sentAt: d.world.Schedule.Now()}
	f.outstanding, f.established = []*connect{c}, c
	d.flows[id], b.flows[id], d.connects[conn] = f, f, c
	b.established[server] = append(b.established[server], f)
	request := newFlowRequest(simulation.Attempt{Flow: id, Client: client})
	b.decide().AdoptFlow(request, d.decideServerID(server))
}

// LeaveFlow tells a balancer that the client has ended its flow.
func (d *Driver) LeaveFlow(id simulation.FlowID) {
	d.afterClientDelay(func() {
		if f := d.flows[id]; f != nil && !f.clientLeft {
			f.balancer.leaveFlow(f)
		}
	})
}

func (b *balancer) leaveFlow(f *flow) {
	f.clientLeft = true
	b.driver.observe(b.flowEvent(invariants.ClientLeft, f.id))
	if f.established != nil {
		b.endConnect(f.established, decide.OK)
		return
	}
	if !f.isAnswered {
		b.decide().OnClientLeft(f.decideID)
	}
	for _, c := range slices.Clone(f.outstanding) {
		b.endConnect(c, decide.Cancelled)
	}
	b.forget(f)
}

// forget removes a flow, unless it has outstanding connects.
func (b *balancer) forget(f *flow) {
	if len(f.outstanding) == 0 {
		delete(b.driver.flows, f.id)
		delete(b.flows, f.id)
	}
}
