package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// Phase is where a server stands.
type Phase int

// Phases of a server.
const (
	Serving Phase = iota
	Leaving       // drains
	Down          // no process: connections are refused
	Silent        // cut off or stalled: nothing comes back
	Fallen        // pushed over while cold, and down for good
)

func (p Phase) String() string {
	return [...]string{"serving", "leaving", "down", "silent", "fallen"}[p]
}

// slot sums the value a second of connections that are counted alike.
type slot struct {
	service  ServiceID
	customer CustomerID
	from     HallID
	home     HallID
	beyond   bool
}

// Server is one real server. Standing connections ask for work all the time and share the cores with set-ups; what
// can't be done piles up, and messages then wait behind it.
type Server struct {
	w           *World
	ID          ServerID
	Hall        HallID
	Cell        CellID
	Cores       int
	Speed       float64
	Cap         int           // connections
	Buffer      time.Duration // of messages; connections are dropped beyond it
	GroupLoad   float64
	Size        float64 // as the list tells it
	coldFrom    float64
	warmTime    time.Duration
	warmByWork  float64 // the part of warming that comes with work done
	phase       Phase
	since       time.Duration
	worked      float64 // since the start, over what fills the warm-up
	life        int
	slow        float64 // times slower
	taken       float64 // part taken by a neighbour
	errors      float64 // share of set-ups that fail fast
	conns       []*conn
	held        map[ConnID]*conn
	groups      map[GroupID]int
	demand      float64
	setups      *Queue
	backlog     float64 // core seconds of speed 1
	settled     time.Duration
	slots       map[slot]float64
	order       []slot
	chance      *rand.Rand
	pushed      []push // onto a cold server, over the last window
	pushedLoad  float64
	drain       Drain
	standingNow int
	told        bool // of lateness, so that its end is told too
	Share       float64
}

// Phase is the one in which the server is.
func (s *Server) Phase() Phase { return s.phase }

// Since is when it started.
func (s *Server) Since() time.Duration { return s.since }

// Standing is how many connections stand on it.
func (s *Server) Standing() int { return s.standingNow }

// Held is how many it has, those that are being set up too.
func (s *Server) Held() int { return len(s.conns) }

// Alive tells whether it serves, be it that it drains.
func (s *Server) Alive() bool { return s.phase == Serving || s.phase == Leaving }

// Warmth is the part of its capacity that a server has by now.
func (s *Server) Warmth() float64 {
	if s.since == LongAgo || s.warmTime == 0 {
		return 1
	}
	t := math.Min(1, (s.w.Agenda.now-s.since).Seconds()/s.warmTime.Seconds())
	did := (1-s.warmByWork)*t + s.warmByWork*math.Min(s.worked, math.Min(1, 2*t))
	return s.coldFrom + (1-s.coldFrom)*math.Min(1, math.Max(did, t*t))
}

// Full is the work a second that it does when warm and in no trouble.
func (s *Server) Full() float64 { return float64(s.Cores) * s.Speed }

// Can is the work a second that it does now.
func (s *Server) Can() float64 {
	if !s.Alive() {
		return 0
	}
	return s.Full() * s.Warmth() * (1 - s.taken) / s.slow
}

// Demand is the work a second that standing connections ask for.
func (s *Server) Demand() float64 { return s.demand }

// Delay is how long a message takes now.
func (s *Server) Delay() time.Duration {
	can := s.Can()
	if can <= 0 {
		return time.Hour
	}
	free := math.Max(1-s.demand/can, 0.005)
	d := s.backlog/can + s.w.message/(s.Speed*free)
	return time.Duration(math.Min(d, 60) * float64(time.Second))
}

// inTime is the share of messages done within a time, with so much piled up.
func (s *Server) inTime(backlog float64, within time.Duration) float64 {
	can := s.Can()
	if can <= 0 {
		return 0
	}
	left := within.Seconds() - backlog/can
	free := 1 - s.demand/can
	if left <= 0 || free <= 0 {
		return 0
	}
	return 1 - math.Exp(-left*free*s.Speed/s.w.message)
}

