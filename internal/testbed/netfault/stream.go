package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	pieceSize = 16 << 10
	onTheWay  = 256 << 10 // bytes of a stream's direction; beyond, its sender waits
)

// Tap sees a stream at the end of who opened it: what that end sent, and when; what it was told, as it is told; and its end, by
// whichever side. That is what a referee of that end must go by: a message on its way has been sent and not yet heard.
type Tap struct {
	Sent, Told func([]byte)
	Ended      func(byOpener bool)
}

// stream leads one connection over a way: near is the end that opened it, far the other one.
type stream struct {
	net       *Net
	from, to  Name
	near, far net.Conn
	out, back *lane
	tap       Tap
	once      sync.Once
	ended     sync.Once
	closed    chan struct{}
	linger    bool // the far end wants its end to be a reset
	mu        sync.Mutex
}

// lane carries one direction; what is put in comes out in order.
type lane struct {
	side  *side
	mu    sync.Mutex
	items []piece
	size  int
	last  time.Time
	wake  chan struct{} // something was put in, or taken out
	room  chan struct{}
}

type piece struct {
	due   time.Time
	bytes []byte
	end   ending
}

// ending is how a direction ends, where a piece is its last.
type ending int

const (
	goesOn  ending = iota
	orderly        // nothing more comes this way
	broken         // its sender was reset, or wants it to look so
)

func newLane(s *side) *lane {
	return &lane{side: s, wake: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *lane) put(b []byte, end ending, closed <-chan struct{}) {
	due, _, spoilt := l.side.pass(len(b), true, time.Now())
	if spoilt {
		for i := range b {
			b[i] ^= 0x5a
		}
	}
	for {
		l.mu.Lock()
		if l.size < onTheWay || end != goesOn {
			if due.Before(l.last) {
				due = l.last
			}
			l.last = due
			l.items = append(l.items, piece{due, b, end})
			l.size += len(b)
			l.mu.Unlock()
			poke(l.wake)
			return
		}
		l.mu.Unlock()
		select {
		case <-l.room:
		case <-closed:
			return
		}
	}
}

// run hands pieces on when they are due and the way is open.
func (l *lane) run(closed <-chan struct{}, deliver func([]byte) error, end func(ending)) {
	for {
		l.mu.Lock()
		var next piece
		some := len(l.items) > 0
		if some {
			next = l.items[0]
		}
		l.mu.Unlock()
		if !some {
			select {
			case <-l.wake:
				continue
			case <-closed:
				return
			}
		}
		if wait := time.Until(next.due); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-t.C:
			case <-closed:
				t.Stop()
				return
			}
		}
		for {
			c, changed := l.side.get()
			if !c.Cut && !c.Mute {
				break
			}
			select {
			case <-changed:
			case <-closed:
				return
			}
		}
		l.mu.Lock()
		l.items = l.items[1:]
		l.size -= len(next.bytes)
		l.mu.Unlock()
		poke(l.room)
		if next.end != goesOn {
			end(next.end)
			return
		}
		if deliver(next.bytes) != nil {
			return
		}
	}
}

// Lead leads a connection that one end opened over the way to the other, whose connection far is, and returns when both
// directions have ended.
func (n *Net) Lead(from, to Name, near, far net.Conn, tap Tap) {
	s := &stream{net: n, from: from, to: to, near: near, far: far, tap: tap, closed: make(chan struct{}),
		out: newLane(n.side(from, to)), back: newLane(n.side(to, from))}
	if e, ok := far.(*inner); ok {
		e.outer.tie(s)
	}
	n.mu.Lock()
	over := n.over
	n.streams[s] = true
	n.mu.Unlock()
	if over {
		s.end()
	}
	defer func() {
		n.mu.Lock()
		delete(n.streams, s)
		n.mu.Unlock()
	}()
	var parts sync.WaitGroup
	parts.Go(func() { s.read(s.near, s.out, s.tap.Sent, func() { s.over(true) }) })
	parts.Go(func() { s.read(s.far, s.back, nil, nil) })
	parts.Go(func() {
		s.out.run(s.closed, func(b []byte) error { return write(s.far, b) }, func(e ending) { s.ends(s.far, e) })
	})
	parts.Go(func() {
		s.back.run(s.closed, func(b []byte) error {
			if s.tap.Told != nil {
				s.tap.Told(b)
			}
			return write(s.near, b)
		}, func(e ending) {
			s.over(false)
			s.ends(s.near, e)
		})
	})
	parts.Wait()
	s.end()
}

// Close ends all streams; none is led any more.
func (n *Net) Close() {
	n.mu.Lock()
	n.over = true
	var all []*stream
	for s := range n.streams {
		all = append(all, s)
	}
	n.mu.Unlock()
	for _, s := range all {
		s.end()
	}
}

// ends: the end of one direction has come to where it goes. A stand-in reads nothing more once it has ended, so that the whole
// stream is over; between processes the other direction goes on.
func (s *stream) ends(at net.Conn, e ending) {
	_, nearPipe := s.near.(*inner)
	_, farPipe := s.far.(*inner)
	s.mu.Lock()
	reset := e == broken || at == s.near && s.linger
	s.mu.Unlock()
	switch {
	case reset:
		s.abort()
	case nearPipe || farPipe:
		s.end()
	default:
		shutWrite(at)
	}
}

func (s *stream) over(byOpener bool) {
	s.ended.Do(func() {
		if s.tap.Ended != nil {
			s.tap.Ended(byOpener)
		}
	})
}

// read takes in what an end says until it ends.
func (s *stream) read(c net.Conn, l *lane, seen func([]byte), ended func()) {
	for {
		b := make([]byte, pieceSize)
		k, err := c.Read(b)
		if k > 0 {
			if seen != nil {
				seen(b[:k])
			}
			l.put(b[:k], goesOn, s.closed)
		}
		if err == nil {
			continue
		}
		if ended != nil {
			ended()
		}
		switch {
		case errors.Is(err, io.EOF):
			l.put(nil, orderly, s.closed)
		case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe): // by us: all is over
		default:
			l.put(nil, broken, s.closed)
		}
		return
	}
}

func write(c net.Conn, b []byte) error {
	_, err := c.Write(b)
	return err
}

func (s *stream) end() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.near.Close()
		_ = s.far.Close()
		s.over(false)
	})
}

// abort breaks both ends at once.
func (s *stream) abort() {
	setLinger(s.near)
	setLinger(s.far)
	s.end()
}

func setLinger(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0)
	}
}

func shutWrite(c net.Conn) {
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	} else {
		_ = c.Close()
	}
}

// Pipe gives the two ends of a way to a stand-in inside the yard: inner is led (Lead), outer is the stand-in's connection.
func Pipe() (innerEnd, outerEnd net.Conn) {
	a, b := net.Pipe()
	o := &outer{Conn: b}
	return &inner{Conn: a, outer: o}, o
}

type inner struct {
	net.Conn
	outer *outer
}

// outer lets a stand-in ask for its end to be a reset.
type outer struct {
	net.Conn
	mu sync.Mutex
	s  *stream
}

func (o *outer) tie(s *stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.s = s
}

// SetLinger has the near end see a reset in place of an orderly end.
func (o *outer) SetLinger(int) error {
	o.mu.Lock()
	s := o.s
	o.mu.Unlock()
	if s != nil {
		s.mu.Lock()
		s.linger = true
		s.mu.Unlock()
	}
	return nil
}
