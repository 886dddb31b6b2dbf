package simulation

import (
	"fmt"
	"math"
	"time"
)

// FaultKind is one way in which a day goes wrong.
type FaultKind string

// Kinds of trouble.
const (
	Slow          FaultKind = "slow"           // a share of servers is Strength times slower
	Errors        FaultKind = "errors"         // a share of servers fails Strength of its set-ups fast
	Vanish        FaultKind = "vanish"         // a share of servers goes silent and comes back cold
	Crash         FaultKind = "crash"          // a share of servers dies, to come back cold at the end
	Deploy        FaultKind = "deploy"         // a share of servers is replaced, Strength of the fleet at a time, draining for Extra
	Grow          FaultKind = "grow"           // the fleet becomes Strength times as large, cold
	StoreSlow     FaultKind = "store_slow"     // the session store is Strength times slower
	Reconnect     FaultKind = "reconnect"      // a share of clients drops and comes again within Length
	Burst         FaultKind = "burst"          // arrivals are Strength times as many
	Neighbour     FaultKind = "neighbour"      // on a share of servers another program takes Strength, Extra on and Extra off
	ListDark      FaultKind = "list_dark"      // the server list tells nothing
	ListStale     FaultKind = "list_stale"     // it tells Extra later than usual
	BalancerCrash FaultKind = "balancer_crash" // a share of balancers dies and comes back at the end
	BalancerRoll  FaultKind = "balancer_roll"  // a share of balancers is restarted in order, Strength of all at a time, Extra down
	LocalityLost  FaultKind = "hall_lost"      // all servers and balancers of a hall go silent; back, and cold, at the end
	Partition     FaultKind = "cut"            // nothing gets from Hall to the others; both ways where Strength is not below 1
	Overload      FaultKind = "overload"       // the load is Strength times as large, standing connections too
)

// FaultKinds are all there are.
var FaultKinds = []FaultKind{Slow, Errors, Vanish, Crash, Deploy, Grow, StoreSlow, Reconnect, Burst, Neighbour, ListDark, ListStale,
	BalancerCrash, BalancerRoll, LocalityLost, Partition, Overload}

// AnyLocality stands for a trouble that keeps to no hall.
const AnyLocality LocalityID = -1

// Fault is one entry of a day's timeline; any may overlap.
type Fault struct {
	Kind          FaultKind
	Start, Length time.Duration
	Share         float64
	Strength      float64
	Extra         time.Duration
	Locality      LocalityID
}

// End is when it is over.
func (t Fault) End() time.Duration { return t.Start + t.Length }

func (t Fault) String() string {
	return fmt.Sprintf("%s from %v for %v", t.Kind, t.Start.Round(100*time.Millisecond), t.Length.Round(100*time.Millisecond))
}

// ArrivalRate is by how much a timeline changes the rate of arrivals at a time; the source of load asks for it.
func ArrivalRate(troubles []Fault, at time.Duration) (times float64) {
	times = 1
	for _, t := range troubles {
		if (t.Kind == Burst || t.Kind == Overload) && at >= t.Start && at < t.End() {
			times *= t.Strength
		}
	}
	return times
}

// ScheduleFaults puts a timeline on the agenda.
func (w *World) ScheduleFaults(troubles []Fault) {
	for i, t := range troubles {
		w.Schedule.At(t.Start, Cause, func() { w.startFault(t, i) })
	}
}

// faultyServers draws a share of servers, one at the least, of a hall or of all that serve.
func (w *World) faultyServers(t Fault, i int) (hit []*Server) {
	var all []*Server
	for _, s := range w.Servers {
		if s.phase == Serving && (t.Locality == AnyLocality || s.Locality == t.Locality) {
			all = append(all, s)
		}
	}
	n := min(len(all), max(1, int(math.Round(t.Share*float64(len(all))))))
	r := RandomSource(w.Seed, "trouble "+string(t.Kind), i)
	for _, k := range r.Perm(len(all))[:n] {
		hit = append(hit, all[k])
	}
	return hit
}

// changeDuring changes something about servers now and changes it back at the end of the trouble.
func (w *World) changeDuring(hit []*Server, t Fault, change, back func(*Server)) {
	for _, s := range hit {
		s.settle()
		change(s)
		s.changed()
	}
	w.Schedule.At(t.End(), Cause, func() {
		for _, s := range hit {
			s.settle()
			back(s)
			s.changed()
		}
	})
}

