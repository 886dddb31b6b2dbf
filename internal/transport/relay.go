package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

// lineEndTimeout is how long the rest of a line is waited for when a relay is to stop.
const lineEndTimeout = 700 * time.Millisecond

// Why a relay ended without an end or an error of a connection.
var (
	// ErrStopped says that a relay was stopped, between two lines.
	ErrStopped = errors.New("relay stopped between two lines")
	// ErrMidLine says that a relay was stopped and the rest of a line did not come.
	ErrMidLine = errors.New("relay stopped within a line")
	// ErrParked says that a relay was parked, at any byte.
	ErrParked = errors.New("relay parked")
)

// SideError says which side of a relay broke.
type SideError struct {
	IsWriteSide bool // the relay wrote to it; else it read from it
	Err         error
}

// Error is the cause's, with what was being done.
func (e *SideError) Error() string { return "relay: " + e.Err.Error() }

// Unwrap is the cause.
func (e *SideError) Unwrap() error { return e.Err }

// RelayState is how far a connection's lines have been relayed.
type RelayState struct {
	Unread    []byte
	Passed    int  // bytes of Unread that were relayed already, as the head of a line
	IsMidLine bool // a line was relayed in part
}

// RelayState is what a parked relay from the connection left.
func (c *Conn) RelayState() RelayState {
	return RelayState{Unread: c.unread(), Passed: c.passed, IsMidLine: c.isMidLine}
}

// Adopt makes a connection that another process relayed, with its state there. A client's is counted in its budget
// together with its server's, whose own budget is nil.
func Adopt(raw net.Conn, state RelayState, budget *DescriptorBudget) *Conn {
	c := &Conn{
		raw:       raw,
		buf:       state.Unread,
		unreadTo:  len(state.Unread),
		passed:    state.Passed,
		isMidLine: state.IsMidLine,
		budget:    budget,
	}
	if budget != nil {
		budget.adopt(c)
	}
	return c
}

// Stop ends a relay from this connection at the next end of a line. It does not wait.
func (c *Conn) Stop() {
	c.stopping.Store(true)
	c.InterruptRead()
}

// Park ends a relay from this connection, or the wait for its first line, at any byte, so that it can continue
// later or in another process. It does not wait.
func (c *Conn) Park() {
	c.parking.Store(true)
	c.InterruptRead()
}

// Relay passes on what src brings, as it comes, and shows each line once it is complete, before its end is passed on: a
// reply must not be seen before what it replies to. Parts of lines are passed on too, so that none is held back. Relay
// ends with io.EOF when src ended its sending, with ErrStopped or ErrMidLine after Stop, with ErrParked after Park, and
// with a SideError when a side broke.
func Relay(dst, src *Conn, onLine func(line []byte)) error {
	for {
		if err := src.relayUnread(dst, onLine); err != nil {
			return err
		}
		if src.stopping.Load() && !src.isMidLine {
			return ErrStopped
		}
		if src.parking.CompareAndSwap(true, false) {
			return ErrParked
		}
		if err := src.fill(); err != nil {
			return src.endRelay(dst, err)
		}
	}
}

// relayUnread passes on what is in the buffer and was not passed on yet.
func (c *Conn) relayUnread(dst *Conn, onLine func(line []byte)) error {
	fresh := c.unread()[c.passed:]
	for {
		i := bytes.IndexByte(c.unread()[c.passed:], '\n')
		if i < 0 {
			break
		}
		end := c.passed + i + 1
		onLine(bytes.TrimRight(c.unread()[:end], "\r\n"))
		c.unreadFrom += end
		c.passed = 0
		c.isMidLine = false
	}
	if len(fresh) > 0 {
		if _, err := dst.Write(fresh); err != nil {
			return &SideError{IsWriteSide: true, Err: err}
		}
	}
	c.passed = len(c.unread())
	if c.passed > 0 {
		c.isMidLine = true
	}
	if c.passed >= maxLineBytes { // the line is passed on unseen rather than growing the buffer
		c.unreadFrom = c.unreadTo
		c.passed = 0
	}
	return nil
}

// endRelay returns why a relay ends whose read failed. A relay that is to stop passes on the rest of its line first.
func (c *Conn) endRelay(dst *Conn, err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case isTimeout(err) && c.stopping.CompareAndSwap(true, false):
		if !c.isMidLine {
			return ErrStopped
		}
		c.SetReadDeadline(time.Now().Add(lineEndTimeout))
		defer c.stopping.Store(false)
		if err := c.finishLine(dst); err != nil {
			return err
		}
		return ErrStopped
	case isTimeout(err) && c.parking.CompareAndSwap(true, false):
		return ErrParked
	default:
		return &SideError{Err: err}
	}
}

// finishLine passes on the rest of a line, and nothing behind it.
func (c *Conn) finishLine(dst *Conn) error {
	for {
		fresh := c.unread()[c.passed:]
		end := bytes.IndexByte(fresh, '\n')
		if end >= 0 {
			fresh = fresh[:end+1]
		}
		if len(fresh) > 0 {
			if _, err := dst.Write(fresh); err != nil {
				return &SideError{IsWriteSide: true, Err: err}
			}
		}
		c.unreadFrom += c.passed + len(fresh)
		c.passed = 0
		if end >= 0 {
			c.isMidLine = false
			return nil
		}
		if c.fill() == nil {
			continue
		}
		if !c.parking.CompareAndSwap(true, false) {
			return ErrMidLine
		}
		// The client is about to migrate: Park's interruption counts for nothing.
		c.SetReadDeadline(time.Now().Add(lineEndTimeout))
	}
}
