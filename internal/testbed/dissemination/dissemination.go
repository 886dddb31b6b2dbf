// Package dissemination simulates, in virtual time, how a report of a failing server reaches all members of a fleet by gossip. The
// deciders, the encoding and the gossip engine's rules of retransmission are those that ship; the engine itself is a model of them, so
// all figures are simulated.
package dissemination

import (
	"math"
	"math/rand/v2"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
	"yardwinch/internal/simulation"
)

// The gossip engine's rules, as internal/membership/engine sets them.
const (
	gossipInterval       = 200 * time.Millisecond
	gossipFanout         = 3
	maxPacketBytes       = 1400
	messageHeaderBytes   = 6                       // what the engine adds to a message
	packetHeaderBytes    = 28 + messageHeaderBytes // of a datagram, and of the engine's own
	retransmitMultiplier = 3
	publishInterval      = 250 * time.Millisecond
)

const (
	timeStep        = 10 * time.Millisecond
	sampleInterval  = 100 * time.Millisecond
	busyPeriod      = 5 * time.Second  // after the fault began
	partitionPeriod = 10 * time.Second // after the fault began
	faultyServer    = decide.ServerID(1)
	healthyServers  = 8 // further servers on which all is well

	messageDelayLimit = 80 * time.Millisecond
	setupTarget       = 300 * time.Millisecond
	observedDelay     = time.Second        // of each message from the faulty server
	fastSetup         = time.Millisecond   // of each connection
	minObserving      = 2                  // members that observe the fault at first hand
	connectedShare    = 0.5                // the chance that a member holds a connection to a healthy server
	buildDigest       = "0123456789ab"     // of the length of a real one
	settingsDigest    = "0123456789abcdef" // of the length of a real one
	flowOfFault       = decide.FlowID("f") // the connection to the faulty server
	flowOfOthers      = decide.FlowID("x") // those to the healthy ones
	queryFlow         = decide.FlowID("q") // for which it is queried whether the faulty server is penalised
	randomStream      = "spread"           // name of the random source; another name draws other runs
	noDeadline        = time.Duration(-1)  // a time that never came
	knownToMost       = 0.99               // the share of members that counts as all
)

// Network is the network model: what happens to a packet on its way between two members.
type Network struct {
	Delay  time.Duration
	Jitter time.Duration // at most, on top of the delay
	Loss   float64       // the chance that a packet is lost
}

// Config describes one run: a fleet in which some members hold a connection to a server that becomes slow.
type Config struct {
	Members     int
	Seed        uint64
	DirectShare float64 // of members that observe the fault at first hand
	Network     Network
	FaultAt     time.Duration // when the server becomes slow
	Duration    time.Duration
	Partition   bool // two halves that can't reach each other, until 10 s after the fault
}

// Result is the outcome of a run. Figures are those of one member in one second, averaged over all or the greatest of any.
type Result struct {
	Members        int           `json:"members"`
	Seed           uint64        `json:"seed"`
	Half           time.Duration `json:"half_ns"`     // from the fault until half of all members know; below 0: never
	Most           time.Duration `json:"most_ns"`     // until 99 in 100 do; below 0: never
	QuietBytes     float64       `json:"quiet_bytes"` // sent before the fault
	BusyBytes      float64       `json:"busy_bytes"`  // sent in the 5 s after it began
	MaxBusyBytes   float64       `json:"busiest_bytes"`
	QuietPackets   float64       `json:"quiet_packets"`
	QuietMessages  float64       `json:"messages_heard"` // received before the fault
	Knowing        []int         `json:"knowing"`        // members that know, by tenth of a second from the fault on
	FalsePenalties int           `json:"dear_before"`    // members that penalised the server before the fault
}

// delivery is a packet that arrives.
type delivery struct {
	to       int
	messages [][]byte
}

// clusterRun is a run under way.
type clusterRun struct {
	config          Config
	random          *rand.Rand
	members         []*member
	retransmitLimit int
	deliveries      map[time.Duration][]delivery // by the time at which they arrive
	now             time.Duration
	result          *Result
}

// Simulate makes one run. The same configuration gives the same result.
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
		result:          &Result{Members: config.Members, Seed: config.Seed, Most: noDeadline, Half: noDeadline},
	}
	observing := math.Max(minObserving, config.DirectShare*float64(config.Members))
	for i := range config.Members {
		r.members = append(r.members, newMember(r.random, i, float64(i) < observing))
	}
	return r
}

// deliver hands over the packets that arrive now; a record that is news is passed on.
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

// step has one member observe, publish and gossip what is due.
func (r *clusterRun) step(i int) error {
	m := r.members[i]
	m.signals.SetTime(r.now)
	if m.observesFault && r.now >= r.config.FaultAt && r.now%time.Second == observationPhase(i) {
		m.signals.OnLatencySample(faultyServer, observedDelay)
	}
	if r.now%publishInterval == m.publishPhase {
		if err := m.publish(r.config.Members); err != nil {
			return err
		}
	}
	if r.now%gossipInterval == m.gossipPhase && r.config.Members > 1 {
		r.gossip(i)
	}
	return nil
}

// gossip sends what a member has queued to a few members drawn at random.
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

// send puts a packet on its way, unless it is lost.
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
	return r.config.Partition && r.members[a].half != r.members[b].half && r.now < r.config.FaultAt+partitionPeriod
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

// sampleKnowledge counts the members that know of the fault.
func (r *clusterRun) sampleKnowledge() {
	knowing := 0
	for _, m := range r.members {
		penalty, _ := m.signals.ServerCost(queryFlow, faultyServer)
		// One that observes it needs nobody's report.
		knows := penalty > 0 || m.observesFault && r.now >= r.config.FaultAt+time.Second
		if !knows {
			continue
		}
		knowing++
		if r.now < r.config.FaultAt {
			r.result.FalsePenalties++
		}
	}
	if r.now < r.config.FaultAt {
		return
	}
	r.result.Knowing = append(r.result.Knowing, knowing)
	if r.result.Half < 0 && 2*knowing >= len(r.members) {
		r.result.Half = r.now - r.config.FaultAt
	}
	if r.result.Most < 0 && float64(knowing) >= knownToMost*float64(len(r.members)) {
		r.result.Most = r.now - r.config.FaultAt
	}
}

// sumTraffic brings the members' traffic down to a member and a second.
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
