package protocol

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	// firstLineTimeout runs from the accept to the end of the line that opens a flow, whatever is sent before it. A
	// client that sends nothing, or PING without end, must be answered within 3 s, and the accept may have come late.
	firstLineTimeout = 2 * time.Second
	// maxPings bounds the PINGs on one connection: hundreds at once do not ask whether this balancer lives.
	maxPings = 16
)

// BusyReply is sent to a connection that is closed to free its descriptor: it was promised nothing and may retry.
const BusyReply = "BUSY\r\n"

// Why a connection was rejected. The client gets the text, unless the answer is BUSY.
var (
	errIDTaken           = errors.New("this id was another connection's")
	errNoDescriptors     = errors.New("no descriptor left") // answered by BUSY
	errOutOfService      = errors.New("out of service")     // answered by BUSY
	errFirstLineTimeout  = errors.New("no whole line in time")
	errTooManyPings      = errors.New("too many PINGs")
	errSpokeBeforeAnswer = errors.New("spoke before its answer")
	errMayHaveRun        = errors.New("given up")
	errClientLeft        = errors.New("the client left")
	errNotReestablished  = errors.New("not up")
	errAborted           = errors.New("no answer")
)

// Frontend serves the clients' connections.
type Frontend struct {
	router         *routing.Router
	dialer         transport.Dialer
	connectTimeout time.Duration // of a server's handshake
	retryAfter     time.Duration // advised to rejected clients; 0: none is
	ids            *flowIDs

	// stopping ends, with all waits of sessions for an answer, once Stop is called.
	stopping context.Context
	stop     context.CancelFunc

	outOfService atomic.Bool // PING is answered by BUSY
	rejectsAll   atomic.Bool // new flows are answered by BUSY too

	mu                 sync.Mutex   // guards the fields below
	connectionCount    int          // sessions that have not ended
	established        []*session   // those not yet asked to migrate
	transferConnection TransferFunc // nil: there is no other process
}

// NewFrontend makes a frontend. connectTimeout bounds a server's handshake; retryAfter is advised to clients that are
// rejected for lack of capacity, 0 advises nothing.
func NewFrontend(r *routing.Router, connectTimeout, retryAfter time.Duration) *Frontend {
	f := &Frontend{router: r, connectTimeout: connectTimeout, retryAfter: retryAfter, ids: newFlowIDs()}
	f.stopping, f.stop = context.WithCancel(context.Background())
	return f
}

// Stop ends what still waits for an answer, with an answer.
func (f *Frontend) Stop() { f.stop() }

// Availability says whether the layer before the balancers is to send clients here, and what becomes of those that
// still come.
type Availability uint8

const (
	// InService answers PING by PONG and serves clients.
	InService Availability = iota
	// OutOfService answers PING by BUSY and serves the clients that come before the layer notices.
	OutOfService
	// RejectingClients answers PING by BUSY, and new flows too: the layer had the time to notice.
	RejectingClients
)

// SetAvailability applies to the clients that come from now on.
func (f *Frontend) SetAvailability(availability Availability) {
	f.outOfService.Store(availability != InService)
	f.rejectsAll.Store(availability == RejectingClients)
}

// ConnectionCount is how many clients' connections are being served.
func (f *Frontend) ConnectionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connectionCount
}

func (f *Frontend) addConnections(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connectionCount += n
}

// Serve takes one client's connection from its first line to its end.
func (f *Frontend) Serve(client *transport.Conn) {
	line, err := f.readFirstLine(client)
	switch {
	case err != nil:
	case f.rejectsAll.Load():
		err = errOutOfService
	case client.HasUnread():
		err = errSpokeBeforeAnswer // a client that does not wait for its answer speaks another protocol
	}
	if !client.MarkActive() {
		return // it was closed to free its descriptor
	}
	if err != nil {
		f.reject(client, err)
		return
	}
	f.addConnections(1)
	defer f.addConnections(-1)
	s := &session{frontend: f, client: client, openLine: line, settled: make(chan struct{})}
	s.run()
}

// readFirstLine answers PING until another line comes.
func (f *Frontend) readFirstLine(client *transport.Conn) (string, error) {
	client.SetReadDeadline(time.Now().Add(firstLineTimeout))
	defer context.AfterFunc(f.stopping, client.InterruptRead)()
	for range maxPings {
		line, err := readLine(client)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && f.stopping.Err() != nil:
			return "", errOutOfService // whether or not part of the line has come, nothing of it went on
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "", errFirstLineTimeout
		case err != nil:
			return "", err
		case line != "PING":
			client.SetReadDeadline(time.Time{})
			return line, nil
		}
		answer := "PONG"
		if f.outOfService.Load() {
			answer = "BUSY"
		}
		if err := writeLine(client, "%s", answer); err != nil {
			return "", err
		}
	}
	return "", errTooManyPings
}

// reject gives a client that can't be served one line and an end, however much it still sends. A client that left
// without a line gets neither.
func (f *Frontend) reject(client *transport.Conn, err error) {
	switch {
	case errors.Is(err, errNoDescriptors), errors.Is(err, errOutOfService):
		answerBusy(client, f.retryAfter)
	case errors.Is(err, io.EOF) && !client.HasUnread():
		client.Close()
		return
	default:
		answerError(client, err)
	}
	client.CloseGracefully()
}

// answerBusy tells a client that nothing was done for it, and when to retry. Like answerError it is the last line of a
// connection: where it can't be written the client is gone, and there is nothing to report.
func answerBusy(client *transport.Conn, retryAfter time.Duration) {
	if retryAfter > 0 {
		_ = writeLine(client, "BUSY %d", retryAfter.Milliseconds())
	} else {
		_ = writeLine(client, "BUSY")
	}
}

// answerError tells a client that its flow failed, without a promise that nothing was done for it.
func answerError(client *transport.Conn, err error) { _ = writeLine(client, "ERR %v", err) }
