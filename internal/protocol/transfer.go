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

// This file transfers established connections from one process of a balancer to its successor.

const (
	// MaxConcurrentTransfers is how many connections are transferred at a time. During its transfer, a connection is
	// held by both processes.
	MaxConcurrentTransfers = 4

	// maxUnreadBytes bounds the unread bytes that are accepted for one side. It is more than a relay ever holds.
	maxUnreadBytes = 8 << 10
)

// StreamState is the relay state of one side of a connection.
type StreamState struct {
	Unread       []byte `json:"unread,omitempty"`
	RelayedBytes int    `json:"passed,omitempty"` // bytes of Unread that were already relayed, as the head of a line
	IsMidLine    bool   `json:"within,omitempty"` // the relay is in the middle of a line
}

func streamState(c *transport.Conn) StreamState {
	state := c.RelayState()
	return StreamState{Unread: state.Unread, RelayedBytes: state.RelayedBytes, IsMidLine: state.IsMidLine}
}

func (s StreamState) relayState() transport.RelayState {
	return transport.RelayState{Unread: s.Unread, RelayedBytes: s.RelayedBytes, IsMidLine: s.IsMidLine}
}

func (s StreamState) isValid() bool {
	return s.RelayedBytes >= 0 && s.RelayedBytes <= len(s.Unread) && len(s.Unread) <= maxUnreadBytes
}

// EstablishedConnection is an established connection without its two sockets.
type EstablishedConnection struct {
	Flow       FlowInfo    `json:"facts"`
	ServerName string      `json:"at"`
	Client     StreamState `json:"client"`
	Server     StreamState `json:"server"`

	// How long the connection has waited. Earlier builds don't send these.
	AwaitingReply time.Duration `json:"awaiting,omitempty"` // since the client's oldest unanswered line; 0: there is none
	ClientSilent  time.Duration `json:"quiet,omitempty"`    // since the client's last line
}

// IsValid reports whether the connection can be taken over.
func (c EstablishedConnection) IsValid() bool {
	return c.Client.isValid() && c.Server.isValid() && c.ServerName != "" && c.Flow.ID != "" &&
		c.AwaitingReply >= 0 && c.ClientSilent >= 0
}

// TransferFunc transfers a connection to another process. It reports whether that process holds it.
type TransferFunc func(c EstablishedConnection, client, server syscall.Conn) bool

// TransferConnections transfers all established connections, MaxConcurrentTransfers at a time, until the context ends.
// Connections that can't be transferred stay here. It returns the number of connections transferred, and the number
// of established ones at the time of the call.
func (f *Frontend) TransferConnections(ctx context.Context, transfer TransferFunc) (transferred, total int) {
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

// park stops a session's relays for its transfer, and waits until the transfer succeeded or failed or the session
// ended.
func (s *session) park(ctx context.Context) {
	done := make(chan struct{})
	s.frontend.mu.Lock()
	isEstablished := s.establishedIndex >= 0 // otherwise it ended, or its client was asked to reconnect
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

// transferOrContinue is called once the relay from the server is parked. When the relay from the client has stopped
// too, it transfers both sockets to the other process; if that fails, both relays continue here. It reports whether the
// connection was transferred.
func (s *session) transferOrContinue() (wasTransferred bool) {
	<-s.clientDone
	s.frontend.mu.Lock()
	transfer := s.frontend.transferConnection
	s.frontend.mu.Unlock()
	serverName, isMigrating := s.flow.Server()
	// The client's side has ended, or the server is about to close the connection.
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
		s.server.Stop() // a migration requested meanwhile: its read interruption may have been taken for Park's
	}
	return false
}

// ignoreCause is the endAttempts of readClient if there are no attempts to cancel.
func ignoreCause(error) {}

// release ends the session of a connection that the other process holds. Closing the sockets here does not close the
// connection.
func (s *session) release() {
	s.transition(stateEnded)
	s.flow.OnEnded(routing.Cancelled)
	s.server.Close() // before the client's side, whose close releases the descriptors of both
	s.client.Close()
}

// transfer transfers the connection to the other process. It reports whether that process holds it.
func (s *session) transfer(transfer TransferFunc, serverName string) bool {
	timing := s.flow.Timing()
	c := EstablishedConnection{
		Flow:          s.info,
		ServerName:    serverName,
		Client:        streamState(s.client),
		Server:        streamState(s.server),
		AwaitingReply: timing.AwaitingReply,
		ClientSilent:  timing.ClientSilent,
	}
	if !transfer(c, s.client.Socket(), s.server.Socket()) {
		return false
	}
	s.signalTransferEnded()
	return true
}

// signalTransferEnded wakes up park, whether the transfer succeeded or failed.
func (s *session) signalTransferEnded() {
	s.frontend.mu.Lock()
	defer s.frontend.mu.Unlock()
	if s.transferEnded != nil {
		close(s.transferEnded)
		s.transferEnded = nil
	}
}

// AdoptConnection takes over a connection that another process transfers. When it returns without an error, this
// balancer holds the connection. The caller then calls exactly one of the returned functions, once: serve serves the
// connection to its end, and drop leaves it to the other process. The error is that of the router's AdoptFlow.
func (f *Frontend) AdoptConnection(
	c EstablishedConnection, client, server net.Conn, budget *transport.DescriptorBudget,
) (serve, drop func(), err error) {
	timing := routing.FlowTiming{AwaitingReply: c.AwaitingReply, ClientSilent: c.ClientSilent}
	flow, err := f.router.AdoptFlow(c.Flow.request(), c.ServerName, timing)
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
	s.clientMaySend.Store(true)
	f.ids.adopt(c.Flow.ID)
	f.addConnections(1)
	s.transition(stateEstablished)
	serve = func() {
		defer f.addConnections(-1)
		go s.readClient(ignoreCause)
		flow.SetMigrationHandler(s.server.Stop)
		s.relay()
	}
	drop = func() {
		defer f.addConnections(-1)
		s.release()
	}
	return serve, drop, nil
}
