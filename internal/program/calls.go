package program

import (
	"context"
	"errors"
	"fmt"

	"yardwinch/internal/control"
	"yardwinch/internal/routing"
)

// calls are what the staff can ask of the program.
type calls struct{ p *Program }

// Ready says whether this process can serve.
func (c calls) Ready() error {
	if is := c.p.is(); is != serving && is != emptying && is != empty {
		return fmt.Errorf("%w: %s", control.ErrNotReady, is)
	}
	if !c.p.router.Listed() {
		return fmt.Errorf("%w: no list of servers yet", control.ErrNotReady)
	}
	return nil
}

// OutOfService empties the balancer. Said again it changes nothing: what is asked for is under way, or done.
func (c calls) OutOfService(context.Context) error {
	if is := c.p.is(); is == emptying || is == empty {
		return nil
	}
	return c.enter(emptying)
}

// InService takes clients again, whatever is left of the emptying.
func (c calls) InService(context.Context) error {
	if c.p.is() == serving {
		return nil
	}
	return c.enter(serving)
}

func (c calls) enter(to phase) error {
	if _, ok := c.p.turn(to); !ok {
		return fmt.Errorf("%w: %s", control.ErrNotReady, c.p.is())
	}
	return nil
}

// Offline takes a server out by hand, Online gives it back. Two calls out need one back.
func (c calls) Offline(_ context.Context, server string) error { return c.byHand(server, true) }
func (c calls) Online(_ context.Context, server string) error  { return c.byHand(server, false) }

func (c calls) byHand(server string, out bool) error {
	err := c.p.router.ByHand(server, out)
	if errors.Is(err, routing.ErrUnknownServer) {
		return fmt.Errorf("%w: %w", control.ErrUnknown, err)
	}
	return err
}
