package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// lineEndTimeout is how long a relay that is stopped within a line waits for the rest of the line.
const lineEndTimeout = 700 * time.Millisecond

// resetCheckInterval is the shortest time between two checks whether a client has reset its connection: they cost a system
// call each.
const resetCheckInterval = time.Millisecond

// Errors of a relay that ended although neither connection ended or failed.
var (
	// ErrStopped means that a relay was stopped between two lines.
	ErrStopped = errors.New("relay stopped between two lines")
	// ErrMidLine means that a relay was stopped within a line, and the rest of the line did not arrive in time.
	ErrMidLine = errors.New("relay stopped within a line")
	// ErrParked means that a relay was parked, possibly within a line.
	ErrParked = errors.New("relay parked")
)

// SideError is an error of one of the two connections of a relay.
type SideError struct {
	IsWriteSide bool // true: of the connection written to; false: of the one read from
	Err         error
}

// Error returns the message of the underlying error with a prefix.
func (e *SideError) Error() string { return "relay: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *SideError) Unwrap() error { return e.Err }

// RelayState is the position of a relay in the input of a connection.
type RelayState struct {
	Unread       []byte
	RelayedBytes int  // bytes at the start of Unread that were relayed already
	IsMidLine    bool // a line was relayed in part
}

// RelayState returns the state of a parked relay from the connection.
func (c *Conn) RelayState() RelayState {
	return RelayState{Unread: c.unread(), RelayedBytes: c.relayed, IsMidLine: c.isMidLine}
}

// Adopt returns a connection that another process has relayed, with the state of that relay. The budget of a client's
// connection also counts the connection to its server, which is itself adopted with a nil budget.
func Adopt(raw net.Conn, state RelayState, budget *DescriptorBudget) *Conn {
	c := &Conn{
		raw:       raw,
		buf:       state.Unread,
		unreadTo:  len(state.Unread),
		relayed:   state.RelayedBytes,
		isMidLine: state.IsMidLine,
		budget:    budget,
	}
	if budget != nil {
		budget.adopt(c)
	}
	return c
}

// Stop makes a relay from this connection end at the next end of a line. It does not wait for that.
func (c *Conn) Stop() {
	c.stopRequested.Store(true)
	c.InterruptRead()
}

// Park suspends a relay from this connection, or the wait for its first line, possibly within a line, so that it can
// continue later or in another process. It does not wait for that.
func (c *Conn) Park() {
	c.parkRequested.Store(true)
	c.InterruptRead()
}

// Relay copies the input of src to dst as it arrives. It calls onLine with each complete line before it writes the end
// of the line: a reply must not be seen before the line that it answers. Parts of lines are written without waiting for
// the rest. Relay returns io.EOF when src has ended its sending, ErrStopped or ErrMidLine after Stop, ErrParked after
// Park, and a SideError when a connection fails. A relay with endless input yields to other connections from time to
// time.
func Relay(dst, src *Conn, onLine func(line []byte)) error {
	turn := newRelayTurn(dst, src)
	var checkedAt time.Time // when src was last found not to have been reset
	for {
		if src.dropsUnreadOnReset && src.isBufferFull && turn.endedAt.Sub(checkedAt) >= resetCheckInterval {
			if src.IsReset() {
				return &SideError{Err: syscall.ECONNRESET}
			}
			checkedAt = turn.endedAt
		}
		beganAt := turn.begin()
		err := src.relayUnread(dst, onLine)
		turn.end(beganAt)
		if err != nil {
			return err
		}
		if src.stopRequested.Load() && !src.isMidLine {
			return ErrStopped
		}
		if src.parkRequested.CompareAndSwap(true, false) {
			return ErrParked
		}
		if err := src.fill(); err != nil {
			return src.onReadError(dst, err)
		}
	}
}

// relayUnread writes the bytes in the buffer that have not been relayed yet.
func (c *Conn) relayUnread(dst *Conn, onLine func(line []byte)) error {
	unsent := c.unread()[c.relayed:]
	for {
		i := bytes.IndexByte(c.unread()[c.relayed:], '\n')
		if i < 0 {
			break
		}
		end := c.relayed + i + 1
		onLine(bytes.TrimRight(c.unread()[:end], "\r\n"))
		c.unreadFrom += end
		c.relayed = 0
		c.isMidLine = false
	}
	if len(unsent) > 0 {
		if _, err := dst.Write(unsent); err != nil {
			return &SideError{IsWriteSide: true, Err: err}
		}
	}
	c.relayed = len(c.unread())
	if c.relayed > 0 {
		c.isMidLine = true
	}
	if c.relayed >= maxLineBytes { // relayed without a call of onLine, to keep the buffer from growing
		c.unreadFrom = c.unreadTo
		c.relayed = 0
	}
	return nil
}

// onReadError returns the error with which a relay ends after a failed read. A relay that was stopped within a line
// relays the rest of the line first.
func (c *Conn) onReadError(dst *Conn, err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case isTimeout(err) && c.stopRequested.CompareAndSwap(true, false):
		if !c.isMidLine {
			return ErrStopped
		}
		c.SetReadDeadline(time.Now().Add(lineEndTimeout))
		defer c.stopRequested.Store(false)
		if err := c.relayRestOfLine(dst); err != nil {
			return err
		}
		return ErrStopped
	case isTimeout(err) && c.parkRequested.CompareAndSwap(true, false):
		return ErrParked
	default:
		return &SideError{Err: err}
	}
}

// relayRestOfLine relays the rest of the current line, and nothing after it.
func (c *Conn) relayRestOfLine(dst *Conn) error {
	for {
		unsent := c.unread()[c.relayed:]
		end := bytes.IndexByte(unsent, '\n')
		if end >= 0 {
			unsent = unsent[:end+1]
		}
		if len(unsent) > 0 {
			if _, err := dst.Write(unsent); err != nil {
				return &SideError{IsWriteSide: true, Err: err}
			}
		}
		c.unreadFrom += c.relayed + len(unsent)
		c.relayed = 0
		if end >= 0 {
			c.isMidLine = false
			return nil
		}
		if c.fill() == nil {
			continue
		}
		if !c.parkRequested.CompareAndSwap(true, false) {
			return ErrMidLine
		}
		// The client is about to migrate, so an interruption by Park is ignored.
		c.SetReadDeadline(time.Now().Add(lineEndTimeout))
	}
}
