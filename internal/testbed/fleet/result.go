package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"yardwinch/internal/testbed/invariants"
)

const (
	recentPeriod       = 2 * time.Second // window in which a faulty server's share of the connects is measured
	earliestFault      = time.Second     // faults that began earlier have no result
	stillChosenDivisor = 3               // a server still counts as chosen if it gets at least its fair share of the connects divided by this
)

// Verdict says whether a requirement held, and what was observed.
type Verdict struct {
	Requirement string `json:"must"`
	Holds       bool   `json:"holds"`
	Seen        string `json:"seen"`
}

// Figures are the totals of a run.
type Figures struct {
	Clients          int     `json:"clients"`
	Flows            int     `json:"flows"`
	Established      int     `json:"established"`
	Rejected         int     `json:"rejected"`
	Aborted          int     `json:"aborted"`
	Cut              int     `json:"cut"`
	Migrated         int     `json:"moved"`
	NeverEstablished int     `json:"never_up"`
	Connects         int     `json:"connects"`
	HealthChecks     int     `json:"probes"`
	CheckedFlows     int     `json:"judged"`
	ViolationCount   int     `json:"broken"`
	Service          float64 `json:"service"` // served share of the requested value
}

// Process is the result for one balancer process.
type Process struct {
	Name        string          `json:"name"`
	Established int             `json:"established"`
	Connects    int             `json:"connects"`
	Cost        invariants.Cost `json:"cost"`
	States      []Span          `json:"spans"`
	LeftOut     []Span          `json:"front"`
	PerSecond   []int           `json:"established_by_second"`
}

// Result is the result of one run, with its verdicts.
type Result struct {
	Name          string          `json:"name"`
	About         string          `json:"about"`
	Seed          uint64          `json:"seed"`
	Length        float64         `json:"length_s"`
	Void          string          `json:"void,omitempty"`
	Holds         bool            `json:"holds"`
	Requirements  []Verdict       `json:"musts"`
	Violations    []string        `json:"violations,omitempty"`
	SkippedFaults []string        `json:"faults_passed_over,omitempty"`
	Figures       Figures         `json:"figures"`
	Processes     []Process       `json:"processes"`
	Timeline      []TimelineEvent `json:"moments"`
	FaultySpans   []NamedSpans    `json:"servers_in_trouble"`
	FaultyServers []FaultyServer  `json:"troubles"`
	Paths         []Span          `json:"ways"`
}

// FaultyServer is the effect of one server's fault, over all balancers.
type FaultyServer struct {
	Server string  `json:"server"`
	From   float64 `json:"from_s"`
	// LastChosenAfter is the time from the fault's beginning to the end of the last recentPeriod in which the server still got a third of
	// its fair share of all connects, so that some balancer still chose it as if it had no fault.
	LastChosenAfter float64 `json:"last_stops_s"`
	Sent            int     `json:"sent"` // connects sent to it during the fault
}

// NamedSpans are the spans of one endpoint.
type NamedSpans struct {
	Name  string `json:"name"`
	Spans []Span `json:"spans"`
}

// result collects the results of the run and checks the requirements.
func (r *fleetRun) result(void string) *Result {
	end := r.world.Accounting.Length
	slices.SortStableFunc(r.events, func(a, b invariants.Event) int { return cmp.Compare(a.At, b.At) })
	result := &Result{
		Name:          r.plan.Name(),
		About:         r.plan.About(),
		Seed:          r.seed,
		Length:        end.Seconds(),
		Void:          void,
		SkippedFaults: r.skippedFaults,
		Timeline:      r.timeline,
		Paths:         r.pathSpans,
		Processes:     r.processResults(),
	}
	for _, v := range r.checker.Violations() {
		result.Violations = append(result.Violations, v.String())
	}
	result.Figures = r.figures(len(result.Violations) + r.checker.Omitted())
	for i := range r.world.Servers {
		if spans := r.faultySpans[i]; len(spans) > 0 {
			result.FaultySpans = append(result.FaultySpans, NamedSpans{serverName(i), closeOpenSpans(spans, end)})
		}
	}
	result.FaultyServers = r.faultyServerResults()
	result.Requirements = r.commonRequirements(result.Figures.ViolationCount)
	for _, q := range r.plan.requirements {
		result.Requirements = append(result.Requirements, r.check(q, result))
	}
	result.Holds = !slices.ContainsFunc(result.Requirements, func(v Verdict) bool { return !v.Holds })
	return result
}

