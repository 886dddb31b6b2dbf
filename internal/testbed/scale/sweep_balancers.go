package scale

import (
	"context"
	"math/rand/v2"
	"runtime"

	"yardwinch/decide"
)

func init() {
	register("balancers", balancersSweep, sweepInput{
		against: []string{keyBalancers},
		keys:    []string{keyBalancers, keyServers, keyConnections, keyGroups, keyZones},
	})
}

// balancersSweep runs many small simulated balancers that share a list of servers.
func balancersSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	newSeries := seriesFactory(s, "balancers", roleControl)
	memory := newSeries(seriesKind{
		name: "memory", unit: "bytes", origin: Simulated, counted: true,
		quantity: "live memory of one hollow balancer",
	})
	uneven := newSeries(seriesKind{
		name: "unevenness", unit: "ratio", origin: Simulated, counted: true,
		quantity: "connections of the most loaded server relative to the mean, all balancers together",
	})
	rejected := 0
	for i, size := range s.Sizes {
		one := s.withSize(size)
		before := liveMemory()
		fleet, onServer, err := smallFleet(ctx, one)
		if err != nil {
			return nil, nil, err
		}
		memory.addPoint(size, float64(liveMemory()-before)/float64(size))
		uneven.addPoint(size, unevenness(onServer))
		for _, h := range fleet {
			rejected += h.rejected
		}
		runtime.KeepAlive(fleet)
		progress(i+1, len(s.Sizes))
	}
	return []Series{*memory, *uneven}, []Check{placementCheck(rejected)}, nil
}

// smallFleet places connections of random groups through each balancer, and counts them by server.
func smallFleet(ctx context.Context, s Settings) (fleet []*simulatedBalancer, onServer []int, err error) {
	servers := warmServers(s.Servers, s.Zones)
	onServer = make([]int, s.Servers)
	for b := range s.Balancers {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		random := rand.New(rand.NewPCG(s.Seed, uint64(b)))
		h := newSimulatedBalancer(random.Uint64(), simulatedSettings{peers: s.Balancers, zone: b % s.Zones})
		h.updateList(decide.FullUpdate, servers)
		for i := range s.Connections {
			h.now += placementInterval
			if at, established := h.placeFlow(flowName(i), groupName(random.IntN(s.Groups))); established {
				onServer[at-1]++
			}
		}
		fleet = append(fleet, h)
	}
	return fleet, onServer, nil
}
