package transport

import (
	"container/list"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// clientReserve is the number of descriptors that connections to servers may not use, so that new clients can still
	// be told to retry when the rest of the budget is in use. In a small budget it is a quarter of the budget.
	clientReserve = 24
	// minIdleTime is how long a connection must have been idle before it is closed in favour of a new one: its line may
	// have arrived already, but this process may not have been scheduled to read it.
	minIdleTime = 100 * time.Millisecond
	// closingReplyTimeout limits the single attempt to send the closing reply.
	closingReplyTimeout = time.Millisecond
	// maxDiscardReads limits the reads of unread input, in case a client keeps sending.
	maxDiscardReads = 16
	// noDescriptorWait is the wait before the budget is checked again when no descriptor is free and no connection is
	// idle; releaseAll and SetLent end it early.
	noDescriptorWait = time.Hour
	// descriptorsPerPair counts a client's connection and the one to its server.
	descriptorsPerPair = 2
)

// DescriptorBudget limits the file descriptors that connections use, and tracks which connections are idle: those that
// have not sent a request yet, and those that have been sent their last line. When the budget is exhausted, the
// connection that has been idle longest is closed, so that many clients that send nothing neither block accepts nor
// displace other clients.
type DescriptorBudget struct {
	closingReply       string
	reservedForClients int
	freed              chan struct{} // signalled when a descriptor may have been freed

	mu         sync.Mutex // guards the fields below
	free       int
	lent       int       // used by another process
	unfinished int       // connections that have not been sent their last line
	idle       list.List // of *Conn, longest idle first
}

// NewDescriptorBudget returns a budget of n descriptors. closingReply is sent on a connection that is closed to free
// its descriptor.
func NewDescriptorBudget(n int, closingReply string) *DescriptorBudget {
	return &DescriptorBudget{
		closingReply:       closingReply,
		reservedForClients: min(clientReserve, n/4),
		freed:              make(chan struct{}, 1),
		free:               n,
	}
}

// Free returns the number of free descriptors.
func (b *DescriptorBudget) Free() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// SetLent sets the number of descriptors of the budget that another process of this balancer uses.
func (b *DescriptorBudget) SetLent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free -= n - b.lent
	b.lent = n
	b.signalFreed()
}

// MaxInUse returns how many descriptors this process can come to use if it admits no further client, given the budget's
// size: those in use now, and one more for each idle connection, as its client may still need one for a server.
func (b *DescriptorBudget) MaxInUse(size int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return size - b.free - b.lent + b.idle.Len()
}

// Unfinished returns the number of connections that have not been sent their last line.
func (b *DescriptorBudget) Unfinished() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfinished
}

// signalFreed wakes admit.
func (b *DescriptorBudget) signalFreed() {
	select {
	case b.freed <- struct{}{}:
	default: // a signal is pending already
	}
}

// admit waits until a descriptor is free for an accepted connection, and counts it. If the context ends first, the
// connection is not counted in the budget; it is served all the same, as every connection in the queue must be answered
// before Serve returns.
func (b *DescriptorBudget) admit(ctx context.Context, raw net.Conn) *Conn {
	c := &Conn{raw: raw, budget: b}
	for {
		wait := b.tryAdmit(c)
		if wait == 0 {
			return c
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-b.freed:
		case <-ctx.Done():
			timer.Stop()
			return NewConn(raw)
		}
		timer.Stop()
	}
}

// tryAdmit counts a connection and returns 0, or returns how long to wait before the next try.
func (b *DescriptorBudget) tryAdmit(c *Conn) (wait time.Duration) {
	b.mu.Lock()
	wait, evicted := b.ensureFree(0, minIdleTime)
	if wait == 0 {
		b.free--
		c.descriptors = 1
		c.markUnfinished()
		c.addIdle()
	}
	b.mu.Unlock()
	if evicted != nil {
		evicted.closeWithReply(b.closingReply)
	}
	return wait
}

