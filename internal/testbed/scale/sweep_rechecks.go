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
	register("rechecks", rechecksSweep, input{
		against: []string{byServers, byConnections},
		keys:    []string{byServers, byConnections, byGroups, byZones},
	})
}

const (
	ticksEvery  = 250 * time.Millisecond // of virtual time; the decisions ask for it themselves
	fewestTicks = 5
	mostTicks   = 20
	enoughTicks = time.Second // of processor time: no more ticks after that
	unevenGroup = "group-0"   // of those that come again after a move
)

// rechecksSweep measures what a balancer does of itself: its ticks, while all is at rest, and where connections of all
// groups stand anywhere by chance, so that many could stand better.
func rechecksSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	form := seriesOf(s, "rechecks", roleControl)
	share := form("core-share", "share of a core that ticks take at rest", "cores", Measured, false)
	objects := form("allocations", "allocations of one tick at rest", unitAllocations, Measured, true)
	looked := form("servers-looked-at", "servers looked at in one tick at rest, with another decider asked", unitLooks, Measured, true)
	uneven := form("core-share-uneven", "share of a core that ticks take where connections stand anywhere, those asked to move placed anew",
		"cores", Measured, false)
	moved := 0
	for i, size := range s.Sizes {
		one := s.at(size)
		h := evenHollow(one)
		processor, made, err := tickCost(ctx, h)
		if err != nil {
			return nil, nil, err
		}
		share.add(size, processor.Seconds()/ticksEvery.Seconds())
		objects.add(size, made)
		looked.add(size, float64(h.looksOf(h.tick)))
		moved += len(h.moved)
		if processor, _, err = tickCost(ctx, unevenHollow(one)); err != nil {
			return nil, nil, err
		}
		uneven.add(size, processor.Seconds()/ticksEvery.Seconds())
		progress(i+1, len(s.Sizes))
	}
	check := Check{Name: "no flow is moved at rest", Held: moved == 0, Detail: fmt.Sprintf("%d asked to move", moved)}
	return []Series{*share, *objects, *looked, *uneven}, []Check{check}, nil
}

// evenHollow is a balancer that holds connections at rest.
func evenHollow(s Settings) *hollow {
	h := newHollow(s.Seed, terms{peers: peers})
	h.list(0, warmServers(s.Servers, s.Zones))
	h.hold(s.Connections, s.Servers, s.Groups)
	h.settle()
	return h
}

// unevenHollow is a balancer that holds connections which stand anywhere.
func unevenHollow(s Settings) *hollow {
	h := newHollow(s.Seed, terms{peers: peers})
	h.returns = true
	h.list(0, warmServers(s.Servers, s.Zones))
	chance := rand.New(rand.NewPCG(s.Seed, uint64(s.Servers)))
	for i := range s.Connections {
		at := decide.ServerID(1 + chance.IntN(s.Servers))
		h.module.AdoptFlow(decide.FlowRequest{ID: flowName(i), Customer: decide.NoCustomer, Group: groupName(chance.IntN(s.Groups))}, at)
	}
	h.settle()
	return h
}

// tick goes on by one tick.
func (h *hollow) tick() {
	h.advance(h.now + ticksEvery)
	if !h.returns {
		return
	}
	for _, id := range h.moved {
		h.module.OnEnded(id, decide.Cancelled, usualSetup, true)
		h.place(id, unevenGroup)
	}
	h.moved = h.moved[:0]
}

// tickCost is the processor time and the fewest allocations of one tick. Where one takes long few are measured.
func tickCost(ctx context.Context, h *hollow) (time.Duration, float64, error) {
	runtime.GC()
	var spent []time.Duration
	var made []float64
	for all := time.Duration(0); len(spent) < fewestTicks || len(spent) < mostTicks && all < enoughTicks; all += spent[len(spent)-1] {
		if err := ctx.Err(); err != nil {
			return 0, 0, err
		}
		c := batch(1, h.tick)
		spent, made = append(spent, c.processor), append(made, c.allocations)
	}
	return median(spent), slices.Min(made), nil
}
