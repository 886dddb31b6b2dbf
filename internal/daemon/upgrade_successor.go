package daemon

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"time"

	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/retry"
	"yardwinch/internal/transport"
)

// This file has the successor's part of a hand-over.

// errPredecessorNotReady says that the predecessor can't hand over now, but may be able to soon.
var errPredecessorNotReady = errors.New("the predecessor is itself taking over or handing over, or shuts down")

// receiveHandover takes over from the process that serves, if there is one. If that fails this process starts alone and
// the other one keeps serving. The link to the predecessor lasts until ctx ends; the hand-over is limited by startCtx
// and by takeOverTimeout.
func (d *Daemon) receiveHandover(ctx, startCtx context.Context) *receivedSockets {
	if d.directory == nil {
		return &receivedSockets{}
	}
	received := d.takeOverOrStartAlone(ctx, startCtx)
	d.goroutines.Go(func() { d.disabled.run(ctx, d.router.DisableServers) })
	return received
}

// takeOverOrStartAlone takes over if there is a predecessor. When it returns the disabled servers are known, from the
// predecessor or from the file of an earlier process.
func (d *Daemon) takeOverOrStartAlone(ctx, startCtx context.Context) *receivedSockets {
	takeOverCtx, cancel := context.WithTimeout(startCtx, takeOverTimeout)
	defer cancel()
	link, err := d.awaitPredecessor(ctx, takeOverCtx)
	switch {
	case err != nil:
		slog.Warn("no hand-over from the process that serves", "error", err)
	case link != nil:
		received, err := d.takeOver(takeOverCtx, link)
		if err == nil {
			return received
		}
		link.Close()
		slog.Warn("hand-over failed, starting alone", "error", err)
	}
	d.directory.RemoveTemporaryFiles()
	d.restoreDisabled(startCtx)
	return &receivedSockets{}
}

// awaitPredecessor connects to the process that serves, and retries until it is ready to hand over; the link is nil if
// there is none.
func (d *Daemon) awaitPredecessor(ctx, takeOverCtx context.Context) (*handover.Link, error) {
	for start := time.Now(); ; {
		link, err := d.connectPredecessor(ctx, takeOverCtx)
		// Transient system errors are retried: if both processes served on their own they would together exceed the
		// limits of one balancer.
		isTransient := retry.IsTransient(err) && time.Since(start) < findTimeout
		if !errors.Is(err, errPredecessorNotReady) && !isTransient {
			return link, err
		}
		select {
		case <-takeOverCtx.Done():
			return nil, err
		case <-time.After(takeOverRetryInterval):
		}
	}
}

// restoreDisabled disables the servers that an earlier process saved as disabled. It retries a directory that can't be
// read, as clients would be sent to these servers meanwhile, but not one that doesn't exist.
func (d *Daemon) restoreDisabled(startCtx context.Context) {
	ctx, cancel := context.WithTimeout(startCtx, loadTimeout)
	defer cancel()
	backoff := retry.Backoff{InitialDelay: firstStoreRetry, MaxDelay: longestStoreRetry}
	for {
		err := d.disabled.load(d.router.DisableServers)
		d.disabled.recordResult(err)
		if err == nil || errors.Is(err, fs.ErrNotExist) || backoff.Wait(ctx) != nil {
			return
		}
	}
}

// connectPredecessor connects to the process that serves and asks whether this process may take over; the link is nil
// if there is none. The link ends with ctx, the request with takeOverCtx.
func (d *Daemon) connectPredecessor(ctx, takeOverCtx context.Context) (*handover.Link, error) {
	conn, err := d.socket.Connect(takeOverCtx)
	if conn == nil || err != nil {
		return nil, err
	}
	handlers := map[string]handover.Handler{
		messageRequestChange: d.handleRequestChange,
		messageClaimID:       d.handleClaimID,
		messageTransfer:      d.handleTransfer,
	}
	orderedHandlers := map[string]handover.Handler{messageDescriptorUsage: d.handleDescriptorUsage}
	link := handover.NewLink(conn, handlers, orderedHandlers)
	d.goroutines.Go(func() {
		if err := link.Run(ctx); err != nil {
			slog.Warn("hand-over link failed", "error", err)
		}
		d.onPredecessorGone(link)
	})
	if err := d.sendHello(takeOverCtx, link); err != nil {
		link.Close()
		return nil, err
	}
	return link, nil
}

// sendHello asks the predecessor whether this process may take over.
func (d *Daemon) sendHello(ctx context.Context, link *handover.Link) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var mustWait bool
	hello := handover.Hello{Version: handover.Version, ListenAddress: d.listenAddress}
	if _, err := link.Request(messageHello, hello).Wait(ctx, &mustWait); err != nil {
		return fmt.Errorf("ask the process that serves for a hand-over: %w", err)
	}
	if mustWait {
		return errPredecessorNotReady
	}
	return nil
}

// takeOver receives the state and the sockets. If either is incomplete or invalid nothing changes in this process.
func (d *Daemon) takeOver(ctx context.Context, link *handover.Link) (*receivedSockets, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var state handover.State
	files, err := link.Request(messageGetState, nil).Wait(ctx, &state)
	received := &receivedSockets{files: files}
	if err == nil {
		err = state.Validate()
	}
	if err == nil {
		err = d.openReceivedSockets(received, state.DescriptorNames)
	}
	if err != nil {
		received.closeFiles()
		return nil, err
	}
	d.restore(state, d.reportSentIDs(link))
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	d.predecessor = link
	if state.OutOfService {
		d.lifecycle.setOutOfServiceSince(time.Now().Add(-state.DrainingFor))
	}
	return received, nil
}

