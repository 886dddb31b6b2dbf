package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/retry"
)

// This file has the predecessor's part of a hand-over.

// awaitSuccessors accepts successors, one after the other. It starts with the result of the first attempt to open the
// hand-over socket. If the directory fails it retries; until that succeeds no other process can find this one.
func (d *Daemon) awaitSuccessors(ctx context.Context, listener *net.UnixListener, listenErr error) {
	var accepting sync.WaitGroup
	defer accepting.Wait()
	closeListener := func() {}
	defer func() { closeListener() }()
	backoff := retry.Backoff{InitialDelay: firstStoreRetry, MaxDelay: longestStoreRetry}
	for failing := false; ; {
		switch {
		case listenErr == nil:
			failing = false
			backoff.Reset()
			closeListener() // only now that its replacement is open, so that a successor always finds a socket
			closeListener = d.acceptSuccessors(ctx, listener, &accepting)
			select {
			case <-ctx.Done():
			case <-d.relisten:
			}
		case !retry.IsTransient(listenErr) && !errors.Is(listenErr, fs.ErrNotExist):
			slog.Error("no hand-over to a successor", "error", listenErr)
			return
		default:
			if !failing {
				slog.Warn("no hand-over to a successor for now", "error", listenErr)
			}
			failing = true
			_ = backoff.Wait(ctx) // the loop checks whether the context ended
		}
		if ctx.Err() != nil {
			return
		}
		listener, listenErr = d.socket.Listen(ctx)
	}
}

// acceptSuccessors serves processes that connect to take over, in the background, until the listener is closed.
func (d *Daemon) acceptSuccessors(ctx context.Context, listener *net.UnixListener, accepting *sync.WaitGroup) (closeListener func()) {
	accepting.Go(func() {
		for {
			conn, err := listener.AcceptUnix()
			if err != nil {
				return
			}
			accepting.Go(func() { d.serveSuccessor(ctx, conn) })
		}
	})
	return func() { _ = listener.Close() } // fails only if it is already closed
}

// serveSuccessor serves one process that connected to take over, until its link ends.
func (d *Daemon) serveSuccessor(ctx context.Context, conn *net.UnixConn) {
	linkCtx, endLink := context.WithCancel(ctx)
	defer endLink()
	var link *handover.Link
	mayTakeOver := false
	link = handover.NewLink(conn, nil, map[string]handover.Handler{
		messageHello: func(_ context.Context, request handover.Request) (handover.Response, error) {
			mustWait, err := d.handleHello(request)
			mayTakeOver = err == nil && !mustWait
			return handover.Response{Body: mustWait}, err
		},
		messageGetState: func(linkCtx context.Context, _ handover.Request) (handover.Response, error) {
			if !mayTakeOver {
				return handover.Response{}, errors.New("no hello received")
			}
			return d.sendState(linkCtx, link)
		},
		messageServing: func(linkCtx context.Context, _ handover.Request) (handover.Response, error) {
			return handover.Response{}, d.onSuccessorServing(ctx, linkCtx, link)
		},
		messageApplyChange: d.applyChange,
		messageSent:        d.handleSent,
	})
	// Closes the link to a process that connects but doesn't take over in time.
	takeOverDeadline := time.AfterFunc(requestTimeout, func() {
		if !d.isSuccessor(link) {
			link.Close()
		}
	})
	defer takeOverDeadline.Stop()
	if err := link.Run(linkCtx); err != nil {
		slog.Warn("hand-over link failed", "error", err)
	}
	endLink()
	d.onSuccessorGone(ctx, link)
}

// handleHello returns an error if the other process can't take over from this one; mustWait says that it can't yet.
func (d *Daemon) handleHello(request handover.Request) (mustWait bool, err error) {
	var hello handover.Hello
	if err := json.Unmarshal(request.Body, &hello); err != nil {
		return false, fmt.Errorf("decode hello: %w", err)
	}
	if hello.Version != handover.Version || hello.ListenAddress != d.listenAddress {
		return false, fmt.Errorf("version %d for %s here, not %d for %s", handover.Version, d.listenAddress, hello.Version, hello.ListenAddress)
	}
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	return d.predecessor != nil || d.successor != nil || d.lifecycle.current() == shuttingDown, nil
}

// sendState stops accepting clients and returns the state and the sockets that the successor needs. Until the link
// ends the successor decides on changes for both processes.
func (d *Daemon) sendState(ctx context.Context, link *handover.Link) (handover.Response, error) {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	if d.predecessor != nil || d.successor != nil {
		return handover.Response{}, errors.New("another hand-over is in progress")
	}
	outOfServiceAt := d.lifecycle.outOfServiceSince()
	if !d.lifecycle.transition(ctx, handingOver) {
		return handover.Response{}, fmt.Errorf("can't hand over in phase %q", d.lifecycle.current())
	}
	d.successor = link
	// From here on the hand-over is completed even if the request is cancelled.
	ctx = context.WithoutCancel(ctx)
	d.disabled.release(ctx)
	d.listener.Pause()
	state := handover.State{
		Version:          handover.Version,
		OutOfService:     !outOfServiceAt.IsZero(),
		DescriptorsInUse: d.descriptorsInUse(),
		DescriptorNames:  []string{clientsSocket},
	}
	if state.OutOfService {
		state.DrainingFor = time.Since(outOfServiceAt)
	}
	sockets := []syscall.Conn{d.listener}
	if explainListener, ok := d.explainListener.(syscall.Conn); ok {
		state.DescriptorNames = append(state.DescriptorNames, explainSocket)
		sockets = append(sockets, explainListener)
	}
	ids := d.frontend.ShareIDs(func(hash uint64) (taken bool) { return claimID(ctx, link, hash) })
	state.IDHashKey, state.IDHashes, state.OpenIDHashes = ids.Key, ids.All, ids.Open
	state.DiscoveryAddress, state.Revision = d.discovery.Position()
	d.router.SetHandedOver(true) // before the snapshot, so that no quota is used in between
	state.Router = d.router.Snapshot()
	d.setGoMemoryLimit(bothProcesses)
	return handover.Response{Body: state, Descriptors: sockets}, nil
}

