// Package transport listens, dials and relays lines over TCP. It knows where a line ends and nothing of what one
// says.
package transport

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	longestLine = 4096 + 2 // with its CRLF
	firstBuffer = 256

	// A line that the other side does not take within this is lost, and so is its connection: waiting longer
	// would hold back every line behind it.
	writeLimit = 900 * time.Millisecond
	// How long a connection that has been ended may take to read what it was sent last.
	lingerLimit = 250 * time.Millisecond
	// How long the rest of a line is waited for when a relay is to stop.
	restOfLine = 700 * time.Millisecond
)

// Why a connection is read no further.
var (
	ErrTooLong = errors.New("line is longer than 4 KiB")
	ErrStopped = errors.New("relay stopped between two lines")
	ErrMidLine = errors.New("relay stopped within a line")
	ErrParked  = errors.New("relay parked")
)

// Conn is a connection with the one buffer that it has: grown as lines need it, compacted in place. One goroutine
// reads at a time, and one writes.
type Conn struct {
	raw      net.Conn
	buf      []byte
	from, to int  // the unread part of buf
	passed   int  // of it went on already, as the head of a line whose end is to come
	within   bool // a line went on in part
	stopping atomic.Bool
	parking  atomic.Bool
	once     sync.Once

	room  *DescriptorBudget // that a client's connection is counted in; the rest is guarded by its mutex
	held  int               // descriptors counted for it
	owed  bool              // it has not had its last word
	spot  *list.Element
	since time.Time
}

// NewConn wraps a connection that is counted nowhere.
func NewConn(raw net.Conn) *Conn { return &Conn{raw: raw} }

// Read gives no byte past the end of the first line held, and none of a line that is not whole: what reads through
// it can't take from the relay what follows.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if i := bytes.IndexByte(c.buf[c.from:c.to], '\n'); i >= 0 {
			n := copy(p, c.buf[c.from:c.from+i+1])
			c.from += n
			return n, nil
		}
		if c.to-c.from >= longestLine {
			return 0, ErrTooLong
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

func (c *Conn) fill() error {
	if c.from > 0 {
		copy(c.buf, c.buf[c.from:c.to])
		c.from, c.to = 0, c.to-c.from
	}
	if c.to == len(c.buf) {
		grown := make([]byte, min(max(2*len(c.buf), firstBuffer), longestLine))
		copy(grown, c.buf)
		c.buf = grown
	}
	n, err := c.raw.Read(c.buf[c.to:])
	c.to += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// Write sends all of p or fails. The count tells whether anything of it was left unwritten.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return 0, err
	}
	return c.raw.Write(p)
}

// SetReadDeadline bounds all reading; the zero time takes the bound away.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) } // fails on a closed connection only

// InterruptRead ends a read under way, and all that follow, as at a deadline that passed.
func (c *Conn) InterruptRead() { c.SetReadDeadline(time.Unix(1, 0)) }

// Stop ends a relay from this connection at the next end of a line. It does not wait.
func (c *Conn) Stop() {
	c.stopping.Store(true)
	c.InterruptRead()
}

// Park ends a relay from this connection, or the wait for its first line, at any byte, so that it can go on later or
// elsewhere. It does not wait.
func (c *Conn) Park() {
	c.parking.Store(true)
	c.InterruptRead()
}

// RelayState is what a relay that was parked left: what is unread, how much of it went on, whether a line went on in part.
func (c *Conn) RelayState() (unread []byte, passed int, within bool) {
	return c.buf[c.from:c.to], c.passed, c.within
}

// Adopt is a connection that another process relayed, with what Rest said there. A client's is counted as a pair.
func Adopt(raw net.Conn, unread []byte, passed int, within bool, r *DescriptorBudget) *Conn {
	c := &Conn{raw: raw, buf: unread, to: len(unread), passed: passed, within: within, room: r}
	if r != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.left -= 2 // it is there already, room or not
		c.held = 2
		c.owe()
	}
	return c
}

// Socket is the connection itself, to be passed on.
func (c *Conn) Socket() syscall.Conn { s, _ := c.raw.(syscall.Conn); return s }

// CloseWrite ends the sending and leaves the rest open.
func (c *Conn) CloseWrite() {
	if h, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = h.CloseWrite() // what is broken already needs no end
	}
}

// CloseGracefully ends the connection so that what was sent last still arrives: closed with something unread, it would be
// reset, and the reset overtakes the last line.
func (c *Conn) CloseGracefully() {
	c.Linger()
	c.Drain()
}

// Linger ends the sending and bounds what is still read.
func (c *Conn) Linger() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerLimit))
	c.spare()
}

