package scale

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// How the control machines are taken to be. None of it is the letter's; see docs/CAPACITY.md.
const (
	controlMachines       = 20
	controlBandwidth      = 125e6 // bytes a second out of one
	controlDelay          = 75 * time.Millisecond
	nearBalancerDelay     = time.Millisecond
	farBalancerDelay      = 75 * time.Millisecond // of a balancer whose control machine is lost
	lossDetection         = 2800 * time.Millisecond
	reconnectSpread       = 800 * time.Millisecond // both by internal/protocol, after a machine that fell silent
	fullListTimePerServer = 5 * time.Microsecond   // processor time by server of a whole list, by the sweep lists
	changeTimePerServer   = 100 * time.Nanosecond  // the same by server of the list that one object changes
	startsPerDay          = 2300
	requiredChangesPerDay = 17_000
	requiredLatency       = 16 * time.Second
	bandwidthBudget       = 10_000 // a second, of a balancer for control
	processorBudget       = 0.036
)

// pushPlan is how changes are brought from one control machine to its balancers.
type pushPlan struct {
	servers    int
	balancers  int  // of this machine
	takenOver  int  // more of another machine, lost when the play begins
	resumes    bool // who asks again tells what it has, and is sent what changed since
	fullLists  bool
	rate       float64 // changes a second
	length     time.Duration
	missed     int // changes that wait when the play begins
	missedMode catchUpMode
	seed       uint64
}

// catchUpMode is how changes that were missed are told.
type catchUpMode int

const (
	catchUpMerged catchUpMode = iota
	catchUpOneByOne
	missedFullList
)

// pushResult is what came of it.
type pushResult struct {
	changeLatencies []time.Duration // from each change until in force, at each balancer, sorted
	startLatencies  []time.Duration // until one that starts with nothing has its list
	bytes           float64         // out of the machine
	utilization     float64         // part of the time that it sent
	duration        time.Duration   // from the beginning until nothing was left to send
	recovery        time.Duration   // until all have what was missed, or all lost ones are served
}

func (r pushResult) quantile(q float64) time.Duration {
	if len(r.changeLatencies) == 0 {
		return 0
	}
	return r.changeLatencies[min(len(r.changeLatencies)-1, int(q*float64(len(r.changeLatencies))))]
}

// pushBalancer is one as its control machine knows it.
type pushBalancer struct {
	received        int           // changes that it was told
	connectsAt      time.Duration // from when it listens here
	awaitsListSince time.Duration // since when it wants a whole list
	needsFullList   bool          // wants one
	far             bool
	recovering      bool // its machine was lost, and it was sent nothing since
}

type pushModel struct {
	plan        pushPlan
	sizes       listSizes
	changeTimes []time.Duration // when each was made
	startTimes  []time.Duration // of balancers with nothing
	balancers   []pushBalancer
	now         time.Duration
	arrived     int
	started     int
	random      *rand.Rand
	result      pushResult
}

func newPushModel(plan pushPlan) *pushModel {
	model := &pushModel{plan: plan, sizes: measureListSizes(plan.servers), random: rand.New(rand.NewPCG(plan.seed, uint64(plan.balancers)))}
	model.changeTimes = append(make([]time.Duration, plan.missed), model.arrivals(plan.rate)...)
	model.startTimes = model.arrivals(startsPerDay / float64(secondsPerDay) * float64(plan.balancers) / requiredBalancers)
	model.balancers = make([]pushBalancer, plan.balancers+plan.takenOver)
	for i := plan.balancers; i < len(model.balancers); i++ {
		connectsAt := lossDetection + time.Duration(model.random.Float64()*float64(reconnectSpread))
		model.balancers[i] = pushBalancer{connectsAt: connectsAt, awaitsListSince: connectsAt, needsFullList: !plan.resumes, far: true, recovering: true}
	}
	return model
}

const requiredBalancers = 8100

// arrivals draws instants at a rate.
func (m *pushModel) arrivals(rate float64) (at []time.Duration) {
	if rate <= 0 {
		return nil
	}
	for t := 0.0; ; {
		t += m.random.ExpFloat64() / rate
		if t >= m.plan.length.Seconds() {
			return at
		}
		at = append(at, time.Duration(t*float64(time.Second)))
	}
}

