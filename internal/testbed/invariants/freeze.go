package invariants

import (
	"math"
	"time"
)

// resumeAllowance is what a balancer that resumes after a freeze is given for what came due meanwhile.
const resumeAllowance = 250 * time.Millisecond

const stillFrozen = time.Duration(math.MaxInt64)

// freeze is a time in which a balancer's process was stopped.
type freeze struct{ from, to time.Duration }

// Cost is what a killed or frozen balancer cost its clients. No rule counts it: a rule binds a balancer that runs.
type Cost struct {
	Cut            int `json:"cut"`      // established connections of a balancer that was killed
	Unanswered     int `json:"waiting"`  // flows that were owed an answer by one that was killed
	Expired        int `json:"unheard"`  // flows that came due while it was frozen, or just after
	AnsweredLate   int `json:"too_late"` // expired flows that it answered when it resumed
	SentLate       int `json:"sent"`     // connects for expired flows, sent before it could see that they had expired
	AcceptedFrozen int `json:"asked"`    // flows that its system accepted while it was frozen
}

// Costs of balancers that were killed or frozen.
func (c *Checker) Costs() map[Balancer]Cost {
	all := map[Balancer]Cost{}
	for balancer, cost := range c.costs {
		all[balancer] = *cost
	}
	return all
}

func (c *Checker) cost(b Balancer) *Cost {
	if c.costs[b] == nil {
		c.costs[b] = &Cost{}
	}
	return c.costs[b]
}

// isFrozen reports whether a balancer is frozen now.
func (c *Checker) isFrozen(b Balancer) bool {
	freezes := c.freezes[b]
	return len(freezes) > 0 && freezes[len(freezes)-1].to == stillFrozen
}

// frozen reports whether a balancer was frozen at some time of a span, and until when. One that resumed early enough before the end of the
// span is not excused.
func (c *Checker) frozen(b Balancer, from, to time.Duration) (until time.Duration, wasFrozen bool) {
	for _, f := range c.freezes[b] {
		overlaps := f.from <= to && f.to >= from
		if overlaps && (f.to == stillFrozen || f.to+resumeAllowance > to) {
			until, wasFrozen = max(until, f.to), true
		}
	}
	return until, wasFrozen
}

// resumedAt is when a balancer resumed that was frozen at a time; the time itself where it was not.
func (c *Checker) resumedAt(b Balancer, at time.Duration) time.Duration {
	for _, f := range c.freezes[b] {
		if f.from <= at && f.to > at && f.to != stillFrozen {
			return f.to
		}
	}
	return at
}

// resumeBalancer ends a balancer's freeze. Announcements that came meanwhile bind it from now on, as it could not read them before.
func (c *Checker) resumeBalancer(e Event) {
	if !c.isFrozen(e.Balancer) {
		return
	}
	freezes := c.freezes[e.Balancer]
	last := &freezes[len(freezes)-1]
	last.to = e.At
	for key, a := range c.announcements {
		if key.balancer == e.Balancer && a.at >= last.from {
			a.at = e.At
			c.announcements[key] = a
		}
	}
}
