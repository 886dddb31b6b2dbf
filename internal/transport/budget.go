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
	// clientReserve descriptors are kept from servers' connections, so that clients that come when the budget is
	// spent can still be told to retry; a quarter of a small budget.
	clientReserve = 24
	// minIdleTime is how long a connection is idle at least before it is closed for a new one: its line may have
	// come, and this process may not have had the processor to read it.
	minIdleTime = 100 * time.Millisecond
	// closingReplyTimeout bounds the one attempt to tell a connection that it is closed.
	closingReplyTimeout = time.Millisecond
	// maxDiscardReads bounds the reads of what is unread, against a client that keeps sending.
	maxDiscardReads = 16
	// noDescriptorWait is until the budget is checked again where nothing is free or idle; a release ends it.
	noDescriptorWait = time.Hour
	// descriptorsPerPair is a client's connection and its server's.
	descriptorsPerPair = 2
)

// DescriptorBudget counts the file descriptors that connections may use, and knows which connections are idle:
// those that have asked for nothing yet, and those that have had their last line. When the budget is spent the
// longest idle one is closed first, so that a crowd that sends nothing neither stops the accepts nor takes the
// place of other clients.
type DescriptorBudget struct {
	closingReply       string
	reservedForClients int
	freed              chan struct{} // signalled when a descriptor may have become free

	mu         sync.Mutex // guards the fields below
	free       int
	lent       int       // used by another process
	unfinished int       // connections that have not had their last line
	idle       list.List // of *Conn, the longest idle first
}

// NewDescriptorBudget makes a budget of n descriptors. closingReply is what a connection is sent that is closed to free
// its descriptor.
func NewDescriptorBudget(n int, closingReply string) *DescriptorBudget {
	return &DescriptorBudget{
		closingReply:       closingReply,
		reservedForClients: min(clientReserve, n/4),
		freed:              make(chan struct{}, 1),
		free:               n,
	}
}

// Free is how many descriptors are free.
func (b *DescriptorBudget) Free() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// SetLent sets how many descriptors of the budget another process of this balancer uses.
func (b *DescriptorBudget) SetLent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free -= n - b.lent
	b.lent = n
	b.signalFreed()
}

// MaxInUse is how many descriptors, of the budget's size, may come to be in use if no client is admitted any more: a
// client whose line is still to come has one, and needs another for its server.
func (b *DescriptorBudget) MaxInUse(size int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return size - b.free - b.lent + b.idle.Len()
}

// Unfinished is how many connections have not had their last line.
func (b *DescriptorBudget) Unfinished() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfinished
}

// signalFreed wakes admit.
func (b *DescriptorBudget) signalFreed() {
	select {
	case b.freed <- struct{}{}:
	default: // a signal is waiting already
	}
}

// admit counts a connection that was accepted, and waits until there is a descriptor for it. If the accepting ends
// first the connection is counted nowhere, and gets the answer of all that come at the end.
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

// tryAdmit counts a connection; wait is 0 then. Else it returns when to try again.
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

// ensureFree makes sure that a descriptor is free, which the caller then takes, while more than the reserve are free or
// idle. wait is 0 where one is free; else none is yet, and it says when to try again. The longest idle connection may
// have to go for it: the caller closes it, once the mutex is free. The mutex is held.
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

// markUnfinished and markFinished keep which connections have not had their last line; the mutex is held.
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

// addIdle puts a connection behind all others that are idle; the mutex is held.
func (c *Conn) addIdle() {
	if c.descriptors > 0 && c.idleElement == nil {
		c.idleSince = time.Now()
		c.idleElement = c.budget.idle.PushBack(c)
	}
}

// removeIdle reports whether a connection was idle; the mutex is held.
func (c *Conn) removeIdle() (wasIdle bool) {
	if c.idleElement == nil {
		return false
	}
	c.budget.idle.Remove(c.idleElement)
	c.idleElement = nil
	return true
}

// releaseAll gives back all that a connection holds; the mutex is held.
func (c *Conn) releaseAll() {
	c.removeIdle()
	c.budget.free += c.descriptors
	c.descriptors = 0
	c.markFinished()
	c.budget.signalFreed()
}

// closeWithReply closes a connection to free its descriptor. The reply is tried once: a client that does not take
// it gets none. What is unread is read first, as a close over it would be a reset, which overtakes the reply.
func (c *Conn) closeWithReply(reply string) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(closingReplyTimeout)) // fails on a closed connection only
	_, _ = c.raw.Write([]byte(reply))
	c.discardUnread()
	c.Close()
}

// discardUnread reads what has come by now, without waiting.
func (c *Conn) discardUnread() {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // it is closed
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

// MarkActive says that a client has asked for something: its connection is no longer idle. It reports false where the
// connection was closed to free its descriptor.
func (c *Conn) MarkActive() bool {
	if c.budget == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.removeIdle()
}

// AcquireServerSlot counts a descriptor for the server's connection of a client's. It reports false where all are
// in use.
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

// ReleaseServerSlot gives the server's descriptor back, if there is one.
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

// markIdle says that a connection has had its last line, and may be closed to free its descriptor.
func (c *Conn) markIdle() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.markFinished()
	c.addIdle()
}

// adopt counts the pair of connections of a client that another process served; they exist, whether or not the
// budget is spent.
func (b *DescriptorBudget) adopt(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free -= descriptorsPerPair
	c.descriptors = descriptorsPerPair
	c.markUnfinished()
}
