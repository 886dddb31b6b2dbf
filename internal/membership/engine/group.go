// Package engine runs the gossip library (hashicorp/memberlist) as a separate process next to the balancer. Linked
// into the balancer, the library would cost 4.5 MB even without peers, and a datagram that crashes it would crash the
// balancer too.
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

// Subscriber is the balancer to which a group reports, and which provides the full state. Its methods are called from
// several goroutines and must not block.
type Subscriber interface {
	// OnMessage receives a message that another member published.
	OnMessage(message []byte)
	// FullState returns the full state that is sent to another member on request.
	FullState() []byte
	// OnRemoteState receives the full state of another member.
	OnRemoteState(state []byte)
	// OnSuspended is called with the measured gap after this process was suspended, or with
	// membership.HeartbeatTimeout, the minimum, after the balancer was.
	OnSuspended(gap time.Duration)
}

// Gossip settings. Interval, fan-out and packet size bound the traffic that an instance sends.
const (
	gossipInterval    = 200 * time.Millisecond
	gossipFanout      = 3
	maxPacketBytes    = 1400
	probeInterval     = 500 * time.Millisecond
	probeTimeout      = 250 * time.Millisecond
	fullStateInterval = 10 * time.Second
	streamTimeout     = 2 * time.Second
	nameReclaimTime   = 500 * time.Millisecond // after which the name of a gone member may be used at another address

	// Multipliers, as memberlist defines them.
	suspicionMultiplier    = 3
	maxSuspicionMultiplier = 3
	maxAwarenessMultiplier = 4
	retransmitMultiplier   = 3 // of published messages; the library's own messages use its default
)

const (
	tickInterval = 250 * time.Millisecond
	// A longer gap between two ticks shows that the process or the machine was suspended.
	suspensionGap  = 1500 * time.Millisecond
	initialBackoff = time.Second // between attempts to open the address or to join
	maxBackoff     = 15 * time.Second
	leaveTimeout   = 300 * time.Millisecond
)

// Group is this instance's membership in the fleet. It is safe for concurrent use.
type Group struct {
	instance   membership.Instance
	subscriber Subscriber
	started    time.Time
	drops      membership.DropCounter

	mu        sync.Mutex
	list      *memberlist.Memberlist // nil until the address is open
	queue     *memberlist.TransmitLimitedQueue
	members   map[membership.Name]*member
	leaving   bool // this member announces that it leaves
	skipLeave bool // this member ends without announcing it
}

// New returns the group of an instance. Nothing is opened before Run.
func New(instance membership.Instance, subscriber Subscriber) *Group {
	return &Group{
		instance:   instance,
		subscriber: subscriber,
		started:    time.Now(),
		members:    map[membership.Name]*member{},
	}
}

// Run takes part in the membership until the context ends, and returns after the member has left.
func (g *Group) Run(ctx context.Context) {
	if !g.openWithRetries(ctx) {
		return
	}
	defer g.close()
	slog.Info("membership started", "member", g.instance.Name, "address", g.instance.Bind,
		"advertised", g.instance.Advertise, "seeds", g.instance.Seeds)
	joinSync := &postJoinSync{group: g}
	joins := joiner{group: g, sync: joinSync, nextAttempt: time.Now(), backoff: newBackoff()}
	lastTick := time.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if joins.attemptIfDue(time.Now()) || joinSync.syncNext(time.Now()) {
			lastTick = time.Now() // time spent in state exchanges doesn't count as a suspension
		}
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if gap := now.Sub(lastTick); gap > suspensionGap {
				slog.Warn("process was suspended; its leases may have passed to other balancers", "gap_ms", gap.Milliseconds())
				g.subscriber.OnSuspended(gap)
				joins.nextAttempt = now // other members may have declared this one gone
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

// openWithRetries opens the address. It retries until the context ends, as a predecessor may still use the address, and
// reports whether the address is open.
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
				Remedy: "expected while a predecessor is still running; otherwise find the process that uses the address, or configure another address",
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
	config.UDPBufferSize = maxPacketBytes
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

// disableLeave has Run return without announcing that the member leaves, as if the process were suspended.
func (g *Group) disableLeave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.skipLeave = true
}

// close ends the gossip. Before that it announces that the member leaves, unless disableLeave was called.
func (g *Group) close() {
	g.mu.Lock()
	list := g.list
	skipLeave := g.skipLeave
	g.leaving = !skipLeave
	g.mu.Unlock()
	var err error
	if !skipLeave {
		// The update broadcasts NodeMeta, which now says that this member leaves.
		err = errors.Join(list.UpdateNode(leaveTimeout), list.Leave(leaveTimeout))
	}
	if err = errors.Join(err, list.Shutdown()); err != nil {
		slog.Debug("membership ended with an error", "error", err)
	}
}

// Publish broadcasts a message to the other members. It replaces an earlier message of the same key that is still
// waiting to be sent.
func (g *Group) Publish(key string, message []byte) {
	g.mu.Lock()
	queue := g.queue
	g.mu.Unlock()
	if queue != nil {
		queue.QueueBroadcast(&broadcast{key: key, message: message})
	}
}

// Dropped returns the number of dropped inputs by kind.
func (g *Group) Dropped() map[string]int { return g.drops.Totals() }
