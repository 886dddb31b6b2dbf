package decide

// How to call: New(seed, act), then one Start... call per part, then per event At(now) and the method
// named for the event. The module acts only through Act; that interface and all id types are in types.go.
// The order of one instance's events is all it knows; the same events give the same actions.

import (
	"math"
	"sort"
	"time"
)

const (
	groupWeight = 1.0 // the design's w0
	loadWeight  = 1.0 // the design's w1
	crossWeight = 10.0
	guard       = 1.25 // above this multiple of the mean a server is passed over for grouping
	margin      = 1.75 // what another server must win by; more than grouping alone is ever worth

	tickEvery    = 250 * time.Millisecond
	recheckEvery = 5 * time.Second // one round over all established flows
	evidenceAge  = 10 * time.Second
	noteAge      = 2500 * time.Millisecond // delay notes come every second while they last
	firstPause   = time.Second
	longestPause = 16 * time.Second
	keptSamples  = 16

	tickMark TimerMark = 1
	listMark TimerMark = 2
	lineMark TimerMark = 3

	cutEvery = 900 * time.Millisecond // delay notes come once a second
	deepCut  = 0.7
	regrowth = 20 * time.Second // a limit seen doubles in that, slowly at first while a backlog drains

	widest      = 64.0 // set-ups out at once while all is well
	shortestGap = 50 * time.Millisecond
	longestGap  = 2 * time.Second
)

// Balancer is one instance: the parts, each owning its state, and what they share.
type Balancer struct {
	act Act
	now time.Duration
	rng pcg

	flows    flowBook
	tallies  tallies
	pace     pace
	picks    pick
	rechecks rechecks
	health   health
	cold     cold
	list     serverList
	fair     fairness
	services []service
}

type service struct {
	effect                        Effect
	reach                         Reach
	target, window, messageTarget time.Duration
	value                         float64
}

// rs is one real server as this balancer knows it; each part keeps its own share of it.
type rs struct {
	id    ServerID
	zone  Zone
	cell  CellID
	size  float64
	state Readiness
	told  time.Duration // when this balancer was told of the drain or departure
	since time.Duration
	life  int // counts restarts in place, so that flows of an earlier life touch no tally
	seen  bool

	open   int // tallies: booked and confirmed
	groups map[GroupKey]int

	samples  []sample // health
	asideTo  time.Duration
	pause    time.Duration
	trickle  int
	trying   int
	aside    bool
	silent   int // connects in a row that found nobody, with no sign of life since
	delay    time.Duration
	delayAt  time.Duration
	probed   float64
	probedAt time.Duration

	bore   float64 // open connections at the last sign of too many, cut; 0 while there was none
	boreAt time.Duration

	coldNext time.Duration // cold budget: the next connect that this balancer's part allows
}

type sample struct {
	at     time.Duration
	failed bool
}

// New makes an instance; nothing is known until the Start calls and the first list.
func New(seed uint64, act Act) *Balancer {
	b := &Balancer{act: act, rng: seeded(seed)}
	b.flows.byID = map[FlowID]*flow{}
	b.pace.window = widest
	b.tallies.holders = map[GroupKey]int{}
	b.list.byID = map[ServerID]*rs{}
	b.fair.open = map[CustomerID]int{}
	b.act.Timer(tickMark, tickEvery)
	return b
}

// At sets the clock for the events that follow.
func (b *Balancer) At(now time.Duration) { b.now = now }

// ---- flows

type state int

const (
	waiting state = iota
	connecting
	established
	leaving  // asked to move; its end is still to come
	answered // final answer given, a connect still out
	done
)

type flow struct {
	id        FlowID
	service   ServiceID
	customer  CustomerID
	key       FlowKey
	group     GroupKey
	state     state
	came, due time.Duration // due: its own connect timeout
	connects  int
	out       int
	rs        *rs
	life      int
	leased    bool
	trial     bool
	sentAt    time.Duration
	tried     []ServerID
	mayRan    bool // some connect may have run; the next three say where and when first
	ranAt     time.Duration
	ranZone   Zone
	ranCell   CellID
	place     int // in flowBook.open
	midFlow   bool
	retryTill time.Duration
}

type flowBook struct {
	byID        map[FlowID]*flow
	open        []*flow // established, in the order of a round of rechecks
	maxConnects int
	retryAfter  time.Duration // 0: clients are given none
	slack       time.Duration
	holders     map[FlowKey]*rs // pass mode: who held a key last
}

