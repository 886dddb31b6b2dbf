package compatibility

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"
)

// readReply reads all actions of one reply and applies them.
func (p *dayRun) readReply(t *testing.T, answers *bufio.Reader) {
	t.Helper()
	for instance := -1; ; {
		line, err := answers.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		p.output.WriteString(line)
		f := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		switch f[0] {
		case "YIELD":
			return
		case "SPEAKING":
			instance = number(t, f[1])
		case "FAULT":
			t.Fatal(line)
		default:
			p.applyAction(t, instance, f)
		}
	}
}

// applyAction does what one action of an instance asks for.
func (p *dayRun) applyAction(t *testing.T, i int, f []string) {
	t.Helper()
	switch f[0] {
	case "TIMER":
		mark := f[1]
		p.schedule(time.Duration(number(t, f[2])), i, func() []string {
			if !p.alive[i] {
				return nil
			}
			return []string{"WAKE\t" + mark}
		})
	case "TAIL":
		p.schedule(5*time.Millisecond, i, func() []string {
			if !p.alive[i] {
				return nil
			}
			if p.random.IntN(4) == 0 {
				return []string{fmt.Sprintf("UPDATE\tX\t%d\t-", p.stamp)}
			}
			p.subscribed[i] = true
			return p.list("F", i, listed(p.servers))
		})
	case "HEALTH_CHECK":
		s := p.server(t, f[1])
		p.schedule(3*time.Millisecond, i, func() []string {
			code, stats := "OK", p.report(s)
			switch s.condition {
			case "down":
				code, stats = "UNAVAILABLE", "-"
			case "hung":
				code, stats = "DEADLINE_EXCEEDED", "-"
			}
			if !p.alive[i] {
				return nil
			}
			return []string{fmt.Sprintf("HEALTH_RESULT\t%d\t%s\t%d\t%s", s.id, code, 3*time.Millisecond, stats)}
		})
	case "FORWARD":
		p.startAttempt(t, f)
	case "SHIFT", "OVERLOAD_REPLY", "DROP_REQUEST":
		if x := p.flows[f[1]]; x != nil {
			p.applyAnswer(t, x, f)
		}
	}
}

// applyAnswer applies a final answer or a migration to the flow that it is about.
func (p *dayRun) applyAnswer(t *testing.T, x *dayFlow, f []string) {
	t.Helper()
	n := x.attempts - 1
	retry := &dayFlow{instance: x.instance, service: x.service, customer: x.customer, group: x.group}
	switch f[0] {
	case "SHIFT":
		if x.isEstablished {
			p.schedule(4*time.Millisecond, x.instance, func() []string { return p.endAttempt(x, n, "OK", true) })
			p.schedule(20*time.Millisecond, x.instance, func() []string { return p.arrive(retry, 1|16) })
		}
	case "OVERLOAD_REPLY", "DROP_REQUEST":
		x.isAnswered = true
		if x.server == nil {
			delete(p.flows, x.id)
		}
		if f[0] == "OVERLOAD_REPLY" && p.random.IntN(2) == 0 {
			p.schedule(time.Duration(number(t, f[2]))+p.spread(200*time.Millisecond), x.instance, func() []string { return p.arrive(retry, 1|2) })
		}
	}
}

// startAttempt connects to the server in its present condition, and schedules how the attempt ends.
func (p *dayRun) startAttempt(t *testing.T, f []string) {
	t.Helper()
	x, s, limit := p.flows[f[1]], p.server(t, f[2]), time.Duration(number(t, f[3]))
	if x == nil || x.server != nil {
		t.Fatalf("attempt of a flow that has one already, or is unknown: %v", f)
	}
	n, i := x.attempts, x.instance
	x.attempts++
	x.server, x.attemptAt = s, p.now
	s.connections++
	left := time.Duration(x.deadline - p.now)
	if limit <= 0 || limit > left {
		limit = left
	}
	took, code := p.drawOutcome(s, limit)
	if took >= limit {
		took, code = limit, "DEADLINE_EXCEEDED"
	}
	if code == "" {
		p.schedule(took, i, func() []string { return p.establish(x, n) })
		return
	}
	p.schedule(took, i, func() []string { return p.endAttempt(x, n, code, false) })
}

// drawOutcome draws how an attempt at a server in its present condition ends and when; an empty code is established.
func (p *dayRun) drawOutcome(s *dayServer, limit time.Duration) (took time.Duration, code string) {
	load := p.load(s)
	switch {
	case s.condition == "down":
		return 200 * time.Millisecond, "UNAVAILABLE"
	case s.condition == "full" || s.readiness != "IN" || load > 2 && s.condition != "slow":
		return time.Millisecond, "RESOURCE_EXHAUSTED"
	case s.condition == "hung":
		return limit, "DEADLINE_EXCEEDED"
	case s.condition == "resets" && p.random.IntN(2) == 0:
		return 3 * time.Millisecond, "ABORTED"
	case s.condition == "errors" && p.random.IntN(2) == 0:
		return 3 * time.Millisecond, "INTERNAL"
	}
	return 2*time.Millisecond + p.spread(time.Duration(float64(6*time.Millisecond)*(1+4*load))), ""
}

// establish reports that an attempt is established, and schedules its samples and its end.
func (p *dayRun) establish(x *dayFlow, n int) []string {
	if p.flows[x.id] != x || x.server == nil || x.isAnswered || n != x.attempts-1 {
		return nil
	}
	x.isEstablished = true
	p.schedule(p.spread(p.day.stay), x.instance, func() []string { return p.endAttempt(x, n, "OK", true) })
	p.schedule(p.spread(2*time.Second), x.instance, func() []string { return p.sample(x, n) })
	return []string{fmt.Sprintf("FIRST\t%s\t%d\t%d\t%d", x.id, n, x.server.id, p.now-x.attemptAt)}
}

// sample reports a load of an established flow, or a latency where its server is overloaded.
func (p *dayRun) sample(x *dayFlow, n int) []string {
	if p.flows[x.id] != x || x.server == nil || n != x.attempts-1 {
		return nil
	}
	p.schedule(time.Second+p.spread(2*time.Second), x.instance, func() []string { return p.sample(x, n) })
	if load := p.load(x.server); load > 0.9 {
		return []string{fmt.Sprintf("CHANGE\t%s\t%d\t%d\t2\t%.1f", x.id, n, x.server.id, 300*load+float64(p.random.IntN(200)))}
	}
	return []string{fmt.Sprintf("CHANGE\t%s\t%d\t%d\t1\t%d", x.id, n, x.server.id, 9000+p.random.IntN(9000))}
}
