package scale

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"time"

	"yardwinch/fleet/signals"
	"yardwinch/internal/simulation"
)

const (
	gossipStep        = 10 * time.Millisecond
	gossipDelay       = 1 // steps for which a packet is in flight
	gossipWarmup      = 10 * time.Second
	gossipMeasure     = 15 * time.Second
	signalLifetime    = 5 * time.Second // after which a reported fault no longer counts; fleet/signals faultValidity
	recordInterval    = 2 * time.Second // between a member's records in a small fleet; fleet/signals steadyInterval
	smallFleetMembers = 40              // above which the interval grows in proportion to the members; fleet/signals smallFleet
)

// gossipRun are the parameters of one simulation.
type gossipRun struct {
	members          int
	recordBytes      int
	replaced         float64 // members per second in the fleet; each replacement is published as a departure and an arrival
	firstJustJoined  bool    // the first member has just joined and passes on an alive message for every member
	intervalMultiple float64 // factor of recordInterval; 0 means 1
	fanout           int     // members to which gossip is sent at a time; 0 means gossipFanout
	seed             uint64
}

// gossipResult is what a member sends and receives. Unless stated otherwise, values are means over the members, and counts
// and bytes are per second.
type gossipResult struct {
	gossipDatagrams, probeDatagrams float64
	gossipBytes                     float64 // of gossip packets, with headers; they carry records and state messages
	probeBytes                      float64 // of pings and acks, with headers and piggybacked messages
	records                         float64 // received
	newRecords                      float64 // received and not known before
	states                          float64 // received messages about a member's state
	reachedShare                    float64 // share of the other members that receive a record within signalLifetime
	queued                          float64 // records in a member's queue at the end
	joinerBytes                     float64 // sent by the first member, per second
}

// totalBytes returns the bytes that a member sends in datagrams per second.
func (r gossipResult) totalBytes() float64 { return r.gossipBytes + r.probeBytes }

// gossipMessage is a member's record, or the engine's message about a member's state.
type gossipMessage struct {
	origin      int32 // negative: a state message of the engine
	size        int32
	publishedAt time.Duration
	reached     int // number of members that received it within signalLifetime
}

type gossipMember struct {
	records, states broadcastQueue
	latestRecords   []broadcastID // by origin; 0 where none is known
	origins         int           // number of origins with a known record
	seenStates      map[broadcastID]bool
	gossipPhase     time.Duration // offset within the interval
	probePhase      time.Duration
	publishPhase    time.Duration
}

type gossipPacket struct {
	from, to int32
	ping     bool
	messages []broadcastID
}

// Messages published before the simulation starts: oldRecord stands for a record of any origin, oldState for a state
// message that all members know.
const (
	oldRecord broadcastID = 1
	oldState  broadcastID = 2
)

type gossipModel struct {
	run            gossipRun
	sizes          messageSizes
	random         *rand.Rand
	now            time.Duration
	members        []gossipMember
	messages       []gossipMessage  // by broadcastID: an unused entry, oldRecord, oldState, then the others
	inTransit      [][]gossipPacket // by step of arrival, as a ring buffer
	step           int
	recordInterval time.Duration
	fanout         int
	measuring      bool
	result         gossipResult
}

func newGossipModel(run gossipRun) *gossipModel {
	model := &gossipModel{
		run:       run,
		sizes:     measureMessageSizes(),
		random:    simulation.RandomSource(run.seed, "scale members", run.members),
		inTransit: make([][]gossipPacket, gossipDelay+1),
	}
	model.messages = []gossipMessage{{}, oldRecord: {size: int32(run.recordBytes)}, oldState: {origin: -1, size: int32(model.sizes.alive)}}
	model.recordInterval = recordIntervalOf(run.members)
	if run.intervalMultiple > 0 {
		model.recordInterval = time.Duration(run.intervalMultiple * float64(model.recordInterval)).Truncate(gossipStep)
	}
	model.fanout = cmp.Or(run.fanout, gossipFanout)
	model.members = make([]gossipMember, run.members)
	for i := range model.members {
		model.members[i] = gossipMember{
			records:       newBroadcastQueue(retransmits(recordRetransmits, run.members)),
			states:        newBroadcastQueue(retransmits(stateRetransmits, run.members)),
			latestRecords: make([]broadcastID, run.members),
			seenStates:    map[broadcastID]bool{},
			gossipPhase:   model.phase(gossipInterval),
			probePhase:    model.phase(probeInterval),
			publishPhase:  model.phase(model.recordInterval),
		}
		model.addKnownRecords(i)
	}
	if run.firstJustJoined {
		for range run.members {
			model.members[0].states.add(oldState)
		}
	}
	return model
}

