package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"

	"yardwinch/decide"
)

func init() {
	register("balancers", balancersSweep, input{
		against: []string{byBalancers},
		keys:    []string{byBalancers, byServers, byConnections, byGroups, byZones},
	})
}

// balancersSweep runs many small hollow balancers before the same servers.
func balancersSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	form := seriesOf(s, "balancers", roleControl)
	memory := form("memory", "live memory of one hollow balancer", "bytes", Simulated, true)
	uneven := form("unevenness", "connections of the fullest server over the mean, all balancers together", "ratio", Simulated, true)
	turned := 0
	for i, size := range s.Sizes {
		one := s.at(size)
		before := liveMemory()
		fleet, onServer, err := smallFleet(ctx, one)
		if err != nil {
			return nil, nil, err
		}
		memory.add(size, float64(liveMemory()-before)/float64(size))
		uneven.add(size, unevenness(onServer))
		for _, h := range fleet {
			turned += h.rejected
		}
		runtime.KeepAlive(fleet)
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "every flow is placed", Held: turned == 0, Detail: fmt.Sprintf("%d turned away", turned)}
	return []Series{*memory, *uneven}, []Check{check}, nil
}

// smallFleet has connections of groups drawn by chance come to each balancer, and counts where they stand.
func smallFleet(ctx context.Context, s Settings) (fleet []*hollow, onServer []int, err error) {
	servers := warmServers(s.Servers, s.Zones)
	onServer = make([]int, s.Servers)
	for b := range s.Balancers {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		chance := rand.New(rand.NewPCG(s.Seed, uint64(b)))
		h := newHollow(chance.Uint64(), terms{peers: s.Balancers, inZone: b % s.Zones})
		h.list(decide.FullUpdate, servers)
		for i := range s.Connections {
			h.now += betweenPlacements
			if at, stands := h.place(flowName(i), groupName(chance.IntN(s.Groups))); stands {
				onServer[at-1]++
			}
		}
		fleet = append(fleet, h)
	}
	return fleet, onServer, nil
}