// simulatePush plays a plan: the machine goes round its balancers and sends each what it lacks.
func simulatePush(ctx context.Context, plan pushPlan) (pushResult, error) {
	m := newPushModel(plan)
	sent := time.Duration(0)
	for idle := 0; ; {
		if err := ctx.Err(); err != nil {
			return pushResult{}, err
		}
		idle = 0
		for i := range m.balancers {
			m.collectArrivals()
			took := m.serve(&m.balancers[i])
			if took == 0 {
				idle++
			}
			m.now += took
			sent += took
		}
		if idle == len(m.balancers) && !m.advanceToNext() {
			break
		}
	}
	m.result.duration = max(m.now, plan.length)
	m.result.utilization = sent.Seconds() / m.result.duration.Seconds()
	slices.Sort(m.result.changeLatencies)
	slices.Sort(m.result.startLatencies)
	return m.result, nil
}

// collectArrivals takes in what was made by now: changes, and balancers that start.
func (m *pushModel) collectArrivals() {
	for m.arrived < len(m.changeTimes) && (m.arrived < m.plan.missed || m.changeTimes[m.arrived]+controlDelay <= m.now) {
		m.arrived++
	}
	for m.started < len(m.startTimes) && m.startTimes[m.started] <= m.now {
		b := &m.balancers[m.random.IntN(len(m.balancers))]
		if !b.needsFullList {
			b.needsFullList, b.awaitsListSince = true, m.startTimes[m.started]
		}
		m.started++
	}
}

// advanceToNext goes on to the next thing that will come, if any.
func (m *pushModel) advanceToNext() bool {
	next := time.Duration(-1)
	sooner := func(at time.Duration) {
		if at > m.now && (next < 0 || at < next) {
			next = at
		}
	}
	if m.arrived < len(m.changeTimes) {
		sooner(m.changeTimes[m.arrived] + controlDelay)
	}
	if m.started < len(m.startTimes) {
		sooner(m.startTimes[m.started])
	}
	for _, b := range m.balancers {
		sooner(b.connectsAt)
	}
	m.now = max(m.now, next)
	return next >= 0
}

// serve sends a balancer what it lacks, and gives how long that takes the machine.
func (m *pushModel) serve(b *pushBalancer) time.Duration {
	if b.connectsAt > m.now || !b.needsFullList && !b.recovering && b.received >= m.arrived {
		return 0
	}
	bytes, taking := m.nextMessage(b)
	took := time.Duration(float64(bytes) / controlBandwidth * float64(time.Second))
	m.result.bytes += float64(bytes)
	way := nearBalancerDelay
	if b.far {
		way = farBalancerDelay
	}
	inForce := m.now + took + way + taking
	m.recordDelivery(b, inForce)
	return max(took, 1)
}

// nextMessage is what a balancer is sent: its bytes, and the processor time of taking it.
func (m *pushModel) nextMessage(b *pushBalancer) (bytes int, taking time.Duration) {
	lacks := m.arrived - b.received
	perList := time.Duration(m.plan.servers)
	missed := b.received < m.plan.missed
	switch {
	case b.needsFullList || m.plan.fullLists || missed && m.plan.missedMode == missedFullList:
		return m.sizes.full, perList * fullListTimePerServer
	case missed && m.plan.missedMode == catchUpOneByOne:
		return lacks * m.sizes.changes(1), time.Duration(lacks) * perList * changeTimePerServer
	}
	return m.sizes.changes(lacks), perList*changeTimePerServer + time.Duration(lacks)*fullListTimePerServer
}

// recordDelivery notes that a balancer has all from an instant on.
func (m *pushModel) recordDelivery(b *pushBalancer, inForce time.Duration) {
	if b.received < m.plan.missed || b.recovering {
		m.result.recovery = max(m.result.recovery, inForce)
	}
	if b.needsFullList {
		m.result.startLatencies = append(m.result.startLatencies, inForce-b.awaitsListSince)
	}
	for ; b.received < m.arrived; b.received++ {
		m.result.changeLatencies = append(m.result.changeLatencies, inForce-m.changeTimes[b.received])
	}
	b.needsFullList, b.recovering = false, false
}
