package daemon

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"yardwinch/internal/explain"
)

const (
	// drainDuration is within how much time of the call to go out of service all clients are asked to migrate: operators allow 4 s.
	drainDuration = 2600 * time.Millisecond
	// newClientsDeadline is how long after that call the platform may still send a client, newClientsWindow with some slack.
	newClientsDeadline   = time.Second
	drainedCheckInterval = 50 * time.Millisecond
)

// phase is the state of the process. The values are those of explain's answers and of the operators' calls.
type phase string

const (
	loading      phase = "loading"
	serving      phase = "serving"
	draining     phase = "emptying"     // out of service: clients are asked to migrate
	drained      phase = "empty"        // out of service, and no client is left
	handingOver  phase = "handing over" // a successor accepts clients; this process goes on with those it has
	shuttingDown phase = "draining"     // told to stop
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

// transition makes every change of phase, and tells whether it is allowed. What runs until the phase before ends is ended. A balancer out of
// service remains so for its clients while it shuts down.
func (d *Daemon) transition(ctx context.Context, to phase) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(allowedTransitions[d.phase], to) {
		return false
	}
	for _, end := range d.endPhase {
		end()
	}
	d.endPhase = nil
	d.phase = to
	slog.Info("phase changed", "phase", string(to))
	d.enter(ctx, to)
	if to != loading && to != stopped {
		d.startedOnce.Do(func() { close(d.started) })
	}
	return true
}

// enter begins what a phase does. The caller holds mu.
func (d *Daemon) enter(ctx context.Context, to phase) {
	switch to {
	case serving:
		d.drainingSince = time.Time{}
		d.frontend.SetOutOfService(false, false)
	case draining:
		if d.drainingSince.IsZero() {
			d.drainingSince = time.Now()
		}
		since := d.drainingSince
		d.frontend.SetOutOfService(true, time.Since(since) > newClientsDeadline)
		d.startDrain(ctx, newClientsWindow)
		d.runInPhase(ctx, func(ctx context.Context) { d.awaitDrained(ctx, since) })
	case drained:
		d.frontend.SetOutOfService(true, true)
	case handingOver:
		if !d.drainingSince.IsZero() {
			d.startDrain(ctx, 0) // the successor has none of the clients that are left here
		}
	}
}

// runInPhase runs something until the phase ends, whatever becomes of the call that led to it. The caller holds mu.
func (d *Daemon) runInPhase(ctx context.Context, work func(context.Context)) {
	inPhase, end := context.WithCancel(context.WithoutCancel(ctx))
	d.endPhase = append(d.endPhase, end)
	d.goroutines.Go(func() { work(inPhase) })
}

// startDrain asks all clients to migrate in what is left of the time for it, beginning some time after the call to go out of service. The
// caller holds mu.
func (d *Daemon) startDrain(ctx context.Context, after time.Duration) {
	elapsed := time.Since(d.drainingSince)
	d.runInPhase(ctx, func(ctx context.Context) {
		d.frontend.Drain(ctx, max(0, after-elapsed), max(minDrainSpread, drainDuration-elapsed))
	})
}

// awaitDrained waits until no client can come any more and none is left, while the phase is draining.
func (d *Daemon) awaitDrained(ctx context.Context, since time.Time) {
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
		d.rejectNewClients(ctx)
		if d.frontend.ConnectionCount() == 0 {
			d.transition(ctx, drained)
			return
		}
	}
}

// rejectNewClients rejects new clients, unless the phase has ended meanwhile.
func (d *Daemon) rejectNewClients(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() == nil {
		d.frontend.SetOutOfService(true, true)
	}
}

func (d *Daemon) currentPhase() phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase
}

// isOutOfService tells whether this balancer was called out of service.
func (d *Daemon) isOutOfService() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.drainingSince.IsZero()
}

// phaseWithoutSuccessor is the phase of a process that begins to serve, or serves again because its successor ended.
func (d *Daemon) phaseWithoutSuccessor() phase {
	if d.isOutOfService() {
		return draining
	}
	return serving
}

// processState is what explain says of the process.
func (d *Daemon) processState() explain.Process {
	d.changing.Lock()
	defer d.changing.Unlock()
	state := explain.Process{Phase: string(d.currentPhase())}
	switch {
	case d.successor != nil:
		state.Processes = "another has taken over"
	case d.predecessor != nil:
		state.Processes = "the one before has not ended"
	}
	if d.disabled != nil {
		state.StoreFault = d.disabled.fault()
	}
	return state
}
