package locality

import (
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// turn makes every change of a hall's state.
func (h *Policy) turn(x *hall, to State, why constraints.Reason) {
	if x.state == to {
		return
	}
	was := x.state
	x.state, x.why, x.since, x.coin = to, why, h.now, h.rng.Float64()
	switch to {
	case Unavailable:
		// Lost again soon after its return: it comes back more gently each time.
		if was == Recovering || x.lastReturn > 0 && h.now-x.lastReturn < flapAgain {
			x.gentler = min(2*x.gentler, flapMost)
		} else {
			x.gentler = 1
		}
		x.pause = firstPause
		x.retryAt, x.trial = h.now+h.jitter(x.pause), ""
	case Recovering:
		x.step, x.stepAt, x.sent, x.lastReturn = 0, h.now, 0, h.now
		x.results = nil // what was seen before says nothing of those that came up now
	case Healthy:
		x.sent = 0
	}
}

// jitter spreads what many balancers do for the same cause.
func (h *Policy) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + h.rng.Float64()))
}

func (h *Policy) noneWell() bool {
	return !slices.ContainsFunc(h.order, func(x *hall) bool { return x.state == Healthy })
}

// see takes one result and judges its hall by those of the last seconds.
func (h *Policy) see(x *hall, r result) {
	if len(x.results) >= kept {
		x.results = append(x.results[:0], x.results[len(x.results)-kept+1:]...)
	}
	x.results = append(x.results, r)
	if r.good || x.state == Unavailable {
		return
	}
	// A few bad servers are not a bad hall: nobody at all must have been met there of late, at several servers, as
	// many as a hall of its size can show.
	bad, n := map[decide.ServerID]bool{}, 0
	elsewhere := h.goodElsewhere(x)
	for _, p := range slices.Backward(x.results) {
		if p.good || h.now-p.at >= evidence {
			break
		}
		if !p.weak || elsewhere { // else what all share may be slow
			bad[p.server] = true
			n++
		}
	}
	want := min(max((x.ready+2)/3, 2), 4)
	if x.state == Recovering {
		want = min(want, 2)
	}
	if len(bad) >= min(want, max(x.ready, 1)) && n >= 2 {
		h.turn(x, Unavailable, "nobody was met there")
	}
}

// goodElsewhere: set-ups stand in another hall.
func (h *Policy) goodElsewhere(than *hall) bool {
	for _, x := range h.order {
		if x != than && slices.ContainsFunc(x.results, func(r result) bool { return r.good && h.now-r.at < evidence }) {
			return true
		}
	}
	return false
}

// goOn takes a returning hall to its next step when the time has come and set-ups there go well. While they are slow in
// every hall that says nothing of this one, and it waits.
func (h *Policy) goOn(x *hall) {
	length := time.Duration(float64(h.warm) / steps * x.gentler)
	in := h.now - x.stepAt
	if in < length || in < holdMost*length && h.slowIn(x) {
		return
	}
	x.stepAt = h.now
	if x.step++; x.step == steps {
		h.turn(x, Healthy, "")
	}
}

// slowIn: most of the last set-ups in a hall took longer than wanted.
func (h *Policy) slowIn(x *hall) bool {
	slow, n := 0, 0
	for _, r := range x.results {
		if h.now-r.at < evidence {
			n++
			if !r.good || r.took > h.target {
				slow++
			}
		}
	}
	return n > 0 && 2*slow > n
}
