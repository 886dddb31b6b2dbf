package decide

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

// Snapshot is the state of a Balancer for one that replaces it in another process. It does not contain flows and their
// tallies, which stay with the process that holds the connections. All times are on the clock of the Balancer that took
// it; times and durations are in nanoseconds.
type Snapshot struct {
	Now              time.Duration    `json:"now"`
	Servers          []ServerSnapshot `json:"servers"`  // sorted by ID
	BaselineSize     float64          `json:"usual"`    // see endpointList.baselineSize; 0: unknown
	ConcurrencyLimit float64          `json:"window"`   // on concurrent attempts
	SetupSpacing     time.Duration    `json:"pause"`    // from which the backoff is drawn while the limit is 1
	BackoffUntil     time.Duration    `json:"opens"`    // no attempt but a forced one is made before this time
	SetupTimes       []time.Duration  `json:"setups"`   // of the most recent set-ups at any server, oldest first
	LastSetupAt      time.Duration    `json:"setup_at"` // when the last of them ended, or outcomeMaxAge later if it timed out
	FlowLimit        LimitSnapshot    `json:"limit"`    // on all flows of the balancer

	// Earlier builds don't have the fields below.
	RecentSetups  []OutcomeSnapshot `json:"ends,omitempty"`    // at any server, oldest first
	LastAttemptAt time.Duration     `json:"tried,omitempty"`   // when the last attempt was made
	RejectedSince int               `json:"refused,omitempty"` // flows rejected without an attempt since then
	CheckCredit   float64           `json:"credit,omitempty"`  // health checks that may be sent
}

// OutcomeSnapshot is the outcome of a set-up, or of a connection that was reset.
type OutcomeSnapshot struct {
	At     time.Duration `json:"at"`
	Failed bool          `json:"failed,omitempty"`
}

// recentOutcomes returns the outcomes of a window that still count.
func recentOutcomes(window []sample, now time.Duration) (recent []OutcomeSnapshot) {
	for _, entry := range window {
		if now-entry.at < outcomeMaxAge {
			recent = append(recent, OutcomeSnapshot{At: entry.at, Failed: entry.failed})
		}
	}
	return recent
}

// restoreOutcomes returns the window that recentOutcomes recorded, or the last size outcomes of a longer one.
func restoreOutcomes(recent []OutcomeSnapshot, size int) (window []sample) {
	for _, outcome := range recent {
		window = appendWindow(window, sample{outcome.At, outcome.Failed}, size)
	}
	return window
}

// LimitSnapshot is the state of a limit on flows, which grows with time since its last reduction.
type LimitSnapshot struct {
	Flows     float64       `json:"held"` // the limit at the last reduction
	Growth    float64       `json:"was"`  // by which the limit grows in limitRecoveryTime: the limit at the first reduction of a series
	ReducedAt time.Duration `json:"at"`   // time of the last reduction; 0: no limit
}

func (l flowLimit) snapshot() LimitSnapshot {
	return LimitSnapshot{Flows: finite(l.flows), Growth: finite(l.growth), ReducedAt: l.reducedAt}
}

func (l LimitSnapshot) limit() flowLimit {
	return flowLimit{flows: l.Flows, growth: l.Growth, reducedAt: l.ReducedAt}
}

// ServerSnapshot is the state of one server.
type ServerSnapshot struct {
	ID          ServerID      `json:"id"`
	Zone        Zone          `json:"zone"`
	Cell        CellID        `json:"cell"`
	Size        float64       `json:"size"`                // relative to that of other servers
	LargestSize float64       `json:"size_most,omitempty"` // listed since the server started; 0: the present one
	Readiness   Readiness     `json:"listed"`              // in the endpoint list
	Disabled    bool          `json:"by_hand,omitempty"`
	StartedAt   time.Duration `json:"since"` // or LongAgo

	Ejected                bool          `json:"aside,omitempty"`
	EjectedUntil           time.Duration `json:"aside_to,omitempty"`
	EjectionTime           time.Duration `json:"pause,omitempty"`    // duration of the last ejection
	ProbationLimit         int           `json:"trickle,omitempty"`  // maximum number of flows while on probation
	ConsecutiveUnreachable int           `json:"silent,omitempty"`   // consecutive attempts that ended as Unreachable
	Latency                time.Duration `json:"delay,omitempty"`    // last sample of the message latency
	LatencyAt              time.Duration `json:"delay_at,omitempty"` // time of that sample
	OverloadedAt           time.Duration `json:"hot_at,omitempty"`   // time of the last sample that showed overload
	FlowLimit              LimitSnapshot `json:"limit"`

	BudgetDue   float64       `json:"cold_due,omitempty"`  // attempts of the slow-start budget that were due at BudgetAt
	BudgetSpent int           `json:"cold_sent,omitempty"` // attempts that were spent or have expired
	BudgetAt    time.Duration `json:"cold_at,omitempty"`

	// Earlier builds don't have the fields below.
	Outcomes       []OutcomeSnapshot `json:"ends,omitempty"`    // of recent set-ups, oldest first
	ReportedLoad   float64           `json:"load,omitempty"`    // as a share of its capacity
	LoadReportedAt time.Duration     `json:"load_at,omitempty"` // 0: no recent report
}

