package scale

import (
	"context"
	"fmt"
	"time"

	"yardwinch/fleet/lease"
	"yardwinch/fleet/signals"
)

const (
	roleMembership  = "balancer control: members"
	unitBytesSecond = "bytes/s"
	unitPerSecond   = "1/s"
	unitBytes       = "bytes"
	unitCorePart    = "part of a core"
	unitPart        = "part"

	fewReports = 4 // of a record, in a small fleet with few servers
	lateFrom   = 80 * time.Millisecond
	setupTime  = 300 * time.Millisecond
	leaseFor   = 6 * time.Second
	viewRounds = 3

	memoryCopiesOf = 1000 // members over all engines whose memory is measured together
)

// recordBytesOf is the size of an encoded record with so many sights.
func recordBytesOf(sights int) (int, error) {
	text, err := signals.Encode(sampleRecord(1, 1000, sights))
	return len(text), err
}

// membersSweep measures what one member of a fleet sends, hears, works and keeps, against the members.
func membersSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	book := newControlBook(s, roleMembership)
	for i, size := range s.Sizes {
		if err := book.gossip(ctx, size); err != nil {
			return nil, nil, err
		}
		if err := book.engine(size); err != nil {
			return nil, nil, err
		}
		if err := book.views(size); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}

// gossip plays the model with records of few servers and of as many as they may have.
func (b *controlBook) gossip(ctx context.Context, size int) error {
	for _, sights := range []int{fewReports, signals.MaxReports} {
		recordBytes, err := recordBytesOf(sights)
		if err != nil {
			return err
		}
		result, err := playGossip(ctx, gossipRun{members: size, recordBytes: recordBytes, replaced: b.settings.Rate, seed: b.settings.Seed})
		if err != nil {
			return err
		}
		b.gossipPoints(size, sights, recordBytes, result)
		b.heard = result.records
	}
	return nil
}

func (b *controlBook) gossipPoints(size, sights, recordBytes int, r gossipResult) {
	kind := fmt.Sprintf("-at-%d-sights", sights)
	what := fmt.Sprintf(", records of %d sights (%d bytes)", sights, recordBytes)
	point := func(name, quantity, unit string, value float64) {
		b.add(name+kind, quantity+what, unit, Simulated, true, size, value)
	}
	records := recordsBytes(size, recordBytes)
	exchange := exchangeBytesPerSecond(size, records)
	point("bytes-out", "sent by a member: gossip, probes and exchanges", unitBytesSecond, r.bytes()+exchange)
	point("gossip-bytes-out", "sent by a member as gossip", unitBytesSecond, r.recordBytes)
	point("probe-bytes-out", "sent by a member as probes and answers, with what travels on them", unitBytesSecond, r.probeBytes)
	point("exchange-bytes-out", "sent by a member in exchanges of all members", unitBytesSecond, exchange)
	point("datagrams-out", "datagrams sent by a member", unitPerSecond, r.recordDatagrams+r.probeDatagrams)
	point("records-heard", "records heard by a member", unitPerSecond, r.records)
	point("records-new", "records heard by a member that were news", unitPerSecond, r.news)
	point("reach", "of the others have a record within 5 s of its telling", unitPart, r.reach)
	point("waiting", "messages that wait in a member's queue after 25 s", "messages", r.waiting)
}

// recordsBytes is the size of all records that a member hands on in an exchange.
func recordsBytes(size, recordBytes int) int {
	const mostPassed = 101 // by fleet/signals: others' and its own
	const listHeader = 3
	return min(size, mostPassed) * (recordBytes + listHeader)
}

// exchangeBytesPerSecond is what a member sends in exchanges: each begins one in an interval and is asked once.
func exchangeBytesPerSecond(size, records int) float64 {
	if size < 2 {
		return 0
	}
	message := len(exchangeMessage(size)) + records
	return 2 * float64(onStream(message)) / exchangeInterval(size).Seconds()
}

// engine measures the real engine that knows so many members.
func (b *controlBook) engine(size int) error {
	message := exchangeMessage(size)
	before := liveMemory()
	copies := max(1, memoryCopiesOf/size)
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
	held := (liveMemory() - before) / int64(copies)
	answer, err := engine.exchange(message)
	if err != nil {
		return err
	}
	known := engine.list.NumMembers()
	b.checks = append(b.checks, Check{Name: fmt.Sprintf("the engine knows %d members after one exchange", size), Held: known == size, Detail: fmt.Sprintf("%d are known", known)})
	used := measure(viewRounds, 1, func() { _, _ = engine.exchange(message) })
	b.add("engine-memory", "held by the engine once it has joined, with what it has to pass on", unitBytes, Measured, false, size, float64(held))
	b.add("exchange-bytes", "of one exchange, one way, without records", unitBytes, Measured, true, size, float64(len(answer)))
	b.add("exchange-processor", "processor time of the engine for exchanges, each way", unitCorePart, Measured, false, size,
		2*used.processor.Seconds()/exchangeInterval(size).Seconds())
	b.add("exchange-allocations", "allocations of the engine for one exchange", "allocations", Measured, true, size, used.allocations)
	return nil
}

// views measures what the list of members costs between the engine and its balancer, and the records in it.
func (b *controlBook) views(size int) error {
	view := newMemberView(size)
	frame := view.frame()
	perSecond := 1 / membersFrameEvery.Seconds()
	written := measure(viewRounds, 1, func() { view.frame() })
	read := measure(viewRounds, 1, func() { readFrame(frame) })
	b.add("frame-bytes", "list of members written from the engine to its balancer, through a pipe", unitBytesSecond, Measured, true, size, perSecond*float64(len(frame)))
	b.add("frame-processor", "processor time for the list of members between the engine and its balancer", unitCorePart, Measured, false, size,
		perSecond*(written.processor+read.processor).Seconds())
	decider := signals.New(signals.Config{Origin: signals.Origin(memberName(0)), Incarnation: 1, LatencyThreshold: lateFrom, SetupLimit: setupTime, Enabled: true})
	leases := lease.New(lease.Holder(memberName(0)), leaseFor)
	list := view.sorted()
	handed := measure(viewRounds, 1, func() { handOver(list, decider, leases) })
	b.add("view-processor", "processor time for telling the deciders who is alive", unitCorePart, Measured, false, size, handed.processor.Seconds()/publishInterval.Seconds())
	return b.recordsCost(size)
}

// recordsCost measures the records that are heard at this size.
func (b *controlBook) recordsCost(size int) error {
	text, err := signals.Encode(sampleRecord(1, 1000, signals.MaxReports))
	if err != nil {
		return err
	}
	const times = 200
	used := measure(viewRounds, times, func() { _, err = signals.Decode(text) })
	b.add("record-processor", "processor time for reading the records that a member hears, of 48 sights", unitCorePart, Measured, false, size, b.heard*used.processor.Seconds())
	return err
}
