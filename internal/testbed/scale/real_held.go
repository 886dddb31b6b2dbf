package scale

import (
	"context"
	"fmt"
	"strings"
	"time"
)

const (
	realDeliveryRate    = 6_050 // a second at each balancer at the size ahead
	deliveryLength      = 200   // bytes, with its end
	realPlacementsTimed = 400
	realHeldBesides     = 200 // connections while placements are measured
)

// withHeld starts a process and has it hold more and more connections; at is called at each size, once it is quiet.
func withHeld(ctx context.Context, s realSettings, progress Progress, at func(p *realProcess, c *standInClients, size int) error) ([]Check, error) {
	p, err := startReal(ctx, s, s.Servers)
	if err != nil {
		return nil, err
	}
	defer p.end()
	c := &standInClients{to: p.listen, groups: s.Groups}
	defer c.close()
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		if err := c.speak(ctx); err != nil {
			return nil, err
		}
		if err := c.grow(ctx, n); err != nil {
			return nil, err
		}
		if err := pause(ctx, s.settle()); err != nil {
			return nil, err
		}
		if err := c.speak(ctx); err != nil {
			return nil, err
		}
		if err := at(p, c, n); err != nil {
			return nil, err
		}
	}
	progress(len(s.Sizes), len(s.Sizes))
	lost, moved := c.ended.Load(), c.moved.Load()
	return []Check{{Name: "all connections held to the end", Held: lost == 0,
		Detail: fmt.Sprintf("%d of %d ended, %d asked to move", lost, c.held(), moved)}}, nil
}

// realConnections measures a process that holds idle connections, against their number.
func realConnections(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := readReal(settings, mostRealConnections, "connections")
	if err != nil {
		return nil, nil, err
	}
	set := &realSeries{role: realRoleDataPath, against: "connections",
		held: map[string]float64{"servers": float64(s.Servers), "groups": float64(s.Groups), "zones": float64(s.Zones)}}
	prefix := fmt.Sprintf("real.connections.%d-servers", s.Servers)
	checks, err := withHeld(ctx, s, progress, func(p *realProcess, _ *standInClients, n int) error {
		share, err := p.processorShare(ctx, s.quiet)
		if err != nil {
			return err
		}
		m, err := p.memory()
		if err != nil {
			return err
		}
		set.addMemory(prefix, "while idle connections are held", n, m)
		set.add(prefix+".processor", "processor time while idle connections are held", "cores", n, share)
		return nil
	})
	return set.list, checks, err
}

// realDeliveries measures what a line from a server to a client costs, against the connections held. All get lines in turn.
func realDeliveries(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := readReal(settings, mostRealConnections, "connections")
	if err != nil {
		return nil, nil, err
	}
	if s.Rate == 0 {
		s.Rate = realDeliveryRate
	}
	set := &realSeries{role: realRoleDataPath, against: "connections",
		held: map[string]float64{"servers": float64(s.Servers), "lines a second": s.Rate, "bytes a line": deliveryLength}}
	line := []byte(strings.Repeat("x", deliveryLength-2) + "\r\n")
	checks, err := withHeld(ctx, s, progress, func(p *realProcess, c *standInClients, n int) error {
		cost, err := p.costOfLine(ctx, c, s, line)
		if err != nil {
			return err
		}
		set.add("real.deliveries.processor", "processor time of a line from server to client", "s", n, cost.Seconds())
		return nil
	})
	return set.list, checks, err
}

func (p *realProcess) costOfLine(ctx context.Context, c *standInClients, s realSettings, line []byte) (time.Duration, error) {
	atRest, err := p.processorShare(ctx, s.quiet/2)
	if err != nil {
		return 0, err
	}
	before, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	start, had := time.Now(), c.lines.Load()
	within, cancel := context.WithTimeout(ctx, s.quiet)
	sent, err := p.servers.deliver(within, s.Rate, line)
	cancel()
	if err != nil {
		return 0, err
	}
	for wait := 0; c.lines.Load()-had < int64(sent); wait++ {
		if wait > 1000 {
			return 0, &ProcessError{What: fmt.Sprintf("%d of %d lines came", c.lines.Load()-had, sent), Do: "run fewer things at once"}
		}
		if err := pause(ctx, realPollInterval); err != nil {
			return 0, err
		}
	}
	after, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	used := after - before - time.Duration(atRest*float64(time.Since(start)))
	return used / time.Duration(max(sent, 1)), nil
}

// realPlacements measures one connection from its coming to its end, sockets included, against the servers on the list.
func realPlacements(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := readReal(settings, mostRealServers, "servers")
	if err != nil {
		return nil, nil, err
	}
	if s.Connections == 0 {
		s.Connections = realHeldBesides
	}
	set := &realSeries{role: realRoleControl, against: "servers", held: map[string]float64{"connections": float64(s.Connections)}}
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		cost, err := placementsOf(ctx, s, n)
		if err != nil {
			return nil, nil, err
		}
		set.add("real.placements.processor", "processor time of a connection from its coming to its end", "s", n, cost.Seconds())
	}
	progress(len(s.Sizes), len(s.Sizes))
	return set.list, nil, nil
}

func placementsOf(ctx context.Context, s realSettings, servers int) (time.Duration, error) {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return 0, err
	}
	defer p.end()
	held := &standInClients{to: p.listen, groups: s.Groups}
	defer held.close()
	if err := held.grow(ctx, s.Connections); err != nil {
		return 0, err
	}
	if err := pause(ctx, s.settle()); err != nil {
		return 0, err
	}
	atRest, err := p.processorShare(ctx, s.quiet/2)
	if err != nil {
		return 0, err
	}
	before, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	comers := &standInClients{to: p.listen, groups: s.Groups}
	comers.nextID.Store(mostRealConnections) // ids of their own
	err = comers.grow(ctx, realPlacementsTimed)
	comers.close()
	if err != nil {
		return 0, err
	}
	if err := pause(ctx, time.Second); err != nil { // for the last ends
		return 0, err
	}
	after, err := p.processorTime()
	used := after - before - time.Duration(atRest*float64(time.Since(start)))
	return used / realPlacementsTimed, err
}
