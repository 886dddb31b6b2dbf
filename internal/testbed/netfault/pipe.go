package netfault

import (
	"net"
	"sync"
)

// Pipe makes a connection to a stub server of this process: the first end is for Network.Forward, the second is the stub's.
func Pipe() (forwarded, stub net.Conn) {
	a, b := net.Pipe()
	stubEnd := &stubPipe{Conn: b}
	return &forwardedPipe{Conn: a, stub: stubEnd}, stubEnd
}

type forwardedPipe struct {
	net.Conn
	stub *stubPipe
}

// stubPipe lets a stub server reset its connection, as it could a socket.
type stubPipe struct {
	net.Conn
	mu     sync.Mutex
	stream *stream // nil until it is forwarded
}

func (p *stubPipe) attach(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream = s
}

// SetLinger has the near end of the stream see a reset when the stub closes its connection, whatever the time.
func (p *stubPipe) SetLinger(int) error {
	p.mu.Lock()
	s := p.stream
	p.mu.Unlock()
	if s != nil {
		s.mu.Lock()
		s.resetsNear = true
		s.mu.Unlock()
	}
	return nil
}
