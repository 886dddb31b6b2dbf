package decide

// How to call: New(seed, act), then one Start... call per part, then per event At(now) and the method
// named for the event. The module acts only through Act; that interface and all id types are in types.go.
// The order of one instance's events is all it knows; the same events give the same actions.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	groupWeight, loadWeight = 1.0, 1.0 // the page's w0 and w1
	priceWeight             = 10.0     // what the price of a crossing or a move counts for in the cost
	prior                   = 2.0      // connections that Load starts from, as few seen on a server tell little
	toldPrior               = 0.2      // the same for told loads, or a mean near nought makes all look full
	guard                   = 1.25     // times the mean above which a server is passed over for grouping
	margin                  = 1.75     // what another server must win by: more than grouping is ever worth
	anyhow                  = -math.MaxFloat64

	tickEvery          = 250 * time.Millisecond
	recheckEvery       = 5 * time.Second // one round over all established flows
	reportAge          = 3 * recheckEvery
	probesAFlow        = 4.0  // what knowing is worth: probes cost their server work and have a price
	ample              = 0.70 // load over capacity up to which a server is in time, whatever others have
	evidenceAge        = 10 * time.Second
	noteAge            = 2500 * time.Millisecond // delay notes come every second while they last
	cutEvery           = 900 * time.Millisecond
	drainIn            = 1400 * time.Millisecond // in which a backlog is to be gone
	smallPart, deepCut = 1.0 / 8, 0.7            // moved at a time, and kept, where nothing tells how much
	regrowth           = 20 * time.Second        // a limit seen doubles in that, slowly at first
	allSetups          = 48.0                    // out at once while all is well, over all balancers
	keptSamples        = 16
	savedWindows       = 1.0 // of a cold server's budget; up to one flow, thrice that, as few pass one of many

	longestGap               = 1600 * time.Millisecond // between calls for the list, of 2 s each: 6 s for news
	shortestGap              = 8 * time.Millisecond    // between set-ups while all fail, over all balancers
	firstPause, longestPause = time.Second, 16 * time.Second

	tickMark, listMark, lineMark TimerMark = 1, 2, 3
)

// New makes an instance; nothing is known until the Start calls and the first list.
func New(seed uint64, act Act) *Balancer {
	b := &Balancer{act: act, rng: seeded(seed)}
	b.flows.byID = map[FlowID]*flow{}
	b.tallies.holders = map[GroupKey]int{}
	b.list.byID = map[ServerID]*rs{}
	b.fair = map[CustomerID]int{}
	b.act.Timer(tickMark, tickEvery)
	return b
}

func (b *Balancer) At(now time.Duration) { b.now = now }

// StartBounds sets what other deciders may say. Without it nothing is asked and nothing changes.
func (b *Balancer) StartBounds(x Bounds) { b.bounds = x }

func (b *Balancer) bound(f *flow, r *rs) (extra float64, ok bool) {
	if b.bounds == nil {
		return 0, true
	}
	return b.bounds.Server(f.id, r.id)
}

// leastExtra: servers that bounds make dearer are no measure: an empty one far off made near ones look full.
func (b *Balancer) leastExtra(f *flow) (least float64) {
	least = math.Inf(1)
	for _, r := range b.list.ready {
		if extra, ok := b.bound(f, r); ok {
			least = min(least, extra)
		}
	}
	return least
}

// StartFlows sets how many connects a flow may use, and the retry-after that clients obey at most.
func (b *Balancer) StartFlows(maxConnects int, retryAfter time.Duration) {
	b.flows.maxConnects, b.flows.retryAfter = maxConnects, retryAfter
}

// StartService adds the next service type.
func (b *Balancer) StartService(e Effect, r Reach, target, window time.Duration, value float64) {
	b.services = append(b.services, service{e, r, target, window, value})
}

// turn makes every change of a flow's state, with the lease and the books that go with it.
func (b *Balancer) turn(f *flow, to state) {
	switch f.state {
	case connecting:
		b.pace.out--
	case established:
		last := b.flows.open[len(b.flows.open)-1]
		b.flows.open[f.place], last.place = last, f.place
		b.flows.open = b.flows.open[:len(b.flows.open)-1]
		b.fair[f.customer]--
	}
	switch to {
	case connecting:
		b.pace.out++
		b.book(f)
	case established:
		if !f.leased {
			b.book(f)
		}
		f.place, f.tried = len(b.flows.open), nil
		b.flows.open = append(b.flows.open, f)
		b.fair[f.customer]++
	default:
		b.release(f)
	}
	if to == answered && f.out == 0 {
		to = done
	}
	f.state = to
	if to == done {
		delete(b.flows.byID, f.id)
	}
}

