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
	mostRealMembers  = 200
	realRecordSights = 4
	meetWithin       = 3 * time.Minute // on a busy machine engines suspect each other meanwhile
	startPace        = 25 * time.Millisecond
	settleFor        = 15 * time.Second // those who joined pass on all that they heard of
	lookForMeeting   = 100 * time.Millisecond
	paceOfTelling    = 10 * time.Millisecond
	modelWithin      = 0.2 // of the measured figure
	realFleetLabel   = fleetLabel
)

// sentCounter counts what all engines of this process send, as memberlist itself counts it: without headers and label.
type sentCounter struct {
	metrics.BlackholeSink
	datagrams, datagramBytes, streamBytes atomic.Int64
	gone                                  goneCounter
}

// IncrCounterWithLabels takes memberlist's count of one message that was sent.
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

// goneCounter is a log that counts how often an engine takes a member as gone, and drops all else.
type goneCounter struct {
	slog.Handler
	count atomic.Int64
}

// Handle takes a line of an engine.
func (c *goneCounter) Handle(_ context.Context, line slog.Record) error {
	line.Attrs(func(a slog.Attr) bool {
		if line.Message == "member" && a.Key == "is" && a.Value.String() == string(membership.Gone) {
			c.count.Add(1)
		}
		return true
	})
	return nil
}

// sentFigures are what was sent up to an instant, and the processor time.
type sentFigures struct {
	datagrams, datagramBytes, streamBytes, gone float64
	processor                                   time.Duration
}

func (c *sentCounter) figures() sentFigures {
	return sentFigures{float64(c.datagrams.Load()), float64(c.datagramBytes.Load()), float64(c.streamBytes.Load()), float64(c.gone.count.Load()), processorTime()}
}

// realMember is one real engine and, in place of its balancer, what passes records on as a balancer does.
type realMember struct {
	number int
	group  *engine.Group
	whole  []byte

	mu     sync.Mutex
	latest map[uint32]uint64
}

const recordHead = 12 // origin and sequence

// OnMessage passes on what is news.
func (m *realMember) OnMessage(message []byte) {
	if len(message) < recordHead {
		return
	}
	origin, sequence := binary.BigEndian.Uint32(message), binary.BigEndian.Uint64(message[4:])
	m.mu.Lock()
	news := sequence > m.latest[origin]
	if news {
		m.latest[origin] = sequence
	}
	m.mu.Unlock()
	if news && int(origin) != m.number {
		m.group.Publish(memberName(int(origin)), message)
	}
}

func (m *realMember) FullState() []byte         { return m.whole }
func (m *realMember) OnRemoteState([]byte)      {}
func (m *realMember) OnSuspended(time.Duration) {}

// realFleet is many real engines in this process.
type realFleet struct {
	members []*realMember
	end     context.CancelFunc
	parts   sync.WaitGroup
}

func startRealFleet(parent context.Context, count, recordBytes int) (*realFleet, error) {
	port, err := freePort(parent)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(parent)
	fleet := &realFleet{end: cancel}
	seed := realAddr(0, port).String()
	for i := range count {
		m := &realMember{number: i, whole: make([]byte, recordsBytes(count, recordBytes)), latest: map[uint32]uint64{}}
		at := realAddr(i, port)
		m.group = engine.New(membership.Instance{Name: membership.Name(memberName(i)), Label: realFleetLabel, Bind: at, Advertise: at, Seeds: []string{seed}}, m)
		fleet.members = append(fleet.members, m)
		fleet.parts.Go(func() { m.group.Run(ctx) })
		if err := pause(ctx, startPace); err != nil {
			fleet.stop()
			return nil, err
		}
	}
	return fleet, nil
}

// realAddr is a loopback address of each member's own.
func realAddr(i int, port uint16) netip.AddrPort {
	const network, perLine = 84, 250
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, byte(i / perLine), byte(i%perLine) + 1}), port)
}

// freePort is a port that nobody has at the first address.
func freePort(ctx context.Context) (uint16, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", netip.AddrPortFrom(realAddr(0, 0).Addr(), 0).String())
	if err != nil {
		return 0, err
	}
	port := uint16(l.Addr().(*net.TCPAddr).Port)
	return port, l.Close()
}

func (f *realFleet) stop() {
	f.end()
	f.parts.Wait()
}

// meet waits until each sees all.
func (f *realFleet) meet(ctx context.Context) error {
	all := len(f.members) * len(f.members)
	for until := time.Now().Add(meetWithin); ; {
		seen := 0
		for _, m := range f.members {
			seen += m.group.AliveCount()
		}
		if seen == all {
			return nil
		}
		if time.Now().After(until) {
			return &Error{Where: "members-real", What: fmt.Sprintf("%d engines see %.1f %% of each other after %v", len(f.members), 100*float64(seen)/float64(all), meetWithin),
				Remedy: "run it when the machine is less busy, or ask for fewer"}
		}
		if err := pause(ctx, lookForMeeting); err != nil {
			return err
		}
	}
}

// pause waits, or until ctx ends.
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

