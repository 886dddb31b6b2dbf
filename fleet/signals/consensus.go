package signals

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

const (
	penalty          = 4.0              // in units of the design's cost: more than grouping and a usual load are worth together
	troubleValid     = 5 * time.Second  // of a report of trouble: twice the evidence's own time, for the way
	healthyValid     = 15 * time.Second // of a report that all is well
	ownHealthyValid  = time.Second      // what was observed here a moment ago is never overruled
	minReporters     = 2                // one liar, or one behind a bad link, is never enough
	maxReporters     = 5                // as many as publish a trouble at once; more would only cost bytes
	releaseInterval  = time.Second      // one balancer after the other: the next hears first what the one before met
	minReleaseFleet  = 3                // a smaller fleet releases like one of this size
	firstPenaltyTime = 5 * time.Second  // a server that was found in trouble stays penalised so long after the last report of it
	maxPenaltyTime   = 36 * time.Second // doubled each time that it is found so again soon
	recurrenceTime   = 2 * maxPenaltyTime
	keptAfter        = 4 * maxPenaltyTime // a consensus with no report is kept so long
	maxRenewals      = 3                  // a lone reporter may renew a penalty so often
	penalisedPart    = 10                 // one in so many servers may be penalised at a time; beyond, none is
	minGatherGap     = publishGap / 5
)

// consensus is what all origins together report of a server.
type consensus struct {
	troubled       int // origins that report trouble, this one too
	healthy        int // origins that hold connections there and report none
	worst          Fault
	origins        []Origin // some of those that report trouble
	held           int      // connections of all
	penalisedUntil time.Duration
	penaltyTime    time.Duration
	confirmedAt    time.Duration
	renewals       int // times that a lone reporter renewed the penalty
}

// confirmed tells whether enough report that a server is in trouble: two at the least, and no fewer than hold connections there and
// report that all is well. So one that lies, or sits behind a bad link, moves nobody, and trouble that only some have stays with them.
func (c *consensus) confirmed() bool { return c.troubled >= minReporters && c.troubled >= c.healthy }

// renewable tells whether a penalty that was confirmed before may go on, or begin again, by one reporter's word.
func (c *consensus) renewable(now time.Duration) bool {
	if c.troubled == 0 || c.healthy > 0 {
		return false
	}
	return now < c.penalisedUntil || c.renewals < maxRenewals
}

// unused tells whether nothing is reported of a server, and nothing was for long.
func (c *consensus) unused(now time.Duration) bool {
	return c.troubled+c.healthy == 0 && c.held == 0 && now-c.confirmedAt > keptAfter
}

// gather brings together what all report, at most once in a while: deciding must not pay for it.
func (s *Exchange) gather() {
	sinceLast := s.now - s.gatheredAt
	if sinceLast < minGatherGap || !s.dirty && sinceLast < publishGap {
		return
	}
	s.dirty = false
	s.gatheredAt = s.now
	s.countReports()
	s.updatePenalties()
}

// countReports counts the reports of all origins anew.
func (s *Exchange) countReports() {
	for _, c := range s.servers {
		c.troubled = 0
		c.healthy = 0
		c.worst = Healthy
		c.held = 0
		c.origins = c.origins[:0]
	}
	for id, x := range s.observations {
		trouble, age := x.trouble(s.now)
		s.count(s.own.Origin, Report{Server: id, Fault: trouble, Connections: x.held}, age)
	}
	for _, origin := range slices.Sorted(maps.Keys(s.store.records)) { // origins are named in this order
		if s.reporters != nil && !s.reporters[origin] {
			continue
		}
		record := s.store.records[origin]
		for _, report := range record.Reports {
			s.count(origin, report, report.Age+s.now-record.at)
		}
	}
}

