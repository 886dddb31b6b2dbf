package scale

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-metrics"

	"yardwinch/internal/membership"
	"yardwinch/internal/membership/engine"
	"yardwinch/internal/simulation"
)

const (
	maxRealMembers         = 200
	realRecordReports      = 4
	membershipTimeout      = 3 * time.Minute // long, as engines on a busy machine suspect each other while they join
	startInterval          = 25 * time.Millisecond
	gossipSettlingTime     = 15 * time.Second // in which members finish passing on what they received while joining
	membershipPollInterval = 100 * time.Millisecond
	publishPollInterval    = 10 * time.Millisecond
	modelTolerance         = 0.2 // relative to the figure of the real engines
	realFleetLabel         = fleetLabel

	// The message and the key that internal/membership/engine logs when the state of a member changes.
	memberStateMessage = "member state changed"
	memberStateKey     = "state"
)

// sentCounter counts what all engines of this process send, in memberlist's units: without headers and label.
type sentCounter struct {
	metrics.BlackholeSink
	datagrams, datagramBytes, streamBytes atomic.Int64
	departures                            stateCounter
}

// IncrCounterWithLabels counts one datagram with its bytes, or the bytes sent on a stream.
func (c *sentCounter) IncrCounterWithLabels(key []string, value float32, _ []metrics.Label) {
	if len(key) != 3 || key[0] != "memberlist" || key[2] != "sent" {
		return
	}
	switch key[1] {
	case "udp":
		c.datagrams.Add(1)
		c.datagramBytes.Add(int64(value))
	case "tcp":
		c.streamBytes.Add(int64(value))
	}
}

// stateCounter is a log handler that counts how often an engine declares a member to be in a state. It discards all
// log records.
type stateCounter struct {
	slog.Handler
	state membership.State
	count atomic.Int64
}

// Handle counts a log record that reports a change to the counter's state.
func (c *stateCounter) Handle(_ context.Context, line slog.Record) error {
	line.Attrs(func(a slog.Attr) bool {
		if line.Message == memberStateMessage && a.Key == memberStateKey && a.Value.String() == string(c.state) {
			c.count.Add(1)
		}
		return true
	})
	return nil
}

// sentTotals are totals since the start: datagrams and bytes sent, members declared gone, and processor time used.
type sentTotals struct {
	datagrams, datagramBytes, streamBytes, departures float64
	processor                                         time.Duration
}

func (c *sentCounter) totals() sentTotals {
	return sentTotals{
		datagrams:     float64(c.datagrams.Load()),
		datagramBytes: float64(c.datagramBytes.Load()),
		streamBytes:   float64(c.streamBytes.Load()),
		departures:    float64(c.departures.count.Load()),
		processor:     processorTime(),
	}
}

// realMember is a real engine with a stub of its balancer, which passes records on.
type realMember struct {
	number    int
	group     *engine.Group
	fullState []byte

	mu     sync.Mutex
	latest map[uint32]uint64
}

const recordHeaderBytes = 12 // origin and sequence

// OnMessage passes on a record if it is newer than the latest known one of its origin.
func (m *realMember) OnMessage(message []byte) {
	if len(message) < recordHeaderBytes {
		return
	}
	origin, sequence := binary.BigEndian.Uint32(message), binary.BigEndian.Uint64(message[4:])
	m.mu.Lock()
	isNew := sequence > m.latest[origin]
	if isNew {
		m.latest[origin] = sequence
	}
	m.mu.Unlock()
	if isNew && int(origin) != m.number {
		m.group.Publish(memberName(int(origin)), message)
	}
}

// FullState is the state sent in exchanges.
func (m *realMember) FullState() []byte { return m.fullState }

// OnRemoteState ignores the state received in an exchange.
func (m *realMember) OnRemoteState([]byte) {}

// OnSuspended ignores a pause of the process.
func (m *realMember) OnSuspended(time.Duration) {}

