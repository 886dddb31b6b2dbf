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
	callTimeout         = 750 * time.Millisecond // limit on the time in which both processes apply a change
	changeRetryInterval = time.Millisecond       // after a successor has exited, until this process decides on changes again
)

// adminCalls implements admin.Balancer. Operators get the error texts as responses.
type adminCalls struct{ daemon *Daemon }

// Ready returns nil if this process can serve clients, else the reason why not.
func (c adminCalls) Ready() error {
	switch now := c.daemon.lifecycle.current(); now {
	case serving, draining, drained:
	default:
		return fmt.Errorf("%w: %s", admin.ErrNotReady, now)
	}
	if !c.daemon.router.HasEndpoints() {
		return fmt.Errorf("%w: no list of servers yet", admin.ErrNotReady)
	}
	return nil
}

// Offline disables a server; a second call has no further effect.
func (c adminCalls) Offline(ctx context.Context, server string) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.Offline, Server: server})
}

// Online enables a server, however many times it was disabled.
func (c adminCalls) Online(ctx context.Context, server string) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.Online, Server: server})
}

// OutOfService drains the balancer; a second call has no further effect.
func (c adminCalls) OutOfService(ctx context.Context) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.OutOfService})
}

// InService has the balancer accept clients again, whether or not the drain has completed.
func (c adminCalls) InService(ctx context.Context) error {
	return c.daemon.requestChange(ctx, handover.Change{Kind: handover.InService})
}

// requestChange has a change decided by the process that serves, this one or its successor, and returns when both
// have applied it.
func (d *Daemon) requestChange(ctx context.Context, change handover.Change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-d.lifecycle.started:
	case <-ctx.Done():
		return fmt.Errorf("%w: %s", admin.ErrNotReady, d.lifecycle.current())
	}
	for {
		err := d.attemptChange(ctx, change)
		if !errors.Is(err, handover.ErrPeerGone) {
			return err
		}
		select { // the successor has exited; this process will soon decide on changes again
		case <-ctx.Done():
			return admin.ErrNotReady
		case <-time.After(changeRetryInterval):
		}
	}
}

// attemptChange makes one attempt at a change. ErrPeerGone says that the successor exited before it replied.
func (d *Daemon) attemptChange(ctx context.Context, change handover.Change) error {
	d.changeMu.Lock()
	successor := d.successor
	if successor != nil {
		d.changeMu.Unlock()
		return forwardChange(ctx, successor, change)
	}
	pending, err := d.decideChange(ctx, change)
	d.changeMu.Unlock()
	if err != nil {
		return err
	}
	d.awaitSaved(ctx)
	return awaitApplied(ctx, pending)
}

// forwardChange has the successor decide on a change.
func forwardChange(ctx context.Context, successor *handover.Link, change handover.Change) error {
	var unknown bool
	_, err := successor.Request(messageRequestChange, change).Wait(ctx, &unknown)
	if err == nil && unknown {
		return fmt.Errorf("%w: %q", admin.ErrUnknownServer, change.Server)
	}
	return err
}

// decideChange applies a change in this process, which serves, and sends it to the predecessor. The caller holds
// changeMu, and may release it before it calls awaitApplied.
func (d *Daemon) decideChange(ctx context.Context, change handover.Change) (pending *handover.PendingReply, err error) {
	switch change.Kind {
	case handover.Offline, handover.Online:
		err = d.setDisabled(change.Server, change.Kind == handover.Offline)
	case handover.OutOfService:
		if now := d.lifecycle.current(); now != draining && now != drained {
			err = d.tryTransition(ctx, draining)
		}
	case handover.InService:
		if d.lifecycle.current() != serving {
			err = d.tryTransition(ctx, serving)
		}
	default:
		err = fmt.Errorf("unknown change %q", change.Kind)
	}
	if err != nil || d.predecessor == nil {
		return nil, err
	}
	return d.predecessor.Request(messageApplyChange, change), nil
}

// awaitApplied waits until the predecessor has applied a change. pending is nil if there is no predecessor.
func awaitApplied(ctx context.Context, pending *handover.PendingReply) error {
	if pending == nil {
		return nil
	}
	_, err := pending.Wait(ctx, nil)
	if errors.Is(err, handover.ErrPeerGone) {
		return nil // the predecessor exited: it has no clients that the change could concern
	}
	return err
}

// tryTransition changes the phase for an operator's call, and returns ErrNotReady if the transition is not allowed.
func (d *Daemon) tryTransition(ctx context.Context, to phase) error {
	if !d.lifecycle.transition(ctx, to) {
		return fmt.Errorf("%w: %s", admin.ErrNotReady, d.lifecycle.current())
	}
	return nil
}

// setDisabled disables or enables a server. The change takes effect at once, whether or not it can be saved; the
// caller waits for the save.
func (d *Daemon) setDisabled(server string, disabled bool) error {
	wasDisabled, known := d.router.IsDisabled(server)
	if !known {
		return fmt.Errorf("%w: %w: %q", admin.ErrUnknownServer, routing.ErrUnknownServer, server)
	}
	if err := d.router.SetDisabled(server, disabled); err != nil {
		return err
	}
	if d.disabled != nil && wasDisabled != disabled {
		d.disabled.onChange(server)
	}
	return nil
}

// awaitSaved waits until this process's changes are saved, the directory is known to fail, or saveTimeout has passed:
// an operator waits for the response.
func (d *Daemon) awaitSaved(ctx context.Context) {
	if d.disabled != nil {
		d.disabled.awaitSaved(ctx)
	}
}
