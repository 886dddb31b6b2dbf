package scale

import (
	"context"
	"fmt"
	"time"
)

func init() {
	register("faults", faultsSweep, sweepInput{
		against: []string{keyConnections},
		keys:    []string{keyBalancers, keyServers, keyConnections, keyGroups, keyZones},
	})
}

// faultOutcome is the result of running a fault.
type faultOutcome struct {
	stats        fleetStats
	processor    time.Duration // of the whole run: balancers, simulation and invariant checker
	unserved     int           // clients without a connection at the end
	checkedFlows int
	violations   []string
}

// faultsSweep runs each fault on a simulated fleet, under the invariant checker. Sizes are connections per balancer.
func faultsSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	var all []Series
	var checks []Check
	for i, one := range faults {
		set := newFaultSeries(s, one.name)
		for j, size := range s.Sizes {
			o, err := one.run(ctx, s.withSize(size), s.Seed)
			if err != nil {
				return nil, nil, err
			}
			set.add(size, o.values()...)
			checks = append(checks, o.check(one.name, size))
			progress(i*len(s.Sizes)+j+1, len(faults)*len(s.Sizes))
		}
		all = append(all, set.all()...)
	}
	return all, checks, nil
}

// run runs a fault with the settings of one size.
func (x fault) run(ctx context.Context, s Settings, seed uint64) (o faultOutcome, err error) {
	all := s.Balancers // decisions depend on the size of the fleet, even if only one balancer is simulated
	if x.settings != nil {
		s = x.settings(s)
	}
	from := processorTime()
	f := newFleet(s, all, seed)
	if x.fill != nil {
		x.fill(f)
	} else {
		f.fillEvenly()
	}
	x.begin(f)
	f.run(faultLength, func() bool { return ctx.Err() != nil })
	if err := ctx.Err(); err != nil {
		return o, err
	}
	o.stats = f.stats
	o.unserved = f.unservedClients()
	for _, v := range f.violations() {
		o.violations = append(o.violations, v.String())
	}
	o.checkedFlows = f.checker.CheckedFlows
	o.processor = processorTime() - from
	return o, nil
}

func (o faultOutcome) check(name string, size int) Check {
	c := Check{
		Name:   fmt.Sprintf("%s, %d connections a balancer: no rule is broken", name, size),
		Passed: len(o.violations) == 0,
		Detail: fmt.Sprintf("%d flows judged", o.checkedFlows),
	}
	if !c.Passed {
		c.Detail = fmt.Sprintf("%d of %d flows judged; the first: %s", len(o.violations), o.checkedFlows, o.violations[0])
	}
	return c
}

// Series that all sweeps with faults of a simulated fleet have.
var (
	slowestSetupKind = seriesKind{
		name: "slowest-setup", unit: "s", origin: Simulated, counted: true,
		quantity: "longest setup of an established flow",
	}
	busiestBalancerKind = seriesKind{
		name: "busiest", unit: "connects", origin: Simulated, counted: true,
		quantity: "connects that the busiest balancer sent in one second",
	}
	unservedClientsKind = seriesKind{
		name: "unserved", unit: "clients", origin: Simulated, counted: true,
		quantity: "clients without a connection at the end",
	}
)

// newFaultSeries creates the series of one fault, in the order of faultOutcome.values.
func newFaultSeries(s Settings, name string) seriesSet {
	newSeries := seriesFactory(s, "faults."+name, roleControl)
	return seriesSet{
		newSeries(seriesKind{name: "cut", quantity: "clients disconnected", unit: "clients", origin: Simulated, counted: true}),
		newSeries(seriesKind{name: "moved", quantity: "connections asked to migrate", unit: "connections", origin: Simulated, counted: true}),
		newSeries(seriesKind{name: "turned-away", quantity: "flows rejected or aborted", unit: "flows", origin: Simulated, counted: true}),
		newSeries(seriesKind{
			name: "back-after", unit: "s", origin: Simulated, counted: true,
			quantity: "from the fault until 99 in 100 of the disconnected clients were established again",
		}),
		newSeries(slowestSetupKind),
		newSeries(busiestBalancerKind),
		newSeries(unservedClientsKind),
		newSeries(seriesKind{
			name: "processor-time", unit: "s", origin: Simulated,
			quantity: "processor time of the whole run of 60 s, model and invariant checker included",
		}),
	}
}

func (o faultOutcome) values() []float64 {
	return []float64{
		float64(o.stats.disconnected),
		float64(o.stats.migrated),
		float64(o.stats.rejected + o.stats.aborted),
		o.stats.recoveryQuantile(0.99).Seconds(),
		o.stats.slowestSetup.Seconds(),
		float64(o.stats.busiestConnects()),
		float64(o.unserved),
		o.processor.Seconds(),
	}
}