// realFleet is a set of real engines in this process that form one fleet.
type realFleet struct {
	members []*realMember
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startRealFleet(parent context.Context, count, recordBytes int) (*realFleet, error) {
	port, err := freePort(parent)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(parent)
	fleet := &realFleet{cancel: cancel}
	seed := realAddr(0, port).String()
	for i := range count {
		m := &realMember{number: i, fullState: make([]byte, fullStateBytes(count, recordBytes)), latest: map[uint32]uint64{}}
		at := realAddr(i, port)
		m.group = engine.New(membership.Instance{
			Name:      membership.Name(memberName(i)),
			Label:     realFleetLabel,
			Bind:      at,
			Advertise: at,
			Seeds:     []string{seed},
		}, m)
		fleet.members = append(fleet.members, m)
		fleet.running.Go(func() { m.group.Run(ctx) })
		if err := pause(ctx, startInterval); err != nil {
			fleet.stop()
			return nil, err
		}
	}
	return fleet, nil
}

// realAddr returns the loopback address of a member.
func realAddr(i int, port uint16) netip.AddrPort {
	const network, perSubnet = 84, 250
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, byte(i / perSubnet), byte(i%perSubnet) + 1}), port)
}

// freePort returns a port that is free at the first member's address.
func freePort(ctx context.Context) (uint16, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", netip.AddrPortFrom(realAddr(0, 0).Addr(), 0).String())
	if err != nil {
		return 0, err
	}
	port := uint16(l.Addr().(*net.TCPAddr).Port)
	return port, l.Close()
}

func (f *realFleet) stop() {
	f.cancel()
	f.running.Wait()
}

// awaitMembership waits until every member sees all members alive.
func (f *realFleet) awaitMembership(ctx context.Context) error {
	all := len(f.members) * len(f.members)
	for until := time.Now().Add(membershipTimeout); ; {
		seen := 0
		for _, m := range f.members {
			seen += m.group.AliveCount()
		}
		if seen == all {
			return nil
		}
		if time.Now().After(until) {
			percent := 100 * float64(seen) / float64(all)
			return &Error{
				Where:  "members-real",
				What:   fmt.Sprintf("%d engines saw only %.1f %% of each other as alive after %v", len(f.members), percent, membershipTimeout),
				Remedy: "run it when the machine is less busy, or use fewer members",
			}
		}
		if err := pause(ctx, membershipPollInterval); err != nil {
			return err
		}
	}
}

// pause waits for a time or until ctx ends, whose error it returns.
func pause(ctx context.Context, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// publishRecords makes each member publish a record at the interval of a fleet of this size, until ctx ends.
func (f *realFleet) publishRecords(ctx context.Context, recordBytes int, seed uint64) {
	random := simulation.RandomSource(seed, "real members", len(f.members))
	interval := recordIntervalOf(len(f.members))
	var next []time.Time
	for range f.members {
		next = append(next, time.Now().Add(time.Duration(random.Float64()*float64(interval))))
	}
	for sequence := uint64(1); pause(ctx, publishPollInterval) == nil; {
		for i, m := range f.members {
			if time.Now().Before(next[i]) {
				continue
			}
			next[i] = next[i].Add(interval)
			message := make([]byte, recordBytes)
			binary.BigEndian.PutUint32(message, uint32(i))
			binary.BigEndian.PutUint64(message[4:], sequence)
			sequence++
			m.group.Publish(memberName(i), message)
		}
	}
}

// realMembersSweep compares the model with real engines in this process, which send on loopback. They are measured for the
// duration in the key length, rounded up by fullExchangeCycles.
func realMembersSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	length, err := time.ParseDuration(s.Length)
	if err != nil {
		return nil, nil, &Error{Where: "length", What: "not a duration", Remedy: `set a duration such as "20s"`, Err: err}
	}
	counter := installSentCounter()
	defer func() { _, _ = metrics.NewGlobal(metrics.DefaultConfig(""), &metrics.BlackholeSink{}) }() // can't fail: the default configuration is valid
	previous := slog.Default()
	slog.SetDefault(slog.New(&counter.departures)) // engines log each arrival and departure
	defer slog.SetDefault(previous)
	measurements := newControlMeasurements(s, roleMembership)
	return measurements.forEachSize(progress, func(size int) error {
		return measurements.measureRealEngines(ctx, counter, size, length)
	})
}

// checkRealMembers rejects more real engines than one process can run.
func checkRealMembers(s Settings) (key, problem string) {
	if s.Sizes[len(s.Sizes)-1] <= maxRealMembers {
		return "", ""
	}
	return keySizes, fmt.Sprintf("want at most %d real members; the sweep \"members\" has no such limit", maxRealMembers)
}

