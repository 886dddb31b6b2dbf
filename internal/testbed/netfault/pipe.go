package netfault

import (
	"net"
	"sync"
)

// Pipe makes a connection to a stand-in inside this process: the first end is for Network.Forward, the second is the stand-in's.
func Pipe() (forwarded, standIn net.Conn) {
	a, b := net.Pipe()
	outer := &outerPipe{Conn: b}
	return &innerPipe{Conn: a, outer: outer}, outer
}

type innerPipe struct {
	net.Conn
	outer *outerPipe
}

// outerPipe lets a stand-in reset its connection, as it could a socket.
type outerPipe struct {
	net.Conn
	mu     sync.Mutex
	stream *stream // nil until it is forwarded
}

func (p *outerPipe) attach(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream = s
}

// SetLinger has the near end of the stream see a reset when the stand-in closes its connection, whatever the time.
func (p *outerPipe) SetLinger(int) error {
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
