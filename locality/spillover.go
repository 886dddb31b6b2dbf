package locality

import (
	"math"
	"time"

	"yardwinch/decide"
)

// What is usual, and the limits on spillover and surge that follow from it.

const (
	riseTime     = 4 * time.Second  // in which the usual load follows a rise
	fallTime     = 60 * time.Second // and a fall
	learningTime = 10 * time.Second // after which the usual load is known
	lateMaxAge   = 3 * time.Second  // of a late message
	lateShare    = 0.5              // of the nearest tier's servers, from which it is overloaded
	minSize      = 1e-9             // a divisor where there are no servers
)

// learn follows the usual load: all own flows per unit of size in the nearest tier. A rise counts only while that
// tier is not overloaded, or an overload would become usual. Nothing is learned while it is not healthy.
func (p *Policy) learn(elapsed time.Duration) {
	current, ok := p.currentPerSize()
	if !ok || elapsed <= 0 {
		return
	}
	within := fallTime
	if current > p.usualPerSize {
		within = riseTime
		if p.nearestLateShare() >= lateShare {
			return
		}
	}
	p.learnedFor += elapsed
	p.usualPerSize += (current - p.usualPerSize) * (1 - math.Exp(-elapsed.Seconds()/within.Seconds()))
}

func (p *Policy) isUsualKnown() bool { return p.learnedFor >= learningTime }

// currentPerSize is all own flows per unit of size in the nearest tier now; false while that tier is not healthy.
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

// nearestLateShare is the share of the nearest tier's ready servers at which a message was late recently.
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

// usualFlows is how many flows this balancer would hold in a locality if it were its nearest one. A balancer that
// started recently knows only what it holds by now.
func (p *Policy) usualFlows(l *locality) float64 {
	perSize := p.usualPerSize
	if !p.isUsualKnown() {
		perSize = max(perSize, float64(p.ownFlows()+1)/max(p.nearestSize(), 1))
	}
	return perSize * l.size
}

// SpillLimit is how many flows this balancer may have in a locality of another tier. It has no limit while it does not
// know what is usual: the localities carried its clients before it started.
func (p *Policy) SpillLimit(zone decide.Zone) float64 {
	if !p.isUsualKnown() {
		return math.Inf(1)
	}
	return p.config.Spill * p.usualFlows(p.locality(zone))
}

// Spilled is how many flows this balancer has in a locality.
func (p *Policy) Spilled(zone decide.Zone) int { return p.locality(zone).ownFlows }

// exceedsSurge reports whether one more flow in the nearest tier would exceed the surge beyond what is usual there.
func (p *Policy) exceedsSurge() bool {
	surge := p.config.Surge
	return surge > 0 && p.isUsualKnown() && p.nearestFlows()+1 > (1+surge)*p.usualPerSize*p.nearestSize()+1
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
