package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"yardwinch/decide"
)

const (
	compareTolerance   = 0.2 // by which real figures may be outside the range of simulated ones, relative to its ends
	compareRounds      = 3   // of each measurement
	compareRepetitions = 5   // of each simulated figure, as it varies on a busy machine
)

// comparison is a quantity that is measured on simulated balancers and on real processes.
type comparison struct {
	name, quantity, unit     string
	reasonBelow, reasonAbove string // why the simulated figure may be far below or above the real one; empty if it may not
}

const stubSharesProcess = "the stand-in that writes the list is in the hollow one's process"

// comparisons are in the order of the report.
var comparisons = []comparison{
	{name: "rest", quantity: "processor time that held idle connections add", unit: "cores"},
	{name: "change", unit: "s",
		quantity:    "processor time of a change of one entry, sent one by one to the real process and in batches of twenty to the hollow balancer",
		reasonBelow: "an idle process is woken for each change; see changes", reasonAbove: stubSharesProcess},
	{name: "changes", quantity: "processor time of a change of one entry, in a batch of twenty", unit: "s", reasonAbove: stubSharesProcess},
	{name: "whole-list", quantity: "processor time of a full list that is sent again", unit: "s", reasonAbove: stubSharesProcess},
	{name: "list-memory", quantity: "memory that the list takes beyond that of the smallest size", unit: "bytes",
		reasonBelow: "a heap grows to twice what lives on it before it is collected"},
}

// comparedFigures are the figures of comparisons by name; simulated ones have one figure for each repetition.
type comparedFigures map[string][]float64

// compareWithSimulated compares a real process with simulated balancers, as a function of the servers on the list.
func compareWithSimulated(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := newRealSettings(settings, maxRealServers-realListsPublished, "servers")
	if err != nil {
		return nil, nil, err
	}
	if s.Connections == 0 {
		s.Connections = 6000
	}
	set := &realSeries{role: realRoleControl, against: "servers",
		fixedSizes: map[string]float64{"connections": float64(s.Connections), "groups": float64(s.Groups), "zones": float64(s.Zones)}}
	var checks []Check
	var smallest [2]float64 // list-memory at the smallest size, real and simulated
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		realFigures, err := measureRealProcess(ctx, s, n)
		if err != nil {
			return nil, nil, err
		}
		simulated, err := measureSimulated(ctx, s, n)
		if err != nil {
			return nil, nil, err
		}
		if i == 0 {
			smallest = [2]float64{realFigures["list-memory"][0], simulated["list-memory"][0]}
		}
		realFigures["list-memory"][0] -= smallest[0]
		simulated["list-memory"][0] -= smallest[1]
		for _, c := range comparisons {
			set.add("compare."+c.name+".real", c.quantity+", a real process", c.unit, n, realFigures[c.name][0])
			set.add("compare."+c.name+".hollow", c.quantity+", hollow", c.unit, n, median(simulated[c.name]))
			if i > 0 || c.name != "list-memory" {
				checks = append(checks, c.check(n, realFigures[c.name][0], simulated[c.name]))
			}
		}
	}
	progress(len(s.Sizes), len(s.Sizes))
	return set.list, checks, nil
}

// check checks that the figures agree within compareTolerance, or differ for a known reason.
func (c comparison) check(servers int, realFigure float64, simulated []float64) Check {
	least, most := slices.Min(simulated), slices.Max(simulated)
	check := Check{
		Name:   fmt.Sprintf("%s at %d servers: hollow is within 20 %% of real, or why not is known", c.name, servers),
		Passed: realFigure >= least*(1-compareTolerance) && realFigure <= most*(1+compareTolerance),
		Detail: fmt.Sprintf("real %.4g %s, hollow %.4g to %.4g, %+.0f %% in the middle",
			realFigure, c.unit, least, most, 100*(median(simulated)/realFigure-1)),
	}
	reason := c.reasonAbove
	if realFigure > most {
		reason = c.reasonBelow
	}
	if !check.Passed && reason != "" {
		check.Passed = true
		check.Detail += ": " + reason
	}
	return check
}

