package transport

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// The accept loop survives a lack of descriptors. Clients that send nothing, or have been sent their last line, block
// neither accepts nor flows: the connection that has been idle longest is closed first, with a reply. Connections in
// use are never closed.
func TestDescriptorBudget(t *testing.T) {
	const descriptors, reply = 4 * clientReserve, "GO\n"
	inner := listen(t)
	l := &failingListener{NewPausableListener(inner), []error{syscall.EMFILE, syscall.ECONNABORTED}}
	budget := NewDescriptorBudget(descriptors, reply)
	accepted := make(chan *Conn, 1)
	stop := serveInBackground(t, l, budget, func(ctx context.Context, c *Conn) {
		accepted <- c
		<-ctx.Done()
		c.Close()
	})
	connect := func() (net.Conn, *Conn) {
		t.Helper()
		peer := dialPeer(t, inner)
		return peer, <-accepted
	}
	_, first := connect()
	if !first.MarkActive() || !first.AcquireServerSlot() {
		t.Fatal("no descriptors for the first flow")
	}
	var idle []net.Conn
	for range descriptors - 2 {
		peer, _ := connect()
		idle = append(idle, peer)
	}
	start := time.Now()
	_, late := connect() // the budget is exhausted: the longest idle connection is closed, after minIdleTime
	wantReplyAndEOF(t, idle[0], reply)
	if took := time.Since(start); took > 5*minIdleTime {
		t.Errorf("accepted after %v", took)
	}
	if !late.MarkActive() || !late.AcquireServerSlot() {
		t.Error("idle connections kept a flow from getting a descriptor")
	}
	wantReplyAndEOF(t, idle[1], reply)
	const flows = (descriptors - clientReserve) / 2 // until those that connections to servers may use are taken
	for n := 3; n <= flows+1; n++ {
		_, c := connect()
		if got := c.MarkActive() && c.AcquireServerSlot(); got != (n <= flows) {
			t.Errorf("flow %d has descriptors: %v", n, got)
		}
	}
	late.ReleaseServerSlot()
	late.CloseGracefully()
	budget.mu.Lock()
	if late.descriptors != 0 || late.idleElement != nil || first.idleElement != nil || first.descriptors != 2 {
		t.Error("an ended connection is still counted, or one in use was released")
	}
	budget.mu.Unlock()
	stop()
}

func wantReplyAndEOF(t *testing.T, peer net.Conn, reply string) {
	t.Helper()
	if got, err := io.ReadAll(peer); err != nil || string(got) != reply {
		t.Errorf("a connection closed to free its descriptor received %q, %v", got, err)
	}
}

// A connection that is closed to free its descriptor gets the reply even if its line has arrived and is unread: a close
// with unread input would send a reset, which can overtake the reply.
func TestClosedForBudgetWithUnreadLine(t *testing.T) {
	const reply = "BUSY\r\n"
	inner := listen(t)
	accepted := make(chan struct{}, 2)
	stop := serveInBackground(t, NewPausableListener(inner), NewDescriptorBudget(1, reply), func(ctx context.Context, c *Conn) {
		accepted <- struct{}{}
		<-ctx.Done() // like a process that is not scheduled to read
		c.Close()
	})
	first := dialPeer(t, inner)
	<-accepted
	if _, err := io.WriteString(first, "OPEN 1 2 c=live,d=800\r\n"); err != nil {
		t.Fatal(err)
	}
	dialPeer(t, inner)
	<-accepted // a descriptor is free: the first connection was closed
	wantReplyAndEOF(t, first, reply)
	stop()
}
