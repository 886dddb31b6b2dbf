// Package explain serves, on a Unix socket, a running balancer's state, its view of the other balancers, and the
// reasons for where it placed a flow.
package explain

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"yardwinch/internal/routing"
)

const (
	// Descriptors is the greatest number of descriptors that Listen and Serve use: the socket, the connections, and one
	// to check whether another process is listening.
	Descriptors = maxConnections + 2

	maxConnections      = 4 // served concurrently; others wait in the accept queue
	exchangeTimeout     = 2 * time.Second
	maxRequestBytes     = 512
	probeTimeout        = 100 * time.Millisecond
	acceptRetryInterval = 50 * time.Millisecond
	socketMode          = 0o600 // only for the owner, as responses contain flow ids
)

// Requests.
const (
	requestState   = "state"
	requestMembers = "members"
	requestWhy     = "why" // followed by the id of a flow
)

// Texts of error responses.
const (
	errorUnknownFlow = "nothing is known of this flow (any more)"
	errorNoMembers   = "peers are off here"
	errorBadRequest  = "want state, members, or why and a flow"
)

// Listen opens the socket. It replaces a stale socket file, and fails if another process is listening on the socket.
func Listen(ctx context.Context, path string) (net.Listener, error) {
	dialer := net.Dialer{Timeout: probeTimeout}
	if conn, err := dialer.DialContext(ctx, "unix", path); err == nil {
		_ = conn.Close() // nothing was sent on it
		return nil, fmt.Errorf("another process is listening on %s", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "unix", path)
	if err != nil {
		return nil, err
	}
	return listener, os.Chmod(path, socketMode)
}

// ProcessState is the part of a balancer's state that the router does not have.
type ProcessState struct {
	Phase        string
	OtherProcess string // the state of the balancer's other process; empty if there is none
	StoreFault   string // the fault of the directory that the processes share; empty if there is none
}

// Server responds to requests.
type Server struct {
	Router  *routing.Router
	Process func() ProcessState
	Members func() any // returns the view of the other balancers; nil if membership is disabled
}

// Serve responds to requests until the listener is closed. It closes the listener when the context ends.
func (s Server) Serve(ctx context.Context, listener net.Listener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // fails only if it is closed already
	slots := make(chan struct{}, maxConnections)
	for {
		slots <- struct{}{}
		conn, err := listener.Accept()
		if err == nil {
			connections.Go(func() {
				defer func() { <-slots }()
				s.serveConnection(conn)
			})
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		<-slots
		select {
		case <-ctx.Done():
			return
		case <-time.After(acceptRetryInterval): // there may be no free descriptor at the moment
		}
	}
}

// serveConnection responds to the only request of a connection. It ignores errors, as the client may have disconnected.
func (s Server) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	request, err := bufio.NewReader(io.LimitReader(conn, maxRequestBytes)).ReadString('\n')
	if err != nil {
		return
	}
	kind, flow, _ := strings.Cut(strings.TrimSpace(request), " ")
	_ = json.NewEncoder(conn).Encode(s.respond(kind, flow))
}

// errorResponse is the response to a request that fails.
type errorResponse struct {
	Error string `json:"error"`
}

func (s Server) respond(kind, flow string) any {
	switch kind {
	case requestState:
		state := s.Router.State()
		process := s.Process()
		state.Phase, state.OtherProcess, state.StoreFault = process.Phase, process.OtherProcess, process.StoreFault
		return state
	case requestWhy:
		if explanation, ok := s.Router.Explain(flow); ok {
			return explanation
		}
		return errorResponse{errorUnknownFlow}
	case requestMembers:
		if s.Members == nil {
			return errorResponse{errorNoMembers}
		}
		return s.Members()
	}
	return errorResponse{errorBadRequest}
}