// Flow takes a new flow.
func (b *Balancer) Flow(id FlowID, s ServiceID, c CustomerID, _ FlowKey, g GroupKey, left time.Duration,
	_ int) {
	f := &flow{id: id, service: s, customer: c, group: g, came: b.now, due: b.now + left}
	b.flows.byID[id] = f
	if b.bounds != nil && !b.bounds.Admit(id) {
		b.answer(f)
	} else {
		b.place(f)
	}
}

// Held takes over a connection that already stands on a server.
func (b *Balancer) Held(id FlowID, s ServiceID, c CustomerID, _ FlowKey, g GroupKey, server ServerID) {
	f := &flow{id: id, service: s, customer: c, group: g, connects: 1, out: 1, rs: b.list.server(server)}
	b.flows.byID[id] = f
	b.turn(f, established)
	if f.rs.state != Ready {
		b.sortList() // it leaves: its flows are to be asked
	}
}

// place gives a waiting flow its next connect, a place in line, or the final answer when no connect is left;
// none is after a failure that all share, as the next would feed it.
func (b *Balancer) place(f *flow) {
	shed := f.connects == 0 && b.beyondShare(f) && b.harmless(f)
	if shed || f.connects > 0 && b.sharedFailure() || f.connects >= b.flows.maxConnects || !b.mayRepeat(f) {
		b.answer(f)
	} else if !b.open() && b.now < b.patience(f) {
		b.pace.line = append(b.pace.line, f)
		b.act.Timer(lineMark, b.patience(f)-b.now)
	} else if to := b.choose(f); to != nil && b.open() {
		b.connect(f, to)
	} else {
		b.answer(f)
	}
}

func (b *Balancer) connect(f *flow, to *rs) {
	f.rs, f.sentAt = to, b.now
	f.connects++
	b.health.credit += probesAFlow
	f.out++
	f.tried = append(f.tried, to.id)
	if f.cold = b.warmth(to) < 1; f.cold {
		due, sent := b.coldDue(to, b.view(f))
		to.coldDue, to.coldSent, to.coldAt = due, sent+1, b.now
	}
	f.trial = to.aside
	b.turn(f, connecting)
	b.act.Connect(f.id, to.id, b.connectLimit(f))
}

// connectLimit leaves half of the time for another connect, against a server that takes flows and never
// answers. Less would cut off set-ups that are only slow, and what they share would do their work twice.
func (b *Balancer) connectLimit(f *flow) time.Duration {
	left, s := f.due-b.now, &b.services[f.service]
	if f.mayRan && s.effect == Referenced {
		left = min(left, f.ranAt+s.window-b.now) // a connection may come up late, and be sent on past the window
	}
	if s.effect == OnceOnly || f.connects >= b.flows.maxConnects {
		return left
	}
	return max(left/2, min(left, s.target))
}

// harmless says whether the client may be told that trying again does no harm.
func (b *Balancer) harmless(f *flow) bool {
	s := &b.services[f.service]
	return s.effect == Repeatable || f.out == 0 && !f.mayRan || s.effect == Referenced && s.reach == ReachAll
}

// answer gives the final answer at once; a flow given up on is never sat on.
func (b *Balancer) answer(f *flow) {
	again := b.flows.retryAfter
	if b.bounds != nil && again > 0 {
		again = min(b.bounds.Again(f.id, again), again)
	}
	if b.harmless(f) {
		b.act.Reject(f.id, again)
	} else {
		b.act.Abort(f.id)
	}
	b.turn(f, answered)
}

// Established: the connect stands.
func (b *Balancer) Established(id FlowID, took time.Duration) {
	f := b.flows.byID[id]
	if f == nil || f.state != connecting {
		return
	}
	b.health.setups, b.health.setupAt = keep(b.health.setups, took, keptSamples), b.now
	b.judge(f, false)
	b.turn(f, established)
	if took > b.services[f.service].target {
		b.narrow() // it stands, but later than wanted
	} else {
		b.widen(f.rs)
	}
}

// Ended: a connect or a connection came to its end. over tells that the client has its answer.
func (b *Balancer) Ended(id FlowID, o Outcome, took time.Duration, over bool) {
	f := b.flows.byID[id]
	if f == nil {
		return
	}
	f.out--
	if o == NeverSent && f.cold && f.life == f.rs.life {
		f.rs.coldSent = max(0, f.rs.coldSent-1) // nothing came there: what it took of the budget is given back
	}
	switch f.state {
	case established:
		if o == Reset && f.life == f.rs.life {
			b.judge(f, true)
			bad, n := failedShare(f.rs.samples, b.now-noteAge)
			if bad*float64(n) >= 2 || b.hot(f.rs) || b.cold.peers > 3 { // one of many balancers hears of few
				f.rs.delay, f.rs.delayAt = max(f.rs.delay, b.list.messageTarget), b.now // as sure as a note
				b.tooMany(f.rs)
			}
		} else if o == Full && f.life == f.rs.life && b.now >= f.rs.asideTo {
			b.setAside(f.rs) // it sends its clients away, to stop; the list tells late, and it looks the emptiest
		}
		b.turn(f, done)
	case connecting:
		if o == Error || o == Full || o == TimedOut || o == Unreachable || o == Reset {
			b.failed(f, o, took)
		}
		if !o.NeverRan() && !f.mayRan {
			// Against a second effect: where and when it may first have run binds all that follows.
			f.mayRan, f.ranAt, f.ranZone, f.ranCell = true, f.sentAt, f.rs.zone, f.rs.cell
		}
		if over {
			b.turn(f, done)
		} else {
			b.turn(f, waiting)
			b.place(f) // at the connect timeout too the answer is still ours to give
		}
		b.serveLine()
	default:
		b.turn(f, done)
	}
}

