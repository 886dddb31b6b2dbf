// Package invariants checks a run against the four rules that a balancer must keep. It uses only observed events, such as messages and
// announcements, and shares no code with a balancer or with the simulated servers.
package invariants

import (
	"container/heap"
	"time"
)

// Limits parametrize the rules.
type Limits struct {
	Slack      time.Duration // tolerance for late answers and connects, for the delay of their observation
	Reordering time.Duration // how long an event is held back in case earlier ones are observed after it
	DrainGrace time.Duration // from the announcement of a drain until no connect may be sent any more

	// All balancers together may send a starting server SlowStartMultiple times its capacity over any SlowStartWindow. Beyond a budget of N
	// connects of the mean load, 2√N + 2 more are attributed to random variation. A server is starting for SlowStart.
	SlowStartMultiple float64 // 0: not checked
	SlowStartWindow   time.Duration
	SlowStart         time.Duration
	MeanLoad          float64 // of a connect, in the unit of capacity
}

// Checker checks events in the order of their times. Where several observers report them, an event may arrive before its cause, so each is
// held back for Limits.Reordering and sorted.
type Checker struct {
	CheckedFlows int // number of flows checked

	limits        Limits
	heldBack      eventQueue
	sequence      uint64 // number of events observed
	now           time.Duration
	flows         map[Flow]*flow
	byBalancer    map[Balancer]map[Flow]*flow
	reviews       reviewQueue
	announcements map[announcementKey]announcement
	starts        map[Server]*serverStart
	freezes       map[Balancer][]freeze
	costs         map[Balancer]*Cost
	violations    []Violation
	omitted       int // number of violations beyond maxViolations
}

// New creates a checker.
func New(limits Limits) *Checker {
	return &Checker{limits: limits, flows: map[Flow]*flow{}, byBalancer: map[Balancer]map[Flow]*flow{},
		announcements: map[announcementKey]announcement{}, starts: map[Server]*serverStart{},
		freezes: map[Balancer][]freeze{}, costs: map[Balancer]*Cost{}}
}

// Observe adds an event. Events may come out of order by up to Limits.Reordering.
func (c *Checker) Observe(e Event) {
	c.sequence++
	heap.Push(&c.heldBack, queuedEvent{e, c.sequence})
}

// Advance checks all events that are old enough that no earlier one can still arrive.
func (c *Checker) Advance(now time.Duration) {
	settled := now - c.limits.Reordering
	for len(c.heldBack) > 0 && c.heldBack[0].At <= settled {
		e := heap.Pop(&c.heldBack).(queuedEvent).Event
		c.runReviews(e.At)
		c.check(e)
	}
	c.runReviews(settled)
}

// Finish checks the events up to end and returns the violations. Later events and deadlines are ignored.
func (c *Checker) Finish(end time.Duration) []Violation {
	c.Advance(end + c.limits.Reordering)
	for _, id := range sortedFlows(c.flows) {
		c.checkOverlaps(id, c.flows[id], end)
	}
	return c.Violations()
}

// runReviews advances the time and runs the reviews that are due by then. A review reports a missing answer if the flow's answer is due.
func (c *Checker) runReviews(now time.Duration) {
	for len(c.reviews) > 0 && c.reviews[0].at < now {
		r := heap.Pop(&c.reviews).(review)
		c.now = max(c.now, r.at) // a review that is scheduled meanwhile then follows this one, even across a long gap between events
		f := c.flows[r.flow]
		if f == nil {
			continue
		}
		c.checkOverlaps(r.flow, f, now)
		if r.isAnswerDue && f.state == awaitingAnswer {
			c.checkMissingAnswer(r, f)
		}
		c.forget(r.flow, f)
	}
	c.now = max(c.now, now)
}

// checkMissingAnswer reports a flow that was not answered by its deadline, unless its balancer was frozen.
func (c *Checker) checkMissingAnswer(r review, f *flow) {
	if _, wasFrozen := c.frozenDuring(f.accepted.Balancer, f.accepted.At, f.accepted.Deadline); wasFrozen {
		c.cost(f.accepted.Balancer).Expired++
		f.clientLeftAt, f.excused = f.accepted.Deadline, true
		f.transition(abandoned, c.now)
		return
	}
	c.report(Violation{Rule: OneAnswer, At: r.at, Balancer: f.accepted.Balancer, Flow: r.flow, Description: "no answer in time"}, f.accepted)
	f.transition(answered, c.now)
}

func (c *Checker) check(e Event) {
	f := c.flows[e.Flow]
	switch e.Kind {
	case BalancerStarted:
		c.startBalancer(e)
	case BalancerDied:
		c.endBalancer(e)
	case BalancerFrozen:
		c.freezes[e.Balancer] = append(c.freezes[e.Balancer], freeze{e.At, stillFrozen})
		c.cost(e.Balancer) // so that Costs lists it even if all its costs are 0
	case BalancerResumed:
		c.resumeBalancer(e)
	case ServerAnnounced:
		c.announceServer(e)
	case FlowAccepted:
		c.acceptFlow(e)
	case ClientLeft:
		c.leaveFlow(e, f)
	case ConnectEnded:
		c.endConnect(e, f)
	case ConnectSent:
		c.sendConnect(e, f)
	case ConnectArrived:
		c.arriveConnect(e)
	case FlowAnswered:
		c.answerFlow(e, f)
	case FlowEnded:
		c.endFlow(e, f)
	}
}

func (c *Checker) startBalancer(e Event) {
	for key := range c.announcements {
		if key.balancer == e.Balancer {
			delete(c.announcements, key)
		}
	}
}

// endBalancer ends all flows of a balancer that died: no rule applies to them any more.
func (c *Checker) endBalancer(e Event) {
	for id, f := range c.byBalancer[e.Balancer] {
		switch f.state {
		case awaitingAnswer:
			c.cost(e.Balancer).Unanswered++
		case established:
			c.cost(e.Balancer).Cut++
		}
		f.transition(ended, c.now)
		delete(c.flows, id)
	}
	delete(c.byBalancer, e.Balancer)
	c.resumeBalancer(e)
}
