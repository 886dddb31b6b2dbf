// Package engine is the gossip engine (hashicorp/memberlist) as a separate process beside the balancer: linked
// into the balancer it would cost 4.5 MB even where there are no peers, and a datagram that crashes it must not
// end the balancer.
package engine

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

// Subscriber is the balancer's side. It is called from the engine's goroutines and must not block.
type Subscriber interface {
	// OnMessage receives a message that another member published.
	OnMessage(message []byte)
	// FullState is what another member that asks for the full state is sent.
	FullState() []byte
	// OnRemoteState receives the full state of another member.
	OnRemoteState(state []byte)
	// OnSuspended says that this process was suspended for so long.
	OnSuspended(gap time.Duration)
}

// Settings of the gossip. Interval, fan-out and packet size bound what an instance sends.
const (
	gossipInterval    = 200 * time.Millisecond
	gossipFanout      = 3
	maxPacket         = 1400 // bytes
	probeInterval     = 500 * time.Millisecond
	probeTimeout      = 250 * time.Millisecond
	fullStateInterval = 10 * time.Second
	streamTimeout     = 2 * time.Second
	nameReclaimTime   = 500 * time.Millisecond // after which the name of a gone member may come back at another address

	// Multipliers, as memberlist defines them.
	suspicionMultiplier    = 3
	maxSuspicionMultiplier = 3
	maxAwarenessMultiplier = 4
	retransmitMultiplier   = 3 // of published messages; that of the library's own messages is its default
)

const (
	tickInterval = 250 * time.Millisecond
	// A tick that comes so late shows that the process or the machine was suspended.
	suspensionGap  = 1500 * time.Millisecond
	initialBackoff = time.Second // between attempts to open the address or to join
	maxBackoff     = 15 * time.Second
	leaveTimeout   = 300 * time.Millisecond
)

// Group is this instance among the members. Its methods may be called by several goroutines.
type Group struct {
	instance   membership.Instance
	subscriber Subscriber
	started    time.Time
	drops      membership.DropCounter

	mu       sync.Mutex
	list     *memberlist.Memberlist // nil until the address is open
	queue    *memberlist.TransmitLimitedQueue
	members  map[membership.Name]*member
	leaving  bool // this member has announced that it leaves
	silenced bool // this member goes without telling the others
}

// New makes an instance. Nothing is opened before Run.
func New(instance membership.Instance, subscriber Subscriber) *Group {
	return &Group{
		instance:   instance,
		subscriber: subscriber,
		started:    time.Now(),
		members:    map[membership.Name]*member{},
	}
}

// Run takes part in the membership until the context ends and the member has left.
func (g *Group) Run(ctx context.Context) {
	if !g.openWithRetries(ctx) {
		return
	}
	defer g.close()
	slog.Info("membership started", "member", g.instance.Name, "address", g.instance.Bind,
		"advertised", g.instance.Advertise, "seeds", g.instance.Seeds)
	introductions := &introducer{group: g}
	joins := joiner{group: g, introductions: introductions, nextAttempt: time.Now(), backoff: newBackoff()}
	lastTick := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if joins.attemptIfDue(time.Now()) || introductions.attemptNext(time.Now()) {
			lastTick = time.Now() // an exchange takes its time, which is no suspension
		}
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if gap := now.Sub(lastTick); gap > suspensionGap {
				slog.Warn("process was suspended; its leases may have passed to other balancers", "gap_ms", gap.Milliseconds())
				g.subscriber.OnSuspended(gap)
				joins.nextAttempt = now // the others may have given this member up
			}
			lastTick = now
		}
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

// openWithRetries opens the address, and retries until the context ends: the process before this one may still
// have the address. It reports whether the address is open.
func (g *Group) openWithRetries(ctx context.Context) bool {
	retries := newBackoff()
	for reported := false; ; reported = true {
		err := g.open()
		if err == nil {
			return true
		}
		if !reported {
			fault := &membership.Error{
				Where:  "peers.bind",
				What:   "no member yet, serving alone",
				Remedy: "while the process before this one runs this is usual; else see who has the address, or name another",
				Err:    err,
			}
			slog.Warn("membership not started", "error", fault, "advice", fault.Advice())
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retries.NextBackOff()):
		}
	}
}

// open opens the address and starts the gossip.
func (g *Group) open() error {
	logger := log.New(&logFilter{drops: &g.drops}, "", 0)
	bind := g.instance.Bind
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{bind.Addr().String()},
		BindPort:  int(bind.Port()),
		Logger:    logger,
	})
	if err != nil {
		return fmt.Errorf("listen on %v: %w", bind, err)
	}
	config := g.memberlistConfig(logger)
	config.Transport = boundTransport{NetTransport: transport, source: bind.Addr()}
	list, err := memberlist.Create(config)
	if err != nil {
		return errors.Join(fmt.Errorf("start the gossip: %w", err), transport.Shutdown())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = list
	g.queue = &memberlist.TransmitLimitedQueue{NumNodes: g.AliveCount, RetransmitMult: retransmitMultiplier}
	return nil
}

func (g *Group) memberlistConfig(logger *log.Logger) *memberlist.Config {
	config := memberlist.DefaultLANConfig()
	config.Name = string(g.instance.Name)
	config.Label = g.instance.Label
	config.Logger = logger
	config.BindAddr = g.instance.Bind.Addr().String()
	config.BindPort = int(g.instance.Bind.Port())
	config.AdvertiseAddr = g.instance.Advertise.Addr().String()
	config.AdvertisePort = int(g.instance.Advertise.Port())
	config.GossipInterval = gossipInterval
	config.GossipNodes = gossipFanout
	config.UDPBufferSize = maxPacket
	config.ProbeInterval = probeInterval
	config.ProbeTimeout = probeTimeout
	config.PushPullInterval = fullStateInterval
	config.TCPTimeout = streamTimeout
	config.SuspicionMult = suspicionMultiplier
	config.SuspicionMaxTimeoutMult = maxSuspicionMultiplier
	config.AwarenessMaxMultiplier = maxAwarenessMultiplier
	config.DeadNodeReclaimTime = nameReclaimTime
	config.EnableCompression = false
	config.Delegate = delegate{g}
	config.Events = delegate{g}
	config.Conflict = delegate{g}
	return config
}

// silence has the member go without telling the others when Run's context ends, as if the process were frozen.
func (g *Group) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silenced = true
}

// close ends the gossip; unless the member is silenced, it announces that it leaves.
func (g *Group) close() {
	g.mu.Lock()
	list := g.list
	silenced := g.silenced
	g.leaving = !silenced
	g.mu.Unlock()
	var err error
	if !silenced {
		// The update spreads that this member leaves: NodeMeta.
		err = errors.Join(list.UpdateNode(leaveTimeout), list.Leave(leaveTimeout))
	}
	if err = errors.Join(err, list.Shutdown()); err != nil {
		slog.Debug("membership ended with an error", "error", err)
	}
}

// Publish spreads a message to the other members; a later one of the same key replaces an earlier one that has not
// been sent yet.
func (g *Group) Publish(key string, message []byte) {
	g.mu.Lock()
	queue := g.queue
	g.mu.Unlock()
	if queue != nil {
		queue.QueueBroadcast(&broadcast{key: key, message: message})
	}
}

// Dropped is how much input was dropped, by kind.
func (g *Group) Dropped() map[string]int { return g.drops.Totals() }
