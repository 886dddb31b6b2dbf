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
	gossipStep    = 10 * time.Millisecond
	gossipDelay   = 1 // steps that a packet is under way
	gossipWarmup  = 10 * time.Second
	gossipMeasure = 15 * time.Second
	freshWithin   = 5 * time.Second // trouble told by others counts so long; see fleet/signals
	recordRest    = 2 * time.Second // between two records of a member in a small fleet
	restFleet     = 40              // in a larger one it grows with the fleet
)

// gossipRun is one play of the model: so many members that tell records of a size, and of which some are replaced.
type gossipRun struct {
	members     int
	recordBytes int
	replaced    float64 // members a second over the fleet, each told as gone and, under a new name, as alive
	joined      bool    // the first member has just joined, and so tells of all others as alive
	restTimes   float64 // how much longer than now a member rests between two records; 0: as now
	fanout      int     // packets of gossip each time; 0: as now
	seed        uint64
}

// gossipResult is what a member sends and hears on average, a second.
type gossipResult struct {
	recordDatagrams, probeDatagrams float64
	recordBytes                     float64 // of packets of gossip, with their headers
	probeBytes                      float64 // of probes and answers, with what travels on them
	records                         float64 // heard
	news                            float64 // of those
	states                          float64 // members told as gone or alive, heard
	reach                           float64 // part of the others that took a record within freshWithin
	waiting                         float64 // messages in a member's queue at the end
	joinerBytes                     float64 // sent by the first member
}

// bytes are all that a member sends in datagrams.
func (r gossipResult) bytes() float64 { return r.recordBytes + r.probeBytes }

// gossipMessage is a record or what the engine tells of a member.
type gossipMessage struct {
	origin int32 // below 0: of the engine
	size   int32
	told   time.Duration
	taken  int // by others, within freshWithin
}

type gossipMember struct {
	records, states broadcastQueue
	latest          []broadcastID // of each origin
	origins         int           // of which there is one
	seenStates      map[broadcastID]bool
	gossipAt        time.Duration // phases
	probeAt         time.Duration
	tellAt          time.Duration
}

type gossipPacket struct {
	from, to int32
	ping     bool
	messages []broadcastID
}

// What was told before the play begins: a record of any origin, and a member that all know.
const (
	oldRecord broadcastID = 1
	oldState  broadcastID = 2
)

type gossipModel struct {
	run       gossipRun
	sizes     engineSizes
	chance    *rand.Rand
	now       time.Duration
	all       []gossipMember
	messages  []gossipMessage // the first is none, then the old ones
	due       [][]gossipPacket
	step      int
	rest      time.Duration
	fanout    int
	measuring bool
	result    gossipResult
}

func newGossipModel(run gossipRun) *gossipModel {
	m := &gossipModel{run: run, sizes: measureEngineSizes(), chance: simulation.RandomSource(run.seed, "scale members", run.members),
		due: make([][]gossipPacket, gossipDelay+1)}
	m.messages = []gossipMessage{{}, oldRecord: {size: int32(run.recordBytes)}, oldState: {origin: -1, size: int32(m.sizes.alive)}}
	m.rest = restOf(run.members)
	if run.restTimes > 0 {
		m.rest = time.Duration(run.restTimes * float64(m.rest)).Truncate(gossipStep)
	}
	m.fanout = cmp.Or(run.fanout, gossipTo)
	m.all = make([]gossipMember, run.members)
	for i := range m.all {
		m.all[i] = gossipMember{
			records:    newBroadcastQueue(retransmits(recordRetransmits, run.members)),
			states:     newBroadcastQueue(retransmits(stateRetransmits, run.members)),
			latest:     make([]broadcastID, run.members),
			seenStates: map[broadcastID]bool{},
			gossipAt:   m.phase(gossipEvery),
			probeAt:    m.phase(probeEvery),
			tellAt:     m.phase(m.rest),
		}
		m.meet(i)
	}
	if run.joined {
		for range run.members {
			m.all[0].states.add(oldState)
		}
	}
	return m
}

// meet has a member know as many others as it has room for, by chance which.
func (m *gossipModel) meet(i int) {
	member := &m.all[i]
	room := min(m.run.members-1, signals.MaxOrigins)
	from := m.chance.IntN(m.run.members)
	for k := 0; member.origins < room; k++ {
		if origin := (from + k) % m.run.members; origin != i {
			member.latest[origin] = oldRecord
			member.origins++
		}
	}
}

// restOf is the time between two records of a member while all is well.
func restOf(members int) time.Duration {
	return time.Duration(float64(recordRest) * math.Max(1, float64(members)/restFleet))
}

func (m *gossipModel) phase(of time.Duration) time.Duration {
	return time.Duration(m.chance.IntN(int(of/gossipStep))) * gossipStep
}

// playGossip plays a run to its end.
func playGossip(ctx context.Context, run gossipRun) (gossipResult, error) {
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
		for i := range m.all {
			m.act(i)
		}
		m.step++
	}
	return m.summary(), nil
}

// act is what a member does by itself at this instant.
func (m *gossipModel) act(i int) {
	member := &m.all[i]
	if m.now%m.rest == member.tellAt {
		m.tell(i)
	}
	if len(m.all) < 2 {
		return
	}
	if m.now%gossipEvery == member.gossipAt {
		m.gossip(i)
	}
	if m.now%probeEvery == member.probeAt {
		m.sendProbe(int32(i), m.other(i), true)
	}
}

func (m *gossipModel) tell(i int) {
	id := broadcastID(len(m.messages))
	m.messages = append(m.messages, gossipMessage{origin: int32(i), size: int32(m.run.recordBytes), told: m.now})
	m.all[i].latest[i] = id
	m.all[i].records.add(id)
}

