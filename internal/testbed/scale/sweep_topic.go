package scale

import (
	"context"
	"math/rand/v2"

	"yardwinch/decide"
)

func init() {
	register("topic", topicSweep, sweepInput{
		against: []string{keyBalancers},
		keys:    []string{keyBalancers, keyServers, keyConnections, keyGroups, keyZones},
	})
}

// topicListenersPerBalancer is the number of listeners at each balancer, of a topic with 3 million listeners.
const topicListenersPerBalancer = 370

const topicGroup = decide.GroupKey("the topic")

// topicSweep gives each balancer settled connections of many groups, and then places the listeners of one large group,
// the topic. Servers report no load, so balancers don't influence each other and can be simulated one by one.
func topicSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	newSeries := seriesFactory(s, "topic", "server")
	uneven := newSeries(seriesKind{
		name: "unevenness", unit: "ratio", origin: Simulated, counted: true,
		quantity: "connections of the most loaded server relative to the mean, with the topic",
	})
	occupied := newSeries(seriesKind{
		name: "servers", unit: "servers", origin: Simulated, counted: true,
		quantity: "servers that hold some of the topic",
	})
	fullest := newSeries(seriesKind{
		name: "share-of-the-fullest", unit: "share", origin: Simulated, counted: true,
		quantity: "share of the topic that its most loaded server holds",
	})
	rejected := 0
	for i, size := range s.Sizes {
		one := s.withSize(size)
		all, listeners := make([]int, one.Servers), make([]int, one.Servers)
		for b := range one.Balancers {
			if err := ctx.Err(); err != nil {
				return nil, nil, err
			}
			rejected += simulateTopic(one, b, all, listeners)
		}
		uneven.addPoint(size, unevenness(all))
		occupied.addPoint(size, float64(countNonZero(listeners)))
		fullest.addPoint(size, unevenness(listeners)/float64(one.Servers))
		progress(i+1, len(s.Sizes))
	}
	return []Series{*uneven, *occupied, *fullest}, []Check{placementCheck(rejected)}, nil
}

// simulateTopic places the topic's listeners through one balancer, and adds its connections to the counts by server.
func simulateTopic(s Settings, balancer int, all, listeners []int) (rejected int) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(balancer)))
	h := newSimulatedBalancer(random.Uint64(), simulatedSettings{peers: defaultPeers, zone: balancer % s.Zones})
	h.updateList(decide.FullUpdate, warmServers(s.Servers, s.Zones))
	h.adoptConnections(s.Connections, s.Servers, s.Groups)
	h.settle()
	for i := range s.Connections {
		all[i%s.Servers]++
	}
	for i := range topicListenersPerBalancer {
		h.now += placementInterval
		if at, established := h.placeFlow(flowName(firstFreeFlow+i), topicGroup); established {
			all[at-1]++
			listeners[at-1]++
		}
	}
	return h.rejected
}

func countNonZero(counts []int) (servers int) {
	for _, n := range counts {
		if n > 0 {
			servers++
		}
	}
	return servers
}
