package scale

import (
	"context"
	"fmt"
	"time"

	"yardwinch/fleet/lease"
	"yardwinch/fleet/signals"
)

const (
	roleMembership     = "balancer control: members"
	unitBytesPerSecond = "bytes/s"
	unitPerSecond      = "1/s"
	unitBytes          = "bytes"
	unitCorePart       = "part of a core"
	unitPart           = "part"

	fewReports        = 4 // in each record of a small fleet with few servers
	latencyObjective  = 80 * time.Millisecond
	setupObjective    = 300 * time.Millisecond
	leaseDuration     = 6 * time.Second
	measurementRounds = 3

	membersPerMemoryMeasurement = 1000 // approximate total over the engines of a measurement; several small engines are averaged
)

// recordBytesOf returns the size in bytes of an encoded record with the given number of reports.
func recordBytesOf(reports int) (int, error) {
	text, err := signals.Encode(sampleRecord(1, 1000, reports))
	return len(text), err
}

// membersSweep measures what one member sends, receives, computes and stores, as a function of the number of members.
func membersSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleMembership)
	return measurements.forEachSize(progress, func(size int) error {
		if err := measurements.measureGossip(ctx, size); err != nil {
			return err
		}
		if err := measurements.measureEngine(size); err != nil {
			return err
		}
		return measurements.measureViews(size)
	})
}

// measureGossip runs the gossip model with records of fewReports and of signals.MaxReports.
func (m *controlMeasurements) measureGossip(ctx context.Context, size int) error {
	for _, reports := range []int{fewReports, signals.MaxReports} {
		recordBytes, err := recordBytesOf(reports)
		if err != nil {
			return err
		}
		result, err := simulateGossip(ctx, gossipRun{
			members:     size,
			recordBytes: recordBytes,
			replaced:    m.settings.Rate,
			seed:        m.settings.Seed,
		})
		if err != nil {
			return err
		}
		m.addGossipPoints(size, reports, recordBytes, result)
		m.recordsReceivedPerSecond = result.records
	}
	return nil
}

// addGossipPoints adds the points of one run of the model.
func (m *controlMeasurements) addGossipPoints(size, reports, recordBytes int, r gossipResult) {
	suffix := fmt.Sprintf("-at-%d-sights", reports)
	description := fmt.Sprintf(", records of %d observations (%d bytes)", reports, recordBytes)
	point := func(name, quantity, unit string, value float64) {
		m.add(seriesKind{name: name + suffix, quantity: quantity + description, unit: unit, origin: Simulated, counted: true}, size, value)
	}
	stateBytes := fullStateBytes(size, recordBytes)
	exchange := exchangeBytesPerSecond(size, stateBytes)
	point("bytes-out", "sent by a member: gossip, pings and exchanges", unitBytesPerSecond, r.totalBytes()+exchange)
	point("gossip-bytes-out", "sent by a member as gossip", unitBytesPerSecond, r.gossipBytes)
	point("probe-bytes-out", "sent by a member as pings and acks, with piggybacked messages", unitBytesPerSecond, r.probeBytes)
	point("exchange-bytes-out", "sent by a member in full state exchanges", unitBytesPerSecond, exchange)
	point("datagrams-out", "datagrams sent by a member", unitPerSecond, r.gossipDatagrams+r.probeDatagrams)
	point("records-heard", "records received by a member", unitPerSecond, r.records)
	point("records-new", "records received by a member that were new", unitPerSecond, r.newRecords)
	point("reach", "share of the others that have a record within 5 s of its publication", unitPart, r.reachedShare)
	point("waiting", "messages that wait in a member's queue after 25 s", "messages", r.queued)
}

// fullStateBytes returns the size in bytes of all records that a member sends in an exchange.
func fullStateBytes(size, recordBytes int) int {
	const maxRecords = 101 // as fleet/signals limits them: 100 of other members and its own
	const listHeader = 3
	return min(size, maxRecords) * (recordBytes + listHeader)
}

// exchangeBytesPerSecond returns what a member sends in exchanges: on average it starts one and answers one in each
// interval.
func exchangeBytesPerSecond(size, stateBytes int) float64 {
	if size < 2 {
		return 0
	}
	message := len(exchangeMessage(size)) + stateBytes
	return 2 * float64(streamBytes(message)) / exchangeInterval(size).Seconds()
}

