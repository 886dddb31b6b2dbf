package simulation

import "time"

const (
	believedUpAfter   = 100 * time.Millisecond // the front's delay for a balancer that starts
	believedDownAfter = 300 * time.Millisecond // the front's delay for one that was asked to stop
	longestStopWait   = 3 * time.Second        // that a stopping process grants its clients
	stopMargin        = 700 * time.Millisecond // that it takes beyond that
)

// faultyBalancers draws a share of the balancers, less those outside of the fault's locality.
func (w *World) faultyBalancers(f timedFault) (faulty []*Balancer) {
	count := shareOf(f.Share, len(w.Balancers))
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

// killBalancers ends balancers outright. The front notices late.
func (w *World) killBalancers(balancers []*Balancer) {
	for _, b := range balancers {
		if !b.IsUp {
			continue
		}
		b.IsUp = false
		w.Driver.KillBalancer(b.ID)
		w.Schedule.After(w.frontNotice.Draw(w.random), ListUpdate, func() { w.believe(b, b.IsUp) })
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
		w.Schedule.After(believedUpAfter, ListUpdate, func() { w.believe(b, b.IsUp) })
	}
}

// startBalancerRoll restarts balancers batch by batch: each is asked to stop, gets no new clients soon after, and starts again.
func (w *World) startBalancerRoll(f timedFault) {
	inBatches(w, f, w.faultyBalancers(f), f.batchSize(len(w.Balancers)), func(b *Balancer) {
		if b.IsUp {
			w.restartBalancer(b, f.Extra)
		}
	})
}

func (w *World) restartBalancer(b *Balancer, downFor time.Duration) {
	w.Driver.StopBalancer(b.ID)
	w.Schedule.After(believedDownAfter, Cause, func() { w.believe(b, false) })
	w.Schedule.After(w.StopWithin(), Cause, func() { w.killBalancers([]*Balancer{b}) })
	w.Schedule.After(w.StopWithin()+downFor, Cause, func() { w.reviveBalancers([]*Balancer{b}) })
}

// StopWithin is the time from the signal to the end of the process at a planned restart: the longest that a client waits, up to a bound,
// and a margin.
func (w *World) StopWithin() time.Duration {
	longest := time.Duration(0)
	for _, s := range w.Services {
		longest = max(longest, s.Timeout)
	}
	return min(longest, longestStopWait) + stopMargin
}
