package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
)

const maxChunkBytes = 16 << 10 // of a stream, read in one call

// Tap observes a stream as the end that opened it sees it: bytes are reported as sent when that end sends them, and as received when they
// are delivered to it, after the delay of the path. Its functions may be nil.
type Tap struct {
	Sent     func([]byte)
	Received func([]byte)
	Closed   func() // called once, whichever end closes first
}

// stream forwards one connection on a path. near is the connection of the end that opened it.
type stream struct {
	path      path
	near, far net.Conn
	out, back *deliveryQueue
	tap       Tap
	closeOnce sync.Once
	tapOnce   sync.Once
	closed    chan struct{}

	mu         sync.Mutex
	resetsNear bool // a close by the far end resets the near end
}

// Forward forwards between near, a connection that one endpoint opened, and far, the connection to the other endpoint, under the
// conditions of the path. It returns when both directions have ended, and closes both connections.
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
	closing, closedLocally := s.read(s.near, s.out, s.tap.Sent)
	s.observeClose()
	if !closedLocally {
		s.out.put(nil, closing, s.closed)
	}
}

func (s *stream) readFar() {
	if closing, closedLocally := s.read(s.far, s.back, nil); !closedLocally {
		s.back.put(nil, closing, s.closed)
	}
}

func (s *stream) deliverToFar() {
	s.out.run(s.closed, func(bytes []byte) error { return write(s.far, bytes) }, func(closing closeKind) { s.closeOneWay(s.far, closing) })
}

func (s *stream) deliverToNear() {
	s.back.run(s.closed, func(bytes []byte) error {
		if s.tap.Received != nil {
			s.tap.Received(bytes)
		}
		return write(s.near, bytes)
	}, func(closing closeKind) {
		s.observeClose()
		s.closeOneWay(s.near, closing)
	})
}

// read queues what a connection sends until it ends. It returns how the connection ended, or that the stream itself was closed.
func (s *stream) read(conn net.Conn, queue *deliveryQueue, observe func([]byte)) (closing closeKind, closedLocally bool) {
	for {
		buffer := make([]byte, maxChunkBytes)
		size, err := conn.Read(buffer)
		if size > 0 {
			if observe != nil {
				observe(buffer[:size])
			}
			queue.put(buffer[:size], notClosed, s.closed)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return orderlyClose, false
		case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
			return notClosed, true
		default:
			return abortiveClose, false
		}
	}
}

// closeOneWay passes the end of one direction on to its receiver. Between two sockets the other direction stays open. A pipe can't be
// half-closed, so it ends the whole stream.
func (s *stream) closeOneWay(receiver net.Conn, closing closeKind) {
	_, nearIsPipe := s.near.(*forwardedPipe)
	_, farIsPipe := s.far.(*forwardedPipe)
	s.mu.Lock()
	isReset := closing == abortiveClose || receiver == s.near && s.resetsNear
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
		_ = s.near.Close() // either may be closed already
		_ = s.far.Close()
		s.observeClose()
	})
}

// abort closes the stream with a reset at both ends.
func (s *stream) abort() {
	resetOnClose(s.near)
	resetOnClose(s.far)
	s.close()
}

func write(conn net.Conn, bytes []byte) error {
	_, err := conn.Write(bytes)
	return err
}

// resetOnClose has Close reset the connection if its type supports that.
func resetOnClose(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0) // fails if the connection is closed already
	}
}

// closeWrite sends an end of file. It ignores errors, which mean that the connection is closed already.
func closeWrite(conn net.Conn) {
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	} else {
		_ = conn.Close()
	}
}
