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
	maxSeeds            = 3 // in a process's options
	garbageInterval     = 10 * time.Millisecond
	maxGarbageBytes     = 1400
	falseReportInterval = 500 * time.Millisecond
	falseIncarnation    = 1 << 50 // later than the incarnation of any process
	falseConnections    = 1000
)

// memberView is how a process saw the other members from a time on, until its next view.
type memberView struct {
	at     time.Duration
	states map[string]string // by member
}

// assignAddresses assigns a process the loopback address that it binds, and opens the one that it advertises, through which the proxy
// forwards to it. Both are unique to the process.
func (r *fleetRun) assignAddresses(p *process) (err error) {
	if p.bindAddress, err = freeaddr.UDP(r.ctx, loopbackIP(bindNetwork, p.id)); err != nil {
		return err
	}
	p.advertisedAddress, err = r.proxy.Add(netfault.Endpoint(p.name), netip.MustParseAddr(loopbackIP(advertisedNetwork, p.id)), p.bindAddress)
	return err
}

func (p *process) explainSocket() string { return filepath.Join(p.directory, "ask.sock") }

// writeOptions writes a process's options file and returns its path. The path is empty if the plan has no membership, or the process runs an
// earlier build, which doesn't support the file.
func (r *fleetRun) writeOptions(p *process) (string, error) {
	if r.proxy == nil || p.program == oldBuild {
		return "", nil
	}
	var seeds []string
	for _, other := range r.processes[:min(maxSeeds, len(r.processes))] {
		if other != p {
			seeds = append(seeds, fmt.Sprintf("%q", other.advertisedAddress))
		}
	}
	text := fmt.Sprintf("[peers]\nname = %q\nlabel = %q\nbind = %q\nadvertise = %q\nseeds = [%s]\n",
		p.name, r.label(), p.bindAddress, p.advertisedAddress, strings.Join(seeds, ", "))
	text += fmt.Sprintf("[signals]\non = %v\n[duties]\non = %v\n[explain]\nsocket = %q\n",
		r.plan.hasSignals, r.plan.hasLeases, p.explainSocket())
	path := filepath.Join(r.directory, fmt.Sprintf("options-%d.toml", p.id))
	return path, os.WriteFile(path, []byte(text), publicFileMode)
}

func (r *fleetRun) label() string { return fmt.Sprintf("fleet-%d", r.seed) }

// watchMembers polls a process for its view of the members, until the context ends.
func (r *fleetRun) watchMembers(ctx context.Context, p *process) {
	ticker := time.NewTicker(memberPollInterval)
	defer ticker.Stop()
	for {
		var view daemon.MembersView
		err := explain.Members(ctx, p.explainSocket(), &view)
		r.driver.WithLock(func() {
			if err == nil && (p.state == running || p.state == starved) { // otherwise its last view remains
				p.recordView(r.driver.Elapsed(), view)
			}
		})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// recordView records a view that differs from the last one.
func (p *process) recordView(now time.Duration, view daemon.MembersView) {
	states := map[string]string{}
	for _, member := range view.Members {
		states[string(member.Name)] = string(member.State)
	}
	if last := len(p.views) - 1; last < 0 || !maps.Equal(p.views[last].states, states) {
		p.views = append(p.views, memberView{now, states})
	}
}

// repeat calls do now and at each interval, until the fault ends or a call fails. The failure is reported as a skipped fault.
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

// injectGarbage sends datagrams of random bytes, which no member can decode, with members as apparent senders.
func (r *fleetRun) injectGarbage(f startedFault) {
	random := simulation.RandomSource(r.seed, "flood", 0)
	datagramsPerInterval := max(1, int(float64(f.rate)*garbageInterval.Seconds()))
	r.repeat(f, garbageInterval, func() error {
		for range datagramsPerInterval {
			datagram := make([]byte, 1+random.IntN(maxGarbageBytes))
			for i := range datagram {
				datagram[i] = byte(random.Uint32())
			}
			from := f.peerNames[random.IntN(len(f.peerNames))]
			to := f.targetNames[random.IntN(len(f.targetNames))]
			r.proxy.Inject(netfault.Endpoint(from), netfault.Endpoint(to), datagram)
		}
		return nil
	})
}

// injectFalseReports sends reports of members that every server is late, as a member with a fault of its own would send them. Each report has
// the member's name and a later incarnation, so that it replaces what the member itself published.
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

// falseReport returns a member's report as the membership engine sends it: the cluster label, then a user message.
func (r *fleetRun) falseReport(member string, sequence signals.Incarnation) ([]byte, error) {
	const labelMessageType, userMessageType = 244, 8 // message types of memberlist's wire format
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
	message := append([]byte{labelMessageType, byte(len(label))}, label...)
	return append(append(message, userMessageType), encoded...), nil
}

// firstSawMember returns when in [from, to) a process first saw a member in a state, and whether it did.
func (p *process) firstSawMember(member, status string, from, to time.Duration) (at time.Duration, seen bool) {
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

// wasInterrupted reports whether a process did not run at some time in [from, to). A starved process counts as running.
func (p *process) wasInterrupted(from, to time.Duration) bool {
	for _, span := range p.spans {
		if span.From < to && (span.To == 0 || span.To > from) && span.What != string(starved) {
			return true
		}
	}
	return false
}

// checkMembers checks how the balancers that ran during the whole period saw the members.
func (c *check) checkMembers() {
	compared := 0
	for _, name := range c.balancers {
		b, ok := balancerOf(name)
		if !ok || int(b) >= len(c.run.processes) {
			c.observe(name+" is no balancer", false)
			continue
		}
		compared += c.checkViews(c.run.processes[b])
	}
	if compared == 0 {
		c.observe("nobody was there to see it", false)
	}
	if c.kind == requireKeeps && c.verdict.Holds {
		c.verdict.Seen = "nobody did"
	}
}

// checkViews checks how one balancer saw the other members and returns the number of members checked, which is 0 if the balancer did not run
// during the whole period.
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
			at, seen := p.firstSawMember(member, string(membership.Gone), c.from, end)
			c.observe(fmt.Sprintf("%s saw %s gone at %v", p.name, member, at.Round(time.Millisecond)), !seen)
			continue
		}
		at, seen := p.firstSawMember(member, c.status, c.from, end)
		c.observe(fmt.Sprintf("%s saw %s so after %v", p.name, member, (at-c.from).Round(time.Millisecond)), seen)
	}
	return compared
}
