package simulation

import (
	"math"
	"time"
)

// stage of a connection at its server.
type stage int

const (
	queued stage = iota
	callingStore
	established
	over
)

type conn struct {
	id               ConnID
	client           *Client
	balancerLocality LocalityID // of its balancer
	stage            stage
	job              *Job
	place            int // in Server.conns
}

type recentConnect struct {
	at   time.Duration
	load float64
}

// Arrive: the line of a connect has come to a server that takes connections.
func (s *Server) arrive(id ConnID, c *Client, from LocalityID) {
	w := s.w
	s.settle()
	s.recordSlowStartLoad(c.load)
	if !s.IsServing() { // fell over under this very connect
		w.Driver.EndConnect(id, Dropped)
		return
	}
	if s.phase == Leaving || len(s.conns) >= s.MaxConnections {
		w.Driver.EndConnect(id, Full)
		return
	}
	if s.errorShare > 0 && s.chance.Float64() < s.errorShare {
		w.Driver.EndConnect(id, Failed)
		return
	}
	k := &conn{id: id, client: c, balancerLocality: from, place: len(s.conns)}
	j, ok := s.setups.Put(w.setupWork(c.Service, s.chance), func() { s.callStore(k) })
	if !ok {
		w.Driver.EndConnect(id, Full)
		return
	}
	k.job = j
	s.conns = append(s.conns, k)
	s.connByID[id] = k
	w.conns[id] = s
	s.changed()
}

func (s *Server) callStore(k *conn) {
	k.stage = callingStore
	s.settle()
	if s.w.Store == nil {
		s.finishSetup(k)
		return
	}
	k.job, _ = s.w.Store.Put(Uniform(s.w.storeRandom, 0.7, 1.3), func() { s.finishSetup(k) })
}

func (s *Server) finishSetup(k *conn) {
	if k.stage == over {
		return
	}
	s.establish(k)
	s.w.Driver.Establish(k.id)
}

// establish lets a connection ask for work from now on.
func (s *Server) establish(k *conn) {
	s.settle()
	k.stage, k.job = established, nil
	s.established++
	c := k.client
	c.server, c.conn = s, k
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
	case callingStore:
		if s.w.Store != nil {
			s.w.Store.Drop(k.job)
		}
	case established:
		s.established--
		c := k.client
		s.demand = math.Max(0, s.demand-c.load)
		if c.Group != NoGroup {
			if s.groups[c.Group]--; s.groups[c.Group] == 0 {
				delete(s.groups, c.Group)
				s.demand = math.Max(0, s.demand-s.GroupLoad)
			}
		}
		s.count(k, -1)
		c.server, c.conn = nil, nil
	}
	k.stage = over
	last := s.conns[len(s.conns)-1]
	s.conns[k.place], last.place = last, k.place
	s.conns = s.conns[:len(s.conns)-1]
	delete(s.connByID, k.id)
	delete(s.w.conns, k.id)
	if s.established == 0 {
		s.demand = 0 // what rounding left
	}
	s.changed()
}

// recordSlowStartLoad books a connect against a cold server: more than a multiple of what it can take over a window tips it.
func (s *Server) recordSlowStartLoad(load float64) {
	if s.startedAt == LongAgo || s.w.collapseMultiple == 0 || s.WarmFraction() >= 1 {
		return
	}
	now := s.w.Schedule.now
	s.recentConnects = append(s.recentConnects, recentConnect{now, load})
	s.recentLoad += load
	for len(s.recentConnects) > 0 && s.recentConnects[0].at <= now-s.w.collapseWindow {
		s.recentLoad -= s.recentConnects[0].load
		s.recentConnects = s.recentConnects[1:]
	}
	takes := s.SlowStartRate() * s.w.collapseWindow.Seconds()
	budget := takes * s.w.collapseMultiple
	s.w.MaxSlowStartExcess = max(s.w.MaxSlowStartExcess, (s.recentLoad-s.w.chanceAllowance(budget))/takes)
	if s.recentLoad > budget+s.w.chanceAllowance(budget) {
		s.w.collapse(s)
	}
}
