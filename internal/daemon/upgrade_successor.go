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
	"yardwinch/internal/retry"
	"yardwinch/internal/transport"
)

// This process as the successor of one that serves: how it takes over.

// errNotYet says that the predecessor may be able to hand over in a moment.
var errNotYet = errors.New("the process that serves is itself new, or ends")

// receiveHandover takes over from the process that serves, if there is one that hands over. Whatever goes wrong,
// this process starts alone and the other one keeps serving. The link to that process lasts as long as ctx; the
// waits end with startCtx, and after takeOverTimeout in all.
func (d *Daemon) receiveHandover(ctx, startCtx context.Context) *inheritance {
	if d.directory == nil {
		return &inheritance{}
	}
	received := d.takeOverOrStartAlone(ctx, startCtx)
	d.goroutines.Go(func() { d.disabled.run(ctx, d.router.DisableAll) })
	return received
}

// takeOverOrStartAlone knows the disabled servers as it returns: from the predecessor, or as an earlier process saved
// them.
func (d *Daemon) takeOverOrStartAlone(ctx, startCtx context.Context) *inheritance {
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
	d.directory.RemoveUnfinished()
	d.restoreDisabled(startCtx)
	return &inheritance{}
}

// awaitPredecessor greets the process that serves until it is ready to hand over; the link is nil where there is none.
func (d *Daemon) awaitPredecessor(ctx, takeOverCtx context.Context) (*handover.Link, error) {
	for start := time.Now(); ; {
		link, err := d.connectPredecessor(ctx, takeOverCtx)
		// An error of the machine may pass: two processes that each count as alone would exceed the limits of one
		// balancer.
		mayPass := retry.IsTransient(err) && time.Since(start) < findTimeout
		if !errors.Is(err, errNotYet) && !mayPass {
			return link, err
		}
		select {
		case <-takeOverCtx.Done():
			return nil, err
		case <-time.After(retryInterval):
		}
	}
}

// restoreDisabled disables the servers that an earlier process saved as disabled. It waits for a directory that
// can't be read, as clients would be sent to these servers meanwhile; not for one that doesn't exist.
func (d *Daemon) restoreDisabled(startCtx context.Context) {
	ctx, cancel := context.WithTimeout(startCtx, loadTimeout)
	defer cancel()
	backoff := retry.Backoff{First: firstStoreRetry, Longest: longestStoreRetry}
	for {
		err := d.disabled.load(d.router.DisableAll)
		d.disabled.recordResult(err)
		if err == nil || errors.Is(err, fs.ErrNotExist) || backoff.Wait(ctx) != nil {
			return
		}
	}
}

// connectPredecessor connects to the process that serves and greets it; the link is nil where there is none. The
// link ends with ctx, the greeting with takeOverCtx.
func (d *Daemon) connectPredecessor(ctx, takeOverCtx context.Context) (*handover.Link, error) {
	conn, err := d.socket.Connect(takeOverCtx)
	if conn == nil || err != nil {
		return nil, err
	}
	handlers := map[string]handover.Handler{
		messageRequestChange: d.answerChange,
		messageClaimID:       d.answerClaim,
		messageTransfer:      d.receiveConnection,
	}
	orderedHandlers := map[string]handover.Handler{messageDescriptorUsage: d.notePredecessorUsage}
	link := handover.NewLink(conn, handlers, orderedHandlers)
	d.goroutines.Go(func() {
		if err := link.Run(ctx); err != nil {
			slog.Warn("hand-over link failed", "error", err)
		}
		d.onPredecessorGone(link)
	})
	if err := d.greetPredecessor(takeOverCtx, link); err != nil {
		link.Close()
		return nil, err
	}
	return link, nil
}

// greetPredecessor asks whether this process may take over.
func (d *Daemon) greetPredecessor(ctx context.Context, link *handover.Link) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var mustWait bool
	hello := handover.Hello{Version: handover.Version, Listen: d.listenAddress}
	if _, err := link.Request(messageHello, hello).Wait(ctx, &mustWait); err != nil {
		return fmt.Errorf("greet the process that serves: %w", err)
	}
	if mustWait {
		return errNotYet
	}
	return nil
}

// takeOver receives the state and the sockets. If either is not complete and valid, nothing changes.
func (d *Daemon) takeOver(ctx context.Context, link *handover.Link) (*inheritance, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var state handover.State
	files, err := link.Request(messageGetState, nil).Wait(ctx, &state)
	received := &inheritance{files: files}
	if err == nil {
		err = state.Validate()
	}
	if err == nil {
		err = d.openReceivedSockets(received, state.Files)
	}
	if err != nil {
		received.closeFiles()
		return nil, err
	}
	d.restore(state)
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	d.predecessor = link
	if state.OutOfService {
		d.lifecycle.setOutOfServiceSince(time.Now().Add(-state.DrainingFor))
	}
	return received, nil
}

// openReceivedSockets opens the descriptors that came, by their names; unknown names are ignored.
func (d *Daemon) openReceivedSockets(received *inheritance, names []string) error {
	if len(received.files) != len(names) {
		return errors.New("descriptors that don't match")
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
		return errors.New("no socket for clients came")
	}
	return nil
}

// clientsListener is the socket for clients; nil where it is not a TCP socket.
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

// restore continues from the predecessor's state.
func (d *Daemon) restore(state handover.State) {
	d.router.Restore(state.Router)
	d.frontend.ImportIDs(state.IDsKey, state.IDs)
	d.discovery.Resume(state.DiscoveryAddress, state.Revision)
	d.descriptorBudget.SetLent(state.DescriptorsInUse)
	d.setMemoryGoal(bothProcesses)
	d.disabled.markLoaded()
	d.disabled.requestSave() // the predecessor may have failed to save some
}

// startServing begins to serve. From the notice to the predecessor on this process decides on changes for both;
// the reply is awaited while startCtx lasts.
func (d *Daemon) startServing(ctx, startCtx context.Context) {
	d.changeMu.Lock()
	link := d.predecessor
	d.changeMu.Unlock() // the predecessor's messages need it meanwhile
	if link != nil {
		d.releasePredecessor(startCtx, link)
	}
	if d.socket == nil {
		d.lifecycle.transition(ctx, d.lifecycle.phaseWithoutSuccessor())
		return
	}
	// A successor may start as soon as this process is ready, and would start alone if it found no socket.
	listener, err := d.socket.Listen(ctx)
	d.lifecycle.transition(ctx, d.lifecycle.phaseWithoutSuccessor())
	d.goroutines.Go(func() { d.awaitSuccessors(ctx, listener, err) })
}

// releasePredecessor tells the predecessor that this process serves.
func (d *Daemon) releasePredecessor(ctx context.Context, link *handover.Link) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if _, err := link.Request(messageServing, nil).Wait(ctx, nil); err != nil {
		link.Close() // it serves again, or is gone; either way the state that it handed over remains right
		<-link.Gone()
		d.onPredecessorGone(link) // it may have gone before it was known as the predecessor
		slog.Warn("predecessor did not release", "error", err)
	}
}

// onPredecessorGone handles that a predecessor has ended.
func (d *Daemon) onPredecessorGone(link *handover.Link) {
	d.changeMu.Lock()
	defer d.changeMu.Unlock()
	if d.predecessor == link {
		d.predecessor = nil
		d.descriptorBudget.SetLent(0)
		d.setMemoryGoal(oneProcess)
		slog.Info("the predecessor has ended")
	}
}
