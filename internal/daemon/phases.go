package daemon

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"yardwinch/internal/explain"
)

// phase names where the program stands.
type phase string

const (
	loading      phase = "loading"
	serving      phase = "serving"
	draining     phase = "emptying"     // told to go out of service: clients are asked to come again elsewhere
	drained      phase = "empty"        // none is held any more
	handingOver  phase = "handing over" // another process accepts; this one goes on with what it has
	shuttingDown phase = "draining"     // told to end
	stopped      phase = "stopped"
)

// allowedTransitions says which phases may follow one.
var allowedTransitions = map[phase][]phase{
	loading:      {serving, draining, stopped},
	serving:      {draining, handingOver, shuttingDown, stopped},
	draining:     {drained, serving, handingOver, shuttingDown, stopped},
	drained:      {serving, handingOver, shuttingDown, stopped},
	handingOver:  {serving, draining, shuttingDown, stopped},
	shuttingDown: {stopped},
}

// transition makes every change of phase, and tells whether it may be made. What the phase before kept running ends with it.
// A balancer out of service still says so while it ends.
func (p *Daemon) transition(to phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(allowedTransitions[p.phase], to) {
		return false
	}
	p.leave()
	p.phase = to
	ctx, leave := context.WithCancel(p.ctx)
	p.leave, p.inPhase = leave, ctx
	slog.Info("phase", "is", string(to))
	switch to {
	case serving:
		p.drainingSince = time.Time{}
		p.frontend.SetOutOfService(false, false)
	case draining:
		if p.drainingSince.IsZero() {
			p.drainingSince = time.Now()
		}
		p.frontend.SetOutOfService(true, time.Since(p.drainingSince) > newClientsDeadline)
		p.startDrain(ctx, newClientsWindow)
		since := p.drainingSince
		p.goroutines.Go(func() { p.awaitDrained(ctx, since) })
	case drained:
		p.frontend.SetOutOfService(true, true)
	case handingOver:
		if !p.drainingSince.IsZero() {
			p.startDrain(ctx, 0) // the emptying goes on: the new process has none of these clients
		}
	}
	if to != loading && to != stopped {
		p.startedOnce.Do(func() { close(p.started) })
	}
	return true
}

// startDrain asks all clients to move in what is left of the time for it, from some time after the call.
func (p *Daemon) startDrain(ctx context.Context, after time.Duration) {
	gone := time.Since(p.drainingSince)
	p.goroutines.Go(func() { p.frontend.Drain(ctx, max(0, after-gone), max(minDrainSpread, drainDuration-gone)) })
}

func (p *Daemon) currentPhase() phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}

// processState says where the program stands, for whoever asks.
func (p *Daemon) processState() explain.Process {
	p.changing.Lock()
	defer p.changing.Unlock()
	process := explain.Process{Phase: string(p.currentPhase())}
	switch {
	case p.successor != nil:
		process.Processes = "another has taken over"
	case p.predecessor != nil:
		process.Processes = "the one before has not ended"
	}
	if p.disabled != nil {
		process.StoreFault = p.disabled.fault()
	}
	return process
}

// awaitDrained sees the emptying through to its end.
func (p *Daemon) awaitDrained(ctx context.Context, start time.Time) {
	check := time.NewTicker(drainedCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
		if time.Since(start) < newClientsDeadline {
			continue
		}
		p.rejectNewClients(ctx)
		if p.frontend.ConnectionCount() == 0 {
			p.transition(drained)
			return
		}
	}
}

// rejectNewClients turns newcomers away, if the emptying still goes on.
func (p *Daemon) rejectNewClients(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() == nil {
		p.frontend.SetOutOfService(true, true)
	}
}
