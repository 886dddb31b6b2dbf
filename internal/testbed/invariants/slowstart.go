package invariants

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const maxProofArrivals = 12

// serverStart holds the connects that arrived at a starting server within the window.
type serverStart struct {
	startedAt time.Duration
	arrivals  []Event
	isBroken  bool // a violation was reported; one for each start is enough
}

// arriveConnect checks the connects that arrived at a starting server within the window against its capacity. Both their number and the sum
// of their loads must stay within the bound. The rule is stated in connects of the mean load, so the number is multiplied by the mean load. In the
// sum of loads the heaviest connect counts as one of the mean load: balancers can't know a connection's load before its connect, and a
// single heavy one can exceed all that a starting server can take.
func (c *Checker) arriveConnect(e Event) {
	if e.StartedAt == LongAgo || e.At > e.StartedAt+c.limits.SlowStart || c.limits.SlowStartMultiple == 0 || e.Capacity <= 0 {
		return
	}
	start := c.serverStart(e)
	start.add(e, c.limits.SlowStartWindow)
	count, load, capacity := c.sumArrivals(start)
	full := capacity.sum * c.limits.SlowStartWindow.Seconds()
	bound := c.withChanceAllowance(c.limits.SlowStartMultiple * full)
	if start.isBroken || !count.exceeds(bound) && !load.exceeds(bound) {
		return
	}
	start.isBroken = true
	what := fmt.Sprintf("%d connects in %v, %.1f times what it can take",
		len(start.arrivals), c.limits.SlowStartWindow, max(count.sum, load.sum)/full)
	events := start.arrivals[max(0, len(start.arrivals)-maxProofArrivals):]
	c.reportConnect(e, SlowStartRespected, what, slices.Clone(events)...)
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

// sumArrivals returns the number of arrivals times the mean load, the sum of their loads, and the mean of the server's capacity over them.
func (c *Checker) sumArrivals(start *serverStart) (count, load, capacity arrivalSum) {
	var heaviest arrivalSum
	for _, arrival := range start.arrivals {
		informed := c.wasToldOfStart(arrival)
		count.add(c.limits.MeanLoad, informed)
		load.add(arrival.Load, informed)
		capacity.add(arrival.Capacity/float64(len(start.arrivals)), informed)
		if arrival.Load > heaviest.sum {
			heaviest = arrivalSum{}
			heaviest.add(arrival.Load, informed)
		}
	}
	if heaviest.sum > c.limits.MeanLoad {
		load.sum -= heaviest.sum - c.limits.MeanLoad
		load.informed -= heaviest.informed * (1 - c.limits.MeanLoad/heaviest.sum)
	}
	return count, load, capacity
}

// wasToldOfStart reports whether a connect's balancer had been told of the server's start when the connect arrived.
func (c *Checker) wasToldOfStart(arrival Event) bool {
	a, known := c.announcements[announcementKey{arrival.Balancer, arrival.Server}]
	return known && a.startedAt == arrival.StartedAt && a.at <= arrival.At
}

// arrivalSum is a sum over arrivals, with the part of it that comes from balancers that had been told of the start.
type arrivalSum struct{ sum, informed float64 }

func (t *arrivalSum) add(x float64, informed bool) {
	t.sum += x
	if informed {
		t.informed += x
	}
}

// exceeds reports whether the sum exceeds a bound and at least two thirds of it come from balancers that had been told of the start.
func (t arrivalSum) exceeds(bound float64) bool { return t.sum > bound && t.informed >= t.sum*2/3 }

// withChanceAllowance adds the allowance for random variation to a budget: 2√N + 2 connects of the mean load for a budget of N.
func (c *Checker) withChanceAllowance(budget float64) float64 {
	return budget + 2*math.Sqrt(budget*c.limits.MeanLoad) + 2*c.limits.MeanLoad
}
