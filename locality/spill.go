package locality

import (
	"math"
	"time"

	"yardwinch/decide"
)

// learn follows what is usual: all own flows a unit of size in the nearest tier, where they belong. A rise counts only
// while that tier is in time, or an overload would soon be held to be usual; nothing is learnt while it is not well.
func (h *Policy) learn(dt time.Duration) {
	at, ok := h.now0()
	if !ok || dt <= 0 {
		return
	}
	in := fallIn
	if at > h.perSize {
		if in = riseIn; h.hotShare(0) >= 0.5 {
			return
		}
	}
	h.learnt += dt
	h.perSize += (at - h.perSize) * (1 - math.Exp(-dt.Seconds()/in.Seconds()))
}

// now0 is own flows a unit of size in the nearest tier now; false while that is not well.
func (h *Policy) now0() (float64, bool) {
	n, size, ok := 0, 0.0, true
	for _, x := range h.order {
		n += x.own
		if x.tier == 0 {
			size += x.size
			ok = ok && x.state == Healthy
		}
	}
	return float64(n) / max(size, 1e-9), ok && size > 0
}

// hotShare is how many of the servers of a tier that hold own flows were late a moment ago.
func (h *Policy) hotShare(tier int) float64 {
	hot, all := 0.0, 0.0
	for _, x := range h.order {
		if x.tier != tier {
			continue
		}
		for _, s := range x.servers {
			if s.state == decide.Ready {
				all++
				if s.lateAt > 0 && h.now-s.lateAt < lateOf {
					hot++
				}
			}
		}
	}
	return hot / max(all, 1)
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// usual is what this balancer would hold in a hall of that size if it were its own. One that started of late knows only
// what it holds by now.
func (h *Policy) usual(x *hall) float64 {
	at := h.perSize
	if !h.known() {
		n := 0
		for _, o := range h.order {
			n += o.own
		}
		at = max(at, float64(n+1)/max(h.nearSize(), 1))
	}
	return at * x.size
}

func (h *Policy) known() bool { return h.learnt >= knownAfter }

// SpillLimit is how many flows this balancer may have in another hall. While it does not know what is usual it has none
// of its own: the halls carried the same clients before they came here.
func (h *Policy) SpillLimit(z decide.Zone) float64 {
	if !h.known() {
		return math.Inf(1)
	}
	return h.spill * h.usual(h.hall(z))
}

// Spilled is how many it has there.
func (h *Policy) Spilled(z decide.Zone) int { return h.hall(z).own }

func (h *Policy) nearest() (n float64) {
	for _, x := range h.order {
		if x.tier == 0 {
			n += float64(x.own)
		}
	}
	return n
}

func (h *Policy) nearSize() (n float64) {
	for _, x := range h.order {
		if x.tier == 0 {
			n += x.size
		}
	}
	return n
}
