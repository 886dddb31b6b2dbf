// Package invariants judges a run by the four rules, from what was sent and told and from nothing else: it shares no code
// with a balancer, nor with the model behind the servers.
package invariants

import (
	"container/heap"
	"time"
)

// Referee judges events in the order of their times. Where several parts see them, one may be told before its cause;
// each is held back for a while, and put in order.
type Referee struct {
	answerSlack, sendSlack time.Duration
	grace                  time.Duration
	multiple, mean         float64
	window, warm           time.Duration
	hold                   time.Duration
	waiting                held
	seq                    uint64
	now                    time.Duration
	flows                  map[Flow]*flow
	byBalancer             map[Balancer]map[Flow]*flow
	due                    dues
	told                   map[toldKey]toldState
	servers                map[Server]*server
	found                  []Violation
	more                   int
	away                   map[Balancer][]absence
	costs                  map[Balancer]*Cost
	Judged                 int // flows
}

// New makes a referee. slack is what an answer or a send may come late by, for the way that it travels; hold how long
// an event waits for earlier ones. grace is that of drains. A cold server may be sent multiple times what it can take
// over any window by all balancers together; beyond such a budget of N connects of the mean load only 2√N + 2 are put down to chance. A start
// counts for warm.
func New(slack, hold, grace time.Duration, multiple, mean float64, window, warm time.Duration) *Referee {
	return &Referee{answerSlack: slack, sendSlack: slack, hold: hold, grace: grace, multiple: multiple, mean: mean,
		window: window, warm: warm, flows: map[Flow]*flow{}, byBalancer: map[Balancer]map[Flow]*flow{},
		told: map[toldKey]toldState{}, servers: map[Server]*server{}, away: map[Balancer][]absence{}, costs: map[Balancer]*Cost{}}
}

type toldKey struct {
	b Balancer
	s Server
}
type toldState struct {
	state State
	at    time.Duration
	since time.Duration
	event Event
}

// Observe takes one event, in any order within the time held back.
func (r *Referee) Observe(e Event) {
	r.seq++
	heap.Push(&r.waiting, waitingEvent{e, r.seq})
}

// Advance judges all that can't be overtaken any more.
func (r *Referee) Advance(now time.Duration) {
	for len(r.waiting) > 0 && r.waiting[0].At <= now-r.hold {
		e := heap.Pop(&r.waiting).(waitingEvent).Event
		r.clock(e.At)
		r.judge(e)
	}
	r.clock(now - r.hold)
}

// Finish judges all that is left; end is when the run ended: what was due later is not owed.
func (r *Referee) Finish(end time.Duration) []Violation {
	r.Advance(end + r.hold)
	for _, id := range sortedFlows(r.flows) {
		r.settleDoubt(id, r.flows[id], end)
	}
	return r.Violations()
}

// clock finds what was due and did not come.
func (r *Referee) clock(now time.Duration) {
	for len(r.due) > 0 && r.due[0].at < now {
		d := heap.Pop(&r.due).(due)
		r.now = max(r.now, d.at) // or what is looked at again later would never be later, after a long gap
		f := r.flows[d.flow]
		if f == nil {
			continue
		}
		r.settleDoubt(d.flow, f, now)
		if _, was := r.frozen(f.taken.Balancer, f.taken.At, f.taken.Due); d.answer && f.state == open && was {
			r.cost(f.taken.Balancer).Unheard++
			f.left, f.excused = f.taken.Due, true
			r.turn(d.flow, f, gone)
		} else if d.answer && f.state == open {
			r.broken(OneAnswer, f.taken.Balancer, d.flow, 0, d.at, "no answer in time", f.taken)
			r.turn(d.flow, f, answered)
		}
		r.forget(d.flow, f)
	}
	r.now = max(r.now, now)
}

func (r *Referee) judge(e Event) {
	f := r.flows[e.Flow]
	switch e.Kind {
	case Began:
		for k := range r.told {
			if k.b == e.Balancer {
				delete(r.told, k)
			}
		}
	case Died:
		for id, f := range r.byBalancer[e.Balancer] {
			switch f.state {
			case open:
				r.cost(e.Balancer).Waiting++
			case stands:
				r.cost(e.Balancer).Cut++
			}
			f.state = over
			delete(r.flows, id)
		}
		delete(r.byBalancer, e.Balancer)
		r.runs(e)
	case Stopped:
		r.away[e.Balancer] = append(r.away[e.Balancer], absence{e.At, stillAway})
		r.cost(e.Balancer)
	case Thawed:
		r.runs(e)
	case Told:
		r.tell(e)
	case Taken:
		r.take(e)
	case Left:
		// One who waited until the time was up went because no answer came: that answer is still owed.
		if f != nil && f.state == open && e.At < f.taken.Due {
			f.left = e.At
			r.turn(e.Flow, f, gone)
		} else if f != nil && f.state == stands {
			r.turn(e.Flow, f, over)
		}
	case ConnectOver:
		r.connectOver(e, f)
	case Sent:
		r.sent(e, f)
	case Arrived:
		r.arrived(e)
	case Answered:
		r.answered(e, f)
	case Ended:
		if f != nil {
			r.turn(e.Flow, f, over)
			f.settled = e.At
			heap.Push(&r.due, due{e.At + 11*time.Second, e.Flow, false})
		}
	}
}

func (r *Referee) tell(e Event) {
	k := toldKey{e.Balancer, e.Server}
	if t, ok := r.told[k]; ok && t.state == e.State && t.since == e.Since {
		return // told again: the grace runs from the first word
	} else if ok && t.state != Ready && e.State != Ready {
		return
	}
	r.told[k] = toldState{e.State, e.At, e.Since, e}
}
