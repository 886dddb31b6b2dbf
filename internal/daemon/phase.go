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
	loading  phase = "loading"
	serving  phase = "serving"
	emptying phase = "emptying"     // told to go out of service: clients are asked to come again elsewhere
	empty    phase = "empty"        // none is held any more
	handing  phase = "handing over" // another process accepts; this one goes on with what it has
	draining phase = "draining"     // told to end
	stopped  phase = "stopped"
)

// next says which phases may follow one.
var next = map[phase][]phase{
	loading:  {serving, emptying, stopped},
	serving:  {emptying, handing, draining, stopped},
	emptying: {empty, serving, handing, draining, stopped},
	empty:    {serving, handing, draining, stopped},
	handing:  {serving, emptying, draining, stopped},
	draining: {stopped},
}

// turn makes every change of phase, and tells whether it may be made. What the phase before kept running ends with it.
// A balancer out of service still says so while it ends.
func (p *Daemon) turn(to phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(next[p.phase], to) {
		return false
	}
	p.leave()
	p.phase = to
	ctx, leave := context.WithCancel(p.ctx)
	p.leave, p.inPhase = leave, ctx
	slog.Info("phase", "is", string(to))
	switch to {
	case serving:
		p.since = time.Time{}
		p.front.SetOutOfService(false, false)
	case emptying:
		if p.since.IsZero() {
			p.since = time.Now()
		}
		p.front.SetOutOfService(true, time.Since(p.since) > noMoreSent)
		p.empty(ctx, stillSentTo)
		since := p.since
		p.parts.Go(func() { p.settle(ctx, since) })
	case empty:
		p.front.SetOutOfService(true, true)
	case handing:
		if !p.since.IsZero() {
			p.empty(ctx, 0) // the emptying goes on: the new process has none of these clients
		}
	}
	if to != loading && to != stopped {
		p.upOnce.Do(func() { close(p.up) })
	}
	return true
}

// empty asks all clients to move in what is left of the time for it, from some time after the call.
func (p *Daemon) empty(ctx context.Context, after time.Duration) {
	gone := time.Since(p.since)
	p.parts.Go(func() { p.front.Drain(ctx, max(0, after-gone), max(drainAtOnce, emptyIn-gone)) })
}

func (p *Daemon) is() phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}

// stands says where the program stands, for whoever asks.
func (p *Daemon) stands() explain.Process {
	p.changing.Lock()
	defer p.changing.Unlock()
	process := explain.Process{Phase: string(p.is())}
	switch {
	case p.successor != nil:
		process.Processes = "another has taken over"
	case p.predecessor != nil:
		process.Processes = "the one before has not ended"
	}
	if p.bans != nil {
		process.StoreFault = p.bans.state()
	}
	return process
}

// settle sees the emptying through to its end.
func (p *Daemon) settle(ctx context.Context, start time.Time) {
	check := time.NewTicker(emptyCheck)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
		if time.Since(start) < noMoreSent {
			continue
		}
		p.shut(ctx)
		if p.front.ConnectionCount() == 0 {
			p.turn(empty)
			return
		}
	}
}

// shut turns newcomers away, if the emptying still goes on.
func (p *Daemon) shut(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() == nil {
		p.front.SetOutOfService(true, true)
	}
}
