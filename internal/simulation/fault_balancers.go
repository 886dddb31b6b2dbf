package simulation

import "time"

const (
	frontUpDelay   = 100 * time.Millisecond // until the front sends clients to a balancer that has started
	frontDownDelay = 300 * time.Millisecond // until the front sends no more clients to a balancer that is stopping
	maxStopWait    = 3 * time.Second        // upper bound of the time that a stopping balancer waits for its clients
	stopMargin     = 700 * time.Millisecond // time that stopping takes in addition to the wait
)

// faultyBalancers draws a share of all balancers and keeps those in the fault's locality.
func (w *World) faultyBalancers(f timedFault) (faulty []*Balancer) {
	count := countOfShare(f.Share, len(w.Balancers))
	for _, i := range RandomSource(w.Seed, string(f.Kind), f.number).Perm(len(w.Balancers))[:count] {
		if b := w.Balancers[i]; f.Locality == AnyLocality || b.Locality == f.Locality {
			faulty = append(faulty, b)
		}
	}
	return faulty
}

func (w *World) startBalancerCrash(f timedFault) {
	balancers := w.faultyBalancers(f)
	w.killBalancers(balancers)
	w.atEndOf(f, func() { w.reviveBalancers(balancers) })
}

// killBalancers kills balancers without a drain. The front detects it after a delay.
func (w *World) killBalancers(balancers []*Balancer) {
	for _, b := range balancers {
		if !b.IsUp {
			continue
		}
		b.IsUp = false
		w.Driver.KillBalancer(b.ID)
		w.Schedule.After(w.frontNotice.Draw(w.random), ListUpdate, func() { w.setFrontView(b, b.IsUp) })
	}
}

func (w *World) reviveBalancers(balancers []*Balancer) {
	for _, b := range balancers {
		if b.IsUp {
			continue
		}
		b.IsUp = true
		w.Driver.StartBalancer(b.ID)
		w.List.restart(b.ID)
		w.Schedule.After(frontUpDelay, ListUpdate, func() { w.setFrontView(b, b.IsUp) })
	}
}

// startBalancerRollingRestart restarts balancers in batches: each is asked to stop, soon gets no new clients, ends and starts again.
func (w *World) startBalancerRollingRestart(f timedFault) {
	inBatches(w, f, w.faultyBalancers(f), f.batchSize(len(w.Balancers)), func(b *Balancer) {
		if b.IsUp {
			w.restartBalancer(b, f.Extra)
		}
	})
}

func (w *World) restartBalancer(b *Balancer, downFor time.Duration) {
	w.Driver.StopBalancer(b.ID)
	w.Schedule.After(frontDownDelay, Cause, func() { w.setFrontView(b, false) })
	w.Schedule.After(w.StopDuration(), Cause, func() { w.killBalancers([]*Balancer{b}) })
	w.Schedule.After(w.StopDuration()+downFor, Cause, func() { w.reviveBalancers([]*Balancer{b}) })
}

// StopDuration is the time from the stop signal to the end of the process at a planned restart: the longest timeout of any service, up to
// a bound, plus a margin.
func (w *World) StopDuration() time.Duration {
	longest := time.Duration(0)
	for _, s := range w.Services {
		longest = max(longest, s.Timeout)
	}
	return min(longest, maxStopWait) + stopMargin
}