// replace has one member leave and another come in its place: both are told of by one who knows it first.
func (m *gossipModel) replace() {
	for _, size := range []int{m.sizes.dead, m.sizes.alive} {
		id := broadcastID(len(m.messages))
		m.messages = append(m.messages, gossipMessage{origin: -1, size: int32(size), told: m.now})
		first := &m.all[m.chance.IntN(len(m.all))]
		first.seenStates[id] = true
		first.states.add(id)
	}
}

// other draws another member.
func (m *gossipModel) other(i int) int32 {
	to := m.chance.IntN(len(m.all) - 1)
	if to >= i {
		to++
	}
	return int32(to)
}

// gossip sends up to fanout packets of what waits.
func (m *gossipModel) gossip(i int) {
	for range min(m.fanout, len(m.all)-1) {
		messages, bytes := m.pack(i, longestPacket-compoundHeader-labelHeader-len(fleetLabel))
		if len(messages) == 0 {
			return
		}
		bytes += datagramHeaders + labelHeader + len(fleetLabel) + checksumBytes
		if len(messages) > 1 {
			bytes += compoundHeader
		}
		if m.measuring {
			m.result.recordDatagrams++
			m.result.recordBytes += float64(bytes)
			m.joiner(i, bytes)
		}
		m.send(gossipPacket{from: int32(i), to: m.other(i), messages: messages})
	}
}

// sendProbe sends a ping or its answer, and as much of what waits as fits beside it.
func (m *gossipModel) sendProbe(from, to int32, ping bool) {
	size := m.sizes.ack
	if ping {
		size = m.sizes.ping
	}
	messages, bytes := m.pack(int(from), longestPacket-size-compoundHeader-labelHeader-len(fleetLabel))
	bytes += size + datagramHeaders + labelHeader + len(fleetLabel)
	if len(messages) > 0 {
		bytes += compoundHeader + compoundPerEntry
	}
	if m.measuring {
		m.result.probeDatagrams++
		m.result.probeBytes += float64(bytes)
		m.joiner(int(from), bytes)
	}
	m.send(gossipPacket{from: from, to: to, ping: ping, messages: messages})
}

func (m *gossipModel) joiner(i, bytes int) {
	if i == 0 {
		m.result.joinerBytes += float64(bytes) / gossipMeasure.Seconds()
	}
}

// pack takes what fits, the engine's own first, and gives its bytes.
func (m *gossipModel) pack(i, room int) ([]broadcastID, int) {
	member := &m.all[i]
	size := func(id broadcastID) int { return int(m.messages[id].size) }
	always := func(broadcastID) bool { return true }
	newest := func(id broadcastID) bool { return member.latest[m.messages[id].origin] == id }
	messages, free := member.states.take(nil, room, compoundPerEntry, size, always)
	messages, free = member.records.take(messages, free, compoundPerEntry+userMessageHeader, size, newest)
	bytes := room - free
	if len(messages) == 1 {
		bytes -= compoundPerEntry
	}
	return messages, bytes
}

func (m *gossipModel) send(p gossipPacket) {
	at := (m.step + gossipDelay) % len(m.due)
	m.due[at] = append(m.due[at], p)
}

// deliver brings what was sent a delay ago.
func (m *gossipModel) deliver() {
	at := m.step % len(m.due)
	arrived := m.due[at]
	m.due[at] = nil
	for _, p := range arrived {
		for _, id := range p.messages {
			m.hear(&m.all[p.to], id)
		}
		if p.ping {
			m.sendProbe(p.to, p.from, false)
		}
	}
}

func (m *gossipModel) hear(member *gossipMember, id broadcastID) {
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
			m.result.news++
		}
		if m.now-message.told <= freshWithin {
			message.taken++
		}
	}
}

// merge takes a record as signals.Store does: a later one, and of a new origin only where there is room.
func (member *gossipMember) merge(origin int32, id broadcastID) bool {
	known := member.latest[origin]
	if id <= known || known == 0 && member.origins >= signals.MaxOrigins {
		return false
	}
	if known == 0 {
		member.origins++
	}
	member.latest[origin] = id
	return true
}

// summary brings the counts to a member and a second.
func (m *gossipModel) summary() gossipResult {
	r := m.result
	per := float64(len(m.all)) * gossipMeasure.Seconds()
	for _, count := range []*float64{&r.recordDatagrams, &r.probeDatagrams, &r.recordBytes, &r.probeBytes, &r.records, &r.news, &r.states} {
		*count /= per
	}
	for i := range m.all {
		r.waiting += float64(m.waiting(i)) / float64(len(m.all))
	}
	r.reach = m.reach()
	return r
}

// waiting counts the records in a member's queue, without those that a later one took the place of.
func (m *gossipModel) waiting(i int) (count int) {
	member := &m.all[i]
	for _, tier := range member.records.tiers {
		for _, waiting := range tier {
			if member.latest[m.messages[waiting.id].origin] == waiting.id {
				count++
			}
		}
	}
	return count
}

// reach is over the records that were told while it was measured, but those too late to be followed.
func (m *gossipModel) reach() float64 {
	taken, told := 0, 0
	for _, message := range m.messages[oldState+1:] {
		if message.origin >= 0 && message.told >= gossipWarmup-freshWithin && message.told+freshWithin < m.now {
			taken += message.taken
			told++
		}
	}
	if told == 0 || len(m.all) < 2 {
		return 0
	}
	return float64(taken) / float64(told) / float64(len(m.all)-1)
}