// Snapshot returns the current state. Servers that can't matter to another Balancer are left out: they would accumulate
// as it is handed over again and again.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{
		Now:              b.now,
		BaselineSize:     finite(b.list.baselineSize),
		ConcurrencyLimit: finite(b.admission.concurrencyLimit),
		SetupSpacing:     b.admission.spacing,
		BackoffUntil:     b.admission.backoffUntil,
		SetupTimes:       slices.Clone(b.health.setupTimes),
		LastSetupAt:      b.health.lastSetupAt,
		FlowLimit:        b.health.flowLimit.snapshot(),
		RecentSetups:     recentOutcomes(b.admission.recentSetups, b.now),
		LastAttemptAt:    b.admission.lastConnectAt,
		RejectedSince:    b.admission.rejectedSince,
		CheckCredit:      finite(b.health.checkCredit),
	}
	for _, id := range slices.Sorted(maps.Keys(b.list.byID)) {
		if server := b.list.byID[id]; !server.isForgotten() {
			snapshot.Servers = append(snapshot.Servers, server.snapshot(b.now))
		}
	}
	return snapshot
}

// isForgotten reports whether nothing about the server matters any more: it is gone, holds no flow, and operators have
// not disabled it.
func (s *serverState) isForgotten() bool {
	return s.listedReadiness == Gone && !s.disabled && s.openFlows == 0 && len(s.established) == 0
}

// finite returns a value that can be handed over: JSON has none that is infinite or not a number.
func finite(value float64) float64 {
	if math.IsInf(value, 0) || math.IsNaN(value) {
		return 0
	}
	return value
}

func (s *serverState) snapshot(now time.Duration) ServerSnapshot {
	size, largest := finite(s.size), finite(s.largestSize)
	if largest <= size {
		largest = 0
	}
	load, loadReportedAt := finite(s.reportedLoad), s.loadReportedAt
	if now-loadReportedAt >= loadReportMaxAge {
		load, loadReportedAt = 0, 0
	}
	return ServerSnapshot{
		Outcomes:               recentOutcomes(s.samples, now),
		ReportedLoad:           load,
		LoadReportedAt:         loadReportedAt,
		LargestSize:            largest,
		ID:                     s.id,
		Zone:                   s.zone,
		Cell:                   s.cell,
		Size:                   size,
		Readiness:              s.listedReadiness,
		Disabled:               s.disabled,
		StartedAt:              s.startedAt,
		Ejected:                s.ejected,
		EjectedUntil:           s.ejectedUntil,
		EjectionTime:           s.ejectionTime,
		ProbationLimit:         s.probationLimit,
		ConsecutiveUnreachable: s.consecutiveUnreachable,
		Latency:                s.latency,
		LatencyAt:              s.latencyAt,
		OverloadedAt:           s.overloadedAt,
		FlowLimit:              s.limit.snapshot(),
		BudgetDue:              finite(s.budgetDue),
		BudgetSpent:            s.budgetSpent,
		BudgetAt:               s.budgetAt,
	}
}

// Restore replaces the state by a snapshot of another Balancer, which must use the same clock. The flows of this Balancer
// stay at their servers.
func (b *Balancer) Restore(snapshot Snapshot) {
	b.list.baselineSize = snapshot.BaselineSize
	if !b.placement.hasSizes { // an earlier build may have added up sizes that are no capacities
		b.list.baselineSize = min(b.list.baselineSize, float64(len(snapshot.Servers)))
	}
	b.admission.spacing = snapshot.SetupSpacing
	b.admission.backoffUntil = snapshot.BackoffUntil
	b.admission.concurrencyLimit = min(max(snapshot.ConcurrencyLimit, 1), b.maxConcurrency())
	b.health.setupTimes = snapshot.SetupTimes
	b.health.lastSetupAt = snapshot.LastSetupAt
	b.health.flowLimit = snapshot.FlowLimit.limit()
	b.health.checkCredit = snapshot.CheckCredit
	b.admission.recentSetups = restoreOutcomes(snapshot.RecentSetups, sampleWindow)
	b.admission.lastConnectAt = snapshot.LastAttemptAt
	b.admission.rejectedSince = max(0, snapshot.RejectedSince)
	for _, server := range b.list.all { // a cached list may contain servers whose removal the other Balancer has seen
		b.setReadiness(server, Gone)
	}
	for _, known := range snapshot.Servers {
		server := b.list.server(known.ID)
		server.restore(known)
		b.setReadiness(server, known.Readiness)
	}
	b.rebuildList()
}

// restore replaces the state by a snapshot, except for the accounting of this balancer's own flows.
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
		largestSize:            max(known.LargestSize, known.Size),
		disabled:               known.Disabled,
		startedAt:              known.StartedAt,
		ejected:                known.Ejected,
		ejectedUntil:           known.EjectedUntil,
		ejectionTime:           known.EjectionTime,
		probationLimit:         known.ProbationLimit,
		consecutiveUnreachable: known.ConsecutiveUnreachable,
		latency:                known.Latency,
		latencyAt:              known.LatencyAt,
		overloadedAt:           known.OverloadedAt,
		limit:                  known.FlowLimit.limit(),
		budgetDue:              known.BudgetDue,
		budgetSpent:            known.BudgetSpent,
		budgetAt:               known.BudgetAt,
		reportedLoad:           known.ReportedLoad,
		loadReportedAt:         known.LoadReportedAt,
		samples:                restoreOutcomes(known.Outcomes, serverSampleWindow),
	}
}

const (
	maxSnapshotServers = 100_000
	maxClockDifference = time.Hour // how long after the snapshot a server may have started
)

// The messages are sent to the process that offers the snapshot.
var (
	errInvalidSnapshot = errors.New("snapshot has a value out of range")
	errInvalidServer   = errors.New("snapshot has a server with a value out of range")
)

// Validate returns an error if the snapshot or one of its servers has a value that no Balancer can have written.
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
	return s.Readiness < Ready || s.Readiness > Gone || s.ProbationLimit < 0 || s.ConsecutiveUnreachable < 0 ||
		s.BudgetSpent < 0 || s.Size < 0 || s.LargestSize < 0 || s.StartedAt > now+maxClockDifference
}
