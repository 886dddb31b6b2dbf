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
	Unavailable State = "lost"      // no server is reachable; only single probe flows are let through
	Recovering  State = "returning" // takes a growing share of its usual flows
)

// Reasons of state changes.
const (
	reasonUnlisted         constraints.Reason = "the list has no server of it"
	reasonRelisted         constraints.Reason = "the list has servers of it again"
	reasonRestarted        constraints.Reason = "most of its servers started anew"
	reasonUnreachable      constraints.Reason = "nobody was met there"
	reasonProbeEstablished constraints.Reason = "a trial stood"
	reasonProbeAnswered    constraints.Reason = "a trial met somebody"
)

// locality is what a balancer knows of one locality.
type locality struct {
	name  decide.Zone
	tier  int
	state State
	why   constraints.Reason // of the last change of state; empty: healthy
	since time.Duration      // time of the last change of state
	// A random number from 0 to 1, added to a count of flows before it is compared with a limit. So the limit is rounded
	// at random, and the rounded limits of all balancers add up to about the sum of the exact ones. It is drawn again at each
	// change of state.
	randomRounding float64
	servers        map[decide.ServerID]*server
	ready          int     // number of ready servers
	size           float64 // of the ready servers
	wasListed      bool    // it has had a ready server
	ownFlows       int     // attempts and connections of this balancer
	samples        []sample

	// While unavailable.
	probeBackoff time.Duration
	nextProbeAt  time.Duration
	probe        decide.FlowID // the probe flow that was sent; empty: none
	probeSentAt  time.Duration

	// While recovering.
	step        int
	stepBeganAt time.Duration
	admitted    int // flows admitted since the recovery began

	// Kept from one recovery to the next.
	slowdown        float64       // factor by which a recovery takes longer, after earlier ones failed
	recoveryBeganAt time.Duration // when the last recovery began
}

// locality returns a locality by its name. One that is not known yet is added, which draws a random number.
func (p *Policy) locality(zone decide.Zone) *locality {
	l := p.localities[zone]
	if l == nil {
		l = &locality{
			name:           zone,
			tier:           p.tierOf(zone),
			state:          Healthy,
			servers:        map[decide.ServerID]*server{},
			slowdown:       1,
			since:          p.now,
			randomRounding: p.random.Float64(),
		}
		p.localities[zone] = l
		p.ordered = append(p.ordered, l)
		slices.SortFunc(p.ordered, func(one, other *locality) int { return cmp.Compare(one.name, other.name) })
	}
	return l
}

// transition changes the state of a locality. Every change of state is made here.
func (p *Policy) transition(l *locality, to State, why constraints.Reason) {
	if l.state == to {
		return
	}
	from := l.state
	l.state = to
	l.why = why
	l.since = p.now
	l.randomRounding = p.random.Float64()
	switch to {
	case Unavailable:
		l.slowdown = p.nextSlowdown(l, from)
		l.probeBackoff = firstProbeBackoff
		l.nextProbeAt = p.now + p.jitter(l.probeBackoff)
		l.probe = ""
	case Recovering:
		l.step = 0
		l.stepBeganAt = p.now
		l.admitted = 0
		l.recoveryBeganAt = p.now
		l.samples = nil // older samples say nothing about the servers that are up now
	case Healthy:
		l.admitted = 0
	}
}

// nextSlowdown returns the slowdown of the next recovery of a locality that becomes unavailable: doubled if that happens
// during a recovery or soon after one began, else 1.
func (p *Policy) nextSlowdown(l *locality, from State) float64 {
	if from == Recovering || l.recoveryBeganAt > 0 && p.now-l.recoveryBeganAt < flappingInterval {
		return min(2*l.slowdown, maxSlowdown)
	}
	return 1
}

// StateOf returns the state of a locality.
func (p *Policy) StateOf(zone decide.Zone) State { return p.locality(zone).state }

// localityReport is what operators are shown of a locality.
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

// State returns what operators are shown of the policy.
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
