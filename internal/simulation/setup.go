package simulation

import (
	"math"
	"time"
)

// stage of a connection at its server.
type stage int

const (
	queued stage = iota
	storing
	standing
	over
)

type conn struct {
	id     ConnID
	client *Client
	from   HallID // of its balancer
	stage  stage
	job    *Job
	place  int // in Server.conns
}

type push struct {
	at   time.Duration
	load float64
}

// Arrive: the line of a connect has come to a server that takes connections.
func (s *Server) arrive(id ConnID, c *Client, from HallID) {
	w := s.w
	s.settle()
	s.push(c.load)
	if !s.Alive() { // fell over under this very connect
		w.Carrier.Turn(id, Dropped)
		return
	}
	if s.phase == Leaving || len(s.conns) >= s.Cap {
		w.Carrier.Turn(id, Full)
		return
	}
	if s.errors > 0 && s.chance.Float64() < s.errors {
		w.Carrier.Turn(id, Failed)
		return
	}
	k := &conn{id: id, client: c, from: from, place: len(s.conns)}
	j, ok := s.setups.Put(w.setupWork(c.Service, s.chance), func() { s.toStore(k) })
	if !ok {
		w.Carrier.Turn(id, Full)
		return
	}
	k.job = j
	s.conns = append(s.conns, k)
	s.held[id] = k
	w.conns[id] = s
	s.changed()
}

func (s *Server) toStore(k *conn) {
	k.stage = storing
	s.settle()
	if s.w.Store == nil {
		s.up(k)
		return
	}
	k.job, _ = s.w.Store.Put(Between(s.w.storeChance, 0.7, 1.3), func() { s.up(k) })
}

func (s *Server) up(k *conn) {
	if k.stage == over {
		return
	}
	s.stand(k)
	s.w.Carrier.Up(k.id)
}

// stand lets a connection ask for work from now on.
func (s *Server) stand(k *conn) {
	s.settle()
	k.stage, k.job = standing, nil
	s.standingNow++
	c := k.client
	c.at, c.atConn = s, k
	s.demand += c.load
	if c.Group != NoGroup {
		if s.groups[c.Group]++; s.groups[c.Group] == 1 {
			s.demand += s.GroupLoad
		}
	}
	s.count(k, 1)
	s.changed()
}

// end takes a connection off, whatever its stage; every way in which one can end goes through here.
func (s *Server) end(k *conn) {
	if k.stage == over {
		return
	}
	s.settle()
	switch k.stage {
	case queued:
		s.setups.Drop(k.job)
	case storing:
		if s.w.Store != nil {
			s.w.Store.Drop(k.job)
		}
	case standing:
		s.standingNow--
		c := k.client
		s.demand = math.Max(0, s.demand-c.load)
		if c.Group != NoGroup {
			if s.groups[c.Group]--; s.groups[c.Group] == 0 {
				delete(s.groups, c.Group)
				s.demand = math.Max(0, s.demand-s.GroupLoad)
			}
		}
		s.count(k, -1)
		c.at, c.atConn = nil, nil
	}
	k.stage = over
	last := s.conns[len(s.conns)-1]
	s.conns[k.place], last.place = last, k.place
	s.conns = s.conns[:len(s.conns)-1]
	delete(s.held, k.id)
	delete(s.w.conns, k.id)
	if s.standingNow == 0 {
		s.demand = 0 // what rounding left
	}
	s.changed()
}

// push books a connect against a cold server: more than a multiple of what it can take over a window tips it.
func (s *Server) push(load float64) {
	if s.since == LongAgo || s.w.fallMultiple == 0 || s.Warmth() >= 1 {
		return
	}
	now := s.w.Agenda.now
	s.pushed = append(s.pushed, push{now, load})
	s.pushedLoad += load
	for len(s.pushed) > 0 && s.pushed[0].at <= now-s.w.fallWindow {
		s.pushedLoad -= s.pushed[0].load
		s.pushed = s.pushed[1:]
	}
	takes := s.TakesNow() * s.w.fallWindow.Seconds()
	budget := takes * s.w.fallMultiple
	s.w.MostPushed = max(s.w.MostPushed, (s.pushedLoad-s.w.chance(budget))/takes)
	if s.pushedLoad > budget+s.w.chance(budget) {
		s.w.fall(s)
	}
}
