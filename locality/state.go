package locality

import (
	"cmp"
	"slices"
	"time"

	"yardwinch/constraints"
	"yardwinch/decide"
)

// State is the state of a locality.
type State string

// States of a locality.
const (
	Healthy     State = "well"      // takes flows as far as its limits allow
	Unavailable State = "lost"      // no server is reached; single probe flows are let through
	Recovering  State = "returning" // takes a growing part of its usual flows
)

// Reasons of the states.
const (
	reasonUnlisted  constraints.Reason = "the list has no server of it"
	reasonRelisted  constraints.Reason = "the list has servers of it again"
	reasonRestarted constraints.Reason = "most of its servers started anew"
	reasonNoReach   constraints.Reason = "nobody was met there"
	reasonProbeUp   constraints.Reason = "a trial stood"
	reasonProbeMet  constraints.Reason = "a trial met somebody"
)

// locality is what a balancer knows of one locality.
type locality struct {
	name  decide.Zone
	tier  int
	state State
	why   constraints.Reason // of the state
	since time.Duration      // of the state
	// From 0 to 1, added to a count of flows before it is compared with a limit: of all balancers, a part as large as
	// the fraction of the limit admits one more. It is drawn anew at each change of state.
	rounding  float64
	servers   map[decide.ServerID]*server
	ready     int     // servers
	size      float64 // of the ready servers
	wasListed bool    // it had a ready server once
	ownFlows  int     // of this balancer: attempts and connections
	samples   []sample

	// While unavailable.
	probeBackoff time.Duration
	nextProbeAt  time.Duration
	probe        decide.FlowID // empty: none is out
	probeSentAt  time.Duration

	// While recovering.
	step     int
	stepAt   time.Duration
	admitted int // flows, since the recovery began

	// Over recoveries.
	slowdown        float64       // factor by which a recovery takes longer, as the last ones failed
	recoveryBeganAt time.Duration // of the last recovery
}

// locality returns a locality by its name. One that is not known yet is added, which draws from the random source.
func (p *Policy) locality(zone decide.Zone) *locality {
	l := p.localities[zone]
	if l == nil {
		l = &locality{
			name:     zone,
			tier:     p.tierOf(zone),
			state:    Healthy,
			servers:  map[decide.ServerID]*server{},
			slowdown: 1,
			since:    p.now,
			rounding: p.random.Float64(),
		}
		p.localities[zone] = l
		p.ordered = append(p.ordered, l)
		slices.SortFunc(p.ordered, func(one, other *locality) int { return cmp.Compare(one.name, other.name) })
	}
	return l
}

// transition makes every change of a locality's state.
func (p *Policy) transition(l *locality, to State, why constraints.Reason) {
	if l.state == to {
		return
	}
	from := l.state
	l.state = to
	l.why = why
	l.since = p.now
	l.rounding = p.random.Float64()
	switch to {
	case Unavailable:
		l.slowdown = p.nextSlowdown(l, from)
		l.probeBackoff = firstProbeBackoff
		l.nextProbeAt = p.now + p.jitter(l.probeBackoff)
		l.probe = ""
	case Recovering:
		l.step = 0
		l.stepAt = p.now
		l.admitted = 0
		l.recoveryBeganAt = p.now
		l.samples = nil // of the time before, which say nothing of the servers that are up now
	case Healthy:
		l.admitted = 0
	}
}

// nextSlowdown is the slowdown of the next recovery of a locality that becomes unavailable: doubled where that happens
// during a recovery or soon after one began, else 1.
func (p *Policy) nextSlowdown(l *locality, from State) float64 {
	if from == Recovering || l.recoveryBeganAt > 0 && p.now-l.recoveryBeganAt < flappingInterval {
		return min(2*l.slowdown, maxSlowdown)
	}
	return 1
}

// StateOf returns the state of a locality.
func (p *Policy) StateOf(zone decide.Zone) State { return p.locality(zone).state }

// localityReport is what operators see of a locality.
type localityReport struct {
	Name     string  `json:"hall"`
	Tier     int     `json:"tier"`
	State    string  `json:"state"`
	Why      string  `json:"why,omitempty"`
	Since    float64 `json:"since_s"`
	Ready    int     `json:"servers_ready"`
	OwnFlows int     `json:"own_flows"`
	Usual    float64 `json:"usual"`
	Limit    float64 `json:"limit,omitempty"`
	Step     int     `json:"step,omitempty"`
	Slowdown float64 `json:"gentler,omitempty"`
}

// State is what operators may see of the policy.
func (p *Policy) State() any {
	var reports []localityReport
	for _, l := range p.ordered {
		reports = append(reports, p.report(l))
	}
	return map[string]any{"halls": reports, "moves_home_left": p.failbackTokens, "moved_home": p.failbacks}
}

func (p *Policy) report(l *locality) localityReport {
	report := localityReport{
		Name:     string(l.name),
		Tier:     l.tier,
		State:    string(l.state),
		Why:      string(l.why),
		Since:    l.since.Seconds(),
		Ready:    l.ready,
		OwnFlows: l.ownFlows,
		Usual:    p.usualFlows(l),
	}
	switch {
	case l.state == Recovering:
		report.Limit = p.recoveryLimit(l)
		report.Step = l.step + 1
		report.Slowdown = l.slowdown
	case l.tier > 0:
		report.Limit = p.config.Spill * p.usualFlows(l)
	}
	return report
}
