package simulation

import (
	"fmt"
	"math"
	"time"
)

// Kind is one way in which a day goes wrong.
type Kind string

// Kinds of trouble.
const (
	Slow          Kind = "slow"           // a share of servers is Strength times slower
	Errors        Kind = "errors"         // a share of servers fails Strength of its set-ups fast
	Vanish        Kind = "vanish"         // a share of servers goes silent and comes back cold
	Crash         Kind = "crash"          // a share of servers dies, to come back cold at the end
	Deploy        Kind = "deploy"         // a share of servers is replaced, Strength of the fleet at a time, draining for Extra
	Grow          Kind = "grow"           // the fleet becomes Strength times as large, cold
	StoreSlow     Kind = "store_slow"     // the session store is Strength times slower
	Reconnect     Kind = "reconnect"      // a share of clients drops and comes again within Length
	Burst         Kind = "burst"          // arrivals are Strength times as many
	Neighbour     Kind = "neighbour"      // on a share of servers another program takes Strength, Extra on and Extra off
	ListDark      Kind = "list_dark"      // the server list tells nothing
	ListStale     Kind = "list_stale"     // it tells Extra later than usual
	BalancerCrash Kind = "balancer_crash" // a share of balancers dies and comes back at the end
	BalancerRoll  Kind = "balancer_roll"  // a share of balancers is restarted in order, Strength of all at a time, Extra down
	HallLost      Kind = "hall_lost"      // all servers and balancers of a hall go silent; back, and cold, at the end
	CutOff        Kind = "cut"            // nothing gets from Hall to the others; both ways where Strength is not below 1
	Overload      Kind = "overload"       // the load is Strength times as large, standing connections too
)

// Kinds are all there are.
var Kinds = []Kind{Slow, Errors, Vanish, Crash, Deploy, Grow, StoreSlow, Reconnect, Burst, Neighbour, ListDark, ListStale,
	BalancerCrash, BalancerRoll, HallLost, CutOff, Overload}

// AnyHall stands for a trouble that keeps to no hall.
const AnyHall HallID = -1

// Trouble is one entry of a day's timeline; any may overlap.
type Trouble struct {
	Kind          Kind
	Start, Length time.Duration
	Share         float64
	Strength      float64
	Extra         time.Duration
	Hall          HallID
}

// End is when it is over.
func (t Trouble) End() time.Duration { return t.Start + t.Length }

func (t Trouble) String() string {
	return fmt.Sprintf("%s from %v for %v", t.Kind, t.Start.Round(100*time.Millisecond), t.Length.Round(100*time.Millisecond))
}

// Rate is by how much a timeline changes the rate of arrivals at a time; the source of load asks for it.
func Rate(troubles []Trouble, at time.Duration) (times float64) {
	times = 1
	for _, t := range troubles {
		if (t.Kind == Burst || t.Kind == Overload) && at >= t.Start && at < t.End() {
			times *= t.Strength
		}
	}
	return times
}

// StartTroubles puts a timeline on the agenda.
func (w *World) StartTroubles(troubles []Trouble) {
	for i, t := range troubles {
		w.Agenda.At(t.Start, Cause, func() { w.begin(t, i) })
	}
}

// some draws a share of servers, one at the least, of a hall or of all that serve.
func (w *World) some(t Trouble, i int) (hit []*Server) {
	var all []*Server
	for _, s := range w.Servers {
		if s.phase == Serving && (t.Hall == AnyHall || s.Hall == t.Hall) {
			all = append(all, s)
		}
	}
	n := min(len(all), max(1, int(math.Round(t.Share*float64(len(all))))))
	r := Chance(w.Seed, "trouble "+string(t.Kind), i)
	for _, k := range r.Perm(len(all))[:n] {
		hit = append(hit, all[k])
	}
	return hit
}

// on changes something about servers now and changes it back at the end of the trouble.
func (w *World) on(hit []*Server, t Trouble, change, back func(*Server)) {
	for _, s := range hit {
		s.settle()
		change(s)
		s.changed()
	}
	w.Agenda.At(t.End(), Cause, func() {
		for _, s := range hit {
			s.settle()
			back(s)
			s.changed()
		}
	})
}

