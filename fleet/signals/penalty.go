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
	penaltyCost        = 4.0              // in units of the placement cost: above grouping and a usual load together
	ownHealthyValidity = time.Second      // what this balancer observed so recently is never overruled
	initialPenaltyTime = 5 * time.Second  // after the last report of a fault
	maxPenaltyTime     = 36 * time.Second // to which the time doubles with each recurrence
	recurrenceTime     = 2 * maxPenaltyTime
	maxRenewals        = 3 // of a penalty by a single reporter
	// Between the ends of two balancers' penalties: a later one learns what the earlier one meets.
	releaseInterval  = time.Second
	minReleaseFleet  = 3  // the size that a smaller fleet counts as for it
	maxPenalisedPart = 10 // one in so many servers may be penalised at a time
)

// updatePenalties begins, renews and ends penalties by what is reported now.
func (e *Exchange) updatePenalties() {
	penalised := 0
	for id, c := range e.servers {
		e.updatePenalty(id, c)
		if e.now < c.penalisedUntil && e.ready[id] {
			penalised++
		}
		if c.isUnused(e.now) {
			delete(e.servers, id)
		}
	}
	// A fault of many servers is not about single ones: avoiding them all would push their load onto the rest and
	// overload it.
	e.widespread = penalised > max(1, len(e.ready)/maxPenalisedPart)
}

func (e *Exchange) updatePenalty(id decide.ServerID, c *consensus) {
	recurs := e.now < c.confirmedAt+recurrenceTime
	switch {
	case c.isConfirmed() || recurs && c.isRenewable(e.now):
		e.penalise(id, c, recurs)
	case c.healthy >= minReporters && c.faulty == 0:
		// Balancers with connections there report that the fault is over.
		c.penalisedUntil = min(c.penalisedUntil, e.now)
	}
}

// penalise begins a penalty or renews it. One that begins again soon after its end lasts longer.
func (e *Exchange) penalise(id decide.ServerID, c *consensus, recurs bool) {
	switch {
	case !recurs:
		c.penaltyTime = initialPenaltyTime
	case e.now > c.penalisedUntil:
		c.penaltyTime = min(2*c.penaltyTime, maxPenaltyTime)
		c.renewals++
	}
	if c.isConfirmed() {
		c.confirmedAt = e.now
		c.renewals = 0
	}
	c.penalisedUntil = e.now + c.penaltyTime + e.releaseDelay(id)
}

// releaseDelay spreads the ends of all balancers' penalties, so that the first one finds out for all whether the
// server has recovered.
func (e *Exchange) releaseDelay(id decide.ServerID) time.Duration {
	fleet := float64(max(e.fleetSize, minReleaseFleet))
	return time.Duration(releaseShare(e.own.Origin, id) * fleet * float64(releaseInterval))
}

// releaseShare is a number from 0 to 1 that is constant for a balancer and a server.
func releaseShare(origin Origin, id decide.ServerID) float64 {
	hash := fnv.New32a()
	key := append([]byte(origin), byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
	_, _ = hash.Write(key) // never fails
	return float64(hash.Sum32()) / math.MaxUint32
}

// ServerCost penalises a server that enough origins report as faulty, unless this balancer itself observes it as
// healthy.
func (e *Exchange) ServerCost(_ decide.FlowID, id decide.ServerID) (float64, constraints.Reason) {
	if !e.enabled {
		return 0, ""
	}
	e.gather()
	c := e.servers[id]
	if c == nil || e.now >= c.penalisedUntil || e.widespread || e.observesHealthy(id) {
		return 0, ""
	}
	return penaltyCost, ""
}

// ExplainCost names the fault for which a server is penalised, with origins that report it; empty where it is not
// penalised.
func (e *Exchange) ExplainCost(id decide.ServerID) string {
	if c := e.servers[id]; c != nil && e.now < c.penalisedUntil {
		return fmt.Sprintf("%s, say %v", c.worst, c.faultOrigins)
	}
	return ""
}
