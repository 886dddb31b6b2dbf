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
	askEvery  = 100 * time.Millisecond
	seedsTold = 3
	floodBeat = 10 * time.Millisecond
	lieBeat   = 500 * time.Millisecond
)

// view is how a process saw the others from a time on.
type view struct {
	at   time.Duration
	sees map[string]string
}

// address finds a process where it speaks, and opens what it tells the others. Both are loopback addresses of its own: 127.79 and 127.80.
func (r *run) address(x *process) error {
	at := func(net int) string { return fmt.Sprintf("127.%d.%d.%d", net, int(x.id)/250, int(x.id)%250+1) }
	bound, err := freeaddr.UDP(r.ctx, at(79))
	if err != nil {
		return err
	}
	x.bound = bound
	x.told, err = r.post.Add(netfault.Endpoint(x.name), netip.MustParseAddr(at(80)), x.bound)
	return err
}

func (x *process) socket() string { return filepath.Join(x.folder, "ask.sock") }

// options writes a process's operators' file and gives its path; empty where nothing is on. An earlier build knows nothing of it.
func (r *run) options(x *process) (string, error) {
	if r.post == nil || x.program == "old" {
		return "", nil
	}
	var seeds []string
	for _, o := range r.procs[:min(seedsTold, len(r.procs))] {
		if o != x {
			seeds = append(seeds, fmt.Sprintf("%q", o.told))
		}
	}
	text := fmt.Sprintf("[peers]\nname = %q\nlabel = %q\nbind = %q\nadvertise = %q\nseeds = [%s]\n[signals]\non = %v\n[duties]\non = %v\n[explain]\nsocket = %q\n",
		x.name, r.label(), x.bound, x.told, strings.Join(seeds, ", "), r.p.signals, r.p.duties, x.socket())
	path := filepath.Join(r.folder, fmt.Sprintf("options-%d.toml", x.id))
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// watchMembers asks a process again and again whom it sees.
func (r *run) watchMembers(ctx context.Context, x *process) {
	beat := time.NewTicker(askEvery)
	defer beat.Stop()
	for {
		var v daemon.MembersView
		err := explain.Ask(x.socket(), "members", &v)
		r.driver.Do(func() {
			if err != nil || x.state != runs && x.state != starved {
				return // it can't be asked now: what it saw last is no news
			}
			sees := map[string]string{}
			for _, m := range v.Members {
				sees[string(m.Name)] = string(m.State)
			}
			if n := len(x.views); n == 0 || !maps.Equal(x.views[n-1].sees, sees) {
				x.views = append(x.views, view{r.driver.Elapsed(), sees})
			}
		})
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
	}
}

// flood sends what nobody can read, as if members did.
func (r *run) flood(f fault, who, as []string, length time.Duration) {
	chance := simulation.RandomSource(r.seed, "flood", 0)
	end := r.driver.Elapsed() + length
	each := max(1, int(float64(f.rate)*floodBeat.Seconds()))
	var beat func()
	beat = func() {
		for range each {
			m := make([]byte, 1+chance.IntN(1400))
			for i := range m {
				m[i] = byte(chance.Uint32())
			}
			r.post.Inject(netfault.Endpoint(as[chance.IntN(len(as))]), netfault.Endpoint(who[chance.IntN(len(who))]), m)
		}
		if r.driver.Elapsed()+floodBeat < end {
			r.w.Schedule.After(floodBeat, simulation.Cause, beat)
		}
	}
	beat()
}

// lie has members tell that every server is late, as a member whose own machine is ill would: in the engine's form, a label and a
// user's message, under the member's own name and as of a later start, so that it takes the place of what the member itself told.
func (r *run) lie(who, as []string, length time.Duration) {
	const labelMark, userMark = 244, 8 // memberlist's, of its published wire
	label := r.label()
	end := r.driver.Elapsed() + length
	sequence := signals.Sequence(0)
	var beat func()
	beat = func() {
		sequence++
		for _, name := range as {
			rec := signals.Record{Origin: signals.Origin(name), Incarnation: 1<<50 + signals.Incarnation(sequence), Sequence: 1}
			for i := range r.w.Servers {
				rec.Reports = append(rec.Reports, signals.Report{Server: routing.ServerID(serverName(i)), Fault: signals.Late, Connections: 1000})
			}
			b, err := signals.Encode(rec)
			if err != nil {
				r.unfit = append(r.unfit, err.Error())
				return
			}
			m := append(append([]byte{labelMark, byte(len(label))}, label...), append([]byte{userMark}, b...)...)
			for _, w := range who {
				r.post.Inject(netfault.Endpoint(name), netfault.Endpoint(w), m)
			}
		}
		if r.driver.Elapsed()+lieBeat < end {
			r.w.Schedule.After(lieBeat, simulation.Cause, beat)
		}
	}
	beat()
}

func (r *run) label() string { return fmt.Sprintf("fleet-%d", r.seed) }

// saw tells when a process first saw another in a state after a time, and whether it ever did in [from, to).
func (x *process) saw(whom, status string, from, to time.Duration) (at time.Duration, ever bool) {
	for i, v := range x.views {
		until := to
		if i+1 < len(x.views) {
			until = x.views[i+1].at
		}
		if until > from && v.at < to && v.sees[whom] == status {
			return max(v.at, from), true
		}
	}
	return to, false
}

// judgeMembers tells whether members were seen as they must be. Whoever was not running all the time is not asked.
func (r *run) judgeMembers(m must, who, whom []string, from, to time.Duration, worst func(string, bool)) {
	asked := 0
	for _, w := range who {
		b, ok := balancerOf(w)
		if !ok || int(b) >= len(r.procs) {
			worst(w+" is no balancer", false)
			continue
		}
		x := r.procs[b]
		end := to
		if m.kind == sees {
			end = min(to, from+m.within)
		}
		if x.awayWithin(from, end) {
			continue
		}
		for _, o := range whom {
			if o == w {
				continue
			}
			asked++
			if m.kind == keeps {
				at, ever := x.saw(o, string(membership.Gone), from, end)
				worst(fmt.Sprintf("%s saw %s gone at %v", w, o, at.Round(time.Millisecond)), !ever)
				continue
			}
			at, ever := x.saw(o, m.status, from, end)
			worst(fmt.Sprintf("%s saw %s so after %v", w, o, (at-from).Round(time.Millisecond)), ever)
		}
	}
	if asked == 0 {
		worst("nobody was there to see it", false)
	}
}

// awayWithin tells whether a process did not run for some of a time.
func (x *process) awayWithin(from, to time.Duration) bool {
	for _, s := range x.spans {
		if s.From < to && (s.To == 0 || s.To > from) && s.What != string(starved) {
			return true
		}
	}
	return false
}