// StartFlows sets how many connects a flow may use, the retry-after that clients obey at most, how long
// after a connect timeout an answer still counts, and whether packets pass through.
func (b *Balancer) StartFlows(maxConnects int, retryAfter, slack time.Duration, passThrough bool) {
	b.flows.maxConnects, b.flows.retryAfter, b.flows.slack = maxConnects, retryAfter, slack
	if passThrough {
		b.flows.holders = map[FlowKey]*rs{}
	}
}

// StartService adds the next service type.
func (b *Balancer) StartService(e Effect, r Reach, target, window, messageTarget time.Duration, value float64) {
	b.services = append(b.services, service{e, r, target, window, messageTarget, value})
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
		b.fair.open[f.customer]--
	}
	switch to {
	case connecting:
		b.pace.out++
		b.book(f)
	case established:
		f.place = len(b.flows.open)
		b.flows.open = append(b.flows.open, f)
		b.fair.open[f.customer]++
		if b.flows.holders != nil && f.key != "" {
			b.flows.holders[f.key] = f.rs
		}
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
func (b *Balancer) Flow(id FlowID, s ServiceID, c CustomerID, k FlowKey, g GroupKey, left, hint time.Duration, marks int) {
	f := &flow{id: id, service: s, customer: c, key: k, group: g,
		came: b.now, due: b.now + left, midFlow: marks&MarkMidFlow != 0}
	b.flows.byID[id] = f
	b.place(f)
}

// Held takes over a connection that already stands on a server.
func (b *Balancer) Held(id FlowID, s ServiceID, c CustomerID, k FlowKey, g GroupKey, hint time.Duration, server ServerID) {
	f := &flow{id: id, service: s, customer: c, key: k, group: g, connects: 1, out: 1, rs: b.list.byID[server]}
	b.flows.byID[id] = f
	b.book(f)
	b.turn(f, established)
}

// place gives a waiting flow its next connect, or the final answer when none is left to give.
func (b *Balancer) place(f *flow) {
	if f.connects < b.flows.maxConnects && b.now < f.due {
		if f.connects == 0 && b.beyondShare(f) && b.harmless(f) {
			b.answer(f)
			return
		}
		if !b.open() {
			b.wait(f)
			return
		}
		if to := b.choose(f); to != nil {
			b.connect(f, to)
			return
		}
	}
	b.answer(f)
}

func (b *Balancer) connect(f *flow, to *rs) {
	f.rs, f.sentAt = to, b.now
	f.connects++
	f.out++
	f.tried = append(f.tried, to.id)
	b.spendCold(to)
	f.trial = to.aside
	if f.trial {
		to.trying++
	}
	b.turn(f, connecting)
	b.act.Connect(f.id, to.id, b.connectLimit(f))
}

// connectLimit leaves time for another connect, but not while all servers are slow at once: then the
// cause is shared, and a second connect would only add to it.
func (b *Balancer) connectLimit(f *flow) time.Duration {
	left, s := f.due-b.now, &b.services[f.service]
	if s.effect == OnceOnly || f.connects >= b.flows.maxConnects {
		return left
	}
	return min(left, max(s.target, 4*b.health.median()))
}

// harmless says whether the client may be told that trying again does no harm.
func (b *Balancer) harmless(f *flow) bool {
	s := &b.services[f.service]
	if f.out > 0 && s.effect != Repeatable {
		return false
	}
	return s.effect == Repeatable || !f.mayRan || s.effect == Referenced && s.reach == ReachAll
}

// answer gives the final answer at once; a flow given up on is never sat on.
func (b *Balancer) answer(f *flow) {
	if b.harmless(f) {
		b.act.Reject(f.id, b.flows.retryAfter)
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
	b.health.setups = keep(b.health.setups, took, keptSamples)
	b.judge(f, false)
	b.turn(f, established)
	if took > b.services[f.service].target {
		b.wentWrong(nil)
	} else {
		b.wentWell(f.rs)
	}
}

// Ended: a connect or a connection came to its end. over tells that the client has its answer.
func (b *Balancer) Ended(id FlowID, server ServerID, o Outcome, took time.Duration, over bool) {
	f := b.flows.byID[id]
	if f == nil {
		return
	}
	f.out--
	switch {
	case f.state == answered || f.state == leaving:
		if f.out <= 0 {
			b.turn(f, done)
		}
		return
	case f.state == established:
		if o == Reset && f.rs != nil && f.life == f.rs.life {
			b.judge(f, true)
			b.tooMany(f.rs, deepCut)
			// A server that drops flows while it holds next to nothing is sick, not full: it would
			// draw every flow because it looks empty.
			if v := b.view(f); !f.rs.aside && float64(f.rs.open) < v.mean*b.size(f.rs)/2 && b.spare() {
				b.setAside(f.rs)
			}
		}
		b.turn(f, done)
		return
	}
	if o != Cancelled && o != NeverSent && o != OK {
		b.noteSilence(f.rs, o)
		if o == Full {
			b.tooMany(f.rs, deepCut)
		}
		b.judge(f, true)
		b.wentWrong(f.rs)
		if o == TimedOut {
			b.health.setups = keep(b.health.setups, took, keptSamples)
		}
	}
	if !o.NeverRan() && !f.mayRan {
		// Against a second effect: where and when it may first have run binds all that follows.
		f.mayRan, f.ranAt = true, f.sentAt
		f.ranZone, f.ranCell = f.rs.zone, f.rs.cell
	}
	if over {
		b.turn(f, done)
		return
	}
	b.turn(f, waiting)
	if b.mayRepeat(f) {
		b.place(f)
	} else {
		b.answer(f)
	}
	b.serveLine()
}

// mayRepeat keeps effects from happening twice: never two connects out, and after one that may have run
// only what the service type allows.
func (b *Balancer) mayRepeat(f *flow) bool {
	s := &b.services[f.service]
	if f.out > 0 || b.now >= f.due {
		return false
	}
	return !f.mayRan || s.effect == Repeatable || s.effect == Referenced && b.now < f.ranAt+s.window
}

// Left: the client is gone; nothing more is owed.
func (b *Balancer) Left(id FlowID) {
	if f := b.flows.byID[id]; f != nil {
		b.turn(f, answered)
	}
}

// ---- pace: how many set-ups may be out at once while what they all share is in trouble

type pace struct {
	window float64
	out    int
	line   []*flow // waiting, oldest first
	pause  time.Duration
	opens  time.Duration
	cutAt  time.Duration

	results []result // of the last set-ups, over all servers
}

// open tells whether one more set-up may go out.
func (b *Balancer) open() bool { return b.now >= b.pace.opens && float64(b.pace.out) < b.pace.window }

// wait puts a flow in line. It gets its answer as soon as its setup target has passed without a turn:
// by then it is given up, and a flow given up on isn't sat on.
func (b *Balancer) wait(f *flow) {
	till := min(f.due, f.came+b.services[f.service].target)
	if b.now >= till {
		b.answer(f)
		return
	}
	b.pace.line = append(b.pace.line, f)
	b.act.Timer(lineMark, till-b.now)
}

// serveLine gives turns while set-ups may go out, and answers those whose time in line is over.
func (b *Balancer) serveLine() {
	line := b.pace.line
	b.pace.line = nil
	for _, f := range line {
		switch {
		case f.state != waiting:
		case b.open() || b.now >= min(f.due, f.came+b.services[f.service].target):
			b.place(f)
		default:
			b.pace.line = append(b.pace.line, f)
		}
	}
}

// wentWell and wentWrong size the window. Against a meltdown of what all set-ups share: each further
// connect then only adds to the load that fails or delays them.
func (b *Balancer) wentWell(r *rs) {
	b.pace.results = keep(b.pace.results, result{r, false}, keptSamples)
	b.pace.window = min(b.pace.window+1, widest)
	b.pace.pause = 0
	b.serveLine()
}

// wentWrong narrows it when the cause is shared: set-ups stand but later than wanted (r is nil), or half
// of the last ones failed, and not all at one or two servers.
func (b *Balancer) wentWrong(r *rs) {
	if r != nil {
		b.pace.results = keep(b.pace.results, result{r, true}, keptSamples)
		failed, at := 0, map[*rs]bool{}
		for _, x := range b.pace.results {
			if x.failed {
				failed++
				at[x.rs] = true
			}
		}
		if 2*failed < keptSamples || len(at) < min(3, len(b.list.ready)) {
			return
		}
	}
	if b.now < b.pace.cutAt+min(b.health.median(), tickEvery) {
		return
	}
	b.pace.cutAt = b.now
	if b.pace.window /= 2; b.pace.window < 1 {
		b.pace.window = 1
		if r != nil {
			b.pace.pause = min(max(2*b.pace.pause, shortestGap), longestGap)
			gap := time.Duration(float64(b.pace.pause) * (0.5 + b.rng.unit()))
			b.pace.opens = b.now + gap
			b.act.Timer(lineMark, gap)
		}
	}
}

type result struct {
	rs     *rs
	failed bool
}

// ---- tallies

type tallies struct {
	open    int
	holders map[GroupKey]int // servers on which this balancer's tally of the group is above nought
	held    int              // the sum of holders
}

// book takes the lease on a tally; release gives it back once, whether refused, failed, moved or closed.
func (b *Balancer) book(f *flow) {
	if f.rs == nil || f.leased {
		return
	}
	f.leased, f.life = true, f.rs.life
	f.rs.open++
	b.tallies.open++
	if f.group != "" {
		if f.rs.groups[f.group]++; f.rs.groups[f.group] == 1 {
			b.tallies.holders[f.group]++
			b.tallies.held++
		}
	}
}

func (b *Balancer) release(f *flow) {
	if !f.leased {
		return
	}
	f.leased = false
	if f.trial {
		f.trial = false
		f.rs.trying = max(0, f.rs.trying-1)
	}
	if f.life != f.rs.life {
		return // the server restarted since; its tallies were cleared then, and a ghost must not return
	}
	f.rs.open--
	b.tallies.open--
	if f.group != "" {
		if f.rs.groups[f.group]--; f.rs.groups[f.group] == 0 {
			b.dropGroup(f.rs, f.group)
		}
	}
}

func (b *Balancer) dropGroup(r *rs, g GroupKey) {
	delete(r.groups, g)
	b.tallies.held--
	if b.tallies.holders[g]--; b.tallies.holders[g] == 0 {
		delete(b.tallies.holders, g)
	}
}

// forget clears a server's tallies when it restarted in place.
func (b *Balancer) forget(r *rs) {
	for g := range r.groups {
		b.dropGroup(r, g)
	}
	b.tallies.open -= r.open
	r.open, r.trying = 0, 0
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

// ---- pick

type pick struct {
	crossing float64
	sizes    bool
}

// StartPick sets the price of crossing zones and whether the list's sizes mean anything.
func (b *Balancer) StartPick(crossing float64, sizes bool) { b.picks = pick{crossing, sizes} }

// choose is the guarded least-cost pick. Rules bind first (readiness, cold budget, where a repeat may
// go), then servers in trouble stand behind all others, then cost decides, and chance among equals.
func (b *Balancer) choose(f *flow) *rs {
	if f.midFlow && f.connects == 0 {
		if h := b.flows.holders[f.key]; h != nil && (h.state == Ready || h.state == Draining && b.now < h.told+b.list.grace/2) {
			return h // its packets go on only where the connection stands
		}
	}
	var best *rs
	bestRank, bestCost, ties := math.MaxInt, 0.0, 0.0
	v := b.view(f)
	for _, r := range b.list.ready {
		if !b.allowed(f, r) {
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

func (b *Balancer) allowed(f *flow, r *rs) bool {
	if r.state != Ready || !b.coldAllows(r) || !b.room(r) {
		return false
	}
	if s := &b.services[f.service]; f.mayRan && s.effect == Referenced {
		return s.reach == ReachAll || s.reach == ReachZone && r.zone == f.ranZone ||
			s.reach == ReachCell && r.cell == f.ranCell
	}
	return true
}

// rank sorts servers in trouble behind the others without ever leaving a flow without any.
func (b *Balancer) rank(f *flow, r *rs) int {
	n := 0
	for _, id := range f.tried {
		if id == r.id {
			n += 4
		}
	}
	if r.aside && (b.now < r.asideTo || r.trying >= r.trickle) {
		n += 2
	}
	if b.hot(r) {
		n++
	}
	return n
}

// view is what one pick or recheck compares all servers against.
type view struct {
	mean   float64 // own open connections per unit of size in service
	relief bool    // some server sits below the guard
	home   *rs
}

// view leaves the flow in hand out of the mean. The home is the server on which all balancers expect a
// group without being told: highest by a hash of group and id among those below the guard. Each
// balancer's tally alone would spread a group over as many servers as there are balancers.
func (b *Balancer) view(f *flow) (v view) {
	size, sum, top := 0.0, b.tallies.open, 0.0
	for _, r := range b.list.ready {
		size += b.size(r)
	}
	if f.leased {
		sum--
	}
	v.mean = float64(sum) / max(size, 1e-9)
	for _, r := range b.list.ready {
		if r.aside || b.hot(r) || b.warmth(r) < 1 || float64(r.open) > guard*v.mean*b.size(r) {
			continue
		}
		v.relief = true
		if h := homeRank(f.group, r.id) * b.size(r); f.group != "" && !f.leased && b.tallies.holders[f.group] == 0 && h > top {
			v.home, top = r, h
		}
	}
	return v
}

func homeRank(g GroupKey, id ServerID) float64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(g); i++ {
		h = (h ^ uint64(g[i])) * 1099511628211
	}
	p := seeded(h ^ uint64(id)*0x9e3779b97f4a7c15)
	return -1 / math.Log((float64(p.next())+0.5)/(1<<32))
}

// size is what the list says of a server's size, where that means anything: the page's mean per server
// would fill the small ones of an uneven fleet first. A cold server counts by what it can do by now.
func (b *Balancer) size(r *rs) float64 {
	if b.picks.sizes && r.size > 0 {
		return r.size * b.warmth(r)
	}
	return b.warmth(r)
}

func (b *Balancer) load(r *rs, open int, mean float64) float64 {
	l := 0.0
	if mean > 0 {
		l = float64(open) / mean / b.size(r)
	}
	if w := b.warmth(r); w < 1 {
		l = max(l, 1-w) // a new server starts at the mean and sheds that as it warms
	}
	if r.probedAt > 0 && b.now-r.probedAt < recheckEvery {
		l += r.probed
	}
	return l
}

func (b *Balancer) cost(f *flow, r *rs, v view) float64 {
	open := r.open
	inGroup := f.group != "" && r.groups[f.group] > 0
	if f.leased && f.rs == r {
		open--
		inGroup = r.groups[f.group] > 1
	}
	l := b.load(r, open, v.mean)
	g := 0.0
	if f.group != "" {
		g = -b.distance()
		if (inGroup || r == v.home) && (l <= guard || !v.relief) {
			g = 1
		}
	}
	c := -groupWeight*g + loadWeight*l
	if r.zone != b.list.own {
		c += crossWeight * b.picks.crossing
	}
	return c
}

// ---- rechecks and moves

type rechecks struct {
	next  int
	price float64
	moved int // in this tick
}

// StartMoves tells what a move of each client once would cost, in shares of the whole.
func (b *Balancer) StartMoves(price float64) { b.rechecks.price = price }

// calm: no move into a store slowdown; a moved client pays its set-up again, through what is slow.
func (b *Balancer) calm() bool {
	return len(b.services) > 0 && b.health.median() < b.services[0].target/2
}

// recheck moves an established flow when another server wins by need.
func (b *Balancer) recheck(f *flow, need float64) bool {
	v := b.view(f)
	here := b.cost(f, f.rs, v)
	for _, r := range b.list.ready {
		if r != f.rs && b.allowed(f, r) && b.rank(f, r) == 0 && b.cost(f, r, v) < here-need {
			b.act.Move(f.id)
			b.turn(f, leaving)
			b.rechecks.moved++
			return true
		}
	}
	return false
}

// Tick keeps the preset interval: a slice of all established flows every time, so they don't beat.
func (b *Balancer) tick() {
	b.rechecks.moved = 0
	b.act.Timer(tickMark, tickEvery)
	n := int(float64(len(b.flows.open))*float64(tickEvery)/float64(recheckEvery)) + 1
	for ; n > 0 && len(b.flows.open) > 0 && b.calm(); n-- {
		b.rechecks.next = (b.rechecks.next + 1) % len(b.flows.open)
		if f := b.flows.open[b.rechecks.next]; f.rs != nil && f.rs.state == Ready {
			b.recheck(f, margin)
		}
	}
	for _, r := range b.list.leaving {
		b.evacuate(r, 8, -math.MaxFloat64)
	}
	for _, r := range b.list.ready {
		if r.silent >= 2 {
			b.evacuate(r, 8, -math.MaxFloat64)
		}
	}
	if b.health.probe {
		b.probeAside()
	}
}

// evacuate rechecks a part of a server's flows. One signal must not move them all together (the page's
// weak spot), so each call moves a part, and each move counts in the next recheck.
func (b *Balancer) evacuate(r *rs, part int, need float64) {
	var here []*flow
	for _, f := range b.flows.open {
		if f.rs == r {
			here = append(here, f)
		}
	}
	// Smallest groups first: a server pays for a group as long as it holds any of it.
	sort.SliceStable(here, func(i, j int) bool { return r.groups[here[i].group] < r.groups[here[j].group] })
	quota := r.open/part + 1
	for _, f := range here {
		if quota > 0 && b.recheck(f, need) {
			quota--
		}
	}
}

// ---- health

type health struct {
	setups                 []time.Duration
	probe, pull, tellsLoad bool
}

// StartHealth tells whether servers may be probed, whether probes bring load reports, and whether
// connections tell their load.
func (b *Balancer) StartHealth(mayProbe, probesReport, tellsLoad bool) {
	b.health.probe, b.health.pull, b.health.tellsLoad = mayProbe, mayProbe && probesReport, tellsLoad
}

func keep[T any](s []T, v T, n int) []T {
	if len(s) >= n {
		s = append(s[:0], s[len(s)-n+1:]...)
	}
	return append(s, v)
}

func (h *health) median() time.Duration {
	if len(h.setups) == 0 {
		return 0
	}
	var buf [keptSamples]time.Duration
	s := append(buf[:0], h.setups...)
	sort.Slice(s, func(i, j int) bool { return s[i] < s[j] })
	return s[len(s)/2]
}

func (b *Balancer) failShare(r *rs) (share float64, n int) {
	fails := 0
	for _, s := range r.samples {
		if b.now-s.at < evidenceAge {
			n++
			if s.failed {
				fails++
			}
		}
	}
	return float64(fails) / float64(max(n, 1)), n
}

// judge takes one sample for the flow's server and sets it aside, or lets its trickle grow.
func (b *Balancer) judge(f *flow, failed bool) {
	r := f.rs
	if r == nil || f.life != r.life {
		return
	}
	r.samples = keep(r.samples, sample{b.now, failed}, 4)
	switch {
	case !failed && r.aside:
		r.silent = 0
		if r.trickle *= 2; r.trickle > 8 {
			r.aside = false
		}
	case !failed:
		r.silent = 0
	case r.aside:
		if b.now >= r.asideTo {
			b.setAside(r)
		}
	default:
		// Against the fleet's median: when all fail at once the cause is shared, and setting
		// servers aside would only push their load onto the rest.
		if share, n := b.failShare(r); n >= 2 && share >= b.medianShare()+0.5 && b.spare() {
			b.setAside(r)
		}
	}
}

func (b *Balancer) setAside(r *rs) {
	if r.pause *= 2; b.now > r.asideTo+evidenceAge {
		r.pause = 0
	}
	r.pause = min(max(firstPause, r.pause), longestPause)
	r.aside, r.trickle, r.asideTo = true, 1, b.now+r.pause
}

// spare: setting one more aside leaves half of the servers, so that the rest don't topple.
func (b *Balancer) spare() bool {
	n := 0
	for _, r := range b.list.ready {
		if r.aside {
			n++
		}
	}
	return 2*(n+1) <= len(b.list.ready)
}

func (b *Balancer) medianShare() float64 {
	var shares []float64
	for _, r := range b.list.ready {
		if s, n := b.failShare(r); n > 0 {
			shares = append(shares, s)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	sort.Float64s(shares)
	return shares[len(shares)/2]
}

func (b *Balancer) noteSilence(r *rs, o Outcome) {
	if r != nil && o == Unreachable {
		r.silent++
	}
}

// LoadNote: a connection's load now. It also shows that its server lives.
func (b *Balancer) LoadNote(id FlowID, perSecond float64) {
	if f := b.flows.byID[id]; f != nil && f.rs != nil {
		f.rs.silent = 0
	}
}

// DelayNote: a message takes that long at the flow's server. It stands for the page's emergency signal.
func (b *Balancer) DelayNote(id FlowID, took time.Duration) {
	f := b.flows.byID[id]
	if f == nil || f.rs == nil {
		return
	}
	f.rs.silent = 0
	again := f.rs.delay > b.list.messageTarget && b.now-f.rs.delayAt < noteAge
	f.rs.delay, f.rs.delayAt = took, b.now
	// One late message on a fleet in time may be a pause; a second, or one among many, is too much load.
	if took > b.list.messageTarget && (again || b.short()) {
		b.tooMany(f.rs, deepCut)
	}
	if b.hot(f.rs) && b.calm() && f.state == established {
		b.evacuate(f.rs, 8, 0)
	}
}

// hot: messages at the server take more than half of the shortest time in which one is wanted.
func (b *Balancer) hot(r *rs) bool {
	return r.delay > 0 && b.now-r.delayAt < noteAge && r.delay > b.list.messageTarget/2
}

// tooMany notes that a server holds more than it can bear, and keeps the share that it should hold until
// its backlog is gone. Against a fleet tipping over one server after another: what one drops comes again,
// and placed on the next it tips that too.
func (b *Balancer) tooMany(r *rs, share float64) {
	if b.now-r.boreAt > cutEvery || r.bore == 0 {
		r.bore, r.boreAt = max(1, share*float64(r.open)), b.now
	}
}

// room: a server that was over its limit takes new flows only as the limit grows back.
func (b *Balancer) room(r *rs) bool {
	t := (b.now - r.boreAt).Seconds() / regrowth.Seconds()
	return r.bore == 0 || float64(r.open) < r.bore*(1+t*t)
}

// Probed: a probe's result, with load over capacity and seconds piled up where offered (else negative).
func (b *Balancer) Probed(server ServerID, o Outcome, load, backlog float64) {
	r := b.list.byID[server]
	if r == nil {
		return
	}
	b.Reported(server, load, backlog)
	if r.aside && b.now >= r.asideTo {
		if o == OK {
			r.silent = 0
		} else {
			b.setAside(r)
		}
	}
}

// Reported: a server's own word on its load.
func (b *Balancer) Reported(server ServerID, load, backlog float64) {
	r := b.list.byID[server]
	if r == nil {
		return
	}
	if load >= 0 {
		r.probed, r.probedAt = load, b.now
	}
	if backlog > b.list.messageTarget.Seconds() && b.calm() {
		b.evacuate(r, 8, 0)
	}
}

func (b *Balancer) probeAside() {
	for _, r := range b.list.ready {
		if r.silent >= 2 && b.now >= r.asideTo && r.asideTo > 0 {
			b.act.Probe(r.id)
		}
	}
}

// ---- cold budget

type cold struct {
	from, multiple float64
	warmAfter      time.Duration
	window         time.Duration
	peers          int
}

// StartCold sets the rule on cold servers and by how many balancers its budget is shared.
func (b *Balancer) StartCold(from, multiple float64, warmAfter, window time.Duration, peers int) {
	b.cold = cold{from, multiple, warmAfter, window, max(peers, 1)}
}

// warmth is the part of its full capacity that a server can do by now, at the least.
func (b *Balancer) warmth(r *rs) float64 {
	if age := b.now - r.since; r.since != LongAgo && age < b.cold.warmAfter {
		return b.cold.from + (1-b.cold.from)*max(0, age.Seconds())/b.cold.warmAfter.Seconds()
	}
	return 1
}

// coldGap is the time between two connects of this balancer to a cold server. What a warm server is seen
// to bear stands for the capacity that nobody tells; half the multiple leaves the rest to chance.
func (b *Balancer) coldGap(r *rs) time.Duration {
	var seen []int
	for _, o := range b.list.ready {
		if b.warmth(o) == 1 {
			seen = append(seen, o.open)
		}
	}
	bears := 1
	if len(seen) > 0 {
		sort.Ints(seen)
		bears = max(1, seen[len(seen)/2])
	}
	rate := b.warmth(r) * b.cold.multiple / 2 * float64(bears) / b.cold.warmAfter.Seconds()
	return time.Duration(float64(time.Second) / rate)
}

func (b *Balancer) coldAllows(r *rs) bool { return b.warmth(r) == 1 || b.now >= r.coldNext }

func (b *Balancer) spendCold(r *rs) {
	if b.warmth(r) < 1 {
		r.coldNext = b.now + b.coldGap(r)
	}
}

// ---- server list

type serverList struct {
	byID          map[ServerID]*rs
	ready         []*rs // by id: map order must decide nothing
	leaving       []*rs
	own           Zone
	ask           bool
	askWithin     time.Duration
	grace         time.Duration
	gap           time.Duration
	kind          ListKind
	messageTarget time.Duration
}

// StartList sets this balancer's zone, whether the list must be asked for and how often at the least, the
// grace after a drain is told, and the shortest time in which a message is wanted.
func (b *Balancer) StartList(own Zone, ask bool, askWithin, grace, messageTarget time.Duration) {
	l := &b.list
	l.own, l.ask, l.askWithin, l.grace, l.messageTarget = own, ask, askWithin, grace, messageTarget
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
	if k == ListFailed && b.list.ask {
		// Ask again well within the time after which we count as told, spread so that a service
		// that just came back isn't toppled by everybody at once.
		b.list.gap = min(max(2*b.list.gap, tickEvery), b.list.askWithin/2)
		b.act.Timer(listMark, time.Duration(float64(b.list.gap)*(0.5+b.rng.unit()/2)))
	} else {
		b.list.gap = 0
	}
}

// ListServer is one entry.
func (b *Balancer) ListServer(id ServerID, z Zone, k Kind, c CellID, size float64, st Readiness, since time.Duration) {
	r := b.list.byID[id]
	if r == nil {
		r = &rs{id: id, groups: map[GroupKey]int{}, state: st, told: b.now, since: since}
		b.list.byID[id] = r
		b.chill(r)
	} else if since > r.since && st == Ready {
		b.forget(r)
		*r = rs{id: id, groups: map[GroupKey]int{}, life: r.life, since: since}
		b.chill(r)
	}
	r.zone, r.cell, r.size, r.seen = z, c, size, true
	if r.state != st {
		r.state, r.told = st, b.now
	}
}

// chill puts off the first connect to a fresh server by a random part of the gap: all balancers hear of
// it at about the same time, and together their first connects could spend its budget.
func (b *Balancer) chill(r *rs) {
	if b.warmth(r) < 1 {
		r.coldNext = b.now + time.Duration(b.rng.unit()*float64(b.coldGap(r)))
	}
}

// ListEnd closes the news.
func (b *Balancer) ListEnd() {
	l := &b.list
	l.ready, l.leaving = l.ready[:0], l.leaving[:0]
	for _, r := range l.byID {
		if !r.seen && l.kind != ListChanges && r.state != Gone {
			r.state, r.told = Gone, b.now
		}
		if r.state == Ready {
			l.ready = append(l.ready, r)
		} else if r.open > 0 {
			l.leaving = append(l.leaving, r)
		}
	}
	sort.Slice(l.ready, func(i, j int) bool { return l.ready[i].id < l.ready[j].id })
	sort.Slice(l.leaving, func(i, j int) bool { return l.leaving[i].id < l.leaving[j].id })
}

// Timer: one of our own timers came due.
func (b *Balancer) Timer(m TimerMark) {
	switch m {
	case tickMark:
		b.tick()
	case listMark:
		b.act.Watch(true)
	case lineMark:
		b.serveLine()
	}
}

// ---- fairness

type fairness struct {
	open   map[CustomerID]int
	quota  []float64
	beyond float64
}

// StartFairness sets what traffic beyond a share is worth; StartCustomer adds the next customer with the
// open connections that lie within its share, over all balancers.
func (b *Balancer) StartFairness(beyondShareValue float64) { b.fair.beyond = beyondShareValue }

// StartCustomer adds the next customer.
func (b *Balancer) StartCustomer(quota float64) { b.fair.quota = append(b.fair.quota, quota) }

// beyondShare: the fleet is short and this flow's customer holds its share already. It is judged on this
// balancer's own part, as the front layer spreads each customer over all balancers.
func (b *Balancer) beyondShare(f *flow) bool {
	if f.customer < 0 || int(f.customer) >= len(b.fair.quota) || b.fair.beyond >= 1 || !b.short() {
		return false
	}
	q := b.fair.quota[f.customer]
	return q > 0 && float64(b.fair.open[f.customer]*b.cold.peers) >= q
}

// short: a third of the servers in service answer messages late.
func (b *Balancer) short() bool {
	n := 0
	for _, r := range b.list.ready {
		if b.hot(r) {
			n++
		}
	}
	return n > 0 && 3*n >= len(b.list.ready)
}

// Peer: a message from another balancer. Nothing depends on them yet.
func (b *Balancer) Peer(PeerID, []byte) {}
