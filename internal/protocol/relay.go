package protocol

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// endTimeout bounds how long a server may take to end a connection that its client has ended, or that it has announced
// the end of.
const endTimeout = 800 * time.Millisecond

// readClient reads the client's side: before the connection is established only to notice that the client left or spoke
// too early, then to relay its lines. endAttempts ends the session's attempts, and says why.
func (s *session) readClient(endAttempts context.CancelCauseFunc) {
	defer close(s.clientDone)
	err := s.client.WaitReadable()
	switch {
	case errors.Is(err, transport.ErrParked):
		s.isParked = true
		return
	case err != nil:
		s.clientEnded.Store(true)
		endAttempts(errClientLeft)
		<-s.settled
		if s.server != nil {
			s.forwardClientEnd(err)
		}
		return
	case !s.isAnswered.Load():
		endAttempts(errSpokeBeforeAnswer) // what it says would go to the server as its first lines
	}
	<-s.settled
	if s.server == nil {
		return
	}
	err = transport.Relay(s.server, s.client, func([]byte) { s.flow.OnRequest() })
	s.isParked = errors.Is(err, transport.ErrParked)
	if !s.isParked {
		s.forwardClientEnd(err)
	}
}

// forwardClientEnd ends the server's side the way the client ended its own.
func (s *session) forwardClientEnd(err error) {
	var side *transport.SideError
	isWriteError := errors.As(err, &side) && side.IsWriteSide
	switch {
	case isWriteError && errors.Is(err, os.ErrDeadlineExceeded):
		s.writeSideClosed.Store(true)
		s.server.Stop() // it takes no lines: the client is asked to reconnect
	case isWriteError:
		s.server.SetReadDeadline(time.Now().Add(endTimeout)) // it ended; its last lines are still to be read
	case errors.Is(err, io.EOF):
		s.clientEnded.Store(true)
		s.server.CloseWrite()
		s.server.SetReadDeadline(time.Now().Add(endTimeout))
	default:
		s.clientEnded.Store(true)
		s.server.Reset()
	}
}

// relay passes on what the server sends until one side ends, and ends the other side in the same way. A relay that is
// parked ends here if the connection was transferred to another process, and continues if not.
func (s *session) relay() {
	err := transport.Relay(s.client, s.server, s.onServerLine)
	for errors.Is(err, transport.ErrParked) {
		if s.transferOrContinue() {
			return
		}
		err = transport.Relay(s.client, s.server, s.onServerLine)
	}
	if errors.Is(err, transport.ErrStopped) {
		_ = writeLine(s.client, "MOVE") // where the client is gone it comes again anyway
	}
	outcome, isBroken := s.relayOutcome(err)
	slog.Debug("relay ended", "error", err, "last_line", s.lastLineKind, "client_ended", s.clientEnded.Load())
	s.transition(stateEnded)
	s.flow.OnEnded(outcome)
	if isBroken {
		s.server.Reset() // first: the client's close gives back the descriptors of both
		s.client.Reset()
		<-s.clientDone
		return
	}
	s.server.Close()
	s.finish()
}

// onServerLine looks at a line of the server's before it is relayed to the client.
func (s *session) onServerLine(line []byte) {
	kind, argument, _ := strings.Cut(string(line), " ")
	s.lastLineKind = kind
	if kind == "LOAD" {
		if value, err := strconv.ParseFloat(argument, 64); err == nil && value >= 0 {
			s.flow.OnServerMetric(value)
		}
		return
	}
	s.flow.OnReply()
	if s.serverAnnouncedEnd() {
		s.server.SetReadDeadline(time.Now().Add(endTimeout)) // whether or not an end follows
	}
}

func (s *session) serverAnnouncedEnd() bool {
	return s.lastLineKind == "BYE" || s.lastLineKind == "MOVE"
}

// relayOutcome is what the end of a relay means. A broken connection is to be ended by a reset.
func (s *session) relayOutcome(err error) (outcome routing.Outcome, isBroken bool) {
	outcome, isBroken = s.endOfRelay(err)
	if s.lastLineKind == "MOVE" && outcome == routing.Cancelled {
		outcome = routing.Full // ahead of the endpoint list: the next client would be sent away too
	}
	return outcome, isBroken
}

// endOfRelay is relayOutcome without regard to what a MOVE says of the server.
func (s *session) endOfRelay(err error) (outcome routing.Outcome, isBroken bool) {
	var side *transport.SideError
	switch {
	case errors.Is(err, transport.ErrStopped):
		if s.writeSideClosed.Load() {
			return routing.Reset, false
		}
		return routing.Cancelled, false
	case s.clientEnded.Load():
		return routing.Cancelled, false
	case errors.As(err, &side) && side.IsWriteSide, errors.Is(err, transport.ErrMidLine):
		return routing.Cancelled, true
	case s.lastLineKind == "BYE":
		return routing.OK, false
	case s.lastLineKind == "MOVE":
		return routing.Cancelled, false
	case errors.Is(err, io.EOF):
		return routing.Reset, false
	default:
		return routing.Reset, true
	}
}
