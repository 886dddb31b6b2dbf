package netfault

import (
	"net"
	"sync"
)

// Pipe returns the two ends of a connection to a stub server in this process: the first is for Network.Forward, the second for the stub.
func Pipe() (forwarded, stub net.Conn) {
	a, b := net.Pipe()
	stubEnd := &stubPipe{Conn: b}
	return &forwardedPipe{Conn: a, stub: stubEnd}, stubEnd
}

type forwardedPipe struct {
	net.Conn
	stub *stubPipe
}

// stubPipe lets a stub server reset its connection like a TCP connection.
type stubPipe struct {
	net.Conn
	mu     sync.Mutex
	stream *stream // nil until the connection is forwarded
}

func (p *stubPipe) attach(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream = s
}

// SetLinger has the near end of the stream reset when the stub closes its connection. The linger time is ignored.
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
