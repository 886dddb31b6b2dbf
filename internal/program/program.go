// Package program is the balancer as a process: one object that goes from loading to stopped.
package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/control"
	"yardwinch/internal/explain"
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
	emptying phase = "emptying" // told to go out of service: clients are asked to come again elsewhere
	empty    phase = "empty"    // none is held any more
	draining phase = "draining" // told to end
	stopped  phase = "stopped"
)

// next says which phases may follow one.
var next = map[phase][]phase{
	loading:  {serving},
	serving:  {emptying, draining, stopped},
	emptying: {empty, serving, draining, stopped},
	empty:    {serving, draining, stopped},
	draining: {stopped},
}

const (
	// After the signal to stop the platform waits for the longest time that a client waits, this at the most, and
	// a little more.
	longestDrain = 3 * time.Second
	drainBeyond  = 700 * time.Millisecond
	stopBefore   = 450 * time.Millisecond // so much earlier all clients have been asked to move
	exitBefore   = 150 * time.Millisecond // and so much earlier nothing is held
	stillSentTo  = 400 * time.Millisecond // after the signal, new connections come for that long at the most

	memoryShare = 0.75                    // of the limit is the collector's goal: stacks and the kernel's part come on top
	mostKeys    = 16                      // named in the log where a new file changes what needs a restart
	emptyIn     = 2600 * time.Millisecond // after the call to go out of service all clients have been asked to move: 4 s are allowed
	noMoreSent  = time.Second             // after it nobody is sent here any more, with some slack
	emptyCheck  = 50 * time.Millisecond
	ownUse      = 40 // descriptors kept for listening, discovery, peers, probes and the runtime
)

// Program is one balancer.
type Program struct {
	mu    sync.Mutex // guards the phase and what ends with it
	phase phase
	leave context.CancelFunc
	ctx   context.Context // of all that runs
	parts sync.WaitGroup

	router    *routing.Router
	front     *protocol.Front
	discovery *protocol.Discovery
	peers     *protocol.Peers
	listener  net.Listener
	control   net.Listener
	room      *transport.Room

	path        string
	options     string // the operators' own file; empty: none
	own         *setup.Options
	explainer   net.Listener
	env         func(string) string
	told        setup.Given // as of the start: what needs a restart still holds
	listen      string
	calls       string // the staff's address
	agent       string // discovery's address
	openPeers   func() error
	known       error // what was wrong with the list as last held
	cores       int
	memory      int64
	descriptors int
	probing     bool
	longest     time.Duration
}

// turn makes every change of phase, and tells whether it may be made. What the phase before kept running ends with it; the
// context is the new one's.
func (p *Program) turn(to phase) (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(next[p.phase], to) {
		return nil, false
	}
	p.leave()
	p.phase = to
	ctx, leave := context.WithCancel(p.ctx)
	p.leave = leave
	slog.Info("phase", "is", string(to))
	switch to {
	case serving:
		p.front.Away(false, false)
	case emptying:
		p.front.Away(true, false)
		p.parts.Go(func() { p.front.Drain(ctx, stillSentTo, emptyIn) })
		p.parts.Go(func() { p.settle(ctx) })
	case empty:
		p.front.Away(true, true)
	case draining:
		p.front.Away(false, false)
	}
	return ctx, true
}

func (p *Program) is() phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}

// settle sees the emptying through to its end.
func (p *Program) settle(ctx context.Context) {
	check := time.NewTicker(emptyCheck)
	defer check.Stop()
	for start := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
		if time.Since(start) < noMoreSent {
			continue
		}
		p.shut(ctx)
		if p.front.Held() == 0 {
			p.turn(empty)
			return
		}
	}
}

// shut turns newcomers away, if the emptying still goes on.
func (p *Program) shut(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() == nil {
		p.front.Away(true, true)
	}
}

// prepare takes all that the balancer is told, and opens nothing. A fault of the configuration names its key.
func prepare(path, options string, env func(string) string) (*Program, error) {
	p := &Program{path: path, options: options, env: env, phase: loading, ctx: context.Background(), leave: func() {}}
	g, known, err := setup.Open(path, env)
	if err != nil {
		return nil, err
	}
	s := g.Settings()
	p.told, p.listen, p.agent, p.calls = g, g.Addr("listen"), g.Addr("discovery"), setup.Control(g)
	seed, handshake := setup.Seed(g), setup.Handshake(s)
	p.cores, p.memory, p.descriptors = setup.Limits(g)
	p.longest, p.probing = setup.LongestWait(s), setup.Probing(s)
	peers, others, everyone, self := setup.Peers(g)
	tellLoad, tellLag := setup.Tellings(s)
	if p.own, err = setup.ReadOptions(options); err != nil {
		return nil, err
	}
	p.router = routing.New(seed, setup.MessageTarget(s)/3, tellLoad, tellLag, p.own.Deciders(s, seed),
		func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			return setup.Start(s, b)
		})
	if err := g.Fault(); err != nil {
		return nil, err
	}
	p.discovery = protocol.NewDiscovery(p.router, p.agent, seed)
	if p.known = p.discovery.Known(known); p.known != nil {
		p.known = fmt.Errorf("known: %w", p.known)
	}
	p.front = protocol.NewFront(p.router, handshake, setup.RetryAfter(s))
	p.openPeers = func() (err error) {
		if peers != "" {
			p.peers, err = protocol.ListenPeers(p.router, peers, others, everyone, self)
		}
		return err
	}
	return p, nil
}

