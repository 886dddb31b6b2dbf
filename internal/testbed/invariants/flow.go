package invariants

import (
	"container/heap"
	"slices"
	"time"
)

const (
	settledFor  = 10 * time.Second // time after which no further events of an ended flow are expected
	reviewDelay = 11 * time.Second // until the checker tries again to forget a flow
)

// flowState is the state of a flow according to the observed events.
type flowState int

const (
	awaitingAnswer flowState = iota
	established
	answered  // rejected or aborted, or its answer was reported missing
	abandoned // its client left before the answer
	ended
)

type flow struct {
	state        flowState
	changedAt    time.Duration // when the state last changed
	accepted     Event
	answer       Event // At is 0 if there was none
	clientLeftAt time.Duration
	excused      bool // its deadline passed while its balancer was frozen

	outstanding []Event           // connects that were sent and have not ended
	overlapping []Event           // connects sent while another was outstanding; a violation unless that one ends within the slack
	sends       map[Connect]Event // the send events of all connects
	firstRun    *Event            // the send event of the first connect that may have run
}

// transition changes the flow's state. All state changes go through it.
func (f *flow) transition(to flowState, at time.Duration) { f.state, f.changedAt = to, at }

func sortedFlows(flows map[Flow]*flow) []Flow {
	ids := make([]Flow, 0, len(flows))
	for id := range flows {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// forget removes a flow of which no further events are expected, which bounds the memory of a long run. Otherwise it schedules another
// review, unless the flow is established.
func (c *Checker) forget(id Flow, f *flow) {
	isDone := f.state == ended || f.state == answered || f.state == abandoned
	isQuiet := c.now > f.changedAt+settledFor && c.now > f.accepted.Deadline+settledFor
	if isDone && isQuiet && len(f.outstanding) == 0 && len(f.overlapping) == 0 {
		delete(c.flows, id)
		delete(c.byBalancer[f.accepted.Balancer], id)
	} else if f.state != established {
		c.scheduleReview(id, c.now+reviewDelay)
	}
}

func (c *Checker) scheduleReview(id Flow, at time.Duration) {
	heap.Push(&c.reviews, review{at: at, flow: id})
}

func (c *Checker) acceptFlow(e Event) {
	if f := c.flows[e.Flow]; f != nil {
		c.reportAnswer(e, OneAnswer, "accepted twice", f.accepted, e)
		return
	}
	c.CheckedFlows++
	f := &flow{accepted: e, sends: map[Connect]Event{}}
	c.flows[e.Flow] = f
	if c.isFrozen(e.Balancer) {
		c.cost(e.Balancer).AcceptedFrozen++
	}
	if c.byBalancer[e.Balancer] == nil {
		c.byBalancer[e.Balancer] = map[Flow]*flow{}
	}
	c.byBalancer[e.Balancer][e.Flow] = f
	heap.Push(&c.reviews, review{at: e.Deadline + c.limits.Slack, flow: e.Flow, isAnswerDue: true})
}

// leaveFlow records that a client left. A client that left at the deadline or later did so because no answer came; the missing answer
// is still reported.
func (c *Checker) leaveFlow(e Event, f *flow) {
	switch {
	case f == nil:
	case f.state == awaitingAnswer && e.At < f.accepted.Deadline:
		f.clientLeftAt = e.At
		f.transition(abandoned, c.now)
	case f.state == established:
		f.transition(ended, c.now)
	}
}

func (c *Checker) endFlow(e Event, f *flow) {
	if f == nil {
		return
	}
	f.transition(ended, e.At)
	c.scheduleReview(e.Flow, e.At+reviewDelay)
}

func (c *Checker) answerFlow(e Event, f *flow) {
	if f == nil {
		c.reportAnswer(e, OneAnswer, "answer for an unknown flow", e)
		return
	}
	switch f.state {
	case awaitingAnswer:
		c.checkFirstAnswer(e, f)
	case abandoned:
		c.checkAnswerAfterLeaving(e, f)
	case ended:
		c.reportAnswer(e, OneAnswer, "answer after the flow ended", f.accepted, f.answer, e)
	default:
		what := "answered twice"
		if f.answer.At == 0 {
			what = "answered late"
		}
		c.reportAnswer(e, OneAnswer, what, f.accepted, f.answer, e)
	}
}

func (c *Checker) checkFirstAnswer(e Event, f *flow) {
	if e.At > f.accepted.Deadline+c.limits.Slack {
		c.reportAnswer(e, OneAnswer, "answered late", f.accepted, e)
	}
	isHarmless := f.accepted.Effect == Idempotent || f.accepted.Effect == IdempotentByKey && f.accepted.KeyScope == AllServers
	if e.Answer == Rejected && f.firstRun != nil && !isHarmless {
		c.reportAnswer(e, NoDuplicateEffect, "rejected as safe to retry though it may have run", f.accepted, *f.firstRun, e)
	}
	f.answer = e
	if e.Answer == Established {
		f.transition(established, c.now)
	} else {
		f.transition(answered, c.now)
	}
}

// checkAnswerAfterLeaving reports an answer after the client left, unless it may have been on its way, or its balancer was frozen.
func (c *Checker) checkAnswerAfterLeaving(e Event, f *flow) {
	if f.excused {
		c.cost(e.Balancer).AnsweredLate++
	} else if e.At > c.resumedAt(e.Balancer, f.clientLeftAt)+c.limits.Slack {
		c.reportAnswer(e, OneAnswer, "answer after the client left", f.accepted, e)
	}
	f.answer = e
	f.transition(answered, c.now)
}
