package fleet

import (
	"context"
	"io"
	"net"
	"time"
)

const reconnectInterval = 10 * time.Millisecond

// startIdleClients starts clients of a balancer that send nothing until the end of the fault, and reconnect if they are disconnected.
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

// holdIdleConnection holds one connection of a client that sends nothing, until it is disconnected or the context ends.
func holdIdleConnection(ctx context.Context, address string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return // the balancer is down or refuses more connections
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, _ = io.Copy(io.Discard, conn) // returns when the connection ends
}
