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

// refusing is a listener whose accept the system refuses until it is told otherwise; it counts how often it is asked.
type refusing struct {
	*PausableListener
	over  atomic.Bool
	asked atomic.Int64
}

func (r *refusing) Accept() (net.Conn, error) {
	if !r.over.Load() {
		r.asked.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENFILE)}
	}
	return r.PausableListener.Accept()
}

// What answers a line with itself.
func echoLine(c *Conn) {
	line := make([]byte, 64)
	n, _ := c.Read(line)
	_, _ = c.Write(line[:n])
	c.CloseGracefully()
}

// The system refuses accepts as the accepting ends, and for a while longer than the last look at the queue takes: those in the queue were taken
// by this machine, and each is answered once it can be accepted. Meanwhile the loop waits between two attempts.
func TestAcceptFailsAtTheEnd(t *testing.T) {
	const clients, fails = 20, 400 * time.Millisecond
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &refusing{PausableListener: NewPausableListener(inner.(*net.TCPListener))}
	var fars []net.Conn
	for range clients {
		far, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		_ = far.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
		_, _ = io.WriteString(far, "OPEN\n")
		fars = append(fars, far)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, l, NewDescriptorBudget(100, ""), echoLine) }()
	cancel()
	time.Sleep(fails) // the term's own: a moment
	if n := l.asked.Load(); n > int64(fails/time.Millisecond) {
		t.Errorf("asked %d times in %v", n, fails)
	}
	l.over.Store(true)
	for i, far := range fars {
		if got, err := io.ReadAll(far); err != nil || string(got) != "OPEN\n" {
			t.Errorf("client %d of the queue hears %q, %v", i, got, err)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Clients go on coming while the accepting ends and the listener closes: each whose connection came up is answered, and all others are refused or
// not heard before their connection is up.
func TestNoneIsResetAsTheListenerCloses(t *testing.T) {
	const rounds, clients = 12, 8
	for range rounds {
		gate, err := ListenShared("127.0.0.1:0", false)
		if err != nil {
			t.Fatal(err)
		}
		addr := gate.Addr().String()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- Serve(ctx, gate, NewDescriptorBudget(10_000, ""), echoLine) }()
		var all sync.WaitGroup
		var served atomic.Int64
		for range clients {
			all.Go(func() {
				for {
					far, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
					if err != nil {
						return // refused, or not heard: never taken
					}
					_ = far.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
					_, errWrite := io.WriteString(far, "OPEN\n")
					got, err := io.ReadAll(far)
					_ = far.Close()
					if err = errors.Join(errWrite, err); err != nil || string(got) != "OPEN\n" {
						t.Errorf("a client whose connection is up hears %q, %v", got, err)
						return
					}
					served.Add(1)
				}
			})
		}
		for served.Load() < clients {
			time.Sleep(time.Millisecond)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		all.Wait()
	}
}

// Who must make room hears so, also where its line has come and was not read yet: a close over unread bytes would be a reset, which overtakes the
// word.
func TestPartedWithItsLineUnread(t *testing.T) {
	const word = "BUSY\r\n"
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	accepted := make(chan struct{}, 2)
	done := make(chan error, 1)
	go func() {
		done <- Serve(ctx, NewPausableListener(inner.(*net.TCPListener)), NewDescriptorBudget(1, word), func(c *Conn) {
			accepted <- struct{}{}
			<-ctx.Done() // the process has no core to read with
			c.Close()
		})
	}()
	dial := func() net.Conn {
		far, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = far.SetDeadline(time.Now().Add(10 * time.Second)) // a test that hangs is to fail
		return far
	}
	first := dial()
	defer first.Close()
	<-accepted
	if _, err := io.WriteString(first, "OPEN 1 2 c=live,d=800\r\n"); err != nil {
		t.Fatal(err)
	}
	second := dial()
	defer second.Close()
	<-accepted // there is room: the first was parted with
	if got, err := io.ReadAll(first); err != nil || string(got) != word {
		t.Errorf("who must make room hears %q, %v", got, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
