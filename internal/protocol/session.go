package protocol

import (
	"context"
	"errors"
	"sync/atomic"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// FlowInfo is what is known of a flow apart from its connections.
type FlowInfo struct {
	ID       string `json:"id"` // as its client chose it; empty: it belongs to another connection's flow
	Service  string `json:"service"`
	Customer string `json:"customer,omitempty"`
	Key      string `json:"key"`
	Group    string `json:"group,omitempty"`
}

// request is the flow in the terms of routing.
func (i FlowInfo) request() routing.FlowRequest {
	return routing.FlowRequest{ClientID: i.ID, Service: i.Service, Customer: i.Customer, Key: i.Key, Group: i.Group}
}

// sessionState is what a session waits for.
type sessionState uint8

const (
	stateOpening          sessionState = iota
	stateAwaitingDecision              // the decisions have the flow
	stateConnecting                    // a server's connection is being established
	stateAwaitingReply                 // the OPEN line went to the server
	stateEstablished                   // the server answered UP: lines go both ways
	stateEnded
)

// session is one client's connection. One goroutine runs it and another one reads from the client.
type session struct {
	frontend     *Frontend
	client       *transport.Conn
	server       *transport.Conn // nil until settled, unless the connection was established
	openLine     string
	info         FlowInfo
	flow         *routing.Flow
	lastLineKind string // of the server's last line

	settled    chan struct{} // closed once the connection is established, or never will be
	clientDone chan struct{} // closed once nothing reads from the client any more

	clientEnded     atomic.Bool // the client ended its side
	isAnswered      atomic.Bool // the client may speak
	writeSideClosed atomic.Bool // the server takes no more lines

	state      sessionState // changed by transition only
	mayHaveRun bool         // some attempt may have taken effect at a server
	isParked   bool         // the reader stopped for the connection to be transferred; known once clientDone is closed

	// The frontend's mutex guards these.
	establishedIndex int           // in frontend.established; -1 once it was removed
	transferEnded    chan struct{} // closed once a transfer succeeded or failed; nil: none is under way
}

// transition makes every change of state, with the bookkeeping that goes with it.
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
		s.frontend.ids.end(s.info.ID)
		if s.state < stateEstablished {
			close(s.settled)
		}
	}
	s.state = to
}

// run takes the connection from its OPEN line to its end. Every path gives the client exactly one answer.
func (s *session) run() {
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
	clientContext, endAttempts := context.WithCancelCause(s.frontend.stopping)
	defer endAttempts(nil)
	ctx, cancel := context.WithTimeout(clientContext, timeout+answerMargin)
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

// open claims what the flow needs and hands it to the router. It returns the server's address if the flow is to be
// resumed there.
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
	flowRequest.Timeout = max(request.timeout-answerMargin, request.timeout/2)
	flowRequest.Flags = request.flags
	s.flow, err = s.frontend.router.OpenFlow(flowRequest)
	return "", err
}

// finish closes the client's connection once its last line has arrived.
func (s *session) finish() {
	s.client.ReleaseServerSlot()
	s.client.Linger()
	<-s.clientDone
	s.client.DiscardAndClose()
}

// answerUnserved answers a client for which no further attempt is made. Where nothing ever ran it may retry, at a
// balancer that does not stop.
func (s *session) answerUnserved(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), errSpokeBeforeAnswer):
		answerError(s.client, errSpokeBeforeAnswer)
	case s.mayHaveRun:
		answerError(s.client, errMayHaveRun)
	default:
		answerBusy(s.client, s.frontend.retryAfter)
	}
}
