package invariants

import (
	"slices"
	"time"
)

func (c *Checker) sendConnect(e Event, f *flow) {
	c.checkDrain(e)
	if f == nil {
		c.reportConnect(e, OneAnswer, "connect sent for an unknown flow", e)
		return
	}
	c.checkSendByState(e, f)
	if len(f.outstanding) > 0 {
		f.overlapping = append(f.overlapping, e)
		c.scheduleReview(e.Flow, e.At+c.limits.Slack+1)
	} else if f.firstRun != nil {
		c.checkRetry(e, f)
	}
	f.outstanding = append(f.outstanding, e)
	f.sends[e.Connect] = e
}

// checkSendByState reports connects for flows that are answered, or whose client left so long ago that the balancer must have noticed.
func (c *Checker) checkSendByState(e Event, f *flow) {
	switch f.state {
	case answered, established, ended:
		c.reportConnect(e, OneAnswer, "connect sent after the final answer", f.accepted, f.answer, e)
	case abandoned:
		if e.At > c.resumedAt(e.Balancer, f.clientLeftAt)+c.limits.Slack {
			c.reportConnect(e, OneAnswer, "connect sent after the client left", f.accepted, e)
		}
		if f.excused {
			c.cost(e.Balancer).SentLate++
		}
	}
}

// checkRetry reports a connect that follows one that may have run, if the flow must not run again there.
func (c *Checker) checkRetry(e Event, f *flow) {
	if what := retryViolation(e, f, c.limits.Slack); what != "" {
		c.reportConnect(e, NoDuplicateEffect, what, f.accepted, *f.firstRun, e)
	}
}

// retryViolation describes what is wrong with a connect that follows one that may have run; empty if it is allowed.
func retryViolation(e Event, f *flow, slack time.Duration) string {
	accepted := f.accepted
	isOutOfScope := accepted.KeyScope == ZoneServers && e.Zone != f.firstRun.Zone ||
		accepted.KeyScope == CellServers && e.Cell != f.firstRun.Cell
	switch {
	case accepted.Effect == NotIdempotent:
		return "non-idempotent flow sent again though it may have run"
	case accepted.Effect == IdempotentByKey && e.At > f.firstRun.At+accepted.KeyWindow+slack:
		return "flow with an idempotency key sent again after its deduplication window"
	case accepted.Effect == IdempotentByKey && isOutOfScope:
		return "flow with an idempotency key sent again outside its deduplication scope"
	}
	return ""
}

func (c *Checker) endConnect(e Event, f *flow) {
	if f == nil {
		return
	}
	f.outstanding = slices.DeleteFunc(f.outstanding, func(sent Event) bool { return sent.Connect == e.Connect })
	f.overlapping = slices.DeleteFunc(f.overlapping, func(sent Event) bool {
		if !c.endsOverlap(e, sent, f) {
			return false
		}
		if f.firstRun != nil {
			c.checkRetry(sent, f)
		}
		return true
	})
	if sent, known := f.sends[e.Connect]; known && e.MayHaveRun && f.firstRun == nil {
		f.firstRun = &sent
	}
}

// endsOverlap reports whether the end of a connect shows that a later connect need not have overlapped with the earlier ones: all earlier
// ones have ended within the slack after the later one was sent, so that their ends may only have been observed late.
func (c *Checker) endsOverlap(end, sent Event, f *flow) bool {
	isEarlier := func(other Event) bool { return other.Connect < sent.Connect }
	return sent.Connect != end.Connect && end.At <= sent.At+c.limits.Slack && !slices.ContainsFunc(f.outstanding, isEarlier)
}

// checkOverlaps reports connects that were sent while another was outstanding, once the slack for observing the other's end has passed.
func (c *Checker) checkOverlaps(id Flow, f *flow, now time.Duration) {
	f.overlapping = slices.DeleteFunc(f.overlapping, func(sent Event) bool {
		if now <= sent.At+c.limits.Slack {
			return false
		}
		first := sent
		if len(f.outstanding) > 0 {
			first = f.outstanding[0]
		}
		c.report(Violation{
			Rule:        NoDuplicateEffect,
			At:          sent.At,
			Balancer:    sent.Balancer,
			Flow:        id,
			Server:      sent.Server,
			Description: "two connects outstanding",
		}, f.accepted, first, sent)
		return true
	})
}
