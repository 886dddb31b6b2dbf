package decide

// Which server a flow goes to: the guarded least-cost pick.

import "math"

// choose is the guarded least-cost pick. Where the candidates from a long list are all in trouble, others are
// drawn from those that were in none at the last tick.
func (b *Balancer) choose(f *flow) *server {
	best, rank := b.cheapest(f, b.view(f, b.list.ready))
	if b.list.long() && (best == nil || rank > 0) {
		if other, least := b.cheapest(f, b.view(f, b.healthy())); least < rank {
			best = other
		}
	}
	return best
}

// cheapest: rules bind first (readiness, cold budget, where a repeat may go), then servers in trouble
// stand behind all others, then cost decides, and chance among equals.
func (b *Balancer) cheapest(f *flow, v view) (best *server, bestRank int) {
	bestRank, bestCost, ties := math.MaxInt, 0.0, 0.0
	for _, r := range v.candidates {
		if !b.allowed(f, r, v) {
			continue
		}
		rank, cost := b.rank(f, r), b.cost(f, r, v)
		switch {
		case rank < bestRank || rank == bestRank && cost < bestCost-1e-9:
			best, bestRank, bestCost, ties = r, rank, cost, 1
		case rank == bestRank && cost < bestCost+1e-9:
			if ties++; b.rng.unit()*ties < 1 {
				best = r
			}
		}
	}
	return best, bestRank
}

// chooseTrial is the server of a trial: the least troubled to which rules let the flow go, and by chance among equals.
func (b *Balancer) chooseTrial(f *flow) (best *server) {
	v := b.view(f, b.list.ready)
	bestRank, ties := math.MaxInt, 0.0
	for _, r := range v.candidates {
		if !b.permitted(f, r, v) {
			continue
		}
		switch rank := b.rank(f, r); {
		case rank < bestRank:
			best, bestRank, ties = r, rank, 1
		case rank == bestRank:
			if ties++; b.rng.unit()*ties < 1 {
				best = r
			}
		}
	}
	return best
}

// candidates are the servers that a decision looks at: all of a short list. Of a long one they are those
// where all balancers expect the group, some that hold it here, and some by chance.
func (b *Balancer) candidates(f *flow, holders, from []*server) (all []*server, homes int) {
	l := &b.list
	if !l.long() {
		return l.ready, len(l.ready)
	}
	from, near := l.reachable(f, &b.services[f.service], from), l.near
	if b.picks.crossing == 0 || len(from) < len(l.ready) {
		near = from
	}
	l.selections++
	l.candidates = l.candidates[:0]
	if f.group != "" {
		homes = l.selectHomes(f.group.hash(), homeDraws)
		l.selectDrawn(holders, min(drawnHolders, len(holders)), &b.rng)
	}
	l.selectDrawn(near, drawn/2, &b.rng)
	l.selectDrawn(from, drawn/2, &b.rng)
	return l.candidates, homes
}

func (b *Balancer) allowed(f *flow, r *server, v view) bool {
	// Nobody at a silent server: with all others full, every flow would fall upon it as it comes back.
	return r.state == Ready && !(r.silent >= 2 && b.resting(r)) && b.room(f, r, v) && b.permitted(f, r, v)
}

// permitted are the rules alone, without what is only feared of a server.
func (b *Balancer) permitted(f *flow, r *server, v view) bool {
	if r.state != Ready || !b.coldRoom(r, v) {
		return false
	}
	if _, ok := b.bound(f, r); !ok {
		return false
	}
	s := &b.services[f.service]
	return !f.mayRan || s.Effect == Idempotent || s.Deduplication == DeduplicatedByFleet ||
		s.Deduplication == DeduplicatedByZone && r.zone == f.ranZone || s.Deduplication == DeduplicatedByCell && r.cell == f.ranCell
}

// rank sorts servers in trouble behind the others without ever leaving a flow without any.
func (b *Balancer) rank(f *flow, r *server) int {
	n := 0
	for _, id := range f.tried {
		if id == r.id {
			n += 4
		}
	}
	if b.resting(r) {
		n += 2
	}
	if b.hot(r) {
		n++
	}
	return n
}

