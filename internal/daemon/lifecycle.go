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
	// drainDuration is the time from the out-of-service call until all clients have been asked to migrate: operators
	// allow 4 s.
	drainDuration = 2600 * time.Millisecond
	// openingTimeout is how long after the out-of-service call clients may still wait for a server. It leaves time
	// within the 4 s to migrate a client whose connection is established at the last moment.
	openingTimeout = 3200 * time.Millisecond
	// newClientsTimeout is how long after the out-of-service call this process still accepts clients: newClientsWindow,
	// in which the platform sends them, with some slack.
	newClientsTimeout    = time.Second
	drainedCheckInterval = 50 * time.Millisecond
)

// phase is the state of the process. Logs, explain and responses to operators contain the values, which must not
// change and differ from the names of the constants: "draining" is shuttingDown, not the constant draining.
type phase string

const (
	loading      phase = "loading"
	serving      phase = "serving"
	draining     phase = "emptying"     // out of service: clients are asked to migrate
	drained      phase = "empty"        // out of service, no client is left
	handingOver  phase = "handing over" // a successor accepts clients; this process serves its existing ones
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

// clients is the part of protocol.Frontend that the lifecycle controls.
type clients interface {
	SetAvailability(availability protocol.Availability)
	Drain(ctx context.Context, from, until time.Duration)
	EndOpening()
	ConnectionCount() int
}

// lifecycle owns the phase of the process, and runs the goroutines that belong to the current phase.
type lifecycle struct {
	clients     clients
	work        sync.WaitGroup // goroutines started by runInPhase
	started     chan struct{}  // closed when this process begins to serve clients, in or out of service
	startedOnce sync.Once      // closes started

	mu             sync.Mutex // guards the fields below
	phase          phase
	endPhase       []context.CancelFunc // cancel the goroutines of the current phase
	outOfServiceAt time.Time            // time of the out-of-service call; zero: in service
}

func newLifecycle(clients clients) *lifecycle {
	return &lifecycle{clients: clients, started: make(chan struct{}), phase: loading}
}

// transition changes the phase, and reports whether that is allowed. It cancels the goroutines of the previous phase.
// The phase shuttingDown keeps the availability: a balancer that was out of service stays so for its clients.
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

// enter starts the work of a phase. The caller holds mu.
func (l *lifecycle) enter(ctx context.Context, to phase) {
	switch to {
	case serving:
		l.outOfServiceAt = time.Time{}
		l.clients.SetAvailability(protocol.InService)
	case draining:
		if l.outOfServiceAt.IsZero() {
			l.outOfServiceAt = time.Now()
		}
		since := l.outOfServiceAt
		availability := protocol.OutOfService
		if time.Since(since) > newClientsTimeout {
			availability = protocol.RejectingClients
		}
		l.clients.SetAvailability(availability)
		l.startDrain(ctx, newClientsWindow)
		l.runInPhase(ctx, func(ctx context.Context) { l.awaitDrained(ctx, since) })
	case drained:
		l.clients.SetAvailability(protocol.RejectingClients)
	case handingOver:
		if !l.outOfServiceAt.IsZero() {
			l.startDrain(ctx, 0) // the successor doesn't drain this process's clients
		}
	}
}

// runInPhase runs work in a goroutine, with a context that ends with the phase. It doesn't end with ctx, the context of
// the call that changed the phase. The caller holds mu.
func (l *lifecycle) runInPhase(ctx context.Context, work func(context.Context)) {
	inPhase, end := context.WithCancel(context.WithoutCancel(ctx))
	l.endPhase = append(l.endPhase, end)
	l.work.Go(func() { work(inPhase) })
}

// startDrain asks all clients to migrate, spread over an interval that begins at from and ends at drainDuration, and
// ends the waits of those that are not established at openingTimeout, all counted from the out-of-service call. The
// caller holds mu.
func (l *lifecycle) startDrain(ctx context.Context, from time.Duration) {
	elapsed := time.Since(l.outOfServiceAt)
	l.runInPhase(ctx, func(ctx context.Context) {
		l.clients.Drain(ctx, max(0, from-elapsed), max(minDrainDuration, drainDuration-elapsed))
	})
	l.runInPhase(ctx, func(ctx context.Context) { l.endOpening(ctx, openingTimeout-elapsed) })
}

// endOpening answers, after a delay, all clients that still wait for a server, unless the phase has ended meanwhile.
func (l *lifecycle) endOpening(ctx context.Context, after time.Duration) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() == nil {
		l.clients.EndOpening()
	}
}

// awaitDrained waits, while the phase is draining, until the platform sends no more clients and none is left, then
// changes the phase to drained.
func (l *lifecycle) awaitDrained(ctx context.Context, since time.Time) {
	check := time.NewTicker(drainedCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
		if time.Since(since) < newClientsTimeout {
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

// isOutOfService reports whether an operator has taken this balancer out of service.
func (l *lifecycle) isOutOfService() bool {
	return !l.outOfServiceSince().IsZero()
}

// outOfServiceSince returns the time of the out-of-service call; zero: in service.
func (l *lifecycle) outOfServiceSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outOfServiceAt
}

// setOutOfServiceSince sets the time of the out-of-service call that the predecessor handed over. It takes effect at
// the next change of phase.
func (l *lifecycle) setOutOfServiceSince(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outOfServiceAt = since
}

// setInServiceWhileHandingOver takes this process out of service or back into it while its successor serves. In any
// other phase it does nothing.
func (l *lifecycle) setInServiceWhileHandingOver(ctx context.Context, inService bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.phase != handingOver:
	case inService:
		l.outOfServiceAt = time.Time{}
	case l.outOfServiceAt.IsZero():
		l.outOfServiceAt = time.Now()
		l.startDrain(ctx, 0)
	}
}

// phaseWithoutSuccessor returns the phase of a process that begins to serve, or serves again because its successor
// exited.
func (l *lifecycle) phaseWithoutSuccessor() phase {
	if l.isOutOfService() {
		return draining
	}
	return serving
}
