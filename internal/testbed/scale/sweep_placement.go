package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() {
	register("placement", placementSweep, input{
		against: []string{byServers, byConnections},
		keys:    []string{byServers, byConnections, byGroups, byZones},
	})
}

const (
	placementBatches    = 5
	placementFlows      = 200 // of a batch: the same at all sizes, as what is made once is shared by all of them
	placementLooks      = 20  // flows whose looks at servers are counted
	betweenPlacements   = time.Millisecond
	roleControl         = "balancer control"
	unitMicroseconds    = "µs"
	unitLooks           = "looks"
	unitAllocations     = "allocations"
	quantityOfPlacement = "of one flow placed and ended"
)

// placementSweep measures one flow that comes, is placed, stands and ends, at a balancer that holds connections at rest.
func placementSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	form := seriesOf(s, "placement", roleControl)
	processor := form("processor-time", "processor time "+quantityOfPlacement, unitMicroseconds, Measured, false)
	objects := form("allocations", "allocations "+quantityOfPlacement, unitAllocations, Measured, true)
	looked := form("servers-looked-at", "servers looked at for one flow, with another decider asked", unitLooks, Measured, true)
	turned := 0
	for i, size := range s.Sizes {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		one := s.at(size)
		h := evenHollow(one)
		visit := visitor(h, s.Seed, one.Groups)
		c := measure(placementBatches, placementFlows, visit)
		processor.add(size, microseconds(c.processor))
		objects.add(size, c.allocations)
		looked.add(size, float64(h.looksOf(func() {
			for range placementLooks {
				visit()
			}
		}))/placementLooks)
		turned += h.rejected
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "every flow is placed", Held: turned == 0, Detail: fmt.Sprintf("%d turned away", turned)}
	return []Series{*processor, *objects, *looked}, []Check{check}, nil
}

// visitor gives a piece of work: one flow of a group drawn by chance comes, stands, and ends.
func visitor(h *hollow, seed uint64, groups int) func() {
	chance := rand.New(rand.NewPCG(seed, uint64(groups)))
	next := mostHeld
	return func() {
		next++
		h.now += betweenPlacements
		id := flowName(next)
		if _, stands := h.place(id, groupName(chance.IntN(groups))); stands {
			h.end(id)
		}
	}
}