// mayRepeat: never two connects out, and after one that may have run only what the service type allows.
func (b *Balancer) mayRepeat(f *flow) bool {
	s := &b.services[f.service]
	return f.out == 0 && b.now < f.due &&
		(!f.mayRan || s.effect == Repeatable || s.effect == Referenced && b.now < f.ranAt+s.window)
}

func (b *Balancer) Left(id FlowID) {
	if f := b.flows.byID[id]; f != nil {
		b.turn(f, answered)
	}
}

// ---- pace: how many set-ups may be out at once while what they all share is in trouble

// open tells whether one more set-up may go out.
func (b *Balancer) open() bool { return b.now >= b.pace.opens && float64(b.pace.out) < b.pace.window }

// patience ends with the setup target: a flow without a turn by then is given up and answered at once.
func (b *Balancer) patience(f *flow) time.Duration {
	return min(f.due, f.came+b.services[f.service].target)
}

// serveLine gives turns while set-ups may go out, and answers those whose patience is over.
func (b *Balancer) serveLine() {
	line := b.pace.line
	b.pace.line = nil
	for _, f := range line {
		if f.state == waiting && (b.open() || b.now >= b.patience(f)) {
			b.place(f)
		} else if f.state == waiting {
			b.pace.line = append(b.pace.line, f)
		}
	}
}

func (b *Balancer) widen(r *rs) {
	b.pace.results = keep(b.pace.results, sample{r, b.now, false}, keptSamples)
	b.pace.window, b.pace.pause = min(b.pace.window+1, b.widest()), b.pace.pause/2
	b.serveLine()
}

// sharedFailure: half of the last set-ups failed, and at more than half of the servers heard from.
func (b *Balancer) sharedFailure() bool {
	share, n := failedShare(b.pace.results, b.now-evidenceAge)
	return n >= 3 && share >= 0.5 && b.medianShare() > 0
}

// widest: in a mass return all balancers send at once, to what all set-ups share.
func (b *Balancer) widest() float64 { return max(1, allSetups/float64(b.cold.peers)) }

// narrow halves the set-ups that may be out, then spaces them, against a meltdown of what all of them share.
func (b *Balancer) narrow() {
	if b.now < b.pace.last+min(median(b.health.setups), tickEvery) {
		return
	}
	b.pace.last, b.pace.window = b.now, max(1, b.pace.window/2)
	if b.pace.window == 1 {
		b.pace.pause = min(max(2*b.pace.pause, shortestGap*time.Duration(b.cold.peers)), longestPause)
		gap := time.Duration(float64(b.pace.pause) * (0.5 + b.rng.unit()))
		b.pace.opens = b.now + gap
		b.act.Timer(lineMark, gap)
	}
}

// book takes the lease on a tally; release gives it back once, whether refused, failed, moved or closed.
func (b *Balancer) book(f *flow) {
	f.leased, f.life = true, f.rs.life
	b.add(f.rs, f.group, 1)
	if f.trial {
		f.rs.trying++
	}
}

func (b *Balancer) release(f *flow) {
	// A server that restarted since had its tallies cleared then: a ghost must not be taken off twice.
	if f.leased && f.life == f.rs.life {
		b.add(f.rs, f.group, -1)
		if f.trial {
			f.rs.trying--
		}
	}
	f.leased = false
}

func (b *Balancer) add(r *rs, g GroupKey, n int) {
	r.open += n
	if g == "" {
		return
	}
	before := r.groups[g]
	if r.groups[g] += n; r.groups[g] == 0 {
		delete(r.groups, g)
	}
	if (before == 0) != (before+n == 0) {
		step := 1 - 2*min(before, 1)
		b.tallies.held += step
		if b.tallies.holders[g] += step; b.tallies.holders[g] == 0 {
			delete(b.tallies.holders, g)
		}
	}
}

// forget clears a server's tallies when it restarted in place.
func (b *Balancer) forget(r *rs) {
	for g, n := range r.groups {
		b.add(r, g, -n)
	}
	r.life++
}

// distance is the page's: half the gap between the ideal count of groups per server and the average one,
// here as a share of the average so that it weighs the same at any number of groups.
func (b *Balancer) distance() float64 {
	if b.tallies.held == 0 {
		return 0
	}
	return (1 - float64(len(b.tallies.holders))/float64(b.tallies.held)) / 2
}

