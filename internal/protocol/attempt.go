package protocol

import (
	"context"
	"errors"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	// resumeTimeout bounds the time for all attempts to resume a flow that was open before the balancer's start. A flow
	// that is not resumed within 40 s is lost.
	resumeTimeout       = 36 * time.Second
	resumeRetryInterval = 200 * time.Millisecond
)

// followDecisions carries out routing decisions until the connection is established or the client has received its
// final reply.
func (s *session) followDecisions(ctx context.Context) {
	isUndecided := true
	for isUndecided {
		isUndecided = s.followDecision(ctx)
	}
}

// followDecision waits for one decision and carries it out. It reports whether it must be called again.
func (s *session) followDecision(ctx context.Context) (isUndecided bool) {
	s.transition(stateAwaitingDecision)
	decision, err := s.flow.AwaitDecision(ctx)
	if err != nil { // the client disconnected, its timeout expired, or this balancer is stopping
		s.flow.Abandon()
		s.replyUnserved(ctx)
		return false
	}
	switch decision.Verdict {
	case routing.Reject:
		replyBusy(s.client, decision.RetryAfter)
		return false
	case routing.Abort:
		replyError(s.client, errAborted)
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
		s.replyUnserved(ctx)
		return false
	}
	s.flow.OnEnded(outcome)
	return true
}

// resume re-establishes a connection that was open at a server before this balancer's start. It retries only if the
// previous attempt had no effect at the server.
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
	replyError(s.client, errResumeFailed)
}

// attempt makes one attempt at a server. It returns the server's UP line, or an empty line and how the attempt ended.
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
	s.frontend.ids.sent(s.info.ID)
	end, _ := ctx.Deadline()
	if err := writeLine(server, "%s", withTimeout(s.openLine, time.Until(end))); err != nil {
		server.Reset()
		return "", routing.Unreachable // the server can't have received the complete line
	}
	s.transition(stateAwaitingReply)
	return s.awaitReply(ctx, server)
}

// connect dials a server. It returns a nil connection and how the attempt ended if that fails.
func (s *session) connect(ctx context.Context, addr string) (*transport.Conn, routing.Outcome) {
	isWanted := func() bool { return s.isStillWanted(ctx) }
	server, err := s.frontend.dialer.Dial(ctx, addr, s.frontend.connectTimeout, isWanted)
	switch {
	case errors.Is(err, transport.ErrLocalResources),
		errors.Is(err, transport.ErrNoLongerWanted),
		err != nil && ctx.Err() != nil: // the attempt ended before the connect timeout
		return nil, routing.NeverSent // not counted against the server
	case err != nil:
		return nil, routing.Unreachable
	}
	if !s.isStillWanted(ctx) {
		server.Close()
		return nil, routing.NeverSent
	}
	return server, routing.OK
}

// isStillWanted reports whether the attempt may go on. It is called directly before the SYN and again before the first
// byte is sent: meanwhile the timeout may have expired, the server may have begun to drain, or the client may have
// disconnected. The client's socket is checked directly, because the goroutine that reads from it may not have run yet.
func (s *session) isStillWanted(ctx context.Context) bool {
	if s.client.HasPendingInput() {
		<-ctx.Done() // readClient is about to cancel the context
	}
	return ctx.Err() == nil && s.flow.StillAllowed()
}

// awaitReply waits for the server's first line. It keeps the connection in s.server if the line is UP, and closes it
// otherwise.
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

// attemptOutcome maps a server's first line other than UP, or the error of reading it, to an outcome.
func attemptOutcome(reply string, err error) routing.Outcome {
	if err != nil && !errors.Is(err, transport.ErrTooLong) {
		return routing.Reset // the flow may have run
	}
	switch lineKind(reply) {
	case "BUSY":
		return routing.Full
	case "MOVE", "BYE":
		return routing.Cancelled // the flow ran and has ended
	}
	return routing.Error
}

// establish relays the UP line to the client. From here on the flow is established: its end is not followed by another
// attempt.
func (s *session) establish(upLine string) {
	s.flow.OnEstablished()
	s.clientMaySend.Store(true)
	if err := writeLine(s.client, "%s", upLine); err != nil {
		s.clientEnded.Store(true) // the relay will fail on the broken connection
	}
	s.transition(stateEstablished)
	s.flow.SetMigrationHandler(s.server.Stop)
}
