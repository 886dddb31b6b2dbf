package simulation

import (
	"math"
	"time"
)

const (
	storeWorkMin = 0.7 // of a call to the store, in calls of the mean work
	storeWorkMax = 1.3
)

// connStage is the stage of a connection at its server.
type connStage int

const (
	queued connStage = iota
	callingStore
	established
	over
)

type conn struct {
	id               ConnID
	client           *Client
	balancerLocality LocalityID
	stage            connStage
	job              *Job
	place            int // in Server.conns
}

// recentConnect is a connect to a server in slow start.
type recentConnect struct {
	at   time.Duration
	load float64
}

// arrive takes the line of a connect, or ends the connect.
func (s *Server) arrive(id ConnID, c *Client, from LocalityID) {
	w := s.w
	s.settle()
	s.recordSlowStartLoad(c.load)
	switch {
	case !s.IsServing(): // it collapsed under this very connect
		w.Driver.EndConnect(id, Dropped)
	case s.phase == Leaving || len(s.conns) >= s.MaxConnections:
		w.Driver.EndConnect(id, Full)
	case s.errorShare > 0 && s.random.Float64() < s.errorShare:
		w.Driver.EndConnect(id, Failed)
	default:
		s.startSetup(id, c, from)
	}
}

func (s *Server) startSetup(id ConnID, c *Client, from LocalityID) {
	k := &conn{id: id, client: c, balancerLocality: from}
	job, ok := s.setups.Put(s.w.setupWork(c.Service, s.random), func() { s.callStore(k) })
	if !ok {
		s.w.Driver.EndConnect(id, Full)
		return
	}
	k.job = job
	s.add(k)
	s.updateSetupSpeed()
}

func (s *Server) add(k *conn) {
	k.place = len(s.conns)
	s.conns = append(s.conns, k)
	s.connByID[k.id] = k
	s.w.conns[k.id] = s
}

// remove takes a connection off by having the last one take its place.
func (s *Server) remove(k *conn) {
	last := s.conns[len(s.conns)-1]
	s.conns[k.place], last.place = last, k.place
	s.conns = s.conns[:len(s.conns)-1]
	delete(s.connByID, k.id)
	delete(s.w.conns, k.id)
}

func (s *Server) callStore(k *conn) {
	k.stage = callingStore
	s.settle()
	if s.w.Store == nil {
		s.finishSetup(k)
		return
	}
	work := Uniform(s.w.storeRandom, storeWorkMin, storeWorkMax)
	k.job, _ = s.w.Store.Put(work, func() { s.finishSetup(k) }) // the store's queue has no bound
}

func (s *Server) finishSetup(k *conn) {
	if k.stage == over {
		return
	}
	s.establish(k)
	s.w.Driver.Establish(k.id)
}

// establish has a connection ask for work from now on.
func (s *Server) establish(k *conn) {
	s.settle()
	k.stage, k.job = established, nil
	s.established++
	c := k.client
	c.server, c.conn = s, k
	s.demand += c.load
	if c.Group != NoGroup {
		s.groups[c.Group]++
		if s.groups[c.Group] == 1 {
			s.demand += s.GroupLoad
		}
	}
	s.addValue(k, 1)
	s.updateSetupSpeed()
}

// end takes a connection off, whatever its stage. Every way in which one can end goes through here.
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
		s.endEstablished(k)
	}
	k.stage = over
	s.remove(k)
	if s.established == 0 {
		s.demand = 0 // what rounding left
	}
	s.updateSetupSpeed()
}

func (s *Server) endEstablished(k *conn) {
	s.established--
	c := k.client
	s.demand = math.Max(0, s.demand-c.load)
	if c.Group != NoGroup {
		s.groups[c.Group]--
		if s.groups[c.Group] == 0 {
			delete(s.groups, c.Group)
			s.demand = math.Max(0, s.demand-s.GroupLoad)
		}
	}
	s.addValue(k, -1)
	c.server, c.conn = nil, nil
}

// drainFor begins a drain that ends in a stop. What comes then is done unless the server has ended or restarted before.
func (s *Server) drainFor(d time.Duration, kind Drain, then func()) {
	if s.phase != Serving {
		return
	}
	s.settle()
	s.phase = Leaving
	incarnation := s.incarnation
	if kind != Quiet {
		s.scheduleMoves(d, kind)
	}
	s.w.Driver.ServerChanged(s.ID)
	s.w.Schedule.After(d, Cause, func() {
		if s.incarnation == incarnation && s.phase == Leaving {
			s.goDown(Down)
			then()
		}
	})
}

// scheduleMoves has the clients of all connections asked to reconnect during a drain.
func (s *Server) scheduleMoves(drain time.Duration, kind Drain) {
	const pacedShare = 0.9 // of the drain, over which paced moves are spread
	incarnation := s.incarnation
	all := append([]*conn(nil), s.conns...)
	for i, k := range all {
		delay := time.Duration(0)
		if kind == Paced {
			delay = time.Duration(float64(drain) * pacedShare * float64(i+1) / float64(len(all)+1))
		}
		s.w.Schedule.After(delay, Work, func() {
			if k.stage == established && s.incarnation == incarnation && s.IsServing() {
				s.end(k)
				s.w.Driver.EndConnect(k.id, MoveRequested)
			}
		})
	}
}
