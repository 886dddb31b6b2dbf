package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// unavailableListener is a listener whose accepts fail with ENFILE until isAccepting is set. It counts the failed
// accepts.
type unavailableListener struct {
	*PausableListener
	isAccepting   atomic.Bool
	failedAccepts atomic.Int64
}

func (u *unavailableListener) Accept() (net.Conn, error) {
	if !u.isAccepting.Load() {
		u.failedAccepts.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENFILE)}
	}
	return u.PausableListener.Accept()
}

// Accepts fail while Serve finishes, for longer than queueCheckTimeout. The clients in the queue have established their
// connections, so each must be answered once accepts succeed again. Until then Serve must wait between accepts.
func TestAcceptErrorsWhileFinishing(t *testing.T) {
	const clients, outage = 20, 400 * time.Millisecond
	inner := listen(t)
	l := &unavailableListener{PausableListener: NewPausableListener(inner)}
	peers := dialAndSend(t, inner, clients)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, NewDescriptorBudget(100, ""), echoLine) }()
	cancel()
	time.Sleep(outage)
	if n := l.failedAccepts.Load(); n > int64(outage/time.Millisecond) {
		t.Errorf("%d accepts failed in %v, so Serve does not wait between them", n, outage)
	}
	l.isAccepting.Store(true)
	wantEchoes(t, peers)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Clients keep connecting while Serve finishes and the listener closes. Each client whose connection was established is
// answered; the others are refused, or time out while connecting.
func TestNoResetAsListenerCloses(t *testing.T) {
	const rounds = 12
	for range rounds {
		connectWhileListenerCloses(t)
	}
}

func connectWhileListenerCloses(t *testing.T) {
	const clients = 8
	l, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	stop := serveInBackground(t, l, NewDescriptorBudget(10_000, ""), func(_ context.Context, c *Conn) { echoLine(c) })
	var all sync.WaitGroup
	var served atomic.Int64
	dialer := net.Dialer{Timeout: 300 * time.Millisecond}
	for range clients {
		all.Go(func() {
			for {
				c, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
				if err != nil {
					return // refused or timed out: never accepted
				}
				_ = c.SetDeadline(time.Now().Add(hangTimeout))
				_, writeErr := io.WriteString(c, "OPEN\n")
				got, err := io.ReadAll(c)
				closeQuietly(c)
				if err = errors.Join(writeErr, err); err != nil || string(got) != "OPEN\n" {
					t.Errorf("a client with an established connection received %q, %v", got, err)
					return
				}
				served.Add(1)
			}
		})
	}
	for served.Load() < clients {
		time.Sleep(time.Millisecond)
	}
	stop()
	all.Wait()
}

// failingListener is a listener whose first accepts fail with the given errors.
type failingListener struct {
	*PausableListener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, err
	}
	return f.PausableListener.Accept()
}

// Connections that are in the kernel's queue or wait for a descriptor when Serve finishes have been established by this
// machine: each client is served, and none is reset.
func TestQueueIsServedAtFinish(t *testing.T) {
	for _, c := range []struct {
		name        string
		descriptors int
	}{{"in the queue", 100}, {"in the queue behind one that waits for a descriptor", 0}} {
		t.Run(c.name, func(t *testing.T) {
			inner := listen(t)
			peers := dialAndSend(t, inner, 20)
			ctx, cancel := context.WithCancel(t.Context())
			cancel() // before the first is accepted
			l := NewPausableListener(inner)
			l.Finish()
			if err := Serve(ctx, l, NewDescriptorBudget(c.descriptors, ""), echoLine); err != nil {
				t.Errorf("Serve returned %v", err)
			}
			wantEchoes(t, peers)
		})
	}
}

// A paused listener leaves its queue to another process.
func TestPausedListenerLeavesItsQueue(t *testing.T) {
	inner := listen(t)
	file, err := inner.File()
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(other)
	closeQuietly(file)
	dialPeer(t, inner)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l := NewPausableListener(inner)
	l.Pause()
	if err := Serve(ctx, l, NewDescriptorBudget(9, ""), func(*Conn) { t.Error("a connection was accepted") }); err != nil {
		t.Errorf("Serve returned %v", err)
	}
	_ = other.(*net.TCPListener).SetDeadline(time.Now().Add(hangTimeout))
	c, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeQuietly(c)
}
