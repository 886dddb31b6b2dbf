package protocol

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// state names where a client's connection stands.
type state int

const (
	opening  state = iota
	picking        // the module has the flow
	dialing        // a server's connection is coming up
	asking         // the line went to the server
	standing       // UP: lines go both ways
	ended
)

// session is one client's connection; only turn changes its state.
type session struct {
	front  *Frontend
	client *transport.Conn
	server *transport.Conn
	line   string
	facts  FlowInfo
	flow   *routing.Flow
	state  state
	place  int // in front.standing; below nought: not there

	up         chan struct{} // closed when the connection stands, or never will
	clientDone chan struct{} // closed when nothing reads from the client any more
	clientEnd  atomic.Bool   // the client ended its side
	answered   atomic.Bool   // the client may speak
	deaf       atomic.Bool   // the server takes no lines
	mayRan     bool          // some connect may have run
	parked     bool          // nothing reads from the client, as it is to be passed to another process; known once clientDone is closed
	carried    chan struct{} // closed once it was, or goes on here; guarded by front.mu
}

// FlowInfo are what is known of a flow apart from its connections.
type FlowInfo struct {
	ID       string `json:"id"` // as its client chose it; empty: it was another's
	Service  string `json:"service"`
	Customer string `json:"customer,omitempty"`
	Key      string `json:"key"`
	Group    string `json:"group,omitempty"`
}

var (
	errClientGone = errors.New("the client went")
	errTakenBack  = errors.New("the connect was taken back")
	errGivenUp    = errors.New("given up")
)

// giveUp answers a client for whom nothing more is tried. Where nothing ever ran it may come again, at a balancer that does not stop.
func (s *session) giveUp(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), errSpoke):
		s.answer("ERR %v", errSpoke)
	case s.mayRan:
		s.answer("ERR %v", errGivenUp)
	default:
		s.front.busy(s.client)
	}
}

// turn makes every change of state, with the books that go with it.
func (s *session) turn(to state) {
	if s.state == standing {
		s.front.drop(s)
		s.tellCarried()
	}
	switch to {
	case standing:
		s.front.add(s)
		close(s.up)
	case ended:
		if s.front.end(s.facts.ID); s.state < standing {
			close(s.up)
		}
	}
	s.state = to
}

// run takes the connection from its OPEN line to its end. Every path gives the client exactly one answer.
func (s *session) run() {
	var err error
	var server string
	var wait time.Duration
	bad := opened(s.line, func(id, key, service, customer, group, at string, w time.Duration, marks int) {
		if !s.front.ClaimID(id) {
			err = errIDTaken
			return
		}
		s.facts = FlowInfo{id, service, customer, key, group}
		if !s.client.AcquireServerSlot() {
			err = errNoRoom
			return
		}
		if wait = w; at != "" {
			s.flow, server, err = s.front.router.ResumeFlow(routing.FlowRequest{Service: service, Customer: customer, Key: key, Group: group}, at)
			return
		}
		s.flow, err = s.front.router.OpenFlow(routing.FlowRequest{ClientID: id, Service: service, Customer: customer, Key: key, Group: group, Timeout: max(w-answerMargin, w/2), Flags: marks})
	})
	if err = errors.Join(bad, err); err != nil {
		s.turn(ended)
		s.client.ReleaseServerSlot()
		s.front.turnAway(s.client, err)
		return
	}
	if server != "" {
		wait = standingWithin
	}
	base, gone := context.WithCancelCause(s.front.ctx)
	defer gone(nil)
	ctx, cancel := context.WithTimeout(base, wait+answerMargin)
	defer cancel()
	s.clientDone = make(chan struct{})
	go s.fromClient(gone)
	if server != "" {
		s.reopen(ctx, server)
	} else {
		s.follow(ctx)
	}
	if s.state == standing {
		s.relay()
		return
	}
	s.turn(ended)
	s.finish()
}

// finish closes the client's side once what was sent last has arrived.
func (s *session) finish() {
	s.client.ReleaseServerSlot()
	s.client.Linger()
	<-s.clientDone
	s.client.Drain()
}

// answer gives the final answer where no server's own is passed on. The client may be gone; nobody is to be told.
func (s *session) answer(format string, a ...any) { _ = writeLine(s.client, format, a...) }

