package virtual

import (
	"hash/fnv"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/invariants"
)

// Numbers are the ids of the first n servers by their names alone, as balancers on sockets have them.
func Numbers(n int) map[decide.ServerID]simulation.ServerID {
	of := make(map[decide.ServerID]simulation.ServerID, n)
	for s := range n {
		h := fnv.New32a()
		_, _ = h.Write([]byte(experiment.ServerName(simulation.ServerID(s))))
		id := decide.ServerID(h.Sum32())
		for _, taken := of[id]; taken; _, taken = of[id] {
			id++
		}
		of[id] = simulation.ServerID(s)
	}
	return of
}

// number is the id of a server; the list grows with the fleet.
func (dr *Drive) number(s simulation.ServerID) decide.ServerID {
	if len(dr.numbers) <= int(s) {
		dr.byNum = Numbers(2 * (int(s) + 32))
		dr.numbers = make([]decide.ServerID, len(dr.byNum))
		for id, at := range dr.byNum {
			dr.numbers[at] = id
		}
	}
	return dr.numbers[s]
}

var readiness = [...]decide.Readiness{simulation.Ready: decide.Ready, simulation.Draining: decide.Draining, simulation.Gone: decide.Gone}
var told = [...]invariants.State{simulation.Ready: invariants.Ready, simulation.Draining: invariants.Draining, simulation.Gone: invariants.Gone}

// News brings a balancer a call of the server list.
func (dr *Drive) News(b simulation.BalancerID, full bool, entries []simulation.Entry) {
	in := dr.inst[b]
	if !in.up {
		return
	}
	k := decide.DeltaUpdate
	if full {
		k = decide.FullUpdate
	}
	in.list(k, entries)
}

func (in *instance) list(k decide.UpdateKind, entries []simulation.Entry) {
	dr, b := in.dr, in.event()
	b.BeginEndpoints(k)
	seen := map[simulation.ServerID]bool{}
	for _, e := range entries {
		seen[e.Server] = true
		since := decide.LongAgo
		if e.Since != simulation.LongAgo {
			since = e.Since - in.start
		}
		in.see(e.Server, e.State, e.Since)
		b.OnEndpoint(decide.Endpoint{ID: dr.number(e.Server), Zone: decide.Zone(dr.w.Halls[e.Hall]), Cell: decide.CellID(e.Cell), Size: e.Size, Readiness: readiness[e.State], StartedAt: since})
	}
	if k == decide.FullUpdate {
		for _, s := range dr.w.Servers {
			if !seen[s.ID] {
				in.see(s.ID, simulation.Gone, simulation.LongAgo)
			}
		}
	}
	b.EndEndpoints()
}

func (in *instance) WatchEndpoints(on bool) {
	if !on {
		return
	}
	life := in.life
	in.dr.w.Agenda.After(10*time.Millisecond, simulation.News, func() {
		if in.up && in.life == life && !in.dr.w.List.Ask(in.id) {
			in.event().BeginEndpoints(decide.FailedUpdate)
		}
	})
}
