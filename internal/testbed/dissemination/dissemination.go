// Package dissemination simulates in virtual time how the report of a failing server spreads to all members of a fleet by gossip. The
// code that decides what is published and which servers are penalised (fleet/signals), the encoding and the gossip engine's
// retransmission rules are those of production; the engine itself is modelled, so all figures are simulated.
package dissemination

import (
	"math"
	"math/rand/v2"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
	"yardwinch/internal/simulation"
)

// Settings and packet overhead of the gossip engine. The settings are as in internal/membership/engine, if not said otherwise.
const (
	gossipInterval       = 200 * time.Millisecond
	gossipFanout         = 3
	maxPacketBytes       = 1400
	messageHeaderBytes   = 6                       // added by the engine to each message
	packetHeaderBytes    = 28 + messageHeaderBytes // IP and UDP headers, and the engine's own
	retransmitMultiplier = 3
	publishCheckInterval = 250 * time.Millisecond // as in internal/daemon
)

const (
	timeStep        = 10 * time.Millisecond
	sampleInterval  = 100 * time.Millisecond
	busyPeriod      = 5 * time.Second  // time after the fault over which the busy traffic is measured
	partitionPeriod = 10 * time.Second // time after the fault at which a partition ends
	faultyServer    = decide.ServerID(1)
	healthyServers  = 8 // number of servers besides the faulty one

	messageDelayLimit     = 80 * time.Millisecond
	setupTarget           = 300 * time.Millisecond
	observedDelay         = time.Second        // message delay of the faulty server
	fastSetup             = time.Millisecond   // setup time of each connection
	minObservers          = 2                  // minimum number of members that observe the fault themselves
	connectionProbability = 0.5                // probability that a member has a connection to a given healthy server
	buildDigest           = "0123456789ab"     // as long as a real one
	settingsDigest        = "0123456789abcdef" // as long as a real one
	faultyServerFlow      = decide.FlowID("f") // connections to the faulty server
	healthyServerFlow     = decide.FlowID("x") // connections to the healthy servers
	queryFlow             = decide.FlowID("q") // flow for which the penalty of the faulty server is queried
	randomStream          = "spread"           // name of the random source; another name gives other draws
	neverReached          = time.Duration(-1)  // a duration to an event that did not occur
	mostMembersShare      = 0.99               // share of informed members at which Result.TimeToMost is reached
)

// Network is the model of the network between any two members.
type Network struct {
	Delay  time.Duration
	Jitter time.Duration // maximum of a uniformly distributed addition to the delay
	Loss   float64       // probability that a packet is lost
}

// Config describes a run: a fleet in which some members have a connection to a server that becomes slow.
type Config struct {
	Members       int
	Seed          uint64
	ObserverShare float64 // share of members that observe the fault themselves
	Network       Network
	FaultAt       time.Duration // when the server becomes slow
	Duration      time.Duration
	Partition     bool // whether the fleet is split into two halves that can't reach each other, until 10 s after the fault
}

// Result is the outcome of a run. Traffic figures are per member and second: the average of all members, or the maximum.
type Result struct {
	Members         int           `json:"members"`
	Seed            uint64        `json:"seed"`
	TimeToHalf      time.Duration `json:"half_ns"`     // from the fault until half of all members are informed of it; below 0: never
	TimeToMost      time.Duration `json:"most_ns"`     // from the fault until 99 in 100 members are informed of it; below 0: never
	QuietBytes      float64       `json:"quiet_bytes"` // sent before the fault
	BusyBytes       float64       `json:"busy_bytes"`  // sent in the 5 s after the fault
	MaxBusyBytes    float64       `json:"busiest_bytes"`
	QuietPackets    float64       `json:"quiet_packets"`
	QuietMessages   float64       `json:"messages_heard"` // received before the fault
	InformedMembers []int         `json:"knowing"`        // number of informed members for each tenth of a second from the fault on
	FalsePenalties  int           `json:"dear_before"`    // number of members that penalised the server before the fault, summed over the samples
}

// delivery is a packet in transit.
type delivery struct {
	to       int
	messages [][]byte
}

// clusterRun is the state of a run.
type clusterRun struct {
	config          Config
	random          *rand.Rand
	members         []*member
	retransmitLimit int
	deliveries      map[time.Duration][]delivery // by arrival time
	now             time.Duration
	result          *Result
}

// Simulate performs one run. The same configuration always gives the same result.
func Simulate(config Config) (*Result, error) {
	r := newClusterRun(config)
	for ; r.now < config.Duration; r.now += timeStep {
		if err := r.deliver(); err != nil {
			return nil, err
		}
		for i := range r.members {
			if err := r.step(i); err != nil {
				return nil, err
			}
		}
		if r.now%sampleInterval == 0 {
			r.sampleKnowledge()
		}
	}
	r.sumTraffic()
	return r.result, nil
}

