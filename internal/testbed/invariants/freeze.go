package invariants

import (
	"math"
	"time"
)

// resumeAllowance is the time after a freeze in which deadlines that pass are excused, so that the balancer can catch up.
const resumeAllowance = 250 * time.Millisecond

const stillFrozen = time.Duration(math.MaxInt64)

// freeze is a time span in which a balancer's process was suspended.
type freeze struct{ from, to time.Duration }

// Cost counts the effects of killing or suspending a balancer on its clients. They are not violations, as the rules apply only to a running
// balancer.
type Cost struct {
	Cut            int `json:"cut"`      // established connections lost when the balancer was killed
	Unanswered     int `json:"waiting"`  // flows without an answer when the balancer was killed
	Expired        int `json:"unheard"`  // flows whose deadline passed while the balancer was suspended, or within resumeAllowance after
	AnsweredLate   int `json:"too_late"` // expired flows that the balancer answered after resuming
	SentLate       int `json:"sent"`     // connects for expired flows; those sent long after resuming are violations, too
	AcceptedFrozen int `json:"asked"`    // flows that the balancer's operating system accepted while it was suspended
}

// Costs returns the costs of the balancers that were killed or suspended.
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

// isFrozen reports whether a balancer is suspended now.
func (c *Checker) isFrozen(b Balancer) bool {
	freezes := c.freezes[b]
	return len(freezes) > 0 && freezes[len(freezes)-1].to == stillFrozen
}

// frozenDuring reports whether a balancer was frozen at some time in a span, and until when. A freeze that ended at least resumeAllowance
// before the end of the span does not count.
func (c *Checker) frozenDuring(b Balancer, from, to time.Duration) (until time.Duration, wasFrozen bool) {
	for _, f := range c.freezes[b] {
		overlaps := f.from <= to && f.to >= from
		if overlaps && (f.to == stillFrozen || f.to+resumeAllowance > to) {
			until, wasFrozen = max(until, f.to), true
		}
	}
	return until, wasFrozen
}

// resumedAt returns the time at which a balancer that was frozen at the time "at" resumed. It returns "at" itself if the balancer was not
// frozen then, or has not resumed yet.
func (c *Checker) resumedAt(b Balancer, at time.Duration) time.Duration {
	for _, f := range c.freezes[b] {
		if f.from <= at && f.to > at && f.to != stillFrozen {
			return f.to
		}
	}
	return at
}

// resumeBalancer ends a balancer's freeze. Announcements made during the freeze count from now on, as the balancer could not read them
// before.
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
