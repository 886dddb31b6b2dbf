package compatibility

import (
	"fmt"
	"strconv"
	"time"
)

// kill kills an instance. Its successor, a second later, takes over the established flows whose servers are well.
func (p *scenarioRun) kill(i int) []string {
	p.isAlive[i] = false
	var established []*simulatedFlow
	for _, id := range sortedKeys(p.flows) {
		if f := p.flows[id]; f.instance == i {
			if f.isEstablished && f.server != nil && f.server.condition == "well" {
				established = append(established, f)
			} else {
				p.disconnect(f)
			}
			// Without a proxy, the packets of established flows are routed to the next instance in the meantime.
			if f.isEstablished && p.scenario.settings["family-info.mode"] == "pass" {
				rerouted := &simulatedFlow{instance: (i + 1) % p.scenario.instances, service: f.service, customer: f.customer, group: f.group}
				p.schedule(p.drawDuration(100*time.Millisecond), rerouted.instance, func() []string { return p.openFlow(rerouted, 1|8) })
			}
			delete(p.flows, id)
		}
	}
	p.schedule(time.Second, i, func() []string {
		lines := p.spawn(i)
		for _, f := range established {
			adopted := &simulatedFlow{id: p.newFlowID(), instance: i, service: f.service, attempts: 1, server: f.server, attemptStart: p.now, isEstablished: true, customer: f.customer, group: f.group}
			p.flows[adopted.id] = adopted
			lines = append(lines, fmt.Sprintf("OPEN\t%s\t%s\t%s\t%s\t%d\t-\t%s\t%d\t%d", adopted.id, f.service, f.customer, "s-"+adopted.id, int64(time.Second), f.group, 8, f.server.id))
			p.schedule(p.drawDuration(p.scenario.meanFlowDuration), i, func() []string { return p.endAttempt(adopted, 0, "OK", true) })
		}
		return lines
	})
	return []string{"KILL"}
}

func (p *scenarioRun) newFlowID() string { p.flowCount++; return "t/f" + strconv.Itoa(p.flowCount) }

func (p *scenarioRun) drawDuration(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * min(p.random.ExpFloat64(), 4))
}

func (p *scenarioRun) serviceTypeNames() []string {
	if n, err := strconv.Atoi(p.scenario.settings["service-types.count"]); err == nil {
		var names []string
		for i := range n {
			names = append(names, "type-"+strconv.Itoa(i))
		}
		return names
	}
	return []string{"live-config"}
}

// nextArrival creates a new flow for an instance, and schedules the next.
func (p *scenarioRun) nextArrival(i int) []string {
	p.schedule(p.drawDuration(time.Duration(float64(time.Second)/p.scenario.flowRate)), i, func() []string { return p.nextArrival(i) })
	if !p.isAlive[i] {
		return nil
	}
	customers := []string{"dyffryn-frames", "dyffryn-frames", "teifi-windows", "gwent-doors", "menai-glazing", "-"}
	f := &simulatedFlow{instance: i, service: p.serviceTypeNames()[p.random.IntN(len(p.serviceTypeNames()))], customer: customers[p.random.IntN(len(customers))], group: "-"}
	if p.random.IntN(3) > 0 {
		f.group = "c:g" + strconv.Itoa(p.random.IntN(3*p.scenario.servers))
	}
	return p.openFlow(f, 1)
}

func (p *scenarioRun) openFlow(f *simulatedFlow, flags int) []string {
	if !p.isAlive[f.instance] {
		return nil
	}
	f.id = p.newFlowID()
	p.flows[f.id] = f
	timeout := []time.Duration{240 * time.Millisecond, 800 * time.Millisecond, 1800 * time.Millisecond}[p.random.IntN(3)]
	f.deadline = p.now + int64(timeout)
	if p.random.IntN(40) == 0 { // the client gives up before its timeout
		p.schedule(p.drawDuration(200*time.Millisecond), f.instance, func() []string { return p.hangUp(f) })
	}
	p.schedule(timeout+8*time.Millisecond, f.instance, func() []string { return p.hangUp(f) })
	return []string{fmt.Sprintf("JOB_IN\t%s\t%s\t%s\ts-%s\t%d\t%d\t%s\t%d", f.id, f.service, f.customer, f.id, int64(timeout), 12000000+p.random.IntN(1000), f.group, flags)}
}

// hangUp reports that the client of a flow that is neither established nor answered gave up, at its timeout or earlier.
func (p *scenarioRun) hangUp(f *simulatedFlow) []string {
	if p.flows[f.id] != f || f.isEstablished || f.isAnswered {
		return nil
	}
	f.isAnswered = true
	if f.server == nil {
		delete(p.flows, f.id)
	}
	return []string{"HANGUP\t" + f.id}
}

// disconnect closes a flow's connection to its server.
func (p *scenarioRun) disconnect(f *simulatedFlow) {
	if f.server != nil {
		f.server.connections--
		f.server = nil
	}
}

// endAttempt reports the end of an attempt or an established connection, unless it has ended already. isFinal says that
// the flow ends, too.
func (p *scenarioRun) endAttempt(f *simulatedFlow, attempt int, code string, isFinal bool) []string {
	if p.flows[f.id] != f || f.server == nil || attempt != f.attempts-1 {
		return nil
	}
	s := f.server
	stats := "-"
	if p.random.IntN(4) == 0 && p.scenario.settings["reporting.how"] == "pull" && f.isEstablished {
		stats = p.report(s)
	}
	p.disconnect(f)
	isFinal = isFinal || f.isAnswered
	if isFinal {
		delete(p.flows, f.id)
	}
	return []string{fmt.Sprintf("CLOSED_ATTEMPT\t%s\t%d\t%d\t%s\t%d\t%d\t%s", f.id, attempt, s.id, code, p.now-f.attemptStart, boolDigit(isFinal), stats)}
}

// breakConnections breaks all connections to a server.
func (p *scenarioRun) breakConnections(s *simulatedServer) {
	for _, id := range sortedKeys(p.flows) {
		if f := p.flows[id]; f.server == s {
			n, started := f.attempts-1, f.isEstablished
			p.schedule(time.Duration(1+p.random.IntN(40))*time.Millisecond, f.instance, func() []string { return p.endAttempt(f, n, "ABORTED", started) })
			if started && p.random.IntN(3) > 0 {
				returning := &simulatedFlow{instance: f.instance, service: f.service, customer: f.customer, group: f.group}
				p.schedule(p.drawDuration(300*time.Millisecond), f.instance, func() []string { return p.openFlow(returning, 1|16) })
			}
		}
	}
}

func (p *scenarioRun) load(s *simulatedServer) float64 {
	load := float64(s.connections) / (s.size * float64(p.scenario.capacity))
	if s.condition == "slow" {
		load++
	}
	return load
}

func (p *scenarioRun) report(s *simulatedServer) string {
	load := p.load(s)
	return fmt.Sprintf("x0:%.3f,x1:%.2f", load, max(0, load-1))
}
