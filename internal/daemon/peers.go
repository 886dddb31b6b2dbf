package daemon

import (
	"context"
	"errors"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"yardwinch/decide"
	"yardwinch/fleet/lease"
	"yardwinch/fleet/signals"
	"yardwinch/internal/config"
	"yardwinch/internal/membership"
	"yardwinch/internal/routing"
)

const (
	publishInterval  = 250 * time.Millisecond
	fullStateEach    = 8               // of those, all that is known is written anew for members that ask
	leaseFor         = 6 * time.Second // of a duty: three records of a small fleet
	peersDescriptors = 8               // descriptors: two that listen, and streams now and then
)

// peers carries what the signals decider tells to the other balancers, and what they tell to it.
type peers struct {
	group   *membership.Group
	signals *signals.Exchange // under the router's lock
	router  *routing.Router
	duties  *lease.Manager // the same; nil: each probes for itself
	name    string
}

// newPeers makes it where the operators' file names peers; nothing is opened before run.
func newPeers(o *config.Options, r *routing.Router) *peers {
	own := o.Peers()
	if own == nil {
		return nil
	}
	p := &peers{signals: o.Signals(), router: r, name: own.Name}
	if own.Leases {
		p.duties = lease.New(lease.Holder(own.Name), leaseFor)
		p.signals.ShareLoads(func(s decide.ServerID, now time.Duration) uint64 { return uint64(p.duties.Renew(lease.Task(s), now)) })
		r.SetHealthCheckFilter(func(s decide.ServerID, now time.Duration) bool { return p.duties.Holds(lease.Task(s), now) })
	}
	p.group = membership.New(own.Engine, membership.Instance{Name: membership.Name(own.Name), Label: own.Label, Bind: own.Bind, Advertise: own.Advertise, Seeds: own.Seeds}, p)
	return p
}

func (p *peers) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.group.Run(ctx)
	}()
	t := time.NewTicker(publishInterval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			<-done
			return
		case <-t.C:
			p.publish()
			if n%fullStateEach == 0 {
				p.fullState()
			}
		}
	}
}

// publish sends this balancer's record where one is due.
func (p *peers) publish() {
	fleet := p.group.AliveCount()
	var r signals.Record
	var due bool
	seen := p.group.Members()
	var in []lease.Member
	var reporters []signals.Origin
	for _, s := range seen {
		if s.State == membership.Alive {
			in = append(in, lease.Member{Name: lease.Holder(s.Name), Weight: 1, Since: s.Since})
			reporters = append(reporters, signals.Origin(s.Name))
		}
	}
	p.router.WithLock(func() {
		p.signals.SetReporters(reporters)
		if p.duties != nil {
			p.duties.SetMembers(in)
		}
		r, due = p.signals.Publish(fleet)
	})
	if !due {
		return
	}
	b, err := signals.Encode(r)
	if err != nil {
		p.group.CountDropped("what is told here can't be written", err.Error())
		return
	}
	p.group.Publish(string(r.Origin), b)
}

// OnMessage takes what a member says; what is news is passed on, as gossip is.
func (p *peers) OnMessage(b []byte) {
	if origin, news := p.take(b); news {
		p.group.Publish(string(origin), b)
	}
}

func (p *peers) take(b []byte) (origin signals.Origin, news bool) {
	r, err := signals.Decode(b)
	if err != nil {
		kind := "garbled"
		for _, k := range []error{signals.ErrVersion, signals.ErrKind} {
			if errors.Is(err, k) {
				kind = k.Error()
			}
		}
		p.group.CountDropped(kind, err.Error())
		return "", false
	}
	p.router.WithLock(func() {
		if news = p.signals.Merge(r); news && p.duties != nil {
			p.loads(r)
		}
	})
	return r.Origin, news
}

// loads takes what servers told another that probes for all. The router is locked.
func (p *peers) loads(r signals.Record) {
	now := p.router.Now()
	p.signals.Relay(func() {
		for _, l := range r.LoadReports {
			p.duties.Observe(lease.Task(l.Server), lease.Epoch(l.Epoch), lease.Holder(r.Origin), l.Age, now)
			if l.Age < leaseFor {
				p.router.OnLoadReport(l.Server, l.Load)
			}
		}
	})
}

