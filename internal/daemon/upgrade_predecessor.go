package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/retry"
)

// The sender of a hand-over: this process as the predecessor of one that takes over.

// awaitSuccessors waits for a process that takes over from this one, again when one has gone. A folder that fails is tried again: until it
// works no other process finds this one.
func (p *Daemon) awaitSuccessors(ctx context.Context) {
	waits := retry.Backoff{First: firstStoreRetry, Longest: longestStoreRetry}
	for failed := false; ; {
		listener, err := p.directory.Listen()
		switch {
		case err == nil:
			failed = false
			waits.Reset()
			p.acceptSuccessors(ctx, listener)
		case !retry.IsTransient(err) && !errors.Is(err, fs.ErrNotExist):
			slog.Error("no other process can take over from this one", "error", err)
			return
		default:
			if !failed {
				slog.Warn("no other process can take over from this one for now", "error", err)
			}
			failed = true
			_ = waits.Wait(ctx) // its end is seen below
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// acceptSuccessors deals with the processes that want to take over, until the socket where they find this one is another's.
func (p *Daemon) acceptSuccessors(ctx context.Context, listener *net.UnixListener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var links sync.WaitGroup
	links.Go(func() {
		for {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			links.Go(func() { p.serveSuccessor(ctx, conn) })
		}
	})
	select {
	case <-ctx.Done():
	case <-p.relisten:
		_ = listener.Close()
	}
	links.Wait()
}

// serveSuccessor deals with one process that wants to take over.
func (p *Daemon) serveSuccessor(ctx context.Context, conn *net.UnixConn) {
	var link *handover.Link
	greeted := false
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	link = handover.NewLink(conn, nil, map[string]handover.Handler{
		messageHello: func(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
			later, err := p.answerGreeting(body)
			greeted = err == nil && !later
			return later, nil, err
		},
		messageGetState: func([]byte, []*os.File) (any, []syscall.Conn, error) {
			if !greeted {
				return nil, nil, errors.New("no greeting")
			}
			return p.sendState(link)
		},
		messageServing: func([]byte, []*os.File) (any, []syscall.Conn, error) {
			if !p.isSuccessor(link) {
				return nil, nil, errors.New("nothing was given")
			}
			p.releaseExplainer()
			p.goroutines.Go(func() { p.sendUsage(sending, link) })
			p.goroutines.Go(func() { p.sendConnections(sending, link) })
			return nil, nil, nil
		},
		messageApplyChange: p.applyChange,
	})
	defer context.AfterFunc(ctx, link.Close)()
	silent := time.AfterFunc(requestTimeout, func() { // whoever comes and says nothing
		if !p.isSuccessor(link) {
			link.Close()
		}
	})
	defer silent.Stop()
	if err := link.Run(); err != nil {
		slog.Warn("hand-over broken off", "error", err)
	}
	stopSending()
	p.successorGone(link)
}

// answerGreeting tells whether a process may take over from this one; later: not yet.
func (p *Daemon) answerGreeting(body []byte) (later bool, err error) {
	var hello handover.Hello
	if err := json.Unmarshal(body, &hello); err != nil {
		return false, err
	}
	if hello.Version != handover.Version || hello.Listen != p.listenAddress {
		return false, fmt.Errorf("version %d for %s here, not %d for %s", handover.Version, p.listenAddress, hello.Version, hello.Listen)
	}
	p.changing.Lock()
	defer p.changing.Unlock()
	return p.predecessor != nil || p.successor != nil || p.currentPhase() == shuttingDown, nil
}

// sendState stops the accepting and passes on what makes both processes one balancer. Until the link ends the successor decides.
func (p *Daemon) sendState(link *handover.Link) (any, []syscall.Conn, error) {
	p.changing.Lock()
	defer p.changing.Unlock()
	if p.predecessor != nil || p.successor != nil {
		return nil, nil, errors.New("another process has it")
	}
	p.mu.Lock()
	since := p.drainingSince
	p.mu.Unlock()
	if !p.transition(handingOver) {
		return nil, nil, fmt.Errorf("%s", p.currentPhase())
	}
	p.successor = link
	p.disabled.release()
	p.listener.Pause()
	state := handover.State{
		Version:      handover.Version,
		OutOfService: !since.IsZero(),
		Connections:  p.usedDescriptors(),
		Files:        []string{clientsSocket},
	}
	if state.OutOfService {
		state.DrainingFor = time.Since(since)
	}
	sockets := []syscall.Conn{p.listener}
	if explainer, ok := p.explainer.(syscall.Conn); ok {
		state.Files = append(state.Files, explainSocket)
		sockets = append(sockets, explainer)
	}
	state.IDsKey, state.IDs = p.frontend.ShareIDs(func(hash uint64) (taken bool) { return claimID(link, hash) })
	state.DiscoveryAddress, state.Revision = p.discovery.Position()
	p.router.SetHandedOver(true) // before the state is taken: nothing is spent in between
	state.Router = p.router.Snapshot()
	p.setMemoryGoal(bothProcesses)
	return state, sockets, nil
}

// claimID asks the successor for an id. Where it says nothing in time the id counts as free: nobody else will say.
func claimID(link *handover.Link, hash uint64) (taken bool) {
	ctx, done := context.WithTimeout(context.Background(), claimTimeout)
	defer done()
	_, err := link.Ask(messageClaimID, hash)(ctx, &taken)
	return err == nil && taken
}

// isSuccessor tells whether the process at the other end has taken over.
func (p *Daemon) isSuccessor(link *handover.Link) bool {
	p.changing.Lock()
	defer p.changing.Unlock()
	return p.successor == link
}

// successorGone is the end of a process that took over, or began to: this one is what it was, with the changes made since. One
// told to end meanwhile still ends.
func (p *Daemon) successorGone(link *handover.Link) {
	p.changing.Lock()
	defer p.changing.Unlock()
	if p.successor != link {
		return
	}
	p.successor = nil
	p.frontend.ShareIDs(nil)
	p.setMemoryGoal(oneProcess)
	if !p.transition(p.phaseWithoutSuccessor()) {
		return
	}
	slog.Warn("the successor has ended: serving again")
	p.disabled.requestSave()
	p.router.SetHandedOver(false)
	p.listener.Resume()
	select {
	case p.relisten <- struct{}{}:
	default:
	}
}

// releaseExplainer closes what the successor reads from now on: both would get a part of it.
func (p *Daemon) releaseExplainer() {
	if unix, ok := p.explainer.(*net.UnixListener); ok {
		unix.SetUnlinkOnClose(false)
		_ = unix.Close()
	}
}

// applyChange does what the successor decided.
func (p *Daemon) applyChange(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var change handover.Change
	if err := json.Unmarshal(body, &change); err != nil {
		return nil, nil, err
	}
	p.changing.Lock()
	defer p.changing.Unlock()
	switch change.Kind {
	case handover.Offline:
		p.router.DisableAll([]string{change.Server})
	case handover.Online:
		_ = p.router.SetDisabled(change.Server, false) // one unknown here is not out
	case handover.OutOfService, handover.InService:
		p.applyService(change.Kind == handover.InService)
	}
	return nil, nil, nil
}

// applyService goes out of service or back into it, while the successor serves.
func (p *Daemon) applyService(in bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.phase != handingOver:
	case in:
		p.drainingSince = time.Time{}
	case p.drainingSince.IsZero():
		p.drainingSince = time.Now()
		p.startDrain(p.inPhase, 0)
	}
}

// sendUsage tells the successor how many descriptors are in use here.
func (p *Daemon) sendUsage(ctx context.Context, link *handover.Link) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for last := -1; ; {
		if used := p.usedDescriptors(); used != last {
			last = used
			if link.Say(messageDescriptorUsage, used) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-link.Gone():
			return
		case <-ticker.C:
		}
	}
}

// sendConnections passes standing connections on. An answer is waited for without an end but the link's: given up on, a connection
// could be gone on with by both.
func (p *Daemon) sendConnections(ctx context.Context, link *handover.Link) {
	send := func(standing protocol.EstablishedConnection, client, server syscall.Conn) bool {
		_, err := link.Ask(messageTransfer, standing, client, server)(context.WithoutCancel(ctx), nil)
		return err == nil || p.ctx.Err() != nil // at our own end it is not known; the successor may go on with it
	}
	for total := 0; ; {
		sent, tried := p.frontend.TransferConnections(ctx, send)
		total += sent
		if sent > 0 {
			slog.Info("connections handed over", "number", total, "still here", p.frontend.ConnectionCount())
		}
		if sent == 0 && tried > 0 { // whatever stands in the way stands there for the next as well
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(resendInterval):
		}
	}
}
