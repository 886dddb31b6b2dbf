package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// Behaviour of the network, servers and clients of a simulated fleet.
const (
	sameZoneDelay    = 300 * time.Microsecond // one way
	crossZoneDelay   = time.Millisecond
	minSetup         = 2 * time.Millisecond
	maxSetup         = 8 * time.Millisecond
	answerTolerance  = 8 * time.Millisecond // by which an answer may exceed its deadline, due to the network's delay
	relayTime        = 5 * time.Millisecond // part of a client's timeout that the balancer reserves for the network
	drainGrace       = 750 * time.Millisecond
	capacityMultiple = 2   // connections that a warm server accepts during warmUp, relative to the mean number on a server
	connectionLoad   = 1.0 // load of one connection

	minReturnDelay    = 70 * time.Millisecond // until a disconnected or migrated client connects again
	maxReturnDelay    = 680 * time.Millisecond
	retryAfter        = time.Second // least time until a rejected client connects again
	minSilenceTimeout = 4 * time.Second
	maxSilenceTimeout = 5 * time.Second // after which a client closes a connection to a silent server
	minListDelay      = 1600 * time.Millisecond
	maxListDelay      = 6800 * time.Millisecond // from a change until a balancer receives it
	maxStartListDelay = 2900 * time.Millisecond // the same, for the start of a server
	minStartListDelay = 1100 * time.Millisecond
)

// fleet is a set of simulated balancers, servers and clients in virtual time. It is single-threaded and deterministic
// for a given seed.
type fleet struct {
	schedule     schedule
	random       *rand.Rand
	settings     Settings
	peers        int
	checker      *invariants.Checker
	servers      []*backend
	balancers    []*instance
	clients      []*client
	flowCount    int64
	connectCount int64
	stats        fleetStats

	busiestSecond time.Duration // largest processor time used for one virtual second, by all balancers and the simulation
}

// fleetStats are the results of a fleet's run.
type fleetStats struct {
	disconnected, migrated, rejected, aborted int
	slowestSetup                              time.Duration      // from a flow's arrival until it is established
	recoveryTimes                             []time.Duration    // of disconnected clients, from the fault until established again
	connectsSent                              map[connectKey]int // by balancer and second
}

type connectKey struct {
	balancer int
	second   time.Duration
}

// busiestConnects returns the largest number of connects that one balancer sent in a second.
func (f fleetStats) busiestConnects() (connects int) {
	for _, n := range f.connectsSent {
		connects = max(connects, n)
	}
	return connects
}

// recoveryQuantile returns the time after which the given share of disconnected clients is established again; 0 if no
// client was disconnected.
func (f fleetStats) recoveryQuantile(share float64) time.Duration {
	if len(f.recoveryTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(f.recoveryTimes))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// backend is a simulated server.
type backend struct {
	id          decide.ServerID
	zone        int
	alive       bool
	silent      bool // if not alive: connects to it time out rather than being refused
	since       time.Duration
	listedState decide.Readiness
	connects    []*connect
}

// newFleet starts a fleet whose balancers are configured for the given number of peers.
func newFleet(s Settings, peers int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), settings: s, peers: peers}
	f.stats.connectsSent = map[connectKey]int{}
	f.checker = invariants.New(invariants.Limits{Slack: answerTolerance, DrainGrace: drainGrace,
		SlowStartMultiple: overloadMultiple, SlowStartWindow: slowStartWindow, SlowStart: warmUp, MeanLoad: connectionLoad})
	for range s.Servers {
		f.addServer(invariants.LongAgo)
	}
	for i := range s.Balancers {
		f.balancers = append(f.balancers, &instance{fleet: f, id: i, zone: i % s.Zones})
		f.balancers[i].start()
	}
	return f
}

func (f *fleet) addServer(since time.Duration) *backend {
	n := len(f.servers)
	s := &backend{id: decide.ServerID(n + 1), zone: n % f.settings.Zones, alive: true, since: since}
	f.servers = append(f.servers, s)
	return s
}

