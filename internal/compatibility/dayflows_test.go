package compatibility

import (
	"fmt"
	"strconv"
	"time"
)

// kill ends an instance; its successor adopts the connections that are still established.
func (p *dayRun) kill(i int) []string {
	p.alive[i] = false
	var established []*dayFlow
	for _, id := range sortedKeys(p.flows) {
		if f := p.flows[id]; f.instance == i {
			if f.isEstablished && f.server != nil && f.server.condition == "well" {
				established = append(established, f)
			} else {
				p.leave(f)
			}
			// Without a proxy in between, some clients' packets are routed to the next instance meanwhile.
			if f.isEstablished && p.day.settings["family-info.mode"] == "pass" {
				rerouted := &dayFlow{instance: (i + 1) % p.day.instances, service: f.service, customer: f.customer, group: f.group}
				p.schedule(p.spread(100*time.Millisecond), rerouted.instance, func() []string { return p.arrive(rerouted, 1|8) })
			}
			delete(p.flows, id)
		}
	}
	p.schedule(time.Second, i, func() []string {
		lines := p.spawn(i)
		for _, f := range established {
			adopted := &dayFlow{id: p.id(), instance: i, service: f.service, attempts: 1, server: f.server, attemptAt: p.now, isEstablished: true, customer: f.customer, group: f.group}
			p.flows[adopted.id] = adopted
			lines = append(lines, fmt.Sprintf("OPEN\t%s\t%s\t%s\t%s\t%d\t-\t%s\t%d\t%d", adopted.id, f.service, f.customer, "s-"+adopted.id, int64(time.Second), f.group, 8, f.server.id))
			p.schedule(p.spread(p.day.stay), i, func() []string { return p.endAttempt(adopted, 0, "OK", true) })
		}
		return lines
	})
	return []string{"KILL"}
}

func (p *dayRun) id() string { p.ids++; return "t/f" + strconv.Itoa(p.ids) }

func (p *dayRun) spread(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * min(p.random.ExpFloat64(), 4))
}

func (p *dayRun) serviceTypeNames() []string {
	if n, err := strconv.Atoi(p.day.settings["service-types.count"]); err == nil {
		var names []string
		for i := range n {
			names = append(names, "type-"+strconv.Itoa(i))
		}
		return names
	}
	return []string{"live-config"}
}

// arrival has one new flow arrive and schedules the next.
func (p *dayRun) arrival(i int) []string {
	p.schedule(p.spread(time.Duration(float64(time.Second)/p.day.flows)), i, func() []string { return p.arrival(i) })
	if !p.alive[i] {
		return nil
	}
	customers := []string{"dyffryn-frames", "dyffryn-frames", "teifi-windows", "gwent-doors", "menai-glazing", "-"}
	f := &dayFlow{instance: i, service: p.serviceTypeNames()[p.random.IntN(len(p.serviceTypeNames()))], customer: customers[p.random.IntN(len(customers))], group: "-"}
	if p.random.IntN(3) > 0 {
		f.group = "c:g" + strconv.Itoa(p.random.IntN(3*p.day.servers))
	}
	return p.arrive(f, 1)
}

func (p *dayRun) arrive(f *dayFlow, flags int) []string {
	if !p.alive[f.instance] {
		return nil
	}
	f.id = p.id()
	p.flows[f.id] = f
	left := []time.Duration{240 * time.Millisecond, 800 * time.Millisecond, 1800 * time.Millisecond}[p.random.IntN(3)]
	f.deadline = p.now + int64(left)
	if p.random.IntN(40) == 0 { // a client that leaves before its timeout
		p.schedule(p.spread(200*time.Millisecond), f.instance, func() []string { return p.hangUp(f) })
	}
	p.schedule(left+8*time.Millisecond, f.instance, func() []string { return p.hangUp(f) })
	return []string{fmt.Sprintf("JOB_IN\t%s\t%s\t%s\ts-%s\t%d\t%d\t%s\t%d", f.id, f.service, f.customer, f.id, int64(left), 12000000+p.random.IntN(1000), f.group, flags)}
}

// hangUp has a client leave that has no answer: early, or when its timeout is over.
func (p *dayRun) hangUp(f *dayFlow) []string {
	if p.flows[f.id] != f || f.isEstablished || f.isAnswered {
		return nil
	}
	f.isAnswered = true
	if f.server == nil {
		delete(p.flows, f.id)
	}
	return []string{"HANGUP\t" + f.id}
}

// leave ends a flow's connection to its server.
func (p *dayRun) leave(f *dayFlow) {
	if f.server != nil {
		f.server.connections--
		f.server = nil
	}
}

// endAttempt reports the end of an attempt or connection, unless it has ended already.
func (p *dayRun) endAttempt(f *dayFlow, attempt int, code string, over bool) []string {
	if p.flows[f.id] != f || f.server == nil || attempt != f.attempts-1 {
		return nil
	}
	s := f.server
	stats := "-"
	if p.random.IntN(4) == 0 && p.day.settings["reporting.how"] == "pull" && f.isEstablished {
		stats = p.report(s)
	}
	p.leave(f)
	over = over || f.isAnswered
	if over {
		delete(p.flows, f.id)
	}
	return []string{fmt.Sprintf("CLOSED_ATTEMPT\t%s\t%d\t%d\t%s\t%d\t%d\t%s", f.id, attempt, s.id, code, p.now-f.attemptAt, boolDigit(over), stats)}
}

// breakConnections breaks all connections to a server.
func (p *dayRun) breakConnections(s *dayServer) {
	for _, id := range sortedKeys(p.flows) {
		if f := p.flows[id]; f.server == s {
			n, started := f.attempts-1, f.isEstablished
			p.schedule(time.Duration(1+p.random.IntN(40))*time.Millisecond, f.instance, func() []string { return p.endAttempt(f, n, "ABORTED", started) })
			if started && p.random.IntN(3) > 0 {
				returning := &dayFlow{instance: f.instance, service: f.service, customer: f.customer, group: f.group}
				p.schedule(p.spread(300*time.Millisecond), f.instance, func() []string { return p.arrive(returning, 1|16) })
			}
		}
	}
}

func (p *dayRun) load(s *dayServer) float64 {
	load := float64(s.connections) / (s.size * float64(p.day.capacity))
	if s.condition == "slow" {
		load++
	}
	return load
}

func (p *dayRun) report(s *dayServer) string {
	load := p.load(s)
	return fmt.Sprintf("x0:%.3f,x1:%.2f", load, max(0, load-1))
}