func newClusterRun(config Config) *clusterRun {
	r := &clusterRun{
		config:          config,
		random:          simulation.RandomSource(config.Seed, randomStream, config.Members),
		retransmitLimit: retransmitMultiplier * int(math.Ceil(math.Log10(float64(config.Members+1)))),
		deliveries:      map[time.Duration][]delivery{},
		result:          &Result{Members: config.Members, Seed: config.Seed, TimeToMost: neverReached, TimeToHalf: neverReached},
	}
	observing := math.Max(minObservers, config.ObserverShare*float64(config.Members))
	for i := range config.Members {
		r.members = append(r.members, newMember(r.random, i, float64(i) < observing))
	}
	return r
}

// deliver delivers the packets that arrive now. A member queues each record that is new to it for gossip.
func (r *clusterRun) deliver() error {
	for _, d := range r.deliveries[r.now] {
		m := r.members[d.to]
		m.signals.SetTime(r.now)
		for _, message := range d.messages {
			if r.now < r.config.FaultAt {
				m.quietMessages++
			}
			record, err := signals.Decode(message)
			if err != nil {
				return err
			}
			if m.signals.Merge(record) {
				m.enqueue(record.Origin, message)
			}
		}
	}
	delete(r.deliveries, r.now)
	return nil
}

// step runs the actions of one member that are due: observing the fault, publishing and gossip.
func (r *clusterRun) step(i int) error {
	m := r.members[i]
	m.signals.SetTime(r.now)
	if m.observesFault && r.now >= r.config.FaultAt && r.now%time.Second == observationPhase(i) {
		m.signals.OnLatencySample(faultyServer, observedDelay)
	}
	if r.now%publishCheckInterval == m.publishPhase {
		if err := m.publish(r.config.Members); err != nil {
			return err
		}
	}
	if r.now%gossipInterval == m.gossipPhase && r.config.Members > 1 {
		r.gossip(i)
	}
	return nil
}

// gossip sends a member's queued messages to a few random members.
func (r *clusterRun) gossip(from int) {
	m := r.members[from]
	for range min(gossipFanout, r.config.Members-1) {
		if len(m.queue) == 0 {
			return
		}
		messages, size := m.pack(r.retransmitLimit)
		if len(messages) == 0 {
			return
		}
		r.countSent(m, size)
		to := r.random.IntN(r.config.Members - 1)
		if to >= from {
			to++
		}
		r.send(from, to, messages)
	}
}

// send schedules the delivery of a packet, unless the packet is lost.
func (r *clusterRun) send(from, to int, messages [][]byte) {
	lost := r.random.Float64() < r.config.Network.Loss || r.partitioned(from, to)
	jitter := time.Duration(r.random.Float64() * float64(r.config.Network.Jitter))
	if lost {
		return
	}
	latency := max(r.config.Network.Delay+jitter, timeStep)
	at := (r.now + latency + timeStep - 1) / timeStep * timeStep
	r.deliveries[at] = append(r.deliveries[at], delivery{to, messages})
}

func (r *clusterRun) partitioned(a, b int) bool {
	return r.config.Partition && r.members[a].partitionSide != r.members[b].partitionSide && r.now < r.config.FaultAt+partitionPeriod
}

func (r *clusterRun) countSent(m *member, size int) {
	switch {
	case r.now < r.config.FaultAt:
		m.quietBytes += size
		m.quietPackets++
	case r.now < r.config.FaultAt+busyPeriod:
		m.busyBytes += size
	}
}

// sampleKnowledge counts the members that are informed of the fault.
func (r *clusterRun) sampleKnowledge() {
	informed := 0
	for _, m := range r.members {
		penalty, _ := m.signals.ServerCost(queryFlow, faultyServer)
		// A member that observes the fault itself needs no report.
		knows := penalty > 0 || m.observesFault && r.now >= r.config.FaultAt+time.Second
		if !knows {
			continue
		}
		informed++
		if r.now < r.config.FaultAt {
			r.result.FalsePenalties++
		}
	}
	if r.now < r.config.FaultAt {
		return
	}
	r.result.InformedMembers = append(r.result.InformedMembers, informed)
	if r.result.TimeToHalf < 0 && 2*informed >= len(r.members) {
		r.result.TimeToHalf = r.now - r.config.FaultAt
	}
	if r.result.TimeToMost < 0 && float64(informed) >= mostMembersShare*float64(len(r.members)) {
		r.result.TimeToMost = r.now - r.config.FaultAt
	}
}

// sumTraffic converts the members' traffic to figures per member and second.
func (r *clusterRun) sumTraffic() {
	quietSeconds := r.config.FaultAt.Seconds()
	members := float64(r.config.Members)
	quietBytes := 0
	for _, m := range r.members {
		quietBytes += m.quietBytes
		busyRate := float64(m.busyBytes) / busyPeriod.Seconds()
		r.result.BusyBytes += busyRate / members
		r.result.MaxBusyBytes = max(r.result.MaxBusyBytes, busyRate)
		r.result.QuietPackets += float64(m.quietPackets) / quietSeconds / members
		r.result.QuietMessages += float64(m.quietMessages) / quietSeconds / members
	}
	r.result.QuietBytes = float64(quietBytes) / quietSeconds / members
}
