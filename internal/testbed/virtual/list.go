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
	subscribeDelay = 10 * time.Millisecond // until a call to subscribe reaches the list
	spareIDs       = 32                    // IDs reserved for servers that may be added
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

// ServerIDs returns the IDs of the first n servers, which are hashes of their names, as with balancers on sockets.
func ServerIDs(n int) map[decide.ServerID]simulation.ServerID {
	servers := make(map[decide.ServerID]simulation.ServerID, n)
	for s := range n {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(experiment.ServerName(simulation.ServerID(s)))) // Write of a hash never fails
		id := decide.ServerID(hash.Sum32())
		for _, taken := servers[id]; taken; _, taken = servers[id] {
			id++
		}
		servers[id] = simulation.ServerID(s)
	}
	return servers
}

// decideServerID returns the ID that deciders use for a server. The table grows with the fleet.
func (d *Driver) decideServerID(s simulation.ServerID) decide.ServerID {
	if len(d.decideIDs) <= int(s) {
		d.serverOf = ServerIDs(2 * (int(s) + spareIDs))
		d.decideIDs = make([]decide.ServerID, len(d.serverOf))
		for id, server := range d.serverOf {
			d.decideIDs[server] = id
		}
	}
	return d.decideIDs[s]
}

// UpdateList delivers an update of the server list to a balancer.
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

// endpoint converts a list entry to a decider's endpoint, with times on the decider's clock.
func (b *balancer) endpoint(entry simulation.Entry) decide.Endpoint {
	d := b.driver
	startedAt := decide.LongAgo
	if entry.StartedAt != simulation.LongAgo {
		startedAt = entry.StartedAt - b.startedAt
	}
	return decide.Endpoint{
		ID:        d.decideServerID(entry.Server),
		Zone:      decide.Zone(d.world.Localities[entry.Locality]),
		Cell:      decide.CellID(entry.Cell),
		Size:      entry.Size,
		Readiness: decideReadiness[entry.Readiness],
		StartedAt: startedAt,
	}
}

// announce reports to the checker that a server's state was announced to the balancer.
func (b *balancer) announce(s simulation.ServerID, readiness simulation.Readiness, startedAt time.Duration) {
	if startedAt == simulation.LongAgo {
		startedAt = invariants.LongAgo
	}
	e := b.event(invariants.ServerAnnounced)
	e.Server, e.Readiness, e.StartedAt = invariants.Server(s), checkerReadiness[readiness], startedAt
	b.driver.observe(e)
}

// WatchEndpoints subscribes to the list. Ending a watch needs no action.
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
