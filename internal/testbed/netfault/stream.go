package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
)

const maxPieceBytes = 16 << 10 // of a stream, read at once

// Tap observes a stream at the end that opened it, in the order and at the time in which that end sees it: a message on its way to it has
// been sent and is not received yet. Its functions may be nil.
type Tap struct {
	Sent     func([]byte)
	Received func([]byte)
	Closed   func() // once, by whichever end
}

// stream forwards one connection on a path. near is the end that opened it.
type stream struct {
	path      path
	near, far net.Conn
	out, back *deliveryQueue
	tap       Tap
	closeOnce sync.Once
	tapOnce   sync.Once
	closed    chan struct{}

	mu         sync.Mutex
	resetsNear bool // the far end asked for its close to reach the near end as a reset
}

// Forward connects near, which an endpoint opened, over the path to far, the other endpoint's connection. It returns when both directions
// have ended, and closes both connections.
func (n *Network) Forward(from, to Endpoint, near, far net.Conn, tap Tap) {
	s := &stream{path: path{from, to}, near: near, far: far, tap: tap, closed: make(chan struct{}),
		out: newDeliveryQueue(n.direction(from, to)), back: newDeliveryQueue(n.direction(to, from))}
	if pipe, ok := far.(*forwardedPipe); ok {
		pipe.stub.attach(s)
	}
	if isOpen := n.add(s); !isOpen {
		s.close()
	}
	defer n.remove(s)
	var workers sync.WaitGroup
	workers.Go(s.readNear)
	workers.Go(s.readFar)
	workers.Go(s.deliverToFar)
	workers.Go(s.deliverToNear)
	workers.Wait()
	s.close()
}

func (s *stream) readNear() {
	last, isOurs := s.read(s.near, s.out, s.tap.Sent)
	s.observeClose()
	if !isOurs {
		s.out.put(nil, last, s.closed)
	}
}

func (s *stream) readFar() {
	if last, isOurs := s.read(s.far, s.back, nil); !isOurs {
		s.back.put(nil, last, s.closed)
	}
}

func (s *stream) deliverToFar() {
	s.out.run(s.closed, func(bytes []byte) error { return write(s.far, bytes) }, func(last closing) { s.closeOneWay(s.far, last) })
}

func (s *stream) deliverToNear() {
	s.back.run(s.closed, func(bytes []byte) error {
		if s.tap.Received != nil {
			s.tap.Received(bytes)
		}
		return write(s.near, bytes)
	}, func(last closing) {
		s.observeClose()
		s.closeOneWay(s.near, last)
	})
}

// read queues what a connection sends until it ends, and tells how it ended, or that the stream itself was closed.
func (s *stream) read(conn net.Conn, queue *deliveryQueue, observe func([]byte)) (last closing, isOurs bool) {
	for {
		buffer := make([]byte, maxPieceBytes)
		size, err := conn.Read(buffer)
		if size > 0 {
			if observe != nil {
				observe(buffer[:size])
			}
			queue.put(buffer[:size], notClosing, s.closed)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return orderlyClose, false
		case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
			return notClosing, true
		default:
			return abortiveClose, false
		}
	}
}

// closeOneWay brings the end of one direction to its receiver. A pipe has no half-closed state, so that the whole stream ends there;
// between two sockets the other direction goes on.
func (s *stream) closeOneWay(receiver net.Conn, last closing) {
	_, nearIsPipe := s.near.(*forwardedPipe)
	_, farIsPipe := s.far.(*forwardedPipe)
	s.mu.Lock()
	isReset := last == abortiveClose || receiver == s.near && s.resetsNear
	s.mu.Unlock()
	switch {
	case isReset:
		s.abort()
	case nearIsPipe || farIsPipe:
		s.close()
	default:
		closeWrite(receiver)
	}
}

func (s *stream) observeClose() {
	s.tapOnce.Do(func() {
		if s.tap.Closed != nil {
			s.tap.Closed()
		}
	})
}

func (s *stream) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.near.Close() // either may have ended already
		_ = s.far.Close()
		s.observeClose()
	})
}

// abort ends the stream with a reset at both ends.
func (s *stream) abort() {
	resetOnClose(s.near)
	resetOnClose(s.far)
	s.close()
}

func write(conn net.Conn, bytes []byte) error {
	_, err := conn.Write(bytes)
	return err
}

// resetOnClose has a connection end with a reset, where its kind can.
func resetOnClose(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0) // it fails on a connection that has ended
	}
}

// closeWrite sends an end of file. Its error says that the connection has ended already.
func closeWrite(conn net.Conn) {
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	} else {
		_ = conn.Close()
	}
}
