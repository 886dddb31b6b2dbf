// Package invariants judges a run by the four rules that a balancer must keep, from what was sent and announced and from nothing else: it
// shares no code with a balancer, nor with the model behind the servers.
package invariants

import (
	"container/heap"
	"time"
)

// Limits are what a run is judged by.
type Limits struct {
	Slack      time.Duration // by which an answer or a connect may come late, for the time it takes to be seen
	Reordering time.Duration // how long an event is held back for earlier ones that are seen later
	DrainGrace time.Duration // from the announcement of a drain until no connect may be sent

	// A starting server may be sent SlowStartMultiple times its capacity over any SlowStartWindow, by all balancers together. Beyond such a
	// budget of N connects of the mean load, 2√N + 2 are put down to chance. A server starts for SlowStart.
	SlowStartMultiple float64 // 0: not judged
	SlowStartWindow   time.Duration
	SlowStart         time.Duration
	MeanLoad          float64 // of a connect, in the unit of capacity
}

// Checker judges events in the order of their times. Where several parts see them, one may be observed before its cause: each is held back
// for a while, and put in order.
type Checker struct {
	Judged int // flows

	limits        Limits
	heldBack      eventQueue
	sequence      uint64 // of the last event observed
	now           time.Duration
	flows         map[Flow]*flow
	byBalancer    map[Balancer]map[Flow]*flow
	deadlines     deadlineQueue
	announcements map[announcementKey]announcement
	starts        map[Server]*serverStart
	freezes       map[Balancer][]freeze
	costs         map[Balancer]*Cost
	violations    []Violation
	omitted       int // violations beyond maxViolations
}

// New makes a checker.
func New(limits Limits) *Checker {
	return &Checker{limits: limits, flows: map[Flow]*flow{}, byBalancer: map[Balancer]map[Flow]*flow{},
		announcements: map[announcementKey]announcement{}, starts: map[Server]*serverStart{},
		freezes: map[Balancer][]freeze{}, costs: map[Balancer]*Cost{}}
}

// Observe takes one event, in any order within Limits.Reordering.
func (c *Checker) Observe(e Event) {
	c.sequence++
	heap.Push(&c.heldBack, queuedEvent{e, c.sequence})
}

// Advance judges all events that no earlier one can follow any more.
func (c *Checker) Advance(now time.Duration) {
	settled := now - c.limits.Reordering
	for len(c.heldBack) > 0 && c.heldBack[0].At <= settled {
		e := heap.Pop(&c.heldBack).(queuedEvent).Event
		c.passDeadlines(e.At)
		c.judge(e)
	}
	c.passDeadlines(settled)
}

// Finish judges all events that are left and returns the violations. end is when the run ended: what was due later is not owed.
func (c *Checker) Finish(end time.Duration) []Violation {
	c.Advance(end + c.limits.Reordering)
	for _, id := range sortedFlows(c.flows) {
		c.judgeOverlaps(id, c.flows[id], end)
	}
	return c.Violations()
}

// passDeadlines moves the time on and finds what was due and did not happen.
func (c *Checker) passDeadlines(now time.Duration) {
	for len(c.deadlines) > 0 && c.deadlines[0].at < now {
		d := heap.Pop(&c.deadlines).(deadline)
		c.now = max(c.now, d.at) // a later deadline of the same flow is then later than now, whatever the gap between events
		f := c.flows[d.flow]
		if f == nil {
			continue
		}
		c.judgeOverlaps(d.flow, f, now)
		if d.ofAnswer && f.state == awaitingAnswer {
			c.missAnswer(d, f)
		}
		c.forget(d.flow, f)
	}
	c.now = max(c.now, now)
}

// missAnswer judges a flow that was not answered by its deadline. One whose balancer was frozen is excused.
func (c *Checker) missAnswer(d deadline, f *flow) {
	if _, wasFrozen := c.frozen(f.accepted.Balancer, f.accepted.At, f.accepted.Deadline); wasFrozen {
		c.cost(f.accepted.Balancer).Expired++
		f.clientLeftAt, f.excused = f.accepted.Deadline, true
		f.transition(abandoned, c.now)
		return
	}
	c.report(Violation{Rule: OneAnswer, At: d.at, Balancer: f.accepted.Balancer, Flow: d.flow, What: "no answer in time"}, f.accepted)
	f.transition(answered, c.now)
}

func (c *Checker) judge(e Event) {
	f := c.flows[e.Flow]
	switch e.Kind {
	case BalancerStarted:
		c.startBalancer(e)
	case BalancerDied:
		c.endBalancer(e)
	case BalancerFrozen:
		c.freezes[e.Balancer] = append(c.freezes[e.Balancer], freeze{e.At, stillFrozen})
		c.cost(e.Balancer) // it is listed even if it cost nothing
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

// endBalancer drops all that a balancer held: nothing more is owed.
func (c *Checker) endBalancer(e Event) {
	for id, f := range c.byBalancer[e.Balancer] {
		switch f.state {
		case awaitingAnswer:
			c.cost(e.Balancer).Unanswered++
		case established:
			c.cost(e.Balancer).Cut++
		}
		f.transition(over, c.now)
		delete(c.flows, id)
	}
	delete(c.byBalancer, e.Balancer)
	c.resumeBalancer(e)
}
