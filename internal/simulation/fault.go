package simulation

import (
	"fmt"
	"math"
	"time"
)

// FaultKind is a kind of fault. Its value names it in experiment files.
type FaultKind string

// Kinds of faults. Servers that start again after a fault are in slow start.
const (
	Slow          FaultKind = "slow"           // a share of servers is Strength times slower
	Errors        FaultKind = "errors"         // a share of servers fails Strength of its set-ups fast
	Vanish        FaultKind = "vanish"         // a share of servers falls silent and starts again at the end
	Crash         FaultKind = "crash"          // a share of servers dies and starts again at the end
	Deploy        FaultKind = "deploy"         // a share of servers is replaced, Strength of the fleet at a time, draining for Extra
	Grow          FaultKind = "grow"           // the fleet becomes Strength times as large
	StoreSlow     FaultKind = "store_slow"     // the session store is Strength times slower
	Reconnect     FaultKind = "reconnect"      // a share of clients drops its connections and reconnects within Length
	Burst         FaultKind = "burst"          // arrivals are Strength times as many
	Neighbour     FaultKind = "neighbour"      // on a share of servers another program takes Strength, Extra on and Extra off
	ListDark      FaultKind = "list_dark"      // the server list sends nothing
	ListStale     FaultKind = "list_stale"     // the server list is Extra later than usual
	BalancerCrash FaultKind = "balancer_crash" // a share of balancers dies and starts again at the end
	BalancerRoll  FaultKind = "balancer_roll"  // a share of balancers is restarted in order, Strength of all at a time, Extra down
	LocalityLost  FaultKind = "hall_lost"      // all servers and balancers of a locality fall silent and start again at the end
	Partition     FaultKind = "cut"            // nothing gets from Locality to the others; both directions where Strength is not below 1
	Overload      FaultKind = "overload"       // the load is Strength times as large, that of established connections too
)

// FaultKinds are all there are.
var FaultKinds = []FaultKind{Slow, Errors, Vanish, Crash, Deploy, Grow, StoreSlow, Reconnect, Burst, Neighbour, ListDark, ListStale,
	BalancerCrash, BalancerRoll, LocalityLost, Partition, Overload}

// AnyLocality marks a fault that is not limited to one locality.
const AnyLocality LocalityID = -1

// Fault is one entry of a day's timeline. Any may overlap. What Share, Strength and Extra mean is said with the kinds.
type Fault struct {
	Kind          FaultKind
	Start, Length time.Duration
	Share         float64
	Strength      float64
	Extra         time.Duration
	Locality      LocalityID
}

// End is when it is over.
func (f Fault) End() time.Duration { return f.Start + f.Length }

// String is the fault with its time, to a tenth of a second.
func (f Fault) String() string {
	const precision = 100 * time.Millisecond
	return fmt.Sprintf("%s from %v for %v", f.Kind, f.Start.Round(precision), f.Length.Round(precision))
}

// ArrivalRate is by how much a timeline changes the rate of arrivals at a time. Sources of arrivals ask for it.
func ArrivalRate(faults []Fault, at time.Duration) (times float64) {
	times = 1
	for _, f := range faults {
		if (f.Kind == Burst || f.Kind == Overload) && at >= f.Start && at < f.End() {
			times *= f.Strength
		}
	}
	return times
}

// timedFault is a fault with its place in the timeline, which its random draws depend on.
type timedFault struct {
	Fault
	number int
}

// ScheduleFaults schedules a timeline.
func (w *World) ScheduleFaults(faults []Fault) {
	for i, f := range faults {
		w.Schedule.At(f.Start, Cause, func() { w.startFault(timedFault{f, i}) })
	}
}

