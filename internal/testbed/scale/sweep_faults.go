package scale

import (
	"context"
	"fmt"
	"time"
)

func init() {
	register("faults", faultsSweep, input{
		against: []string{byConnections},
		keys:    []string{byBalancers, byServers, byConnections, byGroups, byZones},
	})
}

// outcome is what a fault came to.
type outcome struct {
	figures   figures
	processor time.Duration // of the whole run: all balancers, the model of what is round them, and the referee
	unserved  int           // clients without a connection at the end
	judged    int
	broken    []string
}

// faultsSweep plays each fault on a hollow fleet that holds so many connections a balancer, under the referee.
func faultsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	var all []Series
	var checks []Check
	for i, one := range faults {
		points := seriesOfFault(s, one.name)
		for j, size := range s.Sizes {
			o, err := one.play(ctx, s.at(size), s.Seed)
			if err != nil {
				return nil, nil, err
			}
			points.add(size, o)
			checks = append(checks, o.check(one.name, size))
			progress(i*len(s.Sizes)+j+1, len(faults)*len(s.Sizes))
		}
		for _, series := range points {
			all = append(all, *series)
		}
	}
	return all, checks, nil
}

// play runs a fault of one size.
func (x fault) play(ctx context.Context, s Settings, seed uint64) (o outcome, err error) {
	all := s.Balancers // the decisions go by how many the fleet has, also where one is played alone
	if x.shape != nil {
		s = x.shape(s)
	}
	from := processorTime()
	f := newFleet(s, all, seed)
	if x.fill != nil {
		x.fill(f)
	} else {
		f.restingFill()
	}
	x.begin(f)
	f.run(faultLength, func() bool { return ctx.Err() != nil })
	if err := ctx.Err(); err != nil {
		return o, err
	}
	o.figures, o.unserved = f.figures, f.out()
	for _, v := range f.finish() {
		o.broken = append(o.broken, v.String())
	}
	o.judged = f.checker.Judged
	o.processor = processorTime() - from
	return o, nil
}

func (o outcome) check(name string, size int) Check {
	c := Check{
		Name:   fmt.Sprintf("%s, %d connections a balancer: no rule is broken", name, size),
		Held:   len(o.broken) == 0,
		Detail: fmt.Sprintf("%d flows judged", o.judged),
	}
	if !c.Held {
		c.Detail = fmt.Sprintf("%d of %d flows judged; the first: %s", len(o.broken), o.judged, o.broken[0])
	}
	return c
}

// faultSeries are those of one fault.
type faultSeries []*Series

func seriesOfFault(s Settings, name string) faultSeries {
	form := seriesOf(s, "faults."+name, roleControl)
	return faultSeries{
		form("cut", "clients cut off", "clients", Simulated, true),
		form("moved", "connections asked to move", "connections", Simulated, true),
		form("turned-away", "flows rejected or aborted", "flows", Simulated, true),
		form("back-after", "from the fault until 99 in 100 of the clients that were cut stood again", "s", Simulated, true),
		form("slowest-setup", "the longest set-up of all that came to stand", "s", Simulated, true),
		form("busiest", "connects that the busiest balancer sent in one second", "connects", Simulated, true),
		form("unserved", "clients without a connection at the end", "clients", Simulated, true),
		form("processor-time", "processor time of the whole run of 60 s, model and referee included", "s", Simulated, false),
	}
}

func (f faultSeries) add(size int, o outcome) {
	for i, value := range []float64{
		float64(o.figures.cut),
		float64(o.figures.moved),
		float64(o.figures.rejected + o.figures.aborted),
		o.figures.backAfter(0.99).Seconds(),
		o.figures.slowestSetup.Seconds(),
		float64(o.figures.busiest()),
		float64(o.unserved),
		o.processor.Seconds(),
	} {
		f[i].add(size, value)
	}
}
