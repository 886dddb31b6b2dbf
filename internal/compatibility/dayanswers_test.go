package compatibility

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"
)

// readReply reads the reply to one batch and applies its actions.
func (p *scenarioRun) readReply(t *testing.T, replies *bufio.Reader) {
	t.Helper()
	for instance := -1; ; {
		line, err := replies.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		p.output.WriteString(line)
		f := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		switch f[0] {
		case "YIELD":
			return
		case "SPEAKING":
			instance = parseNumber(t, f[1])
		case "FAULT":
			t.Fatal(line)
		default:
			p.applyAction(t, instance, f)
		}
	}
}

// applyAction applies an action of an instance: its line, split into fields.
func (p *scenarioRun) applyAction(t *testing.T, i int, f []string) {
	t.Helper()
	switch f[0] {
	case "TIMER":
		timer := f[1]
		p.schedule(time.Duration(parseNumber(t, f[2])), i, func() []string {
			if !p.isAlive[i] {
				return nil
			}
			return []string{"WAKE\t" + timer}
		})
	case "TAIL":
		p.schedule(5*time.Millisecond, i, func() []string {
			if !p.isAlive[i] {
				return nil
			}
			if p.random.IntN(4) == 0 {
				return []string{fmt.Sprintf("UPDATE\tX\t%d\t-", p.listVersion)}
			}
			p.watchesList[i] = true
			return p.listLines("F", i, listedServers(p.servers))
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
			if !p.isAlive[i] {
				return nil
			}
			return []string{fmt.Sprintf("HEALTH_RESULT\t%d\t%s\t%d\t%s", s.id, code, 3*time.Millisecond, stats)}
		})
	case "FORWARD":
		p.startAttempt(t, f)
	case "SHIFT", "OVERLOAD_REPLY", "DROP_REQUEST":
		if x := p.flows[f[1]]; x != nil {
			p.applyDecision(t, x, f)
		}
	}
}

// applyDecision applies a migration, a rejection or an abort to its flow.
func (p *scenarioRun) applyDecision(t *testing.T, x *simulatedFlow, f []string) {
	t.Helper()
	n := x.attempts - 1
	retry := &simulatedFlow{instance: x.instance, service: x.service, customer: x.customer, group: x.group}
	switch f[0] {
	case "SHIFT":
		if x.isEstablished {
			p.schedule(4*time.Millisecond, x.instance, func() []string { return p.endAttempt(x, n, "OK", true) })
			p.schedule(20*time.Millisecond, x.instance, func() []string { return p.openFlow(retry, 1|16) })
		}
	case "OVERLOAD_REPLY", "DROP_REQUEST":
		x.isAnswered = true
		if x.server == nil {
			delete(p.flows, x.id)
		}
		if f[0] == "OVERLOAD_REPLY" && p.random.IntN(2) == 0 {
			p.schedule(time.Duration(parseNumber(t, f[2]))+p.drawDuration(200*time.Millisecond), x.instance, func() []string { return p.openFlow(retry, 1|2) })
		}
	}
}

// startAttempt starts an attempt and schedules its outcome, which depends on the server's condition.
func (p *scenarioRun) startAttempt(t *testing.T, f []string) {
	t.Helper()
	x, s, limit := p.flows[f[1]], p.server(t, f[2]), time.Duration(parseNumber(t, f[3]))
	if x == nil || x.server != nil {
		t.Fatalf("attempt for an unknown flow, or for one that already has an attempt: %v", f)
	}
	n, i := x.attempts, x.instance
	x.attempts++
	x.server, x.attemptStart = s, p.now
	s.connections++
	remaining := time.Duration(x.deadline - p.now)
	if limit <= 0 || limit > remaining {
		limit = remaining
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

// drawOutcome draws the outcome of an attempt and how long it takes. The code is empty if the flow is established.
func (p *scenarioRun) drawOutcome(s *simulatedServer, limit time.Duration) (took time.Duration, code string) {
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
	return 2*time.Millisecond + p.drawDuration(time.Duration(float64(6*time.Millisecond)*(1+4*load))), ""
}

// establish reports that a flow is established, and schedules its samples and its end.
func (p *scenarioRun) establish(x *simulatedFlow, n int) []string {
	if p.flows[x.id] != x || x.server == nil || x.isAnswered || n != x.attempts-1 {
		return nil
	}
	x.isEstablished = true
	p.schedule(p.drawDuration(p.scenario.meanFlowDuration), x.instance, func() []string { return p.endAttempt(x, n, "OK", true) })
	p.schedule(p.drawDuration(2*time.Second), x.instance, func() []string { return p.sample(x, n) })
	return []string{fmt.Sprintf("FIRST\t%s\t%d\t%d\t%d", x.id, n, x.server.id, p.now-x.attemptStart)}
}

// sample reports a load sample of an established flow, or a latency sample if its server is overloaded.
func (p *scenarioRun) sample(x *simulatedFlow, n int) []string {
	if p.flows[x.id] != x || x.server == nil || n != x.attempts-1 {
		return nil
	}
	p.schedule(time.Second+p.drawDuration(2*time.Second), x.instance, func() []string { return p.sample(x, n) })
	if load := p.load(x.server); load > 0.9 {
		return []string{fmt.Sprintf("CHANGE\t%s\t%d\t%d\t2\t%.1f", x.id, n, x.server.id, 300*load+float64(p.random.IntN(200)))}
	}
	return []string{fmt.Sprintf("CHANGE\t%s\t%d\t%d\t1\t%d", x.id, n, x.server.id, 9000+p.random.IntN(9000))}
}
