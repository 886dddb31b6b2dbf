package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Connections in the kernel's accept queue when a listener finishes have been established by this machine, and their
// first line may have arrived: they are served, or at least answered.
const (
	// queueCheckInterval is the time without a new connection after which the queue counts as empty.
	queueCheckInterval = 10 * time.Millisecond
	// queueCheckTimeout limits the accepts from the queue, in case new connections keep arriving.
	queueCheckTimeout = 200 * time.Millisecond
)

// FinishingListener is a listener that can be finished: it then accepts the connections in its queue only.
type FinishingListener interface {
	net.Listener
	// Finish makes the listener accept what is in its queue, and nothing more. A further call extends the time during
	// which the queue is checked.
	Finish()
}

// errFinished means that a finishing listener accepts no more connections.
var errFinished = errors.New("listener has finished")

// PausableListener is a listener that can be paused: new connections then wait in the kernel's accept queue, which
// another process may share.
type PausableListener struct {
	*net.TCPListener
	finishOnce sync.Once
	finishing  chan struct{} // closed by Finish

	mu            sync.Mutex    // guards the fields below
	resumed       chan struct{} // closed unless the listener is paused
	queueDeadline time.Time     // after Finish: when the queue counts as empty in any case
}

// NewPausableListener returns a listener that is not paused.
func NewPausableListener(l *net.TCPListener) *PausableListener {
	p := &PausableListener{TCPListener: l, resumed: make(chan struct{}), finishing: make(chan struct{})}
	close(p.resumed)
	return p
}

// Listen listens on an address. isShared says whether other processes of the same user may listen there as well.
func Listen(addr string, isShared bool) (*PausableListener, error) {
	// No keep-alive, as in Dial: it would probe each of tens of thousands of idle connections.
	config := net.ListenConfig{KeepAlive: -1}
	if isShared {
		config.Control = setReusePort
	}
	config.SetMultipathTCP(false) // clients use plain TCP, and the SYN filter of Finish works with plain TCP only
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err // contains the address
	}
	return NewPausableListener(l.(*net.TCPListener)), nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, optionErr)
}

// Pause stops accepting connections until Resume.
func (p *PausableListener) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.resumed) {
		p.resumed = make(chan struct{})
	}
	p.setAcceptDeadline(pastDeadline)
}

// Resume starts accepting connections again, also after another process that shares the socket has finished.
func (p *PausableListener) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	acceptNewConnections(p.TCPListener)
	p.setAcceptDeadline(time.Time{})
	if !isClosed(p.resumed) {
		close(p.resumed)
	}
}

// Finish makes the listener accept what is in its queue, and nothing more: the kernel establishes no new connections,
// as they would be reset when the listener closes. A paused listener leaves the whole queue to the other process. A
// further call extends the time during which the queue is checked.
func (p *PausableListener) Finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queueDeadline = time.Now().Add(queueCheckTimeout)
	p.finishOnce.Do(func() {
		if isClosed(p.resumed) {
			dropNewConnections(p.TCPListener)
		}
		close(p.finishing)
		p.setAcceptDeadline(time.Now().Add(queueCheckInterval)) // of a pending accept
	})
}

// setAcceptDeadline sets the deadline of accepts, a pending one included; the zero time removes it.
func (p *PausableListener) setAcceptDeadline(t time.Time) { _ = p.SetDeadline(t) } // fails on a closed listener only

// Accept fails with errFinished once the queue of a finishing listener counts as empty, or if that listener is paused.
// It continues after any other exceeded deadline: that was set by Pause, even if Resume has been called since, or by
// Finish while the accept was pending.
func (p *PausableListener) Accept() (net.Conn, error) {
	for {
		isFinishing, err := p.prepareAccept()
		if err != nil {
			return nil, err
		}
		c, err := p.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if isFinishing {
			return nil, errFinished
		}
	}
}

// prepareAccept waits while the listener is paused. If the listener is finishing, it sets the deadline of the next
// accept, or fails with errFinished if no further connection is to be accepted.
func (p *PausableListener) prepareAccept() (isFinishing bool, err error) {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	select {
	case <-resumed:
	case <-p.finishing:
	}
	if !isClosed(p.finishing) {
		return false, nil
	}
	p.mu.Lock()
	queueDeadline := p.queueDeadline
	p.mu.Unlock()
	deadline := time.Now().Add(queueCheckInterval)
	if !isClosed(resumed) || deadline.After(queueDeadline) {
		return true, errFinished
	}
	p.setAcceptDeadline(deadline)
	return true, nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