// addKnownRecords gives a member one record of each other member, starting with a random one, up to signals.MaxOrigins
// records.
func (m *gossipModel) addKnownRecords(i int) {
	member := &m.members[i]
	capacity := min(m.run.members-1, signals.MaxOrigins)
	from := m.random.IntN(m.run.members)
	for k := 0; member.origins < capacity; k++ {
		if origin := (from + k) % m.run.members; origin != i {
			member.latestRecords[origin] = oldRecord
			member.origins++
		}
	}
}

// recordIntervalOf returns the time between two records of a healthy member in a fleet of this size.
func recordIntervalOf(members int) time.Duration {
	return time.Duration(float64(recordInterval) * math.Max(1, float64(members)/smallFleetMembers))
}

func (m *gossipModel) phase(of time.Duration) time.Duration {
	return time.Duration(m.random.IntN(int(of/gossipStep))) * gossipStep
}

// simulateGossip runs the model in virtual time, for gossipWarmup and then for gossipMeasure.
func simulateGossip(ctx context.Context, run gossipRun) (gossipResult, error) {
	m := newGossipModel(run)
	replacements := 0.0
	for m.now = 0; m.now < gossipWarmup+gossipMeasure; m.now += gossipStep {
		if err := ctx.Err(); err != nil {
			return gossipResult{}, err
		}
		m.measuring = m.now >= gossipWarmup
		m.deliver()
		for replacements += run.replaced * gossipStep.Seconds(); replacements >= 1; replacements-- {
			m.replace()
		}
		for i := range m.members {
			m.advanceMember(i)
		}
		m.step++
	}
	return m.summary(), nil
}

// advanceMember makes a member publish, gossip and probe, each if it is due now.
func (m *gossipModel) advanceMember(i int) {
	member := &m.members[i]
	if m.now%m.recordInterval == member.publishPhase {
		m.publish(i)
	}
	if len(m.members) < 2 {
		return
	}
	if m.now%gossipInterval == member.gossipPhase {
		m.gossip(i)
	}
	if m.now%probeInterval == member.probePhase {
		m.sendProbe(int32(i), m.randomPeer(i), true)
	}
}

func (m *gossipModel) publish(i int) {
	id := broadcastID(len(m.messages))
	m.messages = append(m.messages, gossipMessage{origin: int32(i), size: int32(m.run.recordBytes), publishedAt: m.now})
	m.members[i].latestRecords[i] = id
	m.members[i].records.add(id)
}

// replace simulates the replacement of a member: the engine's messages that one member left and another joined start at a
// random member each.
func (m *gossipModel) replace() {
	for _, size := range []int{m.sizes.dead, m.sizes.alive} {
		id := broadcastID(len(m.messages))
		m.messages = append(m.messages, gossipMessage{origin: -1, size: int32(size), publishedAt: m.now})
		first := &m.members[m.random.IntN(len(m.members))]
		first.seenStates[id] = true
		first.states.add(id)
	}
}

// randomPeer draws a member other than i.
func (m *gossipModel) randomPeer(i int) int32 {
	to := m.random.IntN(len(m.members) - 1)
	if to >= i {
		to++
	}
	return int32(to)
}

// gossip sends up to fanout packets of queued messages.
func (m *gossipModel) gossip(i int) {
	for range min(m.fanout, len(m.members)-1) {
		messages, bytes := m.pack(i, maxPacketBytes-compoundHeader-labelHeader-len(fleetLabel))
		if len(messages) == 0 {
			return
		}
		bytes += datagramHeaders + labelHeader + len(fleetLabel) + checksumBytes
		if len(messages) > 1 {
			bytes += compoundHeader
		}
		if m.measuring {
			m.result.gossipDatagrams++
			m.result.gossipBytes += float64(bytes)
			m.countJoinerBytes(i, bytes)
		}
		m.send(gossipPacket{from: int32(i), to: m.randomPeer(i), messages: messages})
	}
}

// sendProbe sends a ping or its ack, with as many queued messages as fit.
func (m *gossipModel) sendProbe(from, to int32, ping bool) {
	size := m.sizes.ack
	if ping {
		size = m.sizes.ping
	}
	messages, bytes := m.pack(int(from), maxPacketBytes-size-compoundHeader-labelHeader-len(fleetLabel))
	bytes += size + datagramHeaders + labelHeader + len(fleetLabel)
	if len(messages) > 0 {
		bytes += compoundHeader + compoundPerEntry
	}
	if m.measuring {
		m.result.probeDatagrams++
		m.result.probeBytes += float64(bytes)
		m.countJoinerBytes(int(from), bytes)
	}
	m.send(gossipPacket{from: from, to: to, ping: ping, messages: messages})
}

