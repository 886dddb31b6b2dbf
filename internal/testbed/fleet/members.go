package fleet

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"yardwinch/fleet/signals"
	"yardwinch/internal/daemon"
	"yardwinch/internal/explain"
	"yardwinch/internal/freeaddr"
	"yardwinch/internal/membership"
	"yardwinch/internal/routing"
	"yardwinch/internal/simulation"
	"yardwinch/internal/testbed/netfault"
)

const (
	memberPollInterval  = 100 * time.Millisecond
	maxSeeds            = 3 // members that a process is told of
	garbageInterval     = 10 * time.Millisecond
	maxGarbageBytes     = 1400
	falseReportInterval = 500 * time.Millisecond
	falseIncarnation    = 1 << 50 // later than that of any process
	falseConnections    = 1000
)

// memberView is how a process saw the other members from a time on.
type memberView struct {
	at     time.Duration
	states map[string]string
}

// assignAddresses gives a process an address to send from, and opens the one that it advertises. Both are loopback addresses of its own.
func (r *fleetRun) assignAddresses(p *process) (err error) {
	if p.boundTo, err = freeaddr.UDP(r.ctx, loopbackIP(boundNetwork, p.id)); err != nil {
		return err
	}
	p.advertised, err = r.proxy.Add(netfault.Endpoint(p.name), netip.MustParseAddr(loopbackIP(advertisedNetwork, p.id)), p.boundTo)
	return err
}

func (p *process) explainSocket() string { return filepath.Join(p.directory, "ask.sock") }

// writeOptions writes a process's operators' file and returns its path; empty where no option is on. An earlier build knows nothing of it.
func (r *fleetRun) writeOptions(p *process) (string, error) {
	if r.proxy == nil || p.program == oldBuild {
		return "", nil
	}
	var seeds []string
	for _, other := range r.processes[:min(maxSeeds, len(r.processes))] {
		if other != p {
			seeds = append(seeds, fmt.Sprintf("%q", other.advertised))
		}
	}
	text := fmt.Sprintf("[peers]\nname = %q\nlabel = %q\nbind = %q\nadvertise = %q\nseeds = [%s]\n",
		p.name, r.label(), p.boundTo, p.advertised, strings.Join(seeds, ", "))
	text += fmt.Sprintf("[signals]\non = %v\n[duties]\non = %v\n[explain]\nsocket = %q\n",
		r.plan.hasSignals, r.plan.hasLeases, p.explainSocket())
	path := filepath.Join(r.directory, fmt.Sprintf("options-%d.toml", p.id))
	return path, os.WriteFile(path, []byte(text), readableMode)
}

func (r *fleetRun) label() string { return fmt.Sprintf("fleet-%d", r.seed) }

