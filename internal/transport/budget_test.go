package transport

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// The accept loop outlives a lack of descriptors. Hundreds of clients that send nothing, or have had their last
// line, stop neither the accepts nor the flows: the longest idle connection is closed first, with a reply. What is
// in use stays, whatever comes.
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
	_, late := connect() // the budget is spent: the longest idle goes, once its line had the time to be read
	wantReplyAndEnd(t, idle[0], reply)
	if took := time.Since(start); took > 5*minIdleTime {
		t.Errorf("accepted after %v", took)
	}
	if !late.MarkActive() || !late.AcquireServerSlot() {
		t.Error("idle connections kept a flow from a descriptor")
	}
	wantReplyAndEnd(t, idle[1], reply)
	const flows = (descriptors - clientReserve) / 2 // until the servers' part is spent
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
		t.Error("what ended still counts, or what is in use was given up")
	}
	budget.mu.Unlock()
	stop()
}

func wantReplyAndEnd(t *testing.T, peer net.Conn, reply string) {
	t.Helper()
	if got, err := io.ReadAll(peer); err != nil || string(got) != reply {
		t.Errorf("a connection closed to free its descriptor got %q, %v", got, err)
	}
}

// A connection that is closed to free its descriptor gets the reply also where its line has come and was not read
// yet: a close over unread bytes would be a reset, which overtakes the reply.
func TestClosedForBudgetWithUnreadLine(t *testing.T) {
	const reply = "BUSY\r\n"
	inner := listen(t)
	accepted := make(chan struct{}, 2)
	stop := serveInBackground(t, NewPausableListener(inner), NewDescriptorBudget(1, reply), func(ctx context.Context, c *Conn) {
		accepted <- struct{}{}
		<-ctx.Done() // as a process that has no processor to read with
		c.Close()
	})
	first := dialPeer(t, inner)
	<-accepted
	if _, err := io.WriteString(first, "OPEN 1 2 c=live,d=800\r\n"); err != nil {
		t.Fatal(err)
	}
	dialPeer(t, inner)
	<-accepted // there is a descriptor: the first connection was closed
	wantReplyAndEnd(t, first, reply)
	stop()
}
