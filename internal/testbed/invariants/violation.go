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
	OneAnswer Rule = iota + 1
	NoSecondEffect
	DrainsKept
	NoneFloodedCold
)

func (r Rule) String() string {
	return [...]string{"", "one final answer in time", "no effect twice", "drains kept", "no cold server pushed over"}[r]
}

// Violation names what was broken, and by which events.
type Violation struct {
	Rule     Rule
	At       time.Duration
	Balancer Balancer
	Flow     Flow
	Server   Server
	What     string
	Proof    []Event
}

func (v Violation) String() string {
	var proof []string
	for _, e := range v.Proof {
		proof = append(proof, e.String())
	}
	return fmt.Sprintf("rule %d (%s): %s at %.3fs, balancer %d, flow %d, server %d; seen: %s", v.Rule, v.Rule, v.What,
		v.At.Seconds(), v.Balancer, v.Flow, v.Server, strings.Join(proof, "; "))
}

const kept = 200 // violations in full; more are counted

// Violations found so far.
func (r *Referee) Violations() []Violation { return r.found }

// More are violations beyond those kept in full.
func (r *Referee) More() int { return r.more }

func (r *Referee) broken(rule Rule, b Balancer, f Flow, s Server, at time.Duration, what string, proof ...Event) {
	if len(r.found) >= kept {
		r.more++
		return
	}
	r.found = append(r.found, Violation{rule, at, b, f, s, what, proof})
}
