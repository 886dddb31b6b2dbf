package simulation

import (
	"math"
	"time"
)

const (
	storeWorkMin = 0.7 // least and greatest work of a call to the store, relative to the mean
	storeWorkMax = 1.3
)

// connStage is the progress of a connection at its server.
type connStage int

const (
	queued connStage = iota
	callingStore
	established
	ended
)

type conn struct {
	id               ConnID
	client           *Client
	balancerLocality LocalityID
	stage            connStage
	job              *Job
	index            int // in Server.conns
}

// recentConnect is a connect to a server in slow start.
type recentConnect struct {
	at   time.Duration
	load float64
}

// receiveConnect handles the request line of a connect: it starts the set-up or ends the connect.
func (s *Server) receiveConnect(id ConnID, c *Client, from LocalityID) {
	w := s.w
	s.settle()
	s.recordSlowStartLoad(c.load)
	switch {
	case !s.IsServing(): // this connect made the server collapse
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
	k.index = len(s.conns)
	s.conns = append(s.conns, k)
	s.connByID[k.id] = k
	s.w.serverByConn[k.id] = s
}

// remove removes a connection by moving the last one to its index.
func (s *Server) remove(k *conn) {
	last := s.conns[len(s.conns)-1]
	s.conns[k.index], last.index = last, k.index
	s.conns = s.conns[:len(s.conns)-1]
	delete(s.connByID, k.id)
	delete(s.w.serverByConn, k.id)
}

func (s *Server) callStore(k *conn) {
	k.stage = callingStore
	s.settle()
	if s.w.Store == nil {
		s.finishSetup(k)
		return
	}
	work := Uniform(s.w.storeRandom, storeWorkMin, storeWorkMax)
	k.job, _ = s.w.Store.Put(work, func() { s.finishSetup(k) }) // the store's queue is unbounded
}

func (s *Server) finishSetup(k *conn) {
	if k.stage == ended {
		return
	}
	s.establish(k)
	s.w.Driver.Establish(k.id)
}

// establish marks a connection as established and adds its load to the server's demand.
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

// end removes a connection in any stage. All connections end through it.
func (s *Server) end(k *conn) {
	if k.stage == ended {
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
	k.stage = ended
	s.remove(k)
	if s.established == 0 {
		s.demand = 0 // removes rounding errors
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

// drainFor drains the server for a time, then stops it and calls then. Neither happens if the server goes down or restarts before.
func (s *Server) drainFor(d time.Duration, kind Drain, then func()) {
	if s.phase != Serving {
		return
	}
	s.settle()
	s.phase = Leaving
	incarnation := s.incarnation
	if kind != Quiet {
		s.scheduleMigrationRequests(d, kind)
	}
	s.w.Driver.ServerChanged(s.ID)
	s.w.Schedule.After(d, Cause, func() {
		if s.incarnation == incarnation && s.phase == Leaving {
			s.goDown(Down)
			then()
		}
	})
}

// scheduleMigrationRequests schedules the requests to the clients of all connections to reconnect during a drain.
func (s *Server) scheduleMigrationRequests(drain time.Duration, kind Drain) {
	const pacedShare = 0.9 // part of the drain over which paced requests are spread
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
				s.w.Driver.EndConnect(k.id, MigrationRequested)
			}
		})
	}
}
