package signals

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

const (
	penaltyCost        = 4.0                // in units of placement cost: above what grouping and a usual load add together
	ownHealthyValidity = time.Second        // an own healthy observation no older than this overrides the reports
	initialPenaltyTime = 5 * time.Second    // after the last report of a fault
	maxPenaltyTime     = 36 * time.Second   // up to which the time doubles with each recurrence
	recurrenceTime     = 2 * maxPenaltyTime // a fault within this time after it was confirmed counts as recurring, a later one as new
	maxRecurrences     = 3                  // that a single reporter may cause, before the fault has to be confirmed again
	// Mean time between the ends of two balancers' penalties, within which the later one learns what the earlier one
	// observes.
	releaseInterval   = time.Second
	minReleaseFleet   = 3  // smallest fleet size by which the ends of penalties are staggered; a smaller fleet counts as this size
	serversPerPenalty = 10 // if more than one in this many servers is penalised, none is avoided
)

// updatePenalties begins, prolongs and ends penalties according to the present reports.
func (e *Exchange) updatePenalties() {
	penalised := 0
	for id, c := range e.servers {
		e.updatePenalty(id, c)
		if c.isPenalised(e.now) && e.ready[id] {
			penalised++
		}
		if c.isUnused(e.now) {
			delete(e.servers, id)
		}
	}
	// A fault of many servers is not one of individual servers: avoiding them all would move their load onto the rest
	// and overload it.
	e.isFaultWidespread = penalised > max(1, len(e.ready)/serversPerPenalty)
}

// updatePenalty begins, prolongs or ends the penalty of one server.
func (e *Exchange) updatePenalty(id decide.ServerID, c *consensus) {
	confirmedRecently := e.now < c.confirmedAt+recurrenceTime
	switch {
	case c.isConfirmed() || confirmedRecently && c.mayContinue(e.now):
		e.penalise(id, c, confirmedRecently)
	case c.healthy >= minReporters && c.faulty == 0:
		// Balancers with connections there report that the fault is over.
		c.penalisedUntil = min(c.penalisedUntil, e.now)
	}
}

// penalise begins or prolongs a penalty. One that ended and begins again lasts longer if its fault was confirmed
// recently.
func (e *Exchange) penalise(id decide.ServerID, c *consensus, confirmedRecently bool) {
	switch {
	case !confirmedRecently:
		c.penaltyTime = initialPenaltyTime
	case e.now > c.penalisedUntil:
		c.penaltyTime = min(2*c.penaltyTime, maxPenaltyTime)
		c.recurrences++
	}
	if c.isConfirmed() {
		c.confirmedAt = e.now
		c.recurrences = 0
	}
	c.penalisedUntil = e.now + c.penaltyTime + e.releaseDelay(id)
}

// releaseDelay staggers the ends of all balancers' penalties, so that the first balancer finds out for all whether the
// server has recovered.
func (e *Exchange) releaseDelay(id decide.ServerID) time.Duration {
	fleet := float64(max(e.fleetSize, minReleaseFleet))
	return time.Duration(releaseShare(e.own.Origin, id) * fleet * float64(releaseInterval))
}

// releaseShare returns a number from 0 to 1 that is constant for a balancer and a server.
func releaseShare(origin Origin, id decide.ServerID) float64 {
	hash := fnv.New32a()
	key := append([]byte(origin), byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
	_, _ = hash.Write(key) // never fails
	return float64(hash.Sum32()) / math.MaxUint32
}

// ServerCost adds a cost to a server that is penalised, unless this balancer itself observes the server as healthy, or so
// many servers are penalised that none is avoided.
func (e *Exchange) ServerCost(_ decide.FlowID, id decide.ServerID) (float64, constraints.Reason) {
	if !e.enabled {
		return 0, ""
	}
	e.gather()
	c := e.servers[id]
	if c == nil || !c.isPenalised(e.now) || e.isFaultWidespread || e.observesHealthy(id) {
		return 0, ""
	}
	return penaltyCost, ""
}

// ExplainCost returns the fault for which a server is penalised, and origins that report it; empty if it is not
// penalised.
func (e *Exchange) ExplainCost(id decide.ServerID) string {
	if c := e.servers[id]; c != nil && c.isPenalised(e.now) {
		return fmt.Sprintf("%s, say %v", c.worst, c.faultOrigins)
	}
	return ""
}
