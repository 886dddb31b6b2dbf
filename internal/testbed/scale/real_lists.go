package scale

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	realChangesPublished = 40 // in one measurement of the processor time
	realChangeInterval   = 100 * time.Millisecond
	realChangesTimed     = 11 // in one measurement of the propagation time
	realListsPublished   = 5  // in one measurement of the processor time or the propagation time
	propagationTimeout   = 5 * time.Second
	realRoleControl      = "balancer control"
	realRoleDataPath     = "balancer data path"
	realRoleList         = "balancer control: list"
)

// realSeries collects the points of several series over the same sizes.
type realSeries struct {
	role       string
	against    string
	fixedSizes map[string]float64
	list       []Series
}

func (s *realSeries) add(name, quantity, unit string, size int, value float64) {
	i := slices.IndexFunc(s.list, func(x Series) bool { return x.Name == name })
	if i < 0 {
		i = len(s.list)
		s.list = append(s.list, Series{
			Name:       name,
			Role:       s.role,
			Quantity:   quantity,
			Unit:       unit,
			Against:    s.against,
			Origin:     Measured,
			FixedSizes: s.fixedSizes,
		})
	}
	s.list[i].Points = append(s.list[i].Points, Point{float64(size), value})
}

func (s *realSeries) addMemory(prefix, of string, size int, m realMemory) {
	s.add(prefix+".private", "memory in anonymous pages, "+of, "bytes", size, m.private)
	s.add(prefix+".resident", "memory resident, with the pages of its program, "+of, "bytes", size, m.resident)
	s.add(prefix+".peak", "most memory that was ever resident, "+of, "bytes", size, m.peak)
}

// addIdleUse measures an idle process and adds points for its memory and its processor time.
func (s *realSeries) addIdleUse(ctx context.Context, p *realProcess, period time.Duration, prefix, state string, size int) error {
	share, err := p.processorShare(ctx, period)
	if err != nil {
		return err
	}
	m, err := p.memory()
	if err != nil {
		return err
	}
	s.addMemory(prefix, state, size, m)
	s.add(prefix+".processor", "processor time "+state, "cores", size, share)
	return nil
}

// realServers measures an idle process without connections, as a function of the servers on its list.
func realServers(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := newRealSettings(settings, maxRealServers, "servers")
	if err != nil {
		return nil, nil, err
	}
	return overListLengths(ctx, s, progress, measureIdle)
}

// overListLengths calls measureLength for each size, as the number of servers on the list.
func overListLengths(
	ctx context.Context, s realSettings, progress Progress,
	measureLength func(ctx context.Context, s realSettings, servers int, set *realSeries) error,
) ([]Series, []Check, error) {
	set := &realSeries{role: realRoleList, against: "servers", fixedSizes: map[string]float64{"connections": 0, "zones": float64(s.Zones)}}
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		if err := measureLength(ctx, s, n, set); err != nil {
			return nil, nil, err
		}
	}
	progress(len(s.Sizes), len(s.Sizes))
	return set.list, nil, nil
}

func measureIdle(ctx context.Context, s realSettings, servers int, set *realSeries) error {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return err
	}
	defer p.end()
	started, err := p.processorTime()
	if err != nil {
		return err
	}
	if err := pause(ctx, s.settlingTime()); err != nil {
		return err
	}
	if err := set.addIdleUse(ctx, p, s.period, "real.servers", "while idle without connections", servers); err != nil {
		return err
	}
	set.add("real.servers.start", "processor time from the start until the full list is in force", "s", servers, started.Seconds())
	return nil
}

// realChanges measures the cost and the propagation time of list updates, as a function of the servers on the list.
func realChanges(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := newRealSettings(settings, maxRealServers-realChangesTimed-realListsPublished, "servers")
	if err != nil {
		return nil, nil, err
	}
	return overListLengths(ctx, s, progress, measureListChanges)
}

func measureListChanges(ctx context.Context, s realSettings, servers int, set *realSeries) error {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return err
	}
	defer p.end()
	if err := pause(ctx, s.settlingTime()); err != nil {
		return err
	}
	idleShare, err := p.processorShare(ctx, s.period)
	if err != nil {
		return err
	}
	changeCost, err := p.processorCost(ctx, idleShare, realChangesPublished, realChangeInterval, func(i int) { p.list.toggleCell(i * 7) })
	if err != nil {
		return err
	}
	fullListCost, err := p.processorCost(ctx, idleShare, realListsPublished, 4*realChangeInterval, func(int) { p.list.publishFullList() })
	if err != nil {
		return err
	}
	changeMedian, changeLongest, err := p.propagationTime(ctx, realChangesTimed, p.list.addServer)
	if err != nil {
		return err
	}
	fullListMedian, fullListLongest, err := p.propagationTime(ctx, realListsPublished, p.list.publishFullList)
	if err != nil {
		return err
	}
	m, err := p.memory()
	if err != nil {
		return err
	}
	set.add("real.change.processor", "processor time of a change of one entry", "s", servers, changeCost.Seconds())
	set.add("real.change.in-force", "time from sending a change of one entry until it is in force, median",
		"s", servers, changeMedian.Seconds())
	set.add("real.change.in-force-last", fmt.Sprintf("the same, longest of %d", realChangesTimed), "s", servers, changeLongest.Seconds())
	set.add("real.whole-list.processor", "processor time of a full list that is sent again", "s", servers, fullListCost.Seconds())
	set.add("real.whole-list.in-force", "time from sending a full list until it is in force, median",
		"s", servers, fullListMedian.Seconds())
	set.add("real.whole-list.in-force-last", fmt.Sprintf("the same, longest of %d", realListsPublished),
		"s", servers, fullListLongest.Seconds())
	set.addMemory("real.changes", "after its full list was sent several times", servers, m)
	return nil
}

// processorCost publishes n events at an interval and returns the processor time of one, without that of an idle process.
func (p *realProcess) processorCost(ctx context.Context, idleShare float64, n int, every time.Duration,
	event func(i int)) (time.Duration, error) {
	used, err := p.processorBeyondIdle(idleShare, func() error {
		for i := range n {
			event(i)
			if err := pause(ctx, every); err != nil {
				return err
			}
		}
		return pause(ctx, every) // in which the last event is handled
	})
	return used / time.Duration(n), err
}

// propagationTime returns the median and the longest time from publishing an update until it is in force. publish
// publishes an update and returns the name of a server that it adds.
func (p *realProcess) propagationTime(ctx context.Context, n int, publish func() string) (median, longest time.Duration, err error) {
	var took []time.Duration
	for range n {
		start := time.Now()
		name := publish()
		within, cancel := context.WithTimeout(ctx, propagationTimeout)
		err := p.awaitServer(within, name)
		cancel()
		if err != nil {
			return 0, 0, err
		}
		took = append(took, time.Since(start))
		if err := pause(ctx, realChangeInterval); err != nil {
			return 0, 0, err
		}
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)-1], nil
}
