package invariants

import (
	"time"
)

// thawRoom is what a balancer that runs on after a freeze is given for what came due meanwhile.
const thawRoom = 250 * time.Millisecond

// absence is a time in which a balancer was frozen.
type absence struct{ from, to time.Duration }

const stillAway = time.Duration(1<<63 - 1)

// Cost is what a killed or frozen balancer cost its clients. No rule counts it: a rule binds a balancer that runs.
type Cost struct {
	Cut      int `json:"cut"`      // connections that stood at one that was killed
	Waiting  int `json:"waiting"`  // flows owed an answer by one that was killed
	Unheard  int `json:"unheard"`  // flows that came due while it was frozen, or just after
	TooLate  int `json:"too_late"` // answers that it gave to those when it ran on; they are none
	Sent     int `json:"sent"`     // connects for those, sent before it could see that they were over
	AskedFor int `json:"asked"`    // flows that were taken while it was frozen
}

// Costs of balancers that were killed or frozen.
func (r *Referee) Costs() map[Balancer]Cost {
	all := map[Balancer]Cost{}
	for b, c := range r.costs {
		all[b] = *c
	}
	return all
}

func (r *Referee) cost(b Balancer) *Cost {
	if r.costs[b] == nil {
		r.costs[b] = &Cost{}
	}
	return r.costs[b]
}

// frozen tells whether a balancer was away at some time of a span, and until when; one that ran on early enough before the end of
// the span is not excused.
func (r *Referee) frozen(b Balancer, from, to time.Duration) (until time.Duration, was bool) {
	for _, a := range r.away[b] {
		if a.from <= to && a.to >= from && (a.to == stillAway || a.to+thawRoom > to) {
			until, was = max(until, a.to), true
		}
	}
	return until, was
}

// ranOn is when a balancer last ran on that was frozen at a time; the time itself where it was not.
func (r *Referee) ranOn(b Balancer, at time.Duration) time.Duration {
	for _, a := range r.away[b] {
		if a.from <= at && a.to > at && a.to != stillAway {
			return a.to
		}
	}
	return at
}

// runs ends a balancer's absence. What it was told meanwhile binds it from now on, as it could not hear before.
func (r *Referee) runs(e Event) {
	spans := r.away[e.Balancer]
	if len(spans) == 0 || spans[len(spans)-1].to != stillAway {
		return
	}
	last := &spans[len(spans)-1]
	last.to = e.At
	for k, t := range r.told {
		if k.b == e.Balancer && t.at >= last.from {
			t.at = e.At
			r.told[k] = t
		}
	}
}
