package scale

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	realChangesSent   = 40 // whose processor time is read together
	realChangeEvery   = 100 * time.Millisecond
	realChangesTimed  = 11
	realListsSent     = 5
	realInForceWithin = 5 * time.Second
	realRoleControl   = "balancer control"
	realRoleDataPath  = "balancer data path"
	realRolesList     = "balancer control: list"
)

// realSeries collects the points of several series over the same sizes.
type realSeries struct {
	role    string
	against string
	held    map[string]float64
	list    []Series
}

func (s *realSeries) add(name, quantity, unit string, size int, value float64) {
	i := slices.IndexFunc(s.list, func(x Series) bool { return x.Name == name })
	if i < 0 {
		i = len(s.list)
		s.list = append(s.list, Series{Name: name, Role: s.role, Quantity: quantity, Unit: unit, Against: s.against, Origin: Measured, Held: s.held})
	}
	s.list[i].Points = append(s.list[i].Points, Point{float64(size), value})
}

func (s *realSeries) addMemory(prefix, of string, size int, m realMemory) {
	s.add(prefix+".private", "memory in pages of no file, "+of, "bytes", size, m.private)
	s.add(prefix+".resident", "memory resident, with the pages of its program, "+of, "bytes", size, m.resident)
	s.add(prefix+".peak", "most memory that was ever resident, "+of, "bytes", size, m.peak)
}

// realServers measures a process at rest that holds no connection, against the servers on its list.
func realServers(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := readReal(settings, mostRealServers, "servers")
	if err != nil {
		return nil, nil, err
	}
	set := &realSeries{role: realRolesList, against: "servers", held: map[string]float64{"connections": 0, "zones": float64(s.Zones)}}
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		if err := measureAtRest(ctx, s, n, set); err != nil {
			return nil, nil, err
		}
	}
	progress(len(s.Sizes), len(s.Sizes))
	return set.list, nil, nil
}

func measureAtRest(ctx context.Context, s realSettings, servers int, set *realSeries) error {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return err
	}
	defer p.end()
	started, err := p.processorTime()
	if err != nil {
		return err
	}
	if err := pause(ctx, s.settle()); err != nil {
		return err
	}
	share, err := p.processorShare(ctx, s.quiet)
	if err != nil {
		return err
	}
	m, err := p.memory()
	if err != nil {
		return err
	}
	set.addMemory("real.servers", "at rest without connections", servers, m)
	set.add("real.servers.processor", "processor time at rest without connections", "cores", servers, share)
	set.add("real.servers.start", "processor time from the start until the whole list is in force", "s", servers, started.Seconds())
	return nil
}

// realChanges measures what news of the list cost and how soon they are in force, against the servers on it.
func realChanges(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := readReal(settings, mostRealServers-realChangesTimed-realListsSent, "servers")
	if err != nil {
		return nil, nil, err
	}
	set := &realSeries{role: realRolesList, against: "servers", held: map[string]float64{"connections": 0, "zones": float64(s.Zones)}}
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		if err := changesOf(ctx, s, n, set); err != nil {
			return nil, nil, err
		}
	}
	progress(len(s.Sizes), len(s.Sizes))
	return set.list, nil, nil
}

func changesOf(ctx context.Context, s realSettings, servers int, set *realSeries) error {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return err
	}
	defer p.end()
	if err := pause(ctx, s.settle()); err != nil {
		return err
	}
	atRest, err := p.processorShare(ctx, s.quiet)
	if err != nil {
		return err
	}
	one, err := p.costOf(ctx, atRest, realChangesSent, realChangeEvery, func(i int) { p.list.toggle(i * 7) })
	if err != nil {
		return err
	}
	whole, err := p.costOf(ctx, atRest, realListsSent, 4*realChangeEvery, func(int) { p.list.sendFull() })
	if err != nil {
		return err
	}
	soon, last, err := p.inForce(ctx, realChangesTimed, p.list.add)
	if err != nil {
		return err
	}
	wholeSoon, wholeLast, err := p.inForce(ctx, realListsSent, p.list.sendFull)
	if err != nil {
		return err
	}
	m, err := p.memory()
	if err != nil {
		return err
	}
	set.add("real.change.processor", "processor time of a change of one entry", "s", servers, one.Seconds())
	set.add("real.change.in-force", "time from the telling of a change of one entry until it is in force, median", "s", servers, soon.Seconds())
	set.add("real.change.in-force-last", fmt.Sprintf("the same, longest of %d", realChangesTimed), "s", servers, last.Seconds())
	set.add("real.whole-list.processor", "processor time of a whole list, told again", "s", servers, whole.Seconds())
	set.add("real.whole-list.in-force", "time from the telling of a whole list until it is in force, median", "s", servers, wholeSoon.Seconds())
	set.add("real.whole-list.in-force-last", fmt.Sprintf("the same, longest of %d", realListsSent), "s", servers, wholeLast.Seconds())
	set.addMemory("real.changes", "after its list was told whole several times", servers, m)
	return nil
}

// costOf is the processor time of one of n events told at an interval, beyond what is used at rest.
func (p *realProcess) costOf(ctx context.Context, atRest float64, n int, every time.Duration, event func(i int)) (time.Duration, error) {
	before, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	for i := range n {
		event(i)
		if err := pause(ctx, every); err != nil {
			return 0, err
		}
	}
	if err := pause(ctx, every); err != nil { // for what the last one cost
		return 0, err
	}
	after, err := p.processorTime()
	if err != nil {
		return 0, err
	}
	return (after - before - time.Duration(atRest*float64(time.Since(start)))) / time.Duration(n), nil
}

// inForce is how long news take until they are in force: in the middle and at the longest. tell names a server that they bring.
func (p *realProcess) inForce(ctx context.Context, n int, tell func() string) (median, longest time.Duration, err error) {
	var took []time.Duration
	for range n {
		start := time.Now()
		name := tell()
		within, cancel := context.WithTimeout(ctx, realInForceWithin)
		err := p.awaitServer(within, name)
		cancel()
		if err != nil {
			return 0, 0, err
		}
		took = append(took, time.Since(start))
		if err := pause(ctx, realChangeEvery); err != nil {
			return 0, 0, err
		}
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)-1], nil
}
