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
	messageHeaderBytes   = 6                       // what the engine puts round a message
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
	minDirect         = 2                  // members that observe the fault at first hand
	connectedShare    = 0.5                // the chance that a member holds a connection to a healthy server
	buildDigest       = "0123456789ab"     // of the length of a real one
	settingsDigest    = "0123456789abcdef" // of the length of a real one
	flowOfFault       = decide.FlowID("f") // the connection to the faulty server
	flowOfOthers      = decide.FlowID("x") // those to the healthy ones
	flowOfQuestion    = decide.FlowID("q") // one that asks whether the faulty server is penalised
	randomStream      = "spread"           // names the stream of chance; another name draws other runs
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

// Result is what a run measured. Figures are a member's and a second's, on average, and the greatest of any member.
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

// Simulate plays one run. The same configuration gives the same result.
func Simulate(config Config) (*Result, error) {
	s := newSimulation(config)
	for ; s.now < config.Duration; s.now += timeStep {
		if err := s.deliver(); err != nil {
			return nil, err
		}
		for i := range s.members {
			if err := s.step(i); err != nil {
				return nil, err
			}
		}
		if s.now%sampleInterval == 0 {
			s.sampleKnowledge()
		}
	}
	s.sumTraffic()
	return s.result, nil
}

func newSimulation(config Config) *clusterRun {
	s := &clusterRun{
		config:          config,
		random:          simulation.RandomSource(config.Seed, randomStream, config.Members),
		retransmitLimit: retransmitMultiplier * int(math.Ceil(math.Log10(float64(config.Members+1)))),
		deliveries:      map[time.Duration][]delivery{},
		result:          &Result{Members: config.Members, Seed: config.Seed, Most: noDeadline, Half: noDeadline},
	}
	direct := math.Max(minDirect, config.DirectShare*float64(config.Members))
	for i := range config.Members {
		s.members = append(s.members, newMember(s.random, i, float64(i) < direct))
	}
	return s
}

// deliver hands over the packets that arrive now; a record that is news is passed on.
func (s *clusterRun) deliver() error {
	for _, d := range s.deliveries[s.now] {
		m := s.members[d.to]
		m.signals.SetTime(s.now)
		for _, message := range d.messages {
			if s.now < s.config.FaultAt {
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
	delete(s.deliveries, s.now)
	return nil
}

// step has one member observe, publish and gossip what is due.
func (s *clusterRun) step(i int) error {
	m := s.members[i]
	m.signals.SetTime(s.now)
	if m.direct && s.now >= s.config.FaultAt && s.now%time.Second == observationPhase(i) {
		m.signals.OnLatencySample(faultyServer, observedDelay)
	}
	if s.now%publishInterval == m.publishPhase {
		if err := m.publish(s.config.Members); err != nil {
			return err
		}
	}
	if s.now%gossipInterval == m.gossipPhase && s.config.Members > 1 {
		s.gossip(i)
	}
	return nil
}

// gossip sends what a member has queued to a few members drawn at random.
func (s *clusterRun) gossip(from int) {
	m := s.members[from]
	for range min(gossipFanout, s.config.Members-1) {
		if len(m.queue) == 0 {
			return
		}
		messages, size := m.pack(s.retransmitLimit)
		if len(messages) == 0 {
			return
		}
		s.countSent(m, size)
		to := s.random.IntN(s.config.Members - 1)
		if to >= from {
			to++
		}
		s.send(from, to, messages)
	}
}

// send puts a packet on its way, unless it is lost.
func (s *clusterRun) send(from, to int, messages [][]byte) {
	lost := s.random.Float64() < s.config.Network.Loss || s.partitioned(from, to)
	jitter := time.Duration(s.random.Float64() * float64(s.config.Network.Jitter))
	if lost {
		return
	}
	latency := max(s.config.Network.Delay+jitter, timeStep)
	at := (s.now + latency + timeStep - 1) / timeStep * timeStep
	s.deliveries[at] = append(s.deliveries[at], delivery{to, messages})
}

func (s *clusterRun) partitioned(a, b int) bool {
	return s.config.Partition && s.members[a].half != s.members[b].half && s.now < s.config.FaultAt+partitionPeriod
}

func (s *clusterRun) countSent(m *member, size int) {
	switch {
	case s.now < s.config.FaultAt:
		m.quietBytes += size
		m.quietPackets++
	case s.now < s.config.FaultAt+busyPeriod:
		m.busyBytes += size
	}
}

// sampleKnowledge counts the members that know of the fault.
func (s *clusterRun) sampleKnowledge() {
	knowing := 0
	for _, m := range s.members {
		penalty, _ := m.signals.ServerCost(flowOfQuestion, faultyServer)
		// One that observes it needs nobody's report.
		knows := penalty > 0 || m.direct && s.now >= s.config.FaultAt+time.Second
		if !knows {
			continue
		}
		knowing++
		if s.now < s.config.FaultAt {
			s.result.FalsePenalties++
		}
	}
	if s.now < s.config.FaultAt {
		return
	}
	s.result.Knowing = append(s.result.Knowing, knowing)
	if s.result.Half < 0 && 2*knowing >= len(s.members) {
		s.result.Half = s.now - s.config.FaultAt
	}
	if s.result.Most < 0 && float64(knowing) >= knownToMost*float64(len(s.members)) {
		s.result.Most = s.now - s.config.FaultAt
	}
}

// sumTraffic brings the members' traffic down to a member and a second.
func (s *clusterRun) sumTraffic() {
	quietSeconds := s.config.FaultAt.Seconds()
	members := float64(s.config.Members)
	quietBytes := 0
	for _, m := range s.members {
		quietBytes += m.quietBytes
		busyRate := float64(m.busyBytes) / busyPeriod.Seconds()
		s.result.BusyBytes += busyRate / members
		s.result.MaxBusyBytes = max(s.result.MaxBusyBytes, busyRate)
		s.result.QuietPackets += float64(m.quietPackets) / quietSeconds / members
		s.result.QuietMessages += float64(m.quietMessages) / quietSeconds / members
	}
	s.result.QuietBytes = float64(quietBytes) / quietSeconds / members
}
