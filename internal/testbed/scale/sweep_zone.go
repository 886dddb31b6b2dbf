package scale

import (
	"context"
	"time"
)

func init() {
	register("lost-zone", lostZoneSweep, input{
		against: []string{byConnections},
		keys:    []string{byBalancers, byServers, byConnections, byGroups, byZones},
	})
}

const lostZoneLength = 90 * time.Second

// lostZoneSweep takes a zone away and does not give it back: when do its clients stand again? Its balancers take themselves
// for some of the fleet ahead, so that as many set-ups are out as each of them would have.
func lostZoneSweep(ctx context.Context, s Settings, progress Progress) ([]Series, []Check, error) {
	form := seriesOf(s, "lost-zone", roleControl)
	returning := form("clients", "clients cut off, by each balancer that is left", "clients", Simulated, true)
	half := form("half-back", "from the loss until half of the clients that were cut stood again", "s", Simulated, true)
	most := form("most-back", "from the loss until 99 in 100 of them did", "s", Simulated, true)
	turned := form("turned-away", "tries that were rejected or aborted, by each client that was cut", "tries", Simulated, true)
	slowest := form("slowest-setup", "the longest set-up of all that came to stand", "s", Simulated, true)
	busiest := form("busiest", "connects that the busiest balancer sent in one second", "connects", Simulated, true)
	processor := form("processor-share", "of a core in the busiest second, by each balancer, with the model round it: at most that",
		"cores", Simulated, false)
	unserved := form("unserved", "clients without a connection at the end", "clients", Simulated, true)
	var checks []Check
	for i, size := range s.Sizes {
		f, broken, err := loseZone(ctx, s.at(size))
		if err != nil {
			return nil, nil, err
		}
		figures := f.figures
		left := 0
		for _, b := range f.balancers {
			if b.up {
				left++
			}
		}
		returning.add(size, float64(figures.cut)/float64(left))
		half.add(size, figures.backAfter(0.5).Seconds())
		most.add(size, figures.backAfter(0.99).Seconds())
		turned.add(size, float64(figures.rejected+figures.aborted)/float64(max(figures.cut, 1)))
		slowest.add(size, figures.slowestSetup.Seconds())
		busiest.add(size, float64(figures.busiest()))
		processor.add(size, f.busiestSecond.Seconds()/float64(left))
		unserved.add(size, float64(f.out()))
		checks = append(checks, outcome{judged: f.checker.Judged, broken: broken}.check("lost zone", size))
		progress(i+1, len(s.Sizes))
	}
	return []Series{*returning, *half, *most, *turned, *slowest, *busiest, *processor, *unserved}, checks, nil
}

// loseZone plays the loss of a zone.
func loseZone(ctx context.Context, s Settings) (f *fleet, broken []string, err error) {
	f = newFleet(s, peers, s.Seed)
	f.restingFill()
	f.takeAway(inZone)
	f.run(lostZoneLength, func() bool { return ctx.Err() != nil })
	if err := ctx.Err(); err != nil {
		return nil, nil, err
	}
	for _, v := range f.finish() {
		broken = append(broken, v.String())
	}
	return f, broken, nil
}