func (r *fleetRun) figures(broken int) Figures {
	totals, counts := &r.world.Totals, r.driver.Counts
	return Figures{
		Clients:          totals.Clients,
		Flows:            totals.Attempts,
		Established:      totals.Established,
		Rejected:         totals.Rejected,
		Aborted:          totals.Aborted,
		Cut:              totals.Cut,
		Migrated:         totals.Migrated,
		NeverEstablished: len(totals.NeverEstablished),
		Connects:         counts.Connects,
		HealthChecks:     counts.HealthChecks,
		CheckedFlows:     r.checker.CheckedFlows,
		ViolationCount:   broken,
		Service:          r.servedShare(),
	}
}

func (r *fleetRun) processResults() (results []Process) {
	end := r.world.Accounting.Length
	costs := r.checker.Costs()
	for _, p := range r.processes {
		result := Process{
			Name:      p.name,
			Cost:      costs[invariants.Balancer(p.id)],
			States:    closeOpenSpans(p.spans, end),
			LeftOut:   closeOpenSpans(r.leftOutSpans[p.name], end),
			PerSecond: make([]int, int(end/time.Second)+1),
		}
		for _, e := range r.events {
			if e.Balancer == invariants.Balancer(p.id) {
				result.count(e)
			}
		}
		results = append(results, result)
	}
	return results
}

func (p *Process) count(e invariants.Event) {
	switch {
	case isEstablished(e):
		p.Established++
		p.PerSecond[min(int(e.At/time.Second), len(p.PerSecond)-1)]++
	case e.Kind == invariants.ConnectSent:
		p.Connects++
	}
}

// commonRequirements returns the verdicts on the requirements of every run.
func (r *fleetRun) commonRequirements(broken int) []Verdict {
	rules := Verdict{
		Requirement: "no rule broken by any balancer that runs",
		Holds:       broken == 0,
		Seen:        fmt.Sprintf("%d flows judged, %d breaches", r.checker.CheckedFlows, broken),
	}
	alive := Verdict{Requirement: "no process ends by itself", Holds: true, Seen: "none did"}
	for _, m := range r.timeline {
		if strings.HasPrefix(m.What, "ended by itself") {
			alive.Holds, alive.Seen = false, fmt.Sprintf("%s at %.1fs", m.Who, m.At.Seconds())
		}
	}
	verdicts := []Verdict{rules, alive}
	if len(r.skippedFaults) > 0 {
		verdicts = append(verdicts, Verdict{"all faults could be carried out", false, r.skippedFaults[0]})
	}
	return verdicts
}

// faultyServerResults returns the results of faults that began during the run and lasted long enough for balancers to detect them.
func (r *fleetRun) faultyServerResults() (results []FaultyServer) {
	for i := range r.world.Servers {
		for _, span := range closeOpenSpans(r.faultySpans[i], r.world.Accounting.Length) {
			if span.From >= earliestFault && span.To-span.From >= 2*recentPeriod {
				results = append(results, r.faultyServerResult(i, span))
			}
		}
	}
	return results
}

func (r *fleetRun) faultyServerResult(server int, span Span) FaultyServer {
	result := FaultyServer{Server: serverName(server), From: span.From.Seconds()}
	var all, toServer []time.Duration // connects within recentPeriod, and those of them to the server
	for _, e := range r.events {
		if e.Kind != invariants.ConnectSent || e.At < span.From || e.At >= span.To {
			continue
		}
		all = append(dropBefore(all, e.At-recentPeriod), e.At)
		toServer = dropBefore(toServer, e.At-recentPeriod)
		if int(e.Server) == server {
			result.Sent++
			toServer = append(toServer, e.At)
		}
		fairShare := float64(len(all)) / float64(len(r.world.Servers))
		if len(toServer) > 0 && float64(len(toServer)) >= fairShare/stillChosenDivisor {
			result.LastChosenAfter = (e.At - span.From).Seconds()
		}
	}
	return result
}

func dropBefore(times []time.Duration, earliest time.Duration) []time.Duration {
	for len(times) > 0 && times[0] < earliest {
		times = times[1:]
	}
	return times
}

// servedShare returns the served part of the requested value; 0 if nothing was requested.
func (r *fleetRun) servedShare() float64 {
	served, requested := 0.0, 0.0
	for i, row := range r.world.Accounting.Requested {
		for second, value := range row {
			requested += value
			served += r.world.Accounting.Served[i][second]
		}
	}
	if requested == 0 {
		return 0
	}
	return served / requested
}

// closeOpenSpans returns a copy of spans in which open ones end at the end of the run.
func closeOpenSpans(spans []Span, end time.Duration) []Span {
	all := slices.Clone(spans)
	for i := range all {
		if all[i].To == 0 {
			all[i].To = end
		}
	}
	return all
}
