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

// How a standing connection goes from one process of a balancer to the next.

// MaxConcurrentTransfers is how many are passed on at a time: each is held twice for a moment.
const MaxConcurrentTransfers = 4

// StreamState is one side's end of a connection as it is passed on.
type StreamState struct {
	Unread []byte `json:"unread,omitempty"`
	Passed int    `json:"passed,omitempty"`
	Within bool   `json:"within,omitempty"`
}

// EstablishedConnection is a connection that stands, but for its two sockets.
type EstablishedConnection struct {
	Flow       FlowInfo    `json:"facts"`
	ServerName string      `json:"at"`
	Client     StreamState `json:"client"`
	Server     StreamState `json:"server"`
}

// IsValid tells whether it can be taken over.
func (s EstablishedConnection) IsValid() bool {
	for _, x := range []StreamState{s.Client, s.Server} {
		if x.Passed < 0 || x.Passed > len(x.Unread) || len(x.Unread) > 8<<10 {
			return false
		}
	}
	return s.ServerName != "" && s.Flow.ID != ""
}

// TransferConnections passes all standing connections on, a few at a time, until the context ends. pass returns whether the other process
// has one; one that it has not goes on here.
func (f *Frontend) TransferConnections(ctx context.Context, pass func(s EstablishedConnection, client, server syscall.Conn) bool) (passed, of int) {
	f.mu.Lock()
	f.pass = func(s EstablishedConnection, client, server syscall.Conn) bool {
		if ctx.Err() != nil || !pass(s, client, server) {
			return false
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		passed++
		return true
	}
	all := append([]*session(nil), f.standing...)
	f.mu.Unlock()
	var now sync.WaitGroup
	room := make(chan struct{}, MaxConcurrentTransfers)
	for _, s := range all {
		select {
		case <-ctx.Done():
		case room <- struct{}{}:
			now.Go(func() {
				defer func() { <-room }()
				s.park(ctx)
			})
		}
	}
	now.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return passed, len(all)
}

// park has a session's relays rest and itself be passed on, and waits until it was, or goes on here, or ends.
func (s *session) park(ctx context.Context) {
	done := make(chan struct{})
	s.front.mu.Lock()
	stands := s.place >= 0 // else it ended, or is being moved
	if stands {
		s.carried = done
	}
	s.front.mu.Unlock()
	if !stands {
		return
	}
	s.client.Park()
	s.server.Park()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// passOn is the relay from the server at rest. Once the one from the client rests too, both sockets go on to the other
// process; else both relays go on here.
func (s *session) passOn(last string) bool {
	<-s.clientDone
	s.front.mu.Lock()
	pass := s.front.pass
	s.front.mu.Unlock()
	at, moving := s.flow.Server()
	over := !s.parked || last == "BYE" || last == "MOVE" // it ends on its own
	if !over && !moving && pass != nil && s.gaveTo(pass, at) {
		s.leave()
		return true
	}
	s.tellCarried()
	s.server.SetReadDeadline(time.Time{})
	if over {
		s.server.SetReadDeadline(time.Now().Add(endWithin))
	}
	if s.parked {
		s.parked = false
		s.client.SetReadDeadline(time.Time{})
		s.clientDone = make(chan struct{})
		go s.fromClient(func(error) {})
	}
	if _, moving := s.flow.Server(); moving {
		s.server.Stop() // asked in between: the wake-up may have been taken for the other
	}
	return false
}

// leave is the end of a connection here that the other process has: a close here ends neither side of it.
func (s *session) leave() {
	s.turn(ended)
	s.flow.OnEnded(routing.Cancelled)
	s.server.Close() // first: the descriptors of both are the client's to give back
	s.client.Close()
}

func (s *session) gaveTo(pass func(EstablishedConnection, syscall.Conn, syscall.Conn) bool, at string) bool {
	var x EstablishedConnection
	x.Flow, x.ServerName = s.facts, at
	x.Client.Unread, x.Client.Passed, x.Client.Within = s.client.RelayState()
	x.Server.Unread, x.Server.Passed, x.Server.Within = s.server.RelayState()
	if !pass(x, s.client.Socket(), s.server.Socket()) {
		return false
	}
	s.tellCarried()
	return true
}

func (s *session) tellCarried() {
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	if s.carried != nil {
		close(s.carried)
		s.carried = nil
	}
}

// AdoptConnection takes over a connection that another process passes on. It returns once the balancer holds it; serve has it
// served to its end, drop leaves it to the other process after all. One of them is called, once.
func (f *Frontend) AdoptConnection(x EstablishedConnection, client, server net.Conn, room *transport.DescriptorBudget) (serve, drop func(), err error) {
	flow, err := f.router.AdoptFlow(routing.FlowRequest{Service: x.Flow.Service, Customer: x.Flow.Customer, Key: x.Flow.Key, Group: x.Flow.Group}, x.ServerName)
	if err != nil {
		return nil, nil, err
	}
	s := &session{front: f, flow: flow, facts: x.Flow, up: make(chan struct{}), clientDone: make(chan struct{}),
		client: transport.Adopt(client, x.Client.Unread, x.Client.Passed, x.Client.Within, room),
		server: transport.Adopt(server, x.Server.Unread, x.Server.Passed, x.Server.Within, nil)}
	s.answered.Store(true)
	f.count(1)
	s.turn(standing)
	serve = func() {
		defer f.count(-1)
		go s.fromClient(func(error) {})
		flow.OnMigrate(s.server.Stop)
		s.relay()
	}
	drop = func() {
		defer f.count(-1)
		s.leave()
	}
	return serve, drop, nil
}
