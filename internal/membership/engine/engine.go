// Package engine is the gossip engine (hashicorp/memberlist) in a process of its own, beside the balancer: what it links would cost every
// balancer 4.5 MB at rest, also those that have no peers, and whatever a datagram does to it can't end a balancer.
package engine

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"

	"yardwinch/internal/membership"
)

// Subscriber is the balancer's side. It is called from the engine's goroutines and must not wait for anything.
type Subscriber interface {
	Hear(message []byte)
	Whole() []byte // all that is known there, for a member that asks for it
	HearWhole(all []byte)
	Away(gap time.Duration) // this process stood still for so long
}

const (
	gossipEvery   = 200 * time.Millisecond // with packet and fanout this bounds what an instance sends: 3 × 1400 bytes each time
	gossipTo      = 3
	packet        = 1400
	probeEvery    = 500 * time.Millisecond
	probeWait     = 250 * time.Millisecond
	wholeEvery    = 10 * time.Second
	beat          = 250 * time.Millisecond
	stoodStill    = 1500 * time.Millisecond // a beat that comes so late: the process was frozen, or the machine was
	firstRetry    = time.Second
	longestRetry  = 15 * time.Second
	leaveWithin   = 300 * time.Millisecond
	goneKept      = 1000 // names of members that are gone
	streamTimeout = 2 * time.Second
	refuteWithin  = time.Second            // a member that is called gone and lives says so by then
	reclaim       = 500 * time.Millisecond // after which a name that is gone may come back at another address
)

// Group is this instance among the members.
type Group struct {
	name      membership.Name
	label     string
	bind      netip.AddrPort
	advertise netip.AddrPort
	seeds     []string
	tell      Subscriber
	start     time.Time

	mu    sync.Mutex
	list  *memberlist.Memberlist // nil until the address is bound
	queue *memberlist.TransmitLimitedQueue
	seen  map[membership.Name]*seen
	quiet quiet

	leaving, silent bool
}

type seen struct {
	addr   string
	state  membership.State
	at     time.Duration
	before time.Duration // of the state before
}

// New makes a member that speaks from bind, tells others advertise and begins by asking the seeds. Members of other labels are not
// heard. Nothing is opened before Run.
func New(name membership.Name, label string, bind, advertise netip.AddrPort, seeds []string, tell Subscriber) *Group {
	return &Group{name: name, label: label, bind: bind, advertise: advertise, seeds: seeds, tell: tell, start: time.Now(),
		seen: map[membership.Name]*seen{}, quiet: quiet{kinds: map[string]*told{}}}
}

// Run is the member from its start to its end, when it says that it leaves. An address that is taken is tried again: the process before
// this one may still have it.
func (g *Group) Run(ctx context.Context) {
	if !g.open(ctx) {
		return
	}
	defer g.close()
	slog.Info("peers", "name", g.name, "bind", g.bind, "told", g.advertise, "seeds", g.seeds)
	again := retries()
	next, said := time.Now(), false
	last := time.Now()
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		if now := time.Now(); !now.Before(next) && g.lonely() {
			if err := g.join(); err != nil && !said {
				said = true
				e := &membership.Error{Where: "peers", What: "none of the seeds answers; serving alone and asking on", Remedy: "check peers.seeds, that the others run, and that UDP and TCP of their ports are open here", Err: oneLine(err)}
				slog.Warn(e.Error(), "what helps", e.Advice())
			} else if err == nil {
				again, said = retries(), false
			}
			next = now.Add(again.NextBackOff())
			last = time.Now() // asking takes its time
		}
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if gap := now.Sub(last); gap > stoodStill {
				slog.Warn("this process stood still: what it held for all may be another's by now", "for", gap)
				g.tell.Away(gap)
				next = now // the others may have given it up
			}
			last = now
		}
	}
}

// oneLine is an error of many that would fill the log.
func oneLine(err error) error {
	return errors.New(strings.Join(strings.Fields(err.Error()), " "))
}

func retries() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, longestRetry
	return b
}

// open binds the address, and tries until it can or the context ends.
func (g *Group) open(ctx context.Context) bool {
	again, said := retries(), false
	for {
		err := g.create()
		if err == nil {
			return true
		}
		if !said {
			said = true
			e := &membership.Error{Where: "peers.bind", What: "no member yet, serving alone", Remedy: "while the process before this one runs this is usual; else see who has the address, or name another", Err: err}
			slog.Warn(e.Error(), "what helps", e.Advice())
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(again.NextBackOff()):
		}
	}
}

// abandon has the member go without a word when its context ends.
func (g *Group) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = true
}