func (b *Balancer) StartPick(p, move float64, sizes bool) { b.picks = pick{p, move, sizes} }

// choose is the guarded least-cost pick. Rules bind first (readiness, cold budget, where a repeat may
// go), then servers in trouble stand behind all others, then cost decides, and chance among equals.
func (b *Balancer) choose(f *flow) *rs {
	var best *rs
	bestRank, bestCost, ties := math.MaxInt, 0.0, 0.0
	v := b.view(f)
	for _, r := range b.list.ready {
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
	return best
}

func (b *Balancer) allowed(f *flow, r *rs, v view) bool {
	// Nobody at a silent server: with all others full, every flow would fall upon it as it comes back.
	if r.state != Ready || r.silent >= 2 && b.resting(r) || !b.room(f, r, v) || !b.coldRoom(r, v) {
		return false
	}
	if _, ok := b.bound(f, r); !ok {
		return false
	}
	s := &b.services[f.service]
	return !f.mayRan || s.effect == Repeatable || s.reach == ReachAll ||
		s.reach == ReachZone && r.zone == f.ranZone || s.reach == ReachCell && r.cell == f.ranCell
}

// rank sorts servers in trouble behind the others without ever leaving a flow without any.
func (b *Balancer) rank(f *flow, r *rs) int {
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

func (b *Balancer) resting(r *rs) bool {
	return r.aside && (b.now < r.asideTo || r.trying >= r.trickle)
}

// view leaves the flow in hand out of the mean. The home is where all balancers expect a group: highest
// by a hash of group and id below the guard. Tallies alone would spread it over as many as the balancers.
func (b *Balancer) view(f *flow) (v view) {
	size, of, top, least := 1e-9, 1e-9, 0.0, b.leastExtra(f)
	for _, r := range b.list.ready {
		if extra, ok := b.bound(f, r); !ok || extra > least {
			continue
		}
		v.mean += float64(r.open)
		size += b.size(r)
		if f.leased && f.rs == r {
			v.mean--
		}
		if load, ok := b.told(r); ok {
			v.told += load * b.size(r)
			of += b.size(r)
		}
	}
	v.mean, v.fair, v.told = v.mean/size, (v.mean+1)/size, v.told/of
	for _, r := range b.list.ready {
		// One that could not be chosen is no home: those sent on from it would open its groups all over the fleet.
		if extra, _ := b.bound(f, r); extra > least || r.aside || b.rank(f, r) > 0 ||
			!b.allowed(f, r, v) || b.crowded(f, r, r.open, v) {
			continue
		}
		h, wasHot := homeRank(f.group, r.id)*b.size(r), r.hotAt > 0 && b.now-r.hotAt < 2*regrowth
		v.relief, v.held = true, v.held || r.groups[f.group] > 0 && !wasHot
		if wasHot { // behind all others: forgiven at once, it would draw back what made it late
			h *= 1e-6
		}
		if r.zone == b.list.own {
			h *= (1 + priceWeight*b.picks.crossing) * (1 + priceWeight*b.picks.crossing)
		}
		if h > top {
			v.home, top = r, h
		}
	}
	if v.held && v.told == 0 || f.group == "" {
		v.home = nil
	}
	return v
}

// crowded: passed over for grouping. By its own word where a server tells its load, though never under ample.
// Else by own connections, with two standard deviations of a sample: a single balancer's count needs none.
func (b *Balancer) crowded(f *flow, r *rs, open int, v view) bool {
	if load, ok := b.told(r); ok {
		return load > max(guard*v.told, ample)
	}
	fair, chance := v.mean*b.size(r), 1-1/float64(b.cold.peers)
	return float64(open) > guard*fair+2*math.Sqrt(fair*chance)+chance*float64(r.groups[f.group])
}

// size is the list's, where it means anything: a mean per server fills small ones first. By warmth if cold.
func (b *Balancer) size(r *rs) float64 {
	if b.picks.sizes && r.size > 0 {
		return r.size * b.warmth(r)
	}
	return b.warmth(r)
}

// cost is the page's: w0·(−g) + w1·Load, with the price of a crossing.
func (b *Balancer) cost(f *flow, r *rs, v view) float64 {
	open, group := r.open, r.groups[f.group]
	if f.leased && f.rs == r {
		open, group = open-1, group-1
	}
	load := (float64(open) + prior) / (v.mean*b.size(r) + prior)
	if told, ok := b.told(r); ok {
		load = (told + toldPrior) / (v.told + toldPrior)
	} else if b.warmth(r) < 1 { // what the rule lets all send it is no mean; the budget holds back the rest
		load = float64(open) / (v.mean*b.size(r) + prior)
	}
	c := loadWeight * load
	near := !b.crowded(f, r, open, v) || !v.relief
	if f.group != "" && near && (group > 0 || r == v.home) {
		c -= groupWeight
	} else if f.group != "" {
		c += groupWeight * b.distance()
	}
	if r.zone != b.list.own {
		c += priceWeight * b.picks.crossing
	}
	extra, _ := b.bound(f, r)
	return c + extra
}

// ---- rechecks and moves

// calm: no move into a store slowdown; a moved client pays its set-up again, through what is slow. Set-ups
// that are only slow say nothing for long: after a mass return a server far behind would keep all it holds.
func (b *Balancer) calm() bool {
	over := b.now-b.health.setupAt > noteAge
	return len(b.services) > 0 && (over || median(b.health.setups) < b.services[0].target/2)
}

// recheck moves an established flow when another server, in no trouble, wins by need, or anyway.
func (b *Balancer) recheck(f *flow, need float64, anyway bool) bool {
	v := b.view(f)
	here := b.cost(f, f.rs, v)
	wins := func(r *rs) bool {
		return r != f.rs && b.allowed(f, r, v) && b.rank(f, r) == 0 && b.cost(f, r, v) < here-need
	}
	if anyway = anyway || slices.ContainsFunc(b.list.ready, wins); anyway {
		b.act.Move(f.id)
		b.turn(f, leaving)
	}
	return anyway
}

// tick keeps the preset interval: a slice of all established flows every time, so they don't beat.
func (b *Balancer) tick() {
	b.act.Timer(tickMark, tickEvery)
	n := int(float64(len(b.flows.open))*float64(tickEvery)/float64(recheckEvery)) + 1
	for ; n > 0 && len(b.flows.open) > 0 && b.calm(); n-- {
		b.flows.next = (b.flows.next + 1) % len(b.flows.open)
		if f := b.flows.open[b.flows.next]; f.rs.state == Ready && (b.bounds == nil || b.bounds.Move(f.id)) {
			b.recheck(f, margin+priceWeight*b.picks.moving, false)
		}
	}
	if b.bounds != nil && b.calm() {
		for _, id := range b.bounds.First() {
			if f := b.flows.byID[id]; f != nil && f.state == established && b.bounds.Move(id) {
				b.recheck(f, 0, false)
			}
		}
	}
	for _, f := range b.flows.byID {
		if f.state == connecting && b.now > f.due+evidenceAge {
			b.release(f) // a lease that nobody confirmed lapses
		}
	}
	for _, r := range slices.Concat(b.list.leaving, b.list.ready) {
		if r.state != Ready || r.silent >= 2 {
			b.evacuate(r, anyhow, smallPart, false)
		}
	}
	b.probe()
}

// probe spends on reports what flows and new servers brought, and enough for a slow round without them, on
// whom it asked longest ago, sooner where flows are. Asked by all at once, a server would turn most away.
func (b *Balancer) probe() {
	h, round := &b.health, float64(len(b.list.ready))
	h.credit = min(h.credit+round*float64(tickEvery)/float64(reportAge), round)
	most := 1 + 4*round*float64(tickEvery)/float64(recheckEvery)
	for ; h.pull && most >= 1 && h.credit >= 1; most, h.credit = most-1, h.credit-1 {
		var next *rs
		longest := -1.0
		for _, r := range b.list.ready {
			if age := (b.now - r.askedAt).Seconds() * (1 + float64(min(r.open, 1))); age > longest {
				next, longest = r, age
			}
		}
		next.askedAt = b.now
		b.act.Probe(next.id)
	}
}

// told is what a warm server told of late: a cold one's nought would draw a flow of each group, at a price.
func (b *Balancer) told(r *rs) (load float64, ok bool) {
	return r.probed, r.probedAt > 0 && b.now-r.probedAt < reportAge && b.warmth(r) == 1
}

// evacuate rechecks a part of a server's flows, rounded by chance: one signal must not move them all together
// (the page's weak spot), and of two hundred balancers with one flow each, one more each is everything.
func (b *Balancer) evacuate(r *rs, need, part float64, shed bool) {
	var here []*flow
	for _, f := range b.flows.open {
		if f.rs == r {
			here = append(here, f)
		}
	}
	// Smallest groups first: a server pays for a group as long as it holds any of it.
	slices.SortStableFunc(here, func(x, y *flow) int { return r.groups[x.group] - r.groups[y.group] })
	for i, left := 0, int(float64(r.open)*min(part, 1)+b.rng.unit()); i < len(here) && left > 0; i++ {
		if b.recheck(here[i], need, shed) {
			left--
		}
	}
}

// ---- health

// StartHealth tells whether probes bring load reports.
func (b *Balancer) StartHealth(pull bool) { b.health.pull = pull }

// judge takes one sample for the flow's server and sets it aside, or lets its trickle grow.
func (b *Balancer) judge(f *flow, failed bool) {
	r := f.rs
	if f.life != r.life {
		return
	}
	r.samples = keep(r.samples, sample{r, b.now, failed}, 4)
	switch {
	case !failed:
		if r.silent >= 2 { // it was down, whatever the list says so far, and comes back cold
			b.coldStart(r, b.now)
		}
		r.silent, r.trickle = 0, min(2*r.trickle, 16)
		r.aside = r.aside && r.trickle <= 8
	case r.aside && b.now >= r.asideTo:
		b.setAside(r)
	case !r.aside:
		// Against the fleet's median: when all fail the cause is shared, and the rest would get their load too.
		share, n := failedShare(r.samples, b.now-evidenceAge)
		_, _, aside := b.heard()
		if n >= 2 && share >= b.medianShare()+0.5 && 2*(aside+1) <= len(b.list.ready) {
			b.setAside(r) // half of the servers stay at the least, so that the rest don't topple
		}
	}
}

func (b *Balancer) medianShare() float64 {
	var shares []float64
	for _, r := range b.list.ready {
		if s, n := failedShare(r.samples, b.now-evidenceAge); n > 0 {
			shares = append(shares, s)
		}
	}
	return median(shares)
}

func (b *Balancer) setAside(r *rs) {
	if r.pause = min(2*r.pause, longestPause); r.pause == 0 || b.now > r.asideTo+evidenceAge {
		r.pause = firstPause
	}
	r.aside, r.trickle, r.asideTo = true, 1, b.now+r.pause
}

// short: a fifth of the servers heard of, and two deviations more, answer late: silence is no good news.
func (b *Balancer) short() bool {
	hot, heard, _ := b.heard()
	return hot > 0 && hot >= heard/5+2*math.Sqrt(heard/5*(1-heard/float64(len(b.list.ready)+1)))
}

func (b *Balancer) heard() (hot, heard float64, aside int) {
	for _, r := range b.list.ready {
		if b.hot(r) {
			hot++
		}
		if b.hot(r) || r.open > 0 {
			heard++
		}
		if r.aside {
			aside++
		}
	}
	return hot, heard, aside
}

// failed takes what a failed set-up tells.
func (b *Balancer) failed(f *flow, o Outcome, took time.Duration) {
	switch o {
	case Unreachable:
		// What all set-ups share isn't even reached, so this needs no look at the fleet.
		if f.rs.silent++; f.rs.silent >= 2 && !f.rs.aside {
			b.setAside(f.rs)
		}
	case Full:
		b.tooMany(f.rs)
	case TimedOut:
		b.health.setups, b.health.setupAt = keep(b.health.setups, took, keptSamples), b.now+evidenceAge
	}
	b.judge(f, true)
	b.pace.results = keep(b.pace.results, sample{f.rs, b.now, true}, keptSamples)
	if b.sharedFailure() {
		b.narrow()
	}
}

// LoadNote: a connection's load now. It swings too fast to place by, but shows that its server lives.
func (b *Balancer) LoadNote(id FlowID) {
	if f := b.flows.byID[id]; f != nil && f.rs != nil {
		f.rs.silent = 0
	}
}

// DelayNote: a message takes that long at the flow's server. It stands for the page's emergency signal.
func (b *Balancer) DelayNote(id FlowID, took time.Duration) {
	f := b.flows.byID[id]
	if f == nil || f.state != established {
		return
	}
	r, late, need := f.rs, took > b.list.messageTarget, 0.0
	if late {
		need = anyhow // what is late is worth nothing, whatever a move costs
	}
	again := r.delay > b.list.messageTarget && b.now-r.delayAt < noteAge
	// What stops the backlog's growth and drains it: a fixed part would fit neither a slow server nor a pause.
	part := took.Seconds() / drainIn.Seconds()
	if again {
		part += (took - r.delay).Seconds() / max(b.now-r.delayAt, tickEvery).Seconds()
	}
	grows := again && took >= r.delay
	r.silent, r.delay, r.delayAt = 0, took, b.now
	if b.hot(r) {
		r.hotAt = b.now
	}
	// One late message on a fleet in time may be a pause; a second, or one among many, is too much load.
	if late && (grows || !again && b.short()) {
		b.tooMany(r)
	}
	// With nowhere to go, fewer flows in time are worth more than all of them late.
	shed := late && grows && b.short()
	if shed {
		part = min(part, smallPart)
	}
	if shed || b.hot(r) && b.calm() {
		b.evacuate(r, need, part, shed)
	}
}

// hot: messages take over a third of the shortest time wanted; notes start there, and one says when it ends.
func (b *Balancer) hot(r *rs) bool {
	return r.delay > 0 && b.now-r.delayAt < noteAge && r.delay > b.list.messageTarget/3
}

func (l *limit) cut(to float64, now time.Duration) {
	if l.at == 0 || now-l.at > cutEvery {
		if l.at == 0 || now-l.at > regrowth {
			l.was = to
		}
		l.held, l.at = to, max(now, 1)
	}
}

func (l *limit) room(n int, step float64, now time.Duration) bool {
	t := (now - l.at).Seconds() / regrowth.Seconds()
	return l.at == 0 || float64(n+1) <= l.held+max(l.was, step, 1)*t*t
}

// tooMany limits a server that holds more than it can bear: what it drops comes again, and tips the next. One
// of many balancers hears of few; while it is short it limits all that it holds, by the part late.
func (b *Balancer) tooMany(r *rs) {
	r.limit.cut(deepCut*float64(r.open), b.now)
	if hot, heard, _ := b.heard(); b.short() {
		part := max(0, 1.25*hot/heard-0.25)
		b.health.limit.cut((1-(1-deepCut)*part)*float64(len(b.flows.open)), b.now)
	}
}

// room is for one more on the server, by the mean at the least: one that drops all would always have room for
// one. The limit on all flows binds those that would open a group on a warm server, which pays for it. What
// notes made guess does not bind where a server tells of room, but does in a fleet that has none.
func (b *Balancer) room(f *flow, r *rs, v view) bool {
	load, ok := b.told(r)
	light := ok && load < ample
	all := light && v.told < ample || b.health.limit.room(len(b.flows.open), 1, b.now)
	step := float64(len(b.flows.open)) / float64(len(b.list.ready)+1)
	return (light || r.limit.room(r.open, step, b.now)) && (all || r.groups[f.group] > 0 || b.warmth(r) < 1)
}

// Probed: a probe's result. A server that answers has its trickle started.
func (b *Balancer) Probed(server ServerID, o Outcome) {
	if r := b.list.byID[server]; r != nil && o == OK {
		r.silent, r.asideTo = 0, min(r.asideTo, b.now)
	}
}

// Reported: a server's own word on its load over its capacity. Past 1 work piles up: the page's emergency.
func (b *Balancer) Reported(server ServerID, load float64) {
	r := b.list.server(server)
	r.probed, r.probedAt = load, b.now
	if load > 1 && b.calm() {
		b.evacuate(r, 0, 1-ample/load, false)
	}
}

// ---- cold budget

// StartCold sets the rule on cold servers, its window, and by how many balancers its budget is shared.
func (b *Balancer) StartCold(from, multiple float64, warmAfter, window time.Duration, peers int) {
	b.cold = cold{from, multiple, warmAfter, window, max(peers, 1), b.cold.quota}
	b.pace.window = b.widest()
}

// beyondShare: the fleet is short and the flow's customer holds this balancer's part of its share. Let in, a
// mass return beyond it spends at once what cold servers have saved of their budget, and pushes them over.
func (b *Balancer) beyondShare(f *flow) bool {
	c := int(f.customer)
	if c < 0 || c >= len(b.cold.quota) || b.cold.quota[c] == 0 || !b.short() {
		return false
	}
	own := b.cold.quota[c] / float64(b.cold.peers)
	return float64(b.fair[f.customer]) >= own+2*math.Sqrt(own*(1-1/float64(b.cold.peers)))
}

// warmth is the part of its full capacity that a server can do by now, at the least.
func (b *Balancer) warmth(r *rs) float64 { return b.warmthAt(r, b.now) }

func (b *Balancer) warmthAt(r *rs, at time.Duration) float64 {
	if age := at - r.since; r.since != LongAgo && age < b.cold.warmAfter {
		return b.cold.from + (1-b.cold.from)*max(0, age.Seconds())/b.cold.warmAfter.Seconds()
	}
	return 1
}

// coldStart: a part of one by chance is due from the first. What came before this balancer heard of the start
// is not: all hear of it at once, and one that starts anew would spend it a second time.
func (b *Balancer) coldStart(r *rs, since time.Duration) {
	r.since, r.coldAt, r.coldSent, r.coldDue = since, b.now, 0, b.rng.unit()
}

// coldDue is what a warming server may have got by now, and what of that was spent or has lapsed. It grows by
// the rule's multiple of what would fill the server over the warm-up. The mean stands for a capacity nobody
// tells, half of it where shares tell one: flows weigh unevenly. Unspent, it lapses soon, or a mass
// return would spend it at once. A part of one flow is rounded by chance: one each would be too much.
func (b *Balancer) coldDue(r *rs, v view) (due float64, sent int) {
	c, w, was := &b.cold, b.warmth(r), b.warmthAt(r, r.coldAt)
	full := c.multiple * max(v.fair/2, cmp.Or(b.meant(), v.fair)) * b.size(r) / w
	due = r.coldDue + full*(w*w-was*was)/(2-2*c.from)
	part := full * w * c.window.Seconds() / c.warmAfter.Seconds() // of one of the rule's windows
	return due, max(r.coldSent, int(due-max(savedWindows*part, min(3*savedWindows*part, 1))))
}

// StartCustomer adds the next customer, with its share of all connections; 0: none was given.
func (b *Balancer) StartCustomer(quota float64) { b.cold.quota = append(b.cold.quota, quota) }

// meant is this balancer's part of the connections that a unit of size is meant to bear, by the shares that
// customers were given of what the fleet can do: of a fleet half full, the mean would stand for half of that.
func (b *Balancer) meant() float64 {
	sum := 0.0
	for _, q := range b.cold.quota {
		sum += q
	}
	return sum / float64(b.cold.peers) / max(b.list.usual, 1e-9)
}

func (b *Balancer) coldRoom(r *rs, v view) bool {
	due, sent := b.coldDue(r, v)
	return b.warmth(r) == 1 || float64(sent+1) <= due
}

// StartList sets this balancer's zone, whether the list must be asked for and how often at the least, the
// grace after a drain is told, and the shortest time in which a message is wanted.
func (b *Balancer) StartList(own Zone, ask bool, askWithin, messageTarget time.Duration) {
	l := &b.list
	l.own, l.ask, l.askWithin, l.messageTarget = own, ask, askWithin, messageTarget
	if ask {
		b.act.Watch(true)
	}
}

// ListBegin opens news of the list; ListServer brings each entry, ListEnd closes it.
func (b *Balancer) ListBegin(k ListKind) {
	b.list.kind = k
	for _, r := range b.list.byID {
		r.seen = false
	}
	if k != ListFailed {
		b.list.gap = 0
	} else if b.list.ask {
		// Well within the time after which we count as told, spread: a service just back must not be toppled.
		b.list.gap = min(max(2*b.list.gap, tickEvery), b.list.askWithin/2, longestGap)
		b.act.Timer(listMark, time.Duration(float64(b.list.gap)*(0.5+b.rng.unit()/2)))
	}
}

// ListServer is one entry. A fresh start clears the tallies.
func (b *Balancer) ListServer(id ServerID, z Zone, c CellID, size float64, st Readiness, at time.Duration) {
	r := b.list.server(id)
	if at > r.since && st == Ready {
		b.forget(r)
		*r = rs{id: id, groups: map[GroupKey]int{}, life: r.life, byHand: r.byHand}
		b.coldStart(r, at)
	}
	if b.health.pull && r.askedAt == 0 { // as good as asked, at a time of its own; but one probe is due
		r.askedAt = b.now - time.Duration(b.rng.unit()*float64(recheckEvery))
		b.health.credit++
	}
	r.zone, r.cell, r.size, r.seen = z, c, size, true
	b.stand(r, st)
}

// stand makes of the list's word and the staff's what a server may be sent: out by hand wins over any list.
func (b *Balancer) stand(r *rs, listed Readiness) {
	r.listed = listed
	if r.byHand {
		listed = max(listed, Draining)
	}
	r.state = listed
}

// ByHand takes a server out, or gives it back, whatever the list says. Given back it was likely restarted: it
// is cold, its health of another life. Flows that outlive the time load it, so that the tallies stay.
func (b *Balancer) ByHand(id ServerID, out bool) {
	r := b.list.server(id)
	if r.byHand == out {
		return
	}
	if r.byHand = out; !out {
		*r = rs{id: id, zone: r.zone, cell: r.cell, size: r.size, state: r.state, life: r.life,
			open: r.open, groups: r.groups, trying: r.trying, listed: r.listed}
		b.coldStart(r, b.now)
	}
	b.stand(r, r.listed)
	b.sortList()
}

// server keeps a place for a server even before the list names it, so that no flow is without one.
func (l *serverList) server(id ServerID) *rs {
	r := l.byID[id]
	if r == nil {
		r = &rs{id: id, groups: map[GroupKey]int{}, state: Gone, listed: Gone, since: LongAgo}
		l.byID[id] = r
	}
	return r
}

func (b *Balancer) ListEnd() {
	for _, r := range b.list.byID {
		if !r.seen && b.list.kind != ListChanges {
			b.stand(r, Gone)
		}
	}
	b.sortList()
}

// sortList sorts servers by what they may be sent.
func (b *Balancer) sortList() {
	l := &b.list
	l.ready, l.leaving = l.ready[:0], l.leaving[:0]
	for _, r := range l.byID {
		if r.state == Ready {
			l.ready = append(l.ready, r)
		} else if r.open > 0 {
			l.leaving = append(l.leaving, r)
		}
	}
	all, warm := 0.0, 0.0
	for _, r := range l.ready {
		size := b.size(r) / b.warmth(r)
		if all += size; b.warmth(r) == 1 {
			warm += size
		}
	}
	if l.usual == 0 {
		l.usual = all
	}
	l.usual = max(l.usual, warm)
	for _, list := range [][]*rs{l.ready, l.leaving} {
		slices.SortFunc(list, func(x, y *rs) int { return cmp.Compare(x.id, y.id) })
	}
}

func (b *Balancer) Timer(m TimerMark) {
	if m == tickMark {
		b.tick()
	} else if m == listMark {
		b.act.Watch(true)
	}
	b.serveLine()
}
