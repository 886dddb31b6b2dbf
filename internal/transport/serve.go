package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// acceptRetryInterval is waited after an accept that the system refused: it has nothing left for a connection,
	// or the client is gone again.
	acceptRetryInterval = 10 * time.Millisecond
	// finalAcceptTimeout bounds how long the queue is still accepted from at the end while the system refuses accepts.
	finalAcceptTimeout = 2 * time.Second
)

// Serve accepts until the context ends and the listener's queue is empty, each connection in a goroutine of its
// own, and returns when all of those have. While the budget is spent the kernel queues what comes. The error says
// that the listener was closed by somebody else.
func Serve(ctx context.Context, l FinishingListener, budget *DescriptorBudget, serve func(*Conn)) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	defer func() { _ = l.Close() }() // nothing is left to be done about it
	defer context.AfterFunc(ctx, l.Finish)()
	var failingSince time.Time // accepts, once the context ended; zero: they don't
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			failingSince = time.Time{}
			c := budget.admit(ctx, raw)
			connections.Go(func() { serve(c) })
		case errors.Is(err, errFinished):
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		default: // this loop must outlive it, and so must what is in the queue
			time.Sleep(acceptRetryInterval)
			if ctx.Err() == nil {
				continue
			}
			if failingSince.IsZero() {
				failingSince = time.Now()
			}
			if time.Since(failingSince) < finalAcceptTimeout {
				l.Finish()
			}
		}
	}
}