func (g *Group) create() error {
	logger := log.New(&g.quiet, "", 0)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{g.bind.Addr().String()}, BindPort: int(g.bind.Port()), Logger: logger})
	if err != nil {
		return err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport, c.Logger = string(g.name), g.label, bound{t, g.bind.Addr()}, logger
	c.BindAddr, c.BindPort = g.bind.Addr().String(), int(g.bind.Port())
	c.AdvertiseAddr, c.AdvertisePort = g.advertise.Addr().String(), int(g.advertise.Port())
	c.GossipInterval, c.GossipNodes, c.UDPBufferSize = gossipEvery, gossipTo, packet
	c.ProbeInterval, c.ProbeTimeout, c.PushPullInterval, c.TCPTimeout = probeEvery, probeWait, wholeEvery, streamTimeout
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = 3, 3, 4
	c.DeadNodeReclaimTime, c.EnableCompression = reclaim, false
	d := delegate{g}
	c.Delegate, c.Events, c.Conflict = d, d, d
	list, err := memberlist.Create(c)
	if err != nil {
		return errors.Join(err, t.Shutdown())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = list
	g.queue = &memberlist.TransmitLimitedQueue{NumNodes: g.AliveCount, RetransmitMult: 3}
	return nil
}

func (g *Group) close() {
	g.mu.Lock()
	list, silent := g.list, g.silent
	g.leaving = !silent
	g.mu.Unlock()
	if silent {
		if err := list.Shutdown(); err != nil {
			slog.Debug("peers", "at the end", err)
		}
		return
	}
	if err := errors.Join(list.UpdateNode(leaveWithin), list.Leave(leaveWithin), list.Shutdown()); err != nil {
		slog.Debug("peers", "at the end", err)
	}
}

// lonely: nobody else is here, or somebody went without a word: then both may be halves of a fleet that was split.
func (g *Group) lonely() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	alive := 0
	for _, s := range g.seen {
		if s.state == membership.Gone {
			return true
		}
		if s.state == membership.Alive {
			alive++
		}
	}
	return alive <= 1 && len(g.seeds) > 0
}

// join asks the seeds while nobody is here, and later those that are gone.
func (g *Group) join() error {
	g.mu.Lock()
	list := g.list
	var ask []string
	alive := 0
	for _, name := range slices.Sorted(maps.Keys(g.seen)) {
		s := g.seen[name]
		if s.state == membership.Gone && len(ask) < gossipTo {
			ask = append(ask, s.addr)
		}
		if s.state == membership.Alive {
			alive++
		}
	}
	g.mu.Unlock()
	if alive <= 1 {
		ask = append(ask, g.seeds...)
	}
	n, err := list.Join(ask)
	if n > 0 || alive > 1 {
		return nil
	}
	return err
}

// AliveCount is how many are alive, this one too.
func (g *Group) AliveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.seen {
		if s.state == membership.Alive {
			n++
		}
	}
	return max(n, 1)
}

// Publish spreads a message; a later one of the same key takes the place of an earlier one that still waits.
func (g *Group) Publish(key string, message []byte) {
	g.mu.Lock()
	q := g.queue
	g.mu.Unlock()
	if q != nil {
		q.QueueBroadcast(&said{key, message})
	}
}

// Members is all members as they are seen now, by name.
func (g *Group) Members() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Since(g.start)
	var all []membership.Member
	for name, s := range g.seen {
		x := membership.Member{Name: name, Addr: s.addr, State: s.state, Since: now - s.at}
		if x.State == membership.Gone && x.Since < refuteWithin { // one who was cut off calls all others gone when it is back
			x.State, x.Since = membership.Alive, now-s.before
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b membership.Member) int { return compare(a.Name, b.Name) })
	return all
}

func compare(a, b membership.Name) int {
	if a < b {
		return -1
	}
	return 1
}

// Dropped counts what came and could not be taken, by kind.
func (g *Group) Dropped() map[string]int { return g.quiet.counts() }

// turn makes every change of how a member is seen.
func (g *Group) turn(n *memberlist.Node, to membership.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := membership.Name(n.Name)
	s := g.seen[name]
	if s == nil {
		if len(g.seen) >= goneKept {
			g.forget()
		}
		s = &seen{}
		g.seen[name] = s
	}
	if s.state != to {
		if now := time.Since(g.start); to == membership.Alive && s.state == membership.Gone && now-s.at < refuteWithin {
			s.at = s.before // it was never gone for whoever asks
		} else {
			s.before, s.at = s.at, now
		}
		s.state = to
		slog.Info("member", "name", name, "is", string(to))
	}
	s.addr = n.Address()
}

// forget drops the one that has been gone for longest, where too many are: how many are here is no bound.
func (g *Group) forget() {
	var oldest membership.Name
	gone := 0
	for name, s := range g.seen {
		if s.state == membership.Gone || s.state == membership.Left {
			if gone++; oldest == "" || s.at < g.seen[oldest].at {
				oldest = name
			}
		}
	}
	if gone >= goneKept {
		delete(g.seen, oldest)
	}
}

var (
	_ memberlist.Delegate           = delegate{}
	_ memberlist.EventDelegate      = delegate{}
	_ memberlist.ConflictDelegate   = delegate{}
	_ memberlist.NodeAwareTransport = bound{}
)
