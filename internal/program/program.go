// Package program is the balancer as a process: one object that goes from loading to stopped.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/protocol"
	"yardwinch/internal/routing"
	"yardwinch/internal/setup"
	"yardwinch/internal/transport"
)

// phase names where the program stands.
type phase string

const (
	loading  phase = "loading"
	serving  phase = "serving"
	draining phase = "draining"
	stopped  phase = "stopped"
)

const (
	// After the signal to stop the platform waits for the longest time that a client waits, this at the most, and
	// a little more.
	longestDrain = 3 * time.Second
	drainBeyond  = 700 * time.Millisecond
	stopBefore   = 450 * time.Millisecond // so much earlier all clients have been asked to move
	exitBefore   = 150 * time.Millisecond // and so much earlier nothing is held

	memoryShare = 0.75 // of the limit is the collector's goal: stacks and the kernel's part come on top
	ownUse      = 64   // descriptors kept for listening, discovery, peers, probes, refusals and the runtime
)

// Program is one balancer.
type Program struct {
	phase phase

	router    *routing.Router
	front     *protocol.Front
	discovery *protocol.Discovery
	peers     *protocol.Peers
	listener  net.Listener
	slots     *transport.Descriptors
	probing   bool
	longest   time.Duration
}

func (p *Program) turn(to phase) {
	p.phase = to
	slog.Info("phase", "is", string(to))
}

// Load takes what the balancer is told and opens its sockets. A fault of the configuration names its key.
func Load(path string, env func(string) string) (*Program, error) {
	p := &Program{}
	p.turn(loading)
	g, known, err := setup.Open(path, env)
	if err != nil {
		return nil, err
	}
	s := g.Settings()
	cores, memory, descriptors := setup.Limits(g)
	listen, discovery := g.Addr("listen"), g.Addr("discovery")
	seed, handshake := setup.Seed(g), setup.Handshake(s)
	p.longest, p.probing = setup.LongestWait(s), setup.Probing(s)
	peerListen, others, everyone, self := setup.Peers(g)
	p.router = router(seed, s)
	if err := g.Fault(); err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(cores)
	debug.SetMemoryLimit(int64(float64(memory) * memoryShare))
	p.discovery = protocol.NewDiscovery(p.router, discovery)
	if err := p.discovery.Known(known); err != nil {
		slog.Warn("known list not taken", "error", err) // discovery brings a better one
	}
	p.front = protocol.NewFront(p.router, handshake)
	p.slots = transport.NewDescriptors(descriptors - min(ownUse, descriptors/4))
	if peerListen != "" {
		if p.peers, err = protocol.ListenPeers(p.router, peerListen, others, everyone, self); err != nil {
			return nil, err
		}
	}
	if p.listener, err = net.Listen("tcp", listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return p, nil
}

// Check tells whether a configuration can be served, without opening a socket.
func Check(path string, env func(string) string) error {
	g, known, err := setup.Open(path, env)
	if err != nil {
		return err
	}
	s := g.Settings()
	setup.Limits(g)
	setup.Seed(g)
	setup.Handshake(s)
	setup.LongestWait(s)
	setup.Peers(g)
	g.Addr("listen")
	g.Addr("discovery")
	r := router(0, s)
	if err := g.Fault(); err != nil {
		return err
	}
	if err := protocol.NewDiscovery(r, "").Known(known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// Serve runs until stop ends, then answers and moves all clients, and returns when nothing is held.
func (p *Program) Serve(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	parts.Go(func() {
		for p.router.Tick(ctx) == nil {
		}
	})
	parts.Go(func() { p.discovery.Run(ctx) })
	if p.peers != nil {
		parts.Go(func() { p.peers.Send(ctx) })
		parts.Go(p.peers.Receive)
	}
	if p.probing {
		parts.Go(func() { protocol.Probe(ctx, p.router) })
	}
	accepting, refuse := context.WithCancel(ctx)
	defer refuse()
	listening := make(chan error, 1)
	parts.Go(func() { listening <- transport.Listen(accepting, p.listener, p.slots, p.front.Serve, p.front.Refuse) })
	p.turn(serving)
	select {
	case err := <-listening:
		return err
	case <-stop.Done():
	}
	p.turn(draining)
	all := min(p.longest, longestDrain) + drainBeyond
	drain, done := context.WithTimeout(ctx, all-exitBefore)
	defer done()
	parts.Go(func() { p.front.Drain(drain, all-stopBefore-exitBefore) })
	// New connections are taken until all that come have been: the front goes on sending for a while.
	late := time.AfterFunc(all-stopBefore, func() { refuse(); p.front.Stop() })
	defer late.Stop()
	select {
	case err := <-listening: // all that was held has ended
		p.turn(stopped)
		return err
	case <-drain.Done():
	}
	p.turn(stopped)
	return errHeld
}

var errHeld = fmt.Errorf("connections were still held at the end of the drain")

func router(seed uint64, s setup.Given) *routing.Router {
	tellLoad, tellLag := setup.Tellings(s)
	return routing.New(seed, setup.MessageTarget(s)/3, tellLoad, tellLag,
		func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			return setup.Start(s, b)
		})
}