// tell has each member tell a record as often as a balancer in such a fleet does, until ctx ends.
func (f *realFleet) tell(ctx context.Context, recordBytes int, seed uint64) {
	chance := simulation.RandomSource(seed, "real members", len(f.members))
	rest := restOf(len(f.members))
	var next []time.Time
	for range f.members {
		next = append(next, time.Now().Add(time.Duration(chance.Float64()*float64(rest))))
	}
	for sequence := uint64(1); pause(ctx, paceOfTelling) == nil; {
		for i, m := range f.members {
			if time.Now().Before(next[i]) {
				continue
			}
			next[i] = next[i].Add(rest)
			message := make([]byte, recordBytes)
			binary.BigEndian.PutUint32(message, uint32(i))
			binary.BigEndian.PutUint64(message[4:], sequence)
			sequence++
			m.group.Publish(memberName(i), message)
		}
	}
}

// realSweep holds the model against real engines of this process: what all of them send on loopback, for so long.
func realSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	length, err := time.ParseDuration(s.Length)
	if err != nil {
		return nil, nil, &Error{Where: "length", What: "no time", Remedy: `give one such as "20s"`, Err: err}
	}
	counter := countSent()
	defer metrics.NewGlobal(metrics.DefaultConfig(""), &metrics.BlackholeSink{}) //nolint:errcheck // a sink that takes all
	was := slog.Default()
	slog.SetDefault(slog.New(&counter.gone)) // engines log each member that comes or goes
	defer slog.SetDefault(was)
	book := newControlBook(s, roleMembership)
	for i, size := range s.Sizes {
		if err := book.real(ctx, counter, size, length); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(s.Sizes))
	}
	return book.all(), book.checks, nil
}

// fewRealMembers refuses more real engines than one process bears.
func fewRealMembers(s Settings) (key, fault string) {
	if s.Sizes[len(s.Sizes)-1] <= mostRealMembers {
		return "", ""
	}
	return bySize, fmt.Sprintf("want %d real members at the most; the sweep members has no such bound", mostRealMembers)
}

func countSent() *sentCounter {
	counter := &sentCounter{gone: goneCounter{Handler: slog.NewTextHandler(io.Discard, nil)}}
	config := metrics.DefaultConfig("")
	config.EnableHostname, config.EnableRuntimeMetrics = false, false
	if _, err := metrics.NewGlobal(config, counter); err != nil {
		panic(err) // the options are sound
	}
	return counter
}

// real measures one size, and the model at the same.
func (b *controlBook) real(ctx context.Context, counter *sentCounter, size int, length time.Duration) error {
	recordBytes, err := recordBytesOf(realRecordSights)
	if err != nil {
		return err
	}
	before := liveMemory()
	fleet, err := startRealFleet(ctx, size, recordBytes)
	if err != nil {
		return err
	}
	defer fleet.stop()
	if err := fleet.meet(ctx); err != nil {
		return err
	}
	telling, end := context.WithCancel(ctx)
	var teller sync.WaitGroup
	teller.Go(func() { fleet.tell(telling, recordBytes, b.settings.Seed) })
	defer teller.Wait()
	defer end()
	if err := pause(ctx, settleFor); err != nil {
		return err
	}
	from, began := counter.figures(), time.Now()
	if err := pause(ctx, fullExchanges(size, length)); err != nil {
		return err
	}
	to, took := counter.figures(), time.Since(began)
	model, err := playGossip(ctx, gossipRun{members: size, recordBytes: recordBytes, seed: b.settings.Seed})
	if err != nil {
		return err
	}
	per := took.Seconds() * float64(size)
	b.against("datagram-bytes-out", "sent by a member in datagrams, headers too", unitBytesSecond, size,
		(to.datagramBytes-from.datagramBytes+(to.datagrams-from.datagrams)*(datagramHeaders+labelHeader+float64(len(fleetLabel))))/per, model.bytes())
	b.against("datagrams-out", "datagrams sent by a member", unitPerSecond, size, (to.datagrams-from.datagrams)/per, model.recordDatagrams+model.probeDatagrams)
	message := len(exchangeMessage(size)) + recordsBytes(size, recordBytes)
	b.against("stream-bytes-out", "sent by a member in exchanges, without headers", unitBytesSecond, size,
		(to.streamBytes-from.streamBytes)/per, 2*float64(message)/exchangeInterval(size).Seconds())
	b.add("taken-as-gone", "times that a real engine takes a living member as gone: the machine was too busy to answer in time", unitPerSecond, Measured, false, size, (to.gone-from.gone)/per)
	b.add("engine-processor", "processor time of a real engine, this process shared by all", unitCorePart, Measured, false, size, (to.processor-from.processor).Seconds()/per)
	b.add("engine-memory", "held by a real engine and its stand-in", unitBytes, Measured, false, size, float64(liveMemory()-before)/float64(size))
	return nil
}

// fullExchanges is the shortest time from length on in which each member begins equally many exchanges: all that began
// together exchange in the same few seconds of an interval.
func fullExchanges(size int, length time.Duration) time.Duration {
	interval := exchangeInterval(size)
	return (length + interval - 1) / interval * interval
}

// against notes a quantity measured and of the model, and whether they agree.
func (b *controlBook) against(name, quantity, unit string, size int, measured, model float64) {
	b.add(name, quantity+", real engines", unit, Measured, false, size, measured)
	b.add(name+"-of-model", quantity+", the model", unit, Simulated, true, size, model)
	off := model/measured - 1
	b.checks = append(b.checks, Check{Name: fmt.Sprintf("%s at %d members: the model is within 20 %%", name, size),
		Held: off < modelWithin && off > -modelWithin, Detail: fmt.Sprintf("real %.0f, model %.0f, %+.0f %%", measured, model, 100*off)})
}
