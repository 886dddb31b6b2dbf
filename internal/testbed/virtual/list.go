package virtual

import (
	"hash/fnv"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

const (
	subscribeDelay = 10 * time.Millisecond // until a call for the list has arrived
	spareIDs       = 32                    // of servers that may be added
)

var (
	decideReadiness = [...]decide.Readiness{
		simulation.Ready:    decide.Ready,
		simulation.Draining: decide.Draining,
		simulation.Gone:     decide.Gone,
	}
	checkerReadiness = [...]invariants.Readiness{
		simulation.Ready:    invariants.Ready,
		simulation.Draining: invariants.Draining,
		simulation.Gone:     invariants.Gone,
	}
)

// ServerIDs are the ids of the first n servers by their names alone, as balancers on sockets have them.
func ServerIDs(n int) map[decide.ServerID]simulation.ServerID {
	servers := make(map[decide.ServerID]simulation.ServerID, n)
	for s := range n {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(experiment.ServerName(simulation.ServerID(s)))) // a hash takes all
		id := decide.ServerID(hash.Sum32())
		for _, taken := servers[id]; taken; _, taken = servers[id] {
			id++
		}
		servers[id] = simulation.ServerID(s)
	}
	return servers
}

// decideID is the id of a server at the deciders. The table grows with the fleet.
func (d *Driver) decideID(s simulation.ServerID) decide.ServerID {
	if len(d.ids) <= int(s) {
		d.serverOf = ServerIDs(2 * (int(s) + spareIDs))
		d.ids = make([]decide.ServerID, len(d.serverOf))
		for id, server := range d.serverOf {
			d.ids[server] = id
		}
	}
	return d.ids[s]
}

// UpdateList brings a balancer an update of the server list.
func (d *Driver) UpdateList(to simulation.BalancerID, isFull bool, entries []simulation.Entry) {
	b := d.balancers[to]
	if !b.isUp {
		return
	}
	kind := decide.DeltaUpdate
	if isFull {
		kind = decide.FullUpdate
	}
	b.updateList(kind, entries)
}

func (b *balancer) updateList(kind decide.UpdateKind, entries []simulation.Entry) {
	d, decider := b.driver, b.decide()
	decider.BeginEndpoints(kind)
	listed := map[simulation.ServerID]bool{}
	for _, entry := range entries {
		listed[entry.Server] = true
		b.announce(entry.Server, entry.Readiness, entry.StartedAt)
		decider.OnEndpoint(b.endpoint(entry))
	}
	if kind == decide.FullUpdate {
		for _, s := range d.world.Servers {
			if !listed[s.ID] {
				b.announce(s.ID, simulation.Gone, simulation.LongAgo)
			}
		}
	}
	decider.EndEndpoints()
}

// endpoint is an entry as the decider has it, with the times of its own clock.
func (b *balancer) endpoint(entry simulation.Entry) decide.Endpoint {
	d := b.driver
	startedAt := decide.LongAgo
	if entry.StartedAt != simulation.LongAgo {
		startedAt = entry.StartedAt - b.startedAt
	}
	return decide.Endpoint{
		ID:        d.decideID(entry.Server),
		Zone:      decide.Zone(d.world.Localities[entry.Locality]),
		Cell:      decide.CellID(entry.Cell),
		Size:      entry.Size,
		Readiness: decideReadiness[entry.Readiness],
		StartedAt: startedAt,
	}
}

// announce tells the checker what the balancer is told of a server.
func (b *balancer) announce(s simulation.ServerID, readiness simulation.Readiness, startedAt time.Duration) {
	if startedAt == simulation.LongAgo {
		startedAt = invariants.LongAgo
	}
	e := b.event(invariants.ServerAnnounced)
	e.Server, e.Readiness, e.StartedAt = invariants.Server(s), checkerReadiness[readiness], startedAt
	b.driver.observe(e)
}

// WatchEndpoints subscribes to the list. A watch that ends needs nothing.
func (b *balancer) WatchEndpoints(on bool) {
	if !on {
		return
	}
	b.driver.world.Schedule.After(subscribeDelay, simulation.ListUpdate, b.whileRunning(func() {
		if !b.driver.world.List.Subscribe(b.id) {
			b.decide().BeginEndpoints(decide.FailedUpdate)
		}
	}))
}
