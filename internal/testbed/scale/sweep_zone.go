package scale

import (
	"context"
	"time"
)

func init() {
	register("lost-zone", lostZoneSweep, sweepInput{
		against: []string{keyConnections},
		keys:    []string{keyBalancers, keyServers, keyConnections, keyGroups, keyZones},
	})
}

const lostZoneLength = 90 * time.Second

// newLostZoneSeries creates the sweep's series, in the order in which lostZoneSweep adds values.
func newLostZoneSeries(s Settings) seriesSet {
	newSeries := seriesFactory(s, "lost-zone", roleControl)
	return seriesSet{
		newSeries(seriesKind{
			name: "clients", unit: "clients", origin: Simulated, counted: true,
			quantity: "clients disconnected, for each surviving balancer",
		}),
		newSeries(seriesKind{
			name: "half-back", unit: "s", origin: Simulated, counted: true,
			quantity: "from the loss until half of the disconnected clients were established again",
		}),
		newSeries(seriesKind{
			name: "most-back", unit: "s", origin: Simulated, counted: true,
			quantity: "from the loss until 99 in 100 of them were",
		}),
		newSeries(seriesKind{
			name: "turned-away", unit: "tries", origin: Simulated, counted: true,
			quantity: "attempts rejected or aborted, for each disconnected client",
		}),
		newSeries(slowestSetupKind),
		newSeries(busiestBalancerKind),
		newSeries(seriesKind{
			name: "processor-share", unit: "cores", origin: Simulated,
			quantity: "share of a core in the busiest second, at each balancer, with the model included: an upper bound",
		}),
		newSeries(unservedClientsKind),
	}
}

// lostZoneSweep stops a zone for good and measures when the disconnected clients are established again. The balancers
// are configured for the planned fleet, so that each limits its setups in flight as it would there.
func lostZoneSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	set := newLostZoneSeries(s)
	var checks []Check
	for i, size := range s.Sizes {
		f, violations, err := simulateZoneLoss(ctx, s.withSize(size))
		if err != nil {
			return nil, nil, err
		}
		stats := f.stats
		surviving := 0
		for _, b := range f.balancers {
			if b.up {
				surviving++
			}
		}
		set.add(size,
			float64(stats.disconnected)/float64(surviving),
			stats.recoveryQuantile(0.5).Seconds(),
			stats.recoveryQuantile(0.99).Seconds(),
			float64(stats.rejected+stats.aborted)/float64(max(stats.disconnected, 1)),
			stats.slowestSetup.Seconds(),
			float64(stats.busiestConnects()),
			f.busiestSecond.Seconds()/float64(surviving),
			float64(f.unservedClients()),
		)
		checks = append(checks, faultOutcome{checkedFlows: f.checker.CheckedFlows, violations: violations}.check("lost zone", size))
		progress(i+1, len(s.Sizes))
	}
	return set.all(), checks, nil
}

// simulateZoneLoss runs the loss of a zone and returns the fleet and the violated invariants.
func simulateZoneLoss(ctx context.Context, s Settings) (f *fleet, violations []string, err error) {
	f = newFleet(s, defaultPeers, s.Seed)
	f.fillEvenly()
	f.scheduleLoss(isInLostZone)
	f.run(lostZoneLength, func() bool { return ctx.Err() != nil })
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	for _, v := range f.violations() {
		violations = append(violations, v.String())
	}
	return f, violations, nil
}
