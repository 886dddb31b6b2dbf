package scale

import (
	"context"
	"math/rand/v2"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
	"yardwinch/internal/simulation"
)

const (
	roleSignals              = "balancer control: signals"
	distinctPublishers       = 5  // publishers that are simulated; their records are copied for the others, under the others' names
	maxConnectionsPerServer  = 15 // that a publisher holds
	defaultFaulty            = 2  // faulty servers, unless the sizes count them
	maxAggregationsPerSecond = 20 // the inverse of fleet/signals minGatherInterval
	signalRounds             = 5
	faultyLatency            = time.Second            // of a faulty server, above latencyObjective
	signalWorkInterval       = 300 * time.Millisecond // virtual time between measured calls, above fleet/signals minPublishInterval
	publishersStart          = time.Minute
)

// signalsSweep measures fleet/signals as a function of the publishers, or of the servers that all of them observe as
// faulty.
func signalsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	measurements := newControlMeasurements(s, roleSignals)
	if s.Against == byFaulty {
		measurements.suffix = "-by-troubled"
	}
	return measurements.forEachSize(progress, func(size int) error {
		if err := ctx.Err(); err != nil {
			return err
		}
		members, faulty := size, defaultFaulty
		if s.Against == byFaulty {
			members, faulty = s.Balancers, size
		}
		return measurements.measureSignals(size, members, faulty)
	})
}

// checkFaultyServers rejects more faulty servers than there are servers.
func checkFaultyServers(s Settings) (key, problem string) {
	if s.Against != byFaulty || s.Sizes[len(s.Sizes)-1] <= s.Servers {
		return "", ""
	}
	return keySizes, "want no more faulty servers than there are servers"
}

