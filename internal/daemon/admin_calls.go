package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"yardwinch/internal/admin"
	"yardwinch/internal/handover"
	"yardwinch/internal/routing"
)

const (
	callTimeout = 750 * time.Millisecond // for both processes to do what is asked
	retryGone   = time.Millisecond
)

// adminCalls are what the staff can ask of the program.
type adminCalls struct{ daemon *Daemon }

// Ready says whether this process can serve.
func (c adminCalls) Ready() error {
	if is := c.daemon.currentPhase(); is != serving && is != draining && is != drained {
		return fmt.Errorf("%w: %s", admin.ErrNotReady, is)
	}
	if !c.daemon.router.HasEndpoints() {
		return fmt.Errorf("%w: no list of servers yet", admin.ErrNotReady)
	}
	return nil
}

// Offline takes a server out by hand, Online gives it back. Two calls out need one back.
func (c adminCalls) Offline(ctx context.Context, server string) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.Offline, Server: server})
}
func (c adminCalls) Online(ctx context.Context, server string) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.Online, Server: server})
}

// OutOfService empties the balancer. Said again it changes nothing: what is asked for is under way, or done.
func (c adminCalls) OutOfService(ctx context.Context) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.OutOfService})
}

// InService takes clients again, whatever is left of the emptying.
func (c adminCalls) InService(ctx context.Context) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.InService})
}

// requestChange has a change be made by whichever process decides, and returns when both have made it.
func (p *Daemon) requestChange(ctx context.Context, ch handover.Change) error {
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	select {
	case <-p.started:
	case <-ctx.Done():
		return fmt.Errorf("%w: %s", admin.ErrNotReady, p.currentPhase())
	}
	for {
		p.changing.Lock()
		l := p.successor
		if l == nil {
			wait, err := p.decideChange(ch)
			p.changing.Unlock()
			if err != nil {
				return err
			}
			p.awaitSaved(ctx)
			return wait(ctx)
		}
		p.changing.Unlock()
		var unknown bool
		_, err := l.Ask(messageRequestChange, ch)(ctx, &unknown)
		switch {
		case errors.Is(err, handover.ErrPeerGone): // this one decides again in a moment
			select {
			case <-ctx.Done():
				return admin.ErrNotReady
			case <-time.After(retryGone):
			}
		case err == nil && unknown:
			return fmt.Errorf("%w: %q", admin.ErrUnknown, ch.Server)
		default:
			return err
		}
	}
}

// decideChange makes a change here, where this process decides, and tells the one before of it. The caller holds changes; the
// wait, without it, is for that one.
func (p *Daemon) decideChange(ch handover.Change) (wait func(context.Context) error, err error) {
	switch ch.Kind {
	case handover.Offline, handover.Online:
		err = p.setDisabled(ch.Server, ch.Kind == handover.Offline)
	case handover.OutOfService:
		if is := p.currentPhase(); is != draining && is != drained {
			err = p.tryTransition(draining)
		}
	case handover.InService:
		if p.currentPhase() != serving {
			err = p.tryTransition(serving)
		}
	default:
		err = fmt.Errorf("unknown change %q", ch.Kind)
	}
	if err != nil || p.predecessor == nil {
		return func(context.Context) error { return nil }, err
	}
	answer := p.predecessor.Ask(messageApplyChange, ch)
	return func(ctx context.Context) error {
		_, err := answer(ctx, nil)
		if errors.Is(err, handover.ErrPeerGone) {
			return nil // it sends nothing any more
		}
		return err
	}, nil
}

func (p *Daemon) tryTransition(to phase) error {
	if !p.transition(to) {
		return fmt.Errorf("%w: %s", admin.ErrNotReady, p.currentPhase())
	}
	return nil
}

// setDisabled takes a server out or gives it back. It is in force at once, whatever becomes of the folder; the caller awaits the folder.
func (p *Daemon) setDisabled(server string, out bool) error {
	was, known := p.router.IsDisabled(server)
	if !known {
		return fmt.Errorf("%w: %w: %q", admin.ErrUnknown, routing.ErrUnknownServer, server)
	}
	if err := p.router.SetDisabled(server, out); err != nil {
		return err
	}
	if p.disabled != nil && was != out {
		p.disabled.onChange(server)
	}
	return nil
}

// awaitSaved waits until what was called for here outlasts a kill, for as long as an answer may wait for it.
func (p *Daemon) awaitSaved(ctx context.Context) {
	if p.disabled != nil {
		p.disabled.awaitSaved(ctx)
	}
}