// fill establishes the connections of each balancer, evenly over the servers; group selects the group of each connection.
func (f *fleet) fill(group func(balancer, i, server int) int) {
	for _, b := range f.balancers {
		for i := range f.settings.Connections {
			at := i % len(f.servers)
			c := f.addClient(b, group(b.id, i, at))
			b.adopt(c, f.servers[at])
		}
	}
}

// fillEvenly establishes connections evenly, with each group on as few servers as possible; see settledGroup.
func (f *fleet) fillEvenly() {
	f.fill(func(_, i, server int) int {
		return settledGroup(i, server, len(f.servers), f.settings.Groups)
	})
}

// run advances virtual time to end. It stops within a second of virtual time once stopped reports true.
func (f *fleet) run(end time.Duration, stopped func() bool) {
	for now := f.schedule.now; now < end && !stopped(); {
		now = min(now+time.Second, end)
		from := processorTime()
		f.schedule.runTo(now)
		f.busiestSecond = max(f.busiestSecond, processorTime()-from)
		f.checker.Advance(now)
	}
}

// violations ends the run and returns the violated invariants.
func (f *fleet) violations() []invariants.Violation {
	end := f.schedule.now
	f.schedule.runTo(end + 5*time.Second) // for the answers to flows that arrived before the end
	return f.checker.Finish(f.schedule.now)
}

func (f *fleet) observe(e invariants.Event) {
	e.At = f.schedule.now
	f.checker.Observe(e)
}

// randomDelay draws a uniformly distributed delay.
func (f *fleet) randomDelay(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(f.random.Float64()*float64(maximum-minimum))
}

// ---- servers

// stopServer stops a server. If silent, clients notice only when their timeouts expire.
func (f *fleet) stopServer(s *backend, silent bool) {
	s.alive = false
	s.silent = silent
	held := s.connects
	s.connects = nil
	for _, c := range held {
		if silent {
			f.schedule.after(f.randomDelay(minSilenceTimeout, maxSilenceTimeout), func() { c.flow.leave() })
		} else {
			f.schedule.after(f.delay(s.zone, c.flow.balancer.zone), func() { c.finish(decide.Reset) })
		}
	}
}

// startServer starts a server again; it is cold.
func (f *fleet) startServer(s *backend) { s.alive, s.silent, s.since = true, false, f.schedule.now }

// capacity returns the load that a server accepts in a second; it grows until the server is warm.
func (s *backend) capacity(f *fleet) float64 {
	full := capacityMultiple * float64(f.settings.Connections*f.settings.Balancers) / float64(f.settings.Servers)
	warmth := initialCapacity + (1-initialCapacity)*min((f.schedule.now-s.since).Seconds()/warmUp.Seconds(), 1)
	return full / warmUp.Seconds() * warmth
}

func (f *fleet) delay(from, to int) time.Duration {
	if from == to {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// ---- list updates

// entry is the server's entry in the list.
func (s *backend) entry() listedServer {
	return listedServer{id: s.id, zone: s.zone, state: s.listedState, since: s.since}
}

func entries(servers []*backend) (list []listedServer) {
	for _, s := range servers {
		list = append(list, s.entry())
	}
	return list
}

// updateList changes the state of servers in the list. Each balancer receives the update after a random delay between
// soonest and latest.
func (f *fleet) updateList(state decide.Readiness, servers []*backend, soonest, latest time.Duration) {
	for _, s := range servers {
		s.listedState = state
	}
	list := entries(servers)
	for _, b := range f.balancers {
		incarnation := b.incarnation
		b.lastUpdateAt = max(b.lastUpdateAt, f.schedule.now+f.randomDelay(soonest, latest)) // updates arrive in order
		f.schedule.at(b.lastUpdateAt, func() {
			if b.up && b.incarnation == incarnation {
				b.updateList(decide.DeltaUpdate, list)
			}
		})
	}
}

// publishList sends a list to every balancer without delay.
func (f *fleet) publishList(kind decide.UpdateKind, list []listedServer) {
	for _, b := range f.balancers {
		if b.up {
			b.updateList(kind, list)
		}
	}
}

func (f *fleet) server(id decide.ServerID) *backend {
	if id < 1 || int(id) > len(f.servers) {
		panic(fmt.Sprintf("server %d was never listed", id))
	}
	return f.servers[id-1]
}
