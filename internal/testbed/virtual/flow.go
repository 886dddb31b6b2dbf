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
	lineAllowance = 5 * time.Millisecond // a balancer keeps this much of a client's timeout for the way there and back
	flowIDBase    = 36                   // of flow ids as deciders have them
)

// flow is one attempt of a client at a balancer.
type flow struct {
	id          simulation.FlowID
	name        decide.FlowID
	balancer    *balancer
	deadline    time.Duration
	outstanding []*connect
	established *connect // nil until one is
	sentCount   int
	isAnswered  bool
	clientLeft  bool
}

// The words of settings for effects and for the scopes of idempotency keys.
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

func flowName(id simulation.FlowID) decide.FlowID {
	return decide.FlowID(strconv.FormatInt(int64(id), flowIDBase))
}

// flow finds a flow by the decider's name for it; nil where the balancer has none.
func (b *balancer) flow(name decide.FlowID) *flow {
	id, err := strconv.ParseInt(string(name), flowIDBase, 64)
	if err != nil {
		return nil
	}
	return b.flows[simulation.FlowID(id)]
}

// OpenFlow brings a client's attempt to a balancer.
func (d *Driver) OpenFlow(attempt simulation.Attempt) {
	b := d.balancers[attempt.Balancer]
	request := requestOf(attempt)
	d.sendToClient(func() {
		switch {
		case !b.isUp:
			d.sendToClient(func() { d.world.AnswerFlow(attempt.Flow, simulation.NoBalancer, 0) })
		case d.world.Client(attempt.Flow) != nil: // it has not left meanwhile
			b.acceptFlow(attempt, request)
		}
	})
}

// requestOf is an attempt as a decider has it, but for its timeout.
func requestOf(attempt simulation.Attempt) decide.FlowRequest {
	flags := 0
	if attempt.IsRetry {
		flags |= decide.FlagRetry
	}
	if attempt.IsReturning {
		flags |= decide.FlagReturning
	}
	c := attempt.Client
	return decide.FlowRequest{ID: flowName(attempt.Flow), Service: decide.ServiceID(c.Service), Customer: decide.CustomerID(c.Customer),
		Group: decide.GroupKey(experiment.GroupName(c.Group)), Flags: flags}
}

func (b *balancer) acceptFlow(attempt simulation.Attempt, request decide.FlowRequest) {
	d := b.driver
	now := d.world.Schedule.Now()
	f := &flow{id: attempt.Flow, name: request.ID, balancer: b, deadline: now + attempt.Timeout - lineAllowance}
	d.flows[f.id], b.flows[f.id] = f, f
	service := d.world.Services[request.Service]
	e := b.flowEvent(invariants.FlowAccepted, f.id)
	e.Deadline, e.Effect, e.KeyScope, e.KeyWindow = now+attempt.Timeout, effects[service.Effect], keyScopes[service.Group], service.Window
	d.observe(e)
	request.Timeout = f.deadline - now
	b.decide().OnFlow(request)
}

// AdoptFlow gives a balancer a flow that is established when the day begins.
func (d *Driver) AdoptFlow(id simulation.FlowID, client *simulation.Client, to simulation.BalancerID, conn simulation.ConnID,
	server simulation.ServerID) {
	b := d.balancers[to]
	f := &flow{id: id, name: flowName(id), balancer: b, isAnswered: true, sentCount: 1}
	c := &connect{id: conn, flow: f, server: server, state: established, sentAt: d.world.Schedule.Now()}
	f.outstanding, f.established = []*connect{c}, c
	d.flows[id], b.flows[id], d.connects[conn] = f, f, c
	b.established[server] = append(b.established[server], f)
	request := requestOf(simulation.Attempt{Flow: id, Client: client})
	b.decide().AdoptFlow(request, d.decideID(server))
}

// LeaveFlow ends a client's flow at its balancer.
func (d *Driver) LeaveFlow(id simulation.FlowID) {
	d.sendToClient(func() {
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
		b.decide().OnClientLeft(f.name)
	}
	for _, c := range slices.Clone(f.outstanding) {
		b.endConnect(c, decide.Cancelled)
	}
	b.forget(f)
}

// forget drops a flow that has no connect any more.
func (b *balancer) forget(f *flow) {
	if len(f.outstanding) == 0 {
		delete(b.driver.flows, f.id)
		delete(b.flows, f.id)
	}
}
