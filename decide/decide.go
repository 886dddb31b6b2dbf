package decide

import (
	"math"
	"time"
)

const (
	groupWeight, loadWeight = 1.0, 1.0 // the page's w0 and w1
	priceWeight             = 10.0     // what the price of a crossing or a move counts for in the cost
	prior                   = 2.0      // connections that Load starts from, as few seen on a server tell little
	toldPrior               = 0.2      // the same for told loads, or a mean near nought makes all look full
	guard                   = 1.25     // times the mean above which a server is passed over for grouping
	margin                  = 1.75     // what another server must win by: more than grouping is ever worth
	anyhow                  = -math.MaxFloat64

	tickEvery          = 250 * time.Millisecond
	recheckEvery       = 5 * time.Second // one round over all established flows
	reportAge          = 3 * recheckEvery
	probesAFlow        = 4.0  // what knowing is worth: probes cost their server work and have a price
	ample              = 0.70 // load over capacity up to which a server is in time, whatever others have
	evidenceAge        = 10 * time.Second
	noteAge            = 2500 * time.Millisecond // delay notes come every second while they last
	cutEvery           = 900 * time.Millisecond
	drainIn            = 1400 * time.Millisecond // in which a backlog is to be gone
	smallPart, deepCut = 1.0 / 8, 0.7            // moved at a time, and kept, where nothing tells how much
	regrowth           = 20 * time.Second        // a limit seen doubles in that, slowly at first
	allSetups          = 48.0                    // out at once while all is well, over all balancers
	keptSamples        = 16
	wholeList          = 128 // servers up to which a decision looks at all of them
	drawn              = 24  // servers that it draws from a longer list
	homeDraws          = 8   // buckets of servers where a group may be at home
	drawnHolders       = 8   // servers that hold the group here
	mostLooks          = 128 // rechecks in a tick that look at other servers
	savedWindows       = 1.0 // of a cold server's budget; up to one flow, thrice that, as few pass one of many

	longestGap               = 1600 * time.Millisecond // between calls for the list, of 2 s each: 6 s for news
	shortestGap              = 8 * time.Millisecond    // between set-ups while all fail, over all balancers
	firstPause, longestPause = time.Second, 16 * time.Second

	tickMark, listMark, lineMark TimerID = 1, 2, 3
)

// transition makes every change of a flow's state, with the lease and the books that go with it.
func (b *Balancer) transition(f *flow, to state) {
	switch f.state {
	case connecting:
		b.flows.connecting.remove(f)
	case established:
		b.flows.open.remove(f)
		f.server.leave(f)
		b.fair[f.customer]--
	}
	switch to {
	case connecting:
		b.flows.connecting.add(f)
		b.book(f)
	case established:
		if !f.leased {
			b.book(f)
		}
		f.tried = nil
		b.flows.open.add(f)
		f.server.hold(f)
		b.fair[f.customer]++
	default:
		b.release(f)
	}
	if to == answered && f.out == 0 {
		to = done
	}
	f.state = to
	if to == done {
		delete(b.flows.byID, f.id)
	}
}

// OnFlow takes a new flow.
func (b *Balancer) OnFlow(request FlowRequest) {
	f := newFlow(request)
	f.came, f.due = b.now, b.now+request.Timeout
	b.flows.byID[f.id] = f
	if b.constraints != nil && !b.constraints.AdmitFlow(f.id) {
		b.answer(f)
	} else {
		b.place(f)
	}
}

// AdoptFlow takes over a connection that is already established at a server.
func (b *Balancer) AdoptFlow(request FlowRequest, server ServerID) {
	f := newFlow(request)
	f.connects, f.out, f.server = 1, 1, b.list.server(server)
	b.flows.byID[f.id] = f
	b.transition(f, established)
	if f.server.state != Ready && f.server.open == 1 {
		b.sortList() // it leaves: its flows are to be asked
	}
}

func newFlow(request FlowRequest) *flow {
	return &flow{id: request.ID, service: request.Service, customer: request.Customer, group: request.Group}
}

// place gives a waiting flow its next connect, a place in line, or the final answer when no connect is left;
// none is after a failure that all share, as the next would feed it.
func (b *Balancer) place(f *flow) {
	trial := b.trialDue()
	shed := !trial && f.connects == 0 && b.beyondShare(f) && b.harmless(f)
	if shed || f.connects > 0 && b.sharedFailure() || f.connects >= b.flows.maxConnects || !b.mayRepeat(f) {
		b.answer(f)
		return
	}
	if !b.open() && !trial && b.now < b.patience(f) {
		b.pace.line = append(b.pace.line, f)
		b.actions.SetTimer(lineMark, b.patience(f)-b.now)
		return
	}
	to := b.choose(f)
	if to == nil && trial {
		to = b.chooseTrial(f)
	}
	if to == nil || !b.open() && !trial {
		b.answer(f)
		return
	}
	b.connect(f, to)
}

func (b *Balancer) connect(f *flow, to *server) {
	f.server, f.sentAt = to, b.now
	b.pace.sent, b.pace.refused = b.now, 0
	f.connects++
	b.health.credit += probesAFlow
	f.out++
	f.tried = append(f.tried, to.id)
	if f.cold = b.warmth(to) < 1; f.cold {
		due, sent := b.coldDue(to, b.view(f, b.list.ready))
		to.coldDue, to.coldSent, to.coldAt = due, sent+1, b.now
	}
	f.trial = to.ejected
	b.transition(f, connecting)
	b.actions.Connect(f.id, to.id, b.connectLimit(f))
}