func measureRealProcess(ctx context.Context, s realSettings, servers int) (comparedFigures, error) {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return nil, err
	}
	defer p.end()
	if err := pause(ctx, s.settlingTime()); err != nil {
		return nil, err
	}
	empty, err := p.processorShare(ctx, s.period)
	if err != nil {
		return nil, err
	}
	memory, err := p.memory()
	if err != nil {
		return nil, err
	}
	changeCost, err := p.processorCost(ctx, empty, realChangesPublished, realChangeInterval, func(i int) { p.list.toggleCell(i * 7) })
	if err != nil {
		return nil, err
	}
	batchCost, err := p.processorCost(ctx, empty, realListsPublished, 4*realChangeInterval, func(i int) {
		for j := range changesPerBatch {
			p.list.toggleCell(i*changesPerBatch + j)
		}
	})
	if err != nil {
		return nil, err
	}
	fullListCost, err := p.processorCost(ctx, empty, realListsPublished, 4*realChangeInterval, func(int) { p.list.publishFullList() })
	if err != nil {
		return nil, err
	}
	held, err := idleShareWithConnections(ctx, s, p)
	if err != nil {
		return nil, err
	}
	return comparedFigures{"rest": {held - empty}, "change": {changeCost.Seconds()}, "changes": {batchCost.Seconds() / changesPerBatch},
		"whole-list": {fullListCost.Seconds()}, "list-memory": {memory.private}}, nil
}

// idleShareWithConnections returns the share of a core that a process with idle connections uses.
func idleShareWithConnections(ctx context.Context, s realSettings, p *realProcess) (float64, error) {
	c := &stubClients{address: p.listen, groups: s.Groups}
	defer c.close()
	if err := c.openUpTo(ctx, s.Connections); err != nil {
		return 0, err
	}
	if err := pause(ctx, s.settlingTime()); err != nil {
		return 0, err
	}
	if err := c.exchangeLines(ctx); err != nil {
		return 0, err
	}
	return p.processorShare(ctx, s.period)
}

func measureSimulated(ctx context.Context, s realSettings, servers int) (comparedFigures, error) {
	figures := comparedFigures{}
	empty, loaded := newPlacedBalancer(s, servers, 0), newPlacedBalancer(s, servers, s.Connections)
	for range compareRepetitions {
		without, _, err := tickCost(ctx, empty)
		if err != nil {
			return nil, err
		}
		with, _, err := tickCost(ctx, loaded)
		if err != nil {
			return nil, err
		}
		figures["rest"] = append(figures["rest"], (with-without).Seconds()/tickInterval.Seconds())
	}
	return figures, figures.measureListUpdates(ctx, s.Seed, servers)
}

// measureListUpdates measures the real handling of the list in this process, decisions included.
func (f comparedFigures) measureListUpdates(ctx context.Context, seed uint64, servers int) error {
	subscriber, err := newListSubscriber(ctx, seed)
	if err != nil {
		return err
	}
	defer subscriber.close()
	before := liveMemory()
	revision := 1
	if err := subscriber.apply(ctx, [][]byte{fullList(servers, revision).line()}, revision); err != nil {
		return err
	}
	f["list-memory"] = []float64{float64(liveMemory() - before)}
	var failure error
	apply := func(objects [][]byte) {
		if failure == nil {
			failure = subscriber.apply(ctx, objects, revision)
		}
	}
	for range compareRepetitions {
		fullListCost := measure(compareRounds, 1, func() {
			revision++
			apply([][]byte{fullList(servers, revision).line()})
		})
		encoding := measure(compareRounds, 1, func() { fullList(servers, revision).line() })
		change := measure(compareRounds, 1, func() {
			objects := lines(changesOneByOne(spreadServers(servers), revision+1))
			revision += changesPerBatch
			apply(objects)
		})
		each := change.processor.Seconds() / changesPerBatch
		f["change"], f["changes"] = append(f["change"], each), append(f["changes"], each)
		f["whole-list"] = append(f["whole-list"], (fullListCost.processor - encoding.processor).Seconds())
	}
	return failure
}

// spreadServers returns the servers of one batch of changes, spread over the list.
func spreadServers(servers int) (changed []int) {
	for i := range changesPerBatch {
		changed = append(changed, i*servers/changesPerBatch)
	}
	return changed
}

// newPlacedBalancer returns a balancer whose decisions placed its connections one by one, as in a real process. With
// connections that are spread evenly, as by newSettledBalancer, nearly none would need a recheck.
func newPlacedBalancer(s realSettings, servers, connections int) *simulatedBalancer {
	h := newSimulatedBalancer(s.Seed, simulatedSettings{peers: s.Balancers})
	h.updateList(decide.FullUpdate, warmServers(servers, s.Zones))
	for i := range connections {
		h.advance(h.now + time.Millisecond)
		h.placeFlow(flowName(i), groupName(i%s.Groups))
	}
	h.advance(h.now + settlingPeriod)
	return h
}