// openReceivedSockets opens the received descriptors by their names; unknown names are ignored.
func (d *Daemon) openReceivedSockets(received *receivedSockets, names []string) error {
	if len(received.files) != len(names) {
		return errors.New("number of descriptors doesn't match the state")
	}
	for i, name := range names {
		var err error
		switch name {
		case clientsSocket:
			received.listener, err = clientsListener(received.files[i])
		case explainSocket:
			if d.options.ExplainSocket() != "" {
				received.explainListener, err = net.FileListener(received.files[i])
			}
		}
		if err != nil {
			return fmt.Errorf("open the received socket %q: %w", name, err)
		}
	}
	if received.listener == nil {
		return errors.New("no socket for clients received")
	}
	return nil
}

// clientsListener opens the socket for clients; the result is nil if it is not a TCP socket.
func clientsListener(file *os.File) (*transport.PausableListener, error) {
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	if tcp, ok := listener.(*net.TCPListener); ok {
		return transport.NewPausableListener(tcp), nil
	}
	return nil, nil
}

// sentID is the id of a flow that is about to be sent to a server.
type sentID struct {
	hash     uint64
	reported chan struct{} // closed once the predecessor can read it
}

// reportSentIDs returns a function that reports the id of a flow to the predecessor, before the flow is sent to a server: if
// this process is killed, the predecessor serves again, and a client that comes again must not run its flow twice. A
// predecessor that doesn't read delays a flow by no more than sentReportTimeout.
func (d *Daemon) reportSentIDs(link *handover.Link) func(hash uint64) {
	ids := make(chan sentID)
	d.goroutines.Go(func() {
		for {
			select {
			case <-link.Done():
				return
			case id := <-ids:
				_ = link.Notify(messageSent, id.hash) // fails once the predecessor has ended, which needs no ids
				close(id.reported)
			}
		}
	})
	return func(hash uint64) {
		id := sentID{hash: hash, reported: make(chan struct{})}
		timeout := time.NewTimer(sentReportTimeout)
		defer timeout.Stop()
		select {
		case ids <- id:
		case <-link.Done():
			return
		case <-timeout.C:
			return
		}
		select {
		case <-id.reported:
		case <-timeout.C:
		}
	}
}

// restore applies the predecessor's state. onSent is called for each flow that is sent to a server.
func (d *Daemon) restore(state handover.State, onSent func(hash uint64)) {
	d.router.Restore(state.Router)
	ids := protocol.SharedIDs{Key: state.IDHashKey, All: state.IDHashes, Open: state.OpenIDHashes}
	d.frontend.ImportIDs(ids, onSent)
	d.discovery.Resume(state.DiscoveryAddress, state.Revision)
	d.descriptorBudget.SetLent(state.DescriptorsInUse)
	d.setGoMemoryLimit(bothProcesses)
	d.disabled.markLoaded()
	d.disabled.requestSave() // the predecessor may have failed to save some
}

// startServing begins to serve. It first tells the predecessor, whose reply it awaits until startCtx ends; from that
// message on this process decides on changes for both.
func (d *Daemon) startServing(ctx, startCtx context.Context) {
	d.changeMu.Lock()
	link := d.predecessor
	d.changeMu.Unlock() // handlers of the predecessor's messages need it meanwhile
	if link != nil {
		d.announceServing(startCtx, link)
	}
	if d.socket == nil {
		d.lifecycle.transition(ctx, d.lifecycle.phaseWithoutSuccessor())
		return
	}
	// The socket is opened first: a successor may start as soon as this process is ready, and would start alone if it
	// found no socket.
	listener, err := d.socket.Listen(ctx)
	d.lifecycle.transition(ctx, d.lifecycle.phaseWithoutSuccessor())
	d.goroutines.Go(func() { d.awaitSuccessors(ctx, listener, err) })
}

// announceServing tells the predecessor that this process serves.
func (d *Daemon) announceServing(ctx context.Context, link *handover.Link) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if _, err := link.Request(messageServing, nil).Wait(ctx, nil); err != nil {
		d.changeMu.Lock()
		d.sharesListener = true
		d.changeMu.Unlock()
		link.Close() // the predecessor serves again or has exited; either way the state that it handed over remains valid
		<-link.Done()
		d.onPredecessorGone(link) // the link may have ended before it was set as the predecessor's
		slog.Warn("predecessor did not release", "error", err)
	}
}

// leaveListener leaves new clients to the predecessor, if there is one, as this process shuts down: the predecessor serves
// again. Without this it would hear nobody, as the filter of a listener that finishes belongs to the socket of both.
func (d *Daemon) leaveListener() {
	d.changeMu.Lock()
	predecessor := d.predecessor
	isShared := d.sharesListener || predecessor != nil
	d.changeMu.Unlock()
	if isShared {
		d.listener.Pause()
	}
	if predecessor != nil {
		predecessor.Close()
	}
}

// onPredecessorGone is called when the link to a predecessor has ended.
func (d *Daemon) onPredecessorGone(link *handover.Link) {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	if d.predecessor == link {
		d.predecessor = nil
		d.frontend.EndIDSharing()
		d.descriptorBudget.SetLent(0)
		d.setGoMemoryLimit(oneProcess)
		slog.Info("the predecessor has ended")
	}
}