// follow goes by the module's verdicts until the connection stands or the final answer is given.
func (s *session) follow(ctx context.Context) {
	for {
		s.turn(picking)
		attempt, cancel := context.WithCancelCause(ctx)
		c, err := s.flow.AwaitDecision(attempt, func() { cancel(errTakenBack) })
		if err != nil { // the client went, its time is over, or this balancer must stop
			s.flow.Abandon()
			s.giveUp(ctx)
			cancel(nil)
			return
		}
		switch c.Verdict {
		case routing.Reject:
			if c.RetryAfter > 0 {
				s.answer("BUSY %d", c.RetryAfter.Milliseconds())
			} else {
				s.answer("BUSY")
			}
		case routing.Abort:
			s.answer("ERR no answer")
		default:
			up, o := s.connect(attempt, c.Addr, c.Deadline)
			if up != "" {
				cancel(nil)
				s.stand(up)
				return
			}
			if base := context.Cause(ctx); base != nil && !errors.Is(base, context.DeadlineExceeded) {
				s.flow.OnClientLeft()
				s.flow.OnEnded(o)
				s.giveUp(ctx)
				cancel(nil)
				return
			}
			s.flow.OnEnded(o)
			cancel(nil)
			continue
		}
		cancel(nil)
		return
	}
}

// connect makes one connect. It returns the server's UP line, or how the connect ended.
func (s *session) connect(ctx context.Context, addr string, by time.Time) (up string, o routing.Outcome) {
	s.turn(dialing)
	defer func() { s.mayRan = s.mayRan || !o.NeverRan() }()
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	server, err := s.front.dialer.Dial(ctx, addr, s.front.connect, func() bool { return s.meant(ctx) })
	if errors.Is(err, transport.ErrLocalResources) || errors.Is(err, transport.ErrNoLongerWanted) || err != nil && ctx.Err() != nil {
		return "", routing.NeverSent // our own lack, nobody who wants it, or too little time left: no fault of the server's
	}
	if err != nil {
		return "", routing.Unreachable
	}
	if !s.meant(ctx) {
		server.Close()
		return "", routing.NeverSent
	}
	end, _ := ctx.Deadline()
	if err := writeLine(server, "%s", withWait(s.line, time.Until(end))); err != nil {
		server.Reset()
		return "", routing.Unreachable // the last byte wasn't written
	}
	s.turn(asking)
	stop := context.AfterFunc(ctx, func() { server.SetReadDeadline(time.Unix(1, 0)) })
	reply, err := readLine(server)
	if !stop() || err != nil && ctx.Err() != nil {
		server.Close()
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return "", routing.TimedOut
		}
		return "", routing.Cancelled
	}
	if err == nil && word(reply) == "UP" {
		s.server = server
		return reply, routing.OK
	}
	server.Close()
	return "", notUp(reply, err)
}

// meant is the last look, before the SYN and again before the first byte. Since the server was chosen, or since its connection was asked for,
// the client may have gone, in an instant after which nothing here ran but this, the time may be over, and the server may have been told to
// drain.
func (s *session) meant(ctx context.Context) bool {
	if !s.client.IsIdle() {
		<-ctx.Done() // fromClient is about to say why
	}
	return ctx.Err() == nil && s.flow.StillAllowed()
}

// notUp is what a server's first words other than UP mean.
func notUp(reply string, err error) routing.Outcome {
	if err != nil && !errors.Is(err, transport.ErrTooLong) {
		return routing.Reset // it may have run
	}
	switch word(reply) {
	case "BUSY":
		return routing.Full
	case "MOVE", "BYE":
		return routing.Cancelled // it ran, and is over
	}
	return routing.Error
}

const (
	standingWithin = 36 * time.Second // those open before the start are lost after 40
	standingPause  = 200 * time.Millisecond
)

// reopen brings up a connection that was open at a server before this start. Another try is harmless only where
// the one before never ran.
func (s *session) reopen(ctx context.Context, addr string) {
	for {
		up, o := s.connect(ctx, addr, time.Now().Add(standingWithin))
		if up != "" {
			s.stand(up)
			return
		}
		if !o.NeverRan() {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(standingPause):
			continue
		}
		break
	}
	s.answer("ERR not up")
}

