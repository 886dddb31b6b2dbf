package locality

import (
	"math"
	"time"

	"yardwinch/decide"
)

// The usual load, and the limits on spillover and surge that are derived from it.

const (
	riseTimeConstant = 4 * time.Second  // of the moving average while the load rises
	fallTimeConstant = 60 * time.Second // the same while it falls
	learningTime     = 10 * time.Second // after which the usual load counts as known
	lateMaxAge       = 3 * time.Second  // how long a server counts as late after a late message
	lateShare        = 0.5              // of the nearest tier's servers, from which that tier counts as overloaded
	minSize          = 1e-9             // a divisor when there are no servers
)

// updateUsualLoad updates the usual load, a moving average of all own flows per unit of size of the nearest tier. It
// follows a rise only while that tier is not overloaded, as an overload would become usual otherwise, and it does not
// change while the tier is not healthy.
func (p *Policy) updateUsualLoad(elapsed time.Duration) {
	current, ok := p.currentPerSize()
	if !ok || elapsed <= 0 {
		return
	}
	timeConstant := fallTimeConstant
	if current > p.usualPerSize {
		timeConstant = riseTimeConstant
		if p.nearestLateShare() >= lateShare {
			return
		}
	}
	p.learnedFor += elapsed
	p.usualPerSize += (current - p.usualPerSize) * (1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
}

func (p *Policy) isUsualLoadKnown() bool { return p.learnedFor >= learningTime }

// currentPerSize returns all own flows, in any locality, per unit of size of the nearest tier now; false while that tier is
// not healthy.
func (p *Policy) currentPerSize() (perSize float64, ok bool) {
	size := 0.0
	isHealthy := true
	for _, l := range p.ordered {
		if l.tier == 0 {
			size += l.size
			isHealthy = isHealthy && l.state == Healthy
		}
	}
	return float64(p.ownFlows()) / max(size, minSize), isHealthy && size > 0
}

// nearestLateShare returns the share of the nearest tier's ready servers at which a message was late recently.
func (p *Policy) nearestLateShare() float64 {
	late, ready := 0.0, 0.0
	for _, l := range p.ordered {
		if l.tier != 0 {
			continue
		}
		for _, s := range l.servers {
			if s.readiness != decide.Ready {
				continue
			}
			ready++
			if s.lateAt > 0 && p.now-s.lateAt < lateMaxAge {
				late++
			}
		}
	}
	return late / max(ready, 1)
}

// usualFlows returns how many flows this balancer would usually have in a locality if that were its nearest one. While
// the usual load is not known yet, the estimate is no lower than the present load with one more flow.
func (p *Policy) usualFlows(l *locality) float64 {
	perSize := p.usualPerSize
	if !p.isUsualLoadKnown() {
		perSize = max(perSize, float64(p.ownFlows()+1)/max(p.nearestSize(), 1))
	}
	return perSize * l.size
}

// SpillLimit returns how many flows this balancer may have in a locality of another tier. There is no limit while the
// usual load is not known: a balancer that just started would otherwise reject clients that these localities served before.
func (p *Policy) SpillLimit(zone decide.Zone) float64 {
	if !p.isUsualLoadKnown() {
		return math.Inf(1)
	}
	return p.config.Spill * p.usualFlows(p.locality(zone))
}

// FlowsIn returns how many flows this balancer has in a locality.
func (p *Policy) FlowsIn(zone decide.Zone) int { return p.locality(zone).ownFlows }

// exceedsSurge reports whether one more flow in the nearest tier would exceed its usual flows by more than the surge
// allows.
func (p *Policy) exceedsSurge() bool {
	surge := p.config.Surge
	return surge > 0 && p.isUsualLoadKnown() && p.nearestFlows()+1 > (1+surge)*p.usualPerSize*p.nearestSize()+1
}

func (p *Policy) ownFlows() (n int) {
	for _, l := range p.ordered {
		n += l.ownFlows
	}
	return n
}

func (p *Policy) nearestFlows() (n float64) {
	for _, l := range p.ordered {
		if l.tier == 0 {
			n += float64(l.ownFlows)
		}
	}
	return n
}

func (p *Policy) nearestSize() (size float64) {
	for _, l := range p.ordered {
		if l.tier == 0 {
			size += l.size
		}
	}
	return size
}
