package decide

// The server list: news of it, and servers taken out by hand.

import (
	"cmp"
	"slices"
	"time"
)

// BeginEndpoints begins an update of the endpoint list; OnEndpoint brings each entry, EndEndpoints closes it.
func (b *Balancer) BeginEndpoints(k UpdateKind) {
	b.list.kind = k
	for _, r := range b.list.all {
		r.seen = false
	}
	if k != FailedUpdate {
		b.list.gap = 0
	} else if b.list.Polled {
		// Well within the time after which we count as told, spread: a service just back must not be toppled.
		b.list.gap = min(max(2*b.list.gap, tickEvery), b.list.MaxPollInterval/2, longestGap)
		b.actions.SetTimer(listMark, time.Duration(float64(b.list.gap)*(0.5+b.rng.unit()/2)))
	}
}

// OnEndpoint is one entry. A fresh start clears the tallies.
func (b *Balancer) OnEndpoint(endpoint Endpoint) {
	r := b.list.server(endpoint.ID)
	if endpoint.StartedAt > r.since && endpoint.Readiness == Ready {
		b.forget(r)
		*r = server{id: endpoint.ID, flows: r.flows, life: r.life, byHand: r.byHand}
		b.coldStart(r, endpoint.StartedAt)
	}
	if b.health.pull && r.askedAt == 0 { // as good as asked, at a time of its own; but one probe is due
		r.askedAt = b.now - time.Duration(b.rng.unit()*float64(recheckEvery))
		b.health.credit++
	}
	r.zone, r.cell, r.size, r.seen = endpoint.Zone, endpoint.Cell, endpoint.Size, true
	b.stand(r, endpoint.Readiness)
}

// stand makes of the list's word and the staff's what a server may be sent: out by hand wins over any list.
func (b *Balancer) stand(r *server, listed Readiness) {
	r.listed = listed
	if r.byHand {
		listed = max(listed, Draining)
	}
	r.state = listed
}

// SetDisabled takes a server out, or gives it back, whatever the list says. Given back it was likely restarted: it
// is cold, its health of another life. Flows that outlive the time load it, so that the tallies stay.
func (b *Balancer) SetDisabled(id ServerID, out bool) {
	r := b.list.server(id)
	if r.byHand == out {
		return
	}
	if r.byHand = out; !out {
		*r = server{id: id, zone: r.zone, cell: r.cell, size: r.size, state: r.state, life: r.life,
			open: r.open, groups: r.groups, flows: r.flows, trying: r.trying, listed: r.listed}
		b.coldStart(r, b.now)
	}
	b.stand(r, r.listed)
	b.sortList()
}

// server keeps a place for a server even before the list names it, so that no flow is without one.
func (l *serverList) server(id ServerID) *server {
	r := l.byID[id]
	if r == nil {
		r = &server{id: id, state: Gone, listed: Gone, since: LongAgo}
		l.byID[id], l.all, l.unsorted = r, append(l.all, r), true
	}
	return r
}

// EndEndpoints ends an update of the endpoint list.
func (b *Balancer) EndEndpoints() {
	for _, r := range b.list.all {
		if !r.seen && b.list.kind != DeltaUpdate {
			b.stand(r, Gone)
		}
	}
	b.sortList()
}

// sortList sorts servers by what they may be sent, each sort by id: nothing may hang on the order of news.
func (b *Balancer) sortList() {
	l := &b.list
	if l.unsorted {
		slices.SortFunc(l.all, func(x, y *server) int { return cmp.Compare(x.id, y.id) })
		l.unsorted = false
	}
	l.ready, l.leaving = l.ready[:0], l.leaving[:0]
	for _, r := range l.all {
		if r.state == Ready {
			l.ready = append(l.ready, r)
		} else if r.open > 0 {
			l.leaving = append(l.leaving, r)
		}
	}
	all, warm := 0.0, 0.0
	for _, r := range l.ready {
		size := b.size(r) / b.warmth(r)
		if all += size; b.warmth(r) == 1 {
			warm += size
		}
	}
	if l.usual == 0 {
		l.usual = all
	}
	l.usual = max(l.usual, warm)
	l.arrange(b.nearWeight())
	b.reckon()
}
