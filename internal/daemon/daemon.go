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
	maxShutdownDrain   = 3 * time.Second
	shutdownDrainSlack = 700 * time.Millisecond
	migrationMargin    = 450 * time.Millisecond // so much earlier all clients have been asked to move
	exitMargin         = 150 * time.Millisecond // and so much earlier nothing is held
	newClientsWindow   = 400 * time.Millisecond // after the signal, new connections come for that long at the most

	memoryGoalShare         = 0.75                    // of the limit is the collector's goal: stacks and the kernel's part come on top
	drainDuration           = 2600 * time.Millisecond // after the call to go out of service all clients have been asked to move: 4 s are allowed
	newClientsDeadline      = time.Second             // after it nobody is sent here any more, with some slack
	drainedCheckInterval    = 50 * time.Millisecond
	connectionCheckInterval = 5 * time.Millisecond
	minDrainSpread          = 50 * time.Millisecond
)

// Daemon is one balancer.
type Daemon struct {
	mu            sync.Mutex // guards the phase and what ends with it
	phase         phase
	leave         context.CancelFunc
	inPhase       context.Context // ends with the phase
	drainingSince time.Time       // when it was told to go out of service; zero: it is in service
	ctx           context.Context // of all that runs
	goroutines    sync.WaitGroup
	started       chan struct{} // closed once this process serves
	handoverLinks

	router           *routing.Router
	frontend         *protocol.Frontend
	discovery        *protocol.Discovery
	listener         *transport.PausableListener
	adminListener    net.Listener
	descriptorBudget *transport.DescriptorBudget

	configPath       string
	optionsPath      string // the operators' own file; empty: none
	options          *config.Options
	explainer        net.Listener
	environment      func(string) string
	values           config.Values // as of the start: what needs a restart still holds
	listenAddress    string
	adminAddress     string // the staff's address
	discoveryAddress string // discovery's address
	cachedListError  error  // what was wrong with the list as last held
	cores            int
	memoryLimit      int64
	descriptorLimit  int
	gossip           *gossip // nil: nothing passes between balancers
	healthChecks     bool
	connectTimeout   time.Duration
	maxClientTimeout time.Duration
}

// setMemoryGoal sets what the collector aims at, by how many processes share the limit.
func (p *Daemon) setMemoryGoal(processes int64) {
	debug.SetMemoryLimit(int64(float64(p.memoryLimit)*memoryGoalShare) / processes)
}

var errStoppedBeforeServing = errors.New("told to end before it served")

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
		return configurationError{err}
	}
	return p.Serve(stop, again)
}

// configurationError is said as it is and known by its mark.
type configurationError struct{ error }

func (f configurationError) Is(target error) bool { return target == ErrConfiguration }
func (f configurationError) Unwrap() error        { return f.error }

// Serve runs until stop ends, then answers and moves all clients, and returns when nothing is held. Each word of again
// has the configuration read anew.
func (p *Daemon) Serve(stop context.Context, again <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx = ctx
	parts := &p.goroutines
	held := false
	defer func() {
		p.transition(stopped) // nothing begins any more
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
	parts.Go(func() { p.watchReloads(ctx, again) })
	if p.explainer != nil {
		parts.Go(func() { explain.Serve(ctx, p.explainer, p.router, p.processState, p.gossip.membersView()) })
	}
	if p.gossip != nil {
		parts.Go(func() { p.gossip.run(ctx) })
	}
	if p.healthChecks {
		parts.Go(func() { protocol.RunHealthChecks(ctx, p.router, p.connectTimeout) })
	}
	accepting, refuse := context.WithCancel(ctx)
	defer refuse()
	listening := make(chan error, 1)
	parts.Go(func() {
		err := transport.Serve(accepting, p.listener, p.descriptorBudget, p.frontend.Serve)
		for p.frontend.ConnectionCount() > 0 && ctx.Err() == nil { // what was taken over from another process was never accepted here
			time.Sleep(connectionCheckInterval)
		}
		listening <- err
	})
	p.startServing(ctx, starting)
	select {
	case err := <-listening:
		return err
	case <-stop.Done():
	}
	handed := p.currentPhase() == handingOver
	p.transition(shuttingDown)
	all := min(p.maxClientTimeout, maxShutdownDrain) + shutdownDrainSlack
	drain, done := context.WithTimeout(ctx, all-exitMargin)
	defer done()
	over := all - migrationMargin - exitMargin
	after := min(newClientsWindow, over/3)
	if handed { // nobody is sent here, nothing waits in a queue of ours, and those that stand may still be passed on
		refuse()
	}
	parts.Go(func() { p.frontend.Drain(drain, after, over) })
	// New connections are taken until all that come have been: the front goes on sending for a while, however short a client's wait is.
	late := time.AfterFunc(max(all-migrationMargin, newClientsWindow+minDrainSpread), func() { refuse(); p.frontend.Stop() })
	defer late.Stop()
	select {
	case err := <-listening: // all that was held has ended
		return err
	case <-drain.Done():
	}
	held = true
	if p.descriptorBudget.Unanswered() == 0 {
		return nil // all have had their last word; some may not have read it yet
	}
	return errConnectionsRemain
}

var errConnectionsRemain = errors.New("connections were still held at the end of the drain")