// view leaves the flow in hand out of the mean. The home is where all balancers expect a group: highest
// by a hash of group and id below the guard. Tallies alone would spread it over as many as the balancers.
func (b *Balancer) view(f *flow, from []*server) (v view) {
	v.holders = b.tallies.holders[f.group]
	v.candidates, v.homes = b.candidates(f, v.holders, from)
	least, top, group := b.leastExtra(f, v.candidates), 0.0, f.group.hash()
	v.mean, v.fair, v.told = b.means(f, v.candidates, least)
	for i, r := range v.candidates {
		// One that could not be chosen is no home: those sent on from it would open its groups all over the fleet.
		if extra, _ := b.bound(f, r); extra > least || r.ejected || b.rank(f, r) > 0 ||
			!b.allowed(f, r, v) || b.crowded(r, r.open, v.count(r, f.group), v) {
			continue
		}
		wasHot := r.hotAt > 0 && b.now-r.hotAt < 2*regrowth
		v.relief, v.held = true, v.held || v.count(r, f.group) > 0 && !wasHot
		if i >= v.homes || f.group == "" {
			continue
		}
		h := homeRank(group, r.id) * b.size(r)
		if wasHot { // behind all others: forgiven at once, it would draw back what made it late
			h *= 1e-6
		}
		if r.zone == b.list.Zone {
			h *= b.nearWeight()
		}
		if h > top {
			v.home, top = r, h
		}
	}
	if v.held && v.told == 0 {
		v.home = nil
	}
	return v
}

// nearWeight is what a server of the own zone counts for as a home beside one elsewhere.
func (b *Balancer) nearWeight() float64 {
	return (1 + priceWeight*b.picks.crossing) * (1 + priceWeight*b.picks.crossing)
}

// crowded: passed over for grouping. By its own word where a server tells its load, though never under ample.
// Else by own connections, with two standard deviations of a sample: a single balancer's count needs none.
func (b *Balancer) crowded(r *server, open, group int, v view) bool {
	if load, ok := b.told(r); ok {
		return load > max(guard*v.told, ample)
	}
	fair, chance := v.mean*b.size(r), 1-1/float64(b.cold.Balancers)
	return float64(open) > guard*fair+2*math.Sqrt(fair*chance)+chance*float64(group)
}

// size is the list's, where it means anything: a mean per server fills small ones first. By warmth if cold.
func (b *Balancer) size(r *server) float64 {
	if b.picks.sizes && r.size > 0 {
		return r.size * b.warmth(r)
	}
	return b.warmth(r)
}

// load is the page's, of a server with so many open.
func (b *Balancer) load(r *server, open int, v view) float64 {
	if told, ok := b.told(r); ok {
		return (told + toldPrior) / (v.told + toldPrior)
	}
	if b.warmth(r) < 1 { // what the rule lets all send it is no mean; the budget holds back the rest
		return float64(open) / (v.mean*b.size(r) + prior)
	}
	return (float64(open) + prior) / (v.mean*b.size(r) + prior)
}

// cost is the page's: w0·(−g) + w1·Load, with the price of a crossing.
func (b *Balancer) cost(f *flow, r *server, v view) float64 {
	all := v.count(r, f.group)
	open, group := r.open, all
	if f.leased && f.server == r {
		open, group = open-1, group-1
	}
	c := loadWeight * b.load(r, open, v)
	near := !b.crowded(r, open, all, v) || !v.relief
	if f.group != "" && near && (group > 0 || r == v.home) {
		c -= groupWeight
	} else if f.group != "" {
		c += groupWeight * b.distance()
	}
	if r.zone != b.list.Zone {
		c += priceWeight * b.picks.crossing
	}
	extra, _ := b.bound(f, r)
	return c + extra
}

func (b *Balancer) bound(f *flow, r *server) (extra float64, ok bool) {
	if b.constraints == nil {
		return 0, true
	}
	return b.constraints.ServerCost(f.id, r.id)
}

// leastExtra: servers that bounds make dearer are no measure: an empty one far off made near ones look full.
func (b *Balancer) leastExtra(f *flow, candidates []*server) (least float64) {
	if b.constraints == nil {
		return 0
	}
	least = math.Inf(1)
	for _, r := range candidates {
		if extra, ok := b.bound(f, r); ok {
			least = min(least, extra)
		}
	}
	return least
}
