package simulation

import (
	"fmt"
	"math"
	"time"
)

// FaultKind is a kind of fault. Its value is its name in experiment files.
type FaultKind string

// Kinds of faults. Servers that restart after a fault are in slow start.
const (
	Slow                   FaultKind = "slow"           // a share of servers is Strength times slower
	Errors                 FaultKind = "errors"         // a share of servers quickly fails the fraction Strength of its set-ups
	Vanish                 FaultKind = "vanish"         // a share of servers stops responding and restarts at the end
	Crash                  FaultKind = "crash"          // a share of servers crashes and restarts at the end
	Deploy                 FaultKind = "deploy"         // a share of servers is replaced, Strength of the fleet at a time, draining for Extra
	ScaleOut               FaultKind = "grow"           // the fleet becomes Strength times as large
	StoreSlow              FaultKind = "store_slow"     // the session store is Strength times slower
	Reconnect              FaultKind = "reconnect"      // a share of clients drops its connections and reconnects within Length
	Burst                  FaultKind = "burst"          // the arrival rate is multiplied by Strength
	NoisyNeighbour         FaultKind = "neighbour"      // another program uses Strength of a share of servers' cores, on and off for Extra each
	ListOutage             FaultKind = "list_dark"      // the server list sends no updates
	ListDelay              FaultKind = "list_stale"     // updates of the server list are delayed by Extra more than usual
	BalancerCrash          FaultKind = "balancer_crash" // a share of balancers crashes and restarts at the end
	BalancerRollingRestart FaultKind = "balancer_roll"  // a share of balancers stops cleanly and starts again Extra later, Strength of all at a time
	LocalityLost           FaultKind = "hall_lost"      // all servers of a locality stop responding, its balancers die; all restart at the end
	Partition              FaultKind = "cut"            // Locality can't send to the others; if Strength is 1 or more, they can't send to it either
	Overload               FaultKind = "overload"       // a burst that, if it starts with the day, multiplies the initially established connections, too
)

// FaultKinds lists all kinds.
var FaultKinds = []FaultKind{Slow, Errors, Vanish, Crash, Deploy, ScaleOut, StoreSlow, Reconnect, Burst, NoisyNeighbour, ListOutage, ListDelay,
	BalancerCrash, BalancerRollingRestart, LocalityLost, Partition, Overload}

// AnyLocality marks a fault that is not limited to one locality.
const AnyLocality LocalityID = -1

// Fault is one entry of a day's timeline. Faults may overlap. The comments on the kinds define Share, Strength and Extra.
type Fault struct {
	Kind          FaultKind
	Start, Length time.Duration
	Share         float64
	Strength      float64
	Extra         time.Duration
	Locality      LocalityID
}

// End is the time at which the fault ends.
func (f Fault) End() time.Duration { return f.Start + f.Length }

// String formats the fault with its start and length, rounded to a tenth of a second.
func (f Fault) String() string {
	const precision = 100 * time.Millisecond
	return fmt.Sprintf("%s from %v for %v", f.Kind, f.Start.Round(precision), f.Length.Round(precision))
}

// ArrivalRate returns the factor by which the timeline's bursts and overloads multiply the arrival rate at a time. Arrival sources apply it.
func ArrivalRate(faults []Fault, at time.Duration) (times float64) {
	times = 1
	for _, f := range faults {
		if (f.Kind == Burst || f.Kind == Overload) && at >= f.Start && at < f.End() {
			times *= f.Strength
		}
	}
	return times
}

// timedFault is a fault with its index in the timeline, which selects its random source.
type timedFault struct {
	Fault
	number int
}

// ScheduleFaults schedules all faults of a timeline.
func (w *World) ScheduleFaults(faults []Fault) {
	for i, f := range faults {
		w.Schedule.At(f.Start, Cause, func() { w.startFault(timedFault{f, i}) })
	}
}

// faultStarters holds, for each kind of fault, the function that starts it and schedules its end. Bursts and overloads are missing, as the
// arrival source applies them.
var faultStarters = map[FaultKind]func(*World, timedFault){
	Slow:                   (*World).startSlow,
	Errors:                 (*World).startErrors,
	Vanish:                 func(w *World, f timedFault) { w.startOutage(f, Silent) },
	Crash:                  func(w *World, f timedFault) { w.startOutage(f, Down) },
	Deploy:                 (*World).startDeploy,
	ScaleOut:               (*World).startScaleOut,
	StoreSlow:              (*World).startStoreSlow,
	Reconnect:              (*World).startReconnect,
	NoisyNeighbour:         (*World).startNoisyNeighbour,
	ListOutage:             (*World).startListOutage,
	ListDelay:              (*World).startListDelay,
	BalancerCrash:          (*World).startBalancerCrash,
	BalancerRollingRestart: (*World).startBalancerRollingRestart,
	LocalityLost:           (*World).startLocalityLost,
	Partition:              (*World).startPartition,
}

func (w *World) startFault(f timedFault) {
	if start := faultStarters[f.Kind]; start != nil {
		start(w, f)
	}
}

// atEndOf schedules a function for the end of a fault.
func (w *World) atEndOf(f timedFault, do func()) { w.Schedule.At(f.End(), Cause, do) }

// countOfShare returns the share of count, rounded: at least 1, unless count is 0.
func countOfShare(share float64, count int) int {
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

// startReconnect makes a share of the connected clients close their connections and reconnect at random times within the fault's length.
func (w *World) startReconnect(f timedFault) {
	r := RandomSource(w.Seed, "reconnect", f.number)
	for _, c := range append([]*Client(nil), w.clients...) {
		// Draws for every client that is present, connected or not: which clients are connected depends on the policy, and must not change
		// the draws of the others.
		draw := r.Float64()
		delay := UniformDuration(r, 0, f.Length)
		if draw >= f.Share || c.state != Connected {
			continue
		}
		w.Driver.LeaveFlow(c.endFlow())
		c.transition(Pausing)
		c.laterAttempts++
		c.afterInState(max(delay, time.Millisecond), c.attempt)
	}
}

func (w *World) startListOutage(f timedFault) {
	w.List.outages++
	w.atEndOf(f, func() {
		w.List.outages--
		if w.List.outages == 0 {
			w.List.sendAll()
		}
	})
}

func (w *World) startListDelay(f timedFault) {
	w.List.extraDelay += f.Extra
	w.atEndOf(f, func() { w.List.extraDelay -= f.Extra })
}

func (w *World) startPartition(f timedFault) {
	w.partition(f, 1)
	w.atEndOf(f, func() { w.partition(f, -1) })
}

// partition changes the number of faults that block traffic from a locality to the others, and back where Strength is 1 or more.
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

// startLocalityLost makes all servers of a locality unresponsive and kills all of its balancers.
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