// count counts one origin's report on a server: one each, whatever it claims to hold.
func (s *Exchange) count(origin Origin, report Report, age time.Duration) {
	c := s.servers[report.Server]
	if c == nil {
		c = &consensus{confirmedAt: never, penalisedUntil: never}
		s.servers[report.Server] = c
	}
	if age < healthyValid+troubleValid {
		c.held += report.Connections
	}
	switch {
	case report.Fault != Healthy && age < troubleValid:
		c.troubled++
		c.worst = max(c.worst, report.Fault)
		if len(c.origins) < maxReporters {
			c.origins = append(c.origins, origin)
		}
	case report.Fault == Healthy && report.Connections > 0 && age < healthyValid:
		c.healthy++
	}
}

// updatePenalties says which servers are penalised from now on.
func (s *Exchange) updatePenalties() {
	penalised := 0
	for id, c := range s.servers {
		s.updatePenalty(id, c)
		if s.now < c.penalisedUntil && s.ready[id] {
			penalised++
		}
		if c.unused(s.now) {
			delete(s.servers, id)
		}
	}
	// Trouble of many is no matter of single servers: to leave them out would push their load onto the rest, cold ones first.
	s.widespread = penalised > max(1, len(s.ready)/penalisedPart)
}

func (s *Exchange) updatePenalty(id decide.ServerID, c *consensus) {
	recurs := s.now < c.confirmedAt+recurrenceTime
	switch {
	case c.confirmed() || recurs && c.renewable(s.now):
		s.penalise(id, c, recurs)
	case c.healthy >= minReporters && c.troubled == 0:
		c.penalisedUntil = min(c.penalisedUntil, s.now) // those who hold connections there report that it is over
	}
}

// penalise begins a penalty, or lets it go on. One that recurs soon after its end lasts longer.
func (s *Exchange) penalise(id decide.ServerID, c *consensus, recurs bool) {
	switch {
	case !recurs:
		c.penaltyTime = firstPenaltyTime
	case s.now > c.penalisedUntil:
		c.penaltyTime = min(2*c.penaltyTime, maxPenaltyTime)
		c.renewals++
	}
	if c.confirmed() {
		c.confirmedAt = s.now
		c.renewals = 0
	}
	c.penalisedUntil = s.now + c.penaltyTime + s.releaseDelay(id)
}

// releaseDelay spreads the ends of all balancers' penalties, so that the first finds out for all whether the server is well again.
func (s *Exchange) releaseDelay(id decide.ServerID) time.Duration {
	fleet := float64(max(s.fleetSize, minReleaseFleet))
	return time.Duration(releaseShare(s.own.Origin, id) * fleet * float64(releaseInterval))
}

// releaseShare is a figure from 0 to 1 that belongs to a balancer and a server.
func releaseShare(origin Origin, id decide.ServerID) float64 {
	hash := fnv.New32a()
	key := append([]byte(origin), byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
	_, _ = hash.Write(key) // a hash takes all
	return float64(hash.Sum32()) / math.MaxUint32
}

// ServerCost penalises a server that enough others found in trouble, unless this balancer itself saw it well a moment ago.
func (s *Exchange) ServerCost(_ decide.FlowID, id decide.ServerID) (float64, constraints.Reason) {
	if !s.enabled {
		return 0, ""
	}
	s.gather()
	c := s.servers[id]
	if c == nil || s.now >= c.penalisedUntil || s.widespread || s.wellHere(id) {
		return 0, ""
	}
	return penalty, ""
}

// wellHere tells whether this balancer holds connections on a server and all is well, or one was set up well a moment ago.
func (s *Exchange) wellHere(id decide.ServerID) bool {
	x := s.observations[id]
	if x == nil {
		return false
	}
	trouble, _ := x.trouble(s.now)
	return trouble == Healthy && (x.held > 0 || s.now-x.goodAt < ownHealthyValid)
}

// ExplainCost names the trouble for which a server is penalised, with those who report it; empty where it is not.
func (s *Exchange) ExplainCost(id decide.ServerID) string {
	if c := s.servers[id]; c != nil && s.now < c.penalisedUntil {
		return fmt.Sprintf("%s, say %v", c.worst, c.origins)
	}
	return ""
}