// startFault is the one place where troubles start and have their end noted.
func (w *World) startFault(t Fault, i int) {
	end := func(do func()) { w.Schedule.At(t.End(), Cause, do) }
	switch t.Kind {
	case Slow:
		w.changeDuring(w.faultyServers(t, i), t, func(s *Server) { s.slowdown *= t.Strength }, func(s *Server) { s.slowdown /= t.Strength })
	case Errors:
		w.changeDuring(w.faultyServers(t, i), t, func(s *Server) { s.errorShare = t.Strength }, func(s *Server) { s.errorShare = 0 })
	case Vanish, Crash:
		to := Down
		if t.Kind == Vanish {
			to = Silent
		}
		hit := w.faultyServers(t, i)
		w.takeDown(hit, to)
		end(func() { w.bringUp(hit) })
	case Deploy:
		w.deploy(w.faultyServers(t, i), t)
	case Grow:
		w.grow(t, i)
	case StoreSlow:
		if w.Store != nil {
			w.changeStoreSpeed(t.Strength)
			end(func() { w.changeStoreSpeed(1 / t.Strength) })
		}
	case Reconnect:
		w.dropClients(t, i)
	case Neighbour:
		hit := w.faultyServers(t, i)
		on := false
		var swap func()
		swap = func() {
			on = !on && w.Schedule.now < t.End()
			for _, s := range hit {
				s.settle()
				s.stolenShare = t.Strength * indicator(on)
				s.changed()
			}
			if w.Schedule.now < t.End() {
				w.Schedule.At(min(w.Schedule.now+max(t.Extra, 100*time.Millisecond), t.End()), Cause, swap)
			}
		}
		swap()
	case ListDark:
		w.List.outages++
		end(func() {
			if w.List.outages--; w.List.outages == 0 {
				w.List.catchUp()
			}
		})
	case ListStale:
		w.List.extraDelay += t.Extra
		end(func() { w.List.extraDelay -= t.Extra })
	case BalancerCrash:
		hit := w.faultyBalancers(t, i)
		w.killBalancers(hit)
		end(func() { w.reviveBalancers(hit) })
	case BalancerRoll:
		w.restartBalancers(w.faultyBalancers(t, i), t)
	case LocalityLost:
		var hit []*Server
		var balancers []*Balancer
		for _, s := range w.Servers {
			if s.Locality == t.Locality && s.IsServing() {
				hit = append(hit, s)
			}
		}
		for _, b := range w.Balancers {
			if b.Locality == t.Locality && b.IsUp {
				balancers = append(balancers, b)
			}
		}
		w.takeDown(hit, Silent)
		w.killBalancers(balancers)
		end(func() { w.bringUp(hit); w.reviveBalancers(balancers) })
	case Partition:
		for h := range w.Localities {
			if LocalityID(h) != t.Locality {
				w.setPartition(t.Locality, LocalityID(h), t.Strength >= 1, 1)
			}
		}
		end(func() {
			for h := range w.Localities {
				if LocalityID(h) != t.Locality {
					w.setPartition(t.Locality, LocalityID(h), t.Strength >= 1, -1)
				}
			}
		})
	}
}

func (w *World) setPartition(from, to LocalityID, both bool, by int) {
	for _, s := range w.Servers {
		s.settle()
	}
	w.Network.block(from, to, by)
	if both {
		w.Network.block(to, from, by)
	}
	for _, s := range w.Servers {
		w.Driver.ServerChanged(s.ID)
	}
}

func (w *World) takeDown(hit []*Server, to Phase) {
	for _, s := range hit {
		if !s.IsServing() {
			continue
		}
		s.goDown(to)
		if to == Silent {
			w.List.updateAfter(s, w.List.silentDelay())
		} else {
			w.List.updateAfter(s, w.List.noticeDelay())
		}
	}
}

func (w *World) bringUp(hit []*Server) {
	for _, s := range hit {
		if s.phase == Down || s.phase == Silent {
			s.boot()
			w.List.updateAfter(s, w.List.addDelay())
		}
	}
}

func (w *World) deploy(hit []*Server, t Fault) {
	batch := max(1, int(math.Round(t.Strength*float64(len(w.Servers)))))
	batches := (len(hit) + batch - 1) / batch
	for n := range batches {
		part := hit[n*batch : min((n+1)*batch, len(hit))]
		w.Schedule.At(t.Start+t.Length*time.Duration(n)/time.Duration(batches), Cause, func() {
			for _, s := range part {
				s.drainFor(t.Extra, w.drainKind, func() {
					w.List.updateAfter(s, w.List.noticeDelay())
					w.Schedule.After(500*time.Millisecond, Cause, func() { w.bringUp([]*Server{s}) })
				})
				w.List.updateAfter(s, w.List.noticeDelay())
			}
		})
	}
}

