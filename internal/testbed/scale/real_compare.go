package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"yardwinch/decide"
)

const (
	compareWithin = 0.2 // of the real figure, beyond the scatter of the hollow one
	compareRounds = 3   // of each measurement
	compareTimes  = 5   // so often a hollow figure is measured: the same work varies on a busy machine
)

// comparison is a quantity that hollow balancers and real processes both give.
type comparison struct {
	name, quantity, unit string
	less, more           string // why the hollow one may be far below the real one, or above it; empty: it may not
}

const standInToo = "the stand-in that writes the list is in the hollow one's process"

// comparisons are in the order of the report.
var comparisons = []comparison{
	{name: "rest", quantity: "processor time at rest that held idle connections add", unit: "cores"},
	{name: "change", quantity: "processor time of a change of one entry, each told alone to the real one and twenty together to the hollow one", unit: "s",
		less: "a process at rest is woken for each change; see changes", more: standInToo},
	{name: "changes", quantity: "processor time of a change of one entry, of twenty told together", unit: "s", more: standInToo},
	{name: "whole-list", quantity: "processor time of a whole list, told again", unit: "s", more: standInToo},
	{name: "list-memory", quantity: "memory that the list takes beyond that of the smallest size", unit: "bytes",
		less: "a heap grows to twice what lives on it before it is collected"},
}

// comparedFigures are the values of comparisons, by name; a hollow one is measured several times.
type comparedFigures map[string][]float64

// compareWithHollow measures the same of a real process and of hollow balancers, against the servers on the list.
func compareWithHollow(ctx context.Context, settings Settings, progress Progress) ([]Series, []Check, error) {
	s, err := readReal(settings, mostRealServers-realListsSent, "servers")
	if err != nil {
		return nil, nil, err
	}
	if s.Connections == 0 {
		s.Connections = 6000
	}
	set := &realSeries{role: realRoleControl, against: "servers",
		held: map[string]float64{"connections": float64(s.Connections), "groups": float64(s.Groups), "zones": float64(s.Zones)}}
	var checks []Check
	var smallest [2]float64 // of the list's memory, real and hollow
	for i, n := range s.Sizes {
		progress(i, len(s.Sizes))
		realFigures, err := comparedReal(ctx, s, n)
		if err != nil {
			return nil, nil, err
		}
		hollow, err := comparedHollow(ctx, s, n)
		if err != nil {
			return nil, nil, err
		}
		if i == 0 {
			smallest = [2]float64{realFigures["list-memory"][0], hollow["list-memory"][0]}
		}
		realFigures["list-memory"][0] -= smallest[0]
		hollow["list-memory"][0] -= smallest[1]
		for _, c := range comparisons {
			set.add("compare."+c.name+".real", c.quantity+", a real process", c.unit, n, realFigures[c.name][0])
			set.add("compare."+c.name+".hollow", c.quantity+", hollow", c.unit, n, median(hollow[c.name]))
			if i > 0 || c.name != "list-memory" {
				checks = append(checks, c.check(n, realFigures[c.name][0], hollow[c.name]))
			}
		}
	}
	progress(len(s.Sizes), len(s.Sizes))
	return set.list, checks, nil
}

// check tells whether two figures are close, or apart for a reason that is known.
func (c comparison) check(servers int, realFigure float64, hollow []float64) Check {
	least, most := slices.Min(hollow), slices.Max(hollow)
	check := Check{Name: fmt.Sprintf("%s at %d servers: hollow is within 20 %% of real, or why not is known", c.name, servers),
		Held:   realFigure >= least*(1-compareWithin) && realFigure <= most*(1+compareWithin),
		Detail: fmt.Sprintf("real %.4g %s, hollow %.4g to %.4g, %+.0f %% in the middle", realFigure, c.unit, least, most, 100*(median(hollow)/realFigure-1))}
	why := c.more
	if realFigure > most {
		why = c.less
	}
	if !check.Held && why != "" {
		check.Held = true
		check.Detail += ": " + why
	}
	return check
}

