// Package transport listens, dials and relays lines over TCP. It knows where a line ends and nothing of what a
// line says.
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
	maxLineBytes       = 4096 + 2 // with its CRLF
	initialBufferBytes = 256

	// writeTimeout bounds a write: a line that the other side does not take within it is lost, and so is its
	// connection, as waiting longer would hold back every line behind it.
	writeTimeout = 900 * time.Millisecond
	// lingerTimeout is how long a connection that was ended may take to read its last line.
	lingerTimeout = 250 * time.Millisecond
	// maxClosingReads bounds the reads from a connection that was ended, against one that keeps sending.
	maxClosingReads = 64
)

// ErrTooLong says that a line has no end within the bound.
var ErrTooLong = errors.New("line is longer than 4 KiB")

// Conn is a connection with the one buffer that it has, which grows as lines need it and is compacted in place. One
// goroutine reads at a time, and one writes.
type Conn struct {
	raw net.Conn

	buf                  []byte
	unreadFrom, unreadTo int  // the unread part of buf
	passed               int  // bytes of it that were relayed already, as the head of a line
	isMidLine            bool // a line was relayed in part
	stopping             atomic.Bool
	parking              atomic.Bool
	closeOnce            sync.Once

	// budget is that of a client's connection; nil: the connection is not counted. Its mutex guards the rest.
	budget       *DescriptorBudget
	descriptors  int  // counted for it
	isUnfinished bool // it has not had its last line
	idleElement  *list.Element
	idleSince    time.Time
}

// NewConn wraps a connection that is not counted in a budget.
func NewConn(raw net.Conn) *Conn { return &Conn{raw: raw} }

// Read reads no byte past the end of the first line, and none of a line that is not complete: what follows a line
// is left to a relay. It fails with ErrTooLong where a line has no end within 4 KiB.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		unread := c.unread()
		if i := bytes.IndexByte(unread, '\n'); i >= 0 {
			n := copy(p, unread[:i+1])
			c.unreadFrom += n
			return n, nil
		}
		if len(unread) >= maxLineBytes {
			return 0, ErrTooLong
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

func (c *Conn) unread() []byte { return c.buf[c.unreadFrom:c.unreadTo] }

// HasUnread reports whether something in the buffer is unread.
func (c *Conn) HasUnread() bool { return c.unreadFrom < c.unreadTo }

// fill reads more into the buffer.
func (c *Conn) fill() error {
	if c.unreadFrom > 0 {
		copy(c.buf, c.unread())
		c.unreadFrom, c.unreadTo = 0, c.unreadTo-c.unreadFrom
	}
	if c.unreadTo == len(c.buf) {
		grown := make([]byte, min(max(2*len(c.buf), initialBufferBytes), maxLineBytes))
		copy(grown, c.buf)
		c.buf = grown
	}
	n, err := c.raw.Read(c.buf[c.unreadTo:])
	c.unreadTo += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// Write sends all of p or fails. The count says whether any of it was left unwritten.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.raw.Write(p)
}

// SetReadDeadline bounds all reads; the zero time removes the bound.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) } // fails on a closed connection only

// inThePast is a deadline that passed.
var inThePast = time.Unix(1, 0)

// InterruptRead ends a read under way, and all that follow, as at a deadline that passed.
func (c *Conn) InterruptRead() { c.SetReadDeadline(inThePast) }

// Socket is the connection's socket, to be passed to another process.
func (c *Conn) Socket() syscall.Conn {
	socket, _ := c.raw.(syscall.Conn)
	return socket
}

// WaitReadable returns when something unread is there, or the connection ended, or was parked.
func (c *Conn) WaitReadable() error {
	if c.HasUnread() {
		return nil
	}
	err := c.fill()
	if isTimeout(err) && c.parking.CompareAndSwap(true, false) {
		return ErrParked
	}
	return err
}

// isTimeout reports whether a read ended at a deadline.
func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// HasPendingInput reports whether the other side has ended the connection or sent more by now. It takes no byte: another
// goroutine may be waiting for just that, and not have run since it came.
func (c *Conn) HasPendingInput() bool {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return false // it can't be told, and the goroutine that reads notices in time
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	isPending := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		switch _, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); err {
		case nil, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.EHOSTUNREACH:
			isPending = true
		}
	})
	return isPending || err != nil
}

// CloseWrite ends the sending and leaves the reading open.
func (c *Conn) CloseWrite() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // a broken connection needs no end
	}
}

// CloseGracefully ends the connection so that its last line still arrives: closed with something unread, it would be
// reset, and the reset overtakes the last line.
func (c *Conn) CloseGracefully() {
	c.Linger()
	c.DiscardAndClose()
}

// Linger ends the sending and bounds what is still read.
func (c *Conn) Linger() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.markIdle()
}

// DiscardAndClose reads to the end of a connection that lingers, and closes it.
func (c *Conn) DiscardAndClose() {
	for range maxClosingReads {
		c.unreadFrom, c.unreadTo = 0, 0
		if c.fill() != nil {
			break
		}
	}
	c.unreadFrom, c.unreadTo = 0, 0
	c.Close()
}

// Reset ends the connection the way a lost process does: with a reset.
func (c *Conn) Reset() {
	if tcp, ok := c.raw.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	c.Close()
}

// Close closes the connection and gives back its descriptors. Closing it again does nothing.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close() // nothing is left to be done about it
		if c.budget != nil {
			c.budget.mu.Lock()
			defer c.budget.mu.Unlock()
			c.releaseAll()
		}
	})
}
