// Package explain answers, on a unix socket, what a running balancer holds and why it placed a flow where it did.
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
	// Descriptors is how many descriptors Listen and Serve need at most: the socket, the connections, and one to
	// see whether another process listens already.
	Descriptors = maxConnections + 2

	maxConnections      = 4 // served at once; more wait in the system's queue
	exchangeTimeout     = 2 * time.Second
	maxQuestionBytes    = 512
	probeTimeout        = 100 * time.Millisecond
	acceptRetryInterval = 50 * time.Millisecond
	ownerOnly           = 0o600 // the answers name flows
)

// Questions.
const (
	questionState   = "state"
	questionMembers = "members"
	questionWhy     = "why" // and the id of a flow
)

// Answers to questions that can't be answered.
const (
	answerUnknownFlow = "nothing is known of this flow (any more)"
	answerNoMembers   = "peers are off here"
	answerBadQuestion = "want state, members, or why and a flow"
)

// Listen opens the socket. One that a process left behind is replaced; one on which a process listens is an error.
func Listen(ctx context.Context, path string) (net.Listener, error) {
	dialer := net.Dialer{Timeout: probeTimeout}
	if conn, err := dialer.DialContext(ctx, "unix", path); err == nil {
		_ = conn.Close() // nothing was sent on it
		return nil, fmt.Errorf("somebody listens on %s already", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there and no socket", path)
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
	return listener, os.Chmod(path, ownerOnly)
}

// Process is what the process says of itself, beside what routing knows.
type Process struct {
	Phase      string
	Processes  string // the other process of this balancer; empty: there is none
	StoreFault string // what is wrong with the directory that the processes share; empty: nothing
}

// Server answers questions.
type Server struct {
	Router  *routing.Router
	Process func() Process
	Members func() any // what is known of other balancers; nil: nothing passes between them
}

// Serve answers until the context ends, which closes the listener, or until that fails for good.
func (s Server) Serve(ctx context.Context, listener net.Listener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // fails only where it is closed already
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
		case <-time.After(acceptRetryInterval): // there may be no descriptor left at the moment
		}
	}
}

// serveConnection answers the one question of a connection. Errors are dropped: the client may be gone by then.
func (s Server) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(exchangeTimeout))
	question, err := bufio.NewReader(io.LimitReader(conn, maxQuestionBytes)).ReadString('\n')
	if err != nil {
		return
	}
	kind, flow, _ := strings.Cut(strings.TrimSpace(question), " ")
	_ = json.NewEncoder(conn).Encode(s.answer(kind, flow))
}

// failure is the answer to a question that can't be answered.
type failure struct {
	Error string `json:"error"`
}

func (s Server) answer(kind, flow string) any {
	switch kind {
	case questionState:
		state := s.Router.State()
		process := s.Process()
		state.Phase, state.Processes, state.StoreFault = process.Phase, process.Processes, process.StoreFault
		return state
	case questionWhy:
		if explanation, ok := s.Router.Explain(flow); ok {
			return explanation
		}
		return failure{answerUnknownFlow}
	case questionMembers:
		if s.Members == nil {
			return failure{answerNoMembers}
		}
		return s.Members()
	}
	return failure{answerBadQuestion}
}
