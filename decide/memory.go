package decide

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// What one instance knows, for another that takes its place: all but flows and their tallies, which stay with whoever
// holds the connections. All times are on one line, that of the instance that told them.

// Snapshot is what an instance knows.
type Snapshot struct {
	Now     time.Duration    `json:"now"`
	Servers []ServerSnapshot `json:"servers"`
	Usual   float64          `json:"usual"`
	Window  float64          `json:"window"`
	Pause   time.Duration    `json:"pause"`
	Opens   time.Duration    `json:"opens"`
	Setups  []time.Duration  `json:"setups"`
	SetupAt time.Duration    `json:"setup_at"`
	Limit   LimitSnapshot    `json:"limit"`
}

// LimitSnapshot is a limit on flows.
type LimitSnapshot struct {
	Held float64       `json:"held"`
	Was  float64       `json:"was"`
	At   time.Duration `json:"at"`
}

func (l limit) known() LimitSnapshot { return LimitSnapshot{l.held, l.was, l.at} }
func (l LimitSnapshot) limit() limit { return limit{l.Held, l.Was, l.At} }

// ServerSnapshot is what is known of one server.
type ServerSnapshot struct {
	ID       ServerID      `json:"id"`
	Zone     Zone          `json:"zone"`
	Cell     CellID        `json:"cell"`
	Size     float64       `json:"size"`
	Listed   Readiness     `json:"listed"`
	Disabled bool          `json:"by_hand,omitempty"`
	Since    time.Duration `json:"since"`

	Ejected      bool          `json:"aside,omitempty"`
	EjectedUntil time.Duration `json:"aside_to,omitempty"`
	Pause        time.Duration `json:"pause,omitempty"`
	Trickle      int           `json:"trickle,omitempty"`
	Silent       int           `json:"silent,omitempty"`
	Delay        time.Duration `json:"delay,omitempty"`
	DelayAt      time.Duration `json:"delay_at,omitempty"`
	HotAt        time.Duration `json:"hot_at,omitempty"`
	Limit        LimitSnapshot `json:"limit"`

	ColdDue  float64       `json:"cold_due,omitempty"`
	ColdSent int           `json:"cold_sent,omitempty"`
	ColdAt   time.Duration `json:"cold_at,omitempty"`
}

// Snapshot tells what this instance knows now.
func (b *Balancer) Snapshot() Snapshot {
	m := Snapshot{Now: b.now, Usual: b.list.usual, Window: b.pace.window, Pause: b.pace.pause, Opens: b.pace.opens,
		Setups: slices.Clone(b.health.setups), SetupAt: b.health.setupAt, Limit: b.health.limit.known()}
	for _, id := range slices.Sorted(maps.Keys(b.list.byID)) {
		r := b.list.byID[id]
		m.Servers = append(m.Servers, ServerSnapshot{id, r.zone, r.cell, r.size, r.listed, r.byHand, r.since, r.ejected, r.ejectedUntil, r.pause,
			r.trickle, r.silent, r.delay, r.delayAt, r.hotAt, r.limit.known(), r.coldDue, r.coldSent, r.coldAt})
	}
	return m
}

// Restore takes over what another instance knew. Its clock must have gone on from that one's; flows held here keep their
// places.
func (b *Balancer) Restore(m Snapshot) {
	b.list.usual, b.pace.pause, b.pace.opens = m.Usual, m.Pause, m.Opens
	b.pace.window = min(max(m.Window, 1), b.widest())
	b.health.setups, b.health.setupAt, b.health.limit = m.Setups, m.SetupAt, m.Limit.limit()
	for _, r := range b.list.all { // an old list may name whom the other saw go
		b.stand(r, Gone)
	}
	for _, k := range m.Servers {
		r := b.list.server(k.ID)
		*r = server{id: k.ID, zone: k.Zone, cell: k.Cell, size: k.Size, state: r.state, byHand: k.Disabled, since: k.Since, life: r.life,
			open: r.open, groups: r.groups, flows: r.flows, trying: r.trying, ejected: k.Ejected, ejectedUntil: k.EjectedUntil, pause: k.Pause, trickle: k.Trickle,
			silent: k.Silent, delay: k.Delay, delayAt: k.DelayAt, hotAt: k.HotAt, limit: k.Limit.limit(),
			coldDue: k.ColdDue, coldSent: k.ColdSent, coldAt: k.ColdAt}
		b.stand(r, k.Listed)
	}
	b.sortList()
}

const mostKnown = 100_000

// Validate tells whether a memory can be taken over.
func (m Snapshot) Validate() error {
	if m.Now < 0 || len(m.Servers) > mostKnown || len(m.Setups) > keptSamples {
		return errors.New("a memory of nothing that was")
	}
	for _, k := range m.Servers {
		if k.Listed < Ready || k.Listed > Gone || k.Trickle < 0 || k.Silent < 0 || k.ColdSent < 0 || k.Size < 0 || k.Since > m.Now+time.Hour {
			return errors.New("a server that can't be")
		}
	}
	return nil
}

// SetHandedOver says that another instance goes on with what this one knows, and spends the budgets of cold servers for both; or that it is gone
// again. How much it had spent by then is not known: what was due counts as spent.
func (b *Balancer) SetHandedOver(to bool) {
	if b.cold.handedOver = to; to {
		return
	}
	for _, server := range b.list.all {
		server.coldAt, server.coldDue, server.coldSent = b.now, 0, 0
	}
}
