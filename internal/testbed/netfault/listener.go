package netfault

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	listenAttempts   = 50
	listenRetryDelay = 2 * time.Millisecond
	acceptRetryDelay = 5 * time.Millisecond
)

// ListenerState determines how a listener responds to new connections.
type ListenerState int

// States of a listener.
const (
	Closed       ListenerState = iota // connections are refused
	Open                              // connections are accepted
	Unresponsive                      // connections time out, as if the machine were down
)

// Listener is an address whose response to new connections can be changed. It is not safe for concurrent use.
type Listener struct {
	Address string // listen address; its port may be 0 until the first transition chooses one

	state     ListenerState
	isBound   bool // Address has its final port
	listener  net.Listener
	accepting sync.WaitGroup
	silent    silentSocket
}

// NewListener returns a closed listener. The port of the address may be 0.
func NewListener(address string) *Listener {
	return &Listener{Address: address, silent: newSilentSocket()}
}

// SetState changes the state. When the listener opens, serve is run with it in a goroutine and has to return once it is closed.
func (l *Listener) SetState(ctx context.Context, to ListenerState, serve func(net.Listener)) error {
	if to == l.state && l.isBound {
		return nil
	}
	l.Close()
	if to == Open || !l.isBound {
		if err := l.open(ctx); err != nil {
			return fmt.Errorf("listen on %s: %w", l.Address, err)
		}
	}
	switch to {
	case Open:
		listener := l.listener
		l.accepting.Go(func() { serve(listener) })
	case Closed:
		l.Close()
	case Unresponsive:
		l.Close()
		if err := l.silent.open(l.Address); err != nil {
			return fmt.Errorf("make %s unresponsive: %w", l.Address, err)
		}
	}
	l.state = to
	return nil
}

// open starts to listen. It retries for a short time while the address is in use, as a port that was just closed may not be free yet.
func (l *Listener) open(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.Address)
		if err == nil {
			l.listener, l.Address, l.isBound = listener, listener.Addr().String(), true
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || attempt == listenAttempts {
			return err
		}
		time.Sleep(listenRetryDelay)
	}
}

// Close closes the listener and waits until serve has returned. The listener can be opened again.
func (l *Listener) Close() {
	if l.listener != nil {
		_ = l.listener.Close() // nothing can be done about an error
		l.listener = nil
	}
	l.accepting.Wait()
	l.silent.close()
	l.state = Closed
}

// Serve accepts connections until the listener is closed, and calls serve with each in a new goroutine. It doesn't wait for those
// goroutines.
func Serve(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			go serve(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetryDelay) // usually the process is out of descriptors
		}
	}
}