// measureEngine measures a real engine that knows the given number of members.
func (m *controlMeasurements) measureEngine(size int) error {
	message := exchangeMessage(size)
	before := liveMemory()
	copies := max(1, membersPerMemoryMeasurement/size)
	for range copies - 1 {
		other, err := joinedEngine(message)
		if err != nil {
			return err
		}
		defer other.close()
	}
	engine, err := joinedEngine(message)
	if err != nil {
		return err
	}
	defer engine.close()
	memory := (liveMemory() - before) / int64(copies)
	answer, err := engine.exchange(message)
	if err != nil {
		return err
	}
	known := engine.list.NumMembers()
	m.check(fmt.Sprintf("the engine knows %d members after one exchange", size), known == size, fmt.Sprintf("%d are known", known))
	used := measure(measurementRounds, 1, func() { _, _ = engine.exchange(message) })
	m.add(seriesKind{
		name: "engine-memory", unit: unitBytes, origin: Measured,
		quantity: "held by the engine once it has joined, with the messages to be passed on",
	}, size, float64(memory))
	m.add(seriesKind{
		name: "exchange-bytes", unit: unitBytes, origin: Measured, counted: true,
		quantity: "of one exchange, one way, without records",
	}, size, float64(len(answer)))
	m.add(seriesKind{
		name: "exchange-processor", unit: unitCorePart, origin: Measured,
		quantity: "processor time of the engine for exchanges, each way",
	}, size, 2*used.processor.Seconds()/exchangeInterval(size).Seconds())
	m.add(seriesKind{
		name: "exchange-allocations", unit: "allocations", origin: Measured, counted: true,
		quantity: "allocations of the engine for one exchange",
	}, size, used.allocations)
	return nil
}

// measureViews measures passing the list of members from the engine to its balancer, and from the balancer to its signal
// exchange and lease manager.
func (m *controlMeasurements) measureViews(size int) error {
	view := newMemberView(size)
	frame := view.frame()
	perSecond := 1 / membersFrameInterval.Seconds()
	encoding := measure(measurementRounds, 1, func() { view.frame() })
	decoding := measure(measurementRounds, 1, func() { readFrame(frame) })
	m.add(seriesKind{
		name: "frame-bytes", unit: unitBytesPerSecond, origin: Measured, counted: true,
		quantity: "list of members written from the engine to its balancer, through a pipe",
	}, size, perSecond*float64(len(frame)))
	m.add(seriesKind{
		name: "frame-processor", unit: unitCorePart, origin: Measured,
		quantity: "processor time for the list of members between the engine and its balancer",
	}, size, perSecond*(encoding.processor+decoding.processor).Seconds())
	signalExchange := signals.New(signals.Config{
		Origin:           signals.Origin(memberName(0)),
		Incarnation:      1,
		LatencyThreshold: latencyObjective,
		SetupLimit:       setupObjective,
		Enabled:          true,
	})
	leases := lease.New(lease.Holder(memberName(0)), leaseDuration)
	list := view.sorted()
	applying := measure(measurementRounds, 1, func() { applyMembership(list, signalExchange, leases) })
	m.add(seriesKind{
		name: "view-processor", unit: unitCorePart, origin: Measured,
		quantity: "processor time for passing the live members to the deciders",
	}, size, applying.processor.Seconds()/publishCheckInterval.Seconds())
	return m.measureRecords(size)
}

// measureRecords measures decoding the records that a member receives in a fleet of this size.
func (m *controlMeasurements) measureRecords(size int) error {
	text, err := signals.Encode(sampleRecord(1, 1000, signals.MaxReports))
	if err != nil {
		return err
	}
	const times = 200
	used := measure(measurementRounds, times, func() { _, err = signals.Decode(text) })
	m.add(seriesKind{
		name: "record-processor", unit: unitCorePart, origin: Measured,
		quantity: "processor time for reading the records that a member receives, of 48 observations",
	}, size, m.recordsReceivedPerSecond*used.processor.Seconds())
	return err
}
