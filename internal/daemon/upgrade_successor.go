package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"yardwinch/internal/admin"
	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/retry"
	"yardwinch/internal/transport"
)

// The receiver of a hand-over: this process as the successor of one that serves.

// errNotYet says that the predecessor may hand over in a moment.
var errNotYet = errors.New("the process that serves is itself new, or ends")

// receiveHandover takes over from the process that serves now, if one does and will. Whatever goes wrong, this process starts
// alone; the other then goes on as if nothing had been. Nothing is waited for once starting ends, nor for longer than takeOverTimeout
// in all.
func (p *Daemon) receiveHandover(ctx, starting context.Context) *inherited {
	if p.directory == nil {
		return &inherited{}
	}
	defer p.goroutines.Go(func() { p.disabled.run(ctx, p.router.DisableAll) })
	waiting, done := context.WithTimeout(starting, takeOverTimeout)
	defer done()
	link, err := p.awaitPredecessor(ctx, waiting)
	switch {
	case err != nil:
		slog.Warn("no hand-over from the process that serves", "error", err)
	case link != nil:
		received, err := p.takeOver(waiting, link)
		if err == nil {
			return received
		}
		link.Close()
		slog.Warn("not taken over from the process that serves", "error", err)
	}
	p.directory.RemoveUnfinished()
	p.restoreDisabled(starting)
	return &inherited{}
}

// awaitPredecessor asks the process that serves now until it is ready to hand over; nil where there is none.
func (p *Daemon) awaitPredecessor(ctx, waiting context.Context) (*handover.Link, error) {
	for start := time.Now(); ; {
		link, err := p.connectPredecessor(ctx, waiting)
		passing := retry.IsTransient(err) && time.Since(start) < findTimeout // alone beside one that serves it would break rules
		if !errors.Is(err, errNotYet) && !passing {
			return link, err
		}
		select {
		case <-waiting.Done():
			return nil, err
		case <-time.After(retryInterval):
		}
	}
}

// restoreDisabled takes out the servers that an earlier process had out by hand. A folder that can't be read is waited for: whoever comes
// meanwhile would be sent to them. One that is not there is not; it may come later.
func (p *Daemon) restoreDisabled(starting context.Context) {
	ctx, done := context.WithTimeout(starting, loadTimeout)
	defer done()
	waits := retry.Backoff{First: firstStoreRetry, Longest: longestStoreRetry}
	for {
		err := p.disabled.load(p.router.DisableAll)
		p.disabled.recordResult(err)
		if err == nil || errors.Is(err, fs.ErrNotExist) || waits.Wait(ctx) != nil {
			return
		}
	}
}

// connectPredecessor finds the process that serves now and greets it; nil where there is none. The link ends with ctx, the greeting
// with waiting.
func (p *Daemon) connectPredecessor(ctx, waiting context.Context) (*handover.Link, error) {
	conn, err := p.directory.Find()
	if conn == nil || err != nil {
		return nil, err
	}
	requests := map[string]handover.Handler{
		messageRequestChange: p.answerChange,
		messageClaimID:       p.answerClaim,
		messageTransfer:      p.receiveConnection,
	}
	notices := map[string]handover.Handler{messageDescriptorUsage: p.notePredecessorUsage}
	link := handover.NewLink(conn, requests, notices)
	context.AfterFunc(ctx, link.Close)
	p.goroutines.Go(func() {
		if err := link.Run(); err != nil {
			slog.Warn("hand-over broken off", "error", err)
		}
		p.predecessorGone(link)
	})
	if err := p.greetPredecessor(waiting, link); err != nil {
		link.Close()
		return nil, err
	}
	return link, nil
}

// greetPredecessor asks whether this process may take over.
func (p *Daemon) greetPredecessor(ctx context.Context, link *handover.Link) error {
	ctx, done := context.WithTimeout(ctx, requestTimeout)
	defer done()
	var later bool
	hello := handover.Hello{Version: handover.Version, Listen: p.listenAddress}
	if _, err := link.Ask(messageHello, hello)(ctx, &later); err != nil {
		return err
	}
	if later {
		return errNotYet
	}
	return nil
}

// takeOver is the moment in which one process stands in for the other. A state that can't be taken whole changes nothing.
func (p *Daemon) takeOver(ctx context.Context, link *handover.Link) (*inherited, error) {
	ctx, done := context.WithTimeout(ctx, requestTimeout)
	defer done()
	var state handover.State
	files, err := link.Ask(messageGetState, nil)(ctx, &state)
	received := &inherited{files: files}
	if err == nil {
		err = state.Validate()
	}
	if err == nil {
		err = p.openSockets(received, state.Files)
	}
	if err != nil {
		received.closeFiles()
		return nil, err
	}
	p.restore(state)
	p.changing.Lock()
	defer p.changing.Unlock()
	p.predecessor = link
	if state.OutOfService {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.drainingSince = time.Now().Add(-state.DrainingFor)
	}
	return received, nil
}

// openSockets opens the sockets that came, by their names.
func (p *Daemon) openSockets(received *inherited, names []string) error {
	if len(received.files) != len(names) {
		return errors.New("descriptors that don't match")
	}
	for i, name := range names {
		var err error
		switch name {
		case clientsSocket:
			received.listener, err = clientsListener(received.files[i])
		case explainSocket:
			if p.options.ExplainSocket() != "" {
				received.explainer, err = net.FileListener(received.files[i])
			}
		}
		if err != nil {
			return err
		}
	}
	if received.listener == nil {
		return errors.New("no socket for clients came")
	}
	return nil
}

