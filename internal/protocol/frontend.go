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
	// firstLineTimeout runs from the accept to the end of the OPEN line, whatever precedes that line. A client that
	// sends nothing, or one PING after another, must receive a reply within 3 s, and the accept may have been delayed.
	firstLineTimeout = 2 * time.Second
	// maxPings bounds the PINGs on one connection. A client that sends hundreds at once is not checking liveness.
	maxPings = 16
)

// BusyReply is sent on a connection that is closed to free its descriptor. It tells the client that it may retry.
const BusyReply = "BUSY\r\n"

// Reasons for rejecting a connection or failing a flow. The client receives the text, unless the reply is BUSY.
var (
	errIDTaken          = errors.New("this id was another connection's")
	errNoDescriptors    = errors.New("no descriptor left") // replied to with BUSY
	errOutOfService     = errors.New("out of service")     // replied to with BUSY
	errFirstLineTimeout = errors.New("no whole line in time")
	errTooManyPings     = errors.New("too many PINGs")
	errDataBeforeReply  = errors.New("spoke before its answer")
	// errMayHaveRun means that the client's timeout expired or this balancer stops, after an attempt that may have run
	// the flow.
	errMayHaveRun         = errors.New("given up")
	errClientDisconnected = errors.New("the client left")
	errResumeFailed       = errors.New("not up")    // the connection to the server could not be re-established
	errAborted            = errors.New("no answer") // the balancer aborted the flow: an attempt may have run it
)

// Frontend serves the clients' connections.
type Frontend struct {
	router         *routing.Router
	dialer         transport.Dialer
	connectTimeout time.Duration // for the TCP handshake with a server
	retryAfter     time.Duration // sent to rejected clients as the time after which to retry; 0: not sent
	ids            *flowIDs

	outOfService atomic.Bool // the reply to PING is BUSY
	rejectsAll   atomic.Bool // the reply to new flows is BUSY too

	// stopping is cancelled by Stop. It ends the attempts of all sessions that are not established.
	stopping context.Context
	stop     context.CancelFunc

	mu sync.Mutex // guards the fields below
	// opening, which is derived from stopping, ends the sessions that are not established when EndOpening cancels it. Later connections get a new one.
	opening            context.Context
	cancelOpening      context.CancelFunc
	connectionCount    int          // sessions that have not ended
	established        []*session   // those whose clients Drain has not asked to reconnect
	transferConnection TransferFunc // set by TransferConnections; nil before its first call
}

// NewFrontend returns a frontend. connectTimeout bounds the TCP handshake with a server. retryAfter is sent to clients
// that are rejected for lack of capacity as the time after which to retry; 0 sends none.
func NewFrontend(r *routing.Router, connectTimeout, retryAfter time.Duration) *Frontend {
	f := &Frontend{router: r, connectTimeout: connectTimeout, retryAfter: retryAfter, ids: newFlowIDs()}
	f.stopping, f.stop = context.WithCancel(context.Background())
	f.opening, f.cancelOpening = context.WithCancel(f.stopping)
	return f
}

// Stop ends all sessions that are not established, and all later ones. Their clients still receive a reply.
func (f *Frontend) Stop() { f.stop() }

// EndOpening ends all sessions that are not established. Their clients still receive a reply. Unlike Stop it does not
// affect clients that connect later.
func (f *Frontend) EndOpening() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelOpening()
	f.opening, f.cancelOpening = context.WithCancel(f.stopping)
}

// openingContext returns the context that the next call of EndOpening cancels.
func (f *Frontend) openingContext() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opening
}

// Availability says whether the layer in front of the balancers is to send clients here, and how clients that connect
// nevertheless are handled.
type Availability uint8

const (
	// InService replies to PING with PONG and serves clients.
	InService Availability = iota
	// OutOfService replies to PING with BUSY and serves the clients that connect before the layer in front notices.
	OutOfService
	// RejectingClients replies to PING and to new flows with BUSY: the layer in front has had time to notice.
	RejectingClients
)

// SetAvailability sets how PINGs and flows that arrive from now on are handled.
func (f *Frontend) SetAvailability(availability Availability) {
	f.outOfService.Store(availability != InService)
	f.rejectsAll.Store(availability == RejectingClients)
}

// ConnectionCount returns the number of client connections that are being served.
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

// Serve serves one client's connection from its first line to its end.
func (f *Frontend) Serve(client *transport.Conn) {
	opening := f.openingContext()
	line, err := f.readFirstLine(opening, client)
	switch {
	case err != nil:
	case f.rejectsAll.Load():
		err = errOutOfService
	case client.HasUnread():
		err = errDataBeforeReply // a client that does not wait for the reply speaks another protocol
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
	s.run(opening)
}

// readFirstLine replies to PINGs until another line arrives, and returns that line.
func (f *Frontend) readFirstLine(opening context.Context, client *transport.Conn) (string, error) {
	client.SetReadDeadline(time.Now().Add(firstLineTimeout))
	defer context.AfterFunc(opening, client.InterruptRead)()
	for range maxPings {
		line, err := readLine(client)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && opening.Err() != nil:
			return "", errOutOfService // nothing was forwarded, even if part of the line was received
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

// reject sends a client that can't be served one line and closes the connection gracefully, however much the client
// still sends. A client that disconnected without sending anything receives no line.
func (f *Frontend) reject(client *transport.Conn, err error) {
	switch {
	case errors.Is(err, errNoDescriptors), errors.Is(err, errOutOfService):
		replyBusy(client, f.retryAfter)
	case errors.Is(err, io.EOF) && !client.HasUnread():
		client.Close()
		return
	default:
		replyError(client, err)
	}
	client.CloseGracefully()
}

// replyBusy tells a client that its flow had no effect, and when to retry. Like that of replyError, the line is the
// last one of a connection: if it can't be written the client has disconnected, and there is nothing to report.
func replyBusy(client *transport.Conn, retryAfter time.Duration) {
	if retryAfter > 0 {
		_ = writeLine(client, "BUSY %d", retryAfter.Milliseconds())
	} else {
		_ = writeLine(client, "BUSY")
	}
}

// replyError tells a client that its flow failed. Unlike BUSY, the reply does not imply that the flow had no effect.
func replyError(client *transport.Conn, err error) { _ = writeLine(client, "ERR %v", err) }
