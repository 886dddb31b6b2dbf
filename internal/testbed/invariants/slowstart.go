package invariants

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const maxProofArrivals = 12

// serverStart is what arrived at a starting server within the window.
type serverStart struct {
	startedAt time.Duration
	arrivals  []Event
	isBroken  bool // one violation a start is enough
}

// arriveConnect holds what arrived at a starting server within the window against its capacity. The rule counts requests of mean work, so
// each connect counts as one of the mean load, whatever it brings. What they bring together is held against the same bound, but for the
// heaviest of them, which counts as one of the mean: nobody knows a connection's load before its connect, and one alone may pass all that
// a starting server can bear.
func (c *Checker) arriveConnect(e Event) {
	if e.StartedAt == LongAgo || e.At > e.StartedAt+c.limits.SlowStart || c.limits.SlowStartMultiple == 0 || e.Capacity <= 0 {
		return
	}
	start := c.serverStart(e)
	start.add(e, c.limits.SlowStartWindow)
	count, load, capacity := c.sumArrivals(start)
	full := capacity.sum * c.limits.SlowStartWindow.Seconds()
	bound := c.withChance(c.limits.SlowStartMultiple * full)
	if start.isBroken || !count.exceeds(bound) && !load.exceeds(bound) {
		return
	}
	start.isBroken = true
	what := fmt.Sprintf("%d connects in %v, %.1f times what it can take",
		len(start.arrivals), c.limits.SlowStartWindow, max(count.sum, load.sum)/full)
	proof := start.arrivals[max(0, len(start.arrivals)-maxProofArrivals):]
	c.reportOf(e, SlowStartRespected, what, slices.Clone(proof)...)
}

func (c *Checker) serverStart(e Event) *serverStart {
	start := c.starts[e.Server]
	if start == nil || start.startedAt != e.StartedAt {
		start = &serverStart{startedAt: e.StartedAt}
		c.starts[e.Server] = start
	}
	return start
}

func (s *serverStart) add(e Event, window time.Duration) {
	s.arrivals = append(s.arrivals, e)
	for len(s.arrivals) > 0 && s.arrivals[0].At <= e.At-window {
		s.arrivals = s.arrivals[1:]
	}
}

// sumArrivals sums the arrivals in mean loads and in the loads that they brought, and the server's capacity over them.
func (c *Checker) sumArrivals(start *serverStart) (count, load, capacity tally) {
	var heaviest tally
	for _, arrival := range start.arrivals {
		informed := c.knewOfStart(arrival)
		count.add(c.limits.MeanLoad, informed)
		load.add(arrival.Load, informed)
		capacity.add(arrival.Capacity/float64(len(start.arrivals)), informed)
		if arrival.Load > heaviest.sum {
			heaviest = tally{}
			heaviest.add(arrival.Load, informed)
		}
	}
	if heaviest.sum > c.limits.MeanLoad {
		load.sum -= heaviest.sum - c.limits.MeanLoad
		load.informed -= heaviest.informed * (1 - c.limits.MeanLoad/heaviest.sum)
	}
	return count, load, capacity
}

// knewOfStart reports whether a connect's balancer had been told of the server's start.
func (c *Checker) knewOfStart(arrival Event) bool {
	a, known := c.announcements[announcementKey{arrival.Balancer, arrival.Server}]
	return known && a.startedAt == arrival.StartedAt && a.at <= arrival.At
}

// tally is a sum over the arrivals, and the part of it from balancers that had been told of the start.
type tally struct{ sum, informed float64 }

func (t *tally) add(x float64, informed bool) {
	t.sum += x
	if informed {
		t.informed += x
	}
}

// exceeds reports whether a sum passes a bound, and two thirds of it came from balancers that knew better.
func (t tally) exceeds(bound float64) bool { return t.sum > bound && t.informed >= t.sum*2/3 }

// withChance is a budget with what chance may add to it: 2√N + 2 connects of the mean load for a budget of N.
func (c *Checker) withChance(budget float64) float64 {
	return budget + 2*math.Sqrt(budget*c.limits.MeanLoad) + 2*c.limits.MeanLoad
}