// begin is the one place where troubles start and have their end noted.
func (w *World) begin(t Trouble, i int) {
	end := func(do func()) { w.Agenda.At(t.End(), Cause, do) }
	switch t.Kind {
	case Slow:
		w.on(w.some(t, i), t, func(s *Server) { s.slow *= t.Strength }, func(s *Server) { s.slow /= t.Strength })
	case Errors:
		w.on(w.some(t, i), t, func(s *Server) { s.errors = t.Strength }, func(s *Server) { s.errors = 0 })
	case Vanish, Crash:
		to := Down
		if t.Kind == Vanish {
			to = Silent
		}
		hit := w.some(t, i)
		w.down(hit, to)
		end(func() { w.up(hit) })
	case Deploy:
		w.deploy(w.some(t, i), t)
	case Grow:
		w.grow(t, i)
	case StoreSlow:
		if w.Store != nil {
			w.slowStore(t.Strength)
			end(func() { w.slowStore(1 / t.Strength) })
		}
	case Reconnect:
		w.dropClients(t, i)
	case Neighbour:
		hit := w.some(t, i)
		on := false
		var swap func()
		swap = func() {
			on = !on && w.Agenda.now < t.End()
			for _, s := range hit {
				s.settle()
				s.taken = t.Strength * b2f(on)
				s.changed()
			}
			if w.Agenda.now < t.End() {
				w.Agenda.At(min(w.Agenda.now+max(t.Extra, 100*time.Millisecond), t.End()), Cause, swap)
			}
		}
		swap()
	case ListDark:
		w.List.dark++
		end(func() {
			if w.List.dark--; w.List.dark == 0 {
				w.List.catchUp()
			}
		})
	case ListStale:
		w.List.late += t.Extra
		end(func() { w.List.late -= t.Extra })
	case BalancerCrash:
		hit := w.someBalancers(t, i)
		w.kill(hit)
		end(func() { w.revive(hit) })
	case BalancerRoll:
		w.roll(w.someBalancers(t, i), t)
	case HallLost:
		var hit []*Server
		var balancers []*Balancer
		for _, s := range w.Servers {
			if s.Hall == t.Hall && s.Alive() {
				hit = append(hit, s)
			}
		}
		for _, b := range w.Balancers {
			if b.Hall == t.Hall && b.Up {
				balancers = append(balancers, b)
			}
		}
		w.down(hit, Silent)
		w.kill(balancers)
		end(func() { w.up(hit); w.revive(balancers) })
	case CutOff:
		for h := range w.Halls {
			if HallID(h) != t.Hall {
				w.cut(t.Hall, HallID(h), t.Strength >= 1, 1)
			}
		}
		end(func() {
			for h := range w.Halls {
				if HallID(h) != t.Hall {
					w.cut(t.Hall, HallID(h), t.Strength >= 1, -1)
				}
			}
		})
	}
}

func (w *World) cut(from, to HallID, both bool, by int) {
	for _, s := range w.Servers {
		s.settle()
	}
	w.Net.block(from, to, by)
	if both {
		w.Net.block(to, from, by)
	}
	for _, s := range w.Servers {
		w.Carrier.Changed(s.ID)
	}
}

func (w *World) down(hit []*Server, to Phase) {
	for _, s := range hit {
		if !s.Alive() {
			continue
		}
		s.die(to)
		if to == Silent {
			w.List.noticed(s, w.List.silent())
		} else {
			w.List.noticed(s, w.List.notice())
		}
	}
}

func (w *World) up(hit []*Server) {
	for _, s := range hit {
		if s.phase == Down || s.phase == Silent {
			s.boot()
			w.List.noticed(s, w.List.added())
		}
	}
}

func (w *World) deploy(hit []*Server, t Trouble) {
	batch := max(1, int(math.Round(t.Strength*float64(len(w.Servers)))))
	batches := (len(hit) + batch - 1) / batch
	for n := range batches {
		part := hit[n*batch : min((n+1)*batch, len(hit))]
		w.Agenda.At(t.Start+t.Length*time.Duration(n)/time.Duration(batches), Cause, func() {
			for _, s := range part {
				s.drainFor(t.Extra, w.drainKind, func() {
					w.List.noticed(s, w.List.notice())
					w.Agenda.After(500*time.Millisecond, Cause, func() { w.up([]*Server{s}) })
				})
				w.List.noticed(s, w.List.notice())
			}
		})
	}
}

