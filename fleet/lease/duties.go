// Package lease says who does for all what one can do for all: which balancer probes which server. It does no I/O and has no clock.
// Nobody grants anything: each reckons from the members that it sees who is first in line, and what the holder tells of its work is its
// lease. Views may differ, so two may hold a duty for a while; that costs double work and nothing else, and the epoch settles it.
package lease

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

type (
	// Holder names a balancer.
	Holder string
	// Task is what one balancer does for all: the health checks of one server.
	Task uint32
	// Epoch counts the changes of a task's lease holder.
	Epoch uint64
)

// Member is one balancer as it is seen.
type Member struct {
	Name   Holder
	Weight float64       // of its part of all duties; nought or less, or infinite: as 1
	Since  time.Duration // for how long it has been seen alive
}

const (
	settleFor = 3 * time.Second // a member that came just now is not counted on yet
	inLine    = 3               // who stand in for the first, one lease after the other; views are mended sooner than they are used up
)

// state names where a duty stands here.
type state int

const (
	others  state = iota // somebody else's, as far as is known
	stands               // this one is in line, and would be next
	holds                // this one does it
	unsure               // this one stood still: another may hold it by now
	unnamed              // nobody has been in line yet
)

func (s state) String() string {
	return [...]string{"another's", "next in line", "held", "unsure", "nobody's"}[s]
}

type duty struct {
	state state
	epoch Epoch  // the highest heard of, or held in
	by    Holder // who told it
	heard time.Duration
	rank  int // of this balancer; above inLine: not in line
	first Holder
}

// Manager is what one balancer does for all.
type Manager struct {
	own     Holder
	lease   time.Duration
	members []Member
	duties  map[Task]*duty
	round   int // counts views, so that lines are reckoned anew when one changes
	ranked  map[Task]int
}

// New makes them for one balancer. Who has told nothing of a duty for a lease has lost it to the next in line.
func New(own Holder, lease time.Duration) *Manager {
	return &Manager{own: own, lease: lease, duties: map[Task]*duty{}, ranked: map[Task]int{}, members: []Member{{own, 1, settleFor}}}
}

// SetMembers is who is seen alive now; this balancer is always among them.
func (d *Manager) SetMembers(list []Member) {
	var in []Member
	self := false
	for _, m := range list {
		if !(m.Weight > 0) || math.IsInf(m.Weight, 1) {
			m.Weight = 1
		}
		if m.Name == d.own {
			self, m.Since = true, settleFor
		}
		if m.Since >= settleFor {
			in = append(in, m)
		}
	}
	if !self {
		in = append(in, Member{d.own, 1, settleFor})
	}
	slices.SortFunc(in, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	in = slices.CompactFunc(in, func(a, b Member) bool { return a.Name == b.Name })
	same := slices.EqualFunc(in, d.members, func(a, b Member) bool { return a.Name == b.Name && a.Weight == b.Weight })
	if d.members = in; !same {
		d.round++
	}
}

// score is weighted rendezvous hashing: of all members the highest has the duty, and when a member comes or goes only its own change.
func score(m Member, k Task) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(k >> 24), byte(k >> 16), byte(k >> 8), byte(k)}) // a hash takes all
	_, _ = h.Write([]byte(m.Name))
	x := h.Sum64()
	x ^= x >> 33 // FNV's high bits differ little between names that end alike: splitmix's finish
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return -m.Weight / math.Log((float64(x>>11)+0.5)/(1<<53))
}

// line reckons this balancer's place in line for a duty.
func (d *Manager) line(k Task, x *duty) {
	if d.ranked[k] == d.round+1 {
		return
	}
	d.ranked[k] = d.round + 1
	x.rank = 0
	own, best := 0.0, -1.0
	for _, m := range d.members {
		if m.Name == d.own {
			own = score(m, k)
		}
	}
	for _, m := range d.members {
		s := score(m, k)
		if s > own {
			x.rank++
		}
		if s > best {
			best, x.first = s, m.Name
		}
	}
}

func (d *Manager) duty(k Task, now time.Duration) *duty {
	x := d.duties[k]
	if x == nil {
		x = &duty{state: unnamed, heard: now}
		d.duties[k] = x
	}
	d.line(k, x)
	return x
}

// turn makes every change of a duty's state.
func (d *Manager) turn(x *duty, to state) {
	if to == holds && x.state != holds {
		x.epoch, x.by = x.epoch+1, d.own
	}
	x.state = to
}

// Holds tells whether this balancer is to do a duty now. It is asked last, just before acting.
func (d *Manager) Holds(k Task, now time.Duration) bool {
	x := d.duty(k, now)
	quiet := now - x.heard
	switch {
	case x.state == unsure && quiet <= d.lease:
		// It waits for a lease: whoever has it by now tells so meanwhile.
	case x.rank == 0:
		d.turn(x, holds) // a higher epoch that is heard of later ends it, and it takes the next one
	case x.rank <= inLine && quiet > d.lease*time.Duration(x.rank):
		d.turn(x, holds)
	case x.state == holds && quiet <= d.lease && x.by == d.own:
		// It stood in, and goes on until the first in line is heard.
	case x.rank <= inLine:
		d.turn(x, stands)
	default:
		d.turn(x, others)
	}
	return x.state == holds
}

// Renew records that this balancer has done its duty, and gives the epoch to tell with what came of it.
func (d *Manager) Renew(k Task, now time.Duration) Epoch {
	x := d.duty(k, now)
	if x.by == d.own {
		x.heard = now
	}
	return x.epoch
}

// Observe records that another balancer did a duty, so long ago, in an epoch.
func (d *Manager) Observe(k Task, e Epoch, by Holder, age, now time.Duration) {
	if by == d.own || age > d.lease {
		return
	}
	x := d.duty(k, now)
	if e < x.epoch {
		return // one that does not know yet that it was given up
	}
	// Of two in one epoch the first in line goes on; a higher epoch ends any.
	if x.state == holds && e == x.epoch && x.by == d.own && x.rank == 0 {
		return
	}
	x.epoch, x.by, x.heard = e, by, max(x.heard, now-age)
	switch {
	case x.rank == 0:
		d.turn(x, others) // asked again, it takes the next epoch
	case x.rank <= inLine:
		d.turn(x, stands)
	default:
		d.turn(x, others)
	}
}

// OnSuspended says that this balancer stood still. What it held may be another's; it waits for a lease before it acts on any.
func (d *Manager) OnSuspended(now time.Duration) {
	for _, x := range d.duties {
		d.turn(x, unsure)
		x.heard = now
	}
}

// Remove drops a duty that there is no more.
func (d *Manager) Remove(k Task) {
	delete(d.duties, k)
	delete(d.ranked, k)
}

// Status is a duty as it stands here, for whoever asks.
type Status struct {
	Task      Task   `json:"server"`
	State     string `json:"is"`
	Epoch     Epoch  `json:"epoch"`
	Holder    Holder `json:"by,omitempty"`
	Preferred Holder `json:"first_in_line"`
}

// Statuses is every duty, in order.
func (d *Manager) Statuses() (list []Status) {
	for k, x := range d.duties {
		list = append(list, Status{k, x.state.String(), x.epoch, x.by, x.first})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Task, b.Task) })
	return list
}
