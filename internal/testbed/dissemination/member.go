package dissemination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
)

// observers is how many members observe the fault at times of their own within a second.
const observers = 100

// message is a record that waits to be sent on.
type message struct {
	origin    signals.Origin
	body      []byte
	transmits int // how often it was sent
}

// member is one balancer of the fleet.
type member struct {
	signals       *signals.Exchange
	queue         []*message
	gossipPhase   time.Duration // within the interval
	publishPhase  time.Duration
	observesFault bool // itself, by a connection to the faulty server
	half          int  // of the fleet, in a partition

	quietBytes    int // sent before the fault
	quietPackets  int // sent before the fault
	quietMessages int // received before the fault
	busyBytes     int // sent soon after it
}

// newMember makes a member that holds a connection to about half of the healthy servers, and to the faulty one if it is to
// observe the fault.
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
		gossipPhase:   phase(random, gossipInterval),
		publishPhase:  phase(random, publishInterval),
		observesFault: observesFault,
		half:          number % 2,
	}
	m.signals.SetTime(0)
	for k := range healthyServers {
		if random.Float64() < connectedShare {
			m.signals.OnEstablished(flowOfOthers, faultyServer+1+decide.ServerID(k), fastSetup)
		}
	}
	if m.observesFault {
		m.signals.OnEstablished(flowOfFault, faultyServer, fastSetup)
	}
	return m
}

// phase draws a time within an interval.
func phase(random *rand.Rand, interval time.Duration) time.Duration {
	return time.Duration(random.IntN(int(interval/timeStep))) * timeStep
}

// observationPhase is when, within each second, a member observes the fault.
func observationPhase(number int) time.Duration {
	return time.Duration(number%observers) * timeStep
}

// publish queues this member's own record where one is due.
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

// enqueue queues a record to be sent on; it takes the place of an earlier one of its origin.
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

// pack takes what fits into one packet, what was sent least first, as the engine does. A message that was sent as often as the limit
// leaves the queue.
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
