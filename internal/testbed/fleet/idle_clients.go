package fleet

import (
	"context"
	"io"
	"net"
	"time"
)

const reconnectInterval = 10 * time.Millisecond

// startIdleClients has so many clients connect to a balancer and send nothing, until the end of a fault. One that is disconnected comes
// back.
func (r *fleetRun) startIdleClients(p *process, f startedFault) {
	ctx, cancel := context.WithTimeout(r.ctx, f.drawnLength)
	context.AfterFunc(ctx, cancel)
	address := r.driver.Address(p.id)
	for range f.rate {
		r.workers.Go(func() {
			for ctx.Err() == nil {
				holdIdleConnection(ctx, address)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectInterval):
				}
			}
		})
	}
}

// holdIdleConnection is one client that sends nothing until it is disconnected or the context ends.
func holdIdleConnection(ctx context.Context, address string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return // the balancer is down, or full
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, _ = io.Copy(io.Discard, conn) // it ends as the connection does
}
