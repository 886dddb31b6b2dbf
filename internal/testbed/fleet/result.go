package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/invariants"
)

// Verdict is one thing that had to hold, and whether it did.
type Verdict struct {
	Must  string `json:"must"`
	Holds bool   `json:"holds"`
	Seen  string `json:"seen"`
}

// Figures are what a run came to.
type Figures struct {
	Clients     int     `json:"clients"`
	Flows       int     `json:"flows"`
	Established int     `json:"established"`
	Rejected    int     `json:"rejected"`
	Aborted     int     `json:"aborted"`
	Cut         int     `json:"cut"`
	Moved       int     `json:"moved"`
	NeverUp     int     `json:"never_up"`
	Connects    int     `json:"connects"`
	Probes      int     `json:"probes"`
	Judged      int     `json:"judged"`
	Broken      int     `json:"broken"`
	Service     float64 `json:"service"` // share of the seconds asked for
}

// Process is what was seen of one balancer.
type Process struct {
	Name        string          `json:"name"`
	Established int             `json:"established"`
	Connects    int             `json:"connects"`
	Cost        invariants.Cost `json:"cost"`
	Spans       []Span          `json:"spans"`
	Front       []Span          `json:"front"`
	PerSecond   []int           `json:"established_by_second"`
}

// Result is one run, judged.
type Result struct {
	Name       string    `json:"name"`
	About      string    `json:"about"`
	Seed       uint64    `json:"seed"`
	Length     float64   `json:"length_s"`
	Void       string    `json:"void,omitempty"`
	Holds      bool      `json:"holds"`
	Musts      []Verdict `json:"musts"`
	Violations []string  `json:"violations,omitempty"`
	Unfit      []string  `json:"faults_passed_over,omitempty"`
	Figures    Figures   `json:"figures"`
	Processes  []Process `json:"processes"`
	Moments    []Moment  `json:"moments"`
	Struck     []Named   `json:"servers_in_trouble"`
	Troubles   []Trouble `json:"troubles"`
	Ways       []Span    `json:"ways"`
}

// Trouble is what one server's trouble came to, over all balancers.
type Trouble struct {
	Server string  `json:"server"`
	From   float64 `json:"from_s"`
	// LastStops is the time from its beginning to the end of the last span of lookBack in which the server still got a third of its
	// fair part of all connects: some balancer chose it as if nothing were wrong.
	LastStops float64 `json:"last_stops_s"`
	Sent      int     `json:"sent"` // connects that it got meanwhile: each is a flow that is served late, or not at all
}

const lookBack = 2 * time.Second

// troubles measures those that began in the run and lasted for long enough to be noticed.
func (r *run) troubles() (list []Trouble) {
	for i := range r.w.Servers {
		for _, s := range closed(r.struck[i], r.w.Accounting.Length) {
			if s.From < time.Second || s.To-s.From < 2*lookBack {
				continue
			}
			t := Trouble{Server: serverName(i), From: s.From.Seconds()}
			var all, here []time.Duration // of the last lookBack
			young := func(list []time.Duration, now time.Duration) []time.Duration {
				for len(list) > 0 && list[0] < now-lookBack {
					list = list[1:]
				}
				return list
			}
			for _, e := range r.events { // by time
				if e.Kind != invariants.ConnectSent || e.At < s.From || e.At >= s.To {
					continue
				}
				all = append(young(all, e.At), e.At)
				if here = young(here, e.At); int(e.Server) == i {
					t.Sent++
					here = append(here, e.At)
				}
				if float64(len(here)) >= float64(len(all))/float64(len(r.w.Servers))/3 && len(here) > 0 {
					t.LastStops = (e.At - s.From).Seconds()
				}
			}
			list = append(list, t)
		}
	}
	return list
}

// Named are the spans of somebody.
type Named struct {
	Name  string `json:"name"`
	Spans []Span `json:"spans"`
}

