package scale

import (
	"context"
	"math/rand/v2"
	"time"
)

func init() {
	register("placement", placementSweep, sweepInput{
		against: []string{keyServers, keyConnections},
		keys:    []string{keyServers, keyConnections, keyGroups, keyZones},
	})
}

const (
	placementBatches    = 5
	placementFlows      = 200 // in a batch; the same at all sizes, as one-time costs are spread over them
	evaluationSamples   = 20  // flows for which evaluated servers are counted
	placementInterval   = time.Millisecond
	roleControl         = "balancer control"
	unitMicroseconds    = "µs"
	unitEvaluations     = "looks"
	unitAllocations     = "allocations"
	quantityOfPlacement = "of one flow placed and ended"
)

// placementSweep measures placing, establishing and ending one flow on a balancer with settled connections.
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
	evaluated := newSeries(seriesKind{
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
		placeOne := newPlacementWork(h, s.Seed, one.Groups)
		c := measure(placementBatches, placementFlows, placeOne)
		processor.addPoint(size, microseconds(c.processor))
		objects.addPoint(size, c.allocations)
		evaluated.addPoint(size, float64(h.countEvaluations(func() {
			for range evaluationSamples {
				placeOne()
			}
		}))/evaluationSamples)
		rejected += h.rejected
		progress(i+1, len(s.Sizes))
	}
	return []Series{*processor, *objects, *evaluated}, []Check{placementCheck(rejected)}, nil
}

// newPlacementWork returns a function that places, establishes and ends one flow of a random group.
func newPlacementWork(h *simulatedBalancer, seed uint64, groups int) func() {
	random := rand.New(rand.NewPCG(seed, uint64(groups)))
	next := firstFreeFlow
	return func() {
		next++
		h.now += placementInterval
		id := flowName(next)
		if _, established := h.placeFlow(id, groupName(random.IntN(groups))); established {
			h.endFlow(id)
		}
	}
}
