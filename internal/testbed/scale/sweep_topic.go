package scale

import (
	"context"
	"fmt"
	"math/rand/v2"

	"yardwinch/decide"
)

func init() {
	register("topic", topicSweep, input{
		against: []string{byBalancers},
		keys:    []string{byBalancers, byServers, byConnections, byGroups, byZones},
	})
}

// listenersEach is what each balancer of the fleet holds of a topic with 3 million listeners.
const listenersEach = 370

const theTopic = decide.GroupKey("the topic")

// topicSweep has each balancer hold connections of many groups at rest, and then the listeners of one group come to all of
// them. Servers tell no load here, so that balancers that see nothing of each other can be played one after the other.
func topicSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	form := seriesOf(s, "topic", "server")
	uneven := form("unevenness", "connections of the fullest server over the mean, with the topic", "ratio", Simulated, true)
	bearing := form("servers", "servers that hold some of the topic", "servers", Simulated, true)
	fullest := form("share-of-the-fullest", "share of the topic that its fullest server holds", "share", Simulated, true)
	turned := 0
	for i, size := range s.Sizes {
		one := s.at(size)
		all, listeners := make([]int, one.Servers), make([]int, one.Servers)
		for b := range one.Balancers {
			if err := ctx.Err(); err != nil {
				return nil, nil, err
			}
			turned += listen(one, b, all, listeners)
		}
		uneven.add(size, unevenness(all))
		bearing.add(size, float64(holding(listeners)))
		fullest.add(size, unevenness(listeners)/float64(one.Servers))
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "every flow is placed", Held: turned == 0, Detail: fmt.Sprintf("%d turned away", turned)}
	return []Series{*uneven, *bearing, *fullest}, []Check{check}, nil
}

// listen has the topic come to one balancer.
func listen(s Settings, balancer int, all, listeners []int) (turned int) {
	chance := rand.New(rand.NewPCG(s.Seed, uint64(balancer)))
	h := newHollow(chance.Uint64(), terms{peers: peers, inZone: balancer % s.Zones})
	h.list(decide.FullUpdate, warmServers(s.Servers, s.Zones))
	h.hold(s.Connections, s.Servers, s.Groups)
	h.settle()
	for i := range s.Connections {
		all[i%s.Servers]++
	}
	for i := range listenersEach {
		h.now += betweenPlacements
		if at, stands := h.place(flowName(mostHeld+i), theTopic); stands {
			all[at-1]++
			listeners[at-1]++
		}
	}
	return h.rejected
}

func holding(counts []int) (servers int) {
	for _, n := range counts {
		if n > 0 {
			servers++
		}
	}
	return servers
}
