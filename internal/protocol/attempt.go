package protocol

import (
	"context"
	"errors"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	// resumeTimeout bounds the attempts to resume a flow: those open before a balancer's start are lost after 40 s.
	resumeTimeout       = 36 * time.Second
	resumeRetryInterval = 200 * time.Millisecond
)

// followDecisions makes the attempts that are decided until the connection is established or the client has its answer.
func (s *session) followDecisions(ctx context.Context) {
	isUndecided := true
	for isUndecided {
		isUndecided = s.followDecision(ctx)
	}
}

// followDecision waits for one decision and carries it out. It reports whether another one follows.
func (s *session) followDecision(ctx context.Context) (isUndecided bool) {
	s.transition(stateAwaitingDecision)
	decision, err := s.flow.AwaitDecision(ctx)
	if err != nil { // the client left, its time is over, or this balancer must stop
		s.flow.Abandon()
		s.answerUnserved(ctx)
		return false
	}
	switch decision.Verdict {
	case routing.Reject:
		answerBusy(s.client, decision.RetryAfter)
		return false
	case routing.Abort:
		answerError(s.client, errAborted)
		return false
	}
	upLine, outcome := s.attempt(ctx, decision.Addr, decision.Deadline)
	if upLine != "" {
		s.establish(upLine)
		return false
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.DeadlineExceeded) {
		s.flow.OnClientLeft()
		s.flow.OnEnded(outcome)
		s.answerUnserved(ctx)
		return false
	}
	s.flow.OnEnded(outcome)
	return true
}

// resume establishes a connection that was open at a server before this balancer's start. It is retried only where the
// attempt before did nothing at the server.
func (s *session) resume(ctx context.Context, addr string) {
	for {
		upLine, outcome := s.attempt(ctx, addr, time.Now().Add(resumeTimeout))
		if upLine != "" {
			s.establish(upLine)
			return
		}
		if !outcome.NeverRan() || !sleep(ctx, resumeRetryInterval) {
			break
		}
	}
	answerError(s.client, errNotReestablished)
}

// attempt makes one attempt at a server. It returns the server's UP line, or how the attempt ended.
func (s *session) attempt(
	ctx context.Context, addr string, deadline time.Time,
) (upLine string, outcome routing.Outcome) {
	s.transition(stateConnecting)
	defer func() { s.mayHaveRun = s.mayHaveRun || !outcome.NeverRan() }()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	server, outcome := s.connect(ctx, addr)
	if server == nil {
		return "", outcome
	}
	end, _ := ctx.Deadline()
	if err := writeLine(server, "%s", withTimeout(s.openLine, time.Until(end))); err != nil {
		server.Reset()
		return "", routing.Unreachable // the line's last byte was not written
	}
	s.transition(stateAwaitingReply)
	return s.awaitReply(ctx, server)
}

// connect dials a server, or returns how the attempt ended.
func (s *session) connect(ctx context.Context, addr string) (*transport.Conn, routing.Outcome) {
	isWanted := func() bool { return s.isStillWanted(ctx) }
	server, err := s.frontend.dialer.Dial(ctx, addr, s.frontend.connectTimeout, isWanted)
	switch {
	case errors.Is(err, transport.ErrLocalResources),
		errors.Is(err, transport.ErrNoLongerWanted),
		err != nil && ctx.Err() != nil: // too little time was left
		return nil, routing.NeverSent // no fault of the server
	case err != nil:
		return nil, routing.Unreachable
	}
	if !s.isStillWanted(ctx) {
		server.Close()
		return nil, routing.NeverSent
	}
	return server, routing.OK
}

// isStillWanted is the last check, before the SYN and again before the first byte. Since the decision, or since the
// request for the connection, the client may have left, perhaps just now, with none of this process's other goroutines
// having run since; the time may be over; and the server may have begun to drain.
func (s *session) isStillWanted(ctx context.Context) bool {
	if s.client.HasPendingInput() {
		<-ctx.Done() // readClient is about to say why
	}
	return ctx.Err() == nil && s.flow.StillAllowed()
}

// awaitReply waits for the server's first line. It keeps the server's connection if that is UP.
func (s *session) awaitReply(ctx context.Context, server *transport.Conn) (upLine string, outcome routing.Outcome) {
	stop := context.AfterFunc(ctx, server.InterruptRead)
	reply, err := readLine(server)
	if !stop() || err != nil && ctx.Err() != nil {
		server.Close()
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return "", routing.TimedOut
		}
		return "", routing.Cancelled
	}
	if err == nil && lineKind(reply) == "UP" {
		s.server = server
		return reply, routing.OK
	}
	server.Close()
	return "", attemptOutcome(reply, err)
}

// attemptOutcome is what a server's first line other than UP means.
func attemptOutcome(reply string, err error) routing.Outcome {
	if err != nil && !errors.Is(err, transport.ErrTooLong) {
		return routing.Reset // the flow may have run
	}
	switch lineKind(reply) {
	case "BUSY":
		return routing.Full
	case "MOVE", "BYE":
		return routing.Cancelled // the flow ran, and is over
	}
	return routing.Error
}

// establish passes the UP line on. From here on the connection belongs to the server.
func (s *session) establish(upLine string) {
	s.flow.OnEstablished()
	s.isAnswered.Store(true)
	if err := writeLine(s.client, "%s", upLine); err != nil {
		s.clientEnded.Store(true) // the relay finds the connection broken
	}
	s.transition(stateEstablished)
	s.flow.OnMigrate(s.server.Stop)
}
