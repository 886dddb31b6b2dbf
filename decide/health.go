package decide

// What is learnt of servers from results, delays and load reports.

import (
	"math"
	"time"
)

func (b *Balancer) resting(r *server) bool {
	return r.ejected && (b.now < r.ejectedUntil || r.trying >= r.trickle)
}

// judge takes one sample for the flow's server and ejects it, or lets its trickle grow.
func (b *Balancer) judge(f *flow, failed bool) {
	r := f.server
	if f.life != r.life {
		return
	}
	r.samples = keep(r.samples, sample{r, b.now, failed}, 4)
	switch {
	case !failed:
		if r.silent >= 2 { // it was down, whatever the list says so far, and comes back cold
			b.coldStart(r, b.now)
		}
		r.silent, r.trickle = 0, min(2*r.trickle, 16)
		r.ejected = r.ejected && r.trickle <= 8
	case r.ejected && b.now >= r.ejectedUntil:
		b.eject(r)
	case !r.ejected:
		// Against the fleet's median: when all fail the cause is shared, and the rest would get their load too.
		share, n := failedShare(r.samples, b.now-evidenceAge)
		if n >= 2 && share >= b.medianFailures()+0.5 && 2*(b.survey().ejected+1) <= len(b.list.ready) {
			b.eject(r) // half of the servers stay at the least, so that the rest don't topple
		}
	}
}

func (b *Balancer) eject(r *server) {
	if r.pause = min(2*r.pause, longestPause); r.pause == 0 || b.now > r.ejectedUntil+evidenceAge {
		r.pause = firstPause
	}
	if !r.ejected {
		b.health.survey.ejected++
	}
	r.ejected, r.trickle, r.ejectedUntil = true, 1, b.now+r.pause
}

// short: a fifth of the servers heard of, and two deviations more, answer late: silence is no good news.
func (b *Balancer) short() bool {
	s := b.survey()
	few := s.heard / 5
	return s.hot > 0 && s.hot >= few+2*math.Sqrt(few*(1-s.heard/float64(len(b.list.ready)+1)))
}

// failed takes what a failed set-up tells.
func (b *Balancer) failed(f *flow, o Outcome, took time.Duration) {
	switch o {
	case Unreachable:
		// What all set-ups share isn't even reached, so this needs no look at the fleet.
		if f.server.silent++; f.server.silent >= 2 && !f.server.ejected {
			b.eject(f.server)
		}
	case Full:
		b.tooMany(f.server)
	case TimedOut:
		b.health.setups, b.health.setupAt = keep(b.health.setups, took, keptSamples), b.now+evidenceAge
	}
	b.judge(f, true)
	b.pace.results = keep(b.pace.results, sample{f.server, b.now, true}, keptSamples)
	if b.sharedFailure() {
		b.narrow()
	}
}

// OnFlowLoad takes in that the load of a connection was reported. The load swings too fast to place by, but shows that the
// server is alive.
func (b *Balancer) OnFlowLoad(id FlowID) {
	if f := b.flows.byID[id]; f != nil && f.server != nil {
		f.server.silent = 0
	}
}

// OnLatencySample takes in how long a message takes at the flow's server.
func (b *Balancer) OnLatencySample(id FlowID, took time.Duration) {
	f := b.flows.byID[id]
	if f == nil || f.state != established {
		return
	}
	r, late, need := f.server, took > b.list.MessageTarget, 0.0
	if late {
		need = anyhow // what is late is worth nothing, whatever a move costs
	}
	again := r.delay > b.list.MessageTarget && b.now-r.delayAt < noteAge
	// What stops the backlog's growth and drains it: a fixed part would fit neither a slow server nor a pause.
	part := took.Seconds() / drainIn.Seconds()
	if again {
		part += (took - r.delay).Seconds() / max(b.now-r.delayAt, tickEvery).Seconds()
	}
	grows := again && took >= r.delay
	r.silent, r.delay, r.delayAt = 0, took, b.now
	if b.hot(r) {
		r.hotAt = b.now
	}
	// One late message on a fleet in time may be a pause; a second, or one among many, is too much load.
	if late && (grows || !again && b.short()) {
		b.tooMany(r)
	}
	// With nowhere to go, fewer flows in time are worth more than all of them late.
	shed := late && grows && b.short()
	if shed {
		part = min(part, smallPart)
	}
	if shed || b.hot(r) && b.calm() {
		b.evacuate(r, need, part, shed)
	}
}

// hot: messages take over a third of the shortest time wanted; notes start there, and one says when it ends.
func (b *Balancer) hot(r *server) bool {
	return r.delay > 0 && b.now-r.delayAt < noteAge && r.delay > b.list.MessageTarget/3
}

// OnHealthCheck takes in how a health check ended. A server that answers enters probation.
func (b *Balancer) OnHealthCheck(server ServerID, o Outcome) {
	if r := b.list.byID[server]; r != nil && o == OK {
		r.silent, r.ejectedUntil = 0, min(r.ejectedUntil, b.now)
	}
}

// OnLoadReport takes in a server's load over its capacity, as it reports it. Above 1 its work piles up.
func (b *Balancer) OnLoadReport(server ServerID, load float64) {
	r := b.list.server(server)
	r.probed, r.probedAt = load, b.now
	if load > 1 && b.calm() {
		b.evacuate(r, 0, 1-ample/load, false)
	}
}
