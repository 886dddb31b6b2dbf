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
	now := w.Agenda.Now()
	c := &connect{id: w.NextConn(), f: f, server: s, state: dialing, sentAt: now}
	f.sent++
	f.out = append(f.out, c)
	dr.conns[c.id] = c
	if f.sent > dr.connMax {
		w.Agenda.After(0, simulation.Message, func() { in.finish(c, decide.NeverSent) })
		return
	}
	dr.Tally.Connects++
	dr.Tally.ConnectAt = append(dr.Tally.ConnectAt, now)
	srv := w.Servers[s]
	if srv.Hall != in.hall {
		dr.Tally.Crossings++
	}
	dr.see(invariants.Event{Kind: invariants.Sent, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f.id), Connect: invariants.Connect(c.id),
		Server: invariants.Server(s), Zone: int(srv.Hall), Cell: int(srv.Cell)})
	ends := f.due
	if limit > 0 {
		ends = min(ends, now+limit)
	}
	w.Agenda.At(ends, simulation.Wake, func() {
		if c.state == dialing || c.state == asked {
			in.finish(c, decide.TimedOut)
		}
	})
	way := w.Net.Way(in.hall, srv.Hall)
	switch w.Knock(in.hall, s) {
	case simulation.Refused:
		w.Agenda.After(2*way, simulation.Message, func() { in.finish(c, decide.Unreachable) })
	case simulation.Silence:
		w.Agenda.After(dr.up, simulation.Message, func() { in.finish(c, decide.Unreachable) })
	default:
		w.Agenda.After(3*way, simulation.Message, func() { dr.arrive(c) }) // there and back for the connection, then the line
	}
}

// answer is the balancer's own final word.
func (in *instance) answer(name decide.FlowID, v invariants.Verdict, a simulation.Answer, after time.Duration) {
	f, dr := in.flow(name), in.dr
	if f == nil {
		dr.see(invariants.Event{Kind: invariants.Answered, Balancer: invariants.Balancer(in.id), Flow: -1, Verdict: v})
		return
	}
	dr.see(invariants.Event{Kind: invariants.Answered, Balancer: invariants.Balancer(in.id), Flow: invariants.Flow(f.id), Verdict: v})
	if f.answered {
		return
	}
	f.answered = true
	in.forget(f)
	dr.w.Agenda.After(dr.w.Net.Client, simulation.Message, func() { dr.w.Answered(f.id, a, after) })
}

func (in *instance) Reject(f decide.FlowID, after time.Duration) {
	in.dr.Tally.Rejects++
	in.answer(f, invariants.Rejected, simulation.Rejected, after)
}

func (in *instance) Abort(f decide.FlowID) {
	in.dr.Tally.Aborts++
	in.answer(f, invariants.Aborted, simulation.Aborted, 0)
}

func (in *instance) Migrate(name decide.FlowID) {
	if f := in.flow(name); f != nil && f.stands != nil {
		in.dr.Tally.Moves++
		in.dr.Tally.MovedAt = append(in.dr.Tally.MovedAt, in.dr.w.Agenda.Now())
		c := f.stands
		in.dr.w.Agenda.After(0, simulation.Message, func() {
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
	o, took := decide.OK, 2*w.Net.Way(in.hall, w.Servers[to].Hall)
	switch w.Knock(in.hall, to) {
	case simulation.Refused:
		o = decide.Unreachable
	case simulation.Silence:
		o, took = decide.TimedOut, in.dr.up
	}
	w.Agenda.After(took, simulation.Message, func() {
		if in.up && in.life == life {
			in.event().OnHealthCheck(s, o)
		}
	})
}

func (in *instance) SetTimer(m decide.TimerID, d time.Duration) {
	life := in.life
	in.dr.w.Agenda.After(max(d, time.Microsecond), simulation.Wake, func() {
		if in.up && in.life == life {
			in.event().OnTimer(m)
		}
	})
}
