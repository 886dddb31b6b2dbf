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

type flow struct {
	id       simulation.FlowID
	name     decide.FlowID
	in       *instance
	due      time.Duration
	out      []*connect
	sent     int
	answered bool
	left     bool
	stands   *connect
}

// OpenFlow brings a client's flow to a balancer.
func (dr *Drive) OpenFlow(f simulation.FlowID, c *simulation.Client, to simulation.BalancerID, left time.Duration, repeat, back bool) {
	in := dr.inst[to]
	service, customer, group := c.Service, c.Customer, c.Group
	dr.w.Schedule.After(dr.w.Network.Client, simulation.Message, func() {
		if !in.up {
			dr.w.Schedule.After(dr.w.Network.Client, simulation.Message, func() { dr.w.AnswerFlow(f, simulation.NoBalancer, 0) })
			return
		}
		if dr.w.Client(f) == nil {
			return // gone on the way
		}
		marks := 0
		if repeat {
			marks |= decide.FlagRetry
		}
		if back {
			marks |= decide.FlagReturning
		}
		name := decide.FlowID(strconv.FormatInt(int64(f), 36))
		now := dr.w.Schedule.Now()
		x := &flow{id: f, name: name, in: in, due: now + left - lineCost}
		dr.flows[f], in.flows[f] = x, x
		s := dr.w.Services[service]
		dr.see(invariants.Event{Kind: invariants.FlowAccepted, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f), Deadline: now + left,
			Effect: effects[s.Effect], KeyScope: reaches[s.Group], KeyWindow: s.Window})
		in.event().OnFlow(decide.FlowRequest{ID: name, Service: decide.ServiceID(service), Customer: decide.CustomerID(customer), Key: decide.FlowKey(""), Group: decide.GroupKey(experiment.GroupName(group)), Timeout: x.due - now, Flags: marks})
	})
}

var effects = map[string]invariants.Effect{"free": invariants.Idempotent, "guarded": invariants.IdempotentByKey, "single_shot": invariants.NotIdempotent}
var reaches = map[string]invariants.KeyScope{"all": invariants.AllServers, "zone": invariants.ZoneServers, "cell": invariants.CellServers}

// AdoptFlow begins with a connection that stands.
func (dr *Drive) AdoptFlow(f simulation.FlowID, c *simulation.Client, b simulation.BalancerID, id simulation.ConnID, s simulation.ServerID) {
	in := dr.inst[b]
	x := &flow{id: f, name: decide.FlowID(strconv.FormatInt(int64(f), 36)), in: in, answered: true, sent: 1}
	k := &connect{id: id, f: x, server: s, state: standing, sentAt: dr.w.Schedule.Now()}
	x.out, x.stands = []*connect{k}, k
	dr.flows[f], in.flows[f], dr.conns[id] = x, x, k
	in.held[s] = append(in.held[s], x)
	in.event().AdoptFlow(decide.FlowRequest{ID: x.name, Service: decide.ServiceID(c.Service), Customer: decide.CustomerID(c.Customer), Group: decide.GroupKey(experiment.GroupName(c.Group))}, dr.number(s))
}

// LeaveFlow takes a client's flow away from its balancer.
func (dr *Drive) LeaveFlow(f simulation.FlowID) {
	dr.w.Schedule.After(dr.w.Network.Client, simulation.Message, func() {
		x := dr.flows[f]
		if x == nil || x.left {
			return
		}
		x.left = true
		dr.see(invariants.Event{Kind: invariants.ClientLeft, Balancer: invariants.Balancer(x.in.id), Flow: invariants.Flow(f)})
		if x.stands != nil {
			x.in.finish(x.stands, decide.OK)
			return
		}
		if !x.answered {
			x.in.event().OnClientLeft(x.name)
		}
		for _, c := range slices.Clone(x.out) {
			x.in.finish(c, decide.Cancelled)
		}
		x.in.forget(x)
	})
}
