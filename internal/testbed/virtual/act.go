package virtual

import (
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

func (in *instance) Connect(name decide.FlowID, to decide.ServerID, limit time.Duration) {
	dr, f := in.dr, in.flow(name)
	s, known := dr.byNum[to]
	if f == nil || !known {
		return
	}
	w := dr.w
	now := w.Schedule.Now()
	c := &connect{id: w.NewConnID(), f: f, n: f.sent, server: s, state: dialing, sentAt: now}
	f.sent++
	f.out = append(f.out, c)
	dr.conns[c.id] = c
	if f.sent > dr.connMax {
		w.Schedule.After(0, simulation.Message, func() { in.finish(c, decide.NeverSent) })
		return
	}
	dr.Tally.Connects++
	dr.Tally.ConnectAt = append(dr.Tally.ConnectAt, now)
	srv := w.Servers[s]
	if srv.Locality != in.hall {
		dr.Tally.Crossings++
	}
	dr.see(invariants.Event{Kind: invariants.ConnectSent, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f.id), Connect: invariants.Connect(c.id),
		Server: invariants.Server(s), Zone: int(srv.Locality), Cell: int(srv.Cell)})
	ends := f.due
	if limit > 0 {
		ends = min(ends, now+limit)
	}
	w.Schedule.At(ends, simulation.Wake, func() {
		if c.state == dialing || c.state == asked {
			in.finish(c, decide.TimedOut)
		}
	})
	way := w.Network.Delay(in.hall, srv.Locality)
	switch w.Reach(in.hall, s) {
	case simulation.Refused:
		w.Schedule.After(2*way, simulation.Message, func() { in.finish(c, decide.Unreachable) })
	case simulation.Unresponsive:
		w.Schedule.After(dr.up, simulation.Message, func() { in.finish(c, decide.Unreachable) })
	default:
		w.Schedule.After(3*way, simulation.Message, func() { dr.arrive(c) }) // there and back for the connection, then the line
	}
}

// answer is the balancer's own final word.
func (in *instance) answer(name decide.FlowID, v invariants.Answer, a simulation.Answer, after time.Duration) {
	f, dr := in.flow(name), in.dr
	if f == nil {
		dr.see(invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(in.id), Flow: -1, Answer: v})
		return
	}
	dr.see(invariants.Event{Kind: invariants.FlowAnswered, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f.id), Answer: v})
	if f.answered {
		return
	}
	f.answered = true
	in.forget(f)
	dr.w.Schedule.After(dr.w.Network.Client, simulation.Message, func() { dr.w.AnswerFlow(f.id, a, after) })
}

func (in *instance) Reject(f decide.FlowID, after time.Duration) {
	in.dr.Tally.Rejects++
	in.answer(f, invariants.Rejected, simulation.Rejected, after)
}

func (in *instance) Abort(f decide.FlowID) {
	in.dr.Tally.Aborts++
	in.answer(f, invariants.Aborted, simulation.Aborted, 0)
}

func (in *instance) Cancel(name decide.FlowID, n int) {
	f := in.flow(name)
	if f == nil {
		return
	}
	for _, c := range f.out {
		if c.n == n && c.state != standing {
			in.dr.w.Schedule.After(0, simulation.Message, func() { in.finish(c, decide.Cancelled) })
		}
	}
}

func (in *instance) Migrate(name decide.FlowID) {
	if f := in.flow(name); f != nil && f.stands != nil {
		in.dr.Tally.Moves++
		in.dr.Tally.MovedAt = append(in.dr.Tally.MovedAt, in.dr.w.Schedule.Now())
		c := f.stands
		in.dr.w.Schedule.After(0, simulation.Message, func() {
			if c.state == standing && !f.left {
				in.finish(c, decide.Cancelled)
			}
		})
	}
}

func (in *instance) HealthCheck(s decide.ServerID) {
	to, known := in.dr.byNum[s]
	if !known {
		return
	}
	in.dr.Tally.Probes++
	life, w := in.life, in.dr.w
	o, took := decide.OK, 2*w.Network.Delay(in.hall, w.Servers[to].Locality)
	switch w.Reach(in.hall, to) {
	case simulation.Refused:
		o = decide.Unreachable
	case simulation.Unresponsive:
		o, took = decide.TimedOut, in.dr.up
	}
	w.Schedule.After(took, simulation.Message, func() {
		if in.up && in.life == life {
			in.event().OnHealthCheck(s, o)
		}
	})
}

func (in *instance) SetTimer(m decide.TimerID, d time.Duration) {
	life := in.life
	in.dr.w.Schedule.After(max(d, time.Microsecond), simulation.Wake, func() {
		if in.up && in.life == life {
			in.event().OnTimer(m)
		}
	})
}

func (in *instance) Log(string) {}