// stand passes the receipt on; from here on the connection belongs to the server.
func (s *session) stand(up string) {
	s.flow.OnEstablished()
	s.answered.Store(true)
	if err := writeLine(s.client, "%s", up); err != nil {
		s.clientEnd.Store(true) // the relay finds it broken
	}
	s.turn(standing)
	s.flow.OnMigrate(s.server.Stop)
}

// fromClient reads the client's side: before the connection stands only to notice that the client went.
func (s *session) fromClient(gone context.CancelCauseFunc) {
	defer close(s.clientDone)
	if err := s.client.WaitReadable(); errors.Is(err, transport.ErrParked) {
		s.parked = true
		return
	} else if err != nil {
		s.clientEnd.Store(true)
		gone(errClientGone)
		<-s.up
		if s.server != nil {
			s.passEnd(err)
		}
		return
	}
	if !s.answered.Load() {
		gone(errSpoke) // what it says would go to the server as its first lines
	}
	<-s.up
	if s.server == nil {
		return
	}
	err := transport.Relay(s.server, s.client, func([]byte) { s.flow.OnRequest() })
	if s.parked = errors.Is(err, transport.ErrParked); !s.parked {
		s.passEnd(err)
	}
}

// passEnd ends the server's side as the client ended its own.
func (s *session) passEnd(err error) {
	var side *transport.SideError
	switch {
	case errors.As(err, &side) && side.Written && errors.Is(err, os.ErrDeadlineExceeded):
		s.deaf.Store(true)
		s.server.Stop() // it takes no lines: the client is asked to come again
	case errors.As(err, &side) && side.Written:
		s.server.SetReadDeadline(time.Now().Add(endWithin)) // it ended; what it sent last is still to be read
	case errors.Is(err, io.EOF):
		s.clientEnd.Store(true)
		s.server.CloseWrite()
		s.server.SetReadDeadline(time.Now().Add(endWithin))
	default:
		s.clientEnd.Store(true)
		s.server.Reset()
	}
}

// How long a server may take to end a connection that its client has ended.
const endWithin = 800 * time.Millisecond

// relay passes on what the server sends until one side ends, and ends the other in the same way.
func (s *session) relay() {
	last := ""
	seen := func(line []byte) {
		var rest string
		if last, rest, _ = strings.Cut(string(line), " "); last != "LOAD" {
			s.flow.OnReply()
			if last == "BYE" || last == "MOVE" {
				s.server.SetReadDeadline(time.Now().Add(endWithin)) // its last word, whether or not an end follows
			}
		} else if x, err := strconv.ParseFloat(rest, 64); err == nil && x >= 0 {
			s.flow.OnServerMetric(x)
		}
	}
	err := transport.Relay(s.client, s.server, seen)
	for errors.Is(err, transport.ErrParked) {
		if s.passOn(last) {
			return
		}
		err = transport.Relay(s.client, s.server, seen)
	}
	o, broken := routing.Cancelled, false
	var side *transport.SideError
	switch {
	case errors.Is(err, transport.ErrStopped):
		_ = writeLine(s.client, "MOVE") // it may be gone; then it comes again anyway
		if s.deaf.Load() {
			o = routing.Reset
		}
	case s.clientEnd.Load():
	case errors.As(err, &side) && side.Written, errors.Is(err, transport.ErrMidLine):
		broken = true
	case last == "BYE":
		o = routing.OK
	case last == "MOVE":
	case errors.Is(err, io.EOF):
		o = routing.Reset
	default:
		o, broken = routing.Reset, true
	}
	if last == "MOVE" && o == routing.Cancelled {
		o = routing.Full // the server's own word, before the list has it: whoever comes next would be sent away too
	}
	slog.Debug("relay ended", "error", err, "last", last, "client ended", s.clientEnd.Load())
	s.turn(ended)
	s.flow.OnEnded(o)
	if broken {
		s.server.Reset() // first: the descriptors of both are the client's to give back
		s.client.Reset()
		<-s.clientDone
		return
	}
	s.server.Close()
	s.finish()
}
