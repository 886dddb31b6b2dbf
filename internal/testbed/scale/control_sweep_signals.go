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
	distinctPublishers       = 5  // whose records are simulated; the others repeat them under their own names
	maxConnectionsPerServer  = 15 // of a publisher
	defaultFaulty            = 2  // servers, where the sizes don't count them
	maxAggregationsPerSecond = 20 // by fleet/signals
	signalRounds             = 5
	faultyLatency            = time.Second
	signalWorkInterval       = 300 * time.Millisecond
	publishersStart          = time.Minute
)

// signalsSweep measures fleet/signals against the number of publishers, or of servers that all observe as faulty.
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
func checkFaultyServers(s Settings) (key, fault string) {
	if s.Against != byFaulty || s.Sizes[len(s.Sizes)-1] <= s.Servers {
		return "", ""
	}
	return bySize, "want no more faulty servers than there are servers"
}

// newPublisher is a decider that holds connections on all servers and observes some of them as faulty.
func newPublisher(chance *rand.Rand, name, servers, faulty int) *signals.Exchange {
	s := signals.New(signals.Config{
		Origin:           signals.Origin(memberName(name)),
		Incarnation:      1764652800,
		Build:            "0123456789ab",
		Settings:         "0123456789abcdef",
		LatencyThreshold: latencyObjective,
		SetupLimit:       setupObjective,
		Enabled:          true,
	})
	s.SetTime(publishersStart)
	for i := range servers {
		id := serverNumber(i)
		s.OnEndpoint(decide.Endpoint{ID: id, Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
		for range 1 + chance.IntN(maxConnectionsPerServer) {
			s.OnEstablished("", id, time.Millisecond)
		}
		if i < faulty {
			s.OnLatencySample(id, faultyLatency)
		}
	}
	return s
}

// publishedRecords are the records of so many members, each under its own name.
func publishedRecords(seed uint64, members, servers, faulty int) (records []signals.Record) {
	chance := simulation.RandomSource(seed, "scale signals", servers)
	var kinds []signals.Record
	for i := range min(distinctPublishers, members) {
		record, _ := newPublisher(chance, i, servers, faulty).Publish(members)
		kinds = append(kinds, record)
	}
	for i := range members {
		record := kinds[i%len(kinds)]
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
	chance := simulation.RandomSource(m.settings.Seed, "scale signals here", servers)
	here := newPublisher(chance, members, servers, 0)
	m.add(seriesKind{
		name: "own-memory", unit: unitBytes, origin: Measured,
		quantity: "memory of a balancer's own observations, connections on all servers",
	}, size, float64(liveMemory()-before))
	before = liveMemory()
	if err := mergeAll(here, records); err != nil {
		return err
	}
	here.ServerCost("", serverNumber(0)) // aggregates all records
	m.add(seriesKind{
		name: "heard-memory", unit: unitBytes, origin: Measured,
		quantity: "memory of what others publish",
	}, size, float64(liveMemory()-before))
	retained, _ := here.Records()
	m.add(seriesKind{
		name: "records-kept", unit: "records", origin: Measured, counted: true,
		quantity: "retained records of others",
	}, size, float64(len(retained)))
	m.add(seriesKind{
		name: "sights-walked", unit: "sights", origin: Calculated, counted: true,
		quantity: "observations visited by each merge of all records",
	}, size, float64(len(retained)*len(records[0].Reports)))
	m.measureAvoided(size, servers, faulty, records)
	return m.measureSignalWork(here, text, size, members)
}

// mergeAll makes a decider receive records in their encoded form.
func mergeAll(here *signals.Exchange, records []signals.Record) error {
	for _, record := range records {
		text, err := signals.Encode(record)
		if err != nil {
			return err
		}
		decoded, err := signals.Decode(text)
		if err != nil {
			return err
		}
		here.Merge(decoded)
	}
	return nil
}

// measureAvoided measures the share of faulty servers that a balancer avoids on others' reports alone.
func (m *controlMeasurements) measureAvoided(size, servers, faulty int, records []signals.Record) {
	stranger := signals.New(signals.Config{
		Origin:           "stranger",
		Incarnation:      1,
		LatencyThreshold: latencyObjective,
		SetupLimit:       setupObjective,
		Enabled:          true,
	})
	stranger.SetTime(publishersStart)
	for i := range servers {
		stranger.OnEndpoint(decide.Endpoint{ID: serverNumber(i), Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
	}
	for _, record := range records {
		stranger.Merge(record)
	}
	avoided := 0
	for i := range faulty {
		if extra, _ := stranger.ServerCost("", serverNumber(i)); extra > 0 {
			avoided++
		}
	}
	m.add(seriesKind{
		name: "avoided", unit: unitPart, origin: Simulated, counted: true,
		quantity: "share of the faulty servers that a balancer without connections there avoids",
	}, size, float64(avoided)/float64(faulty))
}

// measureSignalWork measures receiving a record, aggregating all records, publishing, and encoding the full state.
func (m *controlMeasurements) measureSignalWork(here *signals.Exchange, text []byte, size, members int) error {
	now := publishersStart
	var fault error
	receive := func() {
		record, err := signals.Decode(text)
		if err != nil {
			fault = err
		}
		here.Merge(record)
	}
	receiveCost := measure(signalRounds, 100, receive)
	aggregateCost := measure(signalRounds, 1, func() {
		now += signalWorkInterval
		here.SetTime(now)
		here.ServerCost("", serverNumber(0))
	})
	publishCost := measure(signalRounds, 1, func() {
		now += signalWorkInterval
		here.SetTime(now)
		here.Publish(members)
	})
	exchangeCost := measure(signalRounds, 1, func() { fault = encodeFullState(here) })
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
	return fault
}

// encodeFullState encodes the answer to a member that requests the full state.
func encodeFullState(here *signals.Exchange) error {
	var messages [][]byte
	for _, record := range here.FullState() {
		text, err := signals.Encode(record)
		if err != nil {
			return err
		}
		messages = append(messages, text)
	}
	_, err := signals.EncodeAll(messages)
	return err
}
