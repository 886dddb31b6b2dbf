package scale

import (
	"context"
	"runtime"
	"slices"

	"yardwinch/decide"
)

func init() {
	register("groups", groupsSweep, sweepInput{
		against: []string{keyGroups},
		keys:    []string{keyServers, keyConnections, keyGroups, keyZones},
	})
}

const placementsPerContextCheck = 1000

// groupsSweep places the connections of many groups through one balancer, as a function of the number of groups.
func groupsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	newSeries := seriesFactory(s, "groups", roleControl)
	memory := newSeries(seriesKind{
		name: "memory", unit: "bytes", origin: Measured, counted: true,
		quantity: "live memory of the decisions that hold the list and all connections",
	})
	processor := newSeries(seriesKind{
		name: "processor-time", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time " + quantityOfPlacement,
	})
	spread := newSeries(seriesKind{
		name: "servers-a-group", unit: "servers", origin: Simulated, counted: true,
		quantity: "servers that a group is spread over, on average",
	})
	widest := newSeries(seriesKind{
		name: "servers-of-the-widest", unit: "servers", origin: Simulated, counted: true,
		quantity: "servers that the most widely spread group is on",
	})
	uneven := newSeries(seriesKind{
		name: "unevenness", unit: "ratio", origin: Simulated, counted: true,
		quantity: "connections of the most loaded server relative to the mean",
	})
	rejected := 0
	for i, size := range s.Sizes {
		one := s.withSize(size)
		before := liveMemory()
		h := newSimulatedBalancer(s.Seed, simulatedSettings{peers: defaultPeers})
		h.updateList(decide.FullUpdate, warmServers(one.Servers, one.Zones))
		placed, err := placeConnections(ctx, h, one)
		if err != nil {
			return nil, nil, err
		}
		memory.addPoint(size, float64(liveMemory()-before))
		spread.addPoint(size, placed.meanSpread())
		widest.addPoint(size, float64(placed.widest()))
		uneven.addPoint(size, unevenness(placed.onServer))
		placement := measure(placementBatches, placementFlows, newPlacementWork(h, s.Seed, one.Groups))
		processor.addPoint(size, microseconds(placement.processor))
		rejected += h.rejected
		runtime.KeepAlive(h)
		progress(i+1, len(s.Sizes))
	}
	return []Series{*memory, *processor, *spread, *widest, *uneven}, []Check{placementCheck(rejected)}, nil
}

// placementResult states where connections were placed.
type placementResult struct {
	onServer       []int                      // connections by server
	serversByGroup []map[decide.ServerID]bool // servers by group
}

// placeConnections places connections one by one, with the groups in turn.
func placeConnections(ctx context.Context, h *simulatedBalancer, s Settings) (placementResult, error) {
	all := placementResult{onServer: make([]int, s.Servers), serversByGroup: make([]map[decide.ServerID]bool, s.Groups)}
	for i := range s.Connections {
		if i%placementsPerContextCheck == 0 && ctx.Err() != nil {
			return all, ctx.Err()
		}
		group := i % s.Groups
		h.now += placementInterval
		at, established := h.placeFlow(flowName(i), groupName(group))
		if !established {
			continue
		}
		all.onServer[at-1]++
		if all.serversByGroup[group] == nil {
			all.serversByGroup[group] = map[decide.ServerID]bool{}
		}
		all.serversByGroup[group][at] = true
	}
	return all, nil
}

func (p placementResult) meanSpread() float64 {
	total, groups := 0, 0
	for _, holders := range p.serversByGroup {
		if len(holders) > 0 {
			total += len(holders)
			groups++
		}
	}
	return float64(total) / float64(max(groups, 1))
}

func (p placementResult) widest() (servers int) {
	for _, holders := range p.serversByGroup {
		servers = max(servers, len(holders))
	}
	return servers
}

// unevenness returns the ratio of the largest count to the mean.
func unevenness(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(sum)
}
