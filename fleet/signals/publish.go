package signals

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardwinch/decide"
)

const (
	minPublishInterval = 250 * time.Millisecond // between two records of one origin
	steadyInterval     = 2 * time.Second        // between two records in a small fleet while no fault begins or ends
	smallFleet         = 40                     // members; the interval grows in a larger fleet, so that the traffic stays the same
	republishInterval  = faultValidity / 2      // after which a fault is published again, before its report expires
	minElapsed         = 0.001                  // seconds, as a divisor
)

// Publish returns the record to publish now, if one is due in a fleet of the given size: soon after a fault begins
// or ends, else at an interval that grows with the fleet. A fault that enough other origins report is not urgent.
func (e *Exchange) Publish(fleetSize int) (record Record, isDue bool) {
	e.fleetSize = fleetSize
	elapsed := e.now - e.publishedAt
	if elapsed < minPublishInterval {
		return Record{}, false
	}
	e.gather()
	reports, urgent := e.reports()
	if !urgent && elapsed < steadyIntervalOf(fleetSize) {
		return Record{}, false
	}
	if e.own.Sequence > 0 {
		e.own.Rate = float64(e.newFlows) / math.Max(elapsed.Seconds(), minElapsed)
	}
	e.own.Sequence++
	e.own.Reports = reports
	e.own.LoadReports = e.loadReports()
	e.published = reports
	e.publishedAt = e.now
	e.newFlows = 0
	return e.own, true
}

// steadyIntervalOf returns the interval between records in a fleet of the given size while no fault begins or ends.
func steadyIntervalOf(fleetSize int) time.Duration {
	return time.Duration(float64(steadyInterval) * math.Max(1, float64(fleetSize)/smallFleet))
}

// reports returns the reports to publish, those of faulty servers first, and whether one of them is urgent.
func (e *Exchange) reports() (list []Report, urgent bool) {
	before := map[decide.ServerID]Report{}
	for _, report := range e.published {
		before[report.Server] = report
	}
	for id, observed := range e.observations {
		fault, age := observed.fault(e.now)
		report := Report{Server: id, Fault: fault, Connections: observed.connections, Age: age}
		wasFaulty := before[id].Fault != Healthy
		switch {
		case fault != Healthy:
			list = append(list, report)
			urgent = urgent || e.isUrgent(id, wasFaulty)
		case observed.connections > 0:
			report.Age = 0 // open connections are current evidence
			list = append(list, report)
			urgent = urgent || wasFaulty
		case wasFaulty && age < evidenceValidity:
			list = append(list, report)
		}
	}
	slices.SortFunc(list, compareReports)
	return list[:min(len(list), MaxReports)], urgent
}

// compareReports orders reports by their use to other balancers: the worst faults first, then the most connections.
func compareReports(a, b Report) int {
	return cmp.Or(
		cmp.Compare(b.Fault, a.Fault),
		cmp.Compare(b.Connections, a.Connections),
		cmp.Compare(a.Server, b.Server),
	)
}

// isUrgent reports whether a fault of a server is to be published at once: if fewer than maxReporters others report it,
// and it is new or its last report expires soon.
func (e *Exchange) isUrgent(id decide.ServerID, wasPublished bool) bool {
	others := 0
	if c := e.servers[id]; c != nil {
		others = c.faulty - 1 // this balancer is one of them
	}
	return others < maxReporters && (!wasPublished || e.now-e.publishedAt > republishInterval)
}
