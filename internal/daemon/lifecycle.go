package daemon

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"yardwinch/internal/protocol"
)

const (
	// drainDuration is within how much time of the call to go out of service all clients are asked to migrate:
	// operators allow 4 s.
	drainDuration = 2600 * time.Millisecond
	// newClientsDeadline is how long after that call the platform may still send a client, newClientsWindow with
	// some slack.
	newClientsDeadline   = time.Second
	drainedCheckInterval = 50 * time.Millisecond
)

// phase is the state of the process. The values are those of the log, of explain's answers and of the operators'
// calls, and older than the names here: what operators read as "draining" is shuttingDown, not the constant draining.
type phase string

const (
	loading      phase = "loading"
	serving      phase = "serving"
	draining     phase = "emptying"     // out of service: clients are asked to migrate
	drained      phase = "empty"        // out of service, and no client is left
	handingOver  phase = "handing over" // a successor accepts clients; this process serves those it has
	shuttingDown phase = "draining"     // after SIGTERM or SIGINT
	stopped      phase = "stopped"
)

var allowedTransitions = map[phase][]phase{
	loading:      {serving, draining, stopped},
	serving:      {draining, handingOver, shuttingDown, stopped},
	draining:     {drained, serving, handingOver, shuttingDown, stopped},
	drained:      {serving, handingOver, shuttingDown, stopped},
	handingOver:  {serving, draining, shuttingDown, stopped},
	shuttingDown: {stopped},
}

// clients is what a change of phase means for the clients' connections.
type clients interface {
	SetAvailability(availability protocol.Availability)
	Drain(ctx context.Context, from, until time.Duration)
	ConnectionCount() int
}

// lifecycle owns the phase of the process, and runs what belongs to a phase until the next one.
type lifecycle struct {
	clients     clients
	work        sync.WaitGroup // all that runInPhase starts
	started     chan struct{}  // closed once this process serves clients, in or out of service
	startedOnce sync.Once      // closes started

	mu            sync.Mutex // guards the fields below
	phase         phase
	endPhase      []context.CancelFunc // end what runs until the phase does
	drainingSince time.Time            // the call to go out of service; zero: in service
}

func newLifecycle(clients clients) *lifecycle {
	return &lifecycle{clients: clients, started: make(chan struct{}), phase: loading}
}

// transition makes every change of phase, and reports whether it is allowed. What runs until the phase before ends
// is ended. A balancer out of service remains so for its clients while it shuts down.
func (l *lifecycle) transition(ctx context.Context, to phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(allowedTransitions[l.phase], to) {
		return false
	}
	for _, end := range l.endPhase {
		end()
	}
	l.endPhase = nil
	l.phase = to
	slog.Info("phase changed", "phase", string(to))
	l.enter(ctx, to)
	if to != loading && to != stopped {
		l.startedOnce.Do(func() { close(l.started) })
	}
	return true
}

// enter begins what a phase does. The caller holds mu.
func (l *lifecycle) enter(ctx context.Context, to phase) {
	switch to {
	case serving:
		l.drainingSince = time.Time{}
		l.clients.SetAvailability(protocol.InService)
	case draining:
		if l.drainingSince.IsZero() {
			l.drainingSince = time.Now()
		}
		since := l.drainingSince
		availability := protocol.OutOfService
		if time.Since(since) > newClientsDeadline {
			availability = protocol.RejectingClients
		}
		l.clients.SetAvailability(availability)
		l.startDrain(ctx, newClientsWindow)
		l.runInPhase(ctx, func(ctx context.Context) { l.awaitDrained(ctx, since) })
	case drained:
		l.clients.SetAvailability(protocol.RejectingClients)
	case handingOver:
		if !l.drainingSince.IsZero() {
			l.startDrain(ctx, 0) // the successor has none of the clients that are left here
		}
	}
}

// runInPhase runs something until the phase ends, whatever becomes of the call that led to it. The caller holds mu.
func (l *lifecycle) runInPhase(ctx context.Context, work func(context.Context)) {
	inPhase, end := context.WithCancel(context.WithoutCancel(ctx))
	l.endPhase = append(l.endPhase, end)
	l.work.Go(func() { work(inPhase) })
}

// startDrain asks all clients to migrate, from a time after the call to go out of service until drainDuration after
// that call. The caller holds mu.
func (l *lifecycle) startDrain(ctx context.Context, from time.Duration) {
	elapsed := time.Since(l.drainingSince)
	l.runInPhase(ctx, func(ctx context.Context) {
		l.clients.Drain(ctx, max(0, from-elapsed), max(minDrainDuration, drainDuration-elapsed))
	})
}

// awaitDrained waits until no client can come any more and none is left, while the phase is draining.
func (l *lifecycle) awaitDrained(ctx context.Context, since time.Time) {
	check := time.NewTicker(drainedCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
		if time.Since(since) < newClientsDeadline {
			continue
		}
		l.rejectNewClients(ctx)
		if l.clients.ConnectionCount() == 0 {
			l.transition(ctx, drained)
			return
		}
	}
}

// rejectNewClients rejects new clients, unless the phase has ended meanwhile.
func (l *lifecycle) rejectNewClients(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() == nil {
		l.clients.SetAvailability(protocol.RejectingClients)
	}
}

func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// isOutOfService reports whether this balancer was called out of service.
func (l *lifecycle) isOutOfService() bool {
	return !l.outOfServiceSince().IsZero()
}

// outOfServiceSince is the time of the call to go out of service; zero: in service.
func (l *lifecycle) outOfServiceSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drainingSince
}

// setOutOfServiceSince records since when the predecessor has been out of service. It takes effect with the next phase.
func (l *lifecycle) setOutOfServiceSince(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainingSince = since
}

// setInServiceWhileHandingOver goes out of service, or back into it, while the successor serves. In another phase
// it does nothing.
func (l *lifecycle) setInServiceWhileHandingOver(ctx context.Context, inService bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.phase != handingOver:
	case inService:
		l.drainingSince = time.Time{}
	case l.drainingSince.IsZero():
		l.drainingSince = time.Now()
		l.startDrain(ctx, 0)
	}
}

// phaseWithoutSuccessor is the phase of a process that begins to serve, or serves again because its successor ended.
func (l *lifecycle) phaseWithoutSuccessor() phase {
	if l.isOutOfService() {
		return draining
	}
	return serving
}
