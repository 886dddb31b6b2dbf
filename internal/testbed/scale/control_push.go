package scale

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// Assumptions about the control machines and the requirements they are checked against; see docs/CAPACITY.md.
const (
	controlMachines       = 20
	controlBandwidth      = 125e6                 // bytes per second sent by one machine
	controlDelay          = 75 * time.Millisecond // until a change reaches a control machine
	nearBalancerDelay     = time.Millisecond
	farBalancerDelay      = 75 * time.Millisecond   // to a balancer taken over from another control machine
	lossDetection         = 2800 * time.Millisecond // until a balancer notices the loss of its control machine; internal/protocol silenceTimeout
	reconnectSpread       = 800 * time.Millisecond  // over which internal/protocol spreads reconnects after a loss
	fullListTimePerServer = 5 * time.Microsecond    // processor time of applying a full list or changes, per entry of the message
	changeTimePerServer   = 100 * time.Nanosecond   // further processor time of applying an object with changes, per server of the list
	startsPerDay          = 2300                    // starts of balancers without state, in a fleet of requiredBalancers
	requiredChangesPerDay = 17_000
	requiredLatency       = 16 * time.Second
	bandwidthBudget       = 10_000 // bytes per second, for a balancer's control traffic
)

// pushPlan describes how one control machine publishes changes to its balancers.
type pushPlan struct {
	servers    int
	balancers  int  // served by this machine
	takenOver  int  // balancers of another machine, which is lost at the start
	resumes    bool // reconnecting balancers send their revision and receive only later changes
	fullLists  bool
	rate       float64 // changes per second
	duration   time.Duration
	missed     int // changes that all balancers lack at the start
	missedMode catchUpMode
	seed       uint64
}

// catchUpMode is the form in which missed changes are published.
type catchUpMode int

const (
	catchUpMerged catchUpMode = iota
	catchUpOneByOne
	catchUpFullList
)

// pushResult is the outcome of a simulated plan.
type pushResult struct {
	changeLatencies   []time.Duration // from each change until it is in force at each balancer, sorted
	fullListLatencies []time.Duration // from a balancer's start without state, or its connect after a takeover, until its full list is in force, sorted
	bytes             float64         // sent by the machine
	utilization       float64         // share of the time spent sending
	duration          time.Duration   // until all was sent, at least the plan's
	recovery          time.Duration   // until all balancers have the missed changes and all taken-over balancers are up to date
}

func (r pushResult) quantile(q float64) time.Duration {
	if len(r.changeLatencies) == 0 {
		return 0
	}
	return r.changeLatencies[min(len(r.changeLatencies)-1, int(q*float64(len(r.changeLatencies))))]
}

// pushBalancer is the control machine's view of a balancer.
type pushBalancer struct {
	received        int           // number of changes sent to it
	connectsAt      time.Duration // when it connects to this machine
	awaitsListSince time.Duration // when it began to need a full list
	needsFullList   bool
	far             bool // taken over, so farBalancerDelay applies
	recovering      bool // taken over and not up to date yet
}

type pushModel struct {
	plan        pushPlan
	sizes       listSizes
	changeTimes []time.Duration // when each change was made
	startTimes  []time.Duration // when balancers without state start
	balancers   []pushBalancer
	now         time.Duration
	arrived     int // number of changes that reached the machine
	started     int // number of balancers in startTimes that have started
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
		model.balancers[i] = pushBalancer{
			connectsAt:      connectsAt,
			awaitsListSince: connectsAt,
			needsFullList:   !plan.resumes,
			far:             true,
			recovering:      true,
		}
	}
	return model
}

const requiredBalancers = 8100 // in the planned fleet

// arrivals draws the arrival times of a Poisson process over the plan's duration; the rate is per second.
func (m *pushModel) arrivals(rate float64) (at []time.Duration) {
	if rate <= 0 {
		return nil
	}
	for t := 0.0; ; {
		t += m.random.ExpFloat64() / rate
		if t >= m.plan.duration.Seconds() {
			return at
		}
		at = append(at, time.Duration(t*float64(time.Second)))
	}
}

