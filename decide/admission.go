package decide

// How many connects may be out and how many flows may be held.

import (
	"math"
	"time"
)

const longestShut = 3500 * time.Millisecond // with no trial set-up, which tells when the trouble is over

// Who turned so many away and for so long sent nobody on sends the next one as a trial: nobody shuts for 4 s on end.
const (
	trialAfter   = 3 * time.Second
	trialRefused = 8
)

// trialDue tells whether the next flow is to be sent on whatever is feared of the servers. Rules bind it.
func (b *Balancer) trialDue() bool {
	return b.pace.refused >= trialRefused && b.now >= b.pace.sent+trialAfter
}

// open tells whether one more set-up may go out.
func (b *Balancer) open() bool {
	return b.now >= b.pace.opens && float64(len(b.flows.connecting)) < b.pace.window
}

// patience ends with the setup target: a flow without a turn by then is given up and answered at once.
func (b *Balancer) patience(f *flow) time.Duration {
	return min(f.due, f.came+b.services[f.service].SetupTarget)
}

// serveLine gives turns while set-ups may go out, and answers those whose patience is over.
func (b *Balancer) serveLine() {
	line := b.pace.line
	b.pace.line = nil
	for _, f := range line {
		if f.state == waiting && (b.open() || b.trialDue() || b.now >= b.patience(f)) {
			b.place(f)
		} else if f.state == waiting {
			b.pace.line = append(b.pace.line, f)
		}
	}
}

func (b *Balancer) widen(r *server) {
	b.pace.results = keep(b.pace.results, sample{r, b.now, false}, keptSamples)
	b.pace.window, b.pace.pause = min(b.pace.window+1, b.widest()), b.pace.pause/2
	b.serveLine()
}

// sharedFailure: half of the last set-ups failed, and at more than half of the servers heard from.
func (b *Balancer) sharedFailure() bool {
	share, n := failedShare(b.pace.results, b.now-evidenceAge)
	return n >= 3 && share >= 0.5 && b.medianFailures() > 0
}

// widest: in a mass return all balancers send at once, to what all set-ups share.
func (b *Balancer) widest() float64 { return max(1, allSetups/float64(b.cold.Balancers)) }

// narrow halves the set-ups that may be out, then spaces them, against a meltdown of what all of them share.
func (b *Balancer) narrow() {
	if b.now < b.pace.last+min(median(b.health.setups), tickEvery) {
		return
	}
	b.pace.last, b.pace.window = b.now, max(1, b.pace.window/2)
	if b.pace.window == 1 {
		b.pace.pause = min(max(2*b.pace.pause, shortestGap*time.Duration(b.cold.Balancers)), longestPause)
		least, most := min(b.pace.pause/2, longestShut*3/4), min(b.pace.pause*3/2, longestShut)
		b.pace.opens = b.now + least + time.Duration(b.rng.unit()*float64(most-least))
		b.actions.SetTimer(lineMark, b.pace.opens-b.now)
	}
}

// beyondShare: the fleet is short and the flow's customer holds this balancer's part of its share. Let in, a
// mass return beyond it spends at once what cold servers have saved of their budget, and pushes them over.
func (b *Balancer) beyondShare(f *flow) bool {
	c := int(f.customer)
	if c < 0 || c >= len(b.cold.quota) || b.cold.quota[c] == 0 || !b.short() {
		return false
	}
	own := b.cold.quota[c] / float64(b.cold.Balancers)
	return float64(b.fair[f.customer]) >= own+2*math.Sqrt(own*(1-1/float64(b.cold.Balancers)))
}

func (l *limit) cut(to float64, now time.Duration) {
	if l.at == 0 || now-l.at > cutEvery {
		if l.at == 0 || now-l.at > regrowth {
			l.was = to
		}
		l.held, l.at = to, max(now, 1)
	}
}

func (l *limit) room(n int, step float64, now time.Duration) bool {
	t := (now - l.at).Seconds() / regrowth.Seconds()
	return l.at == 0 || float64(n+1) <= l.held+max(l.was, step, 1)*t*t
}

// tooMany limits a server that holds more than it can bear: what it drops comes again, and tips the next. One
// of many balancers hears of few; while it is short it limits all that it holds, by the part late.
func (b *Balancer) tooMany(r *server) {
	r.limit.cut(deepCut*float64(r.open), b.now)
	if s := b.survey(); b.short() {
		b.health.limit.cut((1-(1-deepCut)*max(0, 1.25*s.hot/s.heard-0.25))*float64(len(b.flows.open)), b.now)
	}
}

// room is for one more on the server, by the mean at the least: one that drops all would always have room for
// one. The limit on all flows binds those that would open a group on a warm server, which pays for it. What
// notes made guess does not bind where a server tells of room, but does in a fleet that has none.
func (b *Balancer) room(f *flow, r *server, v view) bool {
	load, ok := b.told(r)
	light := ok && load < ample
	all := light && v.told < ample || b.health.limit.room(len(b.flows.open), 1, b.now)
	step := float64(len(b.flows.open)) / float64(len(b.list.ready)+1)
	return (light || r.limit.room(r.open, step, b.now)) && (all || v.count(r, f.group) > 0 || b.warmth(r) < 1)
}