// connectLimit leaves half of the time for another connect, against a server that takes flows and never
// answers. Less would cut off set-ups that are only slow, and what they share would do their work twice.
func (b *Balancer) connectLimit(f *flow) time.Duration {
	left, s := f.due-b.now, &b.services[f.service]
	if f.mayRan && s.Effect == IdempotentByKey {
		left = min(left, b.repeatUntil(f)-b.now) // a connection may come up late, and be sent on past the window
	}
	if s.Effect == NotIdempotent || f.connects >= b.flows.maxConnects {
		return left
	}
	return max(left/2, min(left, s.SetupTarget))
}

// harmless says whether the client may be told that trying again does no harm.
func (b *Balancer) harmless(f *flow) bool {
	s := &b.services[f.service]
	return s.Effect == Idempotent || f.out == 0 && !f.mayRan || s.Effect == IdempotentByKey && s.Deduplication == DeduplicatedByFleet
}

// answer gives the final answer at once; a flow given up on is never sat on.
func (b *Balancer) answer(f *flow) {
	again := b.flows.retryAfter
	if b.constraints != nil && again > 0 {
		again = min(b.constraints.RetryAfter(f.id, again), again)
	}
	if f.connects == 0 {
		b.pace.refused++
	}
	if b.harmless(f) {
		b.actions.Reject(f.id, again)
	} else {
		b.actions.Abort(f.id)
	}
	b.transition(f, answered)
}

// OnEstablished takes in that an attempt was established, and how long that took.
func (b *Balancer) OnEstablished(id FlowID, took time.Duration) {
	f := b.flows.byID[id]
	if f == nil || f.state != connecting {
		return
	}
	b.health.setups, b.health.setupAt = keep(b.health.setups, took, keptSamples), b.now
	b.judge(f, false)
	b.transition(f, established)
	if took > b.services[f.service].SetupTarget {
		b.narrow() // it stands, but later than wanted
	} else {
		b.widen(f.server)
	}
}

// OnEnded takes in that an attempt or a connection ended; over tells that the client has its answer.
func (b *Balancer) OnEnded(id FlowID, o Outcome, took time.Duration, over bool) {
	f := b.flows.byID[id]
	if f == nil {
		return
	}
	f.out--
	if o == NeverSent && f.cold && f.life == f.server.life {
		f.server.coldSent = max(0, f.server.coldSent-1) // nothing came there: its part of the budget is given back
	}
	switch f.state {
	case established:
		if o == Reset && f.life == f.server.life {
			b.judge(f, true)
			bad, n := failedShare(f.server.samples, b.now-noteAge)
			if bad*float64(n) >= 2 || b.hot(f.server) || b.cold.Balancers > 3 { // one of many balancers hears of few
				f.server.delay, f.server.delayAt = max(f.server.delay, b.list.MessageTarget), b.now // as sure as a note
				b.tooMany(f.server)
			}
		} else if o == Full && f.life == f.server.life && b.now >= f.server.ejectedUntil {
			b.eject(f.server) // it sends its clients away, to stop; the list tells late, and it looks the emptiest
		}
		b.transition(f, done)
	case connecting:
		if o == Error || o == Full || o == TimedOut || o == Unreachable || o == Reset {
			b.failed(f, o, took)
		}
		if !o.NeverRan() && !f.mayRan {
			// Against a second effect: where and when it may first have run binds all that follows.
			f.mayRan, f.ranAt, f.ranZone, f.ranCell = true, f.sentAt, f.server.zone, f.server.cell
		}
		if over {
			b.transition(f, done)
		} else {
			b.transition(f, waiting)
			b.place(f) // at the connect timeout too the answer is still ours to give
		}
		b.serveLine()
	default:
		b.transition(f, done)
	}
}

// mayRepeat: never two connects out, and after one that may have run only what the service type allows.
func (b *Balancer) mayRepeat(f *flow) bool {
	s := &b.services[f.service]
	return f.out == 0 && b.now < f.due &&
		(!f.mayRan || s.Effect == Idempotent || s.Effect == IdempotentByKey && b.now < b.repeatUntil(f))
}

// heldUp is how long a process may be held up between reading its clock and writing.
const heldUp = 150 * time.Millisecond

// repeatUntil is until when a flow of which a connect may have run may be repeated where servers drop repeats for a while.
func (b *Balancer) repeatUntil(f *flow) time.Duration {
	return f.ranAt + b.services[f.service].RetryWindow - heldUp
}

// OnClientLeft takes in that the client of a flow left; nothing more is owed to it.
func (b *Balancer) OnClientLeft(id FlowID) {
	if f := b.flows.byID[id]; f != nil {
		b.transition(f, answered)
	}
}

// OnTimer takes in that a timer set by Actions.SetTimer is due.
func (b *Balancer) OnTimer(m TimerID) {
	if m == tickMark {
		b.tick()
	} else if m == listMark {
		b.actions.WatchEndpoints(true)
	}
	b.serveLine()
}
