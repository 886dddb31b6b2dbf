package invariants

import (
	"container/heap"
	"slices"
	"time"
)

// state names where a flow stands, as seen from outside.
type state int

const (
	open state = iota // owed an answer
	stands
	answered
	gone // its client left
	over
)

type flow struct {
	state   state
	taken   Event
	left    time.Duration
	answer  Event
	out     []Event // connects out
	doubt   []Event // sent while another was out: broken unless that one ends within the slack
	ran     *Event  // the send of the first connect that may have run
	sends   map[Connect]Event
	settled time.Duration
	excused bool // came due while its balancer was frozen
}

func sortedFlows(m map[Flow]*flow) (ids []Flow) {
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// turn makes every change of a flow's state.
func (r *Referee) turn(id Flow, f *flow, to state) {
	f.state = to
	f.settled = r.now
}

// forget drops a flow that nothing more can be said of, so that a long run stays small.
func (r *Referee) forget(id Flow, f *flow) {
	if (f.state == over || f.state == answered || f.state == gone) && len(f.out) == 0 && len(f.doubt) == 0 &&
		r.now > f.settled+10*time.Second && r.now > f.taken.Due+10*time.Second {
		delete(r.flows, id)
		delete(r.byBalancer[f.taken.Balancer], id)
	} else if f.state != stands {
		heap.Push(&r.due, due{r.now + 11*time.Second, id, false})
	}
}

func (r *Referee) take(e Event) {
	if f := r.flows[e.Flow]; f != nil {
		r.broken(OneAnswer, e.Balancer, e.Flow, 0, e.At, "taken twice", f.taken, e)
		return
	}
	r.Judged++
	f := &flow{taken: e, sends: map[Connect]Event{}}
	r.flows[e.Flow] = f
	if a := r.away[e.Balancer]; len(a) > 0 && a[len(a)-1].to == stillAway {
		r.cost(e.Balancer).AskedFor++
	}
	if r.byBalancer[e.Balancer] == nil {
		r.byBalancer[e.Balancer] = map[Flow]*flow{}
	}
	r.byBalancer[e.Balancer][e.Flow] = f
	heap.Push(&r.due, due{e.Due + r.answerSlack, e.Flow, true})
}

func (r *Referee) answered(e Event, f *flow) {
	if f == nil {
		r.broken(OneAnswer, e.Balancer, e.Flow, 0, e.At, "an answer for a flow not held", e)
		return
	}
	switch f.state {
	case open:
		if e.At > f.taken.Due+r.answerSlack {
			r.broken(OneAnswer, e.Balancer, e.Flow, 0, e.At, "answered late", f.taken, e)
		}
		if e.Verdict == Rejected && f.ran != nil && f.taken.Effect != Repeatable &&
			(f.taken.Effect != Referenced || f.taken.Reach != ReachAll) {
			r.broken(NoSecondEffect, e.Balancer, e.Flow, 0, e.At, "rejected as harmless though it may have run", f.taken, *f.ran, e)
		}
		f.answer = e
		if e.Verdict == Established {
			r.turn(e.Flow, f, stands)
		} else {
			r.turn(e.Flow, f, answered)
		}
	case gone: // it may have been on its way
		if f.excused {
			r.cost(e.Balancer).TooLate++
		} else if e.At > r.ranOn(e.Balancer, f.left)+r.answerSlack {
			r.broken(OneAnswer, e.Balancer, e.Flow, 0, e.At, "an answer after the end", f.taken, e)
		}
		f.answer = e
		r.turn(e.Flow, f, answered)
	case over:
		r.broken(OneAnswer, e.Balancer, e.Flow, 0, e.At, "an answer after the end", f.taken, f.answer, e)
	default:
		what := "answered twice"
		if f.answer.At == 0 {
			what = "answered late"
		}
		r.broken(OneAnswer, e.Balancer, e.Flow, 0, e.At, what, f.taken, f.answer, e)
	}
}

func (r *Referee) sent(e Event, f *flow) {
	if t, ok := r.told[toldKey{e.Balancer, e.Server}]; ok && t.state != Ready && e.At > t.at+r.grace+r.sendSlack {
		r.broken(DrainsKept, e.Balancer, e.Flow, e.Server, e.At, "sent after the grace", t.event, e)
	}
	if f == nil {
		r.broken(OneAnswer, e.Balancer, e.Flow, e.Server, e.At, "sent for a flow not held", e)
		return
	}
	switch {
	case f.state == answered || f.state == stands || f.state == over:
		r.broken(OneAnswer, e.Balancer, e.Flow, e.Server, e.At, "sent after the answer", f.taken, f.answer, e)
	case f.state == gone && e.At > r.ranOn(e.Balancer, f.left)+r.sendSlack:
		r.broken(OneAnswer, e.Balancer, e.Flow, e.Server, e.At, "sent after the end", f.taken, e)
	}
	if f.state == gone && f.excused {
		r.cost(e.Balancer).Sent++
	}
	if len(f.out) > 0 {
		f.doubt = append(f.doubt, e)
		heap.Push(&r.due, due{e.At + r.sendSlack + 1, e.Flow, false})
	} else if f.ran != nil {
		r.again(e, f)
	}
	f.out = append(f.out, e)
	f.sends[e.Connect] = e
}

// again judges a connect after one that may have run.
func (r *Referee) again(e Event, f *flow) {
	t := f.taken
	bad := ""
	switch {
	case t.Effect == OnceOnly:
		bad = "a once-only flow sent again though it may have run"
	case t.Effect == Referenced && e.At > f.ran.At+t.Window+r.sendSlack:
		bad = "a referenced flow sent again after its window"
	case t.Effect == Referenced && t.Reach == ReachZone && e.Zone != f.ran.Zone,
		t.Effect == Referenced && t.Reach == ReachCell && e.Cell != f.ran.Cell:
		bad = "a referenced flow sent again outside its group"
	}
	if bad != "" {
		r.broken(NoSecondEffect, e.Balancer, e.Flow, e.Server, e.At, bad, t, *f.ran, e)
	}
}

func (r *Referee) connectOver(e Event, f *flow) {
	if f == nil {
		return
	}
	s, known := f.sends[e.Connect]
	f.out = slices.DeleteFunc(f.out, func(x Event) bool { return x.Connect == e.Connect })
	// One in doubt is cleared when those before it ended soon after it was sent.
	f.doubt = slices.DeleteFunc(f.doubt, func(x Event) bool {
		cleared := x.Connect != e.Connect && e.At <= x.At+r.sendSlack &&
			!slices.ContainsFunc(f.out, func(o Event) bool { return o.Connect < x.Connect })
		if cleared && f.ran != nil {
			r.again(x, f)
		}
		return cleared
	})
	if known && e.Ran && f.ran == nil {
		f.ran = &s
	}
}

func (r *Referee) settleDoubt(id Flow, f *flow, now time.Duration) {
	f.doubt = slices.DeleteFunc(f.doubt, func(x Event) bool {
		if now <= x.At+r.sendSlack {
			return false
		}
		first := x
		if len(f.out) > 0 {
			first = f.out[0]
		}
		r.broken(NoSecondEffect, x.Balancer, id, x.Server, x.At, "two connects out", f.taken, first, x)
		return true
	})
}