// settle brings the books of a server up to now. All that changes its load, its pace or its connections calls it
// first, so that in between everything grows evenly.
func (s *Server) settle() {
	now := s.w.Agenda.now
	dt := (now - s.settled).Seconds()
	if dt <= 0 {
		return
	}
	can, before := s.Can(), s.backlog
	work := s.demand + float64(s.setups.Busy())*s.setups.pace
	if s.Alive() {
		s.backlog = math.Max(0, before+(work-can)*dt)
		if s.warmTime > 0 && can > 0 {
			s.worked += math.Min(work, can) * dt / (s.Full() * s.warmTime.Seconds() / 2)
		}
	}
	s.Share = 0
	for _, k := range s.order {
		v := s.slots[k]
		if v <= 0 {
			continue
		}
		part := 0.0
		if !s.w.Net.Blocked(k.from, s.Hall) && !s.w.Net.Blocked(s.Hall, k.from) {
			within := s.w.Services[k.service].Message
			part = (s.inTime(before, within) + s.inTime(s.backlog, within)) / 2
			s.Share = part
		}
		s.w.Books.Served(k.service, k.customer, k.beyond, k.home, s.settled, now, v*part)
	}
	s.settled = now
}

// paceNow gives set-ups what standing connections leave, and a tenth at the least: a crowded server still lets
// some in, and is later with its messages for it.
func (s *Server) paceNow() {
	can := s.Can()
	if can <= 0 {
		s.setups.Pace(0)
		return
	}
	s.setups.Pace(can / float64(s.Cores) * math.Max(0.1, 1-s.demand/can))
}

func (s *Server) changed() { s.paceNow() }

// ask changes what a connection's standing costs.
func (s *Server) ask(delta float64) {
	s.settle()
	s.demand = math.Max(0, s.demand+delta)
	s.changed()
}

func (s *Server) count(k *conn, sign float64) {
	key := slot{k.client.Service, k.client.Customer, k.from, k.client.Hall, k.client.Beyond}
	if _, ok := s.slots[key]; !ok {
		s.order = append(s.order, key)
	}
	s.slots[key] += sign * s.w.Services[k.client.Service].Value
	if s.slots[key] < 1e-9 {
		s.slots[key] = 0
	}
}

// lateNote tells of a server that is late, once a second, and once more when that is over.
func (s *Server) lateNote() {
	if !s.Alive() || s.standingNow == 0 {
		return
	}
	s.settle()
	s.changed()
	d := s.Delay()
	if late := d > s.w.lateFrom; late || s.told {
		s.told = late
		s.w.Carrier.Late(s.ID, d)
	}
	// Beyond its buffer a server drops some of its connections, the newest first.
	if s.Buffer > 0 && d > s.Buffer {
		for n := len(s.conns)/12 + 1; n > 0 && len(s.conns) > 0; n-- {
			k := s.conns[len(s.conns)-1]
			s.end(k)
			s.w.Carrier.Turn(k.id, Dropped)
		}
		s.backlog *= 0.7
	}
}

// Takes is the load of new connections that a server which warms over a time can take in a second by now: what would
// fill it over its warm-up, by the part that it can do.
func (s *Server) Takes(warm time.Duration) float64 {
	return s.Full() / warm.Seconds() * s.Warmth()
}

// TakesNow is Takes by its own warm-up.
func (s *Server) TakesNow() float64 { return s.Takes(s.warmTime) }

// Room is the load that a cold server may still be sent now without falling over; a warm one has any.
func (s *Server) Room() float64 {
	if s.since == LongAgo || s.w.fallMultiple == 0 || s.Warmth() >= 1 {
		return math.Inf(1)
	}
	for len(s.pushed) > 0 && s.pushed[0].at <= s.w.Agenda.now-s.w.fallWindow {
		s.pushedLoad -= s.pushed[0].load
		s.pushed = s.pushed[1:]
	}
	return s.TakesNow()*s.w.fallWindow.Seconds()*s.w.fallMultiple - s.pushedLoad
}

// StoreWait is how long a set-up would wait for the store now, in seconds.
func (w *World) StoreWait() float64 {
	if w.Store == nil {
		return 0
	}
	return float64(w.Store.Held()) * w.storeSlow / w.storeRate
}
