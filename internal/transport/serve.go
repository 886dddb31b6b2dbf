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
	// acceptRetryInterval is the wait after an accept that failed because the system is out of resources, or because
	// the client has left.
	acceptRetryInterval = 10 * time.Millisecond
	// finalAcceptTimeout limits how long failing accepts from the queue are retried after the context has ended.
	finalAcceptTimeout = 2 * time.Second
)

// Serve accepts connections until the context ends and the listener's queue is empty. It serves each one in its own
// goroutine, and returns when all of these have returned. While the budget is exhausted, new connections wait in the
// kernel's queue. It fails only if the listener is closed by another caller.
func Serve(ctx context.Context, l FinishingListener, budget *DescriptorBudget, serve func(*Conn)) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	defer func() { _ = l.Close() }() // an error can't be handled
	defer context.AfterFunc(ctx, l.Finish)()
	var failingSince time.Time // when accepts began to fail after the context ended; zero: they don't fail
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			failingSince = time.Time{}
			c := budget.admit(ctx, raw)
			relayTurns.onInput(c, time.Now())
			connections.Go(func() { serve(c) })
		case errors.Is(err, errFinished):
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		default: // keep accepting, so that the connections in the queue are not lost
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
