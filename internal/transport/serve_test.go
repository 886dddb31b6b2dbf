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

// refusingListener is a listener whose accepts the system refuses until it is told otherwise. It counts the attempts.
type refusingListener struct {
	*PausableListener
	isAccepting atomic.Bool
	attempts    atomic.Int64
}

func (r *refusingListener) Accept() (net.Conn, error) {
	if !r.isAccepting.Load() {
		r.attempts.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENFILE)}
	}
	return r.PausableListener.Accept()
}

// The system refuses accepts as the accepting ends, and for longer than the queue is checked: the clients in the
// queue were accepted by this machine, and each is answered once it can be accepted. Meanwhile the loop waits
// between two attempts.
func TestAcceptErrorsWhileFinishing(t *testing.T) {
	const clients, outage = 20, 400 * time.Millisecond
	inner := listen(t)
	l := &refusingListener{PausableListener: NewPausableListener(inner)}
	peers := dialAndSend(t, inner, clients)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, NewDescriptorBudget(100, ""), echoLine) }()
	cancel()
	time.Sleep(outage)
	if n := l.attempts.Load(); n > int64(outage/time.Millisecond) {
		t.Errorf("%d attempts in %v", n, outage)
	}
	l.isAccepting.Store(true)
	wantEchoes(t, peers)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Clients go on coming while the accepting ends and the listener closes: each whose connection came up is
// answered, and all others are refused, or get no answer before their connection is up.
func TestNoResetAsListenerCloses(t *testing.T) {
	const rounds = 12
	for range rounds {
		clientsWhileListenerCloses(t)
	}
}

func clientsWhileListenerCloses(t *testing.T) {
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
					return // refused or not answered: never accepted
				}
				_ = c.SetDeadline(time.Now().Add(hangTimeout))
				_, writeErr := io.WriteString(c, "OPEN\n")
				got, err := io.ReadAll(c)
				discard(c)
				if err = errors.Join(writeErr, err); err != nil || string(got) != "OPEN\n" {
					t.Errorf("a client whose connection is up got %q, %v", got, err)
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

// failingListener fails in the ways a full machine does.
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

// What is in the kernel's queue when the accepting ends, or waits for a descriptor, was accepted by this machine: each
// client is served, and none reset.
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
				t.Errorf("serving ended with %v", err)
			}
			wantEchoes(t, peers)
		})
	}
}

// A listener that is paused leaves its queue to another process.
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
	defer discard(other)
	discard(file)
	dialPeer(t, inner)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l := NewPausableListener(inner)
	l.Pause()
	if err := Serve(ctx, l, NewDescriptorBudget(9, ""), func(*Conn) { t.Error("it was accepted") }); err != nil {
		t.Errorf("serving ended with %v", err)
	}
	_ = other.(*net.TCPListener).SetDeadline(time.Now().Add(hangTimeout))
	c, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	discard(c)
}
