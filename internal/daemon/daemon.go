// Package daemon runs the balancer as a process: it loads the configuration, serves clients, reloads, hands over to a
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
	// goMemoryShare is the part of the configured memory limit that is set as the Go runtime's limit: the rest is for
	// stacks and the kernel's buffers.
	goMemoryShare = 0.75

	connectionCheckInterval = 5 * time.Millisecond
)

// Daemon is one balancer process.
type Daemon struct {
	configuration

	router           *routing.Router
	frontend         *protocol.Frontend
	discovery        *protocol.Discovery
	descriptorBudget *transport.DescriptorBudget
	gossip           *gossip // nil: no exchange with other balancers

	directory           *store.Directory // shared with predecessor and successor; nil: no hand-over
	socket              *handover.Socket // nil if directory is nil
	disabled            *disabledStore   // nil if directory is nil
	reservedDescriptors int              // not available for connections to clients and servers

	listener        *transport.PausableListener // for clients
	explainListener net.Listener                // nil: none is configured

	lifecycle  *lifecycle
	goroutines sync.WaitGroup // started by Serve, which waits for them before it returns
	relisten   chan struct{}  // receives when a successor has exited, which may have replaced the hand-over socket

	// changeMu serialises operators' changes, and blocks them while the state is handed over. It guards the fields
	// below.
	changeMu    sync.Mutex
	predecessor *handover.Link // nil: none, or it has exited
	successor   *handover.Link // nil: no process has taken over
	// sharesListener says that this process has left its predecessor, which may serve again at the same socket.
	sharesListener bool
}

// errStoppedBeforeServing says that the stop signal arrived during startup.
var errStoppedBeforeServing = errors.New("stopped during startup")

// errConnectionsRemain says that the shutdown timed out with connections still open.
var errConnectionsRemain = errors.New("connections were still held at the end of the drain")

// ErrConfiguration marks the error of a configuration that can't be served.
var ErrConfiguration = errors.New("the configuration can't be served")

// configurationError is an error that matches ErrConfiguration and has the text of its cause.
type configurationError struct{ cause error }

func (e configurationError) Error() string        { return e.cause.Error() }
func (e configurationError) Unwrap() error        { return e.cause }
func (e configurationError) Is(target error) bool { return target == ErrConfiguration }

// Run runs the balancer until it has shut down: on SIGTERM, SIGINT or the end of the context. SIGHUP reloads the
// configuration. The error matches ErrConfiguration if the configuration can't be served.
func Run(ctx context.Context, source Source) error {
	stopCtx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reloads := make(chan os.Signal, 1) // one pending value covers all signals received since
	// Never stopped: without a handler a SIGHUP during the shutdown would kill the process.
	signal.Notify(reloads, syscall.SIGHUP)
	d, err := Load(ctx, source)
	if err != nil {
		return configurationError{err}
	}
	return d.Serve(stopCtx, reloads)
}

// Serve runs until stopCtx ends, then shuts down: it migrates all clients, and returns when none is left or the drain
// times out. Each value of reloads reloads the configuration. The error says why the process could not serve, or that
// connections were still open at the end.
func (d *Daemon) Serve(stopCtx context.Context, reloads <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx)) // lives on during the shutdown
	timedOut := false
	defer func() {
		d.lifecycle.transition(ctx, stopped)
		cancel()
		if !timedOut { // else the process must exit in time, which ends the remaining goroutines
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
		return nil // the stop signal arrived during startup
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

// startBackground starts the goroutines that don't serve client connections.
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

// serveClients accepts clients until acceptCtx ends. The channel receives the listener's error when no connection is
// left, neither an accepted one nor one taken over from a predecessor. The listener did not accept the latter, so that
// transport.Serve doesn't wait for them.
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

// Number of processes that share the memory limit.
const (
	oneProcess    = 1
	bothProcesses = 2
)

// setGoMemoryLimit sets the Go runtime's memory limit for a number of processes that share the configured limit.
func (d *Daemon) setGoMemoryLimit(processes int64) {
	debug.SetMemoryLimit(int64(float64(d.memoryLimit)*goMemoryShare) / processes)
}
