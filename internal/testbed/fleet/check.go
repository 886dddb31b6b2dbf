package fleet

import (
	"fmt"
	"slices"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

// faultyServersDelay is the time from the start of a requirement's period to the moment that decides which servers count as faulty.
const faultyServersDelay = 500 * time.Millisecond

// check evaluates one requirement against a run.
type check struct {
	requirement
	run       *fleetRun
	result    *Result
	balancers []string // resolved names
	members   []string // resolved names
	from, to  time.Duration
	verdict   Verdict
}

// checks maps each kind of requirement to its check.
var checks = map[requirementKind]func(*check){
	requireLeftOut:          (*check).checkFront,
	requireTakenBack:        (*check).checkFront,
	requireServes:           (*check).checkServes,
	requireUses:             (*check).checkConnects,
	requireAvoids:           (*check).checkConnects,
	requireEstablished:      (*check).checkEstablished,
	requireNeverEstablished: (*check).checkNeverEstablished,
	requireAnswered:         (*check).checkCallResponses,
	requireHealthChecks:     (*check).checkHealthChecks,
	requireHealthChecked:    (*check).checkHealthChecked,
	requireSees:             (*check).checkMembers,
	requireKeeps:            (*check).checkMembers,
	requireDescriptors:      (*check).checkDescriptors,
	requireCosts:            (*check).checkCosts,
}

// check returns the verdict on a requirement.
func (r *fleetRun) check(q requirement, result *Result) Verdict {
	c := &check{requirement: q, run: r, result: result, verdict: Verdict{Requirement: q.String(), Holds: true}}
	start := time.Duration(0)
	if q.after != "" {
		at, happened := r.faultTimes[q.after]
		if !happened {
			c.observe(fmt.Sprintf("the fault %q never came", q.after), false)
			return c.verdict
		}
		start = at
	}
	c.from, c.to = start+q.from, r.world.Accounting.Length
	if q.to > 0 {
		c.to = start + q.to
	}
	c.balancers = r.names.resolve(q.balancers, nil)
	if q.kind == requireSees || q.kind == requireKeeps {
		c.members = r.names.resolve(q.members, nil)
	}
	checks[q.kind](c)
	return c.verdict
}

// observe adds an observation to the verdict, which reports the first observation that fails the requirement, or the first of all if none
// does.
func (c *check) observe(observation string, holds bool) {
	if c.verdict.Seen == "" || c.verdict.Holds && !holds {
		c.verdict.Seen = observation
	}
	c.verdict.Holds = c.verdict.Holds && holds
}

func (c *check) isWithin(at time.Duration) bool { return at >= c.from && at < c.to }

func (c *check) checkFront() {
	for _, name := range c.balancers {
		delay, ok := c.frontDelay(name)
		c.observe(fmt.Sprintf("%s after %v", name, delay.Round(time.Millisecond)), ok)
	}
}

// frontDelay returns how long after the start of the period the front left a balancer out, or took it back, and whether that is within the
// limit.
func (c *check) frontDelay(balancer string) (delay time.Duration, ok bool) {
	for _, span := range c.run.leftOutSpans[balancer] {
		at := span.From
		if c.kind == requireTakenBack {
			at = span.To
		}
		if at >= c.from {
			return at - c.from, at-c.from <= c.within
		}
	}
	return c.run.world.Accounting.Length - c.from, false
}

// checkEventCounts counts the matching events of each balancer and checks each count.
func (c *check) checkEventCounts(matches func(invariants.Event) bool, isAllowed func(float64) bool) {
	for _, name := range c.balancers {
		b, ok := balancerOf(name)
		if !ok {
			c.observe(name+" is no balancer", false)
			continue
		}
		count := 0
		for _, e := range c.run.events {
			if c.isWithin(e.At) && e.Balancer == invariants.Balancer(b) && matches(e) {
				count++
			}
		}
		c.observe(fmt.Sprintf("%s: %d", name, count), isAllowed(float64(count)))
	}
}

func isEstablished(e invariants.Event) bool {
	return e.Kind == invariants.FlowAnswered && e.Answer == invariants.Established
}

func (c *check) checkServes() {
	c.checkEventCounts(isEstablished, func(count float64) bool { return count >= c.atLeast })
}

func (c *check) checkConnects() {
	servers := map[int]bool{}
	for _, s := range c.resolveServers() {
		servers[s] = true
	}
	isAllowed := func(count float64) bool { return count >= c.atLeast }
	if c.kind == requireAvoids {
		isAllowed = func(count float64) bool { return count <= c.atMost }
	}
	c.checkEventCounts(func(e invariants.Event) bool { return e.Kind == invariants.ConnectSent && servers[int(e.Server)] }, isAllowed)
}

// resolveServers resolves the names of servers. Faulty servers are those with a fault shortly after the start of the period.
func (c *check) resolveServers() (numbers []int) {
	names := *c.run.names
	names.faultyServers = func() []int { return c.run.faultyAt(c.from + faultyServersDelay) }
	for _, name := range names.resolve(c.servers, nil) {
		if s, ok := serverOf(name); ok {
			numbers = append(numbers, int(s))
		}
	}
	return numbers
}

// faultyAt returns the servers that had faults at a time.
func (r *fleetRun) faultyAt(at time.Duration) (faulty []int) {
	for i := range r.world.Servers {
		for _, span := range r.faultySpans[i] {
			if span.From <= at && (span.To == 0 || span.To > at) {
				faulty = append(faulty, i)
			}
		}
	}
	return faulty
}

func (c *check) checkEstablished() {
	accepted, count := map[invariants.Flow]bool{}, 0
	for _, e := range c.run.events {
		if e.Kind == invariants.FlowAccepted && c.isWithin(e.At) {
			accepted[e.Flow] = true
		} else if isEstablished(e) && accepted[e.Flow] {
			count++
		}
	}
	share := float64(count) / float64(max(len(accepted), 1))
	c.observe(fmt.Sprintf("%.3f of %d flows", share, len(accepted)), len(accepted) > 0 && share >= c.atLeast)
}

func (c *check) checkNeverEstablished() {
	figures := c.result.Figures
	share := float64(figures.NeverEstablished) / float64(max(figures.Clients, 1))
	c.observe(fmt.Sprintf("%.4f of %d clients", share, figures.Clients), share <= c.atMost)
}

func (c *check) checkCallResponses() {
	responses := c.run.callResponses[c.after]
	if len(responses) == 0 {
		c.observe("no call was answered by the end", false)
	}
	for _, response := range responses {
		c.observe(response.balancer+": "+response.text, response.isSuccess == c.wantSuccess)
	}
}

func (c *check) checkHealthChecks() {
	count := 0.0
	for _, times := range c.run.driver.Counts.HealthChecksAt {
		for _, at := range times {
			if c.isWithin(at) {
				count++
			}
		}
	}
	c.observe(fmt.Sprint(count), count >= c.atLeast && (c.atMost == 0 || count <= c.atMost))
}

func (c *check) checkHealthChecked() {
	for _, server := range c.resolveServers() {
		gap := c.longestGap(c.run.driver.Counts.HealthChecksAt[simulation.ServerID(server)])
		c.observe(fmt.Sprintf("%s: %v without", serverName(server), gap.Round(time.Millisecond)), gap <= c.within)
	}
}

// longestGap returns the longest gap between times within the period, whose start and end count as times.
func (c *check) longestGap(times []time.Duration) (gap time.Duration) {
	last := c.from
	for _, at := range append(slices.Clone(times), c.to) {
		if at >= c.from && at <= c.to {
			gap, last = max(gap, at-last), at
		}
	}
	return gap
}

func (c *check) checkDescriptors() {
	for _, name := range c.balancers {
		if count, known := c.run.descriptors[name]; known {
			c.observe(fmt.Sprintf("%s: %d", name, count), float64(count) <= c.atMost)
		}
	}
}

func (c *check) checkCosts() {
	sum := 0
	for _, p := range c.result.Processes {
		sum += p.Cost.Cut + p.Cost.Unanswered + p.Cost.Expired + p.Cost.SentLate
	}
	c.observe(fmt.Sprint(sum), float64(sum) <= c.atMost)
}