// fullState renews what members that ask are sent.
func (p *peers) fullState() {
	var all []signals.Record
	p.router.WithLock(func() {
		all = p.signals.FullState()
	})
	var messages [][]byte
	for _, r := range all {
		if b, err := signals.Encode(r); err == nil {
			messages = append(messages, b)
		}
	}
	b, err := signals.EncodeAll(messages)
	if err != nil {
		p.group.CountDropped("what is known here can't be written", err.Error())
		return
	}
	p.group.SetFullState(b)
}

// OnRemoteState takes all that a member knows. It is not passed on: each member asks another for itself.
func (p *peers) OnRemoteState(b []byte) {
	messages, err := signals.DecodeAll(b)
	if err != nil {
		p.group.CountDropped("garbled", err.Error())
		return
	}
	for _, m := range messages {
		p.take(m)
	}
}

// OnSuspended: this process stood still.
func (p *peers) OnSuspended(time.Duration) {
	p.router.WithLock(func() {
		p.signals.OnSuspended()
		if p.duties != nil {
			p.duties.OnSuspended(p.router.Now())
		}
	})
}

// MemberView is what one balancer says of another, for whoever asks.
type MemberView struct {
	membership.Member
	Build         string  `json:"build,omitempty"`
	Settings      string  `json:"settings,omitempty"`
	Incarnation   uint64  `json:"incarnation,omitempty"`
	LastHeard     float64 `json:"told_s_ago"` // below 0: it has told nothing
	Rate          float64 `json:"flows_a_second"`
	FaultyServers int     `json:"servers_in_trouble"`
}

// MembersView is all that is told of members.
type MembersView struct {
	Name    string         `json:"name"`
	Members []MemberView   `json:"members"`
	Leases  []lease.Status `json:"duties,omitempty"`
	Dropped map[string]int `json:"passed_over,omitempty"` // by kind
}

// asked is what answers who asks for the members; nil where there are none.
func (p *peers) asked() func() any {
	if p == nil {
		return nil
	}
	return func() any {
		var records []signals.Record
		var ages []time.Duration
		var own signals.Record
		var held []lease.Status
		p.router.WithLock(func() {
			if p.duties != nil {
				held = p.duties.Statuses()
			}
			records, ages = p.signals.Records()
			own = p.signals.OwnRecord()
		})
		by := map[string]int{}
		for i, r := range records {
			by[string(r.Origin)] = i
		}
		v := MembersView{Name: p.name, Leases: held, Dropped: p.group.Dropped()}
		for _, s := range p.group.Members() {
			m := MemberView{Member: s, LastHeard: -1}
			i, known := by[string(s.Name)]
			r := own
			if known {
				r, m.LastHeard = records[i], ages[i].Seconds()
			} else if string(s.Name) == p.name {
				m.LastHeard = 0
			}
			if m.LastHeard >= 0 {
				m.Build, m.Settings, m.Incarnation, m.Rate = r.Build, r.Settings, uint64(r.Incarnation), r.Rate
				for _, x := range r.Reports {
					if x.Fault != signals.Healthy {
						m.FaultyServers++
					}
				}
			}
			v.Members = append(v.Members, m)
		}
		return v
	}
}

// revision is the build that runs.
func revision() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		rev, dirty := "", ""
		for _, s := range b.Settings {
			switch {
			case s.Key == "vcs.revision":
				rev = s.Value[:min(len(s.Value), 12)]
			case s.Key == "vcs.modified" && s.Value == "true":
				dirty = "+"
			}
		}
		if rev != "" {
			return rev + dirty
		}
	}
	return "unknown"
}

// digest names what a process was told, so that unlike ones can be seen; what each has of its own is left out.
func digest(g config.Values, shared string) string {
	d := xxhash.New()
	g.Each(func(key, value string) {
		if key != "ordinal" && key != "az" {
			_, _ = d.WriteString(key + "=" + value + "\n") // a hash takes all
		}
	})
	_, _ = d.WriteString(shared)
	return strconv.FormatUint(d.Sum64(), 16)
}
