package signals

import (
	"maps"
	"slices"
	"time"

	"yardwinch/decide"
)

const (
	faultValidity      = 5 * time.Second  // of a report of a fault: twice evidenceValidity, to allow for the delay of publishing
	healthyValidity    = 15 * time.Second // of a report of a healthy server
	minReporters       = 2                // a single reporter may be wrong, or behind a bad link
	maxReporters       = 5                // that publish a fault as urgent; more would only add traffic
	minGatherInterval  = minPublishInterval / 5
	consensusRetention = 4 * maxPenaltyTime // after the last confirmation, without reports
)

// consensus sums up the reports of all origins on a server.
type consensus struct {
	faulty       int // origins that report a fault, including this balancer
	healthy      int // origins that have connections there and report no fault
	worst        Fault
	faultOrigins []Origin // some of those that report a fault
	connections  int      // connections of all origins to the server

	penalisedUntil time.Duration
	penaltyTime    time.Duration // doubled at each recurrence
	confirmedAt    time.Duration // when the fault was last confirmed
	recurrences    int           // of the penalty, caused by a single reporter, since the fault was last confirmed
}

// isConfirmed reports whether enough origins report a fault: at least two, and no fewer than report the server as
// healthy. So a single origin that is wrong or behind a bad link has no effect, and a fault that only a minority
// observes leads to no penalty at the others.
func (c *consensus) isConfirmed() bool { return c.faulty >= minReporters && c.faulty >= c.healthy }

// isPenalised reports whether a penalty of the server is in force. What this balancer itself observes may override it.
func (c *consensus) isPenalised(now time.Duration) bool { return now < c.penalisedUntil }

// mayContinue reports whether a single report is enough to continue a penalty that was confirmed before, or to begin it
// again.
func (c *consensus) mayContinue(now time.Duration) bool {
	if c.faulty == 0 || c.healthy > 0 {
		return false
	}
	return c.isPenalised(now) || c.recurrences < maxRecurrences
}

// isUnused reports whether a server has no valid reports and its last fault was confirmed long ago, if it ever was.
func (c *consensus) isUnused(now time.Duration) bool {
	return c.faulty+c.healthy == 0 && c.connections == 0 && now-c.confirmedAt > consensusRetention
}

// gather updates the consensus on all servers and the penalties from the reports of all origins. Calls soon after the
// last update do nothing, so that decisions stay cheap.
func (e *Exchange) gather() {
	sinceLast := e.now - e.gatheredAt
	if sinceLast < minGatherInterval || !e.changed && sinceLast < minPublishInterval {
		return
	}
	e.changed = false
	e.gatheredAt = e.now
	e.countReports()
	e.updatePenalties()
}

// countReports recounts the reports of all origins.
func (e *Exchange) countReports() {
	for _, c := range e.servers {
		c.faulty = 0
		c.healthy = 0
		c.worst = Healthy
		c.connections = 0
		c.faultOrigins = c.faultOrigins[:0]
	}
	for id, observed := range e.observations {
		fault, age := observed.fault(e.now)
		e.countReport(e.own.Origin, Report{Server: id, Fault: fault, Connections: observed.connections}, age)
	}
	for _, origin := range slices.Sorted(maps.Keys(e.store.records)) { // consensus.faultOrigins is in this order
		if e.reporters != nil && !e.reporters[origin] {
			continue
		}
		stored := e.store.records[origin]
		for _, report := range stored.Reports {
			e.countReport(origin, report, report.Age+e.now-stored.at)
		}
	}
}

// countReport counts one origin's report on a server. Each origin counts once, however many connections it claims.
func (e *Exchange) countReport(origin Origin, report Report, age time.Duration) {
	c := e.servers[report.Server]
	if c == nil {
		c = &consensus{confirmedAt: never, penalisedUntil: never}
		e.servers[report.Server] = c
	}
	if age < healthyValidity+faultValidity {
		c.connections += report.Connections
	}
	switch {
	case report.Fault != Healthy && age < faultValidity:
		c.faulty++
		c.worst = max(c.worst, report.Fault)
		if len(c.faultOrigins) < maxReporters {
			c.faultOrigins = append(c.faultOrigins, origin)
		}
	case report.Fault == Healthy && report.Connections > 0 && age < healthyValidity:
		c.healthy++
	}
}

// status is what operators are shown of a server that is reported as faulty or penalised.
type status struct {
	Server      decide.ServerID `json:"id"`
	Fault       string          `json:"what"`
	Faulty      int             `json:"say_so"`
	Healthy     int             `json:"say_well"`
	Connections int             `json:"held_by_all"`
	Penalised   bool            `json:"dearer_here"`
	Origins     []Origin        `json:"origins"`
}

// State returns what operators are shown: the servers that are reported as faulty or penalised, and how many origins
// are known.
func (e *Exchange) State() any {
	e.gather()
	var list []status
	for _, id := range slices.Sorted(maps.Keys(e.servers)) {
		c := e.servers[id]
		isPenalised := c.isPenalised(e.now)
		if c.faulty == 0 && !isPenalised {
			continue
		}
		list = append(list, status{
			Server:      id,
			Fault:       c.worst.String(),
			Faulty:      c.faulty,
			Healthy:     c.healthy,
			Connections: c.connections,
			Penalised:   isPenalised,
			Origins:     slices.Clone(c.faultOrigins),
		})
	}
	return map[string]any{"on": e.enabled, "servers": list, "origins": len(e.store.records)}
}