// simulatePush runs a plan: the machine visits its balancers in turn and sends each what it lacks.
func simulatePush(ctx context.Context, plan pushPlan) (pushResult, error) {
	m := newPushModel(plan)
	sending := time.Duration(0)
	for idle := 0; ; {
		if err := ctx.Err(); err != nil {
			return pushResult{}, err
		}
		idle = 0
		for i := range m.balancers {
			m.applyArrivals()
			took := m.serve(&m.balancers[i])
			if took == 0 {
				idle++
			}
			m.now += took
			sending += took
		}
		if idle == len(m.balancers) && !m.advanceToNext() {
			break
		}
	}
	m.result.duration = max(m.now, plan.duration)
	m.result.utilization = sending.Seconds() / m.result.duration.Seconds()
	slices.Sort(m.result.changeLatencies)
	slices.Sort(m.result.fullListLatencies)
	return m.result, nil
}

// applyArrivals counts the changes that arrived up to now. For each start up to now, it marks a random balancer as in need
// of a full list.
func (m *pushModel) applyArrivals() {
	for m.arrived < len(m.changeTimes) && (m.arrived < m.plan.missed || m.changeTimes[m.arrived]+controlDelay <= m.now) {
		m.arrived++
	}
	for m.started < len(m.startTimes) && m.startTimes[m.started] <= m.now {
		b := &m.balancers[m.random.IntN(len(m.balancers))]
		if !b.needsFullList {
			b.needsFullList = true
			b.awaitsListSince = m.startTimes[m.started]
		}
		m.started++
	}
}

// advanceToNext advances the time to the next arrival; it reports false if there is none.
func (m *pushModel) advanceToNext() bool {
	next := time.Duration(-1)
	consider := func(at time.Duration) {
		if at > m.now && (next < 0 || at < next) {
			next = at
		}
	}
	if m.arrived < len(m.changeTimes) {
		consider(m.changeTimes[m.arrived] + controlDelay)
	}
	if m.started < len(m.startTimes) {
		consider(m.startTimes[m.started])
	}
	for _, b := range m.balancers {
		consider(b.connectsAt)
	}
	m.now = max(m.now, next)
	return next >= 0
}

// serve sends a balancer what it lacks and returns how long the machine was busy; 0 if there was nothing to send.
func (m *pushModel) serve(b *pushBalancer) time.Duration {
	if b.connectsAt > m.now || !b.needsFullList && !b.recovering && b.received >= m.arrived {
		return 0
	}
	bytes, applyTime := m.nextMessage(b)
	took := time.Duration(float64(bytes) / controlBandwidth * float64(time.Second))
	m.result.bytes += float64(bytes)
	delay := nearBalancerDelay
	if b.far {
		delay = farBalancerDelay
	}
	inForce := m.now + took + delay + applyTime
	m.recordDelivery(b, inForce)
	return max(took, 1)
}

// nextMessage returns the size in bytes of what a balancer is sent next, and the processor time of applying it.
func (m *pushModel) nextMessage(b *pushBalancer) (bytes int, applyTime time.Duration) {
	missing := m.arrived - b.received
	servers := time.Duration(m.plan.servers)
	catchingUp := b.received < m.plan.missed
	switch {
	case b.needsFullList || m.plan.fullLists || catchingUp && m.plan.missedMode == catchUpFullList:
		return m.sizes.full, servers * fullListTimePerServer
	case catchingUp && m.plan.missedMode == catchUpOneByOne:
		return missing * m.sizes.changes(1), time.Duration(missing) * servers * changeTimePerServer
	}
	return m.sizes.changes(missing), servers*changeTimePerServer + time.Duration(missing)*fullListTimePerServer
}

// recordDelivery records the latencies of a message with which a balancer is up to date from inForce on.
func (m *pushModel) recordDelivery(b *pushBalancer, inForce time.Duration) {
	if b.received < m.plan.missed || b.recovering {
		m.result.recovery = max(m.result.recovery, inForce)
	}
	if b.needsFullList {
		m.result.fullListLatencies = append(m.result.fullListLatencies, inForce-b.awaitsListSince)
	}
	for ; b.received < m.arrived; b.received++ {
		m.result.changeLatencies = append(m.result.changeLatencies, inForce-m.changeTimes[b.received])
	}
	b.needsFullList = false
	b.recovering = false
}
