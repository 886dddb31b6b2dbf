package decide

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// Snapshot is what an instance knows, for another that takes its place: all but flows and their tallies, which
// stay with the process that holds the connections. All times are on the clock of the instance that took it; times and
// durations are in nanoseconds.
type Snapshot struct {
	Now              time.Duration    `json:"now"`
	Servers          []ServerSnapshot `json:"servers"`  // by id
	UsualSize        float64          `json:"usual"`    // sum of the sizes of the servers usually in service; 0: unknown
	ConcurrencyLimit float64          `json:"window"`   // attempts out at once
	SetupSpacing     time.Duration    `json:"pause"`    // between attempts while one may be out at once
	ReopensAt        time.Duration    `json:"opens"`    // no attempt goes out before
	SetupTimes       []time.Duration  `json:"setups"`   // of the last set-ups over all servers, oldest first
	LastSetupAt      time.Duration    `json:"setup_at"` // when the last of them ended
	FlowLimit        LimitSnapshot    `json:"limit"`    // on the flows of the instance
}

// LimitSnapshot is a limit on flows that recovers with time.
type LimitSnapshot struct {
	Flows     float64       `json:"held"` // at the last reduction
	Target    float64       `json:"was"`  // flows, at the first reduction of a series
	ReducedAt time.Duration `json:"at"`   // the last reduction; 0: there is no limit
}

func (l flowLimit) snapshot() LimitSnapshot {
	return LimitSnapshot{Flows: l.flows, Target: l.target, ReducedAt: l.reducedAt}
}

func (l LimitSnapshot) limit() flowLimit {
	return flowLimit{flows: l.Flows, target: l.Target, reducedAt: l.ReducedAt}
}

// ServerSnapshot is what an instance knows of one server; see serverState.
type ServerSnapshot struct {
	ID        ServerID      `json:"id"`
	Zone      Zone          `json:"zone"`
	Cell      CellID        `json:"cell"`
	Size      float64       `json:"size"`   // relative to that of other servers
	Readiness Readiness     `json:"listed"` // as the endpoint list has it
	Disabled  bool          `json:"by_hand,omitempty"`
	StartedAt time.Duration `json:"since"` // or LongAgo

	Ejected          bool          `json:"aside,omitempty"`
	EjectedUntil     time.Duration `json:"aside_to,omitempty"`
	EjectionTime     time.Duration `json:"pause,omitempty"`    // length of the last ejection
	ProbationLimit   int           `json:"trickle,omitempty"`  // flows out at once while on probation
	UnreachableInRow int           `json:"silent,omitempty"`   // attempts
	Latency          time.Duration `json:"delay,omitempty"`    // of a message, as last sampled
	LatencyAt        time.Duration `json:"delay_at,omitempty"` // time of that sample
	OverloadedAt     time.Duration `json:"hot_at,omitempty"`   // time of the last sample that showed overload
	FlowLimit        LimitSnapshot `json:"limit"`

	BudgetDue   float64       `json:"cold_due,omitempty"`  // attempts of the slow-start budget, by BudgetAt
	BudgetSpent int           `json:"cold_sent,omitempty"` // attempts, or expired
	BudgetAt    time.Duration `json:"cold_at,omitempty"`
}

// Snapshot returns what this instance knows now.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{
		Now:              b.now,
		UsualSize:        b.list.baselineSize,
		ConcurrencyLimit: b.admission.concurrencyLimit,
		SetupSpacing:     b.admission.spacing,
		ReopensAt:        b.admission.backoffUntil,
		SetupTimes:       slices.Clone(b.health.setupTimes),
		LastSetupAt:      b.health.lastSetupAt,
		FlowLimit:        b.health.flowLimit.snapshot(),
	}
	for _, id := range slices.Sorted(maps.Keys(b.list.byID)) {
		snapshot.Servers = append(snapshot.Servers, b.list.byID[id].snapshot())
	}
	return snapshot
}