func (w *World) grow(t Trouble, i int) {
	old := len(w.Servers)
	more := max(1, int(math.Round(float64(old)*(t.Strength-1))))
	r := Chance(w.Seed, "grow", i)
	for n := range more {
		like := w.Servers[r.IntN(old)]
		w.Agenda.At(t.Start+t.Length*time.Duration(n)/time.Duration(more), Cause, func() {
			s := w.AddServer(like.Hall, like.Cell, like.Cores, like.Speed, like.Size, like.Cap, like.setups.room, like.Buffer,
				like.GroupLoad, like.coldFrom, like.warmTime, like.warmByWork, true)
			// It is on the list only after a while: what AddServer booked counts as not yet seen.
			w.List.entries[s.ID].State = Gone
			w.List.noticed(s, w.List.added())
			w.Carrier.Changed(s.ID)
		})
	}
}

func (w *World) slowStore(times float64) {
	w.storeSlow *= times
	w.Store.Pace(w.storeRate / w.storeSlow)
}

// dropClients has a share of those that stand lose their connection and come again over the length of the trouble.
func (w *World) dropClients(t Trouble, i int) {
	r := Chance(w.Seed, "reconnect", i)
	for _, c := range append([]*Client(nil), w.clients...) {
		// Drawn for each that is present, so that what a policy made of the day before shifts nobody's draw.
		if x, in := r.Float64(), BetweenTimes(r, 0, t.Length); x < t.Share && c.state == Held {
			w.Carrier.Leave(c.drop())
			c.turn(Pausing)
			c.Retried++
			c.later(max(in, time.Millisecond), c.ask)
		}
	}
}

func (w *World) someBalancers(t Trouble, i int) (hit []*Balancer) {
	n := min(len(w.Balancers), max(1, int(math.Round(t.Share*float64(len(w.Balancers))))))
	for _, k := range Chance(w.Seed, string(t.Kind), i).Perm(len(w.Balancers))[:n] {
		if b := w.Balancers[k]; t.Hall == AnyHall || b.Hall == t.Hall {
			hit = append(hit, b)
		}
	}
	return hit
}

// kill ends balancers outright; the front notices late.
func (w *World) kill(hit []*Balancer) {
	for _, b := range hit {
		if !b.Up {
			continue
		}
		b.Up = false
		w.Carrier.Kill(b.ID)
		w.Agenda.After(BetweenTimes(w.wide, w.noticeMin, w.noticeMax), News, func() { w.believe(b, b.Up) })
	}
}

func (w *World) revive(hit []*Balancer) {
	for _, b := range hit {
		if b.Up {
			continue
		}
		b.Up = true
		w.Carrier.Start(b.ID)
		w.List.restart(b.ID)
		w.Agenda.After(100*time.Millisecond, News, func() { w.believe(b, b.Up) })
	}
}

// roll restarts balancers in order: each is asked to stop, gets nothing new soon after, and comes back.
func (w *World) roll(hit []*Balancer, t Trouble) {
	batch := max(1, int(math.Round(t.Strength*float64(len(w.Balancers)))))
	batches := (len(hit) + batch - 1) / batch
	for n := range batches {
		part := hit[n*batch : min((n+1)*batch, len(hit))]
		w.Agenda.At(t.Start+t.Length*time.Duration(n)/time.Duration(batches), Cause, func() {
			for _, b := range part {
				if !b.Up {
					continue
				}
				w.Carrier.Stop(b.ID)
				w.Agenda.After(300*time.Millisecond, Cause, func() { w.believe(b, false) })
				w.Agenda.After(w.StopWithin(), Cause, func() { w.kill([]*Balancer{b}) })
				w.Agenda.After(w.StopWithin()+t.Extra, Cause, func() { w.revive([]*Balancer{b}) })
			}
		})
	}
}

// StopWithin is the time from the signal to the end of the process at a planned restart: the longest that a client
// waits, three seconds at most, and a little.
func (w *World) StopWithin() time.Duration {
	longest := time.Duration(0)
	for _, s := range w.Services {
		longest = max(longest, s.Timeout)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// Struck tells which servers a timeline leaves in trouble now, for those who draw it.
func (s *Server) Struck() bool { return s.slow > 1 || s.taken > 0 || s.errors > 0 || !s.Alive() }