// claimID claims a flow id at the successor. Without a reply in time the id is treated as free.
func claimID(ctx context.Context, link *handover.Link, hash uint64) (taken bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := link.Request(messageClaimID, hash).Wait(ctx, &taken)
	return err == nil && taken
}

// isSuccessor reports whether the process at the other end of the link has taken over.
func (d *Daemon) isSuccessor(link *handover.Link) bool {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	return d.successor == link
}

// onSuccessorGone is called when the link of a process that connected to take over has ended. If it had taken over, or
// begun to, this process serves again, with the changes made since. If this process is shutting down it continues to.
func (d *Daemon) onSuccessorGone(ctx context.Context, link *handover.Link) {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	if d.successor != link {
		return
	}
	d.successor = nil
	d.frontend.EndIDSharing()
	d.setGoMemoryLimit(oneProcess)
	if !d.lifecycle.transition(ctx, d.lifecycle.phaseWithoutSuccessor()) {
		return
	}
	slog.Warn("successor ended, serving again")
	d.disabled.requestSave()
	d.router.SetHandedOver(false)
	d.listener.Resume()
	select {
	case d.relisten <- struct{}{}:
	default:
	}
}

// onSuccessorServing is called when the successor serves: this process begins to transfer its established
// connections. The transfers need both contexts, to tell the end of the link from the end of this process.
func (d *Daemon) onSuccessorServing(processCtx, linkCtx context.Context, link *handover.Link) error {
	if !d.isSuccessor(link) {
		return errors.New("no state was requested")
	}
	d.releaseExplain()
	d.goroutines.Go(func() { d.sendUsage(linkCtx, link) })
	d.goroutines.Go(func() { d.sendConnections(processCtx, linkCtx, link) })
	return nil
}

// releaseExplain closes the explain socket. From now on only the successor answers: each query is received by just one
// of the processes.
func (d *Daemon) releaseExplain() {
	if listener, ok := d.explainListener.(*net.UnixListener); ok {
		listener.SetUnlinkOnClose(false)
		_ = listener.Close() // fails only if it is already closed
	}
}

// applyChange applies a change that the successor decided on.
func (d *Daemon) applyChange(ctx context.Context, request handover.Request) (handover.Response, error) {
	var change handover.Change
	if err := json.Unmarshal(request.Body, &change); err != nil {
		return handover.Response{}, fmt.Errorf("decode change: %w", err)
	}
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	switch change.Kind {
	case handover.Offline:
		d.router.DisableServers([]string{change.Server})
	case handover.Online:
		_ = d.router.SetDisabled(change.Server, false) // a server that is unknown here is not disabled
	case handover.OutOfService, handover.InService:
		d.lifecycle.setInServiceWhileHandingOver(ctx, change.Kind == handover.InService)
	}
	return handover.Response{}, nil
}

// handleSent records the id of a flow that the successor sends to a server: this process serves again if the successor
// ends.
func (d *Daemon) handleSent(_ context.Context, request handover.Request) (handover.Response, error) {
	var hash uint64
	if err := json.Unmarshal(request.Body, &hash); err != nil {
		return handover.Response{}, fmt.Errorf("decode id hash: %w", err)
	}
	d.frontend.AddServedHash(hash)
	return handover.Response{}, nil
}

// sendUsage sends the successor the number of descriptors in use here, each time that it changes.
func (d *Daemon) sendUsage(ctx context.Context, link *handover.Link) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for last := -1; ; {
		if used := d.descriptorsInUse(); used != last {
			last = used
			if link.Notify(messageDescriptorUsage, used) != nil {
				return // the link has ended
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-link.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendConnections transfers established connections until the link ends. It waits for replies without a timeout: the
// successor may have taken over a connection whose reply is late, and both processes would serve it.
func (d *Daemon) sendConnections(processCtx, linkCtx context.Context, link *handover.Link) {
	replyCtx := context.WithoutCancel(linkCtx)
	transfer := func(connection protocol.EstablishedConnection, client, server syscall.Conn) bool {
		_, err := link.Request(messageTransfer, connection, client, server).Wait(replyCtx, nil)
		// When this process exits a reply may be lost, and the successor may have the connection.
		return err == nil || processCtx.Err() != nil
	}
	for total := 0; ; {
		sent, attempted := d.frontend.TransferConnections(linkCtx, transfer)
		total += sent
		if sent > 0 {
			slog.Info("connections handed over", "connections", total, "remaining", d.frontend.ConnectionCount())
		}
		if sent == 0 && attempted > 0 { // the next attempt would fail for the same reason
			return
		}
		select {
		case <-linkCtx.Done():
			return
		case <-time.After(transferRetryInterval):
		}
	}
}
