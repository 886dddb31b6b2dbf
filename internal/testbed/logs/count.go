// Package logs merges the logs of all balancers (`serve --verbose`) and counts their events by second. The merged counts show overload that no
// single log shows, where the load is normal at each balancer and too high in total.
package logs

import (
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"time"

	"yardwinch/decide"
)

// Second holds the events of all balancers in one second, and the established flows at its end.
type Second struct {
	Events   map[string]int           // number of events by name
	Flows    map[string]int           // established flows by server, at the end of the second
	MaxDelay map[string]time.Duration // by server, over the latency samples of the second
}

// Count merges the logs of a directory, one *.log file per balancer, and counts by second since the first line. Lines of another format are
// skipped; skipped is their number.
func Count(directory fs.FS) (seconds []Second, skipped int, err error) {
	events, skipped, err := readEvents(directory)
	if err != nil || len(events) == 0 {
		return nil, skipped, err
	}
	slices.SortStableFunc(events, func(x, y event) int { return x.at.Compare(y.at) })
	c := counter{start: events[0].at, serverOf: map[flowKey]string{}, flows: map[string]int{}}
	for _, e := range events {
		c.advance(e.at)
		c.count(e)
	}
	c.endSecond()
	return c.seconds, skipped, nil
}

// flowKey identifies a flow among all balancers; flow ids are unique only within a balancer.
type flowKey struct{ balancer, flow string }

// counter counts events in the order of their times.
type counter struct {
	start    time.Time
	seconds  []Second
	serverOf map[flowKey]string // by established flow
	flows    map[string]int     // number of established flows by server
}

// advance appends seconds up to the one that contains at.
func (c *counter) advance(at time.Time) {
	for second := int(at.Sub(c.start) / time.Second); len(c.seconds) <= second; {
		c.endSecond()
		c.seconds = append(c.seconds, Second{Events: map[string]int{}, MaxDelay: map[string]time.Duration{}})
	}
}

func (c *counter) endSecond() {
	if len(c.seconds) > 0 {
		c.seconds[len(c.seconds)-1].Flows = maps.Clone(c.flows)
	}
}

func (c *counter) count(e event) {
	second := &c.seconds[len(c.seconds)-1]
	flow, server := flowKey{e.balancer, e.fields["flow"]}, e.fields["server"]
	name := label(e.text)
	switch e.text {
	case flowEstablished:
		c.serverOf[flow] = server
		c.flows[server]++
	case flowEnded:
		if outcome, ok := describeOutcome(e); ok {
			name = outcome
		}
		c.endFlow(flow)
	case phaseChanged:
		phase := e.fields["phase"]
		name += " " + phase
		if phase == "loading" {
			c.endFlowsOfBalancer(e.balancer) // the balancer has restarted
		}
	case latencySampled:
		if delay, ok := e.milliseconds("delay_ms"); ok {
			second.MaxDelay[server] = max(second.MaxDelay[server], delay)
		}
	}
	second.Events[name]++
}

// describeOutcome returns how an attempt, or an established flow, ended.
func describeOutcome(e event) (string, bool) {
	outcome, ok := outcomeName(e.fields["outcome"])
	prefix := map[string]string{"true": "flow ", "false": "connect "}[e.fields["established"]]
	return prefix + outcome, ok
}

// outcomeName returns the name of a logged outcome. Earlier builds logged its number.
func outcomeName(logged string) (name string, ok bool) {
	number, err := strconv.Atoi(logged)
	for outcome := decide.OK; outcome <= decide.NeverSent; outcome++ {
		if logged == outcome.String() || err == nil && number == int(outcome) {
			return outcome.String(), true
		}
	}
	return "", false
}

func (c *counter) endFlow(flow flowKey) {
	if server, ok := c.serverOf[flow]; ok {
		c.flows[server]--
		delete(c.serverOf, flow)
	}
}

func (c *counter) endFlowsOfBalancer(balancer string) {
	for flow := range c.serverOf {
		if flow.balancer == balancer {
			c.endFlow(flow)
		}
	}
}
