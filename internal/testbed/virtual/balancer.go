package virtual

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

type instance struct {
	dr    *Drive
	id    simulation.BalancerID
	hall  simulation.LocalityID
	start time.Duration
	life  int
	up    bool
	dec   Decider
	held  map[simulation.ServerID][]*flow // standing, in the order of their coming up
	flows map[simulation.FlowID]*flow
}

// StartBalancer starts a balancer, with the server list as it last held it.
func (dr *Drive) StartBalancer(b simulation.BalancerID) {
	in := dr.inst[b]
	in.life++
	in.up, in.start = true, dr.w.Schedule.Now()
	in.held, in.flows = map[simulation.ServerID][]*flow{}, map[simulation.FlowID]*flow{}
	dr.see(invariants.Event{Kind: invariants.BalancerStarted, Balancer: invariants.Balancer(b)})
	seed := simulation.RandomSource(dr.d.Seed, "balancer "+strconv.Itoa(in.life), int(b)).Uint64()
	in.dec = dr.maker(seed, b, in)
	in.dec.SetTime(0)
	in.list(decide.CachedUpdate, dr.w.List.Known(b))
}

// StopBalancer has a balancer ask its clients to come again, spread evenly, as the program does from a little after the signal
// until shortly before its end; who comes meanwhile is served and asked in turn.
func (dr *Drive) StopBalancer(b simulation.BalancerID) {
	in := dr.inst[b]
	life, until := in.life, dr.w.Schedule.Now()+dr.w.StopWithin()-moveUntil
	var step func()
	step = func() {
		if in.life != life || !in.up {
			return
		}
		var all []*flow
		for _, f := range in.flows {
			if f.stands != nil && !f.left {
				all = append(all, f)
			}
		}
		slices.SortFunc(all, func(x, y *flow) int { return cmp.Compare(x.id, y.id) })
		left := max(1, int((until-dr.w.Schedule.Now())/moveEvery))
		for _, f := range all[:(len(all)+left-1)/left] {
			in.finish(f.stands, decide.Cancelled)
		}
		dr.w.Schedule.After(moveEvery, simulation.Wake, step)
	}
	dr.w.Schedule.After(moveFrom, simulation.Wake, step)
}

// KillBalancer ends a balancer at once.
func (dr *Drive) KillBalancer(b simulation.BalancerID) {
	in := dr.inst[b]
	in.up = false
	dr.see(invariants.Event{Kind: invariants.BalancerDied, Balancer: invariants.Balancer(b)})
	var all []*flow
	for _, f := range in.flows {
		all = append(all, f)
	}
	slices.SortFunc(all, func(x, y *flow) int { return cmp.Compare(x.id, y.id) })
	for _, f := range all {
		for _, c := range f.out {
			c.turn(over)
			delete(dr.conns, c.id)
			dr.close(c)
		}
		delete(dr.flows, f.id)
		gone := f.left
		dr.w.Schedule.After(dr.w.Network.Client, simulation.Message, func() {
			if !gone {
				dr.w.BreakFlow(f.id, simulation.Cut)
			}
		})
	}
	in.flows, in.held = nil, nil
}

// close tells the server that a balancer has ended its connection.
func (dr *Drive) close(c *connect) {
	to := dr.w.Servers[c.server].Locality
	dr.w.Schedule.After(dr.w.Network.Delay(c.f.in.hall, to), simulation.Message, func() { dr.w.CloseConnect(c.id) })
}

func (in *instance) see(s simulation.ServerID, state simulation.Readiness, since time.Duration) {
	if since == simulation.LongAgo {
		since = invariants.LongAgo
	}
	in.dr.see(invariants.Event{Kind: invariants.ServerAnnounced, Balancer: invariants.Balancer(in.id), Server: invariants.Server(s), Readiness: told[state], StartedAt: since})
}

// event opens an event: what is decided in it happens now.
func (in *instance) event() Decider {
	in.dec.SetTime(in.dr.w.Schedule.Now() - in.start)
	return in.dec
}

func (in *instance) flow(name decide.FlowID) *flow {
	id, err := strconv.ParseInt(string(name), 36, 64)
	if err != nil {
		return nil
	}
	return in.flows[simulation.FlowID(id)]
}

// finish ends a connect: the one place where a decider hears of it.
func (in *instance) finish(c *connect, o decide.Outcome) {
	if c.state == over || !in.up {
		return
	}
	dr, f := in.dr, c.f
	was := c.state
	c.turn(over)
	delete(dr.conns, c.id)
	f.out = slices.DeleteFunc(f.out, func(x *connect) bool { return x == c })
	dr.close(c)
	dr.see(invariants.Event{Kind: invariants.ConnectEnded, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f.id),
		Connect: invariants.Connect(c.id), MayHaveRun: !o.NeverRan()})
	if was == standing {
		f.stands = nil
		in.drop(c.server, f)
		dr.see(invariants.Event{Kind: invariants.FlowEnded, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f.id)})
		if !f.left {
			how := simulation.Cut
			if o == decide.Cancelled || o == decide.Full {
				how = simulation.Migrated
			}
			dr.w.Schedule.After(dr.w.Network.Client, simulation.Message, func() { dr.w.BreakFlow(f.id, how) })
		}
	}
	finished := f.answered || f.left
	if was == standing || finished {
		in.forget(f)
	}
	in.event().OnEnded(f.name, o, dr.w.Schedule.Now()-c.sentAt, finished)
}

func (in *instance) drop(s simulation.ServerID, f *flow) {
	in.held[s] = slices.DeleteFunc(in.held[s], func(x *flow) bool { return x == f })
}

func (in *instance) forget(f *flow) {
	if len(f.out) == 0 {
		delete(in.dr.flows, f.id)
		delete(in.flows, f.id)
	}
}
