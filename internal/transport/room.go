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
	// Kept from servers' connections, so that clients who come then can still be told to come again; a quarter of a small room.
	forClients = 24
	// Before that a connection is not closed to make room for a newcomer: its line may have come, and our share of
	// the core be used up for now.
	fairTime  = 100 * time.Millisecond
	partWrite = time.Millisecond

	mostDiscarded = 16 // reads of what came unread: against one that goes on sending
)

// DescriptorBudget counts the file descriptors that connections may use, and knows which of them hold one for nothing: those that
// have asked for nothing yet, and those that have their last word. Short of room the longest of these goes first; a
// crowd that says nothing must neither stop the accepts nor take the place of usual clients.
type DescriptorBudget struct {
	parting string
	kept    int // from servers' connections

	mu    sync.Mutex
	left  int
	lent  int       // to another process
	owed  int       // connections that have not had their last word
	idle  list.List // of *Conn, the longest first
	freed chan struct{}
}

// NewDescriptorBudget is room for n descriptors; parting is what a connection is sent that must go.
func NewDescriptorBudget(n int, parting string) *DescriptorBudget {
	return &DescriptorBudget{parting: parting, kept: min(forClients, n/4), left: n, freed: make(chan struct{}, 1)}
}

// Free is how many descriptors are free.
func (r *DescriptorBudget) Free() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

// SetLent sets how many descriptors another process of this balancer uses of what there is.
func (r *DescriptorBudget) SetLent(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left -= n - r.lent
	r.lent = n
	select {
	case r.freed <- struct{}{}:
	default:
	}
}

// MaxInUse is how many descriptors may come to be in use where nobody is admitted any more: a client whose line is still to
// come has one, and needs another for its server.
func (r *DescriptorBudget) MaxInUse(all int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return all - r.left - r.lent + r.idle.Len()
}

// Unanswered is how many connections have not had their last word.
func (r *DescriptorBudget) Unanswered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owed
}

// owe and paid keep which connections are owed a last word; the mutex is held.
func (c *Conn) owe() {
	c.owed = true
	c.room.owed++
}

func (c *Conn) paid() {
	if c.owed {
		c.owed = false
		c.room.owed--
	}
}

// admit counts a connection that was accepted, and waits until there is room for it, or the accepting ends: then it is counted nowhere,
// and has the answer of all that come at the end.
func (r *DescriptorBudget) admit(ctx context.Context, raw net.Conn) *Conn {
	c := &Conn{raw: raw, room: r}
	for {
		r.mu.Lock()
		wait, out := r.makeRoom(0, fairTime)
		if wait == 0 {
			r.left--
			c.held = 1
			c.owe()
			c.idle()
		}
		r.mu.Unlock()
		if out != nil {
			out.part(r.parting)
		}
		if wait == 0 {
			return c
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-r.freed:
		case <-ctx.Done():
			t.Stop()
			return NewConn(raw)
		}
		t.Stop()
	}
}

// makeRoom sees to a free descriptor where more than kept are free or held for nothing. An idle connection that must go
// for it is given back to be ended by the caller, outside the mutex; wait tells when to try again where none has been
// idle for as long as is fair.
func (r *DescriptorBudget) makeRoom(kept int, fair time.Duration) (wait time.Duration, out *Conn) {
	if r.left+r.idle.Len() <= kept {
		return time.Hour, nil
	}
	if r.left > 0 {
		return 0, nil
	}
	out = r.idle.Front().Value.(*Conn)
	if age := time.Since(out.since); age < fair {
		return fair - age, nil
	}
	out.release()
	return 0, out
}

// idle puts a connection behind all others that hold their descriptors for nothing.
func (c *Conn) idle() {
	if c.held > 0 && c.spot == nil {
		c.since, c.spot = time.Now(), c.room.idle.PushBack(c)
	}
}

// release gives back all that a connection holds.
func (c *Conn) release() {
	if c.spot != nil {
		c.room.idle.Remove(c.spot)
		c.spot = nil
	}
	c.room.left += c.held
	c.held = 0
	c.paid()
	select {
	case c.room.freed <- struct{}{}:
	default:
	}
}

// part ends a connection that must make room. Its last word is tried for once: whoever takes nothing gets none. What came unread is taken first,
// as a close over it would be a reset that overtakes the word.
func (c *Conn) part(word string) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(partWrite))
	_, _ = c.raw.Write([]byte(word))
	c.discard()
	c.Close()
}

// discard takes what has come by now, and waits for nothing.
func (c *Conn) discard() {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return // it is closed
	}
	_ = raw.Control(func(fd uintptr) {
		var unread [longestLine]byte
		for range mostDiscarded {
			if n, _, err := unix.Recvfrom(int(fd), unread[:], unix.MSG_DONTWAIT); n <= 0 || err != nil {
				return
			}
		}
	})
}

// MarkActive says that a connection asks for something: it is no longer closed to make room. False where it was already.
func (c *Conn) MarkActive() bool {
	if c.room == nil {
		return true
	}
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	if c.spot == nil {
		return false
	}
	c.room.idle.Remove(c.spot)
	c.spot = nil
	return true
}

// AcquireServerSlot counts a descriptor for the server's connection of this client's. False where all are in use.
func (c *Conn) AcquireServerSlot() bool {
	if c.room == nil {
		return true
	}
	c.room.mu.Lock()
	wait, out := c.room.makeRoom(c.room.kept, 0)
	if wait == 0 {
		c.room.left--
		c.held++
	}
	c.room.mu.Unlock()
	if out != nil {
		out.part(c.room.parting)
	}
	return wait == 0
}

// ReleaseServerSlot gives it back.
func (c *Conn) ReleaseServerSlot() {
	if c.room == nil {
		return
	}
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	if c.held > 1 {
		c.held--
		c.room.left++
	}
}

// spare says that a connection has its last word, and may be closed to make room.
func (c *Conn) spare() {
	if c.room != nil {
		c.room.mu.Lock()
		defer c.room.mu.Unlock()
		c.paid()
		c.idle()
	}
}