// installSentCounter installs a counter as the global metrics sink, to which memberlist reports.
func installSentCounter() *sentCounter {
	counter := &sentCounter{departures: stateCounter{Handler: slog.NewTextHandler(io.Discard, nil), state: membership.Gone}}
	config := metrics.DefaultConfig("")
	config.EnableHostname = false
	config.EnableRuntimeMetrics = false
	if _, err := metrics.NewGlobal(config, counter); err != nil {
		panic(err) // the options are valid
	}
	return counter
}

// measureRealEngines measures real engines at one size and compares the figures with the model's.
func (m *controlMeasurements) measureRealEngines(ctx context.Context, counter *sentCounter, size int, length time.Duration) error {
	recordBytes, err := recordBytesOf(realRecordReports)
	if err != nil {
		return err
	}
	before := liveMemory()
	fleet, err := startRealFleet(ctx, size, recordBytes)
	if err != nil {
		return err
	}
	defer fleet.stop()
	if err := fleet.awaitMembership(ctx); err != nil {
		return err
	}
	publishing, end := context.WithCancel(ctx)
	var publisher sync.WaitGroup
	publisher.Go(func() { fleet.publishRecords(publishing, recordBytes, m.settings.Seed) })
	defer publisher.Wait()
	defer end()
	if err := pause(ctx, gossipSettlingTime); err != nil {
		return err
	}
	from, began := counter.totals(), time.Now()
	if err := pause(ctx, fullExchangeCycles(size, length)); err != nil {
		return err
	}
	to, took := counter.totals(), time.Since(began)
	model, err := simulateGossip(ctx, gossipRun{members: size, recordBytes: recordBytes, seed: m.settings.Seed})
	if err != nil {
		return err
	}
	memberSeconds := took.Seconds() * float64(size)
	datagrams := to.datagrams - from.datagrams
	datagramBytes := to.datagramBytes - from.datagramBytes + datagrams*(datagramHeaders+labelHeader+float64(len(fleetLabel)))
	m.compareWithModel("datagram-bytes-out", "sent by a member in datagrams, headers too", unitBytesPerSecond, size,
		datagramBytes/memberSeconds, model.totalBytes())
	m.compareWithModel("datagrams-out", "datagrams sent by a member", unitPerSecond, size,
		datagrams/memberSeconds, model.gossipDatagrams+model.probeDatagrams)
	message := len(exchangeMessage(size)) + fullStateBytes(size, recordBytes)
	m.compareWithModel("stream-bytes-out", "sent by a member in exchanges, without headers", unitBytesPerSecond, size,
		(to.streamBytes-from.streamBytes)/memberSeconds, 2*float64(message)/exchangeInterval(size).Seconds())
	m.add(seriesKind{
		name: "taken-as-gone", unit: unitPerSecond, origin: Measured,
		quantity: "times that a real engine declares a live member dead: the machine was too busy to answer in time",
	}, size, (to.departures-from.departures)/memberSeconds)
	m.add(seriesKind{
		name: "engine-processor", unit: unitCorePart, origin: Measured,
		quantity: "processor time of a real engine, this process shared by all",
	}, size, (to.processor-from.processor).Seconds()/memberSeconds)
	m.add(seriesKind{
		name: "engine-memory", unit: unitBytes, origin: Measured,
		quantity: "held by a real engine and the stand-in for its balancer",
	}, size, float64(liveMemory()-before)/float64(size))
	return nil
}

// fullExchangeCycles rounds length up to whole exchange intervals. Members that started together start their exchanges
// within the same few seconds of each interval, so a fraction of an interval has more or fewer exchanges than the mean.
func fullExchangeCycles(size int, length time.Duration) time.Duration {
	interval := exchangeInterval(size)
	return (length + interval - 1) / interval * interval
}

// compareWithModel adds a quantity of the real engines and of the model, and checks that they agree.
func (m *controlMeasurements) compareWithModel(name, quantity, unit string, size int, measured, model float64) {
	m.add(seriesKind{name: name, quantity: quantity + ", real engines", unit: unit, origin: Measured}, size, measured)
	m.add(seriesKind{
		name: name + "-of-model", unit: unit, origin: Simulated, counted: true,
		quantity: quantity + ", the model",
	}, size, model)
	deviation := model/measured - 1
	m.checks = append(m.checks, Check{
		Name:   fmt.Sprintf("%s at %d members: the model is within 20 %%", name, size),
		Passed: deviation < modelTolerance && deviation > -modelTolerance,
		Detail: fmt.Sprintf("real %.0f, model %.0f, %+.0f %%", measured, model, 100*deviation),
	})
}
