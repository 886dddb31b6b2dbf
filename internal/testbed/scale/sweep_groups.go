package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"

	"yardwinch/decide"
)

func init() {
	register("groups", groupsSweep, input{
		against: []string{byGroups},
		keys:    []string{byServers, byConnections, byGroups, byZones},
	})
}

const placedBetweenLooks = 1000 // placements between two looks at whether the run is to end

// groupsSweep places connections of distinct groups at one balancer.
func groupsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	form := seriesOf(s, "groups", roleControl)
	memory := form("memory", "live memory of the decisions that hold the list and all connections", "bytes", Measured, true)
	processor := form("processor-time", "processor time "+quantityOfPlacement, unitMicroseconds, Measured, false)
	spread := form("servers-a-group", "servers that a group is spread over, on average", "servers", Simulated, true)
	widest := form("servers-of-the-widest", "servers that the most widely spread group is on", "servers", Simulated, true)
	uneven := form("unevenness", "connections of the fullest server over the mean", "ratio", Simulated, true)
	turned := 0
	for i, size := range s.Sizes {
		one := s.at(size)
		before := liveMemory()
		h := newHollow(s.Seed, terms{peers: peers})
		h.list(decide.FullUpdate, warmServers(one.Servers, one.Zones))
		placed, err := fill(ctx, h, one)
		if err != nil {
			return nil, nil, err
		}
		memory.add(size, float64(liveMemory()-before))
		spread.add(size, placed.meanSpread())
		widest.add(size, float64(placed.widest()))
		uneven.add(size, unevenness(placed.onServer))
		processor.add(size, microseconds(measure(placementBatches, placementFlows, visitor(h, s.Seed, one.Groups)).processor))
		turned += h.rejected
		runtime.KeepAlive(h)
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "every flow is placed", Held: turned == 0, Detail: fmt.Sprintf("%d turned away", turned)}
	return []Series{*memory, *processor, *spread, *widest, *uneven}, []Check{check}, nil
}

// placements is where connections went.
type placements struct {
	onServer []int                      // by server
	holders  []map[decide.ServerID]bool // by group
}

// fill has connections come one by one, of each group in turn.
func fill(ctx context.Context, h *hollow, s Settings) (placements, error) {
	all := placements{onServer: make([]int, s.Servers), holders: make([]map[decide.ServerID]bool, s.Groups)}
	for i := range s.Connections {
		if i%placedBetweenLooks == 0 && ctx.Err() != nil {
			return all, ctx.Err()
		}
		group := i % s.Groups
		h.now += betweenPlacements
		at, stands := h.place(flowName(i), groupName(group))
		if !stands {
			continue
		}
		all.onServer[at-1]++
		if all.holders[group] == nil {
			all.holders[group] = map[decide.ServerID]bool{}
		}
		all.holders[group][at] = true
	}
	return all, nil
}

func (p placements) meanSpread() float64 {
	held, groups := 0, 0
	for _, holders := range p.holders {
		if len(holders) > 0 {
			held += len(holders)
			groups++
		}
	}
	return float64(held) / float64(max(groups, 1))
}

func (p placements) widest() (servers int) {
	for _, holders := range p.holders {
		servers = max(servers, len(holders))
	}
	return servers
}

// unevenness is the greatest over the mean.
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