func (m *gossipModel) countJoinerBytes(i, bytes int) {
	if i == 0 {
		m.result.joinerBytes += float64(bytes) / gossipMeasure.Seconds()
	}
}

// pack takes the queued messages that fit into a packet, state messages first, and returns them and their size in bytes.
func (m *gossipModel) pack(i, capacity int) ([]broadcastID, int) {
	member := &m.members[i]
	size := func(id broadcastID) int { return int(m.messages[id].size) }
	always := func(broadcastID) bool { return true }
	isLatest := func(id broadcastID) bool { return member.latestRecords[m.messages[id].origin] == id }
	messages, free := member.states.take(nil, capacity, compoundPerEntry, size, always)
	messages, free = member.records.take(messages, free, compoundPerEntry+userMessageHeader, size, isLatest)
	bytes := capacity - free
	if len(messages) == 1 {
		bytes -= compoundPerEntry
	}
	return messages, bytes
}

func (m *gossipModel) send(p gossipPacket) {
	at := (m.step + gossipDelay) % len(m.inTransit)
	m.inTransit[at] = append(m.inTransit[at], p)
}

// deliver delivers the packets sent gossipDelay steps ago.
func (m *gossipModel) deliver() {
	at := m.step % len(m.inTransit)
	arrived := m.inTransit[at]
	m.inTransit[at] = nil
	for _, p := range arrived {
		for _, id := range p.messages {
			m.receive(&m.members[p.to], id)
		}
		if p.ping {
			m.sendProbe(p.to, p.from, false)
		}
	}
}

func (m *gossipModel) receive(member *gossipMember, id broadcastID) {
	message := &m.messages[id]
	if message.origin < 0 {
		if m.measuring {
			m.result.states++
		}
		if id != oldState && !member.seenStates[id] {
			member.seenStates[id] = true
			member.states.add(id)
		}
		return
	}
	if m.measuring {
		m.result.records++
	}
	if member.merge(message.origin, id) {
		member.records.add(id)
		if m.measuring {
			m.result.newRecords++
		}
		if m.now-message.publishedAt <= signalLifetime {
			message.reached++
		}
	}
}

// merge applies a record as signals.Store does: a later record replaces an earlier one of the same origin, and records
// of further origins are dropped once signals.MaxOrigins are known. It reports whether the record was new.
func (member *gossipMember) merge(origin int32, id broadcastID) bool {
	known := member.latestRecords[origin]
	if id <= known || known == 0 && member.origins >= signals.MaxOrigins {
		return false
	}
	if known == 0 {
		member.origins++
	}
	member.latestRecords[origin] = id
	return true
}

// summary averages the counts over members and seconds.
func (m *gossipModel) summary() gossipResult {
	r := m.result
	memberSeconds := float64(len(m.members)) * gossipMeasure.Seconds()
	counts := []*float64{&r.gossipDatagrams, &r.probeDatagrams, &r.gossipBytes, &r.probeBytes, &r.records, &r.newRecords, &r.states}
	for _, count := range counts {
		*count /= memberSeconds
	}
	for i := range m.members {
		r.queued += float64(m.queuedRecords(i)) / float64(len(m.members))
	}
	r.reachedShare = m.reachedShare()
	return r
}

// queuedRecords counts the records in a member's queue that are not superseded by a later one.
func (m *gossipModel) queuedRecords(i int) (count int) {
	member := &m.members[i]
	for _, tier := range member.records.tiers {
		for _, queued := range tier {
			if member.latestRecords[m.messages[queued.id].origin] == queued.id {
				count++
			}
		}
	}
	return count
}

// reachedShare returns the mean share of the other members that received a record within signalLifetime. It covers the
// records whose lifetime ends between the warm-up and the end of the simulation.
func (m *gossipModel) reachedShare() float64 {
	reached, published := 0, 0
	for _, message := range m.messages[oldState+1:] {
		if message.origin >= 0 && message.publishedAt >= gossipWarmup-signalLifetime && message.publishedAt+signalLifetime < m.now {
			reached += message.reached
			published++
		}
	}
	if published == 0 || len(m.members) < 2 {
		return 0
	}
	return float64(reached) / float64(published) / float64(len(m.members)-1)
}
