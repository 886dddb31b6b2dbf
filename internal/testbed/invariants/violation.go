package invariants

import (
	"fmt"
	"strings"
	"time"
)

// Rule is one of the four rules that a balancer must keep.
type Rule int

// The four rules.
const (
	OneAnswer          Rule = iota + 1 // each flow gets one final answer, by its deadline
	NoDuplicateEffect                  // no flow runs twice if a second run could have an effect
	DrainsRespected                    // no connect is sent to a draining server after the drain grace
	SlowStartRespected                 // no starting server is sent more than it can take
)

// String describes the rule for reports.
func (r Rule) String() string {
	return [...]string{"", "one final answer in time", "no effect twice", "drains kept", "no cold server pushed over"}[r]
}

// Violation describes which rule was broken, and the events that show it.
type Violation struct {
	Rule        Rule
	At          time.Duration
	Balancer    Balancer
	Flow        Flow
	Server      Server
	Description string
	Events      []Event
}

// String formats the violation with its events on one line.
func (v Violation) String() string {
	var events []string
	for _, e := range v.Events {
		events = append(events, e.String())
	}
	return fmt.Sprintf("rule %d (%s): %s at %.3fs, balancer %d, flow %d, server %d; seen: %s", v.Rule, v.Rule, v.Description,
		v.At.Seconds(), v.Balancer, v.Flow, v.Server, strings.Join(events, "; "))
}

const maxViolations = 200 // further ones are only counted

// Violations returns the violations found so far, up to maxViolations.
func (c *Checker) Violations() []Violation { return c.violations }

// Omitted is the number of violations that exceed maxViolations.
func (c *Checker) Omitted() int { return c.omitted }

func (c *Checker) report(v Violation, events ...Event) {
	if len(c.violations) >= maxViolations {
		c.omitted++
		return
	}
	v.Events = events
	c.violations = append(c.violations, v)
}

// reportConnect reports a violation that an event of a connect shows, with the connect's server.
func (c *Checker) reportConnect(e Event, rule Rule, what string, events ...Event) {
	c.report(Violation{Rule: rule, At: e.At, Balancer: e.Balancer, Flow: e.Flow, Server: e.Server, Description: what}, events...)
}

// reportAnswer reports a violation that an event without a server shows.
func (c *Checker) reportAnswer(e Event, rule Rule, what string, events ...Event) {
	c.report(Violation{Rule: rule, At: e.At, Balancer: e.Balancer, Flow: e.Flow, Description: what}, events...)
}