// clientsListener is the socket on which clients connect; nil where it is no TCP one.
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

// restore goes on where the predecessor stood.
func (p *Daemon) restore(state handover.State) {
	p.router.Restore(state.Router)
	p.frontend.ImportIDs(state.IDsKey, state.IDs)
	p.discovery.Resume(state.DiscoveryAddress, state.Revision)
	p.descriptorBudget.SetLent(state.Connections)
	p.setMemoryGoal(bothProcesses)
	p.disabled.markLoaded()
	p.disabled.requestSave() // the predecessor may have held some in memory alone
}

// startServing begins to serve, and tells the predecessor of it, from when on this process decides for both. The answer is waited for
// while starting lasts.
func (p *Daemon) startServing(ctx, starting context.Context) {
	p.changing.Lock()
	link := p.predecessor
	p.changing.Unlock() // what the other one says meanwhile needs it
	if link != nil {
		p.releasePredecessor(starting, link)
	}
	p.transition(p.phaseWithoutSuccessor())
	if p.directory != nil {
		p.goroutines.Go(func() { p.awaitSuccessors(ctx) })
	}
}

// releasePredecessor tells the predecessor that this process serves.
func (p *Daemon) releasePredecessor(ctx context.Context, link *handover.Link) {
	ctx, done := context.WithTimeout(ctx, requestTimeout)
	defer done()
	if _, err := link.Ask(messageServing, nil)(ctx, nil); err != nil {
		link.Close() // it takes back what it gave, or is gone; what is taken over stays right
		<-link.Gone()
		p.predecessorGone(link) // it may have gone before it was known as the predecessor
		slog.Warn("the predecessor does not let go", "error", err)
	}
}

// predecessorGone is the end of the predecessor.
func (p *Daemon) predecessorGone(link *handover.Link) {
	p.changing.Lock()
	defer p.changing.Unlock()
	if p.predecessor == link {
		p.predecessor = nil
		p.descriptorBudget.SetLent(0)
		p.setMemoryGoal(oneProcess)
		slog.Info("the predecessor has ended")
	}
}

// answerChange makes a change that was called for at the predecessor.
func (p *Daemon) answerChange(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var change handover.Change
	if err := json.Unmarshal(body, &change); err != nil {
		return nil, nil, err
	}
	ctx, done := context.WithTimeout(p.ctx, callTimeout)
	defer done()
	select {
	case <-p.started:
	case <-ctx.Done():
		return nil, nil, errors.New("not ready")
	}
	p.changing.Lock()
	// The predecessor hears of the change before it hears the answer, as what is said keeps its order.
	_, err := p.decideChange(change)
	p.changing.Unlock()
	if errors.Is(err, admin.ErrUnknown) {
		return true, nil, nil
	}
	p.awaitSaved(ctx)
	return false, nil, err
}

// answerClaim takes an id for the predecessor, and tells whether it was taken before.
func (p *Daemon) answerClaim(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var hash uint64
	if err := json.Unmarshal(body, &hash); err != nil {
		return nil, nil, err
	}
	return p.frontend.ClaimHash(hash), nil, nil
}

// notePredecessorUsage takes in how many descriptors the predecessor has in use.
func (p *Daemon) notePredecessorUsage(body []byte, _ []*os.File) (any, []syscall.Conn, error) {
	var count int
	if err := json.Unmarshal(body, &count); err != nil || count < 0 {
		return nil, nil, errors.New("no count")
	}
	p.changing.Lock()
	defer p.changing.Unlock()
	if p.predecessor != nil {
		p.descriptorBudget.SetLent(count)
	}
	return nil, nil, nil
}

// receiveConnection goes on with a connection of the predecessor.
func (p *Daemon) receiveConnection(body []byte, files []*os.File) (any, []syscall.Conn, error) {
	var standing protocol.EstablishedConnection
	if err := json.Unmarshal(body, &standing); err != nil {
		return nil, nil, err
	}
	if !standing.IsValid() || len(files) != 2 {
		return nil, nil, errors.New("no connection")
	}
	if p.outOfService() { // the predecessor empties itself; here nobody may see to it any more
		return nil, nil, errors.New("out of service")
	}
	var ends [2]net.Conn
	for i, file := range files {
		conn, err := net.FileConn(file)
		if err != nil {
			return nil, nil, errors.Join(err, closeAll(ends[:i]))
		}
		ends[i] = conn
	}
	serve, drop, err := p.frontend.AdoptConnection(standing, ends[0], ends[1], p.descriptorBudget)
	if err != nil {
		return nil, nil, errors.Join(err, closeAll(ends[:]))
	}
	// Not a byte is passed before the predecessor is told: should this process end in between, that one goes on where it stood.
	return handover.After(func(written bool) {
		if written {
			p.goroutines.Go(serve)
		} else {
			drop()
		}
	}), nil, nil
}

func closeAll(conns []net.Conn) (err error) {
	for _, conn := range conns {
		err = errors.Join(err, conn.Close())
	}
	return err
}
