package decide

// Figures over many servers, reckoned from what is kept of each.

import (
	"math"
	"time"
)

// means are over the servers that cost the flow least: of a long list over all, or over the candidates
// where others bound them, a flow more counting there for as much less as they are fewer.
func (b *Balancer) means(f *flow, candidates []*server, least float64) (mean, fair, told float64) {
	s, more, long := b.list.sums, 1.0, b.list.long()
	if !long || b.constraints != nil {
		s = b.sum(f, candidates, least)
	} else if f.leased && f.server.state == Ready {
		s.open--
	}
	if long && b.constraints != nil {
		more = min(1, s.size/b.list.sums.size)
	}
	return s.open / s.size, (s.open + more) / s.size, s.load / s.told
}

// sum adds up servers, but for those that cost the flow in hand more, and without that flow.
func (b *Balancer) sum(f *flow, servers []*server, least float64) sums {
	s := nothing
	for _, r := range servers {
		if extra, ok := b.bound(f, r); !ok || extra > least {
			continue
		}
		b.count(&s, r)
		if f.leased && f.server == r {
			s.open--
		}
	}
	return s
}

// nothing is the sum over no servers; it can be divided by.
var nothing = sums{size: 1e-9, told: 1e-9}

func (b *Balancer) count(s *sums, r *server) {
	s.open += float64(r.open)
	s.size += b.size(r)
	if load, ok := b.told(r); ok {
		s.load += load * b.size(r)
		s.told += b.size(r)
	}
}

// reckon works out once what the decisions until the next tick share. Other deciders are not asked: what they say
// differs from flow to flow.
func (b *Balancer) reckon() {
	l := &b.list
	l.sums, l.lowest = nothing, math.Inf(1)
	for _, r := range l.ready {
		b.count(&l.sums, r)
	}
	v := l.sums.means()
	for _, r := range l.ready {
		if b.mayMoveTo(r, v) {
			l.lowest = min(l.lowest, b.load(r, r.open, v))
		}
	}
}

// mayMoveTo tells whether some flow could be moved to the server within this tick: not while it is late, ejected, or
// cold with no budget left.
func (b *Balancer) mayMoveTo(r *server, v view) bool {
	return !b.hot(r) && !(r.ejected && b.now < r.ejectedUntil) && b.coldRoom(r, v)
}

// means is what loads are measured against.
func (s sums) means() view {
	mean := max(s.open, 0) / s.size
	return view{mean: mean, fair: mean, told: s.load / s.told}
}

// fresh tells whether a figure over all servers still counts: of a long list it is worked out once a tick at the most.
func (b *Balancer) fresh(at time.Duration) bool {
	return b.list.long() && at > 0 && b.now-at < tickEvery
}

// healthy are the servers in no trouble, which have room.
func (b *Balancer) healthy() []*server {
	last := &b.health.healthy
	if b.fresh(last.at) {
		return last.servers
	}
	last.at, last.servers = b.now, last.servers[:0]
	v, anyFlow := b.list.sums.means(), &flow{}
	for _, r := range b.list.ready {
		if b.rank(anyFlow, r) == 0 && b.room(anyFlow, r, v) && b.coldRoom(r, v) {
			last.servers = append(last.servers, r)
		}
	}
	return last.servers
}

// medianFailures is the median over servers of their share of failed connects.
func (b *Balancer) medianFailures() float64 {
	last := &b.health.failures
	if b.fresh(last.at) {
		return last.median
	}
	var shares []float64
	for _, r := range b.list.ready {
		if share, n := failedShare(r.samples, b.now-evidenceAge); n > 0 {
			shares = append(shares, share)
		}
	}
	*last = failures{b.now, median(shares)}
	return last.median
}

// survey counts what is heard of servers.
func (b *Balancer) survey() survey {
	last := &b.health.survey
	if b.fresh(last.at) {
		return *last
	}
	*last = survey{at: b.now}
	for _, r := range b.list.ready {
		if b.hot(r) {
			last.hot++
		}
		if b.hot(r) || r.open > 0 {
			last.heard++
		}
		if r.ejected {
			last.ejected++
		}
	}
	return *last
}

// distance is the page's: half the gap between the ideal count of groups per server and the average one,
// here as a share of the average so that it weighs the same at any number of groups.
func (b *Balancer) distance() float64 {
	if b.tallies.held == 0 {
		return 0
	}
	return (1 - float64(len(b.tallies.holders))/float64(b.tallies.held)) / 2
}