// newPublisher returns an exchange of signals that has connections on all servers and observes the first ones as faulty.
func newPublisher(random *rand.Rand, member, servers, faulty int) *signals.Exchange {
	s := signals.New(signals.Config{
		Origin:           signals.Origin(memberName(member)),
		Incarnation:      1764652800,
		Build:            "0123456789ab",
		Settings:         "0123456789abcdef",
		LatencyThreshold: latencyObjective,
		SetupLimit:       setupObjective,
		Enabled:          true,
	})
	s.SetTime(publishersStart)
	for i := range servers {
		id := serverIDOf(i)
		s.OnEndpoint(decide.Endpoint{ID: id, Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
		for range 1 + random.IntN(maxConnectionsPerServer) {
			s.OnEstablished("", id, time.Millisecond)
		}
		if i < faulty {
			s.OnLatencySample(id, faultyLatency)
		}
	}
	return s
}

// publishedRecords returns the records of the given number of members, each under its own name.
func publishedRecords(seed uint64, members, servers, faulty int) (records []signals.Record) {
	random := simulation.RandomSource(seed, "scale signals", servers)
	var distinct []signals.Record
	for i := range min(distinctPublishers, members) {
		record, _ := newPublisher(random, i, servers, faulty).Publish(members)
		distinct = append(distinct, record)
	}
	for i := range members {
		record := distinct[i%len(distinct)]
		record.Origin = signals.Origin(memberName(i))
		records = append(records, record)
	}
	return records
}

func (m *controlMeasurements) measureSignals(size, members, faulty int) error {
	servers := m.settings.Servers
	records := publishedRecords(m.settings.Seed, members, servers, faulty)
	text, err := signals.Encode(records[0])
	if err != nil {
		return err
	}
	m.add(seriesKind{
		name: "record-bytes", unit: unitBytes, origin: Measured, counted: true,
		quantity: "size of a published record",
	}, size, float64(len(text)))
	before := liveMemory()
	random := simulation.RandomSource(m.settings.Seed, "scale signals here", servers)
	local := newPublisher(random, members, servers, 0)
	m.add(seriesKind{
		name: "own-memory", unit: unitBytes, origin: Measured,
		quantity: "memory of a balancer's own observations, connections on all servers",
	}, size, float64(liveMemory()-before))
	before = liveMemory()
	if err := mergeAll(local, records); err != nil {
		return err
	}
	local.ServerCost("", serverIDOf(0)) // aggregates all records
	m.add(seriesKind{
		name: "heard-memory", unit: unitBytes, origin: Measured,
		quantity: "memory of what others publish",
	}, size, float64(liveMemory()-before))
	retained, _ := local.Records()
	m.add(seriesKind{
		name: "records-kept", unit: "records", origin: Measured, counted: true,
		quantity: "retained records of others",
	}, size, float64(len(retained)))
	m.add(seriesKind{
		name: "sights-walked", unit: "sights", origin: Calculated, counted: true,
		quantity: "observations visited by each merge of all records",
	}, size, float64(len(retained)*len(records[0].Reports)))
	m.measureAvoided(size, servers, faulty, records)
	return m.measureSignalWork(local, text, size, members)
}

// mergeAll passes records to an exchange, encoded and decoded again as on the wire.
func mergeAll(local *signals.Exchange, records []signals.Record) error {
	for _, record := range records {
		text, err := signals.Encode(record)
		if err != nil {
			return err
		}
		decoded, err := signals.Decode(text)
		if err != nil {
			return err
		}
		local.Merge(decoded)
	}
	return nil
}

// measureAvoided measures the share of faulty servers that a balancer avoids because of others' reports alone.
func (m *controlMeasurements) measureAvoided(size, servers, faulty int, records []signals.Record) {
	unconnected := signals.New(signals.Config{
		Origin:           "stranger",
		Incarnation:      1,
		LatencyThreshold: latencyObjective,
		SetupLimit:       setupObjective,
		Enabled:          true,
	})
	unconnected.SetTime(publishersStart)
	for i := range servers {
		unconnected.OnEndpoint(decide.Endpoint{ID: serverIDOf(i), Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
	}
	for _, record := range records {
		unconnected.Merge(record)
	}
	avoided := 0
	for i := range faulty {
		if extra, _ := unconnected.ServerCost("", serverIDOf(i)); extra > 0 {
			avoided++
		}
	}
	m.add(seriesKind{
		name: "avoided", unit: unitPart, origin: Simulated, counted: true,
		quantity: "share of the faulty servers that a balancer without connections there avoids",
	}, size, float64(avoided)/float64(faulty))
}

// measureSignalWork measures receiving a record, aggregating all records, publishing, and encoding the full state.
func (m *controlMeasurements) measureSignalWork(local *signals.Exchange, text []byte, size, members int) error {
	now := publishersStart
	var failure error
	receive := func() {
		record, err := signals.Decode(text)
		if err != nil {
			failure = err
		}
		local.Merge(record)
	}
	receiveCost := measure(signalRounds, 100, receive)
	aggregateCost := measure(signalRounds, 1, func() {
		now += signalWorkInterval
		local.SetTime(now)
		local.ServerCost("", serverIDOf(0))
	})
	publishCost := measure(signalRounds, 1, func() {
		now += signalWorkInterval
		local.SetTime(now)
		local.Publish(members)
	})
	exchangeCost := measure(signalRounds, 1, func() { failure = encodeFullState(local) })
	m.add(seriesKind{
		name: "hear-processor", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of a received record",
	}, size, microseconds(receiveCost.processor))
	m.add(seriesKind{
		name: "hear-allocations", unit: unitAllocations, origin: Measured, counted: true,
		quantity: "allocations of a received record",
	}, size, receiveCost.allocations)
	m.add(seriesKind{
		name: "gather-processor", unit: unitMicroseconds, origin: Measured,
		quantity: "processor time of merging all records",
	}, size, microseconds(aggregateCost.processor))
	m.add(seriesKind{
		name: "gather-core", unit: unitCorePart, origin: Calculated,
		quantity: "the same at the highest rate, 20 times a second",
	}, size, maxAggregationsPerSecond*aggregateCost.processor.Seconds())
	m.add(seriesKind{
		name: "tell-core", unit: unitCorePart, origin: Measured,
		quantity: "processor time of determining what to publish, 4 times a second",
	}, size, publishCost.processor.Seconds()/publishCheckInterval.Seconds())
	m.add(seriesKind{
		name: "hand-on-core", unit: unitCorePart, origin: Measured,
		quantity: "processor time of writing all records for a member that asks, every 2 s",
	}, size, exchangeCost.processor.Seconds()/fullStateInterval.Seconds())
	return failure
}

// encodeFullState encodes the answer to a member that requests the full state.
func encodeFullState(local *signals.Exchange) error {
	var messages [][]byte
	for _, record := range local.FullState() {
		text, err := signals.Encode(record)
		if err != nil {
			return err
		}
		messages = append(messages, text)
	}
	_, err := signals.EncodeFullState(messages)
	return err
}
