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

// endTimeout bounds how long a server may take to close a connection after its client has closed it, or after the
// server has announced the close.
const endTimeout = 800 * time.Millisecond

// readClient reads from the client. Before the connection is established, this is only to detect that the client
// disconnected or sent data too early; afterwards its lines are relayed. endAttempts cancels the session's attempts
// with a cause.
func (s *session) readClient(endAttempts context.CancelCauseFunc) {
	defer close(s.clientDone)
	s.client.DropUnreadOnReset() // nothing is done for a client that has left
	err := s.client.WaitReadable()
	switch {
	case errors.Is(err, transport.ErrParked):
		s.isParked = true
		return
	case err != nil:
		s.clientEnded.Store(true)
		endAttempts(errClientDisconnected)
		<-s.settled
		if s.server != nil {
			s.forwardClientEnd(err)
		}
		return
	case !s.clientMaySend.Load():
		endAttempts(errDataBeforeReply) // otherwise the data would be relayed as the first lines
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

// forwardClientEnd closes the server's side in the way in which the client's side ended. err is the relay's error.
func (s *session) forwardClientEnd(err error) {
	var side *transport.SideError
	isWriteError := errors.As(err, &side) && side.IsWriteSide
	switch {
	case isWriteError && errors.Is(err, os.ErrDeadlineExceeded):
		s.serverStoppedReading.Store(true)
		s.server.Stop() // the server stopped reading: ask the client to reconnect
	case isWriteError:
		s.server.SetReadDeadline(time.Now().Add(endTimeout)) // the server closed the connection; read its last lines
	case errors.Is(err, io.EOF):
		s.clientEnded.Store(true)
		s.server.CloseWrite()
		s.server.SetReadDeadline(time.Now().Add(endTimeout))
	default:
		s.clientEnded.Store(true)
		s.server.Reset()
	}
}

// relay relays the server's lines until one side ends, and closes the other side in the same way. A relay that was
// parked ends if the connection was transferred to another process, and continues otherwise.
func (s *session) relay() {
	err := transport.Relay(s.client, s.server, s.onServerLine)
	for errors.Is(err, transport.ErrParked) {
		if s.transferOrContinue() {
			return
		}
		err = transport.Relay(s.client, s.server, s.onServerLine)
	}
	if errors.Is(err, transport.ErrStopped) {
		_ = writeLine(s.client, "MOVE") // on an error the client has disconnected and reconnects anyway
	}
	outcome, isBroken := s.relayOutcome(err)
	slog.Debug("relay ended", "error", err, "last_line", s.lastLineKind, "client_ended", s.clientEnded.Load())
	s.transition(stateEnded)
	s.flow.OnEnded(outcome)
	if isBroken {
		s.server.Reset() // before the client's side, whose close releases the descriptors of both
		s.client.Reset()
		<-s.clientDone
		return
	}
	s.server.Close()
	s.finish()
}

// onServerLine inspects a line from the server before it is relayed to the client.
func (s *session) onServerLine(line []byte) {
	kind, argument, _ := strings.Cut(string(line), " ")
	s.lastLineKind = kind
	if kind == "LOAD" {
		if value, err := strconv.ParseFloat(argument, 64); err == nil {
			s.flow.OnServerMetric(value)
		}
		return
	}
	s.flow.OnReply()
	if s.serverAnnouncedEnd() {
		s.server.SetReadDeadline(time.Now().Add(endTimeout)) // the server may fail to close the connection
	}
}

func (s *session) serverAnnouncedEnd() bool {
	return s.lastLineKind == "BYE" || s.lastLineKind == "MOVE"
}

// relayOutcome maps the error that ended a relay to an outcome. A broken connection is to be closed with a reset.
func (s *session) relayOutcome(err error) (outcome routing.Outcome, isBroken bool) {
	outcome, isBroken = s.classifyRelayEnd(err)
	if s.lastLineKind == "MOVE" && outcome == routing.Cancelled {
		// The server would ask the next client to reconnect too, which the endpoint list does not show yet.
		outcome = routing.Full
	}
	return outcome, isBroken
}

// classifyRelayEnd maps the error and the server's last line to an outcome, which relayOutcome replaces where the
// server sent MOVE.
func (s *session) classifyRelayEnd(err error) (outcome routing.Outcome, isBroken bool) {
	var side *transport.SideError
	switch {
	case errors.Is(err, transport.ErrStopped):
		if s.serverStoppedReading.Load() {
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
