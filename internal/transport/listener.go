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

// What is in the kernel's queue when the accepting ends was accepted by this machine, and its line may have come: it is
// served, or at least answered.
const (
	// queueCheckInterval without a connection says that the queue is empty.
	queueCheckInterval = 10 * time.Millisecond
	// queueCheckTimeout bounds the accepting from the queue, against connections that keep coming.
	queueCheckTimeout = 200 * time.Millisecond
)

// FinishingListener is a listener that can be told to accept no more than what is in its queue.
type FinishingListener interface {
	net.Listener
	// Finish has what is in the queue accepted, and no more. Called again it has the queue checked for as long again.
	Finish()
}

// errFinished says that the queue of a listener that finishes is empty.
var errFinished = errors.New("no more is accepted")

// PausableListener is a listener that can be paused: what comes then waits in the kernel's queue, which another process
// may share.
type PausableListener struct {
	*net.TCPListener
	finishOnce sync.Once
	finishing  chan struct{} // closed by Finish

	mu            sync.Mutex    // guards the fields below
	resumed       chan struct{} // closed unless it is paused
	queueCheckEnd time.Time     // when the queue counts as empty in any case
}

// NewPausableListener makes a listener that is not paused.
func NewPausableListener(l *net.TCPListener) *PausableListener {
	p := &PausableListener{TCPListener: l, resumed: make(chan struct{}), finishing: make(chan struct{})}
	close(p.resumed)
	return p
}

// Listen listens on an address. isShared says that another process of this user's may listen there as well.
func Listen(addr string, isShared bool) (*PausableListener, error) {
	// As in Dial: each of tens of thousands of idle connections would be probed.
	config := net.ListenConfig{KeepAlive: -1}
	if isShared {
		config.Control = setReusePort
	}
	config.SetMultipathTCP(false) // clients come by plain TCP, and the filter of Finish works on plain TCP only
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err // it says what was listened on
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

// Pause has nothing accepted until Resume.
func (p *PausableListener) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.resumed) {
		p.resumed = make(chan struct{})
	}
	p.setAcceptDeadline(inThePast)
}

// Resume has connections accepted again.
func (p *PausableListener) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setAcceptDeadline(time.Time{})
	if !isClosed(p.resumed) {
		close(p.resumed)
	}
}

// Finish has what is in the queue accepted, and no more: from then on the kernel takes no new connection, which
// would be reset as the listener closes. A listener that is paused leaves the whole queue to the other process.
// Called again it has the queue checked for as long again.
func (p *PausableListener) Finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queueCheckEnd = time.Now().Add(queueCheckTimeout)
	p.finishOnce.Do(func() {
		if isClosed(p.resumed) {
			dropNewConnections(p.TCPListener)
		}
		close(p.finishing)
		p.setAcceptDeadline(time.Now().Add(queueCheckInterval)) // for the accept under way
	})
}

// setAcceptDeadline ends an accept under way at a time; the zero time removes the bound.
func (p *PausableListener) setAcceptDeadline(t time.Time) { _ = p.SetDeadline(t) } // fails on a closed listener only

// Accept fails with errFinished once the queue of a listener that finishes is empty. Until then a deadline that
// passed is the work of Pause, or of Resume since.
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

// prepareAccept waits while the listener is paused. If it finishes, prepareAccept sets the deadline of the next
// accept, or fails with errFinished.
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
	queueCheckEnd := p.queueCheckEnd
	p.mu.Unlock()
	deadline := time.Now().Add(queueCheckInterval)
	if !isClosed(resumed) || deadline.After(queueCheckEnd) {
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