func (s *serverState) snapshot() ServerSnapshot {
	return ServerSnapshot{
		ID:               s.id,
		Zone:             s.zone,
		Cell:             s.cell,
		Size:             s.size,
		Readiness:        s.listedReadiness,
		Disabled:         s.disabled,
		StartedAt:        s.startedAt,
		Ejected:          s.ejected,
		EjectedUntil:     s.ejectedUntil,
		EjectionTime:     s.ejectionTime,
		ProbationLimit:   s.probationLimit,
		UnreachableInRow: s.consecutiveUnreachable,
		Latency:          s.latency,
		LatencyAt:        s.latencyAt,
		OverloadedAt:     s.overloadedAt,
		FlowLimit:        s.limit.snapshot(),
		BudgetDue:        s.budgetDue,
		BudgetSpent:      s.budgetSpent,
		BudgetAt:         s.budgetAt,
	}
}

// Restore continues from the snapshot of another instance, whose clock this instance must share. Flows held here stay
// at their servers.
func (b *Balancer) Restore(snapshot Snapshot) {
	b.list.baselineSize = snapshot.UsualSize
	b.admission.spacing = snapshot.SetupSpacing
	b.admission.backoffUntil = snapshot.ReopensAt
	b.admission.concurrencyLimit = min(max(snapshot.ConcurrencyLimit, 1), b.maxConcurrency())
	b.health.setupTimes = snapshot.SetupTimes
	b.health.lastSetupAt = snapshot.LastSetupAt
	b.health.flowLimit = snapshot.FlowLimit.limit()
	for _, server := range b.list.all { // a cached list may name servers that the other instance saw removed
		b.setReadiness(server, Gone)
	}
	for _, known := range snapshot.Servers {
		server := b.list.server(known.ID)
		server.restore(known)
		b.setReadiness(server, known.Readiness)
	}
	b.rebuildList()
}

// restore keeps only what belongs to the flows held here.
func (s *serverState) restore(known ServerSnapshot) {
	*s = serverState{
		readiness:      s.readiness,
		incarnation:    s.incarnation,
		openFlows:      s.openFlows,
		groupTallies:   s.groupTallies,
		established:    s.established,
		probationFlows: s.probationFlows,

		id:                     known.ID,
		zone:                   known.Zone,
		cell:                   known.Cell,
		size:                   known.Size,
		disabled:               known.Disabled,
		startedAt:              known.StartedAt,
		ejected:                known.Ejected,
		ejectedUntil:           known.EjectedUntil,
		ejectionTime:           known.EjectionTime,
		probationLimit:         known.ProbationLimit,
		consecutiveUnreachable: known.UnreachableInRow,
		latency:                known.Latency,
		latencyAt:              known.LatencyAt,
		overloadedAt:           known.OverloadedAt,
		limit:                  known.FlowLimit.limit(),
		budgetDue:              known.BudgetDue,
		budgetSpent:            known.BudgetSpent,
		budgetAt:               known.BudgetAt,
	}
}

const (
	maxSnapshotServers = 100_000
	maxClockDifference = time.Hour // by which a server may have started after the snapshot
)

// Their texts go to the process that offers the snapshot.
var (
	errInvalidSnapshot = errors.New("a memory of nothing that was")
	errInvalidServer   = errors.New("a server that can't be")
)

// Validate returns an error that says what cannot have come from an instance, the snapshot or one of its servers.
func (s Snapshot) Validate() error {
	if s.Now < 0 || len(s.Servers) > maxSnapshotServers || len(s.SetupTimes) > sampleWindow {
		return errInvalidSnapshot
	}
	for _, known := range s.Servers {
		if known.isInvalid(s.Now) {
			return errInvalidServer
		}
	}
	return nil
}

func (s ServerSnapshot) isInvalid(now time.Duration) bool {
	return s.Readiness < Ready || s.Readiness > Gone || s.ProbationLimit < 0 || s.UnreachableInRow < 0 ||
		s.BudgetSpent < 0 || s.Size < 0 || s.StartedAt > now+maxClockDifference
}
