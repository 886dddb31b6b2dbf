package scale

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// How the control machines are taken to be. None of it is the letter's; see docs/CAPACITY.md.
const (
	controlMachines   = 20
	controlBandwidth  = 125e6 // bytes a second out of one
	toControl         = 75 * time.Millisecond
	toBalancer        = time.Millisecond
	toFarBalancer     = 75 * time.Millisecond // of a balancer whose control machine is lost
	noticeLost        = 2800 * time.Millisecond
	retrySpread       = 800 * time.Millisecond // both by internal/protocol, after a machine that fell silent
	takeListEach      = 5 * time.Microsecond   // processor time by server of a whole list, by the sweep lists
	takeChangeEach    = 100 * time.Nanosecond  // the same by server of the list that one object changes
	startedADay       = 2300
	letterChangesADay = 17_000
	letterWithin      = 16 * time.Second
	letterBytes       = 10_000 // a second, of a balancer for control
	letterCore        = 0.036
)

// pushPlan is how changes are brought from one control machine to its balancers.
type pushPlan struct {
	servers   int
	balancers int  // of this machine
	lost      int  // more of another machine, lost when the play begins
	resumed   bool // who asks again tells what it has, and is sent what changed since
	whole     bool
	rate      float64 // changes a second
	length    time.Duration
	missed    int // changes that wait when the play begins
	missedBy  missedMode
	seed      uint64
}

// missedMode is how changes that were missed are told.
type missedMode int

const (
	missedMerged missedMode = iota
	missedOneByOne
	missedFull
)

// pushResult is what came of it.
type pushResult struct {
	times    []time.Duration // from each change until in force, at each balancer, sorted
	first    []time.Duration // until one that starts with nothing has its list
	bytes    float64         // out of the machine
	busy     float64         // part of the time that it sent
	played   time.Duration   // from the beginning until nothing was left to send
	recovery time.Duration   // until all have what was missed, or all lost ones are served
}

func (r pushResult) quantile(q float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	return r.times[min(len(r.times)-1, int(q*float64(len(r.times))))]
}

// pushBalancer is one as its control machine knows it.
type pushBalancer struct {
	has  int           // changes that it was told
	ask  time.Duration // from when it listens here
	from time.Duration // since when it wants a whole list
	all  bool          // wants one
	far  bool
	back bool // its machine was lost, and it was sent nothing since
}

type pushModel struct {
	plan      pushPlan
	sizes     listSizes
	changes   []time.Duration // when each was made
	starts    []time.Duration // of balancers with nothing
	balancers []pushBalancer
	now       time.Duration
	arrived   int
	started   int
	chance    *rand.Rand
	result    pushResult
}

func newPushModel(plan pushPlan) *pushModel {
	m := &pushModel{plan: plan, sizes: measureListSizes(plan.servers), chance: rand.New(rand.NewPCG(plan.seed, uint64(plan.balancers)))}
	m.changes = append(make([]time.Duration, plan.missed), m.arrivals(plan.rate)...)
	m.starts = m.arrivals(startedADay / float64(secondsPerDay) * float64(plan.balancers) / letterBalancers)
	m.balancers = make([]pushBalancer, plan.balancers+plan.lost)
	for i := plan.balancers; i < len(m.balancers); i++ {
		ask := noticeLost + time.Duration(m.chance.Float64()*float64(retrySpread))
		m.balancers[i] = pushBalancer{ask: ask, from: ask, all: !plan.resumed, far: true, back: true}
	}
	return m
}

const letterBalancers = 8100

// arrivals draws instants at a rate.
func (m *pushModel) arrivals(rate float64) (at []time.Duration) {
	if rate <= 0 {
		return nil
	}
	for t := 0.0; ; {
		t += m.chance.ExpFloat64() / rate
		if t >= m.plan.length.Seconds() {
			return at
		}
		at = append(at, time.Duration(t*float64(time.Second)))
	}
}

// playPush plays a plan: the machine goes round its balancers and sends each what it lacks.
func playPush(ctx context.Context, plan pushPlan) (pushResult, error) {
	m := newPushModel(plan)
	sent := time.Duration(0)
	for idle := 0; ; {
		if err := ctx.Err(); err != nil {
			return pushResult{}, err
		}
		idle = 0
		for i := range m.balancers {
			m.notice()
			took := m.serve(&m.balancers[i])
			if took == 0 {
				idle++
			}
			m.now += took
			sent += took
		}
		if idle == len(m.balancers) && !m.wait() {
			break
		}
	}
	m.result.played = max(m.now, plan.length)
	m.result.busy = sent.Seconds() / m.result.played.Seconds()
	slices.Sort(m.result.times)
	slices.Sort(m.result.first)
	return m.result, nil
}

// notice takes in what was made by now: changes, and balancers that start.
func (m *pushModel) notice() {
	for m.arrived < len(m.changes) && (m.arrived < m.plan.missed || m.changes[m.arrived]+toControl <= m.now) {
		m.arrived++
	}
	for m.started < len(m.starts) && m.starts[m.started] <= m.now {
		b := &m.balancers[m.chance.IntN(len(m.balancers))]
		if !b.all {
			b.all, b.from = true, m.starts[m.started]
		}
		m.started++
	}
}

// wait goes on to the next thing that will come, if any.
func (m *pushModel) wait() bool {
	next := time.Duration(-1)
	sooner := func(at time.Duration) {
		if at > m.now && (next < 0 || at < next) {
			next = at
		}
	}
	if m.arrived < len(m.changes) {
		sooner(m.changes[m.arrived] + toControl)
	}
	if m.started < len(m.starts) {
		sooner(m.starts[m.started])
	}
	for _, b := range m.balancers {
		sooner(b.ask)
	}
	m.now = max(m.now, next)
	return next >= 0
}

// serve sends a balancer what it lacks, and gives how long that takes the machine.
func (m *pushModel) serve(b *pushBalancer) time.Duration {
	if b.ask > m.now || !b.all && !b.back && b.has >= m.arrived {
		return 0
	}
	bytes, taking := m.message(b)
	took := time.Duration(float64(bytes) / controlBandwidth * float64(time.Second))
	m.result.bytes += float64(bytes)
	way := toBalancer
	if b.far {
		way = toFarBalancer
	}
	inForce := m.now + took + way + taking
	m.book(b, inForce)
	return max(took, 1)
}

// message is what a balancer is sent: its bytes, and the processor time of taking it.
func (m *pushModel) message(b *pushBalancer) (bytes int, taking time.Duration) {
	lacks := m.arrived - b.has
	perList := time.Duration(m.plan.servers)
	missed := b.has < m.plan.missed
	switch {
	case b.all || m.plan.whole || missed && m.plan.missedBy == missedFull:
		return m.sizes.whole, perList * takeListEach
	case missed && m.plan.missedBy == missedOneByOne:
		return lacks * m.sizes.changes(1), time.Duration(lacks) * perList * takeChangeEach
	}
	return m.sizes.changes(lacks), perList*takeChangeEach + time.Duration(lacks)*takeListEach
}

// book notes that a balancer has all from an instant on.
func (m *pushModel) book(b *pushBalancer, inForce time.Duration) {
	if b.has < m.plan.missed || b.back {
		m.result.recovery = max(m.result.recovery, inForce)
	}
	if b.all {
		m.result.first = append(m.result.first, inForce-b.from)
	}
	for ; b.has < m.arrived; b.has++ {
		m.result.times = append(m.result.times, inForce-m.changes[b.has])
	}
	b.all, b.back = false, false
}
