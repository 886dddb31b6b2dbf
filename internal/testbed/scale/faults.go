package scale

import (
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// When things happen in a fault's run.
const (
	faultAt                  = 5 * time.Second
	recoveryAt               = 25 * time.Second
	faultLength              = 60 * time.Second
	racksPerZone             = 5
	restartTime              = 2 * time.Second
	listChangeInterval       = 50 * time.Millisecond // changes of a list that changes faster than it is taken
	minSpreadDelay           = 30 * time.Millisecond
	maxSpreadDelay           = 1300 * time.Millisecond
	twoListsInterval         = 100 * time.Millisecond // two lists within one tick
	surgeLength              = 50 * time.Second
	connectionsOfOneBalancer = 79_012 // connections
)

// fault is one trouble of a hollow fleet.
type fault struct {
	name     string
	settings func(Settings) Settings // nil: as the file says
	fill     func(*fleet)            // nil: at rest
	begin    func(*fleet)
}

// faults are those that no rule may break under.
var faults = []fault{
	{name: "calm", begin: func(*fleet) {}},
	{name: "zone", begin: func(f *fleet) { f.loseAndRecover(isInLostZone) }},
	{name: "rack", begin: func(f *fleet) { f.loseAndRecover(isInLostRack) }},
	{name: "restart", begin: restartOne},
	{name: "fast-list", begin: fastList},
	{name: "whole-list", begin: replaceAll},
	{name: "two-lists", begin: twoLists},
	{name: "surge", settings: oneBalancer, fill: func(*fleet) {}, begin: surge},
	{name: "all-cold", begin: restartAllServers},
	{name: "all-but-one-out", begin: allButOneOut},
	{name: "list-of-one", settings: oneServer, begin: restartOne},
	{name: "half-group", fill: halfInOneGroup, begin: func(f *fleet) { f.loseAndRecover(isInLostZone) }},
}

// isInLostZone and inRack tell whether the n-th server or balancer of a zone goes.
func isInLostZone(zone, _ int) bool { return zone == 0 }
func isInLostRack(zone, n int) bool { return zone == 0 && n%racksPerZone == 0 }

// loseAndRecover has servers and balancers go without a word, and come back cold.
func (f *fleet) loseAndRecover(gone func(zone, n int) bool) {
	servers, balancers := f.scheduleLoss(gone)
	f.schedule.at(recoveryAt, func() {
		for _, s := range servers {
			f.startServer(s)
		}
		f.updateList(decide.Ready, servers, minStartListDelay, maxStartListDelay)
		for _, b := range balancers {
			b.start()
		}
	})
}

// scheduleLoss has servers and balancers go without a word.
func (f *fleet) scheduleLoss(gone func(zone, n int) bool) (servers []*backend, balancers []*instance) {
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
			f.stopServer(s, true)
		}
		for _, b := range balancers {
			b.stop()
		}
		f.updateList(decide.Gone, servers, minListDelay, maxListDelay)
	})
	return servers, balancers
}

// restartOne has a balancer end and start again with nothing.
func restartOne(f *fleet) {
	b := f.balancers[0]
	f.schedule.at(faultAt, b.stop)
	f.schedule.at(faultAt+restartTime, b.start)
}

// fastList has the list change faster than news of it arrive.
func fastList(f *fleet) {
	for at := faultAt; at < recoveryAt; at += listChangeInterval {
		f.schedule.at(at, func() {
			s := f.servers[f.random.IntN(len(f.servers))]
			to := decide.Draining
			if s.listedState == decide.Draining {
				to = decide.Ready
			}
			f.updateList(to, []*backend{s}, minSpreadDelay, maxSpreadDelay)
		})
	}
	f.schedule.at(recoveryAt, func() { f.updateList(decide.Ready, f.servers, minSpreadDelay, maxSpreadDelay) })
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
			s.listedState = decide.Gone
		}
		f.publishList(decide.FullUpdate, entries(young))
		f.schedule.at(recoveryAt, func() {
			for _, s := range old {
				f.stopServer(s, false)
			}
		})
	})
}

// twoLists brings two whole lists within one tick, each second: one without half of the servers, and one with all.
func twoLists(f *fleet) {
	for at := faultAt; at < recoveryAt; at += time.Second {
		f.schedule.at(at, func() { f.publishList(decide.FullUpdate, entries(f.servers[len(f.servers)/2:])) })
		f.schedule.at(at+twoListsInterval, func() { f.publishList(decide.FullUpdate, entries(f.servers)) })
	}
}

// oneBalancer takes what all of them hold, up to what one holds in the fleet ahead.
func oneBalancer(s Settings) Settings {
	s.Connections = min(s.Connections*s.Balancers, connectionsOfOneBalancer)
	s.Balancers = 1
	return s
}

// surge has all connections come to one balancer that holds none, evenly spread.
func surge(f *fleet) {
	for i := range f.settings.Connections {
		c := f.addClient(f.balancers[0], i%f.settings.Groups)
		f.schedule.at(time.Duration(i)*surgeLength/time.Duration(f.settings.Connections), c.arrive)
	}
}

// restartAllServers has all servers end at once and start again.
func restartAllServers(f *fleet) {
	f.schedule.at(faultAt, func() {
		for _, s := range f.servers {
			f.stopServer(s, false)
		}
	})
	f.schedule.at(faultAt+restartTime, func() {
		for _, s := range f.servers {
			f.startServer(s)
		}
		f.updateList(decide.Ready, f.servers, minStartListDelay, maxStartListDelay)
	})
}

// allButOneOut drains all servers but one.
func allButOneOut(f *fleet) {
	f.schedule.at(faultAt, func() { f.updateList(decide.Draining, f.servers[1:], minSpreadDelay, maxSpreadDelay) })
	f.schedule.at(recoveryAt, func() { f.updateList(decide.Ready, f.servers[1:], minSpreadDelay, maxSpreadDelay) })
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
		return 1 + settledGroup(i, server, len(f.servers), f.settings.Groups)
	})
}