func (r *run) result(void string) *Result {
	end := r.w.Accounting.Length
	res := &Result{Name: r.p.Name(), About: r.p.About(), Seed: r.seed, Length: end.Seconds(), Void: void, Unfit: r.unfit, Moments: r.moments, Ways: r.ways}
	slices.SortStableFunc(r.events, func(a, b invariants.Event) int { return cmp.Compare(a.At, b.At) })
	for _, v := range r.checker.Violations() {
		res.Violations = append(res.Violations, v.String())
	}
	broken := len(res.Violations) + r.checker.Omitted()
	t := &r.w.Totals
	res.Figures = Figures{Clients: t.Clients, Flows: t.Attempts, Established: t.Established, Rejected: t.Rejected, Aborted: t.Aborted, Cut: t.Cut,
		Moved: t.Migrated, NeverUp: len(t.NeverEstablished), Connects: r.driver.Tally.Connects, Probes: r.driver.Tally.HealthChecks, Judged: r.checker.Judged, Broken: broken, Service: r.service()}
	all := r.checker.Costs()
	for _, x := range r.procs {
		p := Process{Name: x.name, Cost: all[invariants.Balancer(x.id)], Spans: closed(x.spans, end), Front: closed(r.fronts[x.name], end),
			PerSecond: make([]int, int(end/time.Second)+1)}
		for _, e := range r.events {
			if e.Balancer != invariants.Balancer(x.id) {
				continue
			}
			switch {
			case e.Kind == invariants.FlowAnswered && e.Answer == invariants.Established:
				p.Established++
				p.PerSecond[min(int(e.At/time.Second), len(p.PerSecond)-1)]++
			case e.Kind == invariants.ConnectSent:
				p.Connects++
			}
		}
		res.Processes = append(res.Processes, p)
	}
	for i := range r.w.Servers {
		if s := r.struck[i]; len(s) > 0 {
			res.Struck = append(res.Struck, Named{serverName(i), closed(s, end)})
		}
	}
	res.Troubles = r.troubles()
	rules := Verdict{Must: "no rule broken by any balancer that runs", Holds: broken == 0, Seen: fmt.Sprintf("%d flows judged, %d breaches", r.checker.Judged, broken)}
	res.Musts = append(res.Musts, rules)
	alone := Verdict{Must: "no process ends by itself", Holds: true, Seen: "none did"}
	for _, m := range r.moments {
		if strings.HasPrefix(m.What, "ended by itself") {
			alone.Holds, alone.Seen = false, fmt.Sprintf("%s at %.1fs", m.Who, m.At.Seconds())
		}
	}
	res.Musts = append(res.Musts, alone)
	if len(r.unfit) > 0 {
		res.Musts = append(res.Musts, Verdict{"all faults could be carried out", false, r.unfit[0]})
	}
	for _, m := range r.p.musts {
		res.Musts = append(res.Musts, r.judge(m, res))
	}
	res.Holds = !slices.ContainsFunc(res.Musts, func(v Verdict) bool { return !v.Holds })
	return res
}

// service is the share of all seconds asked for in which a client's messages were answered in time.
func (r *run) service() float64 {
	got, want := 0.0, 0.0
	for i, row := range r.w.Accounting.Requested {
		for s, x := range row {
			want += x
			got += r.w.Accounting.Served[i][s]
		}
	}
	if want == 0 {
		return 0
	}
	return got / want
}

func closed(spans []Span, end time.Duration) []Span {
	list := slices.Clone(spans)
	for i := range list {
		if list[i].To == 0 {
			list[i].To = end
		}
	}
	return list
}

func serverName(i int) string { return fmt.Sprintf("s-%03d", i) }

// judge tells whether one thing held.
func (r *run) judge(m must, res *Result) Verdict {
	base, v := time.Duration(0), Verdict{Must: m.text(), Holds: true}
	if m.after != "" {
		at, ok := r.at[m.after]
		if !ok {
			v.Holds, v.Seen = false, fmt.Sprintf("the fault %q never came", m.after)
			return v
		}
		base = at
	}
	from, to := base+m.from, r.w.Accounting.Length
	if m.to > 0 {
		to = base + m.to
	}
	who := r.cast.ends(m.who, nil)
	worst := func(seen string, holds bool) {
		if v.Seen == "" || v.Holds && !holds {
			v.Seen = seen
		}
		v.Holds = v.Holds && holds
	}
	count := func(b simulation.BalancerID, k invariants.Kind, servers map[int]bool) (n int) {
		for _, e := range r.events {
			if e.At >= from && e.At < to && e.Kind == k && e.Balancer == invariants.Balancer(b) &&
				(k != invariants.FlowAnswered || e.Answer == invariants.Established) && (servers == nil || servers[int(e.Server)]) {
				n++
			}
		}
		return n
	}
	switch m.kind {
	case leftOut, takenBack:
		for _, w := range who {
			at, ok := r.frontSays(w, m.kind == leftOut, from, m.within)
			worst(fmt.Sprintf("%s after %v", w, at.Round(time.Millisecond)), ok)
		}
	case serves, uses, avoids:
		kind := invariants.FlowAnswered
		var servers map[int]bool
		if m.kind != serves {
			kind, servers = invariants.ConnectSent, map[int]bool{}
			for _, s := range r.serversOf(m.servers, from) {
				servers[s] = true
			}
		}
		for _, w := range who {
			b, ok := balancerOf(w)
			if !ok {
				worst(w+" is no balancer", false)
				continue
			}
			n := count(b, kind, servers)
			if m.kind == avoids {
				worst(fmt.Sprintf("%s: %d", w, n), float64(n) <= m.atMost)
			} else {
				worst(fmt.Sprintf("%s: %d", w, n), float64(n) >= m.atLeast)
			}
		}
	case established:
		taken, up := map[invariants.Flow]bool{}, 0
		for _, e := range r.events {
			if e.Kind == invariants.FlowAccepted && e.At >= from && e.At < to {
				taken[e.Flow] = true
			} else if e.Kind == invariants.FlowAnswered && e.Answer == invariants.Established && taken[e.Flow] {
				up++
			}
		}
		share := float64(up) / float64(max(len(taken), 1))
		worst(fmt.Sprintf("%.3f of %d flows", share, len(taken)), len(taken) > 0 && share >= m.atLeast)
	case neverUp:
		share := float64(res.Figures.NeverUp) / float64(max(res.Figures.Clients, 1))
		worst(fmt.Sprintf("%.4f of %d clients", share, res.Figures.Clients), share <= m.atMost)
	case answered:
		if len(r.calls[m.after]) == 0 {
			worst("no call was answered by the end", false)
		}
		for _, a := range r.calls[m.after] {
			worst(a.who+": "+a.what, a.yes == m.yes)
		}
	case probes:
		n := 0.0
		for _, list := range r.driver.Tally.HealthChecksAt {
			for _, at := range list {
				if at >= from && at < to {
					n++
				}
			}
		}
		worst(fmt.Sprint(n), n >= m.atLeast && (m.atMost == 0 || n <= m.atMost))
	case probed:
		for _, i := range r.serversOf(m.servers, from) {
			last, gap := from, time.Duration(0)
			for _, at := range append(slices.Clone(r.driver.Tally.HealthChecksAt[simulation.ServerID(i)]), to) {
				if at >= from && at <= to {
					gap, last = max(gap, at-last), at
				}
			}
			worst(fmt.Sprintf("%s: %v without", serverName(i), gap.Round(time.Millisecond)), gap <= m.within)
		}
	case sees, keeps:
		r.judgeMembers(m, who, r.cast.ends(m.whom, nil), from, to, worst)
		if m.kind == keeps && v.Holds {
			v.Seen = "nobody did"
		}
	case descriptors:
		for _, w := range who {
			if n, ok := r.descriptors[w]; ok {
				worst(fmt.Sprintf("%s: %d", w, n), float64(n) <= m.atMost)
			}
		}
	case costs:
		sum := 0
		for _, p := range res.Processes {
			c := p.Cost
			sum += c.Cut + c.Unanswered + c.Expired + c.SentLate
		}
		worst(fmt.Sprint(sum), float64(sum) <= m.atMost)
	}
	return v
}

