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

// ListenerState is what a new connection meets.
type ListenerState int

// States of a listener.
const (
	Closed       ListenerState = iota // connections are refused
	Open                              // connections are accepted
	Unresponsive                      // connections get no answer, as from a machine that is gone
)

// Listener is an address whose answer to new connections can be changed. Its methods are called from one goroutine at a time.
type Listener struct {
	Address string // where it is to be, with port 0 until the first transition chooses one

	state     ListenerState
	isBound   bool // Address has its port
	listener  net.Listener
	accepting sync.WaitGroup
	silent    silentSocket
}

// NewListener makes a closed listener. The port of the address may be 0.
func NewListener(address string) *Listener {
	return &Listener{Address: address, silent: noSilentSocket()}
}

// Transition makes every change of the state. serve is run for a listener that opens, until that closes.
func (l *Listener) Transition(ctx context.Context, to ListenerState, serve func(net.Listener)) error {
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
			return fmt.Errorf("stop answering on %s: %w", l.Address, err)
		}
	}
	l.state = to
	return nil
}

// open listens. It tries again for a moment, as a port that was just closed may not be free yet.
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

// Close closes the listener and waits until serve has returned. It can be opened again.
func (l *Listener) Close() {
	if l.listener != nil {
		_ = l.listener.Close() // nothing is left to do for one that can't be closed
		l.listener = nil
	}
	l.accepting.Wait()
	l.silent.close()
	l.state = Closed
}

// Serve hands on each connection that a listener accepts, in a goroutine of its own, until the listener is closed. The caller waits for
// those goroutines where it has to.
func Serve(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			go serve(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetryDelay) // the process is short of descriptors
		}
	}
}