func (w *World) grow(t Fault, i int) {
	old := len(w.Servers)
	more := max(1, int(math.Round(float64(old)*(t.Strength-1))))
	r := RandomSource(w.Seed, "grow", i)
	for n := range more {
		like := w.Servers[r.IntN(old)]
		w.Schedule.At(t.Start+t.Length*time.Duration(n)/time.Duration(more), Cause, func() {
			s := w.AddServer(like.Locality, like.Cell, like.Cores, like.Speed, like.Size, like.MaxConnections, like.setups.maxWaiting, like.Buffer,
				like.GroupLoad, like.slowStartFrom, like.slowStart, like.slowStartByWork, true)
			// It is on the list only after a while: what AddServer booked counts as not yet seen.
			w.List.entries[s.ID].Readiness = Gone
			w.List.updateAfter(s, w.List.addDelay())
			w.Driver.ServerChanged(s.ID)
		})
	}
}

func (w *World) changeStoreSpeed(times float64) {
	w.storeSlowdown *= times
	w.Store.SetSpeed(w.storeRate / w.storeSlowdown)
}

// dropClients has a share of those that stand lose their connection and come again over the length of the trouble.
func (w *World) dropClients(t Fault, i int) {
	r := RandomSource(w.Seed, "reconnect", i)
	for _, c := range append([]*Client(nil), w.clients...) {
		// Drawn for each that is present, so that what a policy made of the day before shifts nobody's draw.
		if x, in := r.Float64(), UniformDuration(r, 0, t.Length); x < t.Share && c.state == Connected {
			w.Driver.LeaveFlow(c.endFlow())
			c.transition(Pausing)
			c.Retried++
			c.later(max(in, time.Millisecond), c.attempt)
		}
	}
}

func (w *World) faultyBalancers(t Fault, i int) (hit []*Balancer) {
	n := min(len(w.Balancers), max(1, int(math.Round(t.Share*float64(len(w.Balancers))))))
	for _, k := range RandomSource(w.Seed, string(t.Kind), i).Perm(len(w.Balancers))[:n] {
		if b := w.Balancers[k]; t.Locality == AnyLocality || b.Locality == t.Locality {
			hit = append(hit, b)
		}
	}
	return hit
}

// killBalancers ends balancers outright; the front notices late.
func (w *World) killBalancers(hit []*Balancer) {
	for _, b := range hit {
		if !b.IsUp {
			continue
		}
		b.IsUp = false
		w.Driver.KillBalancer(b.ID)
		w.Schedule.After(UniformDuration(w.random, w.noticeMin, w.noticeMax), News, func() { w.believe(b, b.IsUp) })
	}
}

func (w *World) reviveBalancers(hit []*Balancer) {
	for _, b := range hit {
		if b.IsUp {
			continue
		}
		b.IsUp = true
		w.Driver.StartBalancer(b.ID)
		w.List.restart(b.ID)
		w.Schedule.After(100*time.Millisecond, News, func() { w.believe(b, b.IsUp) })
	}
}

// restartBalancers restarts balancers in order: each is asked to stop, gets nothing new soon after, and comes back.
func (w *World) restartBalancers(hit []*Balancer, t Fault) {
	batch := max(1, int(math.Round(t.Strength*float64(len(w.Balancers)))))
	batches := (len(hit) + batch - 1) / batch
	for n := range batches {
		part := hit[n*batch : min((n+1)*batch, len(hit))]
		w.Schedule.At(t.Start+t.Length*time.Duration(n)/time.Duration(batches), Cause, func() {
			for _, b := range part {
				if !b.IsUp {
					continue
				}
				w.Driver.StopBalancer(b.ID)
				w.Schedule.After(300*time.Millisecond, Cause, func() { w.believe(b, false) })
				w.Schedule.After(w.StopWithin(), Cause, func() { w.killBalancers([]*Balancer{b}) })
				w.Schedule.After(w.StopWithin()+t.Extra, Cause, func() { w.reviveBalancers([]*Balancer{b}) })
			}
		})
	}
}

// StopWithin is the time from the signal to the end of the process at a planned restart: the longest that a client
// waits, three seconds at most, and a little.
func (w *World) StopWithin() time.Duration {
	longest := time.Duration(0)
	for _, s := range w.Services {
		longest = max(longest, s.Timeout)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// IsFaulty tells which servers a timeline leaves in trouble now, for those who draw it.
func (s *Server) IsFaulty() bool {
	return s.slowdown > 1 || s.stolenShare > 0 || s.errorShare > 0 || !s.IsServing()
}
