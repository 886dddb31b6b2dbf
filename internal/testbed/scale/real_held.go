package scale

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	realDeliveryRate      = 6_050       // lines per second at each balancer of the planned fleet
	deliveryLength        = 200         // bytes, including the line end
	realPlacementCount    = 400         // connections placed in a measurement
	maxLinePolls          = 1000        // at realPollInterval, while lines are outstanding
	connectionEndTime     = time.Second // in which the balancer ends the last connections
	backgroundConnections = 200         // held while connections are placed
)

// atEachSize starts a process and opens connections up to each size in turn; it calls measureSize at each size once the
// process is idle.
func atEachSize(ctx context.Context, s realSettings, progress Progress,
	measureSize func(p *realProcess, c *stubClients, size int) error) ([]Check, error) {
	p, err := startReal(ctx, s, s.Servers)
	if err != nil {
		return nil, err
	}
	defer p.end()
	c := &stubClients{address: p.listen, groups: s.Groups}
	defer c.close()
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		if err := c.exchangeLines(ctx); err != nil {
			return nil, err
		}
		if err := c.openUpTo(ctx, n); err != nil {
			return nil, err
		}
		if err := pause(ctx, s.settlingTime()); err != nil {
			return nil, err
		}
		if err := c.exchangeLines(ctx); err != nil {
			return nil, err
		}
		if err := measureSize(p, c, n); err != nil {
			return nil, err
		}
	}
	progress(len(s.Sizes), len(s.Sizes))
	lost, moved := c.ended.Load(), c.migrated.Load()
	return []Check{{Name: "all connections held to the end", Passed: lost == 0,
		Detail: fmt.Sprintf("%d of %d ended, %d asked to move", lost, c.openCount(), moved)}}, nil
}

// realConnections measures a process with idle connections, as a function of their number.
func realConnections(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := newRealSettings(settings, maxRealConnections, "connections")
	if err != nil {
		return nil, nil, err
	}
	set := &realSeries{role: realRoleDataPath, against: "connections",
		fixedSizes: map[string]float64{"servers": float64(s.Servers), "groups": float64(s.Groups), "zones": float64(s.Zones)}}
	prefix := fmt.Sprintf("real.connections.%d-servers", s.Servers)
	checks, err := atEachSize(ctx, s, progress, func(p *realProcess, _ *stubClients, n int) error {
		return set.addIdleUse(ctx, p, s.period, prefix, "while idle connections are held", n)
	})
	return set.list, checks, err
}

// realDeliveries measures the delivery of a line from a server to a client, as a function of the open connections. All
// of them receive lines in turn.
func realDeliveries(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := newRealSettings(settings, maxRealConnections, "connections")
	if err != nil {
		return nil, nil, err
	}
	if s.Rate == 0 {
		s.Rate = realDeliveryRate
	}
	set := &realSeries{role: realRoleDataPath, against: "connections",
		fixedSizes: map[string]float64{"servers": float64(s.Servers), "lines a second": s.Rate, "bytes a line": deliveryLength}}
	line := []byte(strings.Repeat("x", deliveryLength-2) + "\r\n")
	checks, err := atEachSize(ctx, s, progress, func(p *realProcess, c *stubClients, n int) error {
		cost, err := p.lineCost(ctx, c, s, line)
		if err != nil {
			return err
		}
		set.add("real.deliveries.processor", "processor time of a line from server to client", "s", n, cost.Seconds())
		return nil
	})
	return set.list, checks, err
}

// lineCost returns the processor time of delivering one line to a client.
func (p *realProcess) lineCost(ctx context.Context, c *stubClients, s realSettings, line []byte) (time.Duration, error) {
	idleShare, err := p.processorShare(ctx, s.period/2)
	if err != nil {
		return 0, err
	}
	sent := 0
	used, err := p.processorBeyondIdle(idleShare, func() (err error) {
		receivedBefore := c.linesReceived.Load()
		within, cancel := context.WithTimeout(ctx, s.period)
		sent, err = p.servers.deliver(within, s.Rate, line)
		cancel()
		if err != nil {
			return err
		}
		return c.awaitLines(ctx, receivedBefore, sent)
	})
	if err != nil {
		return 0, err
	}
	return used / time.Duration(max(sent, 1)), nil
}

// awaitLines waits until the clients' count of received lines has grown from receivedBefore by the number sent.
func (c *stubClients) awaitLines(ctx context.Context, receivedBefore int64, sent int) error {
	for polls := 0; c.linesReceived.Load()-receivedBefore < int64(sent); polls++ {
		if polls > maxLinePolls {
			return &ProcessError{
				What:   fmt.Sprintf("%d of %d lines were received", c.linesReceived.Load()-receivedBefore, sent),
				Remedy: "run fewer things at once",
			}
		}
		if err := pause(ctx, realPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// realPlacements measures one connection from accept to close, sockets included, as a function of the servers on the
// list.
func realPlacements(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := newRealSettings(settings, maxRealServers, "servers")
	if err != nil {
		return nil, nil, err
	}
	if s.Connections == 0 {
		s.Connections = backgroundConnections
	}
	set := &realSeries{role: realRoleControl, against: "servers", fixedSizes: map[string]float64{"connections": float64(s.Connections)}}
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		cost, err := measurePlacement(ctx, s, n)
		if err != nil {
			return nil, nil, err
		}
		set.add("real.placements.processor", "processor time of a connection from accept to close", "s", n, cost.Seconds())
	}
	progress(len(s.Sizes), len(s.Sizes))
	return set.list, nil, nil
}

func measurePlacement(ctx context.Context, s realSettings, servers int) (time.Duration, error) {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return 0, err
	}
	defer p.end()
	held := &stubClients{address: p.listen, groups: s.Groups}
	defer held.close()
	if err := held.openUpTo(ctx, s.Connections); err != nil {
		return 0, err
	}
	if err := pause(ctx, s.settlingTime()); err != nil {
		return 0, err
	}
	idleShare, err := p.processorShare(ctx, s.period/2)
	if err != nil {
		return 0, err
	}
	used, err := p.processorBeyondIdle(idleShare, func() error {
		arrivals := &stubClients{address: p.listen, groups: s.Groups}
		arrivals.nextID.Store(maxRealConnections) // so that ids are unique
		err := arrivals.openUpTo(ctx, realPlacementCount)
		arrivals.close()
		if err != nil {
			return err
		}
		return pause(ctx, connectionEndTime)
	})
	return used / realPlacementCount, err
}
