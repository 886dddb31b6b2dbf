package invariants

import (
	"fmt"
	"strings"
	"time"
)

// Rule is one of the four.
type Rule int

// The four rules.
const (
	OneAnswer          Rule = iota + 1 // each flow gets one final answer, by its deadline
	NoDuplicateEffect                  // nothing runs twice that must not
	DrainsRespected                    // no connect is sent to a server after the grace of its drain
	SlowStartRespected                 // no starting server is sent more than it can bear
)

// String is the rule in the words of reports.
func (r Rule) String() string {
	return [...]string{"", "one final answer in time", "no effect twice", "drains kept", "no cold server pushed over"}[r]
}

// Violation says which rule was broken, and which events prove it.
type Violation struct {
	Rule     Rule
	At       time.Duration
	Balancer Balancer
	Flow     Flow
	Server   Server
	What     string
	Proof    []Event
}

// String is the violation with its proof, on one line.
func (v Violation) String() string {
	var proof []string
	for _, e := range v.Proof {
		proof = append(proof, e.String())
	}
	return fmt.Sprintf("rule %d (%s): %s at %.3fs, balancer %d, flow %d, server %d; seen: %s", v.Rule, v.Rule, v.What,
		v.At.Seconds(), v.Balancer, v.Flow, v.Server, strings.Join(proof, "; "))
}

const maxViolations = 200 // listed in full; further ones are counted

// Violations found so far, up to a bound; Omitted counts the others.
func (c *Checker) Violations() []Violation { return c.violations }

// Omitted is the number of violations that Violations does not list.
func (c *Checker) Omitted() int { return c.omitted }

func (c *Checker) report(v Violation, proof ...Event) {
	if len(c.violations) >= maxViolations {
		c.omitted++
		return
	}
	v.Proof = proof
	c.violations = append(c.violations, v)
}

// reportOf reports a violation by the event that shows it, with its server.
func (c *Checker) reportOf(e Event, rule Rule, what string, proof ...Event) {
	c.report(Violation{Rule: rule, At: e.At, Balancer: e.Balancer, Flow: e.Flow, Server: e.Server, What: what}, proof...)
}

// reportAnswer reports a violation by an event that has no server.
func (c *Checker) reportAnswer(e Event, rule Rule, what string, proof ...Event) {
	c.report(Violation{Rule: rule, At: e.At, Balancer: e.Balancer, Flow: e.Flow, What: what}, proof...)
}
