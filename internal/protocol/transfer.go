package protocol

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// How an established connection goes from one process of a balancer to the next.

const (
	// MaxConcurrentTransfers is how many connections are transferred at a time: each is held twice for a moment.
	MaxConcurrentTransfers = 4

	// maxUnreadBytes bounds what is taken over as read from one side: more than a relay ever holds.
	maxUnreadBytes = 8 << 10
)

// StreamState is how far one side of a connection has been relayed.
type StreamState struct {
	Unread []byte `json:"unread,omitempty"`
	Passed int    `json:"passed,omitempty"` // bytes of Unread that were relayed already, as the head of a line
	Within bool   `json:"within,omitempty"` // a line was relayed in part
}

func streamState(c *transport.Conn) StreamState {
	state := c.RelayState()
	return StreamState{Unread: state.Unread, Passed: state.Passed, Within: state.IsMidLine}
}

func (s StreamState) relayState() transport.RelayState {
	return transport.RelayState{Unread: s.Unread, Passed: s.Passed, IsMidLine: s.Within}
}

func (s StreamState) isValid() bool {
	return s.Passed >= 0 && s.Passed <= len(s.Unread) && len(s.Unread) <= maxUnreadBytes
}

// EstablishedConnection is an established connection without its two sockets.
type EstablishedConnection struct {
	Flow       FlowInfo    `json:"facts"`
	ServerName string      `json:"at"`
	Client     StreamState `json:"client"`
	Server     StreamState `json:"server"`
}

// IsValid reports whether the connection can be taken over.
func (c EstablishedConnection) IsValid() bool {
	return c.Client.isValid() && c.Server.isValid() && c.ServerName != "" && c.Flow.ID != ""
}

// TransferFunc hands a connection to another process. It reports whether that process has it.
type TransferFunc func(c EstablishedConnection, client, server syscall.Conn) bool

// TransferConnections transfers all established connections, a few at a time, until the context ends. A connection that
// the other process does not have stays here. The result is how many were transferred, of how many.
func (f *Frontend) TransferConnections(ctx context.Context, transfer TransferFunc) (transferred, of int) {
	f.mu.Lock()
	f.transferConnection = func(c EstablishedConnection, client, server syscall.Conn) bool {
		if ctx.Err() != nil || !transfer(c, client, server) {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		transferred++
		return true
	}
	sessions := append([]*session(nil), f.established...)
	f.mu.Unlock()
	var transfers sync.WaitGroup
	slots := make(chan struct{}, MaxConcurrentTransfers)
	for _, s := range sessions {
		select {
		case <-ctx.Done():
		case slots <- struct{}{}:
			transfers.Go(func() {
				defer func() { <-slots }()
				s.park(ctx)
			})
		}
	}
	transfers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return transferred, len(sessions)
}

// park stops a session's relays for it to be transferred, and waits until it was, or stays here, or ended.
func (s *session) park(ctx context.Context) {
	done := make(chan struct{})
	s.frontend.mu.Lock()
	isEstablished := s.establishedIndex >= 0 // else it ended, or its client is being asked to reconnect
	if isEstablished {
		s.transferEnded = done
	}
	s.frontend.mu.Unlock()
	if !isEstablished {
		return
	}
	s.client.Park()
	s.server.Park()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// transferOrContinue runs where the relay from the server is parked. Once the one from the client rests too, both
// sockets go to the other process; if they can't, both relays continue here. It reports whether the connection was
// transferred.
func (s *session) transferOrContinue() (wasTransferred bool) {
	<-s.clientDone
	s.frontend.mu.Lock()
	transfer := s.frontend.transferConnection
	s.frontend.mu.Unlock()
	serverName, isMigrating := s.flow.Server()
	// The client's side has ended, or the server is about to end its own.
	isEnding := !s.isParked || s.serverAnnouncedEnd()
	if !isEnding && !isMigrating && transfer != nil && s.transfer(transfer, serverName) {
		s.release()
		return true
	}
	s.signalTransferEnded()
	s.server.SetReadDeadline(time.Time{})
	if isEnding {
		s.server.SetReadDeadline(time.Now().Add(endTimeout))
	}
	if s.isParked {
		s.isParked = false
		s.client.SetReadDeadline(time.Time{})
		s.clientDone = make(chan struct{})
		go s.readClient(ignoreCause)
	}
	if _, isMigrating := s.flow.Server(); isMigrating {
		s.server.Stop() // requested in between: its interruption of the read may have been taken for Park's
	}
	return false
}

// ignoreCause stands in where there are no attempts to end.
func ignoreCause(error) {}

// release ends the session of a connection that the other process has. The close here ends neither side of it.
func (s *session) release() {
	s.transition(stateEnded)
	s.flow.OnEnded(routing.Cancelled)
	s.server.Close() // first: the client's close gives back the descriptors of both
	s.client.Close()
}

// transfer hands the connection to the other process. It reports whether that process has it.
func (s *session) transfer(transfer TransferFunc, serverName string) bool {
	c := EstablishedConnection{
		Flow:       s.info,
		ServerName: serverName,
		Client:     streamState(s.client),
		Server:     streamState(s.server),
	}
	if !transfer(c, s.client.Socket(), s.server.Socket()) {
		return false
	}
	s.signalTransferEnded()
	return true
}

// signalTransferEnded ends a wait in park, whether the transfer succeeded or failed.
func (s *session) signalTransferEnded() {
	s.frontend.mu.Lock()
	defer s.frontend.mu.Unlock()
	if s.transferEnded != nil {
		close(s.transferEnded)
		s.transferEnded = nil
	}
}

// AdoptConnection takes over a connection that another process transfers. It returns once this balancer holds it;
// serve serves it to its end, drop leaves it to the other process after all. One of them is called, once. The
// error is routing's.
func (f *Frontend) AdoptConnection(
	c EstablishedConnection, client, server net.Conn, budget *transport.DescriptorBudget,
) (serve, drop func(), err error) {
	flow, err := f.router.AdoptFlow(c.Flow.request(), c.ServerName)
	if err != nil {
		return nil, nil, err
	}
	s := &session{
		frontend:   f,
		flow:       flow,
		info:       c.Flow,
		settled:    make(chan struct{}),
		clientDone: make(chan struct{}),
		client:     transport.Adopt(client, c.Client.relayState(), budget),
		server:     transport.Adopt(server, c.Server.relayState(), nil),
	}
	s.isAnswered.Store(true)
	f.addConnections(1)
	s.transition(stateEstablished)
	serve = func() {
		defer f.addConnections(-1)
		go s.readClient(ignoreCause)
		flow.OnMigrate(s.server.Stop)
		s.relay()
	}
	drop = func() {
		defer f.addConnections(-1)
		s.release()
	}
	return serve, drop, nil
}