// starters start each kind of fault and schedule its end. Bursts and overloads are the matter of the source of arrivals.
var starters = map[FaultKind]func(*World, timedFault){
	Slow:          (*World).startSlow,
	Errors:        (*World).startErrors,
	Vanish:        func(w *World, f timedFault) { w.startOutage(f, Silent) },
	Crash:         func(w *World, f timedFault) { w.startOutage(f, Down) },
	Deploy:        (*World).startDeploy,
	Grow:          (*World).startGrow,
	StoreSlow:     (*World).startStoreSlow,
	Reconnect:     (*World).startReconnect,
	Neighbour:     (*World).startNeighbour,
	ListDark:      (*World).startListDark,
	ListStale:     (*World).startListStale,
	BalancerCrash: (*World).startBalancerCrash,
	BalancerRoll:  (*World).startBalancerRoll,
	LocalityLost:  (*World).startLocalityLost,
	Partition:     (*World).startPartition,
}

func (w *World) startFault(f timedFault) {
	if start := starters[f.Kind]; start != nil {
		start(w, f)
	}
}

// atEndOf schedules what ends a fault.
func (w *World) atEndOf(f timedFault, do func()) { w.Schedule.At(f.End(), Cause, do) }

// shareOf is a share of so many, one at the least where there are any.
func shareOf(share float64, count int) int {
	return min(count, max(1, int(math.Round(share*float64(count)))))
}

func (w *World) startStoreSlow(f timedFault) {
	if w.Store == nil {
		return
	}
	w.changeStoreSpeed(f.Strength)
	w.atEndOf(f, func() { w.changeStoreSpeed(1 / f.Strength) })
}

func (w *World) changeStoreSpeed(slowdown float64) {
	w.storeSlowdown *= slowdown
	w.Store.SetSpeed(w.storeRate / w.storeSlowdown)
}

// startReconnect has a share of the connected clients lose their connections and reconnect over the length of the fault.
func (w *World) startReconnect(f timedFault) {
	r := RandomSource(w.Seed, "reconnect", f.number)
	for _, c := range append([]*Client(nil), w.clients...) {
		// Drawn for each client that is present, so that what a policy made of the day before shifts nobody's draw.
		draw := r.Float64()
		delay := UniformDuration(r, 0, f.Length)
		if draw >= f.Share || c.state != Connected {
			continue
		}
		w.Driver.LeaveFlow(c.endFlow())
		c.transition(Pausing)
		c.retried++
		c.later(max(delay, time.Millisecond), c.attempt)
	}
}

func (w *World) startListDark(f timedFault) {
	w.List.outages++
	w.atEndOf(f, func() {
		w.List.outages--
		if w.List.outages == 0 {
			w.List.sendAll()
		}
	})
}

func (w *World) startListStale(f timedFault) {
	w.List.extraDelay += f.Extra
	w.atEndOf(f, func() { w.List.extraDelay -= f.Extra })
}

func (w *World) startPartition(f timedFault) {
	w.partition(f, 1)
	w.atEndOf(f, func() { w.partition(f, -1) })
}

// partition adds to the faults that block what a locality sends to the others, and what it gets from them where the fault is in full.
func (w *World) partition(f timedFault, faults int) {
	for other := range w.Localities {
		if to := LocalityID(other); to != f.Locality {
			w.block(f.Locality, to, f.Strength >= 1, faults)
		}
	}
}

func (w *World) block(from, to LocalityID, bothDirections bool, faults int) {
	for _, s := range w.Servers {
		s.settle()
	}
	w.Network.block(from, to, faults)
	if bothDirections {
		w.Network.block(to, from, faults)
	}
	for _, s := range w.Servers {
		w.Driver.ServerChanged(s.ID)
	}
}

// startLocalityLost has all servers of a locality go silent and all of its balancers die.
func (w *World) startLocalityLost(f timedFault) {
	var servers []*Server
	for _, s := range w.Servers {
		if s.Locality == f.Locality && s.IsServing() {
			servers = append(servers, s)
		}
	}
	var balancers []*Balancer
	for _, b := range w.Balancers {
		if b.Locality == f.Locality && b.IsUp {
			balancers = append(balancers, b)
		}
	}
	w.takeDown(servers, Silent)
	w.killBalancers(balancers)
	w.atEndOf(f, func() {
		w.bringUp(servers)
		w.reviveBalancers(balancers)
	})
}
