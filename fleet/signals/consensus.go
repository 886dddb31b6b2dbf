package signals

import (
	"maps"
	"slices"
	"time"

	"yardwinch/decide"
)

const (
	faultValidity      = 5 * time.Second  // of a report of a fault: twice the validity of the evidence, for the way
	healthyValidity    = 15 * time.Second // of a report of a healthy server
	minReporters       = 2                // a single one may be wrong, or behind a bad link
	maxReporters       = 5                // that publish a fault at once; more would only cost bytes
	minGatherInterval  = minPublishInterval / 5
	consensusRetention = 4 * maxPenaltyTime // after the last confirmation, without reports
)

// consensus is what all origins together report of a server.
type consensus struct {
	faulty       int // origins that report a fault, this one too
	healthy      int // origins that have connections there and report none
	worst        Fault
	faultOrigins []Origin // some of those that report a fault
	connections  int      // of all origins

	penalisedUntil time.Duration
	penaltyTime    time.Duration // doubled at each recurrence
	confirmedAt    time.Duration // the last time
	recurrences    int           // of the penalty, by a single reporter, since the fault was last confirmed
}

// isConfirmed reports whether enough origins report a fault: at least two, and no fewer than report the server as
// healthy. So an origin that is wrong or behind a bad link changes nothing, and a fault that only some observe
// concerns them alone.
func (c *consensus) isConfirmed() bool { return c.faulty >= minReporters && c.faulty >= c.healthy }

// isPenalised reports whether a penalty of the server runs. What this balancer itself observes may overrule it.
func (c *consensus) isPenalised(now time.Duration) bool { return now < c.penalisedUntil }

// mayContinue reports whether a penalty that was confirmed before may continue, or begin again, by a single report.
func (c *consensus) mayContinue(now time.Duration) bool {
	if c.faulty == 0 || c.healthy > 0 {
		return false
	}
	return c.isPenalised(now) || c.recurrences < maxRecurrences
}

// isUnused reports whether nothing has been reported of a server for long.
func (c *consensus) isUnused(now time.Duration) bool {
	return c.faulty+c.healthy == 0 && c.connections == 0 && now-c.confirmedAt > consensusRetention
}

// gather brings the reports of all origins together. It does so only now and then, so that decisions need not pay
// for it.
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

// countReports counts the reports of all origins again from the start.
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
		e.count(e.own.Origin, Report{Server: id, Fault: fault, Connections: observed.connections}, age)
	}
	for _, origin := range slices.Sorted(maps.Keys(e.store.records)) { // consensus.faultOrigins has this order
		if e.reporters != nil && !e.reporters[origin] {
			continue
		}
		stored := e.store.records[origin]
		for _, report := range stored.Reports {
			e.count(origin, report, report.Age+e.now-stored.at)
		}
	}
}

// count counts one origin's report of a server. Each origin counts once, however many connections it claims to have.
func (e *Exchange) count(origin Origin, report Report, age time.Duration) {
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

// status is a server that is reported as faulty or penalised, as operators see it.
type status struct {
	Server      decide.ServerID `json:"id"`
	Fault       string          `json:"what"`
	Faulty      int             `json:"say_so"`
	Healthy     int             `json:"say_well"`
	Connections int             `json:"held_by_all"`
	Penalised   bool            `json:"dearer_here"`
	Origins     []Origin        `json:"origins"`
}

// State is what operators are shown: the servers that are reported as faulty or penalised, and how many origins
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