func comparedReal(ctx context.Context, s realSettings, servers int) (comparedFigures, error) {
	p, err := startReal(ctx, s, servers)
	if err != nil {
		return nil, err
	}
	defer p.end()
	if err := pause(ctx, s.settle()); err != nil {
		return nil, err
	}
	empty, err := p.processorShare(ctx, s.quiet)
	if err != nil {
		return nil, err
	}
	memory, err := p.memory()
	if err != nil {
		return nil, err
	}
	change, err := p.costOf(ctx, empty, realChangesSent, realChangeEvery, func(i int) { p.list.toggle(i * 7) })
	if err != nil {
		return nil, err
	}
	together, err := p.costOf(ctx, empty, realListsSent, 4*realChangeEvery, func(i int) {
		for j := range changesAtATime {
			p.list.toggle(i*changesAtATime + j)
		}
	})
	if err != nil {
		return nil, err
	}
	whole, err := p.costOf(ctx, empty, realListsSent, 4*realChangeEvery, func(int) { p.list.sendFull() })
	if err != nil {
		return nil, err
	}
	held, err := restWithHeld(ctx, s, p)
	if err != nil {
		return nil, err
	}
	return comparedFigures{"rest": {held - empty}, "change": {change.Seconds()}, "changes": {together.Seconds() / changesAtATime},
		"whole-list": {whole.Seconds()}, "list-memory": {memory.private}}, nil
}

// restWithHeld is the part of a core that a process uses while it holds idle connections.
func restWithHeld(ctx context.Context, s realSettings, p *realProcess) (float64, error) {
	c := &standInClients{to: p.listen, groups: s.Groups}
	defer c.close()
	if err := c.grow(ctx, s.Connections); err != nil {
		return 0, err
	}
	if err := pause(ctx, s.settle()); err != nil {
		return 0, err
	}
	if err := c.speak(ctx); err != nil {
		return 0, err
	}
	return p.processorShare(ctx, s.quiet)
}

func comparedHollow(ctx context.Context, s realSettings, servers int) (comparedFigures, error) {
	figures := comparedFigures{}
	bare, held := placedHollow(s, servers, 0), placedHollow(s, servers, s.Connections)
	for range compareTimes {
		without, _, err := tickCost(ctx, bare)
		if err != nil {
			return nil, err
		}
		with, _, err := tickCost(ctx, held)
		if err != nil {
			return nil, err
		}
		figures["rest"] = append(figures["rest"], (with-without).Seconds()/ticksEvery.Seconds())
	}
	return figures, figures.takeLists(ctx, s.Seed, servers)
}

// takeLists measures what the real reading of the list and the decisions behind it cost in this process.
func (f comparedFigures) takeLists(ctx context.Context, seed uint64, servers int) error {
	taker, err := newListReader(ctx, seed)
	if err != nil {
		return err
	}
	defer taker.close()
	before := liveMemory()
	revision := 1
	if err := taker.take(ctx, [][]byte{fullList(servers, revision).line()}, revision); err != nil {
		return err
	}
	f["list-memory"] = []float64{float64(liveMemory() - before)}
	var fault error
	take := func(objects [][]byte) {
		if fault == nil {
			fault = taker.take(ctx, objects, revision)
		}
	}
	for range compareTimes {
		whole := measure(compareRounds, 1, func() {
			revision++
			take([][]byte{fullList(servers, revision).line()})
		})
		written := measure(compareRounds, 1, func() { fullList(servers, revision).line() })
		change := measure(compareRounds, 1, func() {
			objects := lines(changesOneByOne(spreadOver(servers), revision+1))
			revision += changesAtATime
			take(objects)
		})
		each := change.processor.Seconds() / changesAtATime
		f["change"], f["changes"] = append(f["change"], each), append(f["changes"], each)
		f["whole-list"] = append(f["whole-list"], (whole.processor - written.processor).Seconds())
	}
	return fault
}

// spreadOver are as many servers as changes are told together.
func spreadOver(servers int) (which []int) {
	for i := range changesAtATime {
		which = append(which, i*servers/changesAtATime)
	}
	return which
}

// placedHollow holds connections where its own decisions placed them one by one, as a real process does: spread evenly, as restingHollow
// has them, nearly all of them are found settled without a look.
func placedHollow(s realSettings, servers, connections int) *hollow {
	h := newHollow(s.Seed, terms{peers: s.Balancers})
	h.list(decide.FullUpdate, warmServers(servers, s.Zones))
	for i := range connections {
		h.advance(h.now + time.Millisecond)
		h.place(flowName(i), groupName(i%s.Groups))
	}
	h.advance(h.now + beginning)
	return h
}
