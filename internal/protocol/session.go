package protocol

import (
	"context"
	"errors"
	"sync/atomic"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// FlowInfo is the description of a flow, without its connections.
type FlowInfo struct {
	ID       string `json:"id"` // chosen by the client; empty if the id is in use by another connection's flow
	Service  string `json:"service"`
	Customer string `json:"customer,omitempty"`
	Key      string `json:"key"`
	Group    string `json:"group,omitempty"`
}

// request converts the flow to routing's request.
func (i FlowInfo) request() routing.FlowRequest {
	return routing.FlowRequest{ClientID: i.ID, Service: i.Service, Customer: i.Customer, Key: i.Key, Group: i.Group}
}

// sessionState is the stage that a session has reached.
type sessionState uint8

const (
	stateOpening          sessionState = iota
	stateAwaitingDecision              // the router is deciding on the flow
	stateConnecting                    // the connection to a server is being established
	stateAwaitingReply                 // the OPEN line was sent to the server
	stateEstablished                   // the server replied UP: lines are relayed in both directions
	stateEnded
)

// session is one client's connection. One goroutine executes run, and another one reads from the client.
type session struct {
	frontend     *Frontend
	client       *transport.Conn
	server       *transport.Conn // set once the connection is established; nil before, and if it never is
	openLine     string
	info         FlowInfo
	flow         *routing.Flow
	lastLineKind string // kind of the server's last line

	settled    chan struct{} // closed once the connection is established or has failed
	clientDone chan struct{} // closed once readClient has returned

	clientEnded          atomic.Bool // the client closed its side
	clientMaySend        atomic.Bool // the reply is being sent: the client may send lines
	serverStoppedReading atomic.Bool // a write to the server timed out

	state      sessionState // changed only by transition
	mayHaveRun bool         // an attempt may have taken effect at a server
	isParked   bool         // readClient stopped for a transfer of the connection; valid once clientDone is closed

	// Guarded by the frontend's mutex.
	establishedIndex int           // index in frontend.established; -1 once it was removed
	transferEnded    chan struct{} // closed once a transfer succeeded or failed; nil if none is in progress
}

// transition changes the state. It also maintains the frontend's list of established sessions, closes settled, and
// retires the flow's id when the session ends.
func (s *session) transition(to sessionState) {
	if s.state == stateEstablished {
		s.frontend.removeEstablished(s)
		s.signalTransferEnded()
	}
	switch to {
	case stateEstablished:
		s.frontend.addEstablished(s)
		close(s.settled)
	case stateEnded:
		s.frontend.ids.end(s.info.ID, s.mayHaveRun || s.state == stateEstablished)
		if s.state < stateEstablished {
			close(s.settled)
		}
	}
	s.state = to
}

// run serves the connection from its OPEN line to its end. Every path sends the client exactly one reply. The end of
// opening ends the attempts to establish the connection.
func (s *session) run(opening context.Context) {
	request, err := parseOpen(s.openLine)
	resumeAddr := ""
	if err == nil {
		resumeAddr, err = s.open(request)
	}
	if err != nil {
		s.transition(stateEnded)
		s.client.ReleaseServerSlot()
		s.frontend.reject(s.client, err)
		return
	}
	timeout := request.timeout
	if resumeAddr != "" {
		timeout = resumeTimeout
	}
	clientContext, endAttempts := context.WithCancelCause(opening)
	defer endAttempts(nil)
	ctx, cancel := context.WithTimeout(clientContext, timeout+replyMargin)
	defer cancel()
	s.clientDone = make(chan struct{})
	go s.readClient(endAttempts)
	if resumeAddr != "" {
		s.resume(ctx, resumeAddr)
	} else {
		s.followDecisions(ctx)
	}
	if s.state == stateEstablished {
		s.relay()
		return
	}
	s.transition(stateEnded)
	s.finish()
}

// open claims the flow's id and a descriptor for its server, and passes the flow to the router. It returns the server's
// address if the flow is to be resumed there.
func (s *session) open(request openRequest) (resumeAddr string, err error) {
	if !s.frontend.ids.claim(request.flow.ID) {
		return "", errIDTaken
	}
	s.info = request.flow
	if !s.client.AcquireServerSlot() {
		return "", errNoDescriptors
	}
	flowRequest := s.info.request()
	if request.resumeAt != "" {
		s.flow, resumeAddr, err = s.frontend.router.ResumeFlow(flowRequest, request.resumeAt)
		return resumeAddr, err
	}
	flowRequest.Timeout = max(request.timeout-replyMargin, request.timeout/2)
	flowRequest.Flags = request.flags
	s.flow, err = s.frontend.router.OpenFlow(flowRequest)
	return "", err
}

// finish closes the client's connection once the last line has been delivered.
func (s *session) finish() {
	s.client.ReleaseServerSlot()
	s.client.Linger()
	<-s.clientDone
	s.client.DiscardAndClose()
}

// replyUnserved sends the reply to a client for which no further attempt is made. If no attempt can have taken effect
// the reply is BUSY, so that the client may retry, at another balancer if this one is stopping.
func (s *session) replyUnserved(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), errDataBeforeReply):
		replyError(s.client, errDataBeforeReply)
	case s.mayHaveRun:
		replyError(s.client, errMayHaveRun)
	default:
		replyBusy(s.client, s.frontend.retryAfter)
	}
}
