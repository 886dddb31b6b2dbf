package dissemination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
)

// observationSlots is the number of different times within a second at which members observe the fault.
const observationSlots = 100

// message is a record that is queued for gossip.
type message struct {
	origin    signals.Origin
	body      []byte
	transmits int // how often it has been sent
}

// member is one balancer of the fleet.
type member struct {
	signals       *signals.Exchange
	queue         []*message
	gossipPhase   time.Duration // offset within the interval
	publishPhase  time.Duration
	observesFault bool // by its own connection to the faulty server
	partitionSide int  // half of the fleet to which it belongs in a partition: 0 or 1

	quietBytes    int // sent before the fault
	quietPackets  int // sent before the fault
	quietMessages int // received before the fault
	busyBytes     int // sent within busyPeriod after the fault
}

// newMember returns a member with connections to about half of the healthy servers, and to the faulty one if it observes the
// fault.
func newMember(random *rand.Rand, number int, observesFault bool) *member {
	origin := signals.Origin(fmt.Sprintf("member-%04d", number))
	m := &member{
		signals: signals.New(signals.Config{
			Origin:           origin,
			Incarnation:      1,
			Build:            buildDigest,
			Settings:         settingsDigest,
			LatencyThreshold: messageDelayLimit,
			SetupLimit:       setupTarget,
			Enabled:          true,
		}),
		gossipPhase:   randomPhase(random, gossipInterval),
		publishPhase:  randomPhase(random, publishCheckInterval),
		observesFault: observesFault,
		partitionSide: number % 2,
	}
	m.signals.SetTime(0)
	for k := range healthyServers {
		if random.Float64() < connectionProbability {
			m.signals.OnEstablished(healthyServerFlow, faultyServer+1+decide.ServerID(k), fastSetup)
		}
	}
	if m.observesFault {
		m.signals.OnEstablished(faultyServerFlow, faultyServer, fastSetup)
	}
	return m
}

// randomPhase draws an offset within an interval.
func randomPhase(random *rand.Rand, interval time.Duration) time.Duration {
	return time.Duration(random.IntN(int(interval/timeStep))) * timeStep
}

// observationPhase returns the offset within each second at which a member observes the fault.
func observationPhase(number int) time.Duration {
	return time.Duration(number%observationSlots) * timeStep
}

// publish queues the member's own record if one is due.
func (m *member) publish(fleet int) error {
	record, due := m.signals.Publish(fleet)
	if !due {
		return nil
	}
	body, err := signals.Encode(record)
	if err != nil {
		return err
	}
	m.enqueue(record.Origin, body)
	return nil
}

// enqueue queues a record for gossip. A record of the same origin that is already queued is replaced.
func (m *member) enqueue(origin signals.Origin, body []byte) {
	for _, queued := range m.queue {
		if queued.origin == origin {
			queued.body = body
			queued.transmits = 0
			return
		}
	}
	m.queue = append(m.queue, &message{origin: origin, body: body})
}

// pack returns the messages for one packet and the packet's size. Like the engine, it takes the least often sent messages first, and
// removes messages from the queue once they have been sent as often as the limit.
func (m *member) pack(limit int) (bodies [][]byte, size int) {
	slices.SortStableFunc(m.queue, func(a, b *message) int { return a.transmits - b.transmits })
	size = packetHeaderBytes
	for _, queued := range m.queue {
		if size+len(queued.body)+packetHeaderBytes > maxPacketBytes {
			continue
		}
		bodies = append(bodies, queued.body)
		size += len(queued.body) + messageHeaderBytes
		queued.transmits++
	}
	m.queue = slices.DeleteFunc(m.queue, func(queued *message) bool { return queued.transmits >= limit })
	return bodies, size
}
