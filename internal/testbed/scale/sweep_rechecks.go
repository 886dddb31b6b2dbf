package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"yardwinch/decide"
)

func init() {
	register("rechecks", rechecksSweep, sweepInput{
		against: []string{keyServers, keyConnections},
		keys:    []string{keyServers, keyConnections, keyGroups, keyZones},
	})
}

const (
	tickInterval       = 250 * time.Millisecond // of virtual time, the tick that the decisions request
	minTicks           = 5
	maxTicks           = 20
	sufficientTickTime = time.Second // of processor time, after which no ticks beyond minTicks are run
	unevenGroup        = "group-0"   // of clients that return after a migration
)

// rechecksSweep measures a balancer's ticks: with settled connections, and with connections on random servers, many of
// which could be placed better.
func rechecksSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	newSeries := seriesFactory(s, "rechecks", roleControl)
	share := newSeries(seriesKind{name: "core-share", quantity: "share of a core that ticks take while idle", unit: "cores", origin: Measured})
	objects := newSeries(seriesKind{
		name: "allocations", unit: unitAllocations, origin: Measured, counted: true,
		quantity: "allocations of one tick while idle",
	})
	evaluated := newSeries(seriesKind{
		name: "servers-looked-at", unit: unitEvaluations, origin: Measured, counted: true,
		quantity: "servers evaluated in one idle tick, with another decider present",
	})
	uneven := newSeries(seriesKind{
		name: "core-share-uneven", unit: "cores", origin: Measured,
		quantity: "share of a core that ticks take with connections on random servers, migrated ones placed again",
	})
	moved := 0
	for i, size := range s.Sizes {
		one := s.withSize(size)
		h := newSettledBalancer(one)
		processor, allocations, err := tickCost(ctx, h)
		if err != nil {
			return nil, nil, err
		}
		share.addPoint(size, processor.Seconds()/tickInterval.Seconds())
		objects.addPoint(size, allocations)
		evaluated.addPoint(size, float64(h.countEvaluations(h.tick)))
		moved += len(h.migrated)
		if processor, _, err = tickCost(ctx, newUnevenBalancer(one)); err != nil {
			return nil, nil, err
		}
		uneven.addPoint(size, processor.Seconds()/tickInterval.Seconds())
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "no flow is moved at rest", Passed: moved == 0, Detail: fmt.Sprintf("%d asked to move", moved)}
	return []Series{*share, *objects, *evaluated, *uneven}, []Check{check}, nil
}

// newSettledBalancer returns a balancer with settled connections; see adoptConnections.
func newSettledBalancer(s Settings) *simulatedBalancer {
	h := newSimulatedBalancer(s.Seed, simulatedSettings{peers: defaultPeers})
	h.updateList(decide.DeltaUpdate, warmServers(s.Servers, s.Zones))
	h.adoptConnections(s.Connections, s.Servers, s.Groups)
	h.settle()
	return h
}

// newUnevenBalancer returns a balancer with connections on random servers, whose migrated flows return.
func newUnevenBalancer(s Settings) *simulatedBalancer {
	h := newSimulatedBalancer(s.Seed, simulatedSettings{peers: defaultPeers})
	h.migratedReturn = true
	h.updateList(decide.DeltaUpdate, warmServers(s.Servers, s.Zones))
	random := rand.New(rand.NewPCG(s.Seed, uint64(s.Servers)))
	for i := range s.Connections {
		at := decide.ServerID(1 + random.IntN(s.Servers))
		h.decider.AdoptFlow(decide.FlowRequest{
			ID:       flowName(i),
			Customer: decide.NoCustomer,
			Group:    groupName(random.IntN(s.Groups)),
		}, at)
	}
	h.settle()
	return h
}

// tick advances by one tick. If migratedReturn is set, the flows that were asked to migrate are then placed again.
func (h *simulatedBalancer) tick() {
	h.advance(h.now + tickInterval)
	if !h.migratedReturn {
		return
	}
	for _, id := range h.migrated {
		h.decider.OnEnded(id, decide.Cancelled, typicalSetup, true)
		h.placeFlow(id, unevenGroup)
	}
	h.migrated = h.migrated[:0]
}

// tickCost returns the median processor time and the fewest allocations of a tick. Fewer ticks are run if a tick takes
// long.
func tickCost(ctx context.Context, h *simulatedBalancer) (time.Duration, float64, error) {
	runtime.GC()
	var spent []time.Duration
	var allocations []float64
	for all := time.Duration(0); len(spent) < minTicks || len(spent) < maxTicks && all < sufficientTickTime; all += spent[len(spent)-1] {
		if err := ctx.Err(); err != nil {
			return 0, 0, err
		}
		c := measureBatch(1, h.tick)
		spent, allocations = append(spent, c.processor), append(allocations, c.allocations)
	}
	return median(spent), slices.Min(allocations), nil
}
