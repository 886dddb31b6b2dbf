// Package daemon is the balancer as a process: it loads a configuration, serves, reloads, hands over to a
// successor, and shuts down.
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

	"yardwinch/internal/explain"
	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/routing"
	"yardwinch/internal/store"
	"yardwinch/internal/transport"
)

const (
	// memoryGoalShare is the part of the memory limit at which the garbage collector aims: stacks and the kernel's
	// buffers come on top.
	memoryGoalShare = 0.75

	connectionCheckInterval = 5 * time.Millisecond
)

// Daemon is one balancer as a process.
type Daemon struct {
	configuration

	router           *routing.Router
	frontend         *protocol.Frontend
	discovery        *protocol.Discovery
	descriptorBudget *transport.DescriptorBudget
	gossip           *gossip // nil: nothing passes between balancers

	directory           *store.Directory // shared with predecessor and successor; nil: this process has neither
	socket              *handover.Socket // nil with the directory
	disabled            *disabledStore   // nil with the directory
	reservedDescriptors int              // kept from clients

	listener        *transport.PausableListener // for clients
	explainListener net.Listener                // nil: none is configured

	lifecycle  *lifecycle     // the phases
	goroutines sync.WaitGroup // all that Serve starts, and waits for at its end
	relisten   chan struct{}  // receives once the socket for a successor belongs to another process

	// changeMu serialises operators' changes, and excludes them while the state is handed over. It guards the
	// fields below.
	changeMu    sync.Mutex
	predecessor *handover.Link // nil: there is none, or it has ended
	successor   *handover.Link // nil: none has taken over
}

// errStoppedBeforeServing says that the signal to stop came during the start.
var errStoppedBeforeServing = errors.New("stopped before it served")

// errConnectionsRemain says that the shutdown ended before all connections did.
var errConnectionsRemain = errors.New("connections were still held at the end of the drain")

// ErrConfiguration marks the error of a configuration that can't be served.
var ErrConfiguration = errors.New("the configuration can't be served")

// configurationError has the text of its cause, and is ErrConfiguration too.
type configurationError struct{ cause error }

func (e configurationError) Error() string        { return e.cause.Error() }
func (e configurationError) Unwrap() error        { return e.cause }
func (e configurationError) Is(target error) bool { return target == ErrConfiguration }

// Run is the process from its start to its end: SIGTERM, SIGINT and the end of the context shut it down, SIGHUP
// reloads the configuration. A configuration that can't be served is ErrConfiguration.
func Run(ctx context.Context, source Source) error {
	stopCtx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reloads := make(chan os.Signal, 1) // one that waits stands for all that came meanwhile
	// Until the very end: without a handler the process would die of a signal that comes while it shuts down.
	signal.Notify(reloads, syscall.SIGHUP)
	d, err := Load(ctx, source)
	if err != nil {
		return configurationError{err}
	}
	return d.Serve(stopCtx, reloads)
}

// Serve runs until stopCtx ends, then shuts down: it migrates all clients, and returns once none is left or their
// time is over. Each value of reloads reloads the configuration. The error says why the process could not serve,
// or that connections were still open at the end.
func (d *Daemon) Serve(stopCtx context.Context, reloads <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx)) // it outlasts stopCtx by the shutdown
	timedOut := false
	defer func() {
		d.lifecycle.transition(ctx, stopped)
		cancel()
		if !timedOut { // else what is left ends with the process, which must exit in time
			d.lifecycle.work.Wait()
			d.goroutines.Wait()
		}
	}()
	startCtx, endStart := context.WithCancel(ctx)
	defer endStart()
	defer context.AfterFunc(stopCtx, endStart)()
	err := d.open(ctx, startCtx)
	switch {
	case err != nil && startCtx.Err() != nil:
		return nil // the signal to stop came during the start
	case err != nil:
		return err
	}
	d.startBackground(ctx, reloads)
	acceptCtx, stopAccepting := context.WithCancel(ctx)
	defer stopAccepting()
	finished := d.serveClients(ctx, acceptCtx)
	d.startServing(ctx, startCtx)
	select {
	case err := <-finished:
		return err
	case <-stopCtx.Done():
	}
	timedOut, err = d.shutDown(ctx, stopAccepting, finished)
	return err
}

// startBackground starts all that runs beside the clients' connections.
func (d *Daemon) startBackground(ctx context.Context, reloads <-chan os.Signal) {
	d.goroutines.Go(func() { d.runTicks(ctx) })
	d.goroutines.Go(func() { d.discovery.Run(ctx) })
	d.goroutines.Go(func() { d.watchReloads(ctx, reloads) })
	if d.explainListener != nil {
		server := explain.Server{Router: d.router, Process: d.processState, Members: d.gossip.membersView()}
		d.goroutines.Go(func() { server.Serve(ctx, d.explainListener) })
	}
	if d.gossip != nil {
		d.goroutines.Go(func() { d.gossip.run(ctx) })
	}
	if d.healthChecks {
		d.goroutines.Go(func() { protocol.RunHealthChecks(ctx, d.router, d.connectTimeout) })
	}
}

// runTicks runs the router's periodic work until the context ends.
func (d *Daemon) runTicks(ctx context.Context) {
	for {
		if err := d.router.Tick(ctx); err != nil {
			return // the context ended
		}
	}
}

// serveClients accepts clients until acceptCtx ends. The channel then receives the listener's error, once no
// connection is left: those taken over from a predecessor were never accepted here, so that the listener doesn't
// wait for them.
func (d *Daemon) serveClients(ctx, acceptCtx context.Context) (finished <-chan error) {
	result := make(chan error, 1)
	d.goroutines.Go(func() {
		err := transport.Serve(acceptCtx, d.listener, d.descriptorBudget, d.frontend.Serve)
		for d.frontend.ConnectionCount() > 0 && ctx.Err() == nil {
			time.Sleep(connectionCheckInterval)
		}
		result <- err
	})
	return result
}

// Processes that share the limit of memory.
const (
	oneProcess    = 1
	bothProcesses = 2
)

// setMemoryGoal sets the size of the heap at which the garbage collector aims, by how many processes share the limit.
func (d *Daemon) setMemoryGoal(processes int64) {
	debug.SetMemoryLimit(int64(float64(d.memoryLimit)*memoryGoalShare) / processes)
}