// Check tells whether a configuration can be served.
func Check(path, options string, env func(string) string) error {
	p, err := prepare(path, options, env)
	if err != nil {
		return err
	}
	return p.known
}

// Load prepares the balancer and opens its sockets.
func Load(path, options string, env func(string) string) (*Program, error) {
	p, err := prepare(path, options, env)
	if err != nil {
		return nil, err
	}
	if p.known != nil {
		slog.Warn("old list not taken", "error", p.known) // discovery brings a better one
	}
	runtime.GOMAXPROCS(p.cores)
	debug.SetMemoryLimit(int64(float64(p.memory) * memoryShare))
	own := ownUse
	if p.calls != "" {
		own += control.Descriptors
	}
	p.room = transport.NewRoom(p.descriptors-min(own, p.descriptors/4), protocol.Parting)
	if p.calls != "" {
		if p.control, err = net.Listen("tcp", p.calls); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	if err := p.openPeers(); err != nil {
		return nil, err
	}
	if at := p.own.Explain(); at != "" {
		if p.explainer, err = explain.Listen(at); err != nil {
			return nil, fmt.Errorf("explain.socket: %w", err)
		}
	}
	if p.listener, err = net.Listen("tcp", p.listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return p, nil
}

// reload is the one owner of what is told anew while the balancer runs, be it serving or draining. A file that can't be
// served changes nothing: half a change could not be told from a fault of the balancer.
func (p *Program) reload() {
	next, err := prepare(p.path, p.options, p.env)
	if err != nil {
		slog.Error("configuration not taken, the one before holds", "error", err)
		return
	}
	moved := p.discovery.Move(next.agent)
	slog.Info("configuration read anew", "discovery", next.agent, "moved", moved)
	keys := p.told.Changed(next.told)
	p.router.Tell(func() { keys = append(keys, p.own.Take(next.own, p.told.Settings())...) })
	if len(keys) > 0 {
		slog.Warn("these changes need a restart", "keys", keys[:min(len(keys), mostKeys)], "in all", len(keys))
	}
}

// ErrConfiguration marks what can't be served as it is told.
var ErrConfiguration = errors.New("the configuration can't be served")

// Run is the process from its start to its end: SIGTERM and SIGINT end it in order, SIGHUP has the configuration read
// anew.
func Run(path, options string, env func(string) string) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	again := make(chan os.Signal, 1) // one that waits stands for all that came meanwhile
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
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
func (p *Program) Serve(stop context.Context, again <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx = ctx
	parts := &p.parts
	held := false
	defer func() {
		cancel()
		if !held { // else the end of the process is the end of what is left: it must come in time
			parts.Wait()
		}
	}()
	parts.Go(func() {
		for p.router.Tick(ctx) == nil {
		}
	})
	parts.Go(func() { p.discovery.Run(ctx) })
	parts.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-again:
				p.reload()
			}
		}
	})
	if p.explainer != nil {
		parts.Go(func() { explain.Serve(ctx, p.explainer, p.router) })
	}
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
	parts.Go(func() { listening <- transport.Listen(accepting, p.listener, p.room, p.front.Serve) })
	p.turn(serving)
	if p.control != nil {
		parts.Go(func() {
			if err := control.Serve(ctx, p.control, calls{p}); err != nil {
				slog.Error("no calls are taken any more", "error", err)
			}
		})
	}
	select {
	case err := <-listening:
		p.turn(stopped)
		return err
	case <-stop.Done():
	}
	p.turn(draining)
	all := min(p.longest, longestDrain) + drainBeyond
	drain, done := context.WithTimeout(ctx, all-exitBefore)
	defer done()
	over := all - stopBefore - exitBefore
	parts.Go(func() { p.front.Drain(drain, min(stillSentTo, over/3), over) })
	// New connections are taken until all that come have been: the front goes on sending for a while.
	late := time.AfterFunc(all-stopBefore, func() { refuse(); p.front.Stop() })
	defer late.Stop()
	select {
	case err := <-listening: // all that was held has ended
		p.turn(stopped)
		return err
	case <-drain.Done():
	}
	held = true
	p.turn(stopped)
	return errHeld
}

var errHeld = errors.New("connections were still held at the end of the drain")
