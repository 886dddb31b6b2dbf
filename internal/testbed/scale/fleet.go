package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// What the network, servers and clients of a hollow fleet do.
const (
	sameZoneWay  = 300 * time.Microsecond // one way
	crossZoneWay = time.Millisecond
	fastestSetup = 2 * time.Millisecond
	slowestSetup = 8 * time.Millisecond
	answerSlack  = 8 * time.Millisecond // an answer may come late by the way it travels
	relayReserve = 5 * time.Millisecond // what a balancer keeps of a client's time for the way there and back
	drainGrace   = 750 * time.Millisecond
	halfFull     = 2   // what a server can bear over what it holds on average
	loadEach     = 1.0 // of a connection

	returnSoonest     = 70 * time.Millisecond // a client that was cut or moved comes again
	returnLatest      = 680 * time.Millisecond
	retryAfter        = time.Second // one that was turned away
	silenceSoonest    = 4 * time.Second
	silenceLatest     = 5 * time.Second // a client gives up a connection that says nothing
	updateSoonest     = 1600 * time.Millisecond
	updateLatest      = 6800 * time.Millisecond // from a change to its being told
	startUpdateLatest = 2900 * time.Millisecond // the same for a server that is back
	startUpdateFirst  = 1100 * time.Millisecond
)

// fleet is hollow balancers, servers and clients in virtual time: one goroutine, one seed, one result.
type fleet struct {
	schedule  schedule
	chance    *rand.Rand
	settings  Settings
	peers     int
	checker   *invariants.Checker
	servers   []*backend
	balancers []*instance
	clients   []*client
	flows     int64
	connects  int64
	figures   figures

	busiestSecond time.Duration // the most processor time of one second: all balancers, and the model round them
}

// figures are what a run of a fleet came to.
type figures struct {
	cut, moved, rejected, aborted int
	slowestSetup                  time.Duration   // from a flow's coming to its standing
	back                          []time.Duration // of each client that was cut after the fault: from the fault to its standing again
	sent                          map[sentKey]int // connects by balancer and second
}

type sentKey struct {
	balancer int
	second   time.Duration
}

// busiest is the most connects that one balancer sent in one second.
func (f figures) busiest() (connects int) {
	for _, n := range f.sent {
		connects = max(connects, n)
	}
	return connects
}

// backAfter is the time after which so large a share of all cut clients stood again; nought where none was cut.
func (f figures) backAfter(share float64) time.Duration {
	if len(f.back) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(f.back))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// backend is a server.
type backend struct {
	id     decide.ServerID
	zone   int
	alive  bool
	silent bool // while it is not alive: it does not even refuse
	since  time.Duration
	listed decide.Readiness
	held   []*connect
}

// newFleet starts a fleet. Its balancers are told that there are so many.
func newFleet(s Settings, peers int, seed uint64) *fleet {
	f := &fleet{chance: rand.New(rand.NewPCG(seed, 0)), settings: s, peers: peers}
	f.figures.sent = map[sentKey]int{}
	f.checker = invariants.New(invariants.Limits{Slack: answerSlack, DrainGrace: drainGrace,
		SlowStartMultiple: slowStartMultiple, SlowStartWindow: slowStartWindow, SlowStart: warmAfter, MeanLoad: loadEach})
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

// fill has each balancer hold its connections at rest; what group each is of is up to the caller.
func (f *fleet) fill(group func(balancer, i, server int) int) {
	for _, b := range f.balancers {
		for i := range f.settings.Connections {
			at := i % len(f.servers)
			c := f.addClient(b, group(b.id, i, at))
			b.hold(c, f.servers[at])
		}
	}
}

// restingFill is that of hold: a group has as few servers as its connections need.
func (f *fleet) restingFill() {
	f.fill(func(_, i, server int) int {
		return establishedGroup(i, server, len(f.servers), f.settings.Groups)
	})
}

// run goes on to a time; it stops within a second of virtual time when told to.
func (f *fleet) run(end time.Duration, stopped func() bool) {
	for now := f.schedule.now; now < end && !stopped(); {
		now = min(now+time.Second, end)
		from := processorTime()
		f.schedule.runTo(now)
		f.busiestSecond = max(f.busiestSecond, processorTime()-from)
		f.checker.Advance(now)
	}
}

// finish tells the rules that were broken.
func (f *fleet) finish() []invariants.Violation {
	end := f.schedule.now
	f.schedule.runTo(end + 5*time.Second) // what came before the end is answered after it
	return f.checker.Finish(f.schedule.now)
}

func (f *fleet) see(e invariants.Event) {
	e.At = f.schedule.now
	f.checker.Observe(e)
}

// between draws a time.
func (f *fleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.chance.Float64()*float64(most-least))
}

// ---- servers

// fall ends a server. A silent one tells nobody: clients notice in their time.
func (f *fleet) fall(s *backend, silent bool) {
	s.alive, s.silent = false, silent
	held := s.held
	s.held = nil
	for _, c := range held {
		if silent {
			f.schedule.after(f.between(silenceSoonest, silenceLatest), func() { c.flow.leave() })
		} else {
			f.schedule.after(f.way(s.zone, c.flow.in.zone), func() { c.finish(decide.Reset) })
		}
	}
}

// rise starts a server anew, cold.
func (f *fleet) rise(s *backend) { s.alive, s.silent, s.since = true, false, f.schedule.now }

// takes is the load that a cold server can take a second: so much that it is full once it is warm.
func (s *backend) takes(f *fleet) float64 {
	full := halfFull * float64(f.settings.Connections*f.settings.Balancers) / float64(f.settings.Servers)
	warmth := slowStartFrom + (1-slowStartFrom)*min((f.schedule.now-s.since).Seconds()/warmAfter.Seconds(), 1)
	return full / warmAfter.Seconds() * warmth
}

func (f *fleet) way(from, to int) time.Duration {
	if from == to {
		return sameZoneWay
	}
	return crossZoneWay
}

// ---- news of the list

// entry is what the list says of a server.
func (s *backend) entry() server {
	return server{id: s.id, zone: s.zone, state: s.listed, since: s.since}
}

func entries(servers []*backend) (list []server) {
	for _, s := range servers {
		list = append(list, s.entry())
	}
	return list
}

// set changes what the list says of servers, and tells each balancer after a time of its own.
func (f *fleet) set(state decide.Readiness, servers []*backend, soonest, latest time.Duration) {
	for _, s := range servers {
		s.listed = state
	}
	list := entries(servers)
	for _, b := range f.balancers {
		life := b.incarnation
		b.updatesAt = max(b.updatesAt, f.schedule.now+f.between(soonest, latest)) // news keep their order
		f.schedule.at(b.updatesAt, func() {
			if b.up && b.incarnation == life {
				b.list(decide.DeltaUpdate, list)
			}
		})
	}
}

// tellAll hands every balancer a list at once.
func (f *fleet) tellAll(kind decide.UpdateKind, list []server) {
	for _, b := range f.balancers {
		if b.up {
			b.list(kind, list)
		}
	}
}

func (f *fleet) server(id decide.ServerID) *backend {
	if id < 1 || int(id) > len(f.servers) {
		panic(fmt.Sprintf("server %d was never listed", id))
	}
	return f.servers[id-1]
}
