package protocol

import (
	"context"
	"sync"
	"time"

	"yardwinch/internal/config"
	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	probeWithin = 250 * time.Millisecond

	// HealthCheckDescriptors is how many probes go out at once: each holds one.
	HealthCheckDescriptors = 4
)

// RunHealthChecks asks servers for their load, as the module wants it, until the context ends. A connection may take as long to
// come up as any other to a server.
func RunHealthChecks(ctx context.Context, r *routing.Router, handshake time.Duration) {
	var all sync.WaitGroup
	for range HealthCheckDescriptors {
		all.Go(func() {
			for {
				addr, done, err := r.NextHealthCheck(ctx)
				if err != nil {
					return
				}
				done(probe(ctx, addr, handshake))
			}
		})
	}
	all.Wait()
}

func probe(ctx context.Context, addr string, handshake time.Duration) (o routing.Outcome, load float64) {
	end := time.Now().Add(probeWithin)
	c, err := transport.Dialer{}.Dial(ctx, addr, min(handshake, probeWithin), nil)
	if err != nil {
		return routing.Unreachable, -1
	}
	defer c.Close()
	if err := writeLine(c, "STATS"); err != nil {
		return routing.Unreachable, -1
	}
	c.SetReadDeadline(end)
	line, err := readLine(c)
	switch {
	case err != nil && time.Now().After(end):
		return routing.TimedOut, -1
	case err != nil:
		return routing.Reset, -1
	case word(line) != "PONG":
		return routing.Error, -1
	}
	load, ok := config.ParseLoadReport(line[len("PONG"):])
	if !ok {
		load = -1
	}
	return routing.OK, load
}