// watchMembers asks a process again and again whom it sees, until the context ends.
func (r *fleetRun) watchMembers(ctx context.Context, p *process) {
	ticker := time.NewTicker(memberPollInterval)
	defer ticker.Stop()
	for {
		var view daemon.MembersView
		err := explain.Members(ctx, p.explainSocket(), &view)
		r.driver.Do(func() {
			if err == nil && (p.state == running || p.state == starved) { // else what it saw last still counts
				p.addView(r.driver.Elapsed(), view)
			}
		})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addView notes a view that differs from the last one.
func (p *process) addView(now time.Duration, view daemon.MembersView) {
	states := map[string]string{}
	for _, member := range view.Members {
		states[string(member.Name)] = string(member.State)
	}
	if last := len(p.views) - 1; last < 0 || !maps.Equal(p.views[last].states, states) {
		p.views = append(p.views, memberView{now, states})
	}
}

// repeat does something now and at each interval, until a fault ends or it fails, which is reported.
func (r *fleetRun) repeat(f startedFault, interval time.Duration, do func() error) {
	end := r.driver.Elapsed() + f.drawnLength
	var next func()
	next = func() {
		if err := do(); err != nil {
			r.skip("%v", err)
			return
		}
		if r.driver.Elapsed()+interval < end {
			r.world.Schedule.After(interval, simulation.Cause, next)
		}
	}
	next()
}

// injectGarbage sends datagrams that nobody can decode, in the name of members.
func (r *fleetRun) injectGarbage(f startedFault) {
	random := simulation.RandomSource(r.seed, "flood", 0)
	each := max(1, int(float64(f.rate)*garbageInterval.Seconds()))
	r.repeat(f, garbageInterval, func() error {
		for range each {
			message := make([]byte, 1+random.IntN(maxGarbageBytes))
			for i := range message {
				message[i] = byte(random.Uint32())
			}
			from := f.peerNames[random.IntN(len(f.peerNames))]
			to := f.targetNames[random.IntN(len(f.targetNames))]
			r.proxy.Inject(netfault.Endpoint(from), netfault.Endpoint(to), message)
		}
		return nil
	})
}

// injectFalseReports has members report that every server is late, as a member with a fault of its own would. Each report has the member's
// name and a later incarnation, so that it takes the place of what the member itself published.
func (r *fleetRun) injectFalseReports(f startedFault) {
	sequence := signals.Incarnation(0)
	r.repeat(f, falseReportInterval, func() error {
		sequence++
		for _, member := range f.peerNames {
			message, err := r.falseReport(member, sequence)
			if err != nil {
				return err
			}
			for _, to := range f.targetNames {
				r.proxy.Inject(netfault.Endpoint(member), netfault.Endpoint(to), message)
			}
		}
		return nil
	})
}

// falseReport is a member's report in the form of the membership engine: a label, and a user's message.
func (r *fleetRun) falseReport(member string, sequence signals.Incarnation) ([]byte, error) {
	const labelMark, userMark = 244, 8 // of memberlist's wire format
	record := signals.Record{Origin: signals.Origin(member), Incarnation: falseIncarnation + sequence, Sequence: 1}
	for i := range r.world.Servers {
		server := routing.ServerID(serverName(i))
		record.Reports = append(record.Reports, signals.Report{Server: server, Fault: signals.Late, Connections: falseConnections})
	}
	encoded, err := signals.Encode(record)
	if err != nil {
		return nil, fmt.Errorf("encode a false report of %s: %w", member, err)
	}
	label := r.label()
	message := append([]byte{labelMark, byte(len(label))}, label...)
	return append(append(message, userMark), encoded...), nil
}

// firstSaw tells when a process first saw a member in a state in [from, to).
func (p *process) firstSaw(member, status string, from, to time.Duration) (at time.Duration, ever bool) {
	for i, view := range p.views {
		until := to
		if i+1 < len(p.views) {
			until = p.views[i+1].at
		}
		if until > from && view.at < to && view.states[member] == status {
			return max(view.at, from), true
		}
	}
	return to, false
}

// wasInterrupted tells whether a process did not run at some time in [from, to). A starved one runs.
func (p *process) wasInterrupted(from, to time.Duration) bool {
	for _, span := range p.spans {
		if span.From < to && (span.To == 0 || span.To > from) && span.What != string(starved) {
			return true
		}
	}
	return false
}

// checkMembers checks how balancers that ran all the time saw members.
func (c *check) checkMembers() {
	compared := 0
	for _, name := range c.balancers {
		b, ok := balancerOf(name)
		if !ok || int(b) >= len(c.run.processes) {
			c.note(name+" is no balancer", false)
			continue
		}
		compared += c.checkViews(c.run.processes[b])
	}
	if compared == 0 {
		c.note("nobody was there to see it", false)
	}
	if c.kind == requireKeeps && c.verdict.Holds {
		c.verdict.Seen = "nobody did"
	}
}

// checkViews checks how one balancer saw the other members, and tells how many: none if it did not run all the time.
func (c *check) checkViews(p *process) (compared int) {
	end := c.to
	if c.kind == requireSees {
		end = min(c.to, c.from+c.within)
	}
	if p.wasInterrupted(c.from, end) {
		return 0
	}
	for _, member := range c.members {
		if member == p.name {
			continue
		}
		compared++
		if c.kind == requireKeeps {
			at, ever := p.firstSaw(member, string(membership.Gone), c.from, end)
			c.note(fmt.Sprintf("%s saw %s gone at %v", p.name, member, at.Round(time.Millisecond)), !ever)
			continue
		}
		at, ever := p.firstSaw(member, c.status, c.from, end)
		c.note(fmt.Sprintf("%s saw %s so after %v", p.name, member, (at-c.from).Round(time.Millisecond)), ever)
	}
	return compared
}