// Drain reads to the end of a connection that lingers, and closes it.
func (c *Conn) Drain() {
	c.from, c.to = 0, 0
	for range 64 { // against one that goes on sending
		if c.fill() != nil {
			break
		}
		c.from, c.to = 0, 0
	}
	c.Close()
}

// Reset ends the connection the way a lost process does: with a reset.
func (c *Conn) Reset() {
	if h, ok := c.raw.(interface{ SetLinger(int) error }); ok {
		_ = h.SetLinger(0)
	}
	c.Close()
}

// Close closes the connection, and gives back its place and its buffer. Again it does nothing.
func (c *Conn) Close() {
	c.once.Do(func() {
		_ = c.raw.Close() // nothing is left to be done about it
		if c.room != nil {
			c.room.mu.Lock()
			defer c.room.mu.Unlock()
			c.release()
		}
	})
}

// SideError tells which side of a relay broke.
type SideError struct {
	Written bool // the side written to
	Err     error
}

func (e *SideError) Error() string { return "relay: " + e.Err.Error() }
func (e *SideError) Unwrap() error { return e.Err }

// Relay passes on what src brings, as it comes, and shows each line once it is whole, before it goes on: an answer
// must not be seen before what it answers. It ends with io.EOF when src has ended its sending, with ErrStopped
// after Stop, and with a SideError when a side broke. Part lines go on too, so that none is held back.
func Relay(dst, src *Conn, seen func(line []byte)) error {
	for {
		fresh := src.buf[src.from+src.passed : src.to]
		for {
			i := bytes.IndexByte(src.buf[src.from+src.passed:src.to], '\n')
			if i < 0 {
				break
			}
			i += src.passed
			seen(bytes.TrimRight(src.buf[src.from:src.from+i+1], "\r\n"))
			src.from += i + 1
			src.passed, src.within = 0, false
		}
		if len(fresh) > 0 {
			if _, err := dst.Write(fresh); err != nil {
				return &SideError{true, err}
			}
		}
		if src.passed = src.to - src.from; src.passed > 0 {
			src.within = true
		}
		if src.passed >= longestLine { // it goes on unseen rather than growing the buffer
			src.from, src.passed = src.to, 0
		}
		if src.stopping.Load() && !src.within {
			return ErrStopped
		}
		if src.parking.CompareAndSwap(true, false) {
			return ErrParked
		}
		err := src.fill()
		var timeout net.Error
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return io.EOF
		case errors.As(err, &timeout) && timeout.Timeout() && src.stopping.CompareAndSwap(true, false):
			if !src.within {
				return ErrStopped
			}
			src.SetReadDeadline(time.Now().Add(restOfLine))
			defer src.stopping.Store(false)
			if err := finishLine(dst, src); err != nil {
				return err
			}
			return ErrStopped
		case errors.As(err, &timeout) && timeout.Timeout() && src.parking.CompareAndSwap(true, false):
			return ErrParked
		default:
			return &SideError{false, err}
		}
	}
}

// finishLine passes on the rest of a line, and nothing behind it.
func finishLine(dst, src *Conn) error {
	for {
		fresh := src.buf[src.from+src.passed : src.to]
		i := bytes.IndexByte(fresh, '\n')
		if i >= 0 {
			fresh = fresh[:i+1]
		}
		if len(fresh) > 0 {
			if _, err := dst.Write(fresh); err != nil {
				return &SideError{true, err}
			}
		}
		if src.from, src.passed = src.from+src.passed+len(fresh), 0; i >= 0 {
			src.within = false
			return nil
		}
		if src.fill() != nil {
			if src.parking.CompareAndSwap(true, false) { // the client is about to be moved: it is not passed on
				src.SetReadDeadline(time.Now().Add(restOfLine))
				continue
			}
			return ErrMidLine
		}
	}
}

// WaitReadable returns when something unread is there, or the connection ended, or was parked.
func (c *Conn) WaitReadable() error {
	if c.from < c.to {
		return nil
	}
	err := c.fill()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && c.parking.CompareAndSwap(true, false) {
		return ErrParked
	}
	return err
}

// IsIdle tells whether the other side has neither ended the connection nor sent more by now. It takes no byte: another goroutine may be
// waiting for just that, and not have run since it came.
func (c *Conn) IsIdle() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		switch _, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); err {
		case nil, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.EHOSTUNREACH:
			quiet = false
		}
	})
	return quiet && err == nil
}

// HasUnread tells whether something is unread.
func (c *Conn) HasUnread() bool { return c.from < c.to }
