package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// What stands in the kernel's queue when the accepting ends was accepted by this machine, and its line may have come: it is served, or
// answered by whoever serves. The queue is empty once nothing comes for the first of these; those that go on coming are refused after the other.
const lastLook, lastLooks = 10 * time.Millisecond, 200 * time.Millisecond

const (
	acceptRetry = 10 * time.Millisecond // the system has nothing left for a connection, or its client is gone again
	// The looks at the queue go on while the system refuses accepts, for this long at the most.
	lastRefusals = 2 * time.Second
)

// Serve accepts until the context ends and the queue is empty, each connection in a goroutine of its own, and returns when all of those
// have. While there is no room at all the kernel keeps what comes.
func Serve(ctx context.Context, l FinishingListener, r *DescriptorBudget, serve func(*Conn)) error {
	var all sync.WaitGroup
	defer all.Wait()
	defer func() { _ = l.Close() }()
	defer context.AfterFunc(ctx, l.Finish)()
	var refusedSince time.Time // at the end; zero: not
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			refusedSince = time.Time{}
		case errors.Is(err, errEnded):
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		default: // the loop must outlive it, and so must what is in the queue
			time.Sleep(acceptRetry)
			if ctx.Err() == nil {
				continue
			}
			if refusedSince.IsZero() {
				refusedSince = time.Now()
			}
			if time.Since(refusedSince) < lastRefusals {
				l.Finish()
			}
			continue
		}
		c := r.admit(ctx, raw)
		all.Go(func() { serve(c) })
	}
}

// FinishingListener is a listener that can be told that no more is to be accepted than what is there. Told again it looks for it again.
type FinishingListener interface {
	net.Listener
	Finish()
}

var errEnded = errors.New("no more is accepted")

// PausableListener is a listener that can be shut for a while: what comes waits in the system's queue, which another process may
// share.
type PausableListener struct {
	*net.TCPListener
	mu     sync.Mutex
	open   chan struct{} // closed while it is open
	ending chan struct{} // closed once it ends
	last   time.Time     // when the queue counts as empty in any case
	once   sync.Once
}

// NewPausableListener is open.
func NewPausableListener(l *net.TCPListener) *PausableListener {
	g := &PausableListener{TCPListener: l, open: make(chan struct{}), ending: make(chan struct{})}
	close(g.open)
	return g
}

// ListenShared listens on an address that another process of this user's may listen on as well.
func ListenShared(addr string, shared bool) (*PausableListener, error) {
	c := net.ListenConfig{KeepAlive: -1} // as in Dial: of tens of thousands that are idle, each would be probed four times a minute
	if shared {
		c.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			return errors.Join(raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}), err)
		}
	}
	c.SetMultipathTCP(false) // clients come by plain TCP, and the system can't be told to take no new ones on the other kind
	l, err := c.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return NewPausableListener(l.(*net.TCPListener)), nil
}

// Pause has nothing accepted any more, Open has it accepted again.
func (g *PausableListener) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
	_ = g.SetDeadline(time.Unix(1, 0)) // fails on a closed listener only
}

// Resume has connections accepted again.
func (g *PausableListener) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.SetDeadline(time.Time{})
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// Finish has what is in the queue accepted, and no more: from then on the system takes no new connection, which would be reset as the listener
// closes. A gate that is shut leaves all of it to the other process. Said again it has the queue looked at for as long again.
func (g *PausableListener) Finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = time.Now().Add(lastLooks)
	g.once.Do(func() {
		if over(g.open) {
			refuseNew(g.TCPListener)
		}
		close(g.ending)
		_ = g.SetDeadline(time.Now().Add(lastLook)) // for the accept that waits
	})
}

// Accept fails with errEnded once the gate has ended. Until then a deadline that passed is the work of Shut, or of Open since.
func (g *PausableListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		select {
		case <-open:
		case <-g.ending:
		}
		ended := over(g.ending)
		g.mu.Lock()
		last := g.last
		g.mu.Unlock()
		if next := time.Now().Add(lastLook); ended && (!over(open) || next.After(last)) {
			return nil, errEnded
		} else if ended {
			_ = g.SetDeadline(next) // fails on a closed listener only
		}
		c, err := g.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if ended {
			return nil, errEnded
		}
	}
}

func over(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
