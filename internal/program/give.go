package program

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"yardwinch/internal/control"
	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
)

// What one process of a balancer asks of the other, and answers.

// greet tells whether a process may take over from this one; later: not yet.
func (p *Program) greet(body []byte) (later bool, err error) {
	var h handover.Hello
	if err := json.Unmarshal(body, &h); err != nil {
		return false, err
	}
	if h.Version != handover.Version || h.Listen != p.listen {
		return false, fmt.Errorf("version %d for %s here, not %d for %s", handover.Version, p.listen, h.Version, h.Listen)
	}
	p.changes.Lock()
	defer p.changes.Unlock()
	return p.before != nil || p.after != nil || p.is() == draining, nil
}

// give stops the accepting and passes on what makes both processes one balancer. Until the link ends the other one decides.
func (p *Program) give(l *handover.Link) (any, []syscall.Conn, error) {
	p.changes.Lock()
	defer p.changes.Unlock()
	if p.before != nil || p.after != nil {
		return nil, nil, errors.New("another process has it")
	}
	p.mu.Lock()
	since := p.since
	p.mu.Unlock()
	if !p.turn(handing) {
		return nil, nil, fmt.Errorf("%s", p.is())
	}
	p.after = l
	p.listener.Shut()
	s := handover.State{Version: handover.Version, Out: !since.IsZero(), Held: p.held(), Files: []string{clientsSocket}}
	if s.Out {
		s.Emptying = time.Since(since)
	}
	beside := []syscall.Conn{p.listener}
	if x, ok := p.explainer.(syscall.Conn); ok {
		s.Files, beside = append(s.Files, explainSocket), append(beside, x)
	}
	s.IDsKey, s.IDs = p.front.IDs(func(hash uint64) (taken bool) { return claim(l, hash) })
	s.Agent, s.Revision = p.discovery.Position()
	s.Memory = p.router.Memory()
	p.goal(2)
	return s, beside, nil
}

// takeBack is the end of a process that took over, or began to: this one is what it was, with the changes made since. One
// told to end meanwhile still ends.
func (p *Program) takeBack(l *handover.Link) {
	p.changes.Lock()
	defer p.changes.Unlock()
	if p.after != l {
		return
	}
	p.after = nil
	p.front.IDs(nil)
	p.goal(1)
	p.mu.Lock()
	to := serving
	if !p.since.IsZero() {
		to = emptying
	}
	p.mu.Unlock()
	if !p.turn(to) {
		return
	}
	slog.Warn("the process that took over has ended: serving again")
	p.listener.Open()
	select {
	case p.again <- struct{}{}:
	default:
	}
}

// set does what the other process decided.
func (p *Program) set(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var ch handover.Change
	if err := json.Unmarshal(body, &ch); err != nil {
		return nil, nil, err
	}
	p.changes.Lock()
	defer p.changes.Unlock()
	switch ch.Kind {
	case handover.Offline:
		p.router.Out([]string{ch.Server})
	case handover.Online:
		_ = p.router.ByHand(ch.Server, false) // one unknown here is not out
	case handover.OutOfService, handover.InService:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.phase != handing {
			break
		}
		if ch.Kind == handover.InService {
			p.since = time.Time{}
		} else if p.since.IsZero() {
			p.since = time.Now()
			p.empty(p.inPhase, 0)
		}
	}
	return nil, nil, nil
}

// asked takes a call that came to the process before.
func (p *Program) asked(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var ch handover.Change
	if err := json.Unmarshal(body, &ch); err != nil {
		return nil, nil, err
	}
	ctx, done := context.WithTimeout(p.ctx, callWithin)
	defer done()
	select {
	case <-p.up:
	case <-ctx.Done():
		return nil, nil, errors.New("not ready")
	}
	p.changes.Lock()
	defer p.changes.Unlock()
	// The other one hears of the change before it hears the answer, as what is said keeps its order.
	_, err := p.change(ch)
	if errors.Is(err, control.ErrUnknown) {
		return true, nil, nil
	}
	return false, nil, err
}

// claim asks the process after for an id. Where it says nothing in time the id counts as free: nobody else will say.
func claim(l *handover.Link, hash uint64) (taken bool) {
	ctx, done := context.WithTimeout(context.Background(), claimWithin)
	defer done()
	_, err := l.Ask("claim", hash)(ctx, &taken)
	return err == nil && taken
}

func (p *Program) claimed(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var hash uint64
	if err := json.Unmarshal(body, &hash); err != nil {
		return nil, nil, err
	}
	return p.front.Claim(hash), nil, nil
}

// lent is how many descriptors the process before has in use.
func (p *Program) lent(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var n int
	if err := json.Unmarshal(body, &n); err != nil || n < 0 {
		return nil, nil, errors.New("no count")
	}
	p.changes.Lock()
	defer p.changes.Unlock()
	if p.before != nil {
		p.room.Lend(n)
	}
	return nil, nil, nil
}

const carryAgain = 100 * time.Millisecond // for those that came to stand meanwhile

// carry passes standing connections on. An answer is waited for without an end but the link's: given up on, a connection
// could be gone on with by both.
func (p *Program) carry(ctx context.Context, l *handover.Link) {
	for total := 0; ; {
		n, of := p.front.Carry(ctx, func(s protocol.Standing, client, server syscall.Conn) bool {
			_, err := l.Ask("carry", s, client, server)(context.WithoutCancel(ctx), nil)
			return err == nil || p.ctx.Err() != nil // at our own end it is not known; the other one may go on with it
		})
		if total += n; n > 0 {
			slog.Info("connections passed on", "number", total, "still here", p.front.Held())
		}
		if n == 0 && of > 0 { // whatever stands in the way stands there for the next as well
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(carryAgain):
		}
	}
}

// adopt goes on with a connection of the process before.
func (p *Program) adopt(body []byte, files []*os.File) (any, []syscall.Conn, error) {
	var s protocol.Standing
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, nil, err
	}
	if !s.Sound() || len(files) != 2 {
		return nil, nil, errors.New("no connection")
	}
	p.mu.Lock()
	out := !p.since.IsZero()
	p.mu.Unlock()
	if out { // the other one empties itself; here nobody may see to it any more
		return nil, nil, errors.New("out of service")
	}
	var ends [2]net.Conn
	for i, f := range files {
		c, err := net.FileConn(f)
		if err != nil {
			return nil, nil, errors.Join(err, closed(ends[:i]))
		}
		ends[i] = c
	}
	serve, drop, err := p.front.Adopt(s, ends[0], ends[1], p.room)
	if err != nil {
		return nil, nil, errors.Join(err, closed(ends[:]))
	}
	// Not a byte is passed before the other one is told: should this process end in between, that one goes on where it stood.
	return handover.After(func(written bool) {
		if written {
			p.parts.Go(serve)
		} else {
			drop()
		}
	}), nil, nil
}

func closed(ends []net.Conn) (err error) {
	for _, c := range ends {
		err = errors.Join(err, c.Close())
	}
	return err
}
