// Package daemon is the balancer as a process: one object that goes from loading to stopped.
package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"yardwinch/internal/config"
	"yardwinch/internal/explain"
	"yardwinch/internal/protocol"
	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	// After the signal to stop the platform waits for the longest time that a client waits, this at the most, and
	// a little more.
	longestDrain = 3 * time.Second
	drainBeyond  = 700 * time.Millisecond
	stopBefore   = 450 * time.Millisecond // so much earlier all clients have been asked to move
	exitBefore   = 150 * time.Millisecond // and so much earlier nothing is held
	stillSentTo  = 400 * time.Millisecond // after the signal, new connections come for that long at the most

	memoryShare = 0.75                    // of the limit is the collector's goal: stacks and the kernel's part come on top
	emptyIn     = 2600 * time.Millisecond // after the call to go out of service all clients have been asked to move: 4 s are allowed
	noMoreSent  = time.Second             // after it nobody is sent here any more, with some slack
	emptyCheck  = 50 * time.Millisecond
	heldCheck   = 5 * time.Millisecond
	drainAtOnce = 50 * time.Millisecond
)

// Daemon is one balancer.
type Daemon struct {
	mu      sync.Mutex // guards the phase and what ends with it
	phase   phase
	leave   context.CancelFunc
	inPhase context.Context // ends with the phase
	since   time.Time       // when it was told to go out of service; zero: it is in service
	ctx     context.Context // of all that runs
	parts   sync.WaitGroup
	up      chan struct{} // closed once this process serves
	handoverLinks

	router    *routing.Router
	front     *protocol.Frontend
	discovery *protocol.Discovery
	listener  *transport.PausableListener
	control   net.Listener
	room      *transport.DescriptorBudget

	path        string
	options     string // the operators' own file; empty: none
	own         *config.Options
	explainer   net.Listener
	env         func(string) string
	told        config.Values // as of the start: what needs a restart still holds
	listen      string
	calls       string // the staff's address
	agent       string // discovery's address
	known       error  // what was wrong with the list as last held
	cores       int
	memory      int64
	descriptors int
	peers       *peers // nil: nothing passes between balancers
	probing     bool
	handshake   time.Duration
	longest     time.Duration
}

// goal sets what the collector aims at, by how many processes share the limit.
func (p *Daemon) goal(processes int64) {
	debug.SetMemoryLimit(int64(float64(p.memory)*memoryShare) / processes)
}

var errToldToEnd = errors.New("told to end before it served")

// ErrConfiguration marks what can't be served as it is told.
var ErrConfiguration = errors.New("the configuration can't be served")

// Run is the process from its start to its end: SIGTERM and SIGINT end it in order, SIGHUP has the configuration read
// anew.
func Run(path, options string, env func(string) string) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	again := make(chan os.Signal, 1)     // one that waits stands for all that came meanwhile
	signal.Notify(again, syscall.SIGHUP) // to the very end: the process must not die of one that comes as it ends in order
	p, err := Load(path, options, env)
	if err != nil {
		return fault{err}
	}
	return p.Serve(stop, again)
}

// fault is said as it is and known by its mark.
type fault struct{ error }

func (f fault) Is(target error) bool { return target == ErrConfiguration }
func (f fault) Unwrap() error        { return f.error }

// Serve runs until stop ends, then answers and moves all clients, and returns when nothing is held. Each word of again
// has the configuration read anew.
func (p *Daemon) Serve(stop context.Context, again <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx = ctx
	parts := &p.parts
	held := false
	defer func() {
		p.turn(stopped) // nothing begins any more
		cancel()
		if !held { // else the end of the process is the end of what is left: it must come in time
			parts.Wait()
		}
	}()
	starting, begun := context.WithCancel(ctx)
	defer begun()
	defer context.AfterFunc(stop, begun)()
	opening, opened := context.WithTimeout(starting, openTimeout)
	defer opened()
	err := p.openControl(ctx, opening)
	if err == nil {
		err = p.begin(ctx, starting, opening)
	}
	switch {
	case err != nil && starting.Err() != nil:
		return nil // told to end before it served
	case err != nil:
		return err
	}
	parts.Go(func() {
		for p.router.Tick(ctx) == nil {
		}
	})
	parts.Go(func() { p.discovery.Run(ctx) })
	parts.Go(func() { p.reloads(ctx, again) })
	if p.explainer != nil {
		parts.Go(func() { explain.Serve(ctx, p.explainer, p.router, p.stands, p.peers.asked()) })
	}
	if p.peers != nil {
		parts.Go(func() { p.peers.run(ctx) })
	}
	if p.probing {
		parts.Go(func() { protocol.RunHealthChecks(ctx, p.router, p.handshake) })
	}
	accepting, refuse := context.WithCancel(ctx)
	defer refuse()
	listening := make(chan error, 1)
	parts.Go(func() {
		err := transport.Serve(accepting, p.listener, p.room, p.front.Serve)
		for p.front.ConnectionCount() > 0 && ctx.Err() == nil { // what was taken over from another process was never accepted here
			time.Sleep(heldCheck)
		}
		listening <- err
	})
	p.startServing(ctx, starting)
	select {
	case err := <-listening:
		return err
	case <-stop.Done():
	}
	handed := p.is() == handing
	p.turn(draining)
	all := min(p.longest, longestDrain) + drainBeyond
	drain, done := context.WithTimeout(ctx, all-exitBefore)
	defer done()
	over := all - stopBefore - exitBefore
	after := min(stillSentTo, over/3)
	if handed { // nobody is sent here, nothing waits in a queue of ours, and those that stand may still be passed on
		refuse()
	}
	parts.Go(func() { p.front.Drain(drain, after, over) })
	// New connections are taken until all that come have been: the front goes on sending for a while, however short a client's wait is.
	late := time.AfterFunc(max(all-stopBefore, stillSentTo+drainAtOnce), func() { refuse(); p.front.Stop() })
	defer late.Stop()
	select {
	case err := <-listening: // all that was held has ended
		return err
	case <-drain.Done():
	}
	held = true
	if p.room.Unanswered() == 0 {
		return nil // all have had their last word; some may not have read it yet
	}
	return errHeld
}

var errHeld = errors.New("connections were still held at the end of the drain")