// serversOf resolves names of servers; those struck are the ones that were in trouble just after a time.
func (r *run) serversOf(names []string, from time.Duration) (list []int) {
	hit := r.cast.struck
	defer func() { r.cast.struck = hit }()
	r.cast.struck = func() (in []int) {
		at := from + 500*time.Millisecond
		for i := range r.w.Servers {
			for _, s := range r.struck[i] {
				if s.From <= at && (s.To == 0 || s.To > at) {
					in = append(in, i)
				}
			}
		}
		return in
	}
	for _, n := range r.cast.ends(names, nil) {
		if s, ok := serverOf(n); ok {
			list = append(list, int(s))
		}
	}
	return list
}

// frontSays is how long after a time the front left somebody out, or took it back.
func (r *run) frontSays(who string, out bool, from, within time.Duration) (after time.Duration, ok bool) {
	for _, s := range r.fronts[who] {
		at := s.From
		if !out {
			at = s.To
		}
		if at >= from {
			return at - from, at-from <= within
		}
	}
	return r.w.Accounting.Length - from, false
}

func (m must) text() string {
	when := ""
	if m.after != "" {
		when = fmt.Sprintf(" counted from %q", m.after)
	}
	if m.from > 0 || m.to > 0 {
		when += fmt.Sprintf(" from %v", m.from)
		if m.to > 0 {
			when += fmt.Sprintf(" to %v", m.to)
		}
	}
	who, servers := strings.Join(m.who, ","), strings.Join(m.servers, ",")
	text := ""
	switch m.kind {
	case leftOut:
		text = fmt.Sprintf("the front leaves %s out within %v", who, m.within)
	case takenBack:
		text = fmt.Sprintf("the front takes %s back within %v", who, m.within)
	case serves:
		text = fmt.Sprintf("each of %s establishes %g flows at the least", who, m.atLeast)
	case uses:
		text = fmt.Sprintf("each of %s sends %g connects at the least to %s", who, m.atLeast, servers)
	case avoids:
		text = fmt.Sprintf("each of %s sends %g connects at the most to %s", who, m.atMost, servers)
	case established:
		text = fmt.Sprintf("%g of all flows are established", m.atLeast)
	case neverUp:
		text = fmt.Sprintf("at most %g of all clients never have a connection", m.atMost)
	case answered:
		text = "the call is answered " + map[bool]string{true: "yes", false: "no"}[m.yes]
	case probes:
		text = fmt.Sprintf("servers are probed %g times at the least by all together", m.atLeast)
		if m.atMost > 0 {
			text += fmt.Sprintf(", %g at the most", m.atMost)
		}
	case probed:
		text = fmt.Sprintf("none of %s goes without a probe for longer than %v", servers, m.within)
	case sees:
		text = fmt.Sprintf("each of %s sees %s as %s within %v", who, strings.Join(m.whom, ","), m.status, m.within)
	case keeps:
		text = fmt.Sprintf("none of %s sees any of %s as gone", who, strings.Join(m.whom, ","))
	case descriptors:
		text = fmt.Sprintf("each of %s holds at most %g descriptors at the end", who, m.atMost)
	case costs:
		text = fmt.Sprintf("killed and frozen processes cost at most %g connections and flows", m.atMost)
	}
	return text + when
}
