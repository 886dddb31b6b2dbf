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
	roleSignals        = "balancer control: signals"
	publishersModelled = 5  // that really see servers; the others tell the same under their own names
	mostOnOne          = 15 // connections of a teller on a server
	usualTroubled      = 2  // servers, where the sizes do not count them
	gathersASecond     = 20 // at most, by fleet/signals
	signalRounds       = 5
	troubleSeen        = time.Second
	betweenSignalWork  = 300 * time.Millisecond
	publishersStart    = time.Minute
)

// signalsSweep measures fleet/signals against how many tell, or against how many servers all of them see in trouble.
func signalsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	book := newControlBook(s, roleSignals)
	if s.Against == byTroubled {
		book.suffix = "-by-troubled"
	}
	for i, size := range s.Sizes {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		members, troubled := size, usualTroubled
		if s.Against == byTroubled {
			members, troubled = s.Balancers, size
		}
		if err := book.signals(size, members, troubled); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}

// faultyServers refuses more servers in trouble than there are.
func faultyServers(s Settings) (key, fault string) {
	if s.Against != byTroubled || s.Sizes[len(s.Sizes)-1] <= s.Servers {
		return "", ""
	}
	return bySize, "want no more servers in trouble than there are servers"
}

// newPublisher is a decider that holds connections on all servers and sees some of them late.
func newPublisher(chance *rand.Rand, name, servers, troubled int) *signals.Exchange {
	s := signals.New(signals.Config{Origin: signals.Origin(memberName(name)), Incarnation: 1764652800, Build: "0123456789ab",
		Settings: "0123456789abcdef", LatencyThreshold: lateFrom, SetupLimit: setupTime, Enabled: true})
	s.SetTime(publishersStart)
	for i := range servers {
		id := serverNumber(i)
		s.OnEndpoint(decide.Endpoint{ID: id, Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
		for range 1 + chance.IntN(mostOnOne) {
			s.OnEstablished("", id, time.Millisecond)
		}
		if i < troubled {
			s.OnLatencySample(id, troubleSeen)
		}
	}
	return s
}

// publisherRecords are what so many members tell, each under its own name.
func publisherRecords(seed uint64, members, servers, troubled int) (records []signals.Record) {
	chance := simulation.RandomSource(seed, "scale signals", servers)
	var kinds []signals.Record
	for i := range min(publishersModelled, members) {
		record, _ := newPublisher(chance, i, servers, troubled).Publish(members)
		kinds = append(kinds, record)
	}
	for i := range members {
		record := kinds[i%len(kinds)]
		record.Origin = signals.Origin(memberName(i))
		records = append(records, record)
	}
	return records
}

func (b *controlBook) signals(size, members, troubled int) error {
	servers := b.settings.Servers
	records := publisherRecords(b.settings.Seed, members, servers, troubled)
	text, err := signals.Encode(records[0])
	if err != nil {
		return err
	}
	b.add("record-bytes", "of a record as it is told", unitBytes, Measured, true, size, float64(len(text)))
	before := liveMemory()
	chance := simulation.RandomSource(b.settings.Seed, "scale signals here", servers)
	here := newPublisher(chance, members, servers, 0)
	b.add("own-memory", "held of what a balancer itself sees, connections on all servers", unitBytes, Measured, false, size, float64(liveMemory()-before))
	before = liveMemory()
	if err := mergeAll(here, records); err != nil {
		return err
	}
	here.ServerCost("", serverNumber(0)) // it brings together what all say
	b.add("heard-memory", "held of what others tell", unitBytes, Measured, false, size, float64(liveMemory()-before))
	kept, _ := here.Records()
	b.add("records-kept", "records of others that are kept", "records", Measured, true, size, float64(len(kept)))
	b.add("sights-walked", "sights walked each time that what all say is brought together", "sights", Reckoned, true, size, float64(len(kept)*len(records[0].Reports)))
	b.told(size, servers, troubled, records)
	return b.signalsWork(here, text, size, members)
}

// mergeAll has a decider hear records as they come over the network.
func mergeAll(here *signals.Exchange, records []signals.Record) error {
	for _, record := range records {
		text, err := signals.Encode(record)
		if err != nil {
			return err
		}
		heard, err := signals.Decode(text)
		if err != nil {
			return err
		}
		here.Merge(heard)
	}
	return nil
}

// told notes how many of the servers in trouble a balancer that sees none of them would avoid by what is told.
func (b *controlBook) told(size, servers, troubled int, records []signals.Record) {
	stranger := signals.New(signals.Config{Origin: "stranger", Incarnation: 1, LatencyThreshold: lateFrom, SetupLimit: setupTime, Enabled: true})
	stranger.SetTime(publishersStart)
	for i := range servers {
		stranger.OnEndpoint(decide.Endpoint{ID: serverNumber(i), Size: 1, Readiness: decide.Ready, StartedAt: decide.LongAgo})
	}
	for _, record := range records {
		stranger.Merge(record)
	}
	avoided := 0
	for i := range troubled {
		if extra, _ := stranger.ServerCost("", serverNumber(i)); extra > 0 {
			avoided++
		}
	}
	b.add("avoided", "of the servers in trouble that a balancer without connections there avoids", unitPart, Simulated, true, size, float64(avoided)/float64(troubled))
}

// signalsWork measures the four pieces of work: to hear a record, to bring all together, to tell, and to hand all on.
func (b *controlBook) signalsWork(here *signals.Exchange, text []byte, size, members int) error {
	now := publishersStart
	var fault error
	hear := func() {
		record, err := signals.Decode(text)
		if err != nil {
			fault = err
		}
		here.Merge(record)
	}
	heard := measure(signalRounds, 100, hear)
	gathered := measure(signalRounds, 1, func() {
		now += betweenSignalWork
		here.SetTime(now)
		here.ServerCost("", serverNumber(0))
	})
	told := measure(signalRounds, 1, func() {
		now += betweenSignalWork
		here.SetTime(now)
		here.Publish(members)
	})
	handed := measure(signalRounds, 1, func() { fault = forwardRecord(here) })
	b.add("hear-processor", "processor time of a record heard", unitMicroseconds, Measured, false, size, microseconds(heard.processor))
	b.add("hear-allocations", "allocations of a record heard", unitAllocations, Measured, true, size, heard.allocations)
	b.add("gather-processor", "processor time of bringing together what all say", unitMicroseconds, Measured, false, size, microseconds(gathered.processor))
	b.add("gather-core", "the same as often as it may be, 20 times a second", unitCorePart, Reckoned, false, size, gathersASecond*gathered.processor.Seconds())
	b.add("tell-core", "processor time of seeing what is to be told, 4 times a second", unitCorePart, Measured, false, size, told.processor.Seconds()/publishInterval.Seconds())
	b.add("hand-on-core", "processor time of writing all for a member that asks, each 2 s", unitCorePart, Measured, false, size, handed.processor.Seconds()/recordsWrittenEvery.Seconds())
	return fault
}

// forwardRecord writes what a member that asks is told.
func forwardRecord(here *signals.Exchange) error {
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