// ensureFree ensures that a descriptor is free for the caller, provided that the free descriptors and idle connections
// exceed the reserve. If wait is 0 a descriptor is free; otherwise the caller may try again after wait. To free a
// descriptor, the longest idle connection may be evicted: the caller must close it after unlocking the mutex. The mutex
// must be held.
func (b *DescriptorBudget) ensureFree(reserve int, minIdle time.Duration) (wait time.Duration, evicted *Conn) {
	if b.free+b.idle.Len() <= reserve {
		return noDescriptorWait, nil
	}
	if b.free > 0 {
		return 0, nil
	}
	longestIdle := b.idle.Front().Value.(*Conn)
	if age := time.Since(longestIdle.idleSince); age < minIdle {
		return minIdle - age, nil
	}
	longestIdle.releaseAll()
	return 0, longestIdle
}

// markUnfinished and markFinished record whether a connection has been sent its last line; the mutex must be held.
func (c *Conn) markUnfinished() {
	c.isUnfinished = true
	c.budget.unfinished++
}

func (c *Conn) markFinished() {
	if c.isUnfinished {
		c.isUnfinished = false
		c.budget.unfinished--
	}
}

// addIdle appends a connection to the list of idle ones; the mutex must be held.
func (c *Conn) addIdle() {
	if c.descriptors > 0 && c.idleElement == nil {
		c.idleSince = time.Now()
		c.idleElement = c.budget.idle.PushBack(c)
	}
}

// removeIdle removes a connection from the list of idle ones and reports whether it was there; the mutex must be held.
func (c *Conn) removeIdle() (wasIdle bool) {
	if c.idleElement == nil {
		return false
	}
	c.budget.idle.Remove(c.idleElement)
	c.idleElement = nil
	return true
}

// releaseAll releases all descriptors of a connection; the mutex must be held.
func (c *Conn) releaseAll() {
	c.removeIdle()
	c.budget.free += c.descriptors
	c.descriptors = 0
	c.markFinished()
	c.budget.signalFreed()
}

// closeWithReply closes a connection to free its descriptor. The reply is sent with a single write, which may fail.
// Unread input is discarded first, as closing with unread input would reset the connection and could discard the reply.
func (c *Conn) closeWithReply(reply string) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(closingReplyTimeout)) // fails on a closed connection only
	_, _ = c.raw.Write([]byte(reply))
	c.discardUnread()
	c.Close()
}

// discardUnread discards the input that has arrived, without blocking.
func (c *Conn) discardUnread() {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	// Control fails on a closed connection only.
	_ = raw.Control(func(fd uintptr) {
		var unread [maxLineBytes]byte
		for range maxDiscardReads {
			if n, _, err := unix.Recvfrom(int(fd), unread[:], unix.MSG_DONTWAIT); n <= 0 || err != nil {
				return
			}
		}
	})
}

// MarkActive records that a client has sent a request, so that its connection is no longer idle. It reports false if
// the connection was closed to free its descriptor.
func (c *Conn) MarkActive() bool {
	if c.budget == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.removeIdle()
}

// AcquireServerSlot counts a descriptor for a client's connection to its server. It reports false if none is available.
func (c *Conn) AcquireServerSlot() bool {
	if c.budget == nil {
		return true
	}
	c.budget.mu.Lock()
	wait, evicted := c.budget.ensureFree(c.budget.reservedForClients, 0)
	if wait == 0 {
		c.budget.free--
		c.descriptors++
	}
	c.budget.mu.Unlock()
	if evicted != nil {
		evicted.closeWithReply(c.budget.closingReply)
	}
	return wait == 0
}

// ReleaseServerSlot releases the descriptor for the server, if there is one.
func (c *Conn) ReleaseServerSlot() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.descriptors > 1 {
		c.descriptors--
		c.budget.free++
	}
}

// markFinishedAndIdle records that a connection has been sent its last line and may be closed to free its descriptor.
func (c *Conn) markFinishedAndIdle() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.markFinished()
	c.addIdle()
}

// adopt counts a client's connection and the one to its server, taken over from another process. They exist already, so
// they are counted even if the budget is exhausted.
func (b *DescriptorBudget) adopt(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free -= descriptorsPerPair
	c.descriptors = descriptorsPerPair
	c.markUnfinished()
}
