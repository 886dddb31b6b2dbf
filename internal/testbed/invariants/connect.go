package invariants

import (
	"slices"
	"time"
)

func (c *Checker) sendConnect(e Event, f *flow) {
	c.judgeDrain(e)
	if f == nil {
		c.reportOf(e, OneAnswer, "sent for a flow not held", e)
		return
	}
	c.judgeSendByState(e, f)
	if len(f.outstanding) > 0 {
		f.overlapping = append(f.overlapping, e)
		c.scheduleReview(e.Flow, e.At+c.limits.Slack+1)
	} else if f.firstRun != nil {
		c.judgeRetry(e, f)
	}
	f.outstanding = append(f.outstanding, e)
	f.sends[e.Connect] = e
}

// judgeSendByState finds connects for flows that are answered, or whose client left too long ago for the balancer not to know.
func (c *Checker) judgeSendByState(e Event, f *flow) {
	switch f.state {
	case answered, established, over:
		c.reportOf(e, OneAnswer, "sent after the answer", f.accepted, f.answer, e)
	case abandoned:
		if e.At > c.resumedAt(e.Balancer, f.clientLeftAt)+c.limits.Slack {
			c.reportOf(e, OneAnswer, "sent after the end", f.accepted, e)
		}
		if f.excused {
			c.cost(e.Balancer).SentLate++
		}
	}
}

// judgeRetry judges a connect after one that may have run.
func (c *Checker) judgeRetry(e Event, f *flow) {
	if what := retryFault(e, f, c.limits.Slack); what != "" {
		c.reportOf(e, NoDuplicateEffect, what, f.accepted, *f.firstRun, e)
	}
}

// retryFault is what is wrong with a connect after one that may have run; empty where nothing is.
func retryFault(e Event, f *flow, slack time.Duration) string {
	accepted := f.accepted
	isOutOfScope := accepted.KeyScope == ZoneServers && e.Zone != f.firstRun.Zone ||
		accepted.KeyScope == CellServers && e.Cell != f.firstRun.Cell
	switch {
	case accepted.Effect == NotIdempotent:
		return "a once-only flow sent again though it may have run"
	case accepted.Effect == IdempotentByKey && e.At > f.firstRun.At+accepted.KeyWindow+slack:
		return "a referenced flow sent again after its window"
	case accepted.Effect == IdempotentByKey && isOutOfScope:
		return "a referenced flow sent again outside its group"
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
			c.judgeRetry(sent, f)
		}
		return true
	})
	if sent, known := f.sends[e.Connect]; known && e.MayHaveRun && f.firstRun == nil {
		f.firstRun = &sent
	}
}

// endsOverlap reports whether the end of a connect shows that another one did not overlap with those before it: they ended soon enough
// after it was sent for their ends to have been seen late.
func (c *Checker) endsOverlap(end, sent Event, f *flow) bool {
	isEarlier := func(other Event) bool { return other.Connect < sent.Connect }
	return sent.Connect != end.Connect && end.At <= sent.At+c.limits.Slack && !slices.ContainsFunc(f.outstanding, isEarlier)
}

// judgeOverlaps reports connects that were sent while another was outstanding, once the slack for the end of that one has passed.
func (c *Checker) judgeOverlaps(id Flow, f *flow, now time.Duration) {
	f.overlapping = slices.DeleteFunc(f.overlapping, func(sent Event) bool {
		if now <= sent.At+c.limits.Slack {
			return false
		}
		first := sent
		if len(f.outstanding) > 0 {
			first = f.outstanding[0]
		}
		c.report(Violation{
			Rule:     NoDuplicateEffect,
			At:       sent.At,
			Balancer: sent.Balancer,
			Flow:     id,
			Server:   sent.Server,
			What:     "two connects out",
		}, f.accepted, first, sent)
		return true
	})
}
