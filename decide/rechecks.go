package decide

// Standing flows: rechecks, moves off servers in trouble, and the probes that inform them.

import (
	"cmp"
	"slices"
)

// calm: no move into a store slowdown; a moved client pays its set-up again, through what is slow. Set-ups
// that are only slow say nothing for long: after a mass return a server far behind would keep all it holds.
func (b *Balancer) calm() bool {
	over := b.now-b.health.setupAt > noteAge
	return len(b.services) > 0 && (over || median(b.health.setups) < b.services[0].SetupTarget/2)
}

// recheck moves an established flow when another server, in no trouble, wins by need, or anyway.
func (b *Balancer) recheck(f *flow, need float64, anyway bool) bool {
	v := b.view(f, b.list.ready)
	here := b.cost(f, f.server, v)
	wins := func(r *server) bool {
		return r != f.server && b.allowed(f, r, v) && b.rank(f, r) == 0 && b.cost(f, r, v) < here-need
	}
	if anyway = anyway || slices.ContainsFunc(v.candidates, wins); anyway {
		b.actions.Migrate(f.id)
		b.transition(f, leaving)
	}
	return anyway
}

// settled tells that no server can win over the flow's: what it costs there at the most, less what must be
// won, is no more than the least that any could cost, were it the home of the group.
func (b *Balancer) settled(f *flow, need float64) bool {
	if b.constraints != nil {
		return false
	}
	s, open := b.list.sums, f.server.open-1
	s.open--
	v := s.means()
	here, least := b.load(f.server, open, v), b.list.lowest
	if group := f.server.groups[f.group]; group > 1 && !b.crowded(f.server, open, group, v) {
		here, least = here-groupWeight, least-groupWeight
	} else if f.group != "" {
		here, least = here+groupWeight*b.distance(), least-groupWeight
	}
	if f.server.zone != b.list.Zone {
		here += priceWeight * b.picks.crossing
	}
	return here-need < least-1e-9
}

// recheckSome goes on with the round. What needs a look at other servers is bounded in each tick: the round
// takes longer then.
func (b *Balancer) recheckSome() {
	due := int(float64(len(b.flows.open))*float64(tickEvery)/float64(recheckEvery)) + 1
	need := margin + priceWeight*b.picks.moving
	for looks := mostLooks; due > 0 && looks > 0 && len(b.flows.open) > 0; due-- {
		b.flows.next = (b.flows.next + 1) % len(b.flows.open)
		f := b.flows.open[b.flows.next]
		if f.server.state != Ready || b.settled(f, need) || b.constraints != nil && !b.constraints.AllowMigration(f.id) {
			continue
		}
		looks--
		if on := f.server; b.recheck(f, need, false) {
			b.list.lowest = min(b.list.lowest, b.load(on, on.open, b.list.sums.means()))
		}
	}
}

// tick keeps the preset interval: a slice of all established flows every time, so they don't beat.
func (b *Balancer) tick() {
	b.actions.SetTimer(tickMark, tickEvery)
	b.reckon()
	if b.calm() {
		b.recheckSome()
	}
	if b.constraints != nil && b.calm() {
		for _, id := range b.constraints.MigrateFirst() {
			if f := b.flows.byID[id]; f != nil && f.state == established && b.constraints.AllowMigration(id) {
				b.recheck(f, 0, false)
			}
		}
	}
	for _, f := range b.flows.connecting {
		if b.now > f.due+evidenceAge {
			b.release(f) // a lease that nobody confirmed lapses
		}
	}
	for _, r := range b.list.leaving {
		b.evacuate(r, anyhow, smallPart, false)
	}
	for _, r := range b.list.ready {
		if r.silent >= 2 {
			b.evacuate(r, anyhow, smallPart, false)
		}
	}
	b.probe()
}

// probe spends on reports what flows and new servers brought, and on a slow round; more than the flows held
// or its part of a round need is never saved. It asks whom it asked longest ago, sooner where flows are.
func (b *Balancer) probe() {
	h, round, held := &b.health, float64(len(b.list.ready)), float64(len(b.flows.open))
	part := round / float64(b.cold.Balancers)
	h.credit += min(round, max(held, part)) * float64(tickEvery) / float64(reportAge)
	h.credit = min(h.credit, round, 1+held+part)
	most := 1 + 4*round*float64(tickEvery)/float64(recheckEvery) // by all at once: it would turn most away
	if h.pull && h.credit >= 1 {
		age := func(r *server) int { return int(b.now-r.askedAt) * (1 + min(r.open, 1)) }
		longest := slices.Clone(b.list.ready)
		slices.SortStableFunc(longest, func(x, y *server) int { return age(y) - age(x) })
		for _, r := range longest[:int(min(most, h.credit))] {
			h.credit, r.askedAt = h.credit-1, b.now
			b.actions.HealthCheck(r.id)
		}
	}
}

// told is what a warm server told of late: a cold one's nought would draw a flow of each group, at a price.
func (b *Balancer) told(r *server) (load float64, ok bool) {
	return r.probed, r.probedAt > 0 && b.now-r.probedAt < reportAge && b.warmth(r) == 1
}

// evacuate rechecks a part of a server's flows, rounded by chance: one signal must not move them all together
// (the page's weak spot), and of two hundred balancers with one flow each, one more each is everything.
func (b *Balancer) evacuate(r *server, need, part float64, shed bool) {
	// Smallest groups first: a server pays for a group as long as it holds any of it.
	here := slices.SortedFunc(slices.Values(r.flows), func(x, y *flow) int {
		return cmp.Or(r.groups[x.group]-r.groups[y.group], x.place-y.place)
	})
	for i, left := 0, int(float64(r.open)*min(part, 1)+b.rng.unit()); i < len(here) && left > 0; i++ {
		if b.recheck(here[i], need, shed) {
			left--
		}
	}
}
