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
	healthCheckTimeout = 250 * time.Millisecond // from the dial to the reply

	// noLoad stands for the load of a server that reported none.
	noLoad = -1

	// HealthCheckDescriptors is how many health checks run concurrently. Each holds one descriptor.
	HealthCheckDescriptors = 4
)

// RunHealthChecks runs the health checks that the router requests, until the context ends. connectTimeout bounds the
// TCP handshake with a server, as it does for flows.
func RunHealthChecks(ctx context.Context, r *routing.Router, connectTimeout time.Duration) {
	var workers sync.WaitGroup
	for range HealthCheckDescriptors {
		workers.Go(func() {
			for {
				addr, report, err := r.NextHealthCheck(ctx)
				if err != nil {
					return // the context ended
				}
				report(checkHealth(ctx, addr, connectTimeout))
			}
		})
	}
	workers.Wait()
}

// checkHealth requests one server's load report.
func checkHealth(
	ctx context.Context, addr string, connectTimeout time.Duration,
) (outcome routing.Outcome, load float64) {
	deadline := time.Now().Add(healthCheckTimeout)
	c, err := transport.Dialer{}.Dial(ctx, addr, min(connectTimeout, healthCheckTimeout), nil)
	if err != nil {
		return routing.Unreachable, noLoad
	}
	defer c.Close()
	if err := writeLine(c, "STATS"); err != nil {
		return routing.Unreachable, noLoad
	}
	c.SetReadDeadline(deadline)
	line, err := readLine(c)
	switch {
	case err != nil && time.Now().After(deadline):
		return routing.TimedOut, noLoad
	case err != nil:
		return routing.Reset, noLoad
	case lineKind(line) != "PONG":
		return routing.Error, noLoad
	}
	load, ok := config.ParseLoadReport(line[len("PONG"):])
	if !ok {
		return routing.OK, noLoad
	}
	return routing.OK, load
}
