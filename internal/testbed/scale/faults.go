package scale

import (
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// When things happen in a fault's run.
const (
	faultAt     = 5 * time.Second
	mendedAt    = 25 * time.Second
	faultLength = 60 * time.Second
	racksAZone  = 5
	restartTook = 2 * time.Second
	listEvery   = 50 * time.Millisecond // changes of a list that changes faster than it is taken
	spreadLeast = 30 * time.Millisecond
	spreadMost  = 1300 * time.Millisecond
	betweenTwo  = 100 * time.Millisecond // two lists within one tick
	surgeLength = 50 * time.Second
	heldByOne   = 79_012 // connections
)

// fault is one trouble of a hollow fleet.
type fault struct {
	name  string
	shape func(Settings) Settings // nil: as the file says
	fill  func(*fleet)            // nil: at rest
	begin func(*fleet)
}

// faults are those that no rule may break under.
var faults = []fault{
	{name: "calm", begin: func(*fleet) {}},
	{name: "zone", begin: func(f *fleet) { f.lose(inZone) }},
	{name: "rack", begin: func(f *fleet) { f.lose(inRack) }},
	{name: "restart", begin: restartOne},
	{name: "fast-list", begin: fastList},
	{name: "whole-list", begin: replaceAll},
	{name: "two-lists", begin: twoLists},
	{name: "surge", shape: oneBalancer, fill: func(*fleet) {}, begin: surge},
	{name: "all-cold", begin: allInSlowStart},
	{name: "all-but-one-out", begin: allButOneOut},
	{name: "list-of-one", shape: oneServer, begin: restartOne},
	{name: "half-group", fill: halfInOneGroup, begin: func(f *fleet) { f.lose(inZone) }},
}

// inZone and inRack tell whether the n-th server or balancer of a zone goes.
func inZone(zone, _ int) bool { return zone == 0 }
func inRack(zone, n int) bool { return zone == 0 && n%racksAZone == 0 }

// lose has servers and balancers go without a word, and come back cold.
func (f *fleet) lose(gone func(zone, n int) bool) {
	servers, balancers := f.takeAway(gone)
	f.schedule.at(mendedAt, func() {
		for _, s := range servers {
			f.rise(s)
		}
		f.set(decide.Ready, servers, startUpdateFirst, startUpdateLatest)
		for _, b := range balancers {
			b.start()
		}
	})
}

// takeAway has servers and balancers go without a word.
func (f *fleet) takeAway(gone func(zone, n int) bool) (servers []*backend, balancers []*instance) {
	for i, s := range f.servers {
		if gone(s.zone, i/f.settings.Zones) {
			servers = append(servers, s)
		}
	}
	for i, b := range f.balancers {
		if gone(b.zone, i/f.settings.Zones) {
			balancers = append(balancers, b)
		}
	}
	f.schedule.at(faultAt, func() {
		for _, s := range servers {
			f.fall(s, true)
		}
		for _, b := range balancers {
			b.fall()
		}
		f.set(decide.Gone, servers, updateSoonest, updateLatest)
	})
	return servers, balancers
}

// restartOne has a balancer end and start again with nothing.
func restartOne(f *fleet) {
	b := f.balancers[0]
	f.schedule.at(faultAt, b.fall)
	f.schedule.at(faultAt+restartTook, b.start)
}

// fastList has the list change faster than news of it arrive.
func fastList(f *fleet) {
	for at := faultAt; at < mendedAt; at += listEvery {
		f.schedule.at(at, func() {
			s := f.servers[f.chance.IntN(len(f.servers))]
			to := decide.Draining
			if s.listed == decide.Draining {
				to = decide.Ready
			}
			f.set(to, []*backend{s}, spreadLeast, spreadMost)
		})
	}
	f.schedule.at(mendedAt, func() { f.set(decide.Ready, f.servers, spreadLeast, spreadMost) })
}

// replaceAll brings a list in one message of which no server was there before.
func replaceAll(f *fleet) {
	f.schedule.at(faultAt, func() {
		old := f.servers
		var young []*backend
		for range old {
			young = append(young, f.addServer(invariants.LongAgo))
		}
		for _, s := range old {
			s.listed = decide.Gone
		}
		f.tellAll(decide.FullUpdate, entries(young))
		f.schedule.at(mendedAt, func() {
			for _, s := range old {
				f.fall(s, false)
			}
		})
	})
}

// twoLists brings two whole lists within one tick, each second: one without half of the servers, and one with all.
func twoLists(f *fleet) {
	for at := faultAt; at < mendedAt; at += time.Second {
		f.schedule.at(at, func() { f.tellAll(decide.FullUpdate, entries(f.servers[len(f.servers)/2:])) })
		f.schedule.at(at+betweenTwo, func() { f.tellAll(decide.FullUpdate, entries(f.servers)) })
	}
}

// oneBalancer takes what all of them hold, up to what one holds in the fleet ahead.
func oneBalancer(s Settings) Settings {
	s.Connections = min(s.Connections*s.Balancers, heldByOne)
	s.Balancers = 1
	return s
}

// surge has all connections come to one balancer that holds none, evenly spread.
func surge(f *fleet) {
	for i := range f.settings.Connections {
		c := f.addClient(f.balancers[0], i%f.settings.Groups)
		f.schedule.at(time.Duration(i)*surgeLength/time.Duration(f.settings.Connections), c.come)
	}
}

// allInSlowStart has all servers end at once and start again.
func allInSlowStart(f *fleet) {
	f.schedule.at(faultAt, func() {
		for _, s := range f.servers {
			f.fall(s, false)
		}
	})
	f.schedule.at(faultAt+restartTook, func() {
		for _, s := range f.servers {
			f.rise(s)
		}
		f.set(decide.Ready, f.servers, startUpdateFirst, startUpdateLatest)
	})
}

// allButOneOut drains all servers but one.
func allButOneOut(f *fleet) {
	f.schedule.at(faultAt, func() { f.set(decide.Draining, f.servers[1:], spreadLeast, spreadMost) })
	f.schedule.at(mendedAt, func() { f.set(decide.Ready, f.servers[1:], spreadLeast, spreadMost) })
}

func oneServer(s Settings) Settings {
	s.Servers = 1
	return s
}

// halfInOneGroup fills the fleet with one group that is half of all connections.
func halfInOneGroup(f *fleet) {
	f.fill(func(_, i, server int) int {
		if i/len(f.servers)%2 == 0 {
			return 0
		}
		return 1 + establishedGroup(i, server, len(f.servers), f.settings.Groups)
	})
}
