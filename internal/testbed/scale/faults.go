package scale

import (
	"time"

	"yardwinch/decide"
	"yardwinch/internal/testbed/invariants"
)

// Times and sizes of the simulated faults.
const (
	faultAt                = 5 * time.Second
	recoveryAt             = 25 * time.Second
	faultLength            = 60 * time.Second
	racksPerZone           = 5
	restartTime            = 2 * time.Second
	listChangeInterval     = 50 * time.Millisecond // shorter than most updates take to arrive
	minSpreadDelay         = 30 * time.Millisecond
	maxSpreadDelay         = 1300 * time.Millisecond
	twoListsInterval       = 100 * time.Millisecond // two lists within one tick
	surgeLength            = 50 * time.Second
	maxBalancerConnections = 79_012 // connectionsPerBalancer, rounded
)

// fault is a fault that is simulated in a fleet.
type fault struct {
	name     string
	settings func(Settings) Settings // adapts the file's settings; nil: unchanged
	fill     func(*fleet)            // establishes connections; nil: evenly
	begin    func(*fleet)            // schedules the fault
}

// faults are all simulated faults. None may violate an invariant.
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

// isInLostZone and isInLostRack report whether the n-th server or balancer of a zone is lost.
func isInLostZone(zone, _ int) bool { return zone == 0 }
func isInLostRack(zone, n int) bool { return zone == 0 && n%racksPerZone == 0 }

// loseAndRecover stops the selected servers and balancers without notice at faultAt and starts them again at recoveryAt.
func (f *fleet) loseAndRecover(lost func(zone, n int) bool) {
	servers, balancers := f.scheduleLoss(lost)
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

// scheduleLoss schedules that the selected servers and balancers stop without notice at faultAt, and returns them.
func (f *fleet) scheduleLoss(lost func(zone, n int) bool) (servers []*backend, balancers []*instance) {
	for i, s := range f.servers {
		if lost(s.zone, i/f.settings.Zones) {
			servers = append(servers, s)
		}
	}
	for i, b := range f.balancers {
		if lost(b.zone, i/f.settings.Zones) {
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

// restartOne stops a balancer and starts it again without state.
func restartOne(f *fleet) {
	b := f.balancers[0]
	f.schedule.at(faultAt, b.stop)
	f.schedule.at(faultAt+restartTime, b.start)
}

// fastList changes the list at intervals shorter than most updates take to arrive.
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

// replaceAll replaces all servers of the list in one update, and stops the old ones later.
func replaceAll(f *fleet) {
	f.schedule.at(faultAt, func() {
		old := f.servers
		var replacements []*backend
		for range old {
			replacements = append(replacements, f.addServer(invariants.LongAgo))
		}
		for _, s := range old {
			s.listedState = decide.Gone
		}
		f.publishList(decide.FullUpdate, entries(replacements))
		f.schedule.at(recoveryAt, func() {
			for _, s := range old {
				f.stopServer(s, false)
			}
		})
	})
}

// twoLists publishes two full lists within one tick, every second: one with half of the servers, and one with all.
func twoLists(f *fleet) {
	for at := faultAt; at < recoveryAt; at += time.Second {
		f.schedule.at(at, func() { f.publishList(decide.FullUpdate, entries(f.servers[len(f.servers)/2:])) })
		f.schedule.at(at+twoListsInterval, func() { f.publishList(decide.FullUpdate, entries(f.servers)) })
	}
}

// oneBalancer gives one balancer the connections of all, up to maxBalancerConnections.
func oneBalancer(s Settings) Settings {
	s.Connections = min(s.Connections*s.Balancers, maxBalancerConnections)
	s.Balancers = 1
	return s
}

// surge makes all clients arrive at one balancer without connections, at a constant rate.
func surge(f *fleet) {
	for i := range f.settings.Connections {
		c := f.addClient(f.balancers[0], i%f.settings.Groups)
		f.schedule.at(time.Duration(i)*surgeLength/time.Duration(f.settings.Connections), c.arrive)
	}
}

// restartAllServers stops all servers at once and starts them again.
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

// allButOneOut drains all servers but one, and later returns them to service.
func allButOneOut(f *fleet) {
	f.schedule.at(faultAt, func() { f.updateList(decide.Draining, f.servers[1:], minSpreadDelay, maxSpreadDelay) })
	f.schedule.at(recoveryAt, func() { f.updateList(decide.Ready, f.servers[1:], minSpreadDelay, maxSpreadDelay) })
}

func oneServer(s Settings) Settings {
	s.Servers = 1
	return s
}

// halfInOneGroup puts half of all connections into one group.
func halfInOneGroup(f *fleet) {
	f.fill(func(_, i, server int) int {
		if i/len(f.servers)%2 == 0 {
			return 0
		}
		return 1 + settledGroup(i, server, len(f.servers), f.settings.Groups)
	})
}
