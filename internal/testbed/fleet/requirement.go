package fleet

import (
	"fmt"
	"strings"
	"time"

	"yardwinch/internal/strict"
)

// requirementKind is a kind of requirement, as plan files name it.
type requirementKind string

// Kinds of requirements. In plan files, balancers are `who` and members are `whom`.
const (
	requireLeftOut          requirementKind = "left-out"    // the front leaves each balancer out within a time
	requireTakenBack        requirementKind = "taken-back"  // the front uses each balancer again within a time
	requireServes           requirementKind = "serves"      // each balancer establishes at least a number of flows
	requireUses             requirementKind = "uses"        // each balancer sends at least a number of connects to the servers
	requireAvoids           requirementKind = "avoids"      // each balancer sends at most a number of connects to the servers
	requireEstablished      requirementKind = "established" // at least a share of all accepted flows is established
	requireNeverEstablished requirementKind = "never-up"    // at most a share of all clients never had a connection
	requireAnswered         requirementKind = "answered"    // the calls of a fault succeeded, or failed
	requireHealthChecks     requirementKind = "probes"      // the number of health checks by all balancers is within bounds
	requireHealthChecked    requirementKind = "probed"      // no server goes without a health check for longer than a time
	requireSees             requirementKind = "sees"        // each balancer that runs sees each member in a state, within a time
	requireKeeps            requirementKind = "keeps"       // no balancer that runs sees any of the members as gone
	requireDescriptors      requirementKind = "descriptors" // each running balancer has at most a number of file descriptors open shortly before the end
	requireCosts            requirementKind = "costs"       // killed and frozen processes cost at most a number of connections and flows
)

var requirementKinds = []requirementKind{
	requireLeftOut, requireTakenBack, requireServes, requireUses, requireAvoids, requireEstablished, requireNeverEstablished,
	requireAnswered, requireCosts, requireDescriptors, requireSees, requireKeeps, requireHealthChecks, requireHealthChecked,
}

// requirement is a condition that has to hold over a period of the run.
type requirement struct {
	kind               requirementKind
	after              string // fault that times count from; empty for the start of the run
	balancers, servers []string
	members            []string
	status             string // state of the members
	from, to           time.Duration
	within             time.Duration
	atLeast, atMost    float64
	wantSuccess        bool
}

func (p *Plan) readRequirement(t strict.Table, names map[string]bool) {
	const most = 1e9
	r := requirement{
		kind:        requirementKind(t.String("kind", "", stringsOf(requirementKinds)...)),
		after:       t.String("after", ""),
		balancers:   t.Strings("who", []string{"all"}),
		servers:     t.Strings("servers", []string{"servers"}),
		from:        t.Duration("from", 0, maxPlanTime),
		to:          t.Duration("to", 0, maxPlanTime),
		within:      t.Duration("within", 0, maxPlanTime),
		atLeast:     t.Float("at-least", 0, 0, most),
		atMost:      t.Float("at-most", 0, 0, most),
		wantSuccess: t.String("says", "yes", "yes", "no") == "yes",
		members:     t.Strings("whom", nil),
		status:      t.String("status", "alive", "alive", "gone", "left"),
	}
	if r.kind == "" {
		if !t.Has("kind") {
			t.Fail("kind", "is missing; want one of %s", strings.Join(stringsOf(requirementKinds), ", "))
		}
		return
	}
	p.checkRequirement(t, r, names)
	p.checkNames(t, "who", r.balancers, names)
	p.checkNames(t, "whom", r.members, names)
	p.checkNames(t, "servers", r.servers, names)
	p.requirements = append(p.requirements, r)
}

func (p *Plan) checkRequirement(t strict.Table, r requirement, names map[string]bool) {
	if r.after != "" && !names[r.after] {
		t.Fail("after", "no fault is named %q", r.after)
	}
	switch r.kind {
	case requireAnswered:
		if r.after == "" {
			t.Fail("after", "is missing; want the name of a call")
		}
	case requireLeftOut, requireTakenBack, requireSees, requireHealthChecked:
		if r.within == 0 {
			t.Fail("within", "is missing")
		}
	}
	if (r.kind == requireSees || r.kind == requireKeeps) && (len(r.members) == 0 || !p.hasMembership) {
		t.Fail("whom", "is missing, or process.peers is off")
	}
}

// String describes the requirement and its period.
func (r requirement) String() string {
	when := ""
	if r.after != "" {
		when = fmt.Sprintf(" counted from %q", r.after)
	}
	if r.from > 0 || r.to > 0 {
		when += fmt.Sprintf(" from %v", r.from)
	}
	if r.to > 0 {
		when += fmt.Sprintf(" to %v", r.to)
	}
	return requirementTexts[r.kind](r) + when
}

// requirementTexts describe a requirement of each kind.
var requirementTexts = map[requirementKind]func(requirement) string{
	requireLeftOut: func(r requirement) string {
		return fmt.Sprintf("the front leaves %s out within %v", list(r.balancers), r.within)
	},
	requireTakenBack: func(r requirement) string {
		return fmt.Sprintf("the front takes %s back within %v", list(r.balancers), r.within)
	},
	requireServes: func(r requirement) string {
		return fmt.Sprintf("each of %s establishes %g flows at the least", list(r.balancers), r.atLeast)
	},
	requireUses: func(r requirement) string {
		return fmt.Sprintf("each of %s sends %g connects at the least to %s", list(r.balancers), r.atLeast, list(r.servers))
	},
	requireAvoids: func(r requirement) string {
		return fmt.Sprintf("each of %s sends %g connects at the most to %s", list(r.balancers), r.atMost, list(r.servers))
	},
	requireEstablished: func(r requirement) string { return fmt.Sprintf("%g of all flows are established", r.atLeast) },
	requireNeverEstablished: func(r requirement) string {
		return fmt.Sprintf("at most %g of all clients never have a connection", r.atMost)
	},
	requireAnswered: func(r requirement) string {
		if r.wantSuccess {
			return "the call is answered yes"
		}
		return "the call is answered no"
	},
	requireHealthChecks: healthChecksText,
	requireHealthChecked: func(r requirement) string {
		return fmt.Sprintf("none of %s goes without a probe for longer than %v", list(r.servers), r.within)
	},
	requireSees: func(r requirement) string {
		return fmt.Sprintf("each of %s sees %s as %s within %v", list(r.balancers), list(r.members), r.status, r.within)
	},
	requireKeeps: func(r requirement) string {
		return fmt.Sprintf("none of %s sees any of %s as gone", list(r.balancers), list(r.members))
	},
	requireDescriptors: func(r requirement) string {
		return fmt.Sprintf("each of %s holds at most %g descriptors at the end", list(r.balancers), r.atMost)
	},
	requireCosts: func(r requirement) string {
		return fmt.Sprintf("killed and frozen processes cost at most %g connections and flows", r.atMost)
	},
}

func healthChecksText(r requirement) string {
	text := fmt.Sprintf("servers are probed %g times at the least by all together", r.atLeast)
	if r.atMost > 0 {
		text += fmt.Sprintf(", %g at the most", r.atMost)
	}
	return text
}

func list(names []string) string { return strings.Join(names, ",") }
