// Package transport accepts and dials TCP connections and relays lines between them. It finds the ends of lines and
// does not interpret their content.
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
	maxLineBytes       = 4096 + 2 // including CRLF
	initialBufferBytes = 256

	// writeTimeout limits a write. A line that the peer does not accept in time is lost together with its connection,
	// as a longer wait would delay all lines after it.
	writeTimeout = 900 * time.Millisecond
	// lingerTimeout is how long the peer of a connection that is being closed may take to read the last line.
	lingerTimeout = 250 * time.Millisecond
	tcpClosed     = 7 // the kernel's TCP_CLOSE: neither side can send any more

	// maxClosingReads limits the reads from a connection that is being closed, in case its peer keeps sending.
	maxClosingReads = 64
)

// ErrTooLong means that a line exceeds maxLineBytes.
var ErrTooLong = errors.New("line is longer than 4 KiB")

// Conn is a connection with a read buffer, which grows as lines require and is compacted in place. At most one
// goroutine may read at a time, and at most one may write.
type Conn struct {
	raw net.Conn

	buf                  []byte
	unreadFrom, unreadTo int         // the unread part of buf
	relayed              int         // bytes at the start of the unread part that were relayed already
	isMidLine            bool        // a line was relayed in part
	stopRequested        atomic.Bool // set by Stop; the relay ends at the next end of a line
	parkRequested        atomic.Bool // set by Park, cleared once it is handled
	dropsUnreadOnReset   bool        // see DropUnreadOnReset
	isBufferFull         bool        // the last read filled the buffer, so that there may be more to read
	closeOnce            sync.Once

	// budget is the one in which a client's connection is counted; nil: none. Its mutex guards the fields below.
	budget       *DescriptorBudget
	descriptors  int  // number of descriptors counted for this connection
	isUnfinished bool // it has not been sent its last line
	idleElement  *list.Element
	idleSince    time.Time
}

// NewConn wraps a connection that is not counted in a budget.
func NewConn(raw net.Conn) *Conn { return &Conn{raw: raw} }

// Read waits for a complete line and reads from it, never past its end: what follows is left to a relay. It fails with
// ErrTooLong if the line is longer than 4 KiB.
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

// HasUnread reports whether the buffer has unread bytes.
func (c *Conn) HasUnread() bool { return c.unreadFrom < c.unreadTo }

// fill compacts the buffer, grows it if it is full, and reads into it once.
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
	c.isBufferFull = c.unreadTo == len(c.buf)
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// Write writes all of p or fails, after at most writeTimeout. The count is the number of bytes written.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.raw.Write(p)
}

// SetReadDeadline sets the deadline of all reads; the zero time removes it.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) } // fails on a closed connection only

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// InterruptRead makes a pending read and all later ones fail with a timeout.
func (c *Conn) InterruptRead() { c.SetReadDeadline(pastDeadline) }

// Socket returns the connection's socket, to be passed to another process.
func (c *Conn) Socket() syscall.Conn {
	socket, _ := c.raw.(syscall.Conn)
	return socket
}

// WaitReadable waits for unread input. It fails if the connection ends, or with ErrParked if it is parked.
func (c *Conn) WaitReadable() error {
	if c.HasUnread() {
		return nil
	}
	err := c.fill()
	if isTimeout(err) && c.parkRequested.CompareAndSwap(true, false) {
		return ErrParked
	}
	return err
}

// isTimeout reports whether a read failed because of its deadline.
func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// HasPendingInput reports whether input that has not been read, or the end of the connection, has arrived. It consumes
// nothing, as another goroutine may be blocked in a read and not have been scheduled since the input arrived.
func (c *Conn) HasPendingInput() bool {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return false // unknown; the reading goroutine will find out
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // the connection is closed
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

// DropUnreadOnReset makes relays from this connection drop its unread input once its peer has reset it. At most what is
// relayed within a millisecond, or one buffer of it, is still relayed. It is called before the first relay.
func (c *Conn) DropUnreadOnReset() { c.dropsUnreadOnReset = true }

// IsReset reports whether the peer has reset the connection, even if input that arrived before is still unread.
func (c *Conn) IsReset() bool {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return false // unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // the connection is closed
	}
	isReset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err == nil && info.State == tcpClosed
	})
	return isReset || err != nil
}

// CloseWrite closes the sending direction and leaves the receiving direction open.
func (c *Conn) CloseWrite() {
	if closer, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite() // fails only if the connection is broken
	}
}

// CloseGracefully closes the connection so that its last line still arrives: closing with unread input would send a
// reset, which can overtake the last line.
func (c *Conn) CloseGracefully() {
	c.Linger()
	c.DiscardAndClose()
}

// Linger closes the sending direction and limits the time for further reads. From then on the connection may be closed
// to free its descriptor.
func (c *Conn) Linger() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.markFinishedAndIdle()
}

// DiscardAndClose discards the remaining input of a lingering connection, and closes it.
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

// Reset closes the connection with a TCP reset, as a killed process does.
func (c *Conn) Reset() {
	if tcp, ok := c.raw.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	c.Close()
}

// Close closes the connection and releases its descriptors. Further calls do nothing.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close() // an error can't be handled
		if c.budget != nil {
			c.budget.mu.Lock()
			defer c.budget.mu.Unlock()
			c.releaseAll()
		}
	})
}
