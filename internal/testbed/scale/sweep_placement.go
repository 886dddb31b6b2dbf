package scale

import (
	"context"
	"math/rand/v2"
	"time"
)

func init() {
	register("placement", placementSweep, sweepInput{
		against: []string{byServers, byConnections},
		keys:    []string{byServers, byConnections, byGroups, byZones},
	})
}

const (
	placementBatches    = 5
	placementFlows      = 200 // in a batch: the same at all sizes, as costs that arise once are spread over them
	evaluationSamples   = 20  // flows whose considered servers are counted
	placementInterval   = time.Millisecond
	roleControl         = "balancer control"
	unitMicroseconds    = "µs"
	unitEvaluations     = "looks"
	unitAllocations     = "allocations"
	quantityOfPlacement = "of one flow placed and ended"
)

// placementSweep measures one flow that is placed, established and ended at a balancer with settled connections.
func placementSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	newSeries := seriesFactory(s, "placement", roleControl)
	processor := newSeries(seriesKind{
		name: "processor-time", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time " + quantityOfPlacement,
	})
	objects := newSeries(seriesKind{
		name: "allocations", unit: unitAllocations, origin: Measured, counted: true,
		quantity: "allocations " + quantityOfPlacement,
	})
	looked := newSeries(seriesKind{
		name: "servers-looked-at", unit: unitEvaluations, origin: Measured, counted: true,
		quantity: "servers evaluated for one flow, with another decider present",
	})
	rejected := 0
	for i, size := range s.Sizes {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		one := s.withSize(size)
		h := newSettledBalancer(one)
		visit := newPlacementWork(h, s.Seed, one.Groups)
		c := measure(placementBatches, placementFlows, visit)
		processor.addPoint(size, microseconds(c.processor))
		objects.addPoint(size, c.allocations)
		looked.addPoint(size, float64(h.countEvaluations(func() {
			for range evaluationSamples {
				visit()
			}
		}))/evaluationSamples)
		rejected += h.rejected
		progress(i+1, len(s.Sizes))
	}
	return []Series{*processor, *objects, *looked}, []Check{placementCheck(rejected)}, nil
}

// newPlacementWork returns work that places, establishes and ends one flow of a random group.
func newPlacementWork(h *simulatedBalancer, seed uint64, groups int) func() {
	chance := rand.New(rand.NewPCG(seed, uint64(groups)))
	next := firstFreeFlow
	return func() {
		next++
		h.now += placementInterval
		id := flowName(next)
		if _, established := h.placeFlow(id, groupName(chance.IntN(groups))); established {
			h.endFlow(id)
		}
	}
}
